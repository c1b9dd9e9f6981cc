package fleet

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Policy selects how jobs are ordered and placed. The zero value is what
// instances do; the others are baselines for comparison.
type Policy struct {
	Order OrderPolicy
	Place PlacePolicy
}

// OrderPolicy is the order in which waiting jobs start.
type OrderPolicy int

// Orders of waiting jobs.
const (
	OrderLeastSlack OrderPolicy = iota
	OrderArrival                // first come, first served
)

// PlacePolicy is the choice among servers with room.
type PlacePolicy int

// Choices among servers.
const (
	PlaceLeastCost PlacePolicy = iota
	PlaceFirstFit              // the first in the order of their names
	PlaceRandom                // by a hash of the task and the server
)

// sort puts jobs in the order in which they may start.
func (p Policy) sort(queue []*job, now Time) {
	compare := func(a, b *job) int { return compareSlack(a, b, now) }
	if p.Order == OrderArrival {
		compare = func(a, b *job) int { return cmp.Compare(a.spec.ReceivedAt, b.spec.ReceivedAt) }
	}
	slices.SortStableFunc(queue, compare)
}

// compareSlack puts those first that can still be in time, the one with the
// least slack before the others; then the late ones, the one that came last
// first, as it has the best chance to be of use.
func compareSlack(a, b *job, now Time) int {
	aStart, bStart := a.latestStart(), b.latestStart()
	aLate, bLate := aStart < now, bStart < now
	switch {
	case aLate != bLate:
		return trueFirst(bLate, aLate)
	case aLate:
		return cmp.Compare(bStart, aStart)
	}
	return cmp.Or(cmp.Compare(aStart, bStart), cmp.Compare(a.spec.ID, b.spec.ID))
}

// Weights of what speaks against a server, in shares of the task's time.
const (
	strandedWeight  = 0.1 // for a whole server left with room that no task fits; of little effect next to speed
	lateWeight      = 4   // for a task that would end past its job's objective
	otherRackWeight = 0.5 // for a rack away from the task's data; twice the usual slow-down is rarely worth it
	failedWeight    = 3   // for a server that failed its last run
)

// openServers returns the servers that may take a task of at least a number of
// milli-cores now.
func (p *pool) openServers(least uint32, now Time) []*server {
	var out []*server
	for _, s := range p.order {
		if s.free().CPUMilli >= least && s.takesWork(now) && p.wantedAge(s, now) <= maxWantedAge {
			out = append(out, s)
		}
	}
	return out
}

// minQueuedMilli returns the least milli-cores that a task of the queue needs.
func (p *pool) minQueuedMilli() uint32 {
	least := uint32(math.MaxUint32)
	for _, j := range p.queue {
		for _, st := range j.steps {
			if st.ready && len(st.queued) > 0 {
				least = min(least, st.spec.Need.CPUMilli)
			}
		}
	}
	return least
}

// pickServer returns the server of those that are open for a task, nil if none has room.
func (p *pool) pickServer(t *task, open []*server, now Time) *server {
	var best *server
	bestCost := 0.0
	if len(open) == 0 || now.Sub(p.members.wantedAt(t.job, now)) > maxWantedAge {
		return nil
	}
	for _, s := range open {
		if !t.step.spec.Need.Fits(s.free()) || !s.takesWork(now) || !s.entry.serves(t.job.spec.Service, t.step.spec) {
			continue
		}
		if m := t.step.spec.MaxPerServer; m > 0 && s.runsOf(t.step) >= m {
			continue
		}
		if c := p.cost(t, s, now); best == nil || c < bestCost {
			best, bestCost = s, c
		}
	}
	return best
}

// runsOf counts the runs of a step on the server.
func (s *server) runsOf(st *step) int {
	n := 0
	for _, r := range s.runs {
		if r.task != nil && r.task.step == st {
			n++
		}
	}
	return n
}

// cost compares servers for a task; the least is best.
func (p *pool) cost(t *task, s *server, now Time) float64 {
	switch p.policy.Place {
	case PlaceFirstFit:
		return 0
	case PlaceRandom:
		return float64(rank(model.Domain(t.id.Job+strconv.Itoa(t.id.Index)), model.Instance(s.entry.ID)) >> 11)
	}
	takes := s.speed.expect(t.step.spec.Estimate)
	c := speedWeight(t.step.spec.Estimate) * ratio(takes, t.step.spec.Estimate)
	if now.Add(takes) > t.job.spec.Due() {
		c += lateWeight
	}
	if r := t.step.spec.Rack; r != "" && !slices.Contains(s.entry.Labels, r) {
		c += otherRackWeight
	}
	if s.health.failures > 0 {
		c += failedWeight
	}
	left := float64(s.free().CPUMilli - t.step.spec.Need.CPUMilli)
	whole := float64(int(left/p.typicalMilli)) * p.typicalMilli
	stranded := (left - whole) / float64(max(s.entry.Capacity.CPUMilli, 1))
	return c + strandedWeight*stranded
}

func ratio(a, b time.Duration) float64 {
	if b <= 0 {
		return 1
	}
	return float64(a) / float64(b)
}

// speedWeight says how much a server's speed matters for a task. Long tasks need
// a fast one, as their objective is a multiple of their length; the fixed
// allowance covers short tasks on slow servers, which leaves the fast ones free.
func speedWeight(estimate time.Duration) float64 {
	w := float64(estimate-shortTask) / float64(longTask-shortTask)
	return min(max(w, minSpeedWeight), maxSpeedWeight)
}

// Bounds of speedWeight.
const (
	shortTask      = 120 * time.Millisecond // twice the usual allowance: any speed will do
	longTask       = 420 * time.Millisecond // a slow server takes more than the allowance longer
	minSpeedWeight = -0.2
	maxSpeedWeight = 3.0
)
