package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of tasks that run on other owners' servers.
const (
	// bouncedPause is how long an owner that had no room is passed over,
	// unless it tells of new room.
	bouncedPause = 20 * time.Millisecond
	// stagedParts is how many tasks of others wait at an owner for its next
	// room, so that no room stands empty while it is told of.
	stagedParts = 3
	// stagedFor is how long they wait at most.
	stagedFor = 15 * time.Millisecond
	// roomPause is the least time between two messages that tell a peer of
	// room, or of tasks that wait.
	roomPause = 2 * time.Millisecond
	// partCalls is the first call ID of parts; those of callers are below.
	partCalls CallID = 1 << 62
)

// OffloadedTask says that an offered job is a single task of a job that another owner
// keeps.
type OffloadedTask struct {
	Step    int
	Index   int
	Attempt uint32 // of the last start so far
	Home    Member // the life of the instance that holds the caller of the job
}

// lentTask is a task that runs on another owner's servers.
type lentTask struct {
	task *task
	to   Member
}

// lend offers waiting tasks to owners that have room for them at once.
func (p *pool) lend(now Time) {
	full := map[string]uint32{} // by service: milli-cores that no owner has room for
	for _, j := range p.queue {
		if j.spec.Offloaded != nil || j.kept != nil {
			continue // the holder of a kept job stores the ends of its tasks itself
		}
		for _, st := range j.steps {
			if n, ok := full[j.spec.Service]; st.ready && len(st.waiting) > 0 && (!ok || st.spec.Need.CPUMilli < n) && !p.lendStep(j, st, now) {
				full[j.spec.Service] = st.spec.Need.CPUMilli
			}
		}
	}
}

// lendStep lends the waiting tasks of a step, and reports whether there was an
// owner for all.
func (p *pool) lendStep(j *job, st *step, now Time) (all bool) {
	for len(st.waiting) > 0 {
		lender := p.lender(j.spec.Service, st.spec.Need, now)
		if lender == nil {
			return false
		}
		t := st.waiting[0]
		st.waiting = st.waiting[1:]
		p.lendTask(t, lender, now)
	}
	return true
}

// lender returns the owner with the most room of which a task may be offered to.
func (p *pool) lender(service string, need model.Resources, now Time) *peer {
	var best *peer
	for _, x := range p.members.order {
		if !x.reachable(now) || x.leaving || now.Sub(x.bouncedAt) < bouncedPause {
			continue
		}
		if room := p.stageRoom(x, service); room >= float64(need.CPUMilli) && (best == nil || room > p.stageRoom(best, service)) {
			best = x
		}
	}
	return best
}

// rackLender returns the owner of servers near a task's data if there are none
// here and it has room, else nil.
func (p *pool) rackLender(t *task, now Time) *peer {
	rack := t.step.spec.Rack
	if rack == "" || t.job.part != nil || t.job.kept != nil {
		return nil
	}
	if slices.ContainsFunc(p.order, func(s *server) bool { return slices.Contains(s.entry.Labels, rack) }) {
		return nil
	}
	for _, x := range p.members.order {
		owns := slices.Contains(p.owners.racksOf(x.member), rack)
		if owns && x.reachable(now) && !x.leaving && x.room(t.job.spec.Service) >= float64(t.step.spec.Need.CPUMilli) {
			return x
		}
	}
	return nil
}

// stageRoom returns a peer's room for tasks, with those that may wait there.
func (p *pool) stageRoom(x *peer, service string) float64 {
	l := x.load(service)
	if l.Servers == 0 || l.QueuedTasks > 0 {
		return 0
	}
	return x.room(service) + float64(stagedParts-l.StagedTasks)*p.typical
}

