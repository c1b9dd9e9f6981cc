package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// dropServer forgets a backend server that is gone or owned by another instance. Tasks
// with runs there wait until the leases have expired.
func (p *pool) dropServer(s *server, now Time) {
	for _, r := range s.sortedRuns() {
		t := r.task
		if t == nil {
			p.orphans.addTask(r.id.Task, now.Add(p.orphanRunTime))
			continue
		}
		t.job.lostRuns++
		p.freeRun(s, r, RunRecord{Conclusion: WaitsServerLost, Wait: p.orphanRunTime}, now)
		p.delayTask(t, now.Add(p.orphanRunTime))
	}
	delete(p.servers, s.entry.ID)
	p.orderedServers = slices.DeleteFunc(p.orderedServers, func(o *server) bool { return o == s })
}

// handleRestart resets what is known of a restarted server, which has lost its state.
// The next poll shows which runs are gone: a start may have reached the new process
// before the restart was noticed.
func (p *pool) handleRestart(s *server, bootMs int64, now Time) {
	p.effect(LogEntry{Kind: LogServerReborn, Server: s.entry.ID, Value: uint64(bootMs), Count: len(s.runs)})
	s.life = s.life.next(bootMs, now)
	s.seenSeq, s.ackedSeq, s.leaseEndMs, s.quiesceUntil = 0, 0, 0, 0
	// Lease ends by the clock of the earlier life are far ahead; the new one shortens them
	// to the longest lease.
	s.restartedAt, s.unknownLease = now, p.lease
	clear(s.heldSeqs)
	s.clock = remoteClock{}
	s.leaving = leaving{bootMs: bootMs}
	s.phase = phaseRecovering
	s.health = health{}
	p.owners.markStale(s.ownership)
	for _, r := range s.runs {
		if r.state == runStopping {
			r.answeredAt, r.stopSentAt = 0, 0 // the stop is forgotten; the next tick repeats it
		}
	}
}

func (p *pool) startTask(t *task, s *server, now Time) {
	t.attempt++
	r := &run{
		id: RunID{t.id, t.attempt}, task: t, need: t.step.spec.Need, bootMs: s.life.bootMs, fence: s.ownership.Token(), sentAt: now,
		isolated: s.reservedFor == t,
		expected: p.expect(t.step, s, now), cold: s.isCold(now), farFactor: p.slowdown(t.step, s),
	}
	t.job.starts++
	p.chargeStart(t)
	t.job.activeRuns++
	s.addRun(r)
	clear(p.places.rooms)
	if t.attempt > 1 || t.job.again {
		p.logRun(LogRunStarted, s, r, now)
	}
	p.expectReply(s, callStart, r, now)
	s.health.started()
	p.effect(StartRun{
		Server: s.entry.ID, Addr: s.entry.Addr, Run: r.id, Spec: t.job.spec.Spec,
		Fence: s.ownership.Token(), LeaseEndMs: s.extendLease(now, p.leaseFor(p.wantedAge(s, now))),
	})
}

// leaseReserve is the share of the longest lease by which usual leases are shorter. All runs
// at a server have one lease, which never shortens: a job that was last known to be wanted
// up to this share ago may start there right after a renewal for others.
const leaseReserve = 0.3

// leaseFor returns the length of a lease of runs that were last known to be wanted a
// while ago.
func (p *pool) leaseFor(wantedAge time.Duration) time.Duration {
	return p.lease - max(wantedAge, time.Duration(leaseReserve*float64(p.lease)))
}

// leaseOutlasts reports whether the lease of a server's runs lasts longer than a run may
// that was last known to be wanted a while ago.
func (p *pool) leaseOutlasts(s *server, wantedAge time.Duration, now Time) bool {
	return s.leaseEndMs > s.clock.now(now)+(p.lease-wantedAge).Milliseconds()
}

// maxWantedAge is the wantedAge of a server or job above which no run is started: the
// rest of a usual lease must last until the next poll renews it.
const maxWantedAge = 700 * time.Millisecond

// wantedAge returns how long ago all runs at a server were last known to be wanted: the
// instances that hold their calls were reached then. Leases count from that time, so
// that they expire before those instances may run the jobs elsewhere, however late this
// instance notices or its commands arrive. A run that is being stopped keeps the time at
// which it was last wanted: its stop may never arrive.
func (p *pool) wantedAge(s *server, now Time) time.Duration {
	since := now
	for _, r := range s.runs {
		switch {
		case r.state == runStopping:
			since = min(since, r.lastWantedAt)
		case r.task != nil:
			since = min(since, p.members.wantedAt(r.task.job, now))
		}
	}
	return now.Sub(since)
}

