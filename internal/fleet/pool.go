package fleet

import (
	"cmp"
	"math"
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

	limbo    []limboTask
	lent     map[CallID]lentTask
	lastPart CallID
	told     bool // peers know that tasks wait
}

func newPool(o Options, m *members, w *owners, effect func(Effect)) *pool {
	return &pool{
		self: o.Self, members: m, owners: w, lease: o.Lease, goneAfter: RunsGoneWithin(o.Lease, o.StopTimeout), policy: o.Policy, effect: effect,
		lent:    map[CallID]lentTask{},
		servers: map[model.ServerID]*server{},
		jobs:    map[jobKey]*job{},
		byID:    map[string]*job{},
		typical: wideTask,
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
	s := newServer(e, o)
	p.servers[e.ID] = s
	p.order = append(p.order, s)
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	p.effect(Note{Kind: NoteServerOwned, Server: e.ID, Value: o.Revision})
	p.look(s, now)
}

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
		if e.Addr != s.entry.Addr || e.Born != s.entry.Born && s.born != 0 && e.Born > s.born {
			p.reborn(s, e.Born)
		}
		s.entry = e
		if e.State == ServerDraining {
			s.drains = true
		} else if s.born == 0 || s.born == e.Born {
			s.drains = false
		}
	}
}

// reborn notes that a server has started anew and remembers nothing. Which runs
// are gone is told by the next look: a start may have reached the new life
// before anything was heard of it.
func (p *pool) reborn(s *server, born int64) {
	p.effect(Note{Kind: NoteServerReborn, Server: s.entry.ID, Value: uint64(born), Count: len(s.runs)})
	s.born, s.seen, s.acked, s.leaseEnd = born, 0, 0, 0
	s.clock = remoteClock{}
	s.drains = false
	s.phase = phaseLooking
	s.health = health{}
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
	if spec.Part != nil {
		return p.offerPart(origin, call, spec, now)
	}
	if old := p.byID[spec.ID]; old != nil {
		p.end(old, Result{Kind: Unknown, Reason: ReasonReplaced}, now)
	}
	j := newJob(spec, origin, call)
	p.learnSize(spec)
	verdict, wait := p.admit(j, now)
	switch {
	case !final && (verdict != admitNow || p.othersWait(spec.Service, now)):
		return true
	case verdict == admitRefuse:
		p.effect(Note{Kind: NoteJobQueued, Job: spec.ID, Reason: "refused: " + string(ReasonBusy), Age: wait, Count: len(p.queue)})
		p.finish(j, Result{Kind: NotRun, Reason: ReasonBusy, RetryAfter: wait}, now)
		return false
	}
	if verdict == admitQueue {
		p.effect(Note{Kind: NoteJobQueued, Job: spec.ID, Reason: "waits", Age: wait, Count: len(p.queue)})
	}
	p.jobs[key], p.byID[spec.ID] = j, j
	p.queue = append(p.queue, j)
	p.dispatch(now)
	return false
}

func (p *pool) learnSize(spec JobSpec) {
	const share = 0.02 // of a job in the moving mean
	for _, s := range spec.Steps {
		p.typical += share * (float64(s.Need.CPUMilli) - p.typical)
	}
}

// verdict says what becomes of an offered job.
type verdict int

const (
	admitNow    verdict = iota // all that is ready can start at once
	admitQueue                 // it is expected to be of use after a wait
	admitRefuse                // it would come too late
)

// admit decides on a job by the work that waits before it.
func (p *pool) admit(j *job, now Time) (verdict, time.Duration) {
	if !p.waitsInTime(now) && p.fitsNow(j, now) {
		return admitNow, 0
	}
	wait := p.fleetWait(j.spec.Service, now)
	end := now.Add(wait + j.rest())
	limit := j.spec.Received.Add(lateFactor * j.spec.Due().Sub(j.spec.Received))
	if end > min(limit, j.spec.Deadline()) {
		return admitRefuse, wait
	}
	return admitQueue, wait
}

// othersWait reports whether jobs wait at the owner that keeps the queue; what
// comes later waits behind them.
func (p *pool) othersWait(service string, now Time) bool {
	keeper := p.members.queueKeeper(service, p.serverCount(service), now)
	return keeper != nil && keeper.load(service).Waiting > 0
}

