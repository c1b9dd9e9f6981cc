package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Delay scheduling: whether a task waits for room near its data or runs far from it now.
// It is for load where the racks that are wanted are full while others have room.

// placeChoice holds both sides of the decision for one task or group.
type placeChoice struct {
	nearWait time.Duration // until room is expected near the data
	nearRun  time.Duration
	farRun   time.Duration
	slack    time.Duration // until the job is due
	price    float64       // of the capacity that the longer run takes, from 0 (unused) to 1 (others wait for all of it)
}

// nearCost returns the time until the task has run near its data.
func (c placeChoice) nearCost() time.Duration { return c.nearWait + c.nearRun }

// farCost returns the time of a far run, plus the time that it takes from other work.
func (c placeChoice) farCost() time.Duration {
	return c.farRun + time.Duration(c.price*float64(c.farRun-c.nearRun))
}

// waits reports whether the task waits. If only one of both sides is on time, it wins.
func (c placeChoice) waits() bool {
	nearLate, farLate := c.nearCost() > c.slack, c.farRun > c.slack
	if nearLate != farLate {
		return farLate
	}
	return c.nearCost() < c.farCost()
}

// capacityPrice returns the price of capacity while others wait for some and some is
// free, both in milli-cores.
func capacityPrice(waiting, free float64) float64 {
	if waiting <= 0 {
		return 0
	}
	return min(1, waiting/max(free, 1))
}

// dueEnd is the expected end of a run.
type dueEnd struct {
	in   time.Duration
	need model.Resources
}

// serverRoom is the room of a server, now and as its runs end.
type serverRoom struct {
	free  model.Resources
	limit int // tasks of the step that may start there, 0 for any number
	ends  []dueEnd
}

// openings returns the times until there is room for one more task, at most one for each
// task that fits once all runs have ended.
func (r serverRoom) openings(need model.Resources) []time.Duration {
	slices.SortFunc(r.ends, func(a, b dueEnd) int { return cmp.Compare(a.in, b.in) })
	free, fits := r.free, countFits(need, r.free, r.limit)
	out := make([]time.Duration, min(fits, maxOpenings), maxOpenings)
	for _, e := range r.ends {
		free = free.Plus(e.need)
		for n := countFits(need, free, r.limit); fits < n && len(out) < maxOpenings; fits++ {
			out = append(out, e.in)
		}
	}
	return out
}

// maxOpenings bounds the tasks that are counted on one server: a task that needs next to
// nothing fits any number of times.
const maxOpenings = 64

// rackOpenings returns the times until there is room for one more task on the servers of
// a rack, in order.
func rackOpenings(rack []serverRoom, need model.Resources) []time.Duration {
	var all []time.Duration
	for _, r := range rack {
		all = append(all, r.openings(need)...)
	}
	slices.Sort(all)
	return all
}

// expectedRest returns the time until the end of a run that has lasted for a time. A run
// that is overdue is expected to last as long again as it is overdue: a few tasks take
// several times their estimate.
func expectedRest(lasted, expected time.Duration) time.Duration {
	if lasted < expected {
		return expected - lasted
	}
	return max(lasted-expected, minExpectedRest)
}

// minExpectedRest is the rest of a run that should have ended by now: about the time in
// which its end is reported.
const minExpectedRest = 2 * time.Millisecond
