package fleet

import (
	"slices"
	"time"
)

// Limits of tasks offloaded to other owners.
const (
	// declinedBackoff is how long an owner that had no room is skipped, unless it
	// reports new room.
	declinedBackoff = 20 * time.Millisecond
	// targetStagedTasks is how many tasks of others wait at an owner for its next free
	// capacity, which would otherwise stay idle until its peers hear of it.
	targetStagedTasks = 3
	// stagedTimeout limits that wait.
	stagedTimeout = 15 * time.Millisecond
	// minLoadUpdateInterval is the minimum time between load updates to a peer.
	minLoadUpdateInterval = 2 * time.Millisecond
	// firstOffloadCall is the lowest call ID of offloaded tasks; those of callers are
	// below.
	firstOffloadCall CallID = 1 << 62
)

// OffloadedTask marks an offered job as a single task of a job that stays with another
// owner.
type OffloadedTask struct {
	Step    int
	Index   int
	Attempt uint32 // last attempt so far
	Home    Member // instance that holds the job's call
	Near    bool   // runs only on the rack that its step names
}

// offload is a task offloaded to another owner.
type offload struct {
	task   *task
	to     Member
	sentAt Time
	rack   string // that it was offered for, empty if for any free capacity
}

// offloadQueued offers queued tasks to owners with room for them.
func (p *pool) offloadQueued(now Time) {
	full := map[string]uint32{} // by service: smallest CPU need, in milli-cores, that no owner has room for
	for _, j := range p.queue {
		if j.spec.Offloaded != nil || j.durable != nil {
			continue // the holder of a durable job stores the task ends itself
		}
		for _, st := range j.steps {
			if p.owners.evacuations.any() && p.owners.stepFit(j.spec.Service, st.spec) == fitsEvacuated {
				continue // each owner would decline it, and the job couldn't be rejected meanwhile
			}
			limited := st.spec.MaxPerServer > 0 // another step may find room where this one is at its limit
			if n, ok := full[j.spec.Service]; st.ready && len(st.queued) > 0 && !st.waitsNear && !st.awaitsLife && (!ok || st.spec.Need.CPUMilli < n) && !p.offloadStep(j, st, now) && !limited {
				full[j.spec.Service] = st.spec.Need.CPUMilli
			}
		}
	}
}

// offloadStep offloads the queued tasks of a step, and reports whether owners were
// found for all.
func (p *pool) offloadStep(j *job, st *step, now Time) (all bool) {
	for len(st.queued) > 0 {
		target := p.offloadTarget(st, now)
		if target == nil {
			return false
		}
		t := st.queued[0]
		st.queued = st.queued[1:]
		p.offloadTask(t, target, "", now)
	}
	return true
}

// offloadTarget returns the owner with the most room, nil if none has enough for a task of
// the step.
func (p *pool) offloadTarget(st *step, now Time) *peer {
	service, need := st.job.spec.Service, st.spec.Need
	var best *peer
	for _, x := range p.members.orderedPeers {
		if !x.reachable(now) || x.leaving || now.Sub(x.declinedAt) < declinedBackoff {
			continue
		}
		room := p.roomWithStaging(x, service)
		if room >= float64(need.CPUMilli) && (best == nil || room > p.roomWithStaging(best, service)) && p.mayOffload(st, x.member, "") {
			best = x
		}
	}
	return best
}

// rackTarget returns an owner with room that has servers near the task's data, nil if
// there is none or this instance has such servers.
func (p *pool) rackTarget(t *task, now Time) *peer {
	rack := t.step.spec.Rack
	if rack == "" || t.job.offloaded != nil || t.job.durable != nil {
		return nil
	}
	if slices.ContainsFunc(p.orderedServers, func(s *server) bool { return slices.Contains(s.entry.Labels, rack) }) {
		return nil
	}
	for _, x := range p.members.orderedPeers {
		owns := slices.Contains(p.owners.labelsOf(x.member), rack)
		if owns && x.reachable(now) && !x.leaving && x.freeMilli(t.job.spec.Service) >= float64(t.step.spec.Need.CPUMilli) && p.mayOffload(t.step, x.member, rack) {
			return x
		}
	}
	return nil
}

// roomWithStaging returns a peer's free milli-cores plus what may be staged there. Tasks of
// others are staged beside a queue only if all servers here are evacuated: nothing else
// would ever start them.
func (p *pool) roomWithStaging(x *peer, service string) float64 {
	l := x.load(service)
	if l.Servers == 0 || l.QueuedTasks > 0 && !p.allEvacuated(service) {
		return 0
	}
	return x.freeMilli(service) + float64(targetStagedTasks-l.StagedTasks)*p.typicalMilli
}

