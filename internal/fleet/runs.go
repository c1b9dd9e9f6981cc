package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// drop forgets a backend server that another instance owns now, or that is
// gone. Tasks with runs there wait until the leases have lapsed.
func (p *pool) drop(s *server, now Time) {
	for _, r := range s.sorted() {
		if t := r.task; t != nil {
			p.free(s, r)
			p.waitFor(t, now.Add(p.goneAfter))
		}
	}
	delete(p.servers, s.entry.ID)
	p.order = slices.DeleteFunc(p.order, func(o *server) bool { return o == s })
}

// reborn notes that a server has started anew and remembers nothing. Which runs
// are gone is told by the next look: a start may have reached the new life
// before anything was heard of it.
func (p *pool) reborn(s *server, born int64) {
	p.effect(LogEntry{Kind: LogServerReborn, Server: s.entry.ID, Value: uint64(born), Count: len(s.runs)})
	s.born, s.seen, s.acked, s.leaseEnd, s.quiesceTill = born, 0, 0, 0, 0
	clear(s.held)
	s.clock = remoteClock{}
	s.drains = false
	s.phase = phaseLooking
	s.health = health{}
}

func (p *pool) start(t *task, s *server, now Time) {
	t.attempt++
	r := &run{
		id: RunID{t.id, t.attempt}, task: t, need: t.step.spec.Need, sentAt: now,
		expected: s.pace.expect(t.step.spec.Estimate),
	}
	t.job.starts++
	t.job.live++
	s.add(r)
	s.health.started()
	p.effect(StartRun{
		Server: s.entry.ID, Addr: s.entry.Addr, Run: r.id, Spec: t.job.spec.Spec,
		Fence: s.own.Revision, LeaseEndMs: s.extendLease(now, p.lease-p.wantedAge(s, now)),
	})
}

// startWithin is how long ago a run must have been known to be wanted so that
// others start beside it: the rest of a usual lease, in which the next look comes.
const startWithin = 700 * time.Millisecond

// wantedAge returns how long ago all runs at a server were known to be wanted: the
// instances that hold their callers were reached then. Leases count from that
// time, so that they end when those may let the jobs run elsewhere, however late
// this instance learns of it or its orders arrive. A run that is being stopped was
// wanted until then.
func (p *pool) wantedAge(s *server, now Time) time.Duration {
	since := now
	for _, r := range s.runs {
		switch {
		case r.state == runStopping:
			since = min(since, r.stoppedAt)
		case r.task != nil:
			since = min(since, p.members.wantedAt(r.task.job, now))
		}
	}
	return now.Sub(since)
}

// look sends the look that is due at a server, if any.
func (p *pool) look(s *server, now Time) {
	if l, due := s.nextLook(now, p.lease, p.wantedAge(s, now)); due {
		p.effect(l)
	}
}

// startAnswered takes in what became of a start.
func (p *pool) startAnswered(e StartReply, now Time) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	r := s.runs[e.Run]
	if e.ClockMs > 0 {
		p.heard(s, e.ClockMs, now)
	}
	if r == nil || r.state != runStarting {
		// A run that is being stopped is settled by the answer to the stop.
		return
	}
	switch e.Outcome {
	case StartAccepted:
		r.state, r.settledAt = runConfirmed, now
	case StartUnanswered:
		p.effect(LogEntry{Kind: LogRunUnanswered, Server: e.Server, Run: e.Run, Age: now.Sub(e.SentAt)})
		r.state, r.doubtedAt = runDoubted, now
		p.suspect(s, e.SentAt, now)
		p.probe(s, now)
	case StartNotSent:
		p.suspect(s, e.SentAt, now)
		p.again(s, r, now)
	case StartFenced:
		p.fenced(s, now)
	case StartOutdated, StartRejected:
		p.again(s, r, now)
	case StartServerReplaced:
		p.again(s, r, now)
		s.phase = phaseLooking
	case StartMalformed:
		t := r.task
		p.free(s, r)
		if t != nil {
			p.end(t.job, Result{Kind: Failed, Reason: ReasonAttempts}, now)
		}
	}
	p.look(s, now)
	p.dispatch(now)
}

