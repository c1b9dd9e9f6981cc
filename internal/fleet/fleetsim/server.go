package fleetsim

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Server is a backend server. It starts whatever it is told to start.
type Server struct {
	Entry fleet.ServerEntry
	Speed float64 // 1 does a second of work in a second
	Gone  bool    // the store doesn't list it any more
	Fails float64 // share of the runs that fail at once
	Hangs bool    // runs stand still

	Silent bool    // calls get no answer and are not carried out
	Late   float64 // share of the starts that get no answer and are carried out later

	world  *World
	booted fleet.Time
	fence  uint64
	runs   map[fleet.RunID]*simRun
	ended  []fleet.EndedRow
	number int64
	barred map[fleet.TaskID]uint32 // highest attempt that ended or was stopped
	lease  int64                   // on its clock, ms
	waits  []*waitingLook
}

type simRun struct {
	id    fleet.RunID
	job   *JobRecord
	need  model.Resources
	stops bool
}

type waitingLook struct {
	done   bool
	answer func()
}

// AddServer adds a backend server.
func (w *World) AddServer(e fleet.ServerEntry, speed float64) *Server {
	s := &Server{Entry: e, Speed: speed, world: w}
	s.Entry.State = fleet.ServerReady
	s.boot()
	w.servers = append(w.servers, s)
	return s
}

// boot forgets everything, as a start does.
func (s *Server) boot() {
	s.booted = s.world.now
	s.Entry.Born = int64(s.world.now / 1e6)
	s.fence, s.number, s.lease = 0, 0, 0
	s.runs, s.ended, s.barred = map[fleet.RunID]*simRun{}, nil, map[fleet.TaskID]uint32{}
	s.release()
}

// Restart crashes the server; it is back at once under the same name.
func (s *Server) Restart() { s.boot() }

// clock returns the server's own time in milliseconds; it runs 2% slow.
func (s *Server) clock() int64 {
	return 1 + int64(0.98*float64(s.world.now.Sub(s.booted)/time.Millisecond))
}

// Servers returns the backend servers.
func (w *World) Servers() []*Server { return w.servers }

func (w *World) server(id model.ServerID) *Server {
	i := slices.IndexFunc(w.servers, func(s *Server) bool { return s.Entry.ID == id })
	return w.servers[i]
}

// reach carries a call out at a server and answers, or loses it.
func (w *World) reach(n *node, s *Server, limit time.Duration, call func() fleet.Event, lost fleet.Event) {
	d := w.delay(n.member.Domain, s.Entry.Domain)
	if s.Silent {
		w.later(n, limit, func() { w.step(n, lost) })
		return
	}
	w.After(d, func() {
		e := call()
		w.later(n, d, func() { w.step(n, e) })
	})
}

func (w *World) startRun(n *node, x fleet.StartRun) {
	s := w.server(x.Server)
	sent := w.now
	lost := fleet.StartAnswered{Server: x.Server, Run: x.Run, Outcome: fleet.StartUnanswered, SentAt: sent}
	if s.Late > 0 && w.Rand.Float64() < s.Late {
		w.After(2*time.Second+time.Duration(w.Rand.Int64N(int64(8*time.Second))), func() { s.start(x) })
		w.later(n, callLimit, func() { w.step(n, lost) })
		return
	}
	w.reach(n, s, callLimit, func() fleet.Event {
		e := lost
		e.Outcome, e.ClockMs = s.start(x), s.clock()
		return e
	}, lost)
}

// start is a start that reaches the server.
func (s *Server) start(x fleet.StartRun) fleet.StartOutcome {
	w := s.world
	switch {
	case x.Fence < s.fence:
		return fleet.StartFenced
	case s.runs[x.Run] != nil:
		return fleet.StartDone
	case s.barred[x.Run.Task] >= x.Run.Attempt:
		return fleet.StartOutdated
	case x.LeaseEndMs <= s.clock():
		return fleet.StartRefused
	}
	s.fence = x.Fence
	j := w.jobs[x.Run.Task.Job]
	step := j.Spec.Steps[x.Run.Task.Step]
	w.checkStart(s, x.Run, j, step.Need)
	r := &simRun{id: x.Run, job: j, need: step.Need}
	s.runs[x.Run] = r
	j.Starts++
	if j.first == 0 {
		j.first = w.now
	}
	s.extend(x.LeaseEndMs)
	s.finishLater(r, step)
	return fleet.StartDone
}

// checkStart notes starts that break a rule.
func (w *World) checkStart(s *Server, id fleet.RunID, j *JobRecord, need model.Resources) {
	used := need
	for _, r := range s.runs {
		used = used.Plus(r.need)
	}
	if !used.Fits(s.Entry.Capacity) {
		w.broke("server %s is over its capacity with %v", s.Entry.ID, id)
	}
	for _, o := range w.servers {
		for other := range o.runs {
			if other.Task == id.Task {
				w.broke("task %v runs at %s and %s", id.Task, o.Entry.ID, s.Entry.ID)
			}
		}
	}
	if j.Result.Kind == fleet.NotRun {
		w.broke("job %s starts after it was refused", j.Spec.ID)
	}
}

