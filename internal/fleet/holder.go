package fleet

import (
	"slices"
	"strings"
)

// maxUnsavedJobs limits the jobs that wait for their first write: less than a second of
// writes at the store's usual rate.
const maxUnsavedJobs = 256

// holder manages the durable jobs held by this instance. A job is started only while
// the store names this incarnation as its holder.
type holder struct {
	self    Member
	members *members
	owners  *owners
	pool    *pool
	effect  func(Effect)

	jobs      map[string]*durableJob
	lastCall  CallID
	inUse     bool // some durable job exists in the fleet
	scanned   bool // the store has been scanned for durable jobs
	announced bool // peers know that durable jobs exist
	renewedAt Time // last renewal of this instance's entry in the store
	uncertain bool // another instance may take over the jobs
	entryLost bool // the store may not list this instance
	leaving   bool
	pending   *pendingCounts
	released  []releasedJob // of late

	scanning              bool
	scanBegan             Time // when the last scan began
	scanningAll           bool // it takes all orphaned jobs, not only those of this instance's earlier incarnations
	nextScanAt            Time // 0 if none is scheduled
	scanAll               bool // the same for the next scan
	nextOrphanScanAt      Time // next periodic scan for orphaned jobs
	firstOrphanScanPassed bool // the first orphan scan was due; later ones run only if durable jobs are in use
}

func newHolder(self Member, m *members, o *owners, p *pool, now Time, effect func(Effect)) *holder {
	h := &holder{
		self: self, members: m, owners: o, pool: p, effect: effect, jobs: map[string]*durableJob{}, renewedAt: now,
		nextScanAt: now, nextOrphanScanAt: now.Add(firstOrphanScanDelay),
	}
	h.pending = newPendingCounts(h, m)
	return h
}

// offer accepts a durable job. declined reports that it should be offered elsewhere.
func (h *holder) offer(origin Member, call CallID, spec JobSpec) (declined bool) {
	h.inUse = true
	x := h.jobs[spec.ID]
	switch {
	case x != nil && x.job != nil:
		h.reply(waiter{origin, call}, Result{Kind: Accepted})
		return false
	case x != nil:
		x.waiters = append(x.waiters, waiter{origin, call})
		return false
	case h.leaving:
		return true
	case !h.members.storeUp || h.uncertain || h.unsavedCount() >= maxUnsavedJobs:
		h.reply(waiter{origin, call}, Result{Kind: NotRun, Reason: ReasonStoreUnavailable, RetryAfter: minRetryAfter})
		return false
	case !h.pool.hasMemoryFor(&spec):
		h.reply(waiter{origin, call}, Result{Kind: NotRun, Reason: ReasonMemory, RetryAfter: minRetryAfter})
		return false
	}
	spec.Timeout = durableTimeout
	x = &durableJob{
		record:  Record{ID: spec.ID, State: StateOpen, Term: 1, Job: spec},
		waiters: []waiter{{origin, call}}, origin: origin, progress: map[TaskID]TaskProgress{},
	}
	h.jobs[spec.ID] = x
	h.save(x)
	return false
}

// unsavedCount returns the number of jobs not yet stored.
func (h *holder) unsavedCount() int {
	n := 0
	for _, x := range h.jobs {
		if x.job == nil {
			n++
		}
	}
	return n
}

func (h *holder) reply(w waiter, r Result) {
	h.effect(outcomeReady{origin: w.origin, outcome: Outcome{Call: w.call, Result: r}})
}

// answerWaiters answers the calls that wait until the job is stored.
func (h *holder) answerWaiters(x *durableJob, r Result) {
	for _, w := range x.waiters {
		h.reply(w, r)
	}
	x.waiters = nil
}

// save writes a job. If a write is pending, the job is written again after it.
func (h *holder) save(x *durableJob) {
	x.dirty = true
	if x.saving {
		return
	}
	x.record.Holder, x.record.Incarnation = h.self.Instance, h.self.Incarnation
	if x.release && h.idle(x) {
		x.record.Holder, x.record.Incarnation = "", ""
	}
	x.dirty, x.saving = false, true
	x.savingEnds, x.unsavedEnds = x.unsavedEnds, nil
	x.record.Version++
	x.record.Progress, x.record.Started = x.sortedProgress(), x.hasStarted()
	x.sent = x.record
	h.effect(SaveJob{Record: x.sent})
}

