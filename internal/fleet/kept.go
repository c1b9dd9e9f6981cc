package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of a kept job.
const (
	// attemptsPerTerm separates the attempts of one holder from those of the
	// next, which doesn't know how often its predecessor started a task.
	attemptsPerTerm = 1024
	// keptTimeout stands in for the deadline that a kept job doesn't have.
	keptTimeout = 1000 * time.Hour
	// keptCalls is the first call ID of kept jobs at their holder, below those
	// of parts and above those of callers.
	keptCalls CallID = 1 << 61
	// progressDelay is how long the ends of single tasks wait to be stored: the
	// tasks of a short job end within that time, and need one write.
	progressDelay = 50 * time.Millisecond
)

// keptJob is a kept job at its holder.
type keptJob struct {
	record   Record // as it is here
	sent     Record // as last sent to the store
	job      *job   // nil until the store holds it
	asked    []asker
	origin   Member // took it in from its caller
	progress map[TaskID]TaskProgress
	saving   bool
	dirty    bool
	dirtyAt  Time // of the first end that isn't stored
	verified bool // no other instance can hold it
	release  bool // to an instance whose servers can run it
	waitTill Time // runs of its last holder may go on until then

	ends     []heldEnd // since the last save was sent
	endsSent []heldEnd // in the save under way
}

// asker is a call that waits until the job is stored.
type asker struct {
	origin Member
	call   CallID
}

// heldEnd is an end that is acknowledged once it is stored.
type heldEnd struct {
	server model.ServerID
	born   int64
	number int64
}

// idle reports whether nothing of a job runs or is being stored.
func (x *keptJob) idle() bool {
	return x.job != nil && !x.job.over && x.job.live == 0 && !x.saving
}

// saveDue reports whether what isn't stored of a job should be.
func (x *keptJob) saveDue(now Time) bool {
	return x.dirty || len(x.ends) > 0 && now.Sub(x.dirtyAt) >= progressDelay
}

func (x *keptJob) sortedProgress() []TaskProgress {
	out := make([]TaskProgress, 0, len(x.progress))
	for _, p := range x.progress {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b TaskProgress) int { return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index)) })
	return out
}

// resume applies the progress of a job.
func (j *job) resume(progress map[TaskID]TaskProgress, attempts uint32) {
	for _, st := range j.steps {
		st.waiting = slices.DeleteFunc(st.waiting, func(t *task) bool {
			p := progress[t.id]
			t.attempt, t.failures = attempts, p.Failures
			if p.Done {
				j.left--
				st.left--
			}
			return p.Done
		})
	}
	j.openSteps()
}

// ended returns the result of a job that has nothing left to do.
func (j *job) ended() (Result, bool) {
	if j.left == 0 {
		return Result{Kind: Completed}, true
	}
	for _, st := range j.steps {
		for _, t := range st.waiting {
			if t.failures >= j.spec.MaxAttempts {
				return Result{Kind: Failed, Reason: ReasonAttempts}, true
			}
		}
	}
	return Result{}, false
}
