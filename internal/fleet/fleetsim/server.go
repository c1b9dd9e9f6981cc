package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/standin/worker"
)

// Server is a backend server. It doesn't enforce its capacity.
type Server struct {
	Entry       fleet.ServerEntry
	Speed       float64 // 1 completes a second of work per second
	Unlisted    bool    // removed from the store's list
	FailureRate float64 // share of runs that fail immediately
	StallsRuns  bool    // runs make no progress

	Unresponsive  bool          // calls are neither answered nor executed
	LateStartRate float64       // share of starts that are not answered and executed later
	LateOtherRate float64       // the same for stops and polls
	LateLeases    bool          // the leases of orders executed late count from their arrival
	ClockRate     float64       // of its clock from its next boot on; 0 is the lowest permitted rate
	Uptime        time.Duration // of its next life at its boot, as if the world began later

	TellsCapacity bool // in replies to polls, as well as in its entry
	largerBefore  []pastCapacity

	world        *World
	down         bool // no process runs
	gone         bool // and none will
	state        *worker.State
	needs        map[fleet.RunID]model.Resources
	waitingPolls []*waitingPoll
}

type waitingPoll struct {
	done   bool
	answer func()
	lose   func() // the connection breaks
}

// AddServer adds a backend server.
func (w *World) AddServer(e fleet.ServerEntry, speed float64) *Server {
	s := &Server{Entry: e, Speed: speed, world: w}
	s.Entry.State = fleet.ServerReady
	s.boot()
	w.servers = append(w.servers, s)
	w.startHeartbeats(s)
	return s
}

// boot starts a new life of the server, which the store lists at once.
func (s *Server) boot() {
	s.reset()
	s.Entry.BootMs = s.state.BootTime()
}

// reset replaces the server's state by that of a new life.
func (s *Server) reset() {
	rate := s.ClockRate
	if rate == 0 {
		rate = slowClockRate
	}
	s.state = worker.New(worker.Options{
		MaxLease: Lease, StopDelay: stopTime, ClockRate: rate, OnEnd: s.world.store.ended, OnAcked: s.world.store.acknowledged,
	}, s.world.now.Add(-s.Uptime), int64(s.world.now/1e6))
	s.Uptime = 0
	s.needs = map[fleet.RunID]model.Resources{}
	s.answerPolls()
}

// slowClockRate is the lowest permitted rate of a server's clock.
const slowClockRate = 0.98

// Restart crashes the server and restarts it immediately under the same ID.
func (s *Server) Restart() {
	s.loseRuns()
	s.boot()
}

// loseRuns counts a crash of the server under each task that runs there.
func (s *Server) loseRuns() {
	s.advance()
	for _, r := range s.state.Running(s.world.now) {
		s.world.crashes.add(r.Run.Task)
	}
}

// CrashForGood crashes the server. Its entry expires, and another server of the same
// kind comes after the given time.
func (s *Server) CrashForGood(next time.Duration) {
	w := s.world
	if !s.down {
		s.goDown()
	}
	s.gone = true
	w.After(entryExpiry, func() { s.Unlisted = true })
	w.After(next, func() {
		e := s.Entry
		e.ID = model.ServerID(fmt.Sprintf("%s-%d", s.Entry.ID, len(w.servers)))
		w.AddServer(e, s.Speed)
	})
}

// entryExpiry is the time after a crash after which the store drops a server's entry.
const entryExpiry = 3500 * time.Millisecond

// crashes reports whether a run of the job crashes its server.
func (j *JobRecord) crashes(run fleet.RunID) bool { return j.CrashesServers && run.Task.Index == 0 }

// crashIfDeadly crashes the server a little after the start of a run that does that.
func (s *Server) crashIfDeadly(run fleet.RunID, j *JobRecord) {
	if !j.crashes(run) {
		return
	}
	state := s.state
	s.world.After(timeToCrash, func() {
		switch {
		case s.state != state:
		case s.world.ReplaceCrashed:
			s.CrashForGood(crashedServerDown)
		default:
			s.Crash(crashedServerDown)
		}
	})
}