// idle reports whether a job may be released: none of its runs may exist, as the next
// holder doesn't wait for them.
func (h *holder) idle(x *durableJob) bool { return x.idle() && h.pool.delayedUntil(x.job) == 0 }

// handleSaved processes the result of a write.
func (h *holder) handleSaved(e JobSaved, now Time) {
	x := h.jobs[e.ID]
	if x == nil || !x.saving {
		return
	}
	x.saving = false
	if e.Conflict {
		h.handleConflict(x, e, now)
		return
	}
	x.record.Revision = e.Revision
	h.releaseEnds(x.savingEnds)
	x.savingEnds = nil
	h.answerWaiters(x, Result{Kind: Accepted})
	switch {
	case x.sent.State != StateOpen:
		if x.origin.Instance != "" && !x.origin.sameIncarnation(h.self) {
			h.effect(SendPeer{To: x.origin, Message: JobEnded{ID: e.ID, State: x.sent.State}})
		}
		h.remove(x)
		return
	case x.sent.Holder == "":
		h.noteReleased(x, now)
		spec := x.job.spec
		h.remove(x)
		h.announceRelease(&spec, now)
		return
	case x.job == nil:
		h.enqueue(x, now)
	}
	if !h.uncertain && !h.entryLost && !x.verified && !x.dirty {
		x.verified = true
		h.pool.dispatch(now)
	}
	if x.dirty {
		h.save(x)
	}
}

// finalResults are the results of the final states of a job.
var finalResults = map[JobState]ResultKind{StateCompleted: Completed, StateFailed: Failed, StateCancelled: Cancelled}

// handleConflict processes a write that failed because another instance wrote first.
func (h *holder) handleConflict(x *durableJob, e JobSaved, now Time) {
	current := e.Current
	answer := Result{Kind: Accepted} // the job is stored, whoever holds it
	switch {
	case e.Cancelled:
		answer = Result{Kind: NotRun, Reason: ReasonCancelled}
	case current == nil:
		answer = Result{Kind: Unknown}
	case current.State != StateOpen:
		answer = Result{Kind: finalResults[current.State]}
	}
	h.answerWaiters(x, answer)
	ends := append(x.savingEnds, x.unsavedEnds...)
	h.abandon(x, now)
	if current != nil && current.State == StateCancelled {
		h.releaseEnds(ends)
		return
	}
	if x.job != nil {
		h.effect(LogEntry{Kind: LogJobLost, Job: x.record.ID, Reason: "the store names another holder or none"})
	}
	// The next holder starts these tasks again, so their ends may be acknowledged only
	// after the leases have expired.
	for _, e := range ends {
		h.pool.quiesce(e.server, now)
	}
	if current != nil && current.State == StateOpen && h.orphaned(*current, now) != notEnded {
		h.scheduleScan(now.Add(conflictScanDelay), true) // the writer may be alive without this instance knowing it yet
	}
}

// abandon drops a job that this instance no longer holds.
func (h *holder) abandon(x *durableJob, now Time) {
	if x.job != nil && !x.job.done {
		h.pool.stopJob(x.job, now)
	}
	h.remove(x)
}

func (h *holder) remove(x *durableJob) {
	delete(h.jobs, x.record.ID)
	if j := x.job; j != nil {
		j.done = true
		delete(h.pool.jobs, j.key())
	}
}

// releaseEnds allows ends to be acknowledged.
func (h *holder) releaseEnds(ends []heldEnd) {
	for _, e := range ends {
		if s := h.pool.servers[e.server]; s != nil && s.life.bootMs == e.bootMs {
			delete(s.heldSeqs, e.seq)
		}
	}
}

// enqueue queues a stored job. It doesn't start before it is verified.
func (h *holder) enqueue(x *durableJob, now Time) {
	h.lastCall++
	j := newJob(x.record.Job, h.self, firstDurableCall+h.lastCall)
	j.durable, x.job = x, j
	j.applyProgress(x.progress, (x.record.Term-1)*attemptsPerTerm, now)
	h.pool.jobs[j.key()] = j
	h.pool.updateTypicalMilli(j.spec)
	h.pool.noteOffered(j, now)
	if end, ok := j.finalResult(); ok {
		h.pool.endJob(j, end, now)
		return
	}
	h.pool.watchLosses(j)
	if x.startAfter > now {
		h.pool.delayAll(j, WaitsTakeover, x.startAfter, now)
	}
	h.pool.enqueue(j)
}

