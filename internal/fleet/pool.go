package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of a pool.
const (
	// recentOutcomes is how long outcomes are kept for an instance whose link
	// broke: it is back within that time or counts as lost.
	recentOutcomes = 3 * time.Second
	// wideTask is the CPU of a task in the sizing of free room while no job has
	// been seen, in milli-cores.
	wideTask = 8000
	// lateFactor is how many times its objective a job may take and still be of
	// use to its caller.
	lateFactor = 3
	// packedShare is the part of the capacity that tasks fill at best, as they
	// don't divide the servers evenly.
	packedShare = 0.85
)

// jobKey names a job of an origin.
type jobKey struct {
	origin model.Instance
	life   model.Incarnation
	call   CallID
}

func (j *job) key() jobKey { return jobKey{j.origin.Instance, j.origin.Incarnation, j.call} }

// finished is an outcome that its origin may not have heard.
type finished struct {
	key     jobKey
	result  Result
	attempt uint32 // of a part
	at      Time
}

// pool runs jobs on the backend servers that this instance owns.
type pool struct {
	self    Member
	members *members
	owners  *owners
	lease   time.Duration
	// goneAfter is when runs are gone for certain that nobody renews.
	goneAfter time.Duration
	policy    Policy
	effect    func(Effect)

	servers map[model.ServerID]*server
	order   []*server // by ID
	jobs    map[jobKey]*job
	byID    map[string]*job
	queue   []*job // jobs with tasks that wait
	recent  []finished
	typical float64 // CPU of a task, milli-cores, moving mean
	paces   paces
	holder  *holder

	limbo    []limboTask
	lent     map[CallID]lentTask
	lastPart CallID
	told     bool // peers know that tasks wait

	settleTill Time // nothing starts before, after the process stood still
}

func newPool(o Options, m *members, w *owners, effect func(Effect)) *pool {
	return &pool{
		self: o.Self, members: m, owners: w, lease: o.Lease, goneAfter: MaxOrphanRunTime(o.Lease, o.StopTimeout), policy: o.Policy, effect: effect,
		lent:    map[CallID]lentTask{},
		servers: map[model.ServerID]*server{},
		jobs:    map[jobKey]*job{},
		byID:    map[string]*job{},
		typical: wideTask,
		paces:   paces{},
	}
}

// own takes a backend server over. It starts nothing there before its first look.
func (p *pool) own(e ServerEntry, o Ownership, now Time) {
	if s := p.servers[e.ID]; s != nil {
		if s.own.Revision == o.Revision {
			return
		}
		p.drop(s, now)
	}
	s := newServer(e, o, p.paces.of(e))
	p.servers[e.ID] = s
	p.order = append(p.order, s)
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	p.effect(LogEntry{Kind: LogServerOwned, Server: e.ID, Value: o.Revision})
	p.look(s, now)
}

// listed notes what the store says of the servers.
func (p *pool) listed(entries map[model.ServerID]ServerEntry, now Time) {
	for _, s := range slices.Clone(p.order) {
		e, ok := entries[s.entry.ID]
		s.listed = ok
		if !ok {
			if len(s.runs) == 0 {
				p.drop(s, now)
			}
			continue
		}
		if e.Addr != s.entry.Addr || e.BootMs != s.entry.BootMs && s.born != 0 && e.BootMs > s.born {
			p.reborn(s, e.BootMs)
		}
		s.entry = e
		if e.State == ServerDraining {
			s.drains = true
		} else if s.born == 0 || s.born == e.BootMs {
			s.drains = false
		}
	}
}

// offer takes a job in. bounced tells that it should be tried elsewhere.
func (p *pool) offer(origin Member, call CallID, spec JobSpec, final bool, now Time) (bounced bool) {
	key := jobKey{origin.Instance, origin.Incarnation, call}
	if p.jobs[key] != nil {
		return false
	}
	if i := slices.IndexFunc(p.recent, func(f finished) bool { return f.key == key }); i >= 0 {
		p.answer(origin, call, p.recent[i].result, p.recent[i].attempt)
		return false
	}
	if spec.Offloaded != nil {
		return p.offerPart(origin, call, spec, now)
	}
	if spec.Durable {
		return p.holder.offer(origin, call, spec)
	}
	j := newJob(spec, origin, call)
	if old := p.byID[spec.ID]; old != nil {
		p.end(old, Result{Kind: Unknown, Reason: ReasonResubmitted}, now)
		if old.starts > 0 {
			p.waitAll(j, now.Add(p.goneAfter)) // its runs are only being stopped
		}
	}
	p.learnSize(spec)
	verdict, wait := p.admit(j, now)
	switch {
	case !final && (verdict != admitNow || p.othersWait(spec.Service, now)):
		return true
	case verdict == admitRefuse:
		p.effect(LogEntry{Kind: LogJobQueued, Job: spec.ID, Reason: "refused: " + string(ReasonOverload), Age: wait, Count: len(p.queue)})
		p.finish(j, Result{Kind: NotRun, Reason: ReasonOverload, RetryAfter: wait}, now)
		return false
	}
	if verdict == admitQueue {
		p.effect(LogEntry{Kind: LogJobQueued, Job: spec.ID, Reason: "waits", Age: wait, Count: len(p.queue)})
	}
	p.jobs[key], p.byID[spec.ID] = j, j
	p.queue = append(p.queue, j)
	p.dispatch(now)
	return false
}

// dispatch starts what can start.
func (p *pool) dispatch(now Time) {
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.over || !j.waits() })
	if len(p.queue) == 0 || now < p.settleTill {
		return
	}
	p.policy.sort(p.queue, now)
	open := p.openServers(p.leastNeed(), now)
	for _, j := range p.queue {
		for _, st := range j.steps {
			if st.ready && p.holder.mayRun(j) {
				p.startStep(st, open, now)
			}
		}
	}
	p.lend(now)
	p.unstage(now)
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.over || !j.waits() })
}