// Timing of a run that crashes its server.
const (
	timeToCrash       = 10 * time.Millisecond
	crashedServerDown = 3200 * time.Millisecond
)

// maxRegistrationDelay is the longest time from the boot of a server to its entry in the
// store.
const maxRegistrationDelay = 500 * time.Millisecond

// Crash ends all runs of a server and starts it again under the same ID after d. Until
// then calls to it are refused.
func (s *Server) Crash(d time.Duration) {
	if s.down {
		return
	}
	w := s.world
	s.goDown()
	w.After(d, func() {
		if s.gone {
			return
		}
		s.reset()
		s.down = false
		boot := s.state.BootTime()
		w.After(w.upTo(maxRegistrationDelay), func() { s.Entry.BootMs = max(s.Entry.BootMs, boot) })
	})
}

// goDown ends the process of a server, with all runs and calls in progress.
func (s *Server) goDown() {
	s.loseRuns()
	waits := s.waitingPolls
	s.waitingPolls = nil
	s.reset()
	s.down = true
	for _, l := range waits {
		if !l.done {
			l.done = true
			l.lose()
		}
	}
}

// upTo draws a duration below d.
func (w *World) upTo(d time.Duration) time.Duration { return time.Duration(w.Rand.Int64N(int64(d))) }

// Servers returns all backend servers.
func (w *World) Servers() []*Server { return w.servers }

func (w *World) server(id model.ServerID) *Server {
	i := slices.IndexFunc(w.servers, func(s *Server) bool { return s.Entry.ID == id })
	return w.servers[i]
}

// serverCall is a call of an instance to a server.
type serverCall struct {
	server  *Server
	order   fleet.Effect
	limit   time.Duration
	lost    fleet.Event // the call got no answer
	refused fleet.Event // no process listens
	late    bool        // executed later without an answer
	// execute executes the call; it calls answer at once or later.
	execute func(answer func(fleet.Event))
}

// callServer executes a call at a server and delivers its reply, or that it was lost.
func (w *World) callServer(n *simInstance, c serverCall) {
	s := c.server
	over := false
	once := func(e fleet.Event) {
		if !over {
			over = true
			w.step(n, e)
		}
	}
	w.later(n, c.limit, func() { once(c.lost) })
	if s.Unresponsive || n.cutServers[s] == cutBoth {
		return
	}
	d := w.delay(n.member.Domain, s.Entry.Domain) + n.lag
	reply := func(e fleet.Event) {
		if n.cutServers[s] == cutNone {
			w.later(n, d, func() { once(e) })
		}
	}
	if c.late {
		d = w.lateBy()
		reply = func(fleet.Event) {}
	}
	w.After(d, func() {
		if s.down {
			reply(c.refused)
			return
		}
		if w.onOrder != nil {
			w.onOrder(s, c.order, c.late)
		}
		c.execute(reply)
	})
}

func (w *World) startRun(n *simInstance, x fleet.StartRun) {
	s := w.server(x.Server)
	e := fleet.StartReply{Server: x.Server, Run: x.Run, Outcome: fleet.StartUnanswered, SentAt: w.now}
	refused := e
	refused.Outcome = fleet.StartNotSent
	late := s.LateStartRate > 0 && w.Rand.Float64() < s.LateStartRate
	w.callServer(n, serverCall{server: s, order: x, limit: callTimeout, lost: e, refused: refused, late: late, execute: func(answer func(fleet.Event)) {
		x.LeaseEndMs = s.leaseEnd(x.LeaseEndMs, late)
		done := e
		done.Outcome, done.ClockMs = s.start(x), s.state.ClockMs(w.now)
		answer(done)
	}})
}

// leaseEnd returns the end of a lease that an order asks for.
func (s *Server) leaseEnd(asked int64, late bool) int64 {
	if late && s.LateLeases && asked > 0 {
		return s.state.ClockMs(s.world.now) + Lease.Milliseconds()
	}
	return asked
}

// lateBy draws how much later a call that was not answered is executed, at whatever life
// the server has then.
func (w *World) lateBy() time.Duration { return 2*time.Second + w.upTo(10*time.Second) }