// finishLater ends a run when its work is done.
func (s *Server) finishLater(r *simRun, step fleet.StepSpec) {
	if s.Hangs {
		return
	}
	how, took := fleet.EndDone, time.Duration(float64(s.world.workOf(r, step))/s.Speed)
	if s.Fails > 0 && s.world.Rand.Float64() < s.Fails {
		how, took = fleet.EndFailed, time.Millisecond
	}
	s.world.After(took, func() {
		if s.runs[r.id] == r && !r.stops {
			s.end(r, how)
		}
	})
}

// workOf returns how long a task takes at speed 1: the job's own figure, or
// its estimate.
func (w *World) workOf(r *simRun, step fleet.StepSpec) time.Duration {
	if r.job.work > 0 {
		return r.job.work
	}
	return step.Estimate
}

func (s *Server) end(r *simRun, how fleet.EndHow) {
	delete(s.runs, r.id)
	s.barred[r.id.Task] = max(s.barred[r.id.Task], r.id.Attempt)
	s.number++
	s.ended = append(s.ended, fleet.EndedRow{Number: s.number, Run: r.id, How: how})
	s.release()
}

// release answers the looks that wait.
func (s *Server) release() {
	waits := s.waits
	s.waits = nil
	for _, l := range waits {
		if !l.done {
			l.done = true
			l.answer()
		}
	}
}

// extend prolongs the lease of everything that runs.
func (s *Server) extend(endMs int64) {
	s.lease = max(s.lease, min(endMs, s.clock()+Lease.Milliseconds()))
	s.world.After(time.Duration(float64(s.lease-s.clock()+1)/0.98*float64(time.Millisecond)), s.lapse)
}

// lapse ends everything once the lease is over.
func (s *Server) lapse() {
	if s.clock() < s.lease {
		return
	}
	for _, r := range s.sorted() {
		s.end(r, fleet.EndLapsed)
	}
}

func (s *Server) sorted() []*simRun {
	var out []*simRun
	for _, r := range s.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *simRun) int {
		return cmp.Or(cmp.Compare(a.id.Task.Job, b.id.Task.Job), cmp.Compare(a.id.Task.Index, b.id.Task.Index))
	})
	return out
}

func (w *World) stopRun(n *node, x fleet.StopRun) {
	s := w.server(x.Server)
	e := fleet.StopAnswered{Server: x.Server, Run: x.Run, SentAt: w.now}
	w.reach(n, s, callLimit, func() fleet.Event {
		ok := e
		if x.Fence < s.fence {
			ok.Fenced = true
			return ok
		}
		s.fence = x.Fence
		s.barred[x.Run.Task] = max(s.barred[x.Run.Task], x.Run.Attempt)
		if r := s.runs[x.Run]; r != nil && !r.stops {
			r.stops = true
			w.After(stopTime, func() {
				if s.runs[r.id] == r {
					s.end(r, fleet.EndStopped)
				}
			})
		}
		ok.OK = true
		return ok
	}, e)
}

func (w *World) look(n *node, x fleet.Look) {
	s := w.server(x.Server)
	d := w.delay(n.member.Domain, s.Entry.Domain)
	sent := w.now
	lost := fleet.LookAnswered{Server: x.Server, Outcome: fleet.LookUnanswered, Look: x, SentAt: sent}
	if s.Silent {
		w.later(n, x.Wait+callLimit, func() { w.step(n, lost) })
		return
	}
	reply := func() {
		e := s.view(x)
		e.SentAt = sent
		w.later(n, d, func() { w.step(n, e) })
	}
	w.After(d, func() {
		if x.Fence >= s.fence {
			s.fence = x.Fence
			s.ended = slices.DeleteFunc(s.ended, func(e fleet.EndedRow) bool { return e.Number <= x.Seen })
			if x.LeaseEndMs > 0 {
				s.extend(x.LeaseEndMs)
			}
		}
		if x.Wait == 0 || len(s.ended) > 0 || x.Fence < s.fence {
			reply()
			return
		}
		l := &waitingLook{answer: reply}
		s.waits = append(s.waits, l)
		w.After(x.Wait, func() {
			if !l.done {
				l.done = true
				reply()
			}
		})
	})
}

// view is the answer to a look.
func (s *Server) view(x fleet.Look) fleet.LookAnswered {
	e := fleet.LookAnswered{Server: x.Server, Outcome: fleet.LookDone, Look: x, ClockMs: s.clock(), Born: s.Entry.Born}
	if x.Fence < s.fence {
		e.Outcome = fleet.LookFenced
		return e
	}
	for _, r := range s.sorted() {
		e.Running = append(e.Running, fleet.RunningRow{Run: r.id})
	}
	e.Ended = slices.Clone(s.ended)
	return e
}
