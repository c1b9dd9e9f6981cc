package fleet

import "time"

// life is one life of a backend server: from one start of its process to the next. Its
// boot time names it. The order of boot times is no order of lives, as clocks step back.
type life struct {
	bootMs   int64 // 0 if unknown
	knownAt  Time  // since when it is known: it began earlier
	formerMs int64 // boot time of the life before it, 0 if unknown
}

// lifeOrder is the order of a life relative to the known one.
type lifeOrder int

// Orders of lives.
const (
	sameLife lifeOrder = iota
	earlierLife
	laterLife
)

// order returns the order of the life that answered a call. One that answers a call sent
// since another life is known has followed it. Calls that were in flight then may have
// reached either, and the higher boot time counts.
func (l *life) order(bootMs int64, sentAt Time) lifeOrder {
	switch {
	case bootMs == 0 || bootMs == l.bootMs:
		return sameLife
	case l.bootMs == 0 || sentAt > l.knownAt:
		return laterLife
	case bootMs < l.bootMs || bootMs == l.formerMs:
		return earlierLife
	}
	return laterLife
}

// next returns the life after this one.
func (l *life) next(bootMs int64, now Time) life {
	former := l.bootMs
	if former == bootMs {
		former = l.formerMs // only its address has changed
	}
	return life{bootMs: bootMs, knownAt: now, formerMs: former}
}

// learnLife records the life that has answered a call, when none was known before. An
// entry with a higher boot time was written before the call.
func (s *server) learnLife(bootMs int64, now Time) {
	s.life = s.life.next(bootMs, now)
	if s.entry.BootMs > bootMs {
		s.life.formerMs = s.entry.BootMs
		s.leaving = leaving{bootMs: bootMs}
	}
}

// restarted reports whether a new entry shows that the server has restarted.
func (s *server) restarted(e ServerEntry) bool {
	later := s.life.bootMs != 0 && e.BootMs > s.life.bootMs && e.BootMs != s.life.formerMs
	return e.Addr != s.entry.Addr || e.BootMs != s.entry.BootMs && later
}

// entryOutdated reports whether the server's entry was written in another life than the
// known one, in which the server may have been of another kind.
func (s *server) entryOutdated() bool {
	return s.entry.BootMs != 0 && s.life.bootMs != 0 && s.entry.BootMs != s.life.bootMs
}

// serves reports whether tasks of a step may run on the server.
func (s *server) serves(service string, st StepSpec) bool {
	return s.entry.serves(service, st) && (st.Label == "" || !s.entryOutdated())
}

// lifeKnownFor is how long after a reply the life of a server counts as known: slightly longer
// than a poll waits, so that servers with runs are polled often enough.
const lifeKnownFor = 300 * time.Millisecond

// awaitsLife reports whether a task may not start before its server has answered a poll, which
// is sent if none is pending: one that runs nothing isn't polled, and may have restarted as one
// of another kind.
func (p *pool) awaitsLife(s *server, t *task, now Time) bool {
	if t.step.spec.Label == "" || s.life.bootMs == 0 || now.Sub(s.repliedAt) <= lifeKnownFor {
		return false
	}
	t.step.awaitsLife = true
	p.pollNow(s, now)
	return true
}

// reportEntry records what the server's entry says of leaving, and reports whether the
// server begins to leave. An entry of the former life says nothing of this one.
func (s *server) reportEntry() (began bool) {
	if e := s.entry; e.BootMs == 0 || e.BootMs != s.life.formerMs {
		return s.leaving.report(e.State == ServerDraining, e.BootMs, e.ReportedAtMs)
	}
	return false
}