// isLate draws whether a stop or poll is not answered and executed later.
func (s *Server) isLate() bool {
	return s.LateOtherRate > 0 && s.world.Rand.Float64() < s.LateOtherRate
}

// start executes a start that reaches the server.
func (s *Server) start(x fleet.StartRun) fleet.StartOutcome {
	w := s.world
	j := w.jobs[x.Run.Task.Job]
	step := j.Spec.Steps[x.Run.Task.Step]
	s.advance()
	o := worker.StartCommand{Run: x.Run, Fence: x.Fence, LeaseEndMs: x.LeaseEndMs}
	o.Duration, o.EndKind = s.runOutcome(j, step)
	if j.crashes(x.Run) {
		o.Duration = max(o.Duration, 2*timeToCrash) // a short run on a fast server ended before
	}
	slowdown := w.Places.slowdown(j, step, s.Entry.Labels)
	o.Duration = time.Duration(float64(o.Duration) * slowdown)
	others := w.runningAt(x.Run.Task)
	outcome, started := s.state.Start(w.now, o)
	if started {
		w.checkStart(s, x.Run, j, step.Need)
		w.checkEvacuation(s, x.Run)
		for _, o := range others {
			w.violated("task %v runs at %s and %s", x.Run.Task, o, s.Entry.ID)
		}
		s.needs[x.Run] = step.Need
		w.Places.count(step.Need, o.Duration, slowdown)
		s.crashIfDeadly(x.Run, j)
		if w.onStart != nil {
			w.onStart(s, x.Run)
		}
		j.Starts++
		s.schedule()
	}
	return outcome
}

// runOutcome chooses the duration and the end of a run.
func (s *Server) runOutcome(j *JobRecord, step fleet.StepSpec) (time.Duration, fleet.EndKind) {
	switch {
	case s.StallsRuns || j.AlwaysStalls:
		return 0, fleet.EndDone
	case j.AlwaysFails:
		return time.Millisecond, fleet.EndFailed
	case s.FailureRate > 0 && s.world.Rand.Float64() < s.FailureRate:
		return time.Millisecond, fleet.EndFailed
	}
	work := step.Estimate
	if j.work > 0 {
		work = j.work
	}
	return time.Duration(float64(work) / s.Speed), fleet.EndDone
}

// schedule advances the server when something is due.
func (s *Server) schedule() {
	at, ok := s.state.Next()
	if !ok {
		return
	}
	state := s.state
	s.world.After(max(0, at.Sub(s.world.now)), func() {
		if s.state == state {
			s.advance()
			s.schedule()
		}
	})
}

// advance ends due runs, and answers the long polls that wait for an end.
func (s *Server) advance() {
	before := len(s.state.Ended())
	s.state.Advance(s.world.now)
	if len(s.state.Ended()) != before {
		s.answerPolls()
	}
}

// checkStart reports starts that violate an invariant.
func (w *World) checkStart(s *Server, id fleet.RunID, j *JobRecord, need model.Resources) {
	used, ofStep := need, 1
	for _, r := range s.state.Running(w.now) {
		if r.Run == id {
			continue
		}
		used = used.Plus(s.needs[r.Run])
		if r.Run.Task.Job == id.Task.Job && r.Run.Task.Step == id.Task.Step {
			ofStep++
		}
	}
	if limit := j.Spec.Steps[id.Task.Step].MaxPerServer; limit > 0 && ofStep > limit {
		w.violated("%d tasks of the step of %v run at %s, limit %d", ofStep, id, s.Entry.ID, limit)
	}
	if !used.Fits(s.countedCapacity()) {
		w.violated("server %s is over its capacity with %v", s.Entry.ID, id)
	}
	if w.store.doneAcked[id.Task] {
		w.violated("task %v starts again after its end was acknowledged", id.Task)
	}
	if w.store.failuresAcked[id.Task] >= j.Spec.MaxAttempts {
		w.violated("task %v starts again after %d failed runs", id.Task, w.store.failuresAcked[id.Task])
	}
	if w.crashes.startedAgain(id.Task) && j.Spec.Durable {
		w.violated("task %v starts for the third time after three servers had crashed under it", id.Task)
	}
	if j.Result.Kind == fleet.NotRun && !j.mayHaveRun() {
		w.violated("job %s starts after it was rejected", j.Spec.ID)
	}
}

