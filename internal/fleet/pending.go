package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// The number of durable jobs that have not started. Each holder reports its own in
// heartbeats. The jobs of a holder that no longer does, and released ones, are those that
// the store lists, until another holder reports them.

const (
	// maxPendingReportAge is how old a holder's report may be, so that a count is at most 2 s old.
	maxPendingReportAge = 1500 * time.Millisecond
	// pendingReadInterval is the time between reads of the store for counts. A job that was
	// released since counts at its former holder.
	pendingReadInterval = releasedCountTime
	// maxPendingWait is how long a count waits for the store.
	maxPendingWait = 500 * time.Millisecond
	// releasedCountTime is how long a released job still counts at its former holder, in
	// which the next one takes it over and reports it. It may count twice then.
	releasedCountTime = 500 * time.Millisecond
)

// pendingCounts counts the durable jobs in the fleet that have not started.
type pendingCounts struct {
	holder  *holder
	members *members

	reports map[memberKey]pendingReport
	// unsettled is set if a report was dropped without a read that shows whether its holder's
	// jobs have been taken over.
	unsettled bool

	jobs     []storedJob // open jobs, as of readAt
	readAt   Time        // when the last read that was answered began, 0 if there was none
	requests []countRequest
}

// pendingReport is what a holder last told of its jobs, by route.
type pendingReport struct {
	counts map[string]int
	at     Time
}

// storedJob is an open job in the store.
type storedJob struct {
	id, route string
	holder    memberKey // zero if it is released
	started   bool
}

// countRequest is a request that waits for the store.
type countRequest struct {
	call  CallID
	route string
	since Time
}

func newPendingCounts(h *holder, m *members) *pendingCounts {
	return &pendingCounts{holder: h, members: m, reports: map[memberKey]pendingReport{}}
}

// handleRequest answers a request at once if the reports cover all holders, else once the
// store has been read.
func (c *pendingCounts) handleRequest(call CallID, route string, now Time) {
	recent := c.readAt != 0 && now.Sub(c.readAt) < pendingReadInterval
	if c.covered(now) || recent || !c.members.storeUp {
		c.answer(call, route, now)
		return
	}
	c.requests = append(c.requests, countRequest{call, route, now})
	c.holder.startScan(ScanJobs{CountOnly: true}, false, now)
}

// answer answers a request from what is known. An instance that can't read the store at its
// start relies on the others; it refuses while it has heard of none.
func (c *pendingCounts) answer(call CallID, route string, now Time) {
	if !c.holder.scanned && len(c.reports) == 0 {
		c.holder.effect(Answer{Call: call, Result: Result{Kind: NotRun, Reason: ReasonStoreUnavailable, RetryAfter: minRetryAfter}})
		return
	}
	c.holder.effect(Answer{Call: call, Result: Result{Kind: Counted, Count: c.count(route, now)}})
}

// tick answers the requests for which the store takes too long, and forgets the reports of
// members that are long gone.
func (c *pendingCounts) tick(now Time) {
	for len(c.requests) > 0 && now.Sub(c.requests[0].since) > maxPendingWait {
		c.answer(c.requests[0].call, c.requests[0].route, now)
		c.requests = c.requests[1:]
	}
	for k, r := range c.reports {
		if now.Sub(r.at) > deadRetention {
			delete(c.reports, k)
			c.unsettled = true
		}
	}
}

// handleReport records the report in a holder's heartbeat.
func (c *pendingCounts) handleReport(from Member, counts []RouteCount, now Time) {
	r := pendingReport{counts: make(map[string]int, len(counts)), at: now}
	for _, x := range counts {
		r.counts[x.Route] = x.Count
	}
	c.reports[from.key()] = r
}

// handleRead records the open jobs as read from the store from a time on, and answers the
// requests that wait for them.
func (c *pendingCounts) handleRead(records []Record, from, now Time) {
	c.jobs, c.readAt, c.unsettled = c.jobs[:0], from, false
	held := map[memberKey]bool{}
	for _, r := range records {
		k := r.holder().key()
		held[k] = true
		c.jobs = append(c.jobs, storedJob{r.ID, r.Job.Route, k, r.HasStarted()})
	}
	maps.DeleteFunc(c.reports, func(k memberKey, r pendingReport) bool {
		return !held[k] && r.at < from && !c.reporting(k, now)
	})
	c.answerWaiting(now)
}

