package fleetsim

import "github.com/nutmegweir/nutmegweir/internal/fleet"

// crashCounts counts by task how many servers have crashed under it, and how often it
// was started after the third.
type crashCounts map[fleet.TaskID]*struct{ crashes, starts int }

// Limits of what a task of a durable job may cost.
const (
	crashesOfHopeless = 3 // after which a task is to be given up
	startsOfHopeless  = 3 // after that, too many
)

func (c crashCounts) add(t fleet.TaskID) {
	if c[t] == nil {
		c[t] = &struct{ crashes, starts int }{}
	}
	c[t].crashes++
}

// startedAgain counts a start, and reports whether it is one too many.
func (c crashCounts) startedAgain(t fleet.TaskID) bool {
	if c[t] == nil || c[t].crashes < crashesOfHopeless {
		return false
	}
	c[t].starts++
	return c[t].starts == startsOfHopeless
}

// of returns the number of servers that have crashed under a task.
func (c crashCounts) of(t fleet.TaskID) int {
	if c[t] == nil {
		return 0
	}
	return c[t].crashes
}
