package fleet

import (
	"slices"
	"strings"
)

// maxCreating is how many jobs may wait for their first write; at the store's
// usual rate that is under a second of writes.
const maxCreating = 256

// holder holds the kept jobs of an instance. A job is started only while the
// store names this life of the instance as its holder.
type holder struct {
	self    Member
	members *members
	owners  *owners
	pool    *pool
	effect  func(Effect)

	jobs      map[string]*keptJob
	lastCall  CallID
	inUse     bool // some job is kept in the fleet
	looked    bool // the store was asked whether that is so
	told      bool // the peers know that it is so
	renewedAt Time // last renewal of this instance's entry in the store
	doubted   bool // another instance may take the jobs over
	leaving   bool

	scanning bool
	scanDue  Time // 0: none
	scanAll  bool // the next scan takes every job without a holder, else only those of earlier lives
	orphanAt Time // when to look next for jobs that were passed over
	started  bool // the first look for them is over
}

func newHolder(self Member, m *members, w *owners, p *pool, now Time, effect func(Effect)) *holder {
	return &holder{
		self: self, members: m, owners: w, pool: p, effect: effect, jobs: map[string]*keptJob{}, renewedAt: now,
		scanDue: now, orphanAt: now.Add(orphanScanAfter),
	}
}

// offer takes a job in that has to be kept. bounced tells that it should be
// tried elsewhere.
func (h *holder) offer(origin Member, call CallID, spec JobSpec) (bounced bool) {
	h.inUse = true
	x := h.jobs[spec.ID]
	switch {
	case x != nil && x.job != nil:
		h.tell(asker{origin, call}, Result{Kind: Accepted})
		return false
	case x != nil:
		x.asked = append(x.asked, asker{origin, call})
		return false
	case h.leaving:
		return true
	case !h.members.storeUp || h.doubted || h.creating() >= maxCreating:
		h.tell(asker{origin, call}, Result{Kind: NotRun, Reason: ReasonStoreUnavailable, RetryAfter: minRetryAfter})
		return false
	}
	spec.Timeout = keptTimeout
	x = &keptJob{
		record: Record{ID: spec.ID, State: StateOpen, Term: 1, Job: spec},
		asked:  []asker{{origin, call}}, origin: origin, progress: map[TaskID]TaskProgress{},
	}
	h.jobs[spec.ID] = x
	h.save(x)
	return false
}

// creating counts the jobs that the store doesn't hold yet.
func (h *holder) creating() int {
	n := 0
	for _, x := range h.jobs {
		if x.job == nil {
			n++
		}
	}
	return n
}

func (h *holder) tell(a asker, r Result) {
	h.effect(outcomeReady{origin: a.origin, outcome: Outcome{Call: a.call, Result: r}})
}

// answerAsked answers the calls that wait until a job is stored.
func (h *holder) answerAsked(x *keptJob, kind ResultKind) {
	for _, a := range x.asked {
		h.tell(a, Result{Kind: kind})
	}
	x.asked = nil
}

// save writes a job, unless a write of it is under way.
func (h *holder) save(x *keptJob) {
	x.dirty = true
	if x.saving {
		return
	}
	x.record.Holder, x.record.Incarnation = h.self.Instance, h.self.Incarnation
	if x.release && x.idle() {
		x.record.Holder, x.record.Incarnation = "", ""
	}
	x.dirty, x.saving = false, true
	x.endsSent, x.ends = x.ends, nil
	x.record.Version++
	x.record.Progress = x.sortedProgress()
	x.sent = x.record
	h.effect(SaveJob{Record: x.sent})
}

// saved takes in what became of a write.
func (h *holder) saved(e JobSaved, now Time) {
	x := h.jobs[e.ID]
	if x == nil || !x.saving {
		return
	}
	x.saving = false
	if e.Conflict {
		h.conflict(x, e.Current, now)
		return
	}
	x.record.Revision = e.Revision
	h.settle(x.endsSent)
	x.endsSent = nil
	h.answerAsked(x, Accepted)
	switch {
	case x.sent.State != StateOpen:
		if x.origin.Instance != "" && !x.origin.same(h.self) {
			h.effect(SendPeer{To: x.origin, Message: JobEnded{ID: e.ID, State: x.sent.State}})
		}
		h.forget(x)
		return
	case x.sent.Holder == "":
		spec := x.job.spec
		h.forget(x)
		h.tellReleased(&spec, now)
		return
	case x.job == nil:
		h.begin(x, now)
	}
	if !h.doubted && !x.verified && !x.dirty {
		x.verified = true
		h.pool.dispatch(now)
	}
	if x.dirty {
		h.save(x)
	}
}