// poll sends the poll that is due at a server, if any.
func (p *pool) poll(s *server, now Time) {
	if poll, due := s.nextPoll(now, p.replies.pollWait(), p.leaseFor(p.wantedAge(s, now))); due {
		p.sendPoll(s, poll, now)
	}
}

// handleStartReply processes the result of a start.
func (p *pool) handleStartReply(e StartReply, now Time) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	r := s.runs[e.Run]
	if e.ClockMs > 0 && e.SentAt >= s.restartedAt { // else perhaps of its earlier life
		p.recordReply(s, e.ClockMs, now)
	}
	if r == nil || r.state != runStarting && r.state != runUncertain {
		// A run that is being stopped is settled by the result of the stop.
		return
	}
	if e.Outcome != StartUnanswered && e.Outcome != StartNotSent {
		p.replies.observe(now.Sub(r.sentAt))
	}
	switch e.Outcome {
	case StartAccepted:
		r.confirm(now)
	case StartUnanswered:
		r.callEnded = true
		if r.state == runStarting {
			p.logRun(LogRunUnanswered, s, r, now)
			r.state, r.uncertainSince = runUncertain, now
		}
		p.handleUnanswered(s, e.SentAt, now)
		p.pollNow(s, now)
	case StartNotSent:
		p.handleUnanswered(s, e.SentAt, now)
		p.requeueRun(s, r, RunRecord{Conclusion: startConclusions[e.Outcome]}, now)
	case StartFenced:
		p.handleFenced(s, now)
	case StartOutdated, StartRejected:
		p.requeueRun(s, r, RunRecord{Conclusion: startConclusions[e.Outcome]}, now)
	case StartServerReplaced:
		p.requeueRun(s, r, RunRecord{Conclusion: startConclusions[e.Outcome]}, now)
		s.phase = phaseRecovering
	case StartMalformed:
		t := r.task
		p.freeRun(s, r, RunRecord{Conclusion: startConclusions[e.Outcome]}, now)
		if t != nil {
			p.endJob(t.job, Result{Kind: Failed, Reason: ReasonAttempts}, now)
		}
	}
	p.poll(s, now)
	p.dispatch(now)
}

// confirm records that the server has started the run.
func (r *run) confirm(now Time) {
	r.state, r.answeredAt, r.started = runConfirmed, now, true
	if r.task != nil {
		r.task.job.begun = true
	}
}

// requeueRun frees a run that was never started or is lost, and queues its task again.
func (p *pool) requeueRun(s *server, r *run, over RunRecord, now Time) {
	t := r.task
	p.freeRun(s, r, over, now)
	if t != nil {
		p.requeue(t)
	}
}

// freeRun removes a run from its server. over holds the conclusion on it.
func (p *pool) freeRun(s *server, r *run, over RunRecord, now Time) {
	s.removeRun(r)
	rec := r.record(s)
	rec.OverAt, rec.Conclusion, rec.End, rec.Wait = now, over.Conclusion, over.End, over.Wait
	rec.NowBootMs, rec.LeaseEndMs, rec.ClockMs = over.NowBootMs, over.LeaseEndMs, over.ClockMs
	p.logOver(rec, r.task != nil)
	if r.task != nil {
		r.task.job.keepRecord(rec)
		r.task.job.activeRuns--
	}
}

// requeueAbsentRun frees a run that a poll doesn't list.
func (p *pool) requeueAbsentRun(s *server, r *run, now Time) {
	over := RunRecord{Conclusion: ConcludedAbsent}
	if r.bootMs != s.life.bootMs && !r.foreign {
		over = RunRecord{Conclusion: ConcludedRestarted, NowBootMs: s.life.bootMs}
	}
	p.requeueLostRun(s, r, over, now)
}

// requeueExpiredRun frees a run whose lease has ended.
func (p *pool) requeueExpiredRun(s *server, r *run, now Time) {
	p.requeueLostRun(s, r, RunRecord{Conclusion: ConcludedExpired, LeaseEndMs: s.leaseEndMs, ClockMs: s.clock.now(now)}, now)
}

// requeueLostRun frees a run that no longer exists and whose end is unknown. Its job ends
// if the task has crashed too many servers.
func (p *pool) requeueLostRun(s *server, r *run, over RunRecord, now Time) {
	t := r.task
	if t != nil {
		t.job.lostRuns++
		p.recordLoss(s, r, now)
	}
	p.requeueRun(s, r, over, now)
	if t != nil && t.suspect() {
		p.reconsider(t, now)
	}
}

