package fleet

import (
	"slices"
	"time"
)

// job is a job at the owner that runs it.
type job struct {
	spec    JobSpec
	origin  Member // holds the caller
	call    CallID
	steps   []*step
	left    int // tasks that have not ended well
	starts  int // runs that were ordered so far
	live    int // runs that occupy room
	over    bool
	stalled bool     // a run of it stood still
	part    *task    // the only task, of a part
	until   Time     // a part that has not started goes back
	kept    *keptJob // set for kept jobs
}

// step is a step of a job.
type step struct {
	spec    StepSpec
	ready   bool
	waiting []*task // in order of index
	left    int     // tasks that have not ended well
}

// task is one task of a job.
type task struct {
	id       TaskID
	job      *job
	step     *step
	attempt  uint32
	failures int
	stalls   int // runs that stood still
}

func newJob(spec JobSpec, origin Member, call CallID) *job {
	j := &job{spec: spec, origin: origin, call: call}
	for n, s := range spec.Steps {
		st := &step{spec: s, left: s.Count}
		for i := range s.Count {
			st.waiting = append(st.waiting, &task{id: TaskID{spec.ID, n, i}, job: j, step: st})
		}
		j.steps = append(j.steps, st)
		j.left += s.Count
	}
	j.openSteps()
	return j
}

// home returns the life of the instance that holds the caller, empty if an owner
// of an earlier version doesn't say.
func (j *job) home() Member {
	if j.part != nil {
		return j.spec.Offloaded.Home
	}
	return j.origin
}

// openSteps makes the steps ready whose earlier steps have ended.
func (j *job) openSteps() {
	for _, s := range j.steps {
		if !s.ready {
			s.ready = !slices.ContainsFunc(s.spec.DependsOn, func(a int) bool { return j.steps[a].left > 0 })
		}
	}
}

// waits reports whether a task could start.
func (j *job) waits() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.ready && len(s.waiting) > 0 })
}

// rest returns the estimated time from the next start to the job's end.
func (j *job) rest() time.Duration {
	if len(j.steps) == 1 {
		if j.steps[0].left == 0 {
			return 0
		}
		return j.steps[0].spec.Estimate
	}
	ends := make([]time.Duration, len(j.steps))
	longest := time.Duration(0)
	for i, s := range j.steps {
		if s.left == 0 {
			continue
		}
		start := time.Duration(0)
		for _, a := range s.spec.DependsOn {
			start = max(start, ends[a])
		}
		ends[i] = start + s.spec.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// latestStart returns when the job must go on so as to be in time.
func (j *job) latestStart() Time { return j.spec.Due().Add(-j.rest()) }

// waitingWork returns the milli-core-milliseconds of tasks that have not started.
func (j *job) waitingWork() float64 {
	w := 0.0
	for _, s := range j.steps {
		w += float64(len(s.waiting)) * float64(s.spec.Need.CPUMilli) * milliseconds(s.spec.Estimate)
	}
	return w
}

// lastAttempt returns the last start of a part, 0 for whole jobs.
func (j *job) lastAttempt() uint32 {
	if j.part == nil {
		return 0
	}
	return j.part.attempt
}
