// Package worker is a stand-in for a backend server of the users' platform.
// State is the server without clock and network; Server serves it over HTTP.
package worker

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// Options are the settings of a State.
type Options struct {
	MaxLease  time.Duration // longer leases are shortened
	StopDelay time.Duration // from a stop command to the end of the run
	ClockRate float64       // rate of its clock relative to true time; 0 means 1
	// OnStart is called for each started run, OnCrash when a Server loses its
	// runs in a crash. Both may be nil.
	OnStart func(fleet.RunID)
	OnCrash func()
	// OnEnd is called for each end with its time, OnAcked for each end that is
	// acknowledged before the lease expires. Both may be nil.
	OnEnd   func(row fleet.EndedRun, at fleet.Time)
	OnAcked func(fleet.EndedRun)
}

// State is the state of a backend server. It starts every run that is requested
// and takes the time as an argument.
type State struct {
	opts                Options
	bootedAt            fleet.Time
	bootTimeMs          int64
	fence               uint64
	runs                map[fleet.RunID]*Run
	ended               []fleet.EndedRun
	lastSeq             int64
	highestEndedAttempt map[fleet.TaskID]uint32 // highest attempt that ended or was stopped, by task
	leaseEndMs          int64                   // end of the lease of all runs, on the server's clock
	expiredThroughSeq   int64                   // the lease expired after the ends up to this number
}

// Run is a run in progress.
type Run struct {
	ID        fleet.RunID
	startedAt fleet.Time
	endsAt    fleet.Time // 0: runs until it is stopped
	endKind   fleet.EndKind
	stopping  bool
}

// New returns a server that boots now, at a Unix time in milliseconds.
func New(o Options, now fleet.Time, bootTimeMs int64) *State {
	if o.ClockRate == 0 {
		o.ClockRate = 1
	}
	return &State{
		opts: o, bootedAt: now, bootTimeMs: bootTimeMs,
		runs: map[fleet.RunID]*Run{}, highestEndedAttempt: map[fleet.TaskID]uint32{},
	}
}

// BootTime returns the Unix time of the boot, in milliseconds.
func (s *State) BootTime() int64 { return s.bootTimeMs }

// ClockMs returns the server's monotonic clock in milliseconds; it is above 0.
func (s *State) ClockMs(now fleet.Time) int64 {
	return 1 + int64(s.opts.ClockRate*float64(now.Sub(s.bootedAt))/float64(time.Millisecond))
}

// timeAtClock returns the time at which the server's clock reaches clockMs.
func (s *State) timeAtClock(clockMs int64) fleet.Time {
	return s.bootedAt.Add(time.Duration(float64(clockMs) / s.opts.ClockRate * float64(time.Millisecond)))
}

// StartCommand is a command to start a run.
type StartCommand struct {
	Run        fleet.RunID
	Fence      uint64
	LeaseEndMs int64
	Duration   time.Duration // 0: runs until it is stopped
	EndKind    fleet.EndKind // end of a run that is not stopped
}

// Start executes a start command; started is false if the run already exists or
// the command is rejected.
func (s *State) Start(now fleet.Time, c StartCommand) (outcome fleet.StartOutcome, started bool) {
	s.Advance(now)
	switch {
	case c.Fence < s.fence:
		return fleet.StartFenced, false
	case s.runs[c.Run] != nil:
		return fleet.StartAccepted, false
	case s.highestEndedAttempt[c.Run.Task] >= c.Run.Attempt:
		return fleet.StartOutdated, false
	case c.LeaseEndMs <= s.ClockMs(now):
		return fleet.StartRejected, false
	}
	s.fence = c.Fence
	r := &Run{ID: c.Run, startedAt: now, endKind: c.EndKind}
	if c.Duration > 0 {
		r.endsAt = now.Add(c.Duration)
	}
	s.runs[c.Run] = r
	s.extendLease(now, c.LeaseEndMs)
	if s.opts.OnStart != nil {
		s.opts.OnStart(c.Run)
	}
	return fleet.StartAccepted, true
}

// extendLease extends the lease of all runs; it never shortens it.
func (s *State) extendLease(now fleet.Time, endMs int64) {
	s.checkExpiry(now)
	s.leaseEndMs = max(s.leaseEndMs, min(endMs, s.ClockMs(now)+s.opts.MaxLease.Milliseconds()))
}