func (p *pool) lendTask(t *task, to *peer, now Time) {
	p.lastPart++
	id := partCalls + p.lastPart
	t.job.starts++
	p.lent[id] = lentTask{t, to.member}
	spec := t.job.spec
	spec.Offloaded = &OffloadedTask{Step: t.id.Step, Index: t.id.Index, Attempt: t.attempt, Home: t.job.origin}
	spec.Steps = []StepSpec{t.step.spec}
	spec.Steps[0].Count, spec.Steps[0].DependsOn = 1, nil
	to.partsSent += float64(t.step.spec.Need.CPUMilli)
	p.effect(SendPeer{To: to.member, Message: Offer{Call: id, Job: spec, Age: now.Sub(spec.ReceivedAt)}})
}

// newPart returns the job of a single task of another owner's job.
func newPart(spec JobSpec, origin Member, call CallID) *job {
	j := newJob(spec, origin, call)
	t := j.steps[0].waiting[0]
	t.id = TaskID{spec.ID, spec.Offloaded.Step, spec.Offloaded.Index}
	t.attempt = spec.Offloaded.Attempt
	j.spec.MaxAttempts = 1
	j.part = t
	return j
}

// offerPart takes a task of another owner that can start at once or soon.
func (p *pool) offerPart(origin Member, call CallID, spec JobSpec, now Time) (bounced bool) {
	j := newPart(spec, origin, call)
	open := p.openServers(j.part.step.spec.Need.CPUMilli, now)
	if s := p.place(j.part, open, now); s != nil && !p.waitsInTime(now) && now >= p.settleTill {
		p.jobs[j.key()] = j
		j.steps[0].waiting = nil
		p.start(j.part, s, now)
		return false
	}
	if p.staged() >= 2*stagedParts {
		return true
	}
	j.until = now.Add(stagedFor)
	p.jobs[j.key()] = j
	p.queue = append(p.queue, j)
	return false
}

// staged counts the tasks of others that wait.
func (p *pool) staged() int {
	n := 0
	for _, j := range p.queue {
		if j.part != nil && j.waits() {
			n++
		}
	}
	return n
}

// unstage sends parts back that found no room in time.
func (p *pool) unstage(now Time) {
	for _, j := range slices.Clone(p.queue) {
		if j.part == nil || j.over || j.starts > 0 || now < j.until || !j.waits() {
			continue
		}
		j.over = true
		delete(p.jobs, j.key())
		p.effect(outcomeReady{origin: j.origin, outcome: Outcome{Call: j.call, Declined: true, Attempt: j.part.attempt}})
	}
}

// lentOutcome takes in what became of a lent task.
func (p *pool) lentOutcome(from *peer, o Outcome, now Time) {
	l, ok := p.lent[o.Call]
	if !ok || !l.to.same(from.member) {
		return
	}
	delete(p.lent, o.Call)
	t := l.task
	if t.job.over {
		return
	}
	t.attempt = max(t.attempt, o.Attempt)
	switch {
	case o.Declined:
		from.bouncedAt = now
		if o.Result.Kind != Unknown {
			t.job.starts--
		}
		p.retry(t)
	case o.Result.Kind == Completed:
		p.taskDone(t, now)
	case o.Result.Kind == Failed:
		p.countFailure(t, now)
	case o.Result.Reason == ReasonStalled:
		t.stalls++
		p.countStall(t, now)
	default:
		p.end(t.job, Result{Kind: Unknown, Reason: o.Result.Reason}, now)
	}
	p.dispatch(now)
}

// lenderLost takes the tasks back that ran on the servers of an owner that is
// gone or silent. They wait until their runs are gone.
func (p *pool) lenderLost(lender Member, gone, now Time) {
	for _, id := range p.lentTo(lender) {
		l := p.lent[id]
		delete(p.lent, id)
		p.effect(SendPeer{To: l.to, Message: Withdraw{Call: id}})
		p.waitFor(l.task, max(gone, now))
	}
}

// limboTask is a task whose last run may go on until a time.
type limboTask struct {
	task *task
	till Time
}