// again frees the room of a run that was never started and lets its task wait.
func (p *pool) again(s *server, r *run, now Time) {
	t := r.task
	p.free(s, r)
	if t != nil {
		p.retry(t)
	}
}

// free removes a run from its server.
func (p *pool) free(s *server, r *run) {
	s.remove(r)
	if r.task != nil {
		r.task.job.live--
	}
}

// lost frees a run that can't be there any more and whose end is unknown.
func (p *pool) lost(s *server, r *run, now Time) {
	if r.task != nil {
		p.effect(LogEntry{Kind: LogRunLost, Server: s.entry.ID, Run: r.id, Age: now.Sub(r.sentAt)})
	}
	p.again(s, r, now)
}

// stop orders the end of a run. Its room stays occupied until the end is known.
func (p *pool) stop(s *server, r *run, now Time) {
	if r.state != runStopping {
		r.stoppedAt = now
	}
	r.state, r.stopSent, r.settledAt = runStopping, now, 0
	p.effect(StopRun{Server: s.entry.ID, Addr: s.entry.Addr, Run: r.id, Fence: s.own.Revision})
}

// stopAnswered takes in what became of a stop.
func (p *pool) stopAnswered(e StopReply, now Time) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	if e.Fenced {
		p.fenced(s, now)
		return
	}
	r := s.runs[e.Run]
	if r == nil || r.state != runStopping {
		return
	}
	if e.OK {
		r.settledAt = now
		p.probe(s, now)
		return
	}
	p.suspect(s, e.SentAt, now)
	if s.misses < missesSilent {
		p.stop(s, r, now)
	}
}

// suspect notes an unanswered call to a server, which gets no starts until a
// fresh look is answered.
func (p *pool) suspect(s *server, sentAt, now Time) {
	if s.missed(sentAt, now) {
		p.effect(LogEntry{Kind: LogServerSilent, Server: s.entry.ID, Count: len(s.runs)})
	}
	if s.misses > 0 {
		p.probe(s, now)
	}
}

// probe sends a look that does not wait.
func (p *pool) probe(s *server, now Time) {
	if l, due := s.probe(now, p.lease, p.wantedAge(s, now)); due {
		p.effect(l)
	}
}

// heard notes an answer of a server.
func (p *pool) heard(s *server, clockMs int64, now Time) {
	if s.answered(clockMs, now) {
		p.effect(LogEntry{Kind: LogServerBack, Server: s.entry.ID})
	}
}

// fenced notes that another instance owns a server.
func (p *pool) fenced(s *server, now Time) {
	p.effect(LogEntry{Kind: LogServerFenced, Server: s.entry.ID, Value: s.own.Revision})
	p.drop(s, now)
}

// lookAnswered takes in what runs and has ended at a server.
func (p *pool) lookAnswered(e PollReply, now Time) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	if e.Poll.Probe {
		s.probing = false
	} else {
		s.looking = false
	}
	switch e.Outcome {
	case PollFenced:
		p.fenced(s, now)
		p.dispatch(now)
		return
	case PollUnanswered:
		p.suspect(s, e.SentAt, now)
		p.look(s, now)
		return
	case PollServerReplaced:
		// Another server answers at the address: nothing renews the runs.
		s.phase = phaseLooking
		p.suspect(s, e.SentAt, now)
		s.lookAt = now.Add(lookRetryPause)
		return
	}
	if e.BootMs != 0 && e.BootMs < s.born {
		p.look(s, now) // an answer of an earlier life, overtaken by a later one's
		return
	}
	if e.BootMs > s.born {
		if s.born != 0 {
			p.reborn(s, e.BootMs)
		}
		s.born = e.BootMs
	}
	p.heard(s, e.ClockMs, now)
	s.drains = s.drains || e.Draining
	s.acked = max(s.acked, min(e.Poll.AckedSeq, s.seen))
	for _, end := range e.Ended {
		p.ended(s, end, now)
	}
	p.compare(s, e, now)
	p.look(s, now)
	p.dispatch(now)
}

