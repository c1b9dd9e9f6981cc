package fleet

import "slices"

// A job that isn't durable may be submitted again, at any instance, while an earlier
// submission still has runs: its caller has lost the connection, and not all instances know
// that. An instance that sees two submissions ends the earlier one.

// outdatedResult is the result of a submission of which a later one is known.
var outdatedResult = Result{Kind: Unknown, Reason: ReasonResubmitted}

// laterSubmission reports whether job a was submitted after b. Callers submit a job again
// after more than the time that runs outlast their loss, see checkResend in package platform.
// Half of that tells two submissions apart, unless messages about one took about as long.
func (p *pool) laterSubmission(a, b *JobSpec) bool {
	return a.ReceivedAt.Sub(b.ReceivedAt) > p.orphanRunTime/2
}

// taskID returns the ID of an offloaded task.
func (j *JobSpec) taskID() TaskID { return TaskID{j.ID, j.Offloaded.Step, j.Offloaded.Index} }

// otherSubmissions returns the jobs here that belong to another submission of a job or task
// offered by origin, or would run the same tasks.
func (p *pool) otherSubmissions(spec *JobSpec, origin Member) (out []*job) {
	for _, j := range p.byID[spec.ID] {
		sameTasks := j.offloaded == nil || spec.Offloaded == nil || j.offloaded.id == spec.taskID()
		if sameTasks || !j.home().sameIncarnation(spec.home(origin)) {
			out = append(out, j)
		}
	}
	return out
}

// endOtherSubmissions ends earlier submissions of an offered job or task. It reports whether
// a later one is here, which outdates the offer. Offers for one instance's calls come in
// their order.
func (p *pool) endOtherSubmissions(spec *JobSpec, origin Member, now Time) (outdated bool) {
	others := p.otherSubmissions(spec, origin)
	sameHome := func(j *job) bool { return j.home().sameIncarnation(spec.home(origin)) }
	if slices.ContainsFunc(others, func(j *job) bool { return p.laterSubmission(&j.spec, spec) && !sameHome(j) }) {
		return true
	}
	for _, j := range others {
		if j.offloaded != nil { // its owner and other instances may have other tasks of the job
			p.orphans.addJob(spec.ID, now.Add(p.orphanRunTime))
			if !sameHome(j) {
				p.endCall(j.home(), spec, now)
			}
		}
		p.endJob(j, outdatedResult, now)
	}
	return false
}

// endCall has another instance end its call with a job of which a later submission is known
// here.
func (p *pool) endCall(at Member, later *JobSpec, now Time) {
	if at.Instance != "" && at.Instance != p.self.Instance {
		p.effect(SendPeer{To: at, Message: Withdraw{Job: later.ID, Age: now.Sub(later.ReceivedAt)}})
	}
}

// mayHaveRuns reports whether runs of other submissions of an offered job or task may go on
// that this instance knows of. As no other owner does, it must not decline the offer.
func (p *pool) mayHaveRuns(spec *JobSpec, origin Member, now Time) bool {
	return !spec.Durable && (len(p.otherSubmissions(spec, origin)) > 0 || p.orphansEndAt(spec, origin, now) != 0)
}

// orphansEndAt returns when all runs of an ended submission of a job or task offered by origin
// are certainly over; 0 if none is known. Runs at this instance's servers that
// belong to no job, as they are being stopped or are an earlier owner's, count while the
// servers have them.
func (p *pool) orphansEndAt(spec *JobSpec, origin Member, now Time) (at Time) {
	for _, x := range p.orphans.jobs[spec.ID] {
		if now < x.until && x.concerns(spec, spec.home(origin)) {
			at = max(at, x.until)
		}
	}
	if p.hasOrphanHere(spec) {
		at = max(at, now.Add(p.orphanRunTime))
	}
	return at
}

// hasOrphanHere reports whether a server has a run of a job or offloaded task that belongs to
// no job.
func (p *pool) hasOrphanHere(spec *JobSpec) bool {
	for _, s := range p.orderedServers {
		for id, r := range s.runs {
			if r.task == nil && id.Task.Job == spec.ID && (spec.Offloaded == nil || id.Task == spec.taskID()) {
				return true
			}
		}
	}
	return false
}

// recordOrphans records the runs that go on when a job ends without success, but for those at
// this instance's servers. offloaded reports whether other owners have tasks of it.
func (p *pool) recordOrphans(j *job, offloaded bool, now Time) {
	until := p.delayedUntil(j)
	if offloaded {
		until = now.Add(p.orphanRunTime)
	}
	switch {
	case j.durable != nil: // its attempts are told apart by the terms of its holders
	case j.offloaded != nil:
		// Its owner has ended the job, or runs the task elsewhere: it may have other tasks of it.
		p.orphans.add(j.spec.ID, orphan{all: true, home: j.home(), until: now.Add(p.orphanRunTime)})
		if until != 0 {
			p.orphans.addTask(j.offloaded.id, until)
		}
	case until != 0:
		p.orphans.addJob(j.spec.ID, until)
	}
}