// stopRun sends a stop. The run occupies its capacity until its end is known.
func (p *pool) stopRun(s *server, r *run, now Time) {
	if r.state != runStopping {
		r.firstStopAt, r.lastWantedAt = now, now
		if r.task != nil {
			r.lastWantedAt = p.members.wantedAt(r.task.job, now)
		}
	}
	r.state, r.stopSentAt, r.answeredAt = runStopping, now, 0
	p.expectReply(s, callStop, r, now)
	p.effect(StopRun{Server: s.entry.ID, Addr: s.entry.Addr, Run: r.id, Fence: s.ownership.Token()})
}

// handleStopReply processes the result of a stop.
func (p *pool) handleStopReply(e StopReply, now Time) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	if e.Fenced {
		p.handleFenced(s, now)
		return
	}
	r := s.runs[e.Run]
	if r == nil || r.state != runStopping {
		return
	}
	if e.SentAt < s.restartedAt {
		return // perhaps answered by its earlier life; it is repeated
	}
	if e.OK {
		r.answeredAt = now
		p.pollNow(s, now)
		return
	}
	p.handleUnanswered(s, e.SentAt, now)
	if s.misses < missesUntilUnresponsive {
		p.stopRun(s, r, now)
	}
}

// handleUnanswered records an unanswered call. The server gets no starts until it
// replies to a new poll.
func (p *pool) handleUnanswered(s *server, sentAt, now Time) {
	if s.markMissed(sentAt, now) {
		p.effect(LogEntry{Kind: LogServerSilent, Server: s.entry.ID, Count: len(s.runs)})
		p.noteOutage(s, now)
	}
	if s.misses > 0 {
		p.pollNow(s, now)
	}
}

// pollNow sends a poll that returns immediately.
func (p *pool) pollNow(s *server, now Time) {
	if poll, due := s.immediatePoll(now, p.leaseFor(p.wantedAge(s, now))); due {
		p.sendPoll(s, poll, now)
	}
}

// recordReply records a reply of a server.
func (p *pool) recordReply(s *server, clockMs int64, now Time) {
	if s.markReplied(clockMs, now) {
		p.effect(LogEntry{Kind: LogServerBack, Server: s.entry.ID})
	}
}

// handleFenced drops a server that another instance owns.
func (p *pool) handleFenced(s *server, now Time) {
	p.effect(LogEntry{Kind: LogServerFenced, Server: s.entry.ID, Value: s.ownership.Token()})
	p.owners.markFenced(s.ownership)
	p.dropServer(s, now)
}

// handlePollReply processes the running and ended runs of a server.
func (p *pool) handlePollReply(e PollReply, now Time) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	if e.Outcome == PollOK {
		p.replies.observePoll(false)
	}
	// The reply to an earlier poll, which was overdue, leaves the later one in flight.
	switch {
	case e.Poll.Immediate && e.SentAt >= s.polledNowAt:
		s.polledNowAt = 0
	case !e.Poll.Immediate && e.SentAt >= s.polledAt:
		s.polledAt = 0
	}
	switch e.Outcome {
	case PollFenced:
		p.handleFenced(s, now)
		p.dispatch(now)
		return
	case PollUnanswered:
		p.handleUnanswered(s, e.SentAt, now)
		p.poll(s, now)
		return
	case PollServerReplaced:
		// Another server process answers at the address, so nothing renews the leases.
		s.phase = phaseRecovering
		p.handleUnanswered(s, e.SentAt, now)
		s.nextPollAt = now.Add(pollRetryInterval)
		return
	}
	switch order := s.life.order(e.BootMs, e.SentAt); {
	case order == earlierLife:
		p.poll(s, now) // a reply from before the restart, overtaken by a later one
		return
	case order == laterLife && s.life.bootMs != 0:
		p.handleRestart(s, e.BootMs, now)
	case order == laterLife:
		s.learnLife(e.BootMs, now)
	}
	p.recordReply(s, e.ClockMs, now)
	s.learnLease(now)
	p.refuteLosses(s, now)
	if e.Draining && s.leaving.report(true, e.BootMs, e.ClockMs) {
		p.logLeaving(s, listSource{way: wayPoll}, 0)
	}
	s.recordCapacity(e)
	s.ackedSeq = max(s.ackedSeq, min(e.Poll.AckedSeq, s.seenSeq))
	for _, end := range e.Ended {
		p.handleEnd(s, end, now)
	}
	p.reconcile(s, e, now)
	p.poll(s, now)
	if s.pollAgain {
		p.pollNow(s, now)
	}
	p.dispatch(now)
}