// conflict follows what another instance wrote about a job.
func (h *holder) conflict(x *keptJob, current *Record, now Time) {
	answer := Accepted // the job is stored, whoever holds it
	if current == nil {
		answer = Unknown
	}
	h.answerAsked(x, answer)
	ends := append(x.endsSent, x.ends...)
	h.drop(x, now)
	if current != nil && current.State == StateCancelled {
		h.settle(ends)
		return
	}
	if x.job != nil {
		h.effect(LogEntry{Kind: LogJobLost, Job: x.record.ID, Reason: "the store names another holder or none"})
	}
	// The next holder starts these tasks again, so that their ends may be
	// acknowledged only after the leases have lapsed.
	for _, e := range ends {
		h.pool.quiesce(e.server, now)
	}
	if current != nil && current.State == StateOpen && h.orphan(*current, now) {
		h.scan(now.Add(changedScanAfter), true) // its writer may live, though this instance doesn't know yet
	}
}

// drop gives up a job that this instance doesn't hold any more.
func (h *holder) drop(x *keptJob, now Time) {
	if x.job != nil && !x.job.over {
		h.pool.stopJob(x.job, now)
	}
	h.forget(x)
}

func (h *holder) forget(x *keptJob) {
	delete(h.jobs, x.record.ID)
	if j := x.job; j != nil {
		j.over = true
		delete(h.pool.jobs, j.key())
	}
}

// settle lets ends be acknowledged.
func (h *holder) settle(ends []heldEnd) {
	for _, e := range ends {
		if s := h.pool.servers[e.server]; s != nil && s.born == e.born {
			delete(s.held, e.number)
		}
	}
}

// begin queues a job that the store holds. Nothing of it starts before it is
// verified.
func (h *holder) begin(x *keptJob, now Time) {
	h.lastCall++
	j := newJob(x.record.Job, h.self, keptCalls+h.lastCall)
	j.kept, x.job = x, j
	j.resume(x.progress, (x.record.Term-1)*attemptsPerTerm)
	h.pool.jobs[j.key()] = j
	h.pool.learnSize(j.spec)
	if end, ok := j.ended(); ok {
		h.pool.end(j, end, now)
		return
	}
	if x.waitTill > now {
		h.pool.waitAll(j, x.waitTill)
	}
	h.pool.enqueue(j)
}

// runEnded notes the end of a run. It is acknowledged once it is stored.
func (h *holder) runEnded(s *server, t *task, e EndedRun, now Time) {
	x := t.job.kept
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
	s.hold(e.Seq)
	if len(x.ends) == 0 {
		x.dirtyAt = now
	}
	x.ends = append(x.ends, heldEnd{s.entry.ID, s.born, e.Seq})
}

// over notes the result of a job.
func (h *holder) over(x *keptJob, r Result) {
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

// cancelled gives up a job that its caller has cancelled; the store says so
// already.
func (h *holder) cancelled(id string, now Time) {
	x := h.jobs[id]
	if x == nil || x.job == nil || x.job.over {
		return
	}
	x.verified = false // nothing of it starts until the store was asked
	h.pool.stopJob(x.job, now)
	h.save(x)
}

// mayRun reports whether tasks of a job may start.
func (h *holder) mayRun(j *job) bool {
	return j.kept == nil || j.kept.verified && !j.kept.release && !h.doubted && !h.leaving
}

// tick does what is due by time.
func (h *holder) tick(now Time) {
	h.guard(now)
	for _, x := range h.sorted() {
		x.release = x.release || h.misplaced(x, now)
		if x.saveDue(now) || x.release && x.idle() {
			h.save(x)
		}
	}
	if now >= h.orphanAt {
		h.orphanAt = now.Add(orphanScanPause)
		if (h.inUse || !h.started) && h.successor("", now) == h.self.Instance {
			h.scan(now, true)
		}
		h.started = true
	}
	if h.scanDue != 0 && now >= h.scanDue && !h.scanning && h.members.storeUp {
		h.scanning, h.scanDue = true, 0
		h.effect(ScanJobs{})
	}
}

// pending counts the jobs of which nothing has started, by route.
func (h *holder) pending() map[string]int {
	counts := map[string]int{}
	for _, x := range h.jobs {
		if x.job != nil && x.job.starts == 0 {
			counts[x.job.spec.Route]++
		}
	}
	return counts
}

// pendingRoutes returns the counts of pending in order, for the peers.
func (h *holder) pendingRoutes() []RouteCount {
	counts := h.pending()
	out := make([]RouteCount, 0, len(counts))
	for r, n := range counts {
		out = append(out, RouteCount{r, n})
	}
	slices.SortFunc(out, func(a, b RouteCount) int { return strings.Compare(a.Route, b.Route) })
	return out
}

// state tells what is known here of a job.
func (h *holder) state(id string) ResultKind {
	x := h.jobs[id]
	switch {
	case x == nil || x.job == nil || x.job.over:
		return NotHeld
	case x.job.starts == 0 && len(x.progress) == 0:
		return Queued
	}
	return Running
}

func (h *holder) sorted() []*keptJob {
	out := make([]*keptJob, 0, len(h.jobs))
	for _, x := range h.jobs {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *keptJob) int { return strings.Compare(a.record.ID, b.record.ID) })
	return out
}