// ended takes in the end of a run.
func (p *pool) ended(s *server, e EndedRun, now Time) {
	if e.Seq <= s.seen {
		return
	}
	s.seen = e.Seq
	r := s.runs[e.Run]
	if r == nil || r.foreign {
		p.foreignEnd(s, e, now)
	}
	if r == nil {
		return
	}
	t := r.task
	p.free(s, r)
	if t == nil {
		return
	}
	if t.job.kept != nil {
		p.holder.runEnded(s, t, e, now)
	}
	switch e.Kind {
	case EndDone:
		s.pace.learn(now.Sub(r.sentAt), t.step.spec.Estimate)
		if s.health.done() {
			p.effect(LogEntry{Kind: LogServerRestored, Server: s.entry.ID})
		}
		p.taskDone(t, now)
	case EndFailed:
		p.taskFailed(s, t, now)
	default:
		if r.fault {
			p.countStall(t, now)
			return
		}
		p.retry(t)
	}
}

// foreignEnd notes an end that an earlier owner has not acknowledged. If it is of
// a kept job, the next holder may start the task again; so it is acknowledged
// only after the leases have lapsed, which makes the end void.
func (p *pool) foreignEnd(s *server, e EndedRun, now Time) {
	if s.phase != phaseLooking || p.holder.looked && !p.holder.inUse || e.Kind != EndDone && e.Kind != EndFailed {
		return
	}
	s.hold(e.Seq)
	s.quiesceTill = max(s.quiesceTill, now.Add(p.goneAfter))
}

// quiesce gives a server no more work until the leases there have lapsed.
func (p *pool) quiesce(id model.ServerID, now Time) {
	if s := p.servers[id]; s != nil {
		s.quiesceTill = max(s.quiesceTill, now.Add(p.goneAfter))
	}
}

// endAllQuiesce lets all servers take work again, as no job is kept in the fleet.
func (p *pool) endAllQuiesce() {
	for _, s := range p.order {
		s.quiesceTill = 0
		clear(s.held)
	}
}

// endQuiesce lets a server take work again whose leases have lapsed.
func (p *pool) endQuiesce(s *server, now Time) {
	if s.quiesceTill == 0 {
		return
	}
	if len(s.runs) > 0 {
		s.quiesceTill = max(s.quiesceTill, now.Add(p.goneAfter)) // their leases are renewed
		return
	}
	if now >= s.quiesceTill {
		s.quiesceTill = 0
		clear(s.held)
	}
}

// interrupt stops the runs of a job, which start again later.
func (p *pool) interrupt(j *job, now Time) { p.stopRuns(j, func(*run) {}, now) }

func (p *pool) taskDone(t *task, now Time) {
	j := t.job
	j.left--
	t.step.left--
	if j.left == 0 {
		p.end(j, Result{Kind: Completed}, now)
		return
	}
	if t.step.left == 0 {
		j.openSteps()
		p.enqueue(j)
	}
}

func (p *pool) taskFailed(s *server, t *task, now Time) {
	p.effect(LogEntry{Kind: LogRunFailed, Server: s.entry.ID, Run: RunID{t.id, t.attempt}, Count: t.failures + 1})
	if s.health.failed(t.job.spec.ID, now) {
		p.effect(LogEntry{Kind: LogServerQuarantined, Server: s.entry.ID, Count: s.health.failures})
	}
	p.countFailure(t, now)
}