// recordEnd records the end of a run, which is acknowledged once it is stored.
func (h *holder) recordEnd(s *server, t *task, e EndedRun, now Time) {
	x := t.job.durable
	p := x.progress[t.id]
	p.Step, p.Index = t.id.Step, t.id.Index
	switch e.Kind {
	case EndDone:
		p.Done = true
	case EndFailed:
		p.Failures++
	default:
		return
	}
	x.progress[t.id] = p
	s.holdAck(e.Seq)
	if len(x.unsavedEnds) == 0 {
		x.dirtySince = now
	}
	x.unsavedEnds = append(x.unsavedEnds, heldEnd{s.entry.ID, s.life.bootMs, e.Seq})
}

// recordLosses stores which servers were lost under a task of a durable job.
func (h *holder) recordLosses(t *task) {
	x := t.job.durable
	if x == nil || t.job.done {
		return
	}
	p := x.progress[t.id]
	p.Step, p.Index, p.Losses = t.id.Step, t.id.Index, slices.Clone(t.losses)
	x.progress[t.id] = p
	h.save(x)
}

// recordResult records the result of a job.
func (h *holder) recordResult(x *durableJob, r Result) {
	switch r.Kind {
	case Completed:
		x.record.State = StateCompleted
	case Failed:
		x.record.State = StateFailed
	default:
		x.record.State = StateCancelled
	}
	x.record.Job, x.progress = JobSpec{}, nil
	h.save(x)
}

// handleCancelled drops a job that its caller has cancelled in the store. One whose first
// write here isn't answered yet is written again, as that write may precede the cancel.
func (h *holder) handleCancelled(id string, now Time) {
	x := h.jobs[id]
	if x == nil || x.job != nil && x.job.done {
		return
	}
	x.verified = false // no start until the store confirms that this instance still holds it
	if x.job != nil {
		h.pool.stopJob(x.job, now)
	}
	h.save(x)
}

// mayStart reports whether tasks of a job may start.
func (h *holder) mayStart(j *job) bool {
	return j.durable == nil || j.durable.verified && !j.durable.release && !h.uncertain && !h.leaving
}

// tick runs everything that is due.
func (h *holder) tick(now Time) {
	h.updateCertainty(now)
	for _, x := range h.sortedJobs() {
		if x.startedAt == 0 && x.hasStarted() {
			x.startedAt = now
		}
		x.release = x.release || h.misplaced(x, now)
		if x.saveDue(now) || x.release && h.idle(x) {
			h.save(x)
		}
	}
	if now >= h.nextOrphanScanAt {
		h.nextOrphanScanAt = now.Add(orphanScanInterval)
		if (h.inUse || !h.firstOrphanScanPassed) && h.successor("", now) == h.self.Instance {
			h.scheduleScan(now, true)
		}
		h.firstOrphanScanPassed = true
	}
	if h.nextScanAt != 0 && now >= h.nextScanAt && !h.scanning && h.members.storeUp {
		all := h.scanAll
		h.nextScanAt, h.scanAll = 0, false
		h.startScan(ScanJobs{}, all, now)
	}
	h.pending.tick(now)
}

// startScan reads the open jobs from the store, unless a scan is under way.
func (h *holder) startScan(scan ScanJobs, all bool, now Time) {
	if h.scanning {
		return
	}
	h.scanning, h.scanningAll, h.scanBegan = true, all, now
	h.effect(scan)
}

// state returns the local state of a job.
func (h *holder) state(id string) ResultKind {
	x := h.jobs[id]
	switch {
	case x == nil || x.job == nil || x.job.done:
		return NotHeld
	case !x.hasStarted():
		return Queued
	}
	return Running
}

func (h *holder) sortedJobs() []*durableJob {
	out := make([]*durableJob, 0, len(h.jobs))
	for _, x := range h.jobs {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *durableJob) int { return strings.Compare(a.record.ID, b.record.ID) })
	return out
}