// handleEnd processes the end of a run.
func (p *pool) handleEnd(s *server, e EndedRun, now Time) {
	if e.Seq <= s.seenSeq {
		return
	}
	s.seenSeq = e.Seq
	r := s.runs[e.Run]
	if r == nil || r.foreign {
		p.holdForeignEnd(s, e, now)
	}
	if r == nil {
		return
	}
	t := r.task
	p.freeRun(s, r, RunRecord{Conclusion: ConcludedListed, End: e.Kind}, now)
	if t == nil {
		return
	}
	if t.job.durable != nil {
		p.holder.recordEnd(s, t, e, now)
	}
	switch e.Kind {
	case EndDone:
		far := r.farFactor // a group may have been spread since the start
		if r.foreign {
			far = p.slowdown(t.step, s)
		}
		s.learnSpeed(r, stretch(t.step.spec.Estimate, far), now)
		if s.health.done() {
			p.effect(LogEntry{Kind: LogServerRestored, Server: s.entry.ID})
		}
		p.taskDone(t, now)
	case EndFailed:
		p.taskFailed(s, r, t, now)
	default:
		if r.taskFault {
			p.countStall(t, now)
			return
		}
		p.requeue(t)
	}
}

// holdForeignEnd holds back the end of an earlier owner's run. If it belongs to a
// durable job, the next holder may start the task again, so the end is acknowledged
// only after the leases have expired, which makes it void.
func (p *pool) holdForeignEnd(s *server, e EndedRun, now Time) {
	if s.phase != phaseRecovering || p.holder.scanned && !p.holder.inUse || e.Kind != EndDone && e.Kind != EndFailed {
		return
	}
	s.holdAck(e.Seq)
	s.quiesceUntil = max(s.quiesceUntil, now.Add(p.orphanRunTime))
}

// quiesce stops giving work to a server until the leases there have expired.
func (p *pool) quiesce(id model.ServerID, now Time) {
	if s := p.servers[id]; s != nil {
		s.quiesceUntil = max(s.quiesceUntil, now.Add(p.orphanRunTime))
	}
}

// endAllQuiesce resumes work at all servers, as the fleet has no durable jobs.
func (p *pool) endAllQuiesce() {
	for _, s := range p.orderedServers {
		s.quiesceUntil = 0
		clear(s.heldSeqs)
	}
}

// endQuiesce resumes work at a server whose leases have expired.
func (p *pool) endQuiesce(s *server, now Time) {
	if s.quiesceUntil == 0 {
		return
	}
	if len(s.runs) > 0 {
		s.quiesceUntil = max(s.quiesceUntil, now.Add(p.orphanRunTime)) // their leases are renewed
		return
	}
	if now >= s.quiesceUntil {
		s.quiesceUntil = 0
		clear(s.heldSeqs)
	}
}

// interrupt stops the runs of a job, which start again later.
func (p *pool) interrupt(j *job, now Time) { p.stopRuns(j, func(*server, *run) {}, now) }

func (p *pool) taskDone(t *task, now Time) {
	j := t.job
	j.remaining--
	t.step.remaining--
	if j.remaining == 0 {
		p.endJob(j, Result{Kind: Completed}, now)
		return
	}
	if t.step.remaining == 0 {
		j.unblockSteps()
		p.enqueue(j)
	}
}

func (p *pool) taskFailed(s *server, r *run, t *task, now Time) {
	rec := r.record(s)
	rec.OverAt, rec.Conclusion, rec.End = now, ConcludedListed, EndFailed
	p.effect(LogEntry{Kind: LogRunFailed, Server: s.entry.ID, Run: r.id, Count: t.failures + 1, Record: &rec, At: now})
	if s.health.failed(t.job.spec.ID, now) {
		p.effect(LogEntry{Kind: LogServerQuarantined, Server: s.entry.ID, Count: s.health.failures})
	}
	p.countFailure(t, now)
}

// countFailure queues a failed task again, or fails its job after too many attempts.
func (p *pool) countFailure(t *task, now Time) {
	t.failures++
	if t.failures >= t.job.spec.MaxAttempts {
		p.endJob(t.job, Result{Kind: Failed, Reason: ReasonAttempts}, now)
		return
	}
	p.requeue(t)
}