// waitFor lets a task wait until its last run is gone for certain.
func (p *pool) waitFor(t *task, till Time) {
	p.effect(LogEntry{Kind: LogRunLost, Run: RunID{t.id, t.attempt}, Reason: "waits until it has lapsed"})
	p.limbo = append(p.limbo, limboTask{t, till})
}

// waitAll lets all tasks of a new job wait until a time.
func (p *pool) waitAll(j *job, till Time) {
	for _, st := range j.steps {
		for _, t := range st.waiting {
			p.waitFor(t, till)
		}
		st.waiting = nil
	}
}

// leaveLimbo lets tasks start again whose last run is gone.
func (p *pool) leaveLimbo(now Time) {
	p.limbo = slices.DeleteFunc(p.limbo, func(l limboTask) bool {
		if now < l.till && !l.task.job.over {
			return false
		}
		if !l.task.job.over {
			p.retry(l.task)
		}
		return true
	})
}

// lentTo returns the calls of the tasks that were lent to an owner, in order.
func (p *pool) lentTo(lender Member) []CallID {
	var out []CallID
	for id, l := range p.lent {
		if l.to.same(lender) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// withdrawLent gives up the lent tasks of a job.
func (p *pool) withdrawLent(j *job) {
	var calls []CallID
	for id, l := range p.lent {
		if l.task.job == j {
			calls = append(calls, id)
		}
	}
	slices.Sort(calls)
	for _, id := range calls {
		p.effect(SendPeer{To: p.lent[id].to, Message: Withdraw{Call: id}})
		delete(p.lent, id)
	}
}

// waitingTasks counts the tasks that wait for a start.
func (p *pool) waitingTasks(service string) int {
	n := 0
	for _, j := range p.queue {
		if j.spec.Service == service && j.part == nil {
			for _, st := range j.steps {
				if st.ready {
					n += len(st.waiting)
				}
			}
		}
	}
	return n
}

// tellRoom returns the peers that should hear at once how busy this pool is:
// those with waiting tasks if it has room, all if tasks have begun to wait.
func (p *pool) tellRoom(now Time) []*peer {
	waits := slices.ContainsFunc(p.queue, func(j *job) bool { return j.part == nil })
	began := waits && !p.told
	p.told = waits
	if !began && (waits || p.staged() >= stagedParts) {
		return nil
	}
	var out []*peer
	for _, x := range p.members.order {
		if !x.reachable(now) || now.Sub(x.beatAt) < roomPause {
			continue
		}
		if began || x.waits() && p.roomChanged(x, now) {
			out = append(out, x)
		}
	}
	return out
}

// roomChanged reports whether a peer knows of other room than there is, for a
// service of which it has waiting tasks.
func (p *pool) roomChanged(x *peer, now Time) bool {
	return slices.ContainsFunc(x.loads, func(l Load) bool {
		if l.QueuedTasks == 0 {
			return false
		}
		room := p.load(l.Service, now)
		return !slices.ContainsFunc(x.told, func(t Load) bool {
			return t.Service == l.Service && t.FreeMilli == room.FreeMilli && t.StagedTasks == room.StagedTasks
		})
	})
}

// waits reports whether the peer has told of waiting tasks.
func (p *peer) waits() bool {
	return slices.ContainsFunc(p.loads, func(l Load) bool { return l.QueuedTasks > 0 })
}

// fleetWait estimates how long a job waits if all owners share their room.
func (p *pool) fleetWait(service string, now Time) time.Duration {
	own := p.load(service, now)
	capacity, work := own.CapacityMilli, own.CapacityMilli*milliseconds(own.ExpectedWait)
	for _, x := range p.members.order {
		if l := x.load(service); x.reachable(now) && !x.leaving && l.Servers > 0 {
			capacity += l.CapacityMilli
			work += l.CapacityMilli * milliseconds(l.ExpectedWait)
		}
	}
	if capacity == 0 {
		return own.ExpectedWait
	}
	return min(own.ExpectedWait, time.Duration(work/capacity*float64(time.Millisecond)))
}