// runningAt returns the servers that run a task.
func (w *World) runningAt(t fleet.TaskID) (out []model.ServerID) {
	for _, o := range w.servers {
		o.advance()
		if o.state.HasTask(t) {
			out = append(out, o.Entry.ID)
		}
	}
	return out
}

// answerPolls answers the pending long polls.
func (s *Server) answerPolls() {
	waits := s.waitingPolls
	s.waitingPolls = nil
	for _, l := range waits {
		if !l.done {
			l.done = true
			l.answer()
		}
	}
}

func (w *World) stopRun(n *simInstance, x fleet.StopRun) {
	s := w.server(x.Server)
	e := fleet.StopReply{Server: x.Server, Run: x.Run, SentAt: w.now}
	w.callServer(n, serverCall{server: s, order: x, limit: callTimeout, lost: e, refused: e, late: s.isLate(), execute: func(answer func(fleet.Event)) {
		done := e
		done.Fenced = s.state.Stop(w.now, x.Run, x.Fence)
		done.OK = !done.Fenced
		s.schedule()
		answer(done)
	}})
}

func (w *World) poll(n *simInstance, x fleet.Poll) {
	s := w.server(x.Server)
	sent := w.now
	lost := fleet.PollReply{Server: x.Server, Outcome: fleet.PollUnanswered, Poll: x, SentAt: sent}
	late := s.isLate()
	w.callServer(n, serverCall{server: s, order: x, limit: x.Wait + callTimeout, lost: lost, refused: lost, late: late, execute: func(answer func(fleet.Event)) {
		reply := func() {
			e := s.pollReply(x)
			e.SentAt = sent
			answer(e)
		}
		s.advance()
		fenced := s.state.Poll(w.now, x.Fence, x.AckedSeq, s.leaseEnd(x.LeaseEndMs, late))
		if late || x.Wait == 0 || fenced || len(s.state.Ended()) > 0 {
			reply()
			return
		}
		l := &waitingPoll{answer: reply, lose: func() { answer(lost) }}
		s.waitingPolls = append(s.waitingPolls, l)
		w.After(x.Wait, func() {
			if !l.done {
				l.done = true
				reply()
			}
		})
	}})
}

// pollReply returns the reply to a poll.
func (s *Server) pollReply(x fleet.Poll) fleet.PollReply {
	e := fleet.PollReply{Server: x.Server, Outcome: fleet.PollOK, Poll: x, ClockMs: s.state.ClockMs(s.world.now), BootMs: s.state.BootTime()}
	if s.state.Fenced(x.Fence) {
		e.Outcome = fleet.PollFenced
		return e
	}
	e.Running, e.Ended = s.state.Running(s.world.now), s.state.Ended()
	if s.TellsCapacity {
		c := s.Entry.Capacity
		e.Capacity = &c
	}
	return e
}

// capacityGrace is how long a capacity that has shrunk may still be filled: the time
// within which instances in touch know of a change, and one heartbeat.
const capacityGrace = 4500 * time.Millisecond

// pastCapacity is a capacity that a server had until a time.
type pastCapacity struct {
	capacity model.Resources
	until    fleet.Time
}

// Resize changes the server's capacity. Its entry says so with the next heartbeat.
func (s *Server) Resize(c model.Resources) {
	s.largerBefore = append(s.largerBefore, pastCapacity{s.Entry.Capacity, s.world.now})
	s.Entry.Capacity = c
}

// countedCapacity returns the largest capacity that the server had within
// capacityGrace.
func (s *Server) countedCapacity() model.Resources {
	c := s.Entry.Capacity
	for _, p := range s.largerBefore {
		if s.world.now.Sub(p.until) <= capacityGrace {
			c = model.Resources{
				CPUMilli: max(c.CPUMilli, p.capacity.CPUMilli), MemoryMB: max(c.MemoryMB, p.capacity.MemoryMB),
				Accelerators: max(c.Accelerators, p.capacity.Accelerators),
			}
		}
	}
	return c
}
