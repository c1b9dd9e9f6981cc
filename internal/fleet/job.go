package fleet

import (
	"slices"
	"time"
)

// job is a job at the owner that runs it.
type job struct {
	spec       JobSpec
	due        Time   // by its objective, see JobSpec.Due
	origin     Member // instance that offered the job
	call       CallID
	steps      []*step
	remaining  int  // tasks not completed
	starts     int  // runs started so far
	begun      bool // a server is known to have started a run
	activeRuns int  // runs that occupy capacity
	done       bool
	stalled    bool        // one of its runs has stalled
	lostRuns   int         // runs of it that vanished, as their server crashed or was lost
	offloaded  *task       // the only task of an offloaded job
	returnAt   Time        // an offloaded task that has not started goes back then
	durable    *durableJob // set for durable jobs
	turn       turn        // by priority and floors
	again      bool        // an earlier submission of it had runs here
	records    []RunRecord // of its runs, for the log
	memory     int64       // estimated, in bytes
}

// step is a step of a job.
type step struct {
	spec      StepSpec
	job       *job
	ready     bool
	queued    []*task // ordered by index
	suspects  []*task // queued tasks that start only alone
	remaining int     // tasks not completed

	group      string // rack that a group shares, empty if none was chosen
	spread     bool   // a group runs on more than one rack
	waitsNear  bool   // its queued tasks wait for a place by choice
	awaitsLife bool   // its queued tasks wait for the reply to a poll, as of the last dispatch
	atLimit    bool   // its queued tasks wait for its limit per server, as of the last dispatch
	lastPlace  string // last decision that was logged
}

// task is one task of a job.
type task struct {
	id       TaskID
	job      *job
	step     *step
	attempt  uint32
	failures int
	stalls   int // runs that stalled
	declined int // times that an owner of its rack had no room there
	losses   []ServerLoss
	lostAt   Time // of the last loss known here
}

func newJob(spec JobSpec, origin Member, call CallID) *job {
	j := &job{spec: spec, due: spec.Due(), origin: origin, call: call, memory: spec.memory()}
	for n, s := range spec.Steps {
		st := &step{spec: s, job: j, remaining: s.Count}
		for i := range s.Count {
			st.queued = append(st.queued, &task{id: TaskID{spec.ID, n, i}, job: j, step: st})
		}
		j.steps = append(j.steps, st)
		j.remaining += s.Count
	}
	j.unblockSteps()
	return j
}

// endEvent returns the event to log when the job ends, 0 for none.
func (j *job) endEvent(r Result) LogKind {
	switch {
	case j.offloaded == nil:
		return LogJobEnded
	case r.Kind != Completed && j.starts > 0:
		return LogOffloadDropped
	}
	return 0
}

// home returns the instance that holds the job's call, empty if an owner of an earlier
// version doesn't name it.
func (j *job) home() Member { return j.spec.home(j.origin) }

// home returns the instance that holds the call of a job or offloaded task of origin.
func (j *JobSpec) home(origin Member) Member {
	if j.Offloaded != nil {
		return j.Offloaded.Home
	}
	return origin
}

// unblockSteps marks steps as ready whose dependencies have completed.
func (j *job) unblockSteps() {
	for _, s := range j.steps {
		if !s.ready {
			s.ready = !slices.ContainsFunc(s.spec.DependsOn, func(dep int) bool { return j.steps[dep].remaining > 0 })
		}
	}
}

// hasReadyTask reports whether the job has a queued task of a ready step that may start
// beside others.
func (j *job) hasReadyTask() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.ready && len(s.queued) > 0 })
}

// waits reports whether the job has a queued task of a ready step.
func (j *job) waits() bool {
	return j.hasReadyTask() || j.hasReadySuspect()
}

// hasReadySuspect reports whether the job has a queued task of a ready step that starts
// only alone.
func (j *job) hasReadySuspect() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.ready && len(s.suspects) > 0 })
}

// remainingTime returns the estimated time from the next start to the completion of the
// job.
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
		for _, dep := range s.spec.DependsOn {
			start = max(start, ends[dep])
		}
		ends[i] = start + s.spec.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// queuedWork returns the work of queued tasks, in milli-core-milliseconds.
func (j *job) queuedWork() float64 {
	w := 0.0
	for _, s := range j.steps {
		w += float64(len(s.queued)) * float64(s.spec.Need.CPUMilli) * milliseconds(s.spec.Estimate)
	}
	return w
}

// lastAttempt returns the last attempt of an offloaded task, 0 for whole jobs.
func (j *job) lastAttempt() uint32 {
	if j.offloaded == nil {
		return 0
	}
	return j.offloaded.attempt
}
