// Package worker is a stand-in for a backend server of the users' platform.
// State is the server without clock and network; Handler serves it over HTTP.
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
	StopDelay time.Duration // from a stop to the end of the run
	ClockRate float64       // of its clock against true time; 0 means 1
	// OnStart is told of each run that begins, OnCrash when a Server forgets its
	// runs. Both may be nil.
	OnStart func(fleet.RunID)
	OnCrash func()
	// OnEnd is told of each end and when it came, OnNoted of each that is
	// acknowledged while no lease has lapsed since. Both may be nil.
	OnEnd   func(row fleet.EndedRun, at fleet.Time)
	OnAcked func(fleet.EndedRun)
}

// State is what a backend server knows. It starts whatever it is told to
// start. Times come with the calls.
type State struct {
	opts   Options
	booted fleet.Time
	born   int64
	fence  uint64
	runs   map[fleet.RunID]*Run
	ended  []fleet.EndedRun
	number int64
	barred map[fleet.TaskID]uint32 // highest attempt that ended or was stopped
	lease  int64                   // end of the lease of all runs, on its clock
	void   int64                   // ends up to this number were followed by a lapse
}

// Run is a run at a server.
type Run struct {
	ID     fleet.RunID
	began  fleet.Time
	endsAt fleet.Time // 0: never by itself
	how    fleet.EndKind
	stops  bool
}

// New returns a server that starts now, at a Unix time in milliseconds.
func New(o Options, now fleet.Time, bornMs int64) *State {
	if o.ClockRate == 0 {
		o.ClockRate = 1
	}
	return &State{
		opts: o, booted: now, born: bornMs,
		runs: map[fleet.RunID]*Run{}, barred: map[fleet.TaskID]uint32{},
	}
}

// BootTime returns the Unix time of the start, in milliseconds.
func (s *State) BootTime() int64 { return s.born }

// ClockMs returns the server's own steady clock; it is above 0.
func (s *State) ClockMs(now fleet.Time) int64 {
	return 1 + int64(s.opts.ClockRate*float64(now.Sub(s.booted))/float64(time.Millisecond))
}

// at returns when the server's clock reaches a time.
func (s *State) at(clockMs int64) fleet.Time {
	return s.booted.Add(time.Duration(float64(clockMs) / s.opts.ClockRate * float64(time.Millisecond)))
}

// StartCommand is an order to start a run.
type StartCommand struct {
	Run        fleet.RunID
	Fence      uint64
	LeaseEndMs int64
	Duration   time.Duration // until it ends, 0 for never
	EndKind    fleet.EndKind // it ends
}

// Start carries out an order to start; started is false if the run was there
// already or the order is refused.
func (s *State) Start(now fleet.Time, o StartCommand) (outcome fleet.StartOutcome, started bool) {
	s.Advance(now)
	switch {
	case o.Fence < s.fence:
		return fleet.StartFenced, false
	case s.runs[o.Run] != nil:
		return fleet.StartAccepted, false
	case s.barred[o.Run.Task] >= o.Run.Attempt:
		return fleet.StartOutdated, false
	case o.LeaseEndMs <= s.ClockMs(now):
		return fleet.StartRejected, false
	}
	s.fence = o.Fence
	r := &Run{ID: o.Run, began: now, how: o.EndKind}
	if o.Duration > 0 {
		r.endsAt = now.Add(o.Duration)
	}
	s.runs[o.Run] = r
	s.extend(now, o.LeaseEndMs)
	if s.opts.OnStart != nil {
		s.opts.OnStart(o.Run)
	}
	return fleet.StartAccepted, true
}

// extend prolongs the lease of everything that runs; it never shortens it.
func (s *State) extend(now fleet.Time, endMs int64) {
	s.noteLapse(now)
	s.lease = max(s.lease, min(endMs, s.ClockMs(now)+s.opts.MaxLease.Milliseconds()))
}