// offloadTask offers a task to another owner, only for servers on a rack if one is named.
func (p *pool) offloadTask(t *task, to *peer, rack string, now Time) {
	p.lastOffload++
	id := firstOffloadCall + p.lastOffload
	t.job.starts++
	p.chargeStart(t)
	if rack == "" {
		t.step.leaveRack()
	}
	p.offloads[id] = offload{t, to.member, now, rack}
	spec := t.job.spec
	spec.Offloaded = &OffloadedTask{Step: t.id.Step, Index: t.id.Index, Attempt: t.attempt, Home: t.job.origin, Near: rack != ""}
	spec.Steps = []StepSpec{t.step.spec}
	spec.Steps[0].Count, spec.Steps[0].DependsOn = 1, nil
	spec.Steps[0].Rack, spec.Steps[0].SameRack = t.step.rackName(), t.step.spread
	to.offloadSentMilli += float64(t.step.spec.Need.CPUMilli)
	p.effect(SendPeer{To: to.member, Message: Offer{Call: id, Job: spec, Age: now.Sub(spec.ReceivedAt), Echo: p.members.echoFor(to, now)}})
}

// newOffloadedJob returns the job for a task offloaded by another owner.
func newOffloadedJob(spec JobSpec, origin Member, call CallID) *job {
	j := newJob(spec, origin, call)
	t := j.steps[0].queued[0]
	t.id = TaskID{spec.ID, spec.Offloaded.Step, spec.Offloaded.Index}
	t.attempt = spec.Offloaded.Attempt
	j.spec.MaxAttempts = 1
	j.offloaded = t
	t.step.spread, t.step.spec.SameRack = spec.Steps[0].SameRack, false
	return j
}

// offerOffloaded accepts a task of another owner that can start immediately or be
// staged.
func (p *pool) offerOffloaded(origin Member, call CallID, spec JobSpec, now Time) (declined bool) {
	j := newOffloadedJob(spec, origin, call)
	p.noteOffered(j, now)
	if until := p.orphansEndAt(&spec, origin, now); until != 0 {
		j.again = true
		p.stage(j, until.Add(stagedTimeout))
		p.delayAll(j, WaitsSubmitted, until, now)
		return false
	}
	open := p.openServers(j.offloaded.step.spec.Need.CPUMilli, now)
	if s := p.pickServer(j.offloaded, open, now); s != nil && !p.onTimeJobQueued(now) && now >= p.noStartsUntil {
		p.addJob(j)
		j.steps[0].queued = nil
		p.startTask(j.offloaded, s, now)
		return false
	}
	if spec.Offloaded.Near {
		return p.stageNear(j, now)
	}
	if p.stagedTasks() >= 2*targetStagedTasks {
		return true
	}
	p.stage(j, now.Add(stagedTimeout))
	return false
}

// stage queues a task of another owner until a time.
func (p *pool) stage(j *job, until Time) {
	j.returnAt = until
	p.addJob(j)
	p.queue = append(p.queue, j)
}

// stagedTasks counts the staged tasks of other owners.
func (p *pool) stagedTasks() int {
	n := 0
	for _, j := range p.queue {
		if j.offloaded != nil && !j.spec.Offloaded.Near && j.hasReadyTask() {
			n++
		}
	}
	return n
}

// returnStaged declines staged tasks that found no room in time.
func (p *pool) returnStaged(now Time) {
	for _, j := range slices.Clone(p.queue) {
		if j.offloaded == nil || j.done || j.starts > 0 || now < j.returnAt || !j.hasReadyTask() {
			continue
		}
		p.returnJob(j, Result{})
	}
}

// handleOffloadOutcome processes the outcome of an offloaded task.
func (p *pool) handleOffloadOutcome(from *peer, o Outcome, now Time) {
	off, ok := p.offloads[o.Call]
	if !ok || !off.to.sameIncarnation(from.member) {
		return
	}
	delete(p.offloads, o.Call)
	t := off.task
	if t.job.done {
		return
	}
	off.concludeOffload(o, now)
	t.attempt = max(t.attempt, o.Attempt)
	switch {
	case o.Declined:
		from.noteDeclined(off, o.Result.RetryAfter, now)
		if o.Result.Kind != Unknown {
			t.job.starts--
		}
		p.requeue(t)
		t.step.reopenGroup()
	case o.Result.Kind == Completed:
		p.taskDone(t, now)
	case o.Result.Reason == ReasonCrashes:
		p.endJob(t.job, o.Result, now)
	case o.Result.Kind == Failed:
		p.countFailure(t, now)
	case o.Result.Reason == ReasonStalled:
		t.stalls++
		p.countStall(t, now)
	default:
		if o.Result.Kind == Unknown {
			p.orphans.addTask(t.id, now.Add(p.orphanRunTime))
		}
		p.endJob(t.job, Result{Kind: Unknown, Reason: o.Result.Reason}, now)
	}
	p.dispatch(now)
}

// handleTargetLost reclaims the tasks offloaded to a lost owner. They wait until their
// runs have ended.
func (p *pool) handleTargetLost(target Member, runsEnd, now Time) {
	for _, id := range p.offloadsTo(target) {
		off := p.offloads[id]
		delete(p.offloads, id)
		p.effect(SendPeer{To: off.to, Message: Withdraw{Call: id}})
		until := max(runsEnd, now)
		rec := off.record()
		rec.OverAt, rec.Conclusion, rec.Wait = now, WaitsOwnerLost, until.Sub(now)
		p.logOver(rec, true)
		off.task.job.keepRecord(rec)
		p.delayTask(off.task, until)
	}
}

