package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// KeptState is how far a kept job is.
type KeptState int

// States of a kept job.
const (
	KeptOpen      KeptState = iota + 1 // accepted and not ended
	KeptCompleted                      // every task has ended well
	KeptFailed                         // a task has failed too often
	KeptCancelled                      // its caller has cancelled it
)

// Progress is what has become of a task of a kept job.
type Progress struct {
	Step, Index int
	Done        bool
	Failures    int
}

// Record is a kept job as the store holds it, the only memory of the job that
// outlives its holder.
type Record struct {
	ID       string
	State    KeptState
	Holder   model.Instance    // that runs it; empty if it was released
	Life     model.Incarnation // of the holder
	Version  uint64            // of the holder's writes; with the holder it names a write
	Term     uint32            // number of holders so far
	Job      JobSpec           // of an open job
	Progress []Progress        // of tasks that have ended
	Revision uint64            // in the store, 0 if it isn't there yet
}

// SameWrite reports whether two records are of the same write, so that an
// instance recognizes one of its own whose answer was lost.
func (r Record) SameWrite(o Record) bool {
	return r.Term == o.Term && r.Version == o.Version && r.Holder == o.Holder && r.Life == o.Life && r.State == o.State
}

// Bounds of kept jobs.
const (
	// maxCreating is how many jobs may wait for their first write; at the
	// store's usual rate that is under a second of writes.
	maxCreating = 256
	// attemptsPerTerm separates the attempts of one holder from those of the
	// next, which doesn't know how often its predecessor started a task.
	attemptsPerTerm = 1024
	// keptTimeout stands in for the deadline that a kept job doesn't have.
	keptTimeout = 1000 * time.Hour
	// keptCalls is the first call ID of kept jobs at their holder, below those
	// of parts and above those of callers.
	keptCalls CallID = 1 << 61
	// progressDelay is how long the ends of single tasks wait to be stored: the
	// tasks of a short job end within that time, and need one write.
	progressDelay = 50 * time.Millisecond
	// holdWithout is how long a holder goes on after its last renewal in the
	// store while a peer doesn't hear it: less than it takes that peer to take
	// its jobs over.
	holdWithout = 1800 * time.Millisecond
	// scanPause is the time between two scans, if the first failed or found jobs
	// that no instance could run yet.
	scanPause = 250 * time.Millisecond
	// orphanScanAfter is when an instance that has started looks for jobs of
	// instances that haven't come back.
	orphanScanAfter = 3 * time.Second
	// orphanScanPause is the time between looks for jobs that every instance
	// took for another's.
	orphanScanPause = 15 * time.Second
	// releasedScanAfter lets a leaving holder release several jobs first.
	releasedScanAfter = 30 * time.Millisecond
)

// keptJob is a kept job at its holder.
type keptJob struct {
	record   Record // as it is here
	sent     Record // as last sent to the store
	job      *job   // nil until the store holds it
	asked    []asker
	origin   Member // took it in from its caller
	progress map[TaskID]Progress
	saving   bool
	dirty    bool
	dirtyAt  Time // of the first end that isn't stored
	verified bool // no other instance can hold it
	release  bool // to an instance whose servers can run it
	waitTill Time // runs of its last holder may go on until then

	ends     []heldEnd // since the last save was sent
	endsSent []heldEnd // in the save under way
}

// asker is a call that waits until the job is stored.
type asker struct {
	origin Member
	call   CallID
}

// heldEnd is an end that is acknowledged once it is stored.
type heldEnd struct {
	server model.ServerID
	born   int64
	number int64
}

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
	unsafe    bool // another instance may take the jobs over
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
func (k *holder) offer(origin Member, call CallID, spec JobSpec) (bounced bool) {
	k.inUse = true
	x := k.jobs[spec.ID]
	switch {
	case x != nil && x.job != nil:
		k.tell(asker{origin, call}, Result{Kind: Accepted})
		return false
	case x != nil:
		x.asked = append(x.asked, asker{origin, call})
		return false
	case k.leaving:
		return true
	case !k.members.storeUp || k.unsafe || k.creating() >= maxCreating:
		k.tell(asker{origin, call}, Result{Kind: NotRun, Reason: ReasonStore, RetryAfter: minRetryAfter})
		return false
	}
	spec.Timeout = keptTimeout
	x = &keptJob{
		record: Record{ID: spec.ID, State: KeptOpen, Term: 1, Job: spec},
		asked:  []asker{{origin, call}}, origin: origin, progress: map[TaskID]Progress{},
	}
	k.jobs[spec.ID] = x
	k.save(x)
	return false
}

// creating counts the jobs that the store doesn't hold yet.
func (k *holder) creating() int {
	n := 0
	for _, x := range k.jobs {
		if x.job == nil {
			n++
		}
	}
	return n
}