// noteLapse makes the ends before a lapse void.
func (s *State) noteLapse(now fleet.Time) {
	if now >= s.at(s.lease) {
		s.void = s.number
	}
}

// Stop carries out an order to end a run, and forbids it to start later.
func (s *State) Stop(now fleet.Time, id fleet.RunID, fence uint64) (fenced bool) {
	s.Advance(now)
	if fence < s.fence {
		return true
	}
	s.fence = fence
	s.bar(id)
	if r := s.runs[id]; r != nil && !r.stops {
		r.stops, r.endsAt, r.how = true, now.Add(s.opts.StopDelay), fleet.EndStopped
	}
	return false
}

func (s *State) bar(id fleet.RunID) { s.barred[id.Task] = max(s.barred[id.Task], id.Attempt) }

// Poll acknowledges ends and prolongs the lease; leaseEndMs 0 leaves it.
func (s *State) Poll(now fleet.Time, fence uint64, seen, leaseEndMs int64) (fenced bool) {
	s.Advance(now)
	if fence < s.fence {
		return true
	}
	s.fence = fence
	s.noteLapse(now)
	s.ended = slices.DeleteFunc(s.ended, func(e fleet.EndedRun) bool {
		if e.Seq <= seen && e.Seq > s.void && s.opts.OnAcked != nil {
			s.opts.OnAcked(e)
		}
		return e.Seq <= seen
	})
	if leaseEndMs > 0 {
		s.extend(now, leaseEndMs)
	}
	return false
}

// Fenced reports whether an order with a token would be refused.
func (s *State) Fenced(fence uint64) bool { return fence < s.fence }

// Running lists the runs in order.
func (s *State) Running(now fleet.Time) []fleet.ActiveRun {
	out := make([]fleet.ActiveRun, 0, len(s.runs))
	for _, r := range s.sorted() {
		out = append(out, fleet.ActiveRun{Run: r.ID, Percent: r.percent(now)})
	}
	return out
}

// percent returns how much of its work a run has done; one that never ends
// stands still.
func (r *Run) percent(now fleet.Time) int {
	if r.endsAt <= r.began {
		return 0
	}
	return int(100 * now.Sub(r.began) / r.endsAt.Sub(r.began))
}

// Ended lists the ends that are not acknowledged.
func (s *State) Ended() []fleet.EndedRun { return slices.Clone(s.ended) }

// HasTask reports whether a run of a task is there.
func (s *State) HasTask(t fleet.TaskID) bool {
	for id := range s.runs {
		if id.Task == t {
			return true
		}
	}
	return false
}

func (s *State) sorted() []*Run {
	var out []*Run
	for _, r := range s.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(a.endsAt, b.endsAt), a.ID.Compare(b.ID))
	})
	return out
}

// Advance ends what is due: runs whose work is done or that are stopped, and
// all of them once the lease has run out.
func (s *State) Advance(now fleet.Time) {
	lapses := s.at(s.lease)
	for _, r := range s.sorted() {
		if r.endsAt != 0 && r.endsAt <= min(now, lapses) {
			s.end(r, r.how, r.endsAt)
		}
	}
	if now < lapses {
		return
	}
	for _, r := range s.sorted() {
		s.end(r, fleet.EndExpired, lapses)
	}
}

func (s *State) end(r *Run, how fleet.EndKind, at fleet.Time) {
	delete(s.runs, r.ID)
	s.bar(r.ID)
	s.number++
	row := fleet.EndedRun{Seq: s.number, Run: r.ID, Kind: how}
	s.ended = append(s.ended, row)
	if s.opts.OnEnd != nil {
		s.opts.OnEnd(row, at)
	}
}

// Next returns when Advance has something to do; ok is false if nothing runs.
func (s *State) Next() (at fleet.Time, ok bool) {
	if len(s.runs) == 0 {
		return 0, false
	}
	at = s.at(s.lease)
	for _, r := range s.runs {
		if r.endsAt != 0 {
			at = min(at, r.endsAt)
		}
	}
	return at, true
}
