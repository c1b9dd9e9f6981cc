package fleet

import (
	"slices"
	"time"
)

// job is a job at the owner that runs it.
type job struct {
	spec       JobSpec
	origin     Member // holds the caller
	call       CallID
	steps      []*step
	remaining  int // tasks that have not ended well
	starts     int // runs that were ordered so far
	activeRuns int // runs that occupy room
	done       bool
	stalled    bool        // a run of it stood still
	offloaded  *task       // the only task, of a part
	returnAt   Time        // a part that has not started goes back
	durable    *durableJob // set for kept jobs
}

// step is a step of a job.
type step struct {
	spec      StepSpec
	ready     bool
	queued    []*task // in order of index
	remaining int     // tasks that have not ended well
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
		st := &step{spec: s, remaining: s.Count}
		for i := range s.Count {
			st.queued = append(st.queued, &task{id: TaskID{spec.ID, n, i}, job: j, step: st})
		}
		j.steps = append(j.steps, st)
		j.remaining += s.Count
	}
	j.unblockSteps()
	return j
}

// home returns the life of the instance that holds the caller, empty if an owner
// of an earlier version doesn't say.
func (j *job) home() Member {
	if j.offloaded != nil {
		return j.spec.Offloaded.Home
	}
	return j.origin
}

// unblockSteps makes the steps ready whose earlier steps have ended.
func (j *job) unblockSteps() {
	for _, s := range j.steps {
		if !s.ready {
			s.ready = !slices.ContainsFunc(s.spec.DependsOn, func(a int) bool { return j.steps[a].remaining > 0 })
		}
	}
}

// hasReadyTask reports whether a task could start.
func (j *job) hasReadyTask() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.ready && len(s.queued) > 0 })
}

// remainingTime returns the estimated time from the next start to the job's end.
func (j *job) remainingTime() time.Duration {
	if len(j.steps) == 1 {
		if j.steps[0].remaining == 0 {
			return 0
		}
		return j.steps[0].spec.Estimate
	}
	ends := make([]time.Duration, len(j.steps))
	longest := time.Duration(0)
	for i, s := range j.steps {
		if s.remaining == 0 {
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
func (j *job) latestStart() Time { return j.spec.Due().Add(-j.remainingTime()) }

// queuedWork returns the milli-core-milliseconds of tasks that have not started.
func (j *job) queuedWork() float64 {
	w := 0.0
	for _, s := range j.steps {
		w += float64(len(s.queued)) * float64(s.spec.Need.CPUMilli) * milliseconds(s.spec.Estimate)
	}
	return w
}

// lastAttempt returns the last start of a part, 0 for whole jobs.
func (j *job) lastAttempt() uint32 {
	if j.offloaded == nil {
		return 0
	}
	return j.offloaded.attempt
}