// countStall queues a stalled task again, or ends its job after too many attempts: the
// result is unknown, as the task has not failed and may have run.
func (p *pool) countStall(t *task, now Time) {
	if t.failures+t.stalls > t.job.spec.MaxAttempts {
		p.endJob(t.job, Result{Kind: Unknown, Reason: ReasonStalled}, now)
		return
	}
	p.requeue(t)
}

// reconcile compares the runs listed by a server with those recorded here.
func (p *pool) reconcile(s *server, e PollReply, now Time) {
	present := make(map[RunID]bool, len(e.Running))
	for _, row := range e.Running {
		present[row.Run] = true
		r := s.runs[row.Run]
		if r == nil {
			r = &run{id: row.Run, foreign: true, bootMs: e.BootMs, sentAt: now}
			s.addRun(r)
			p.logRun(LogForeignRun, s, r, now)
		}
		switch stalled := r.updateProgress(row.Percent, now); {
		case r.task == nil && r.state != runStopping:
			p.stopRun(s, r, now)
		case stalled && r.task != nil:
			p.stopStalled(s, r, now)
		}
	}
	for _, r := range s.sortedRuns() {
		switch {
		case r.state == runUncertain && r.uncertainSince <= e.SentAt:
			p.resolveUncertain(s, r, present[r.id], now)
		case !present[r.id] && !e.MoreEnds && r.answeredAt != 0 && r.answeredAt <= e.SentAt:
			p.requeueAbsentRun(s, r, now)
		}
	}
	if s.phase == phaseRecovering && e.Poll.Fence == s.ownership.Token() {
		p.finishRecovery(s, now)
	}
}

// stopStalled stops a stalled run so that its task starts elsewhere. The first stall of
// a job counts against the server; a task that stalls again uses up an attempt.
func (p *pool) stopStalled(s *server, r *run, now Time) {
	rec := r.record(s)
	p.effect(LogEntry{Kind: LogRunOverdue, Server: s.entry.ID, Run: r.id, Age: now.Sub(r.progressAt), Count: r.percent, Record: &rec, At: now})
	r.taskFault = r.task.stalls > 0 && r.task.job.durable == nil // durable jobs fail only through reported failures
	if !r.task.job.stalled {
		s.health.stalled(now)
		p.effect(LogEntry{Kind: LogServerQuarantined, Server: s.entry.ID, Run: r.id, Reason: "the run stands still"})
	}
	r.task.stalls++
	r.task.job.stalled = true
	p.stopRun(s, r, now)
}

// resolveUncertain settles a run whose start was unanswered. If it isn't running, a
// stop prevents it from starting later, as the start may still arrive. A poll may
// overtake a start whose call is still in progress, as on a process that is short of
// CPU time; only the second poll that doesn't list the run counts then.
func (p *pool) resolveUncertain(s *server, r *run, present bool, now Time) {
	switch {
	case present:
		r.confirm(now)
	case r.callEnded || r.absentBefore:
		p.stopRun(s, r, now)
	default:
		r.absentBefore, r.state = true, runStarting
		p.expectReply(s, callStart, r, now)
	}
}

// finishRecovery opens a server for starts once no unknown run is left there, it is no
// longer quiesced, and, while the store answers, its capacity in this life is known and it
// has a token that no order sent to its earlier life carries: it would carry out such an
// order late, as it has forgotten tokens and stops.
func (p *pool) finishRecovery(s *server, now Time) {
	if s.quiesceUntil != 0 || p.members.storeUp && (p.owners.hasStaleToken(s.entry.ID) || s.capacityUnknown()) || slices.ContainsFunc(s.sortedRuns(), func(r *run) bool { return r.task == nil }) {
		s.nextPollAt = now.Add(recoveryPollInterval)
		return
	}
	p.opened(s)
}

func (p *pool) tickServer(s *server, now Time) {
	p.endQuiesce(s, now)
	if s.misses > 0 && s.leasesExpired(now) {
		for _, r := range s.sortedRuns() {
			p.requeueExpiredRun(s, r, now)
		}
	}
	for _, r := range s.sortedRuns() {
		if r.state == runStopping && r.answeredAt == 0 && now.Sub(r.stopSentAt) > stopRetryInterval {
			p.stopRun(s, r, now)
		}
	}
	p.poll(s, now)
	if s.misses > 0 || s.hasUncertainRun() || !p.members.storeUp && s.capacityOutdated(now) {
		p.pollNow(s, now)
	}
}

// hasUncertainRun reports whether a run waits for a poll to tell whether it exists.
func (s *server) hasUncertainRun() bool {
	for _, r := range s.runs {
		if r.state == runUncertain {
			return true
		}
	}
	return false
}