// serverCount returns the number of servers of a service.
func (p *pool) serverCount(service string) int {
	n := 0
	for _, s := range p.order {
		if s.entry.Service == service {
			n++
		}
	}
	return n
}

// waitsInTime reports whether a job waits that can still be in time.
func (p *pool) waitsInTime(now Time) bool {
	return slices.ContainsFunc(p.queue, func(j *job) bool { return j.waits() && j.latestStart() >= now })
}

// fitsNow reports whether all ready tasks of a job can start at once.
func (p *pool) fitsNow(j *job, now Time) bool {
	for _, st := range j.steps {
		if !st.ready {
			continue
		}
		room := 0
		for _, s := range p.order {
			if s.takesWork(now) && s.entry.serves(j.spec.Service, st.spec) {
				room += timesFits(st.spec.Need, s.free(), st.spec.MaxPerServer)
			}
		}
		if room < st.spec.Count {
			return false
		}
	}
	return true
}

// serves reports whether tasks of a step may run on the server.
func (e *ServerEntry) serves(service string, st StepSpec) bool {
	return e.Service == service && (st.Label == "" || slices.Contains(e.Labels, st.Label))
}

// timesFits returns how many times need fits into room, limit at most if it is
// above 0.
func timesFits(need, room model.Resources, limit int) int {
	n := math.MaxInt32
	if limit > 0 {
		n = limit
	}
	for _, d := range [][2]uint32{
		{need.CPUMilli, room.CPUMilli}, {need.MemoryMB, room.MemoryMB}, {need.Accelerators, room.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, int(d[1]/d[0]))
		}
	}
	return n
}

// expectedWait estimates how long a job that comes now waits for its start.
func (p *pool) expectedWait(now Time) time.Duration {
	rate := 0.0
	for _, s := range p.order {
		if s.takesWork(now) {
			rate += float64(s.entry.Capacity.CPUMilli) * packedShare / math.Exp(s.pace.log)
		}
	}
	if rate == 0 {
		return time.Second
	}
	work := 0.0
	for _, j := range p.queue {
		work += j.waitingWork()
	}
	return time.Duration(work / rate * float64(time.Millisecond))
}

// load tells how busy the pool is for jobs of a service.
func (p *pool) load(service string, now Time) Load {
	l := Load{Service: service, Wait: p.expectedWait(now), Waiting: p.waitingTasks(service), Staged: p.staged()}
	need := uint32(p.typical)
	for _, s := range p.order {
		if s.entry.Service != service || !s.takesWork(now) {
			continue
		}
		l.Servers++
		l.Capacity += float64(s.entry.Capacity.CPUMilli)
		l.Free += float64(s.free().CPUMilli / need * need)
	}
	return l
}

// services returns the services of the pool's servers, in order.
func (p *pool) services() []string {
	var out []string
	for _, s := range p.order {
		if !slices.Contains(out, s.entry.Service) {
			out = append(out, s.entry.Service)
		}
	}
	slices.Sort(out)
	return out
}

// dispatch starts what can start.
func (p *pool) dispatch(now Time) {
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.over || !j.waits() })
	if len(p.queue) == 0 {
		return
	}
	p.policy.sort(p.queue, now)
	for _, j := range p.queue {
		for _, st := range j.steps {
			if st.ready {
				p.startStep(j, st, now)
			}
		}
	}
	p.lend(now)
	p.unstage(now)
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.over || !j.waits() })
}

// startStep starts as many waiting tasks of a step as fit.
func (p *pool) startStep(j *job, st *step, now Time) {
	for len(st.waiting) > 0 {
		t := st.waiting[0]
		if near := p.rackLender(t, now); near != nil {
			st.waiting = st.waiting[1:]
			p.lendTask(t, near, now)
			continue
		}
		s := p.place(t, now)
		if s == nil {
			return
		}
		st.waiting = st.waiting[1:]
		p.start(t, s, now)
	}
}

func (p *pool) start(t *task, s *server, now Time) {
	t.attempt++
	r := &run{
		id: RunID{t.id, t.attempt}, task: t, need: t.step.spec.Need, sentAt: now,
		expected: s.pace.expect(t.step.spec.Estimate),
	}
	t.run, t.server = r, s
	t.job.starts++
	t.job.live++
	s.add(r)
	s.health.started()
	p.effect(StartRun{
		Server: s.entry.ID, Addr: s.entry.Addr, Run: r.id, Spec: t.job.spec.Spec,
		Fence: s.own.Revision, LeaseEndMs: s.extendLease(now, p.lease),
	})
}