func (k *holder) tell(a asker, r Result) {
	k.effect(outcomeReady{origin: a.origin, outcome: Outcome{Call: a.call, Result: r}})
}

// save writes a job, unless a write of it is under way.
func (k *holder) save(x *keptJob) {
	x.dirty = true
	if x.saving {
		return
	}
	x.record.Holder, x.record.Life = k.self.Instance, k.self.Incarnation
	if x.release && x.idle() {
		x.record.Holder, x.record.Life = "", ""
	}
	x.dirty, x.saving = false, true
	x.endsSent, x.ends = x.ends, nil
	x.record.Version++
	x.record.Progress = x.sortedProgress()
	x.sent = x.record
	k.effect(SaveJob{Record: x.sent})
}

// idle reports whether nothing of a job runs or is being stored.
func (x *keptJob) idle() bool {
	return x.job != nil && !x.job.over && x.job.live == 0 && !x.saving
}

func (x *keptJob) sortedProgress() []Progress {
	out := make([]Progress, 0, len(x.progress))
	for _, p := range x.progress {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Progress) int {
		if a.Step != b.Step {
			return a.Step - b.Step
		}
		return a.Index - b.Index
	})
	return out
}

// saved takes in what became of a write.
func (k *holder) saved(e JobSaved, now Time) {
	x := k.jobs[e.ID]
	if x == nil || !x.saving {
		return
	}
	x.saving = false
	if e.Conflict {
		k.conflict(x, e.Current, now)
		return
	}
	x.record.Revision = e.Revision
	k.settle(x.endsSent)
	x.endsSent = nil
	for _, a := range x.asked {
		k.tell(a, Result{Kind: Accepted})
	}
	x.asked = nil
	switch {
	case x.sent.State != KeptOpen:
		if x.origin.Instance != "" && !x.origin.same(k.self) {
			k.effect(SendPeer{To: x.origin, Message: JobEnded{ID: e.ID, State: x.sent.State}})
		}
		k.forget(x)
		return
	case x.sent.Holder == "":
		spec := x.job.spec
		k.forget(x)
		k.tellReleased(&spec, now)
		return
	case x.job == nil:
		k.begin(x, now)
	}
	if !k.unsafe && !x.verified && !x.dirty {
		x.verified = true
		k.pool.dispatch(now)
	}
	if x.dirty {
		k.save(x)
	}
}

// tellReleased asks an instance that can run a job to look for released ones.
func (k *holder) tellReleased(j *JobSpec, now Time) {
	if to, ok := k.runner(j, now); ok {
		k.effect(SendPeer{To: to, Message: JobsReleased{}})
	}
}

// runner returns another instance whose servers can run a job.
func (k *holder) runner(j *JobSpec, now Time) (Member, bool) {
	for _, m := range k.members.candidates("", true, now) {
		if k.owners.canServe(m, j) {
			return m, true
		}
	}
	return Member{}, false
}

// conflict follows what another instance wrote about a job.
func (k *holder) conflict(x *keptJob, current *Record, now Time) {
	answer := Result{Kind: Accepted} // the job is stored, whoever holds it
	if current == nil {
		answer.Kind = Unknown
	}
	for _, a := range x.asked {
		k.tell(a, answer)
	}
	x.asked = nil
	if current != nil && current.State == KeptOpen && k.orphan(*current, now) {
		k.drop(x, now)
		k.adopt(*current, now)
		return
	}
	cancelled := current != nil && current.State == KeptCancelled
	if !cancelled && x.job != nil {
		k.effect(Note{Kind: NoteJobLost, Job: x.record.ID, Reason: "the store names another holder or none"})
	}
	ends := append(x.endsSent, x.ends...)
	k.drop(x, now)
	if cancelled {
		k.settle(ends)
		return
	}
	// The next holder starts these tasks again, so that their ends may be
	// acknowledged only after the leases have lapsed.
	for _, e := range ends {
		k.pool.rest(e.server, now)
	}
}

// drop gives up a job that this instance doesn't hold any more.
func (k *holder) drop(x *keptJob, now Time) {
	if x.job != nil && !x.job.over {
		k.pool.abandon(x.job, now)
	}
	k.forget(x)
}

func (k *holder) forget(x *keptJob) {
	delete(k.jobs, x.record.ID)
	if j := x.job; j != nil {
		j.over = true
		delete(k.pool.jobs, j.key())
	}
}

// settle lets ends be acknowledged.
func (k *holder) settle(ends []heldEnd) {
	for _, e := range ends {
		if s := k.pool.servers[e.server]; s != nil && s.born == e.born {
			delete(s.held, e.number)
		}
	}
}

