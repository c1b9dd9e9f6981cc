package fleet

import "slices"

// orphans remembers the jobs that have ended at this instance without success, until their
// runs are certainly over: they are being stopped, or are at other owners that have been
// told to stop them. Such a job must not start again before, and as no other instance knows
// of the runs, it must not be declined either.
type orphans struct{ jobs map[string][]orphan }

// orphan is what of a job may still run.
type orphan struct {
	task  TaskID // only this one, unless all is set
	all   bool
	until Time
}

func newOrphans() *orphans { return &orphans{jobs: map[string][]orphan{}} }

// addJob records that any task of a job may run until a time.
func (o *orphans) addJob(job string, until Time) {
	o.jobs[job] = append(o.jobs[job], orphan{all: true, until: until})
}

// addTask records that a task may run until a time.
func (o *orphans) addTask(t TaskID, until Time) {
	o.jobs[t.Job] = append(o.jobs[t.Job], orphan{task: t, until: until})
}

// jobEndsAt returns when all runs of a job are certainly over, 0 if none is known.
func (o *orphans) jobEndsAt(job string, now Time) (at Time) {
	return o.endsAt(job, func(orphan) bool { return true }, now)
}

// taskEndsAt is jobEndsAt for the runs of a task.
func (o *orphans) taskEndsAt(t TaskID, now Time) Time {
	return o.endsAt(t.Job, func(x orphan) bool { return x.all || x.task == t }, now)
}

func (o *orphans) endsAt(job string, which func(orphan) bool, now Time) (at Time) {
	for _, x := range o.jobs[job] {
		if now < x.until && which(x) {
			at = max(at, x.until)
		}
	}
	return at
}

// prune forgets what is over.
func (o *orphans) prune(now Time) {
	for job, list := range o.jobs {
		if list = slices.DeleteFunc(list, func(x orphan) bool { return now >= x.until }); len(list) == 0 {
			delete(o.jobs, job)
		} else {
			o.jobs[job] = list
		}
	}
}

// orphansEndAt returns when all runs of an earlier submission of a job, or of a task that was
// offloaded here, are certainly over; 0 if none is known.
func (p *pool) orphansEndAt(spec *JobSpec, now Time) Time {
	if o := spec.Offloaded; o != nil {
		return p.orphans.taskEndsAt(TaskID{spec.ID, o.Step, o.Index}, now)
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
