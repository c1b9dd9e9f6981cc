package fleet

import "slices"

// A job that isn't durable may be submitted again, at any instance, while an earlier
// submission still has runs: its caller has lost the connection, and not all instances know
// that. An instance that sees two submissions ends the earlier one.

// laterSubmission reports whether job a was submitted after b. Callers submit a job again
// after more than the time that runs outlast their loss, see checkResend in package platform;
// half of that tells two submissions apart however long instances took to read them.
func (p *pool) laterSubmission(a, b *JobSpec) bool {
	return a.ReceivedAt.Sub(b.ReceivedAt) > p.orphanRunTime/2
}

// taskID returns the ID of an offloaded task.
func (j *JobSpec) taskID() TaskID { return TaskID{j.ID, j.Offloaded.Step, j.Offloaded.Index} }

// otherSubmissions returns the jobs here that would run tasks of an offered job or task twice.
func (p *pool) otherSubmissions(spec *JobSpec) (out []*job) {
	for _, j := range p.byID[spec.ID] {
		if j.offloaded == nil || spec.Offloaded == nil || j.offloaded.id == spec.taskID() {
			out = append(out, j)
		}
	}
	return out
}

// endOtherSubmissions ends earlier submissions of an offered job or task. It reports whether
// a later one is here, which outdates the offer.
func (p *pool) endOtherSubmissions(spec *JobSpec, now Time) (outdated bool) {
	others := p.otherSubmissions(spec)
	if slices.ContainsFunc(others, func(j *job) bool { return p.laterSubmission(&j.spec, spec) }) {
		return true
	}
	for _, j := range others {
		if j.offloaded != nil { // the owner that offloaded it may have other tasks of the job
			p.orphans.addJob(spec.ID, now.Add(p.orphanRunTime))
		}
		p.endJob(j, Result{Kind: Unknown, Reason: ReasonResubmitted}, now)
	}
	return false
}

// mayHaveRuns reports whether runs of other submissions of an offered job or task may go on
// that this instance knows of. As no other owner does, it must not decline the offer.
func (p *pool) mayHaveRuns(spec *JobSpec, now Time) bool {
	return len(p.otherSubmissions(spec)) > 0 || p.orphansEndAt(spec, now) != 0
}

// orphansEndAt returns when all runs of an ended submission of a job, or of a task that was
// offloaded here, are certainly over; 0 if none is known.
func (p *pool) orphansEndAt(spec *JobSpec, now Time) Time {
	if spec.Offloaded != nil {
		return p.orphans.taskEndsAt(spec.taskID(), now)
	}
	return p.orphans.jobEndsAt(spec.ID, now)
}

// recordOrphans records the runs that go on when a job ends without success.
func (p *pool) recordOrphans(j *job, now Time) {
	until := p.runsEndAt(j, now)
	switch {
	case j.durable != nil || until == 0: // the attempts of a durable job are told apart by its holders' terms
	case j.offloaded != nil:
		p.orphans.addTask(j.offloaded.id, until)
	default:
		p.orphans.addJob(j.spec.ID, until)
	}
}

// runsEndAt returns when all runs of a job are certainly over if nobody renews them any
// more, 0 if none may exist.
func (p *pool) runsEndAt(j *job, now Time) Time {
	if j.activeRuns > 0 || len(p.offloadsOf(j)) > 0 {
		return now.Add(p.orphanRunTime)
	}
	return p.delayedUntil(j)
}