// look sends the look that is due at a server, if any.
func (p *pool) look(s *server, now Time) {
	if l, due := s.nextLook(now, p.lease); due {
		p.effect(l)
	}
}

// startAnswered takes in what became of a start.
func (p *pool) startAnswered(e StartAnswered, now Time) {
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
	case StartDone:
		r.state, r.settledAt = runConfirmed, now
	case StartUnanswered:
		p.effect(Note{Kind: NoteRunUnanswered, Server: e.Server, Run: e.Run, Age: now.Sub(e.SentAt)})
		r.state, r.doubtedAt = runDoubted, now
		p.suspect(s, e.SentAt, now)
		p.probe(s, now)
	case StartNotSent:
		p.suspect(s, e.SentAt, now)
		p.again(s, r, now)
	case StartFenced:
		p.fenced(s, now)
	case StartOutdated, StartRefused:
		p.again(s, r, now)
	case StartReborn:
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
		t.requeue()
		p.enqueue(t.job)
	}
}

func (p *pool) enqueue(j *job) {
	if !j.over && !slices.Contains(p.queue, j) {
		p.queue = append(p.queue, j)
	}
}

// free removes a run from its server.
func (p *pool) free(s *server, r *run) {
	s.remove(r)
	if r.task != nil {
		r.task.job.live--
		r.task.run, r.task.server = nil, nil
	}
}

// lost frees a run that can't be there any more and whose end is unknown.
func (p *pool) lost(s *server, r *run, now Time) {
	if r.task != nil {
		p.effect(Note{Kind: NoteRunLost, Server: s.entry.ID, Run: r.id, Age: now.Sub(r.sentAt)})
	}
	p.again(s, r, now)
}

// stop orders the end of a run. Its room stays occupied until the end is known.
func (p *pool) stop(s *server, r *run, now Time) {
	r.state, r.stopSent, r.settledAt = runStopping, now, 0
	p.effect(StopRun{Server: s.entry.ID, Addr: s.entry.Addr, Run: r.id, Fence: s.own.Revision})
}

// stopAnswered takes in what became of a stop.
func (p *pool) stopAnswered(e StopAnswered, now Time) {
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
		p.effect(Note{Kind: NoteServerSilent, Server: s.entry.ID, Count: len(s.runs)})
	}
	if s.misses > 0 {
		p.probe(s, now)
	}
}

// probe sends a look that does not wait.
func (p *pool) probe(s *server, now Time) {
	if l, due := s.probe(now, p.lease); due {
		p.effect(l)
	}
}

// heard notes an answer of a server.
func (p *pool) heard(s *server, clockMs int64, now Time) {
	if s.answered(clockMs, now) {
		p.effect(Note{Kind: NoteServerBack, Server: s.entry.ID})
	}
}

// fenced notes that another instance owns a server.
func (p *pool) fenced(s *server, now Time) {
	p.effect(Note{Kind: NoteServerFenced, Server: s.entry.ID, Value: s.own.Revision})
	p.drop(s, now)
}

// lookAnswered takes in what runs and has ended at a server.
func (p *pool) lookAnswered(e LookAnswered, now Time) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	if e.Look.Probe {
		s.probing = false
	} else {
		s.looking = false
	}
	switch e.Outcome {
	case LookFenced:
		p.fenced(s, now)
		p.dispatch(now)
		return
	case LookUnanswered:
		p.suspect(s, e.SentAt, now)
		p.look(s, now)
		return
	case LookReborn:
		s.phase = phaseLooking
		s.lookAt = now.Add(lookRetryPause)
		return
	}
	if e.Born != s.born && e.Born != 0 {
		if s.born != 0 {
			p.reborn(s, e.Born)
		}
		s.born = e.Born
	}
	p.heard(s, e.ClockMs, now)
	s.drains = s.drains || e.Drains
	s.acked = max(s.acked, min(e.Look.Seen, s.seen))
	for _, end := range e.Ended {
		p.ended(s, end, now)
	}
	p.compare(s, e, now)
	p.look(s, now)
	p.dispatch(now)
}

