package fleet

import (
	"slices"
	"time"
)

// Placement of suspects, see crash.go. A suspect starts on a server without other runs,
// and nothing else starts there until it has ended. If no server is empty, one is
// reserved and left to become empty. As a suspect needs a whole server and may take that
// away, it yields to others that can be on time unless its own job can. One that has lost
// a server while alone will probably crash the next one, too, and waits for capacity that
// nobody needs.

const (
	// reservedShare is the share of the servers, as a divisor, that may be reserved for
	// suspects at once.
	reservedShare = 4
	// idleShare is the share of the capacity, as a divisor, that is in use at most while
	// it is idle.
	idleShare = 2
	// maxDeferral limits these waits.
	maxDeferral = 10 * time.Second
)

// placeSuspects starts the suspects that have an empty server, and reserves servers for
// others.
func (p *pool) placeSuspects(now Time) {
	if !slices.ContainsFunc(p.queue, (*job).hasReadySuspect) && !slices.ContainsFunc(p.orderedServers, func(s *server) bool { return s.reservedFor != nil }) {
		return
	}
	d := demand{onTimeWaits: p.onTimeJobQueued(now), idle: p.hasIdleCapacity(now)}
	p.releaseReservations(d, now)
	for _, j := range p.queue {
		for _, st := range j.steps {
			if st.ready && len(st.suspects) > 0 && p.holder.mayStart(j) && now.Sub(p.members.wantedAt(j, now)) <= maxWantedAge {
				p.startSuspects(st, d, now)
			}
		}
	}
}

// demand is how much the capacity is needed for tasks that aren't suspects.
type demand struct {
	onTimeWaits bool // some can still be on time
	idle        bool // none waits, and much of the capacity is free
}

// isDeferred reports whether a suspect yields to other tasks.
func (p *pool) isDeferred(t *task, d demand, now Time) bool {
	if now.Sub(t.lostAt) >= maxDeferral {
		return false
	}
	lostAlone := slices.ContainsFunc(t.losses, func(l ServerLoss) bool { return l.Alone })
	return lostAlone && !d.idle || d.onTimeWaits && p.latestStart(t.job) < now
}

// hasIdleCapacity reports whether no other task waits and much of the capacity is free.
func (p *pool) hasIdleCapacity(now Time) bool {
	if slices.ContainsFunc(p.queue, func(j *job) bool { return j.hasReadyTask() && p.holder.mayStart(j) }) {
		return false
	}
	used, capacity := uint64(0), uint64(0)
	for _, s := range p.orderedServers {
		if s.available(now) {
			used += uint64(s.used.CPUMilli)
			capacity += uint64(s.entry.Capacity.CPUMilli)
		}
	}
	return used*idleShare <= capacity
}

func (p *pool) startSuspects(st *step, d demand, now Time) {
	for _, t := range slices.Clone(st.suspects) {
		if !t.mayRetry(now) || p.isDeferred(t, d, now) {
			continue
		}
		s := p.reservedServer(t)
		if s == nil {
			s = p.reserveServer(t, now)
		}
		wantedAge := now.Sub(p.members.wantedAt(t.job, now))
		if s == nil || len(s.runs) > 0 || p.leaseOutlasts(s, wantedAge, now) || p.awaitsLife(s, t, now) {
			continue
		}
		i := slices.Index(st.suspects, t)
		st.suspects = slices.Delete(st.suspects, i, i+1)
		p.startTask(t, s, now)
	}
}

// releaseReservations releases the servers that are no longer useful to their suspects.
func (p *pool) releaseReservations(d demand, now Time) {
	for _, s := range p.orderedServers {
		t := s.reservedFor
		if t == nil || s.hasIsolatedRun() {
			continue
		}
		if t.job.done || !t.mayRetry(now) || p.isDeferred(t, d, now) || !s.available(now) || !slices.Contains(t.step.suspects, t) {
			s.reservedFor = nil
		}
	}
}

// reservedServer returns the server reserved for a suspect, nil if there is none.
func (p *pool) reservedServer(t *task) *server {
	for _, s := range p.orderedServers {
		if s.reservedFor == t {
			return s
		}
	}
	return nil
}

// reserveServer reserves the cheapest empty server for a suspect, or the one that is
// expected to be empty first.
func (p *pool) reserveServer(t *task, now Time) *server {
	reserved, total := 0, 0
	var best *server
	bestWait, bestCost := time.Duration(0), 0.0
	for _, s := range p.orderedServers {
		if !s.available(now) {
			continue
		}
		total++
		if s.reservedFor != nil {
			reserved++
			continue
		}
		if !s.serves(t.job.spec.Service, t.step.spec) || !t.step.spec.Need.Fits(s.entry.Capacity) {
			continue
		}
		wait, cost := s.emptyIn(now), p.cost(t, s, now)
		if best == nil || wait < bestWait || wait == bestWait && cost < bestCost {
			best, bestWait, bestCost = s, wait, cost
		}
	}
	if best == nil || reserved >= max(total/reservedShare, 1) {
		return nil
	}
	best.reservedFor = t
	return best
}

// emptyIn estimates when the runs of a server will have ended.
func (s *server) emptyIn(now Time) time.Duration {
	wait := time.Duration(0)
	for _, r := range s.runs {
		wait = max(wait, r.sentAt.Add(r.expected).Sub(now), minRunRest)
	}
	return wait
}

// minRunRest is the assumed rest of a run that takes longer than expected.
const minRunRest = 50 * time.Millisecond

// hasIsolatedRun reports whether a suspect runs on the server.
func (s *server) hasIsolatedRun() bool {
	for _, r := range s.runs {
		if r.isolated {
			return true
		}
	}
	return false
}
