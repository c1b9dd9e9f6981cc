package fleet

import "slices"

// orphans remembers the jobs that have ended at this instance without success, until their
// runs elsewhere are certainly over: other owners have been told to stop them. Such a job must
// not start again before, and as no other instance knows of the runs, it must not be declined
// either.
type orphans struct{ jobs map[string][]orphan }

// orphan is what of a job may still run.
type orphan struct {
	task  TaskID // only this one, unless all is set
	all   bool
	home  Member // if set, only other submissions than that of this instance's call wait
	until Time
}

func newOrphans() *orphans { return &orphans{jobs: map[string][]orphan{}} }

func (o *orphans) add(job string, x orphan) { o.jobs[job] = append(o.jobs[job], x) }

// addJob records that any task of a job may run until a time.
func (o *orphans) addJob(job string, until Time) { o.add(job, orphan{all: true, until: until}) }

// addTask records that a task may run until a time.
func (o *orphans) addTask(t TaskID, until Time) { o.add(t.Job, orphan{task: t, until: until}) }

// concerns reports whether an offered job or task with a call at home waits for the orphan.
func (x *orphan) concerns(spec *JobSpec, home Member) bool {
	if x.home.Instance != "" && x.home.sameIncarnation(home) {
		return false
	}
	return x.all || spec.Offloaded == nil || x.task == spec.taskID()
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
