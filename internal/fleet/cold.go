package fleet

import "time"

// A server is slow for a while after its start: it is cold. How much slower than later is
// learned from runs that began and ended while their server was cold.

// coldEndTolerance is the difference in the end of a server's cold time from which two
// entries differ: more than the clock readings of two heartbeats may be apart.
const coldEndTolerance = 500 // milliseconds

// isCold reports whether the server is still cold, by its entry and the entry's age. An
// entry of an earlier life says nothing.
func (s *server) isCold(now Time) bool {
	return !s.entryOutdated() && s.reportAge(now) < time.Duration(s.entry.ColdLeftMs)*time.Millisecond
}

// slowdown returns the server's present slowdown relative to the estimates.
func (s *server) slowdown(now Time) float64 {
	if s.isCold(now) {
		return s.speed.factor() * s.speed.cold.factor()
	}
	return s.speed.factor()
}

// expect returns the expected time of a run that starts now.
func (s *server) expect(estimate time.Duration, now Time) time.Duration {
	return time.Duration(float64(estimate) * s.slowdown(now))
}

// learnSpeed learns from a completed run. One that began on a cold server and ended on a
// warm one belongs to neither model.
func (s *server) learnSpeed(r *run, estimate time.Duration, now Time) {
	took := now.Sub(r.sentAt)
	switch {
	case !r.cold:
		s.speed.learn(took, estimate)
	case s.isCold(now):
		s.speed.cold.learn(took, s.speed.expect(estimate))
	}
}

// sameColdEnd reports whether two entries of a server agree on when its cold time ends.
// The time left itself differs in each heartbeat.
func (e ServerEntry) sameColdEnd(o ServerEntry) bool {
	if e.ReportedAtMs == 0 || o.ReportedAtMs == 0 {
		return e.ColdLeftMs > 0 == (o.ColdLeftMs > 0)
	}
	if e.ReportedAtMs > o.ReportedAtMs {
		e, o = o, e
	}
	end := max(e.ReportedAtMs+e.ColdLeftMs, o.ReportedAtMs) // the earlier one's, as far as the later one knows
	left := o.ReportedAtMs + o.ColdLeftMs
	return max(end-left, left-end) <= coldEndTolerance
}
