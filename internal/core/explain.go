package core

import (
	"fmt"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/sched"
)

var waitReasonTexts = map[sched.WaitReason]string{
	sched.WaitNone:          "nothing delays its next task",
	sched.WaitFairShare:     "other customers and kinds are served first, by weight",
	sched.WaitSlot:          "all slots that this instance may use are taken",
	sched.WaitFasterServer:  "the free servers are so slow that waiting for a faster one finishes sooner",
	sched.WaitReservedSlots: "the free slots are reserved for short tasks",
	sched.WaitLimit:         "this instance's share of the row's limit is used up",
	sched.WaitResources:     "no free server has the required resources",
}

// formatExplanation renders the scheduler's explanation as text.
func formatExplanation(e sched.Explanation) string {
	text := fmt.Sprintf("Queue of %s, %s: %d tasks waiting, %d running, waited %v; %d tasks waiting at this instance in total.",
		e.Customer, e.Kind, e.Waiting, e.Running, e.Waited.Round(time.Millisecond), e.QueuedTasks)
	if e.Waiting > 0 {
		text += " It waits because " + waitReasonTexts[e.Wait] + "."
	}
	if e.Server != "" {
		text += fmt.Sprintf(" Its latest task went to backend server %s, which takes %.1f times the mean run time.", e.Server, e.ServerSlowness)
	}
	text += fmt.Sprintf(" Starts: %d on own slots, %d on borrowed ones, %d in other failure domains, %d rejected by servers.",
		e.StartsOwn, e.StartsBorrowed, e.StartsSpilled, e.NotStarted)
	return text
}
