package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Order of queued jobs, for load peaks that exceed capacity. Jobs that can be on time
// start by least slack, late ones after them. As such an order starts every job at the
// last moment once the queue is long, a job may use up only part of its slack in the
// queue, see shedLate.

// sortQueue orders the queue for starts.
func (p *pool) sortQueue(now Time) {
	compare := func(a, b *job) int { return p.compareSlack(a, b, now) }
	if p.policy.Order == OrderArrival {
		compare = func(a, b *job) int { return cmp.Compare(a.spec.ReceivedAt, b.spec.ReceivedAt) }
	}
	p.updateTurns(now)
	slices.SortStableFunc(p.queue, compare)
}

// latestStart returns the latest time to continue a job on a fast server so that it
// completes on time.
func (p *pool) latestStart(j *job) Time {
	return j.due.Add(-time.Duration(float64(j.remainingTime()) * p.fastFactor))
}

// latestFirstStart returns the latest time to start a job that others wait beside: part
// of its slack is left for what a start doesn't foresee.
func (p *pool) latestFirstStart(j *job) Time {
	slack := p.latestStart(j).Sub(j.spec.ReceivedAt)
	return j.spec.ReceivedAt.Add(time.Duration(waitShare * p.sizeFactor(j) * float64(slack)))
}

// waitShare is the share of its slack that a job may wait for its first start at a load
// peak. The rest covers inexact estimates, slower servers and lost commands.
const waitShare = 0.5

// updateFastFactor determines the slowdown relative to the estimates of the fastest
// quarter of the servers.
func (p *pool) updateFastFactor(now Time) {
	var factors []float64
	for _, s := range p.orderedServers {
		if s.takesWork(now) {
			factors = append(factors, s.slowdown(now))
		}
	}
	if len(factors) > 0 {
		slices.Sort(factors)
		p.fastFactor = factors[len(factors)/4]
	}
}

// compareSlack puts jobs that can complete on time first, ordered by turn (see shortage.go)
// and least slack. Late jobs follow, those with the fewest lost runs first: a job that
// crashes its servers would be started at each of them as it returns, and the others never.
// Among equals the least late comes first, as it is the most likely to be useful.
func (p *pool) compareSlack(a, b *job, now Time) int {
	aStart, bStart := p.latestStart(a), p.latestStart(b)
	aLate, bLate := aStart < now, bStart < now
	switch {
	case aLate != bLate:
		return trueFirst(bLate, aLate)
	case aLate:
		return cmp.Or(cmp.Compare(a.lostRuns, b.lostRuns), cmp.Compare(bStart, aStart))
	}
	return cmp.Or(a.turn.compare(b.turn), cmp.Compare(aStart, bStart), cmp.Compare(a.spec.ID, b.spec.ID))
}