// ended takes in the end of a run.
func (p *pool) ended(s *server, e EndedRow, now Time) {
	if e.Number <= s.seen {
		return
	}
	s.seen = e.Number
	r := s.runs[e.Run]
	if r == nil {
		return
	}
	t := r.task
	p.free(s, r)
	if t == nil {
		return
	}
	switch e.How {
	case EndDone:
		s.pace.learn(now.Sub(r.sentAt), t.step.spec.Estimate)
		if s.health.done() {
			p.effect(Note{Kind: NoteServerRestored, Server: s.entry.ID})
		}
		p.taskDone(t, now)
	case EndFailed:
		p.taskFailed(s, t, now)
	default:
		t.requeue()
		p.enqueue(t.job)
	}
}

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
	p.effect(Note{Kind: NoteRunFailed, Server: s.entry.ID, Run: RunID{t.id, t.attempt}, Count: t.failures + 1})
	if s.health.failed(now) {
		p.effect(Note{Kind: NoteServerQuarantined, Server: s.entry.ID, Count: s.health.failures})
	}
	p.countFailure(t, now)
}

// countFailure lets a failed task start again, or gives its job up.
func (p *pool) countFailure(t *task, now Time) {
	t.failures++
	if t.failures >= t.job.spec.Attempts {
		p.end(t.job, Result{Kind: Failed, Reason: ReasonAttempts}, now)
		return
	}
	t.requeue()
	p.enqueue(t.job)
}

// compare matches what a server lists as running with what is booked there.
func (p *pool) compare(s *server, e LookAnswered, now Time) {
	present := make(map[RunID]bool, len(e.Running))
	foreign := 0
	for _, row := range e.Running {
		present[row.Run] = true
		r := s.runs[row.Run]
		if r == nil {
			foreign++
			r = &run{id: row.Run, sentAt: now}
			s.add(r)
			p.effect(Note{Kind: NoteForeignRun, Server: s.entry.ID, Run: row.Run})
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

// stalled stops a run that stands still, so that its task starts elsewhere.
func (p *pool) stalled(s *server, r *run, now Time) {
	p.effect(Note{Kind: NoteRunOverdue, Server: s.entry.ID, Run: r.id, Age: now.Sub(r.progressAt), Count: r.percent})
	s.health.stalled(now)
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
	if slices.ContainsFunc(s.sorted(), func(r *run) bool { return r.task == nil }) {
		s.lookAt = now.Add(stopRetryPause)
		return
	}
	s.phase = phaseServing
}

// withdraw gives a job up that nobody waits for.
func (p *pool) withdraw(key jobKey, now Time) {
	if j := p.jobs[key]; j != nil {
		p.end(j, Result{Kind: Unknown, Reason: ReasonCancelled}, now)
		p.dispatch(now)
	}
}

// originLost gives up all jobs of an instance that is gone or silent.
func (p *pool) originLost(m model.Instance, now Time) {
	p.dropJobs(func(k jobKey) bool { return k.origin == m }, now)
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
			p.end(j, Result{Kind: Unknown, Reason: ReasonCancelled}, now)
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
		p.effect(Note{
			Kind: NoteJobEnded, Job: j.spec.ID, Peer: j.origin.Instance, Count: j.starts,
			Age: now.Sub(j.spec.Received), Reason: result.Kind.String() + " " + string(result.Reason),
		})
	}
	p.finish(j, result, now)
}

// stopJob stops the runs of a job.
func (p *pool) stopJob(j *job, now Time) {
	if j.live == 0 {
		return
	}
	for _, s := range p.order {
		for _, r := range s.sorted() {
			if r.task == nil || r.task.job != j {
				continue
			}
			r.task.run, r.task.server = nil, nil
			r.task = nil
			if r.state != runStopping {
				p.stop(s, r, now)
			}
			p.look(s, now)
		}
	}
	j.live = 0
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

func (p *pool) tickServer(s *server, now Time) {
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

// expire gives up jobs that can't be done within their callers' time.
func (p *pool) expire(now Time) {
	for _, j := range slices.Clone(p.queue) {
		if j.over || !j.waits() {
			continue
		}
		if now.Add(j.rest()/2) > j.spec.Deadline() {
			p.end(j, Result{Kind: Unknown, Reason: ReasonLate, RetryAfter: p.expectedWait(now)}, now)
		}
	}
	for _, j := range p.sortedJobs() {
		if now > j.spec.Deadline() {
			p.end(j, Result{Kind: Unknown, Reason: ReasonLate}, now)
		}
	}
}