// countFailure lets a failed task start again, or gives its job up.
func (p *pool) countFailure(t *task, now Time) {
	t.failures++
	if t.failures >= t.job.spec.MaxAttempts {
		p.end(t.job, Result{Kind: Failed, Reason: ReasonAttempts}, now)
		return
	}
	p.retry(t)
}

// countStall lets a task start again that stands still wherever it runs, or gives
// its job up: it has not failed, and may have run.
func (p *pool) countStall(t *task, now Time) {
	if t.failures+t.stalls > t.job.spec.MaxAttempts {
		p.end(t.job, Result{Kind: Unknown, Reason: ReasonStalled}, now)
		return
	}
	p.retry(t)
}

// compare matches what a server lists as running with what is booked there.
func (p *pool) compare(s *server, e PollReply, now Time) {
	present := make(map[RunID]bool, len(e.Running))
	for _, row := range e.Running {
		present[row.Run] = true
		r := s.runs[row.Run]
		if r == nil {
			r = &run{id: row.Run, foreign: true, sentAt: now}
			s.add(r)
			p.effect(LogEntry{Kind: LogForeignRun, Server: s.entry.ID, Run: row.Run})
		}
		switch stalled := r.listed(row.Percent, now); {
		case r.task == nil && r.state != runStopping:
			p.stop(s, r, now)
		case stalled && r.task != nil:
			p.stalled(s, r, now)
		}
	}
	for _, r := range s.sorted() {
		switch {
		case r.state == runDoubted && r.doubtedAt <= e.SentAt:
			p.resolve(s, r, present[r.id], now)
		case !present[r.id] && r.settledAt != 0 && r.settledAt < e.SentAt:
			p.lost(s, r, now)
		}
	}
	if s.phase == phaseLooking {
		p.cleared(s, now)
	}
}

// stalled stops a run that stands still, so that its task starts elsewhere. The
// first run of a job to do so speaks against the server; a task that stands
// still again uses up an attempt.
func (p *pool) stalled(s *server, r *run, now Time) {
	p.effect(LogEntry{Kind: LogRunOverdue, Server: s.entry.ID, Run: r.id, Age: now.Sub(r.progressAt), Count: r.percent})
	r.fault = r.task.stalls > 0 && r.task.job.kept == nil // a kept job fails only by ends that say so
	if !r.task.job.stalled {
		s.health.stalled(now)
		p.effect(LogEntry{Kind: LogServerQuarantined, Server: s.entry.ID, Run: r.id, Reason: "the run stands still"})
	}
	r.task.stalls++
	r.task.job.stalled = true
	p.stop(s, r, now)
}

// resolve settles a run whose start got no answer: one that runs goes on, one
// that doesn't is forbidden, as its start may still come.
func (p *pool) resolve(s *server, r *run, present bool, now Time) {
	if present {
		r.state, r.settledAt = runConfirmed, now
		return
	}
	p.stop(s, r, now)
}

// cleared opens a server for starts once nothing is left there that this
// instance doesn't know.
func (p *pool) cleared(s *server, now Time) {
	if s.quiesceTill != 0 || slices.ContainsFunc(s.sorted(), func(r *run) bool { return r.task == nil }) {
		s.lookAt = now.Add(stopRetryPause)
		return
	}
	s.phase = phaseServing
}

func (p *pool) tickServer(s *server, now Time) {
	p.endQuiesce(s, now)
	if s.misses > 0 && s.lapsed(now) {
		for _, r := range s.sorted() {
			p.lost(s, r, now)
		}
	}
	for _, r := range s.sorted() {
		if r.state == runStopping && r.settledAt == 0 && now.Sub(r.stopSent) > stopAgainAfter {
			p.stop(s, r, now)
		}
	}
	p.look(s, now)
	if s.misses > 0 || s.doubted() {
		p.probe(s, now)
	}
}

// doubted reports whether a run waits for a look that tells whether it is there.
func (s *server) doubted() bool {
	for _, r := range s.runs {
		if r.state == runDoubted {
			return true
		}
	}
	return false
}
