package core

import (
	"fmt"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/sched"
)

var waitReasonTexts = map[sched.WaitReason]string{
	sched.WaitNone:          "nothing holds its next task back",
	sched.WaitFairShare:     "other customers and kinds have their turn first, by weight",
	sched.WaitSlot:          "every slot that this instance may use is taken",
	sched.WaitFasterServer:  "the free servers are so slow that waiting for a faster one ends sooner",
	sched.WaitReservedSlots: "the free slots are kept for short work",
	sched.WaitLimit:         "this instance's share of the limit of its row is used up",
	sched.WaitResources:     "no free server has the resources that it needs",
}

// formatExplanation renders the scheduler's explanation as text.
func formatExplanation(e sched.Explanation) string {
	text := fmt.Sprintf("Queue of %s, %s: %d tasks wait, %d run, waited %v, %d tasks wait on this instance in all.",
		e.Customer, e.Kind, e.Waiting, e.Running, e.Waited.Round(time.Millisecond), e.QueuedTasks)
	if e.Waiting > 0 {
		text += " It waits because " + waitReasonTexts[e.Wait] + "."
	}
	if e.Server != "" {
		text += fmt.Sprintf(" Its latest task went to backend server %s, which takes %.1f times the usual run time.", e.Server, e.ServerSlowness)
	}
	text += fmt.Sprintf(" Starts: %d on own slots, %d on borrowed ones, %d in other failure domains, %d refused by servers.",
		e.StartsOwn, e.StartsBorrowed, e.StartsSpilled, e.NotStarted)
	return text
}
