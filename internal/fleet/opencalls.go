package fleet

import (
	"slices"
	"time"
)

// A caller that has lost its connection submits its job again at any instance, and the
// instance with the first call may not notice that it has gone. So members tell each other
// of calls that have been open for a while, before their jobs can be submitted again: an
// instance that gets a job of another one's call has that ended, and waits for its runs.

// openCallsInterval is the minimum time between two changes of the list of open calls.
const openCallsInterval = 100 * time.Millisecond

// openCalls is the list of the calls that other members hear of.
type openCalls struct {
	jobs      []string // sorted
	version   uint64   // of the list, 0 if it has always been empty
	addedIn   uint64   // version in which a call was last added
	updatedAt Time
}

// updateOpenCalls lists the calls that have been open for half of the least time after which
// their jobs may be submitted again.
func (rt *router) updateOpenCalls(now Time) {
	o := &rt.open
	if now.Sub(o.updatedAt) < openCallsInterval {
		return
	}
	o.updatedAt = now
	var jobs []string
	added := false
	for _, c := range rt.byJob {
		if now.Sub(c.job.ReceivedAt) < rt.pool.orphanRunTime/2 {
			continue
		}
		jobs = append(jobs, c.job.ID)
		if c.listedAt == 0 {
			c.listedAt, added = now, true
		}
	}
	slices.Sort(jobs)
	if !slices.Equal(jobs, o.jobs) {
		o.jobs = jobs
		o.version++
	}
	if added {
		o.addedIn = o.version
	}
}

// mayBeResubmitted reports whether a call's job may have been submitted again at an instance
// that hasn't heard of the call: its caller may have left unnoticed.
func (rt *router) mayBeResubmitted(c *call, now Time) bool {
	if c.job.Durable || now.Sub(c.job.ReceivedAt) < rt.pool.orphanRunTime {
		return false
	}
	return slices.ContainsFunc(rt.members.orderedPeers, func(p *peer) bool {
		return p.reachable(now) && (c.listedAt == 0 || p.echoedAt < c.listedAt)
	})
}

// lacksCalls reports whether a peer must hear of calls that were added to the list. Those that
// have ended can wait for the next heartbeat.
func (o *openCalls) lacksCalls(p *peer) bool { return p.openCallsSent < o.addedIn }

// newsFor returns the list if a peer doesn't have it, else nil.
func (o *openCalls) newsFor(p *peer) *OpenCalls {
	if p.openCallsSent == o.version {
		return nil
	}
	p.openCallsSent = o.version
	return &OpenCalls{Jobs: o.jobs}
}

// endCallsElsewhere has other members end their calls with a job that was submitted again
// here.
func (rt *router) endCallsElsewhere(j *JobSpec, now Time) {
	for _, p := range rt.members.orderedPeers {
		if p.hasOpenCall(j.ID) {
			rt.pool.orphans.addJob(j.ID, now.Add(rt.pool.orphanRunTime))
			rt.pool.endCall(p.member, j, now)
		}
	}
}

// earlierRunsEndAt returns when all runs of earlier submissions of a call's job are certainly
// over, 0 if none is known. They go on while another member has a call with it, which ends
// with its timeout if that member can't be reached.
func (rt *router) earlierRunsEndAt(c *call, now Time) Time {
	at := rt.pool.orphansEndAt(&c.job, rt.self, now)
	for _, p := range rt.members.orderedPeers {
		if p.hasOpenCall(c.job.ID) {
			callEnd := min(now, p.openCalls[c.job.ID].Add(c.job.Timeout))
			at = max(at, callEnd.Add(rt.pool.orphanRunTime))
		}
	}
	if at <= now {
		return 0
	}
	return at
}

// handleOpenCalls replaces the list of a peer's open calls. Of two calls with one job the
// earlier ends; one that waits for a call which is no longer open there waits for its runs.
func (rt *router) handleOpenCalls(p *peer, list *OpenCalls, now Time) {
	if list == nil {
		return
	}
	before := p.openCalls
	p.openCalls = make(map[string]Time, len(list.Jobs))
	for _, job := range list.Jobs {
		at, was := before[job]
		if !was {
			at = now
			if c := rt.byJob[job]; c != nil {
				rt.pool.endCall(p.member, &c.job, now)
			}
		}
		p.openCalls[job] = at
	}
	for job := range before {
		if c := rt.byJob[job]; c != nil && c.reofferAt != 0 && !p.hasOpenCall(job) {
			rt.pool.orphans.addJob(job, now.Add(rt.pool.orphanRunTime))
		}
	}
}

// handleCallsLost records the runs of a lost member's calls.
func (rt *router) handleCallsLost(p *peer, runsEnd Time) {
	for job := range p.openCalls {
		rt.pool.orphans.addJob(job, runsEnd)
	}
}

// hasOpenCall reports whether the peer is known to have a call with a job. One that is lost
// may still have it: other members may hear it.
func (p *peer) hasOpenCall(job string) bool {
	_, found := p.openCalls[job]
	return found && !p.dead
}