// startStep starts as many waiting tasks of a step as fit.
func (p *pool) startStep(st *step, open []*server, now Time) {
	for len(st.waiting) > 0 {
		t := st.waiting[0]
		if near := p.rackLender(t, now); near != nil {
			st.waiting = st.waiting[1:]
			p.lendTask(t, near, now)
			continue
		}
		s := p.place(t, open, now)
		if s == nil {
			return
		}
		st.waiting = st.waiting[1:]
		p.start(t, s, now)
	}
}

func (p *pool) enqueue(j *job) {
	if !j.over && !slices.Contains(p.queue, j) {
		p.queue = append(p.queue, j)
	}
}

// retry lets a task start again.
func (p *pool) retry(t *task) {
	t.step.waiting = append(t.step.waiting, t)
	p.enqueue(t.job)
}

// withdraw gives a job up that nobody waits for.
func (p *pool) withdraw(key jobKey, now Time) {
	if j := p.jobs[key]; j != nil {
		p.end(j, Result{Kind: Unknown, Reason: ReasonCallerGone}, now)
		p.dispatch(now)
	}
}

// originLost gives up all jobs of a member that is gone or silent.
func (p *pool) originLost(m Member, now Time) {
	p.dropJobs(func(k jobKey) bool { return k.origin == m.Instance && k.life == m.Incarnation }, now)
}

// resync gives up the jobs of an origin that it no longer waits for.
func (p *pool) resync(origin Member, calls []CallID, now Time) {
	p.dropJobs(func(k jobKey) bool {
		return k.origin == origin.Instance && (k.life != origin.Incarnation || !slices.Contains(calls, k.call))
	}, now)
}

func (p *pool) dropJobs(which func(jobKey) bool, now Time) {
	for _, j := range p.sortedJobs() {
		if which(j.key()) {
			p.end(j, Result{Kind: Unknown, Reason: ReasonCallerGone}, now)
		}
	}
	p.dispatch(now)
}

func (p *pool) sortedJobs() []*job {
	out := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.origin.Instance, b.origin.Instance), cmp.Compare(a.call, b.call))
	})
	return out
}

// end answers a job and stops what still runs of it.
func (p *pool) end(j *job, result Result, now Time) {
	if j.over {
		return
	}
	j.over = true
	delete(p.jobs, j.key())
	if p.byID[j.spec.ID] == j {
		delete(p.byID, j.spec.ID)
	}
	if result.Kind != Completed {
		p.stopJob(j, now)
		p.withdrawLent(j)
	}
	if result.Kind == Unknown && j.starts == 0 {
		result.Kind = NotRun
	}
	if j.part == nil {
		p.effect(LogEntry{
			Kind: LogJobEnded, Job: j.spec.ID, Peer: j.origin.Instance, Count: j.starts,
			Age: now.Sub(j.spec.ReceivedAt), Reason: result.Kind.String() + " " + string(result.Reason),
		})
	}
	if j.kept != nil {
		p.holder.over(j.kept, result)
		return
	}
	p.finish(j, result, now)
}

// stopJob stops the runs of a job.
func (p *pool) stopJob(j *job, now Time) {
	if j.live == 0 {
		return
	}
	p.stopRuns(j, func(r *run) { r.task = nil }, now)
	j.live = 0
}

// stopRuns stops the runs of a job that aren't being stopped, and calls each for
// all of them.
func (p *pool) stopRuns(j *job, each func(*run), now Time) {
	for _, s := range p.order {
		for _, r := range s.sorted() {
			if r.task == nil || r.task.job != j {
				continue
			}
			each(r)
			if r.state != runStopping {
				p.stop(s, r, now)
			}
			p.look(s, now)
		}
	}
}

// finish sends the result of a job and keeps it for a while.
func (p *pool) finish(j *job, result Result, now Time) {
	if j.origin.Instance != p.self.Instance {
		p.recent = append(p.recent, finished{j.key(), result, j.lastAttempt(), now})
	}
	p.answer(j.origin, j.call, result, j.lastAttempt())
}

func (p *pool) answer(origin Member, call CallID, result Result, attempt uint32) {
	p.effect(outcomeReady{origin: origin, outcome: Outcome{Call: call, Result: result, Attempt: attempt}})
}

// outcomeReady is an outcome on its way to the instance that holds the call.
// Instance.Step turns it into a message or hands it to its own calls.
type outcomeReady struct {
	origin  Member
	outcome Outcome
}

func (outcomeReady) effect() {}

// tick does what is due by time.
func (p *pool) tick(now Time) {
	p.recent = slices.DeleteFunc(p.recent, func(f finished) bool { return now.Sub(f.at) > recentOutcomes })
	for _, s := range p.order {
		p.tickServer(s, now)
	}
	p.leaveLimbo(now)
	p.expire(now)
	p.dispatch(now)
}

// expire gives up jobs that can't be done within their callers' time.
func (p *pool) expire(now Time) {
	for _, j := range slices.Clone(p.queue) {
		if j.over || !j.waits() {
			continue
		}
		if now.Add(j.rest()/2) > j.spec.Deadline() {
			p.end(j, Result{Kind: Unknown, Reason: ReasonDeadline, RetryAfter: p.expectedWait(now)}, now)
		}
	}
	for _, j := range p.sortedJobs() {
		if now > j.spec.Deadline() {
			p.end(j, Result{Kind: Unknown, Reason: ReasonDeadline}, now)
		}
	}
}