// delayedTask is a task whose last run may continue until a time.
type delayedTask struct {
	task  *task
	until Time
}

// delayTask delays a task until its last run has certainly ended.
func (p *pool) delayTask(t *task, until Time) {
	p.delayed = append(p.delayed, delayedTask{t, until})
}

// delayAll delays all tasks of a new job for runs that may exist.
func (p *pool) delayAll(j *job, why Conclusion, until, now Time) {
	p.logDelayed(j, j.remaining, why, until, now)
	for _, st := range j.steps {
		for _, t := range slices.Concat(st.queued, st.suspects) {
			p.delayTask(t, until)
		}
		st.queued, st.suspects = nil, nil
	}
}

// delayedUntil returns until when tasks of a job wait for runs that may exist, 0 if none does.
func (p *pool) delayedUntil(j *job) (until Time) {
	for _, d := range p.delayed {
		if d.task.job == j {
			until = max(until, d.until)
		}
	}
	return until
}

// requeueDelayed queues the delayed tasks whose last runs have ended.
func (p *pool) requeueDelayed(now Time) {
	p.delayed = slices.DeleteFunc(p.delayed, func(d delayedTask) bool {
		if now < d.until && !d.task.job.done {
			return false
		}
		if !d.task.job.done {
			p.requeue(d.task)
		}
		return true
	})
}

// offloadsTo returns the calls of the tasks offloaded to an owner, in order.
func (p *pool) offloadsTo(target Member) []CallID {
	return p.offloadsWhere(func(off offload) bool { return off.to.sameIncarnation(target) })
}

// offloadsOf returns the calls of the offloaded tasks of a job, in order.
func (p *pool) offloadsOf(j *job) []CallID {
	return p.offloadsWhere(func(off offload) bool { return off.task.job == j })
}

func (p *pool) offloadsWhere(which func(offload) bool) []CallID {
	var out []CallID
	for id, off := range p.offloads {
		if which(off) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// withdrawOffloads cancels the offloaded tasks of a job, and adds them to its records.
func (p *pool) withdrawOffloads(j *job, offloads []CallID) {
	for _, id := range offloads {
		off := p.offloads[id]
		j.keepRecord(off.record())
		p.effect(SendPeer{To: off.to, Message: Withdraw{Call: id}})
		delete(p.offloads, id)
	}
}

// queuedTasks counts the ready tasks queued by this owner's jobs.
func (p *pool) queuedTasks(service string) int {
	n := 0
	for _, j := range p.queue {
		if j.spec.Service == service && j.offloaded == nil {
			for _, st := range j.steps {
				if st.ready && st.waitsForCapacity() {
					n += len(st.queued)
				}
			}
		}
	}
	return n
}

// peersToUpdate returns the peers that need an immediate load update: those with queued
// tasks if there is room for them, all peers if tasks have just started to queue.
func (p *pool) peersToUpdate(now Time) []*peer {
	waits := slices.ContainsFunc(p.queue, func(j *job) bool { return j.offloaded == nil && !j.waitsForPlace() })
	began := waits && !p.queueAnnounced
	p.queueAnnounced = waits
	if !began && (waits || p.stagedTasks() >= targetStagedTasks) {
		return nil
	}
	var out []*peer
	for _, x := range p.members.orderedPeers {
		if !x.reachable(now) || now.Sub(x.heartbeatSentAt) < minLoadUpdateInterval {
			continue
		}
		if began || x.hasQueuedTasks() && p.loadChanged(x, now) {
			out = append(out, x)
		}
	}
	return out
}

// loadChanged reports whether the load last sent to a peer is outdated for a service of
// which it has queued tasks.
func (p *pool) loadChanged(x *peer, now Time) bool {
	return slices.ContainsFunc(x.loads, func(l Load) bool {
		if l.QueuedTasks == 0 {
			return false
		}
		current := p.load(l.Service, now)
		return !slices.ContainsFunc(x.sentLoads, func(t Load) bool {
			return t.Service == l.Service && t.FreeMilli == current.FreeMilli && t.StagedTasks == current.StagedTasks
		})
	})
}

// hasQueuedTasks reports whether the peer has queued tasks.
func (p *peer) hasQueuedTasks() bool {
	return slices.ContainsFunc(p.loads, func(l Load) bool { return l.QueuedTasks > 0 })
}

// fleetExpectedWait estimates the wait of a job if all owners share their capacity.
func (p *pool) fleetExpectedWait(service string, j *job, now Time) time.Duration {
	own, load := p.expectedWait(j, now), p.load(service, now)
	capacity, work := load.CapacityMilli, load.CapacityMilli*milliseconds(own)
	for _, x := range p.members.orderedPeers {
		if l := x.load(service); x.reachable(now) && !x.leaving && l.Servers > 0 {
			capacity += l.CapacityMilli
			work += l.CapacityMilli * milliseconds(l.ExpectedWait)
		}
	}
	if capacity == 0 {
		return own
	}
	return min(own, time.Duration(work/capacity*float64(time.Millisecond)))
}