// begin lets a job run that the store holds.
func (k *holder) begin(x *keptJob, now Time) {
	k.lastCall++
	j := newJob(x.record.Job, k.self, keptCalls+k.lastCall)
	j.kept, x.job = x, j
	j.resume(x.progress, (x.record.Term-1)*attemptsPerTerm)
	k.pool.jobs[j.key()] = j
	k.pool.learnSize(j.spec)
	if end, ok := j.ended(); ok {
		k.pool.end(j, end, now)
		return
	}
	if x.waitTill > now {
		k.pool.waitAll(j, x.waitTill)
	}
	k.pool.enqueue(j)
	k.pool.dispatch(now)
}

// resume applies the progress of a job.
func (j *job) resume(progress map[TaskID]Progress, attempts uint32) {
	for _, st := range j.steps {
		st.waiting = slices.DeleteFunc(st.waiting, func(t *task) bool {
			p := progress[t.id]
			t.attempt, t.failures = attempts, p.Failures
			if p.Done {
				j.left--
				st.left--
			}
			return p.Done
		})
	}
	j.openSteps()
}

// ended returns the result of a job that has nothing left to do.
func (j *job) ended() (Result, bool) {
	if j.left == 0 {
		return Result{Kind: Completed}, true
	}
	for _, st := range j.steps {
		for _, t := range st.waiting {
			if t.failures >= j.spec.Attempts {
				return Result{Kind: Failed, Reason: ReasonAttempts}, true
			}
		}
	}
	return Result{}, false
}

// runEnded notes the end of a run. It is acknowledged once it is stored.
func (k *holder) runEnded(s *server, t *task, e EndedRow, now Time) {
	x := t.job.kept
	p := x.progress[t.id]
	p.Step, p.Index = t.id.Step, t.id.Index
	switch e.How {
	case EndDone:
		p.Done = true
	case EndFailed:
		p.Failures++
	default:
		return
	}
	x.progress[t.id] = p
	s.hold(e.Number)
	if len(x.ends) == 0 {
		x.dirtyAt = now
	}
	x.ends = append(x.ends, heldEnd{s.entry.ID, s.born, e.Number})
}

// saveDue reports whether what isn't stored of a job should be.
func (x *keptJob) saveDue(now Time) bool {
	return x.dirty || len(x.ends) > 0 && now.Sub(x.dirtyAt) >= progressDelay
}

// over notes the result of a job.
func (k *holder) over(x *keptJob, r Result) {
	switch r.Kind {
	case Completed:
		x.record.State = KeptCompleted
	case Failed:
		x.record.State = KeptFailed
	default:
		x.record.State = KeptCancelled
	}
	x.record.Job, x.progress = JobSpec{}, nil
	k.save(x)
}

// cancelled gives up a job that its caller has cancelled; the store says so
// already.
func (k *holder) cancelled(id string, now Time) {
	x := k.jobs[id]
	if x == nil || x.job == nil || x.job.over {
		return
	}
	x.verified = false // nothing of it starts until the store was asked
	k.pool.stopJob(x.job, now)
	k.save(x)
}

// mayRun reports whether tasks of a job may start.
func (k *holder) mayRun(j *job) bool {
	return j.kept == nil || j.kept.verified && !j.kept.release && !k.unsafe && !k.leaving
}

// tick does what is due by time.
func (k *holder) tick(now Time) {
	k.guard(now)
	for _, x := range k.sorted() {
		x.release = x.release || k.misplaced(x, now)
		if x.saveDue(now) || x.release && x.idle() {
			k.save(x)
		}
	}
	if now >= k.orphanAt {
		k.orphanAt = now.Add(orphanScanPause)
		if (k.inUse || !k.started) && k.heir("", now) == k.self.Instance {
			k.scan(now, true)
		}
		k.started = true
	}
	if k.scanDue != 0 && now >= k.scanDue && !k.scanning && k.members.storeUp {
		k.scanning, k.scanDue = true, 0
		k.effect(ScanJobs{})
	}
}

// misplaced reports whether another instance should hold a job: this one leaves,
// or it has lost the servers that could run it.
func (k *holder) misplaced(x *keptJob, now Time) bool {
	if x.job == nil || x.job.over || !k.leaving && k.owners.canServe(k.self, &x.job.spec) {
		return false
	}
	_, ok := k.runner(&x.job.spec, now)
	return ok
}

// guard stops the runs of kept jobs while another instance may take them over:
// this one's entry in the store may have lapsed, and a peer doesn't hear it.
func (k *holder) guard(now Time) {
	unsafe := now.Sub(k.renewedAt) > holdWithout && !k.members.allHear(now)
	if unsafe == k.unsafe {
		return
	}
	k.unsafe = unsafe
	if len(k.jobs) > 0 {
		k.effect(Note{Kind: NoteHoldDoubted, Count: len(k.jobs), Age: now.Sub(k.renewedAt), Reason: doubtReason(unsafe)})
	}
	for _, x := range k.sorted() {
		if x.job == nil || x.job.over {
			continue
		}
		if unsafe {
			x.verified = false
			k.pool.interrupt(x.job, now)
			continue
		}
		k.save(x) // the store tells whether it is still this instance's
	}
}