// checkExpiry records which ends came before the lease expired.
func (s *State) checkExpiry(now fleet.Time) {
	if now >= s.timeAtClock(s.leaseEndMs) {
		s.expiredThroughSeq = s.lastSeq
	}
}

// Stop executes a stop command, and prevents a later start of the run.
func (s *State) Stop(now fleet.Time, id fleet.RunID, fence uint64) (fenced bool) {
	s.Advance(now)
	if fence < s.fence {
		return true
	}
	s.fence = fence
	s.forbidAttempt(id)
	if r := s.runs[id]; r != nil && !r.stopping {
		r.stopping, r.endsAt, r.endKind = true, now.Add(s.opts.StopDelay), fleet.EndStopped
	}
	return false
}

func (s *State) forbidAttempt(id fleet.RunID) {
	s.highestEndedAttempt[id.Task] = max(s.highestEndedAttempt[id.Task], id.Attempt)
}

// Poll acknowledges ends and extends the lease; leaseEndMs 0 leaves it unchanged.
func (s *State) Poll(now fleet.Time, fence uint64, seen, leaseEndMs int64) (fenced bool) {
	s.Advance(now)
	if fence < s.fence {
		return true
	}
	s.fence = fence
	s.checkExpiry(now)
	s.ended = slices.DeleteFunc(s.ended, func(e fleet.EndedRun) bool {
		if e.Seq <= seen && e.Seq > s.expiredThroughSeq && s.opts.OnAcked != nil {
			s.opts.OnAcked(e)
		}
		return e.Seq <= seen
	})
	if leaseEndMs > 0 {
		s.extendLease(now, leaseEndMs)
	}
	return false
}

// Fenced reports whether a command with a fencing token would be rejected.
func (s *State) Fenced(fence uint64) bool { return fence < s.fence }

// Running lists the runs by the time of their end.
func (s *State) Running(now fleet.Time) []fleet.ActiveRun {
	out := make([]fleet.ActiveRun, 0, len(s.runs))
	for _, r := range s.runsByEnd() {
		out = append(out, fleet.ActiveRun{Run: r.ID, Percent: r.percent(now)})
	}
	return out
}

// percent returns the progress of a run; one without an end stays at 0.
func (r *Run) percent(now fleet.Time) int {
	if r.endsAt <= r.startedAt {
		return 0
	}
	return int(100 * now.Sub(r.startedAt) / r.endsAt.Sub(r.startedAt))
}

// Ended lists the unacknowledged ends.
func (s *State) Ended() []fleet.EndedRun { return slices.Clone(s.ended) }

// HasTask reports whether a run of a task is in progress.
func (s *State) HasTask(t fleet.TaskID) bool {
	for id := range s.runs {
		if id.Task == t {
			return true
		}
	}
	return false
}

func (s *State) runsByEnd() []*Run {
	var out []*Run
	for _, r := range s.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(a.endsAt, b.endsAt), a.ID.Compare(b.ID))
	})
	return out
}

// Advance ends the runs that are due: completed and stopped ones, and all of
// them once the lease has expired.
func (s *State) Advance(now fleet.Time) {
	expiresAt := s.timeAtClock(s.leaseEndMs)
	for _, r := range s.runsByEnd() {
		if r.endsAt != 0 && r.endsAt <= min(now, expiresAt) {
			s.endRun(r, r.endKind, r.endsAt)
		}
	}
	if now < expiresAt {
		return
	}
	for _, r := range s.runsByEnd() {
		s.endRun(r, fleet.EndExpired, expiresAt)
	}
}

func (s *State) endRun(r *Run, kind fleet.EndKind, at fleet.Time) {
	delete(s.runs, r.ID)
	s.forbidAttempt(r.ID)
	s.lastSeq++
	row := fleet.EndedRun{Seq: s.lastSeq, Run: r.ID, Kind: kind}
	s.ended = append(s.ended, row)
	if s.opts.OnEnd != nil {
		s.opts.OnEnd(row, at)
	}
}

// Next returns when the next run ends; ok is false if there is none.
func (s *State) Next() (at fleet.Time, ok bool) {
	if len(s.runs) == 0 {
		return 0, false
	}
	at = s.timeAtClock(s.leaseEndMs)
	for _, r := range s.runs {
		if r.endsAt != 0 {
			at = min(at, r.endsAt)
		}
	}
	return at, true
}