// answerWaiting answers all requests that wait for the store.
func (c *pendingCounts) answerWaiting(now Time) {
	for _, w := range c.requests {
		c.answer(w.call, w.route, now)
	}
	c.requests = nil
}

// reporting reports whether a holder's last report is recent and another will follow.
func (c *pendingCounts) reporting(k memberKey, now Time) bool {
	p := c.members.peers[k.instance]
	return p != nil && p.member.key() == k && p.reachable(now) && now.Sub(c.reports[k].at) <= maxPendingReportAge
}

// covered reports whether the reports hold all jobs: every member that may hold some sends
// them, none is about to release its jobs, and the store names no other holder.
func (c *pendingCounts) covered(now Time) bool {
	switch {
	case !c.holder.scanned || len(c.members.otherCells) > 0:
		return false
	case !c.holder.inUse:
		return true
	case c.unsettled || c.holder.leaving || len(c.holder.released) > 0:
		return false
	}
	for _, p := range c.members.orderedPeers {
		if p.leaving || !c.reporting(p.member.key(), now) {
			return false
		}
	}
	for k := range c.reports {
		if !c.reporting(k, now) {
			return false
		}
	}
	return !slices.ContainsFunc(c.jobs, func(x storedJob) bool {
		return c.heldElsewhere(x) && !c.reporting(x.holder, now)
	})
}

// heldElsewhere reports whether another instance holds a job that the store lists, or none.
func (c *pendingCounts) heldElsewhere(x storedJob) bool {
	return x.holder != c.holder.self.key() && c.holder.jobs[x.id] == nil
}

// count returns the number of jobs of a route that have not started, as far as known.
func (c *pendingCounts) count(route string, now Time) int {
	listed := map[memberKey]int{}
	for _, x := range c.jobs {
		if x.route == route && !x.started && c.heldElsewhere(x) {
			listed[x.holder]++
		}
	}
	n := c.holder.pendingByRoute(now)[route]
	for k, r := range c.reports {
		switch {
		case c.reporting(k, now) && (c.readAt > r.at || c.members.peers[k.instance].leaving):
			n += max(r.counts[route], listed[k]) // it may have taken jobs over or released them between the two
		case c.readAt <= r.at:
			n += r.counts[route]
		default:
			n += listed[k]
		}
		delete(listed, k)
	}
	for _, k := range listed { // released, or of holders that this instance hasn't heard
		n += k
	}
	return n
}

// pendingByRoute counts the jobs that have not started: those held or being taken over, and
// those just released.
func (h *holder) pendingByRoute(now Time) map[string]int {
	counts := map[string]int{}
	for _, x := range h.jobs {
		if x.accepted() && !x.hasStarted() && (x.job == nil || !x.job.done) {
			counts[x.record.Job.Route]++
		}
	}
	h.released = slices.DeleteFunc(h.released, func(x releasedJob) bool {
		return now.Sub(x.at) > releasedCountTime || x.at < h.pending.readAt || h.jobs[x.id] != nil
	})
	for _, x := range h.released {
		counts[x.route]++
	}
	return counts
}

// releasedJob is a job that has not started and was released.
type releasedJob struct {
	id, route string
	at        Time
}

// noteReleased records the release of a job. That of a leaving holder is known from its
// heartbeats.
func (h *holder) noteReleased(x *durableJob, now Time) {
	if !h.leaving && !x.hasStarted() {
		h.released = append(h.released, releasedJob{x.record.ID, x.job.spec.Route, now})
	}
}

// pendingRoutes returns the counts of pendingByRoute in order, for heartbeats.
func (h *holder) pendingRoutes(now Time) []RouteCount {
	counts := h.pendingByRoute(now)
	out := make([]RouteCount, 0, len(counts))
	for route, n := range counts {
		out = append(out, RouteCount{route, n})
	}
	slices.SortFunc(out, func(a, b RouteCount) int { return strings.Compare(a.Route, b.Route) })
	return out
}