func doubtReason(unsafe bool) string {
	if unsafe {
		return "runs are stopped"
	}
	return "each job is verified"
}

// scan asks for a look at the jobs in the store.
func (k *holder) scan(at Time, all bool) {
	if k.scanDue == 0 || at < k.scanDue {
		k.scanDue = at
	}
	k.scanAll = k.scanAll || all
}

// memberLost looks for the jobs of a member that has ended, if they fall to
// this instance.
func (k *holder) memberLost(p *peer, now Time) {
	if k.inUse && k.heir(p.member.Instance, now) == k.self.Instance {
		k.scan(now, true)
	}
}

// heir returns which instance takes over the jobs of one that has ended: its
// next life, or the first of the others in an order of its own.
func (k *holder) heir(gone model.Instance, now Time) model.Instance {
	best := model.Instance("")
	for _, m := range k.members.candidates("", k.leaving, now) {
		if m.Instance == gone {
			return gone
		}
		if best == "" || rank(model.Domain(gone), m.Instance) < rank(model.Domain(gone), best) {
			best = m.Instance
		}
	}
	return best
}

// found takes over the jobs that nobody holds.
func (k *holder) found(e JobsFound, now Time) {
	k.scanning = false
	if !e.OK {
		k.scan(now.Add(scanPause), k.scanAll)
		return
	}
	all := k.scanAll
	k.scanAll = false
	k.inUse, k.looked = k.inUse || len(e.Records) > 0, true
	if !k.inUse {
		k.pool.wake()
	}
	for _, r := range e.Records {
		mine := r.Holder == k.self.Instance && r.Life != k.self.Incarnation
		if mine || all && k.orphan(r, now) {
			k.inherit(r, now)
		}
	}
}

// inherit takes a job over that nobody holds, or passes it to an instance whose
// servers can run it.
func (k *holder) inherit(r Record, now Time) {
	if k.owners.canServe(k.self, &r.Job) {
		k.adopt(r, now)
		return
	}
	if k.scanDue == 0 {
		k.scan(now.Add(scanPause), true) // in case nobody does
	}
	k.tellReleased(&r.Job, now)
}

// orphan reports whether nobody holds an open job.
func (k *holder) orphan(r Record, now Time) bool {
	return r.Holder == "" || k.members.listed && k.members.lifeEnded(r.Holder, r.Life, now)
}

// adopt takes a job over. Its tasks wait until the runs of its last holder are
// gone.
func (k *holder) adopt(r Record, now Time) {
	if k.jobs[r.ID] != nil || k.leaving {
		return
	}
	k.inUse = true
	k.effect(Note{Kind: NoteJobAdopted, Job: r.ID, Peer: r.Holder, Value: r.Revision})
	x := &keptJob{record: r, progress: map[TaskID]Progress{}}
	for _, p := range r.Progress {
		x.progress[TaskID{r.ID, p.Step, p.Index}] = p
	}
	if r.Holder != "" {
		x.waitTill = now.Add(k.pool.goneAfter)
	}
	x.record.Term++
	x.record.Version = 0
	k.jobs[r.ID] = x
	k.save(x)
}

// leave begins to hand the jobs over: what runs may end, the rest is released.
func (k *holder) leave(now Time) {
	k.leaving = true
	k.tick(now)
}

// pending counts the jobs of a route of which nothing has started.
func (k *holder) pending(route string) int {
	n := 0
	for _, x := range k.jobs {
		if x.job != nil && x.job.spec.Route == route && x.job.starts == 0 {
			n++
		}
	}
	return n
}

// pendingRoutes returns the counts of all routes, for the peers.
func (k *holder) pendingRoutes() []RouteCount {
	counts := map[string]int{}
	for _, x := range k.jobs {
		if x.job != nil && x.job.starts == 0 {
			counts[x.job.spec.Route]++
		}
	}
	out := make([]RouteCount, 0, len(counts))
	for r, n := range counts {
		out = append(out, RouteCount{r, n})
	}
	slices.SortFunc(out, func(a, b RouteCount) int {
		if a.Route < b.Route {
			return -1
		}
		return 1
	})
	return out
}

// state tells what is known here of a job.
func (k *holder) state(id string) ResultKind {
	x := k.jobs[id]
	switch {
	case x == nil || x.job == nil || x.job.over:
		return NotHeld
	case x.job.starts == 0 && len(x.progress) == 0:
		return Queued
	}
	return Running
}

func (k *holder) sorted() []*keptJob {
	out := make([]*keptJob, 0, len(k.jobs))
	for _, x := range k.jobs {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *keptJob) int {
		if a.record.ID < b.record.ID {
			return -1
		}
		return 1
	})
	return out
}
