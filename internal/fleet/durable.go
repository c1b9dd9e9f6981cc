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
	// durableTimeout stands in for the deadline that a kept job doesn't have.
	durableTimeout = 1000 * time.Hour
	// firstDurableCall is the first call ID of kept jobs at their holder, below those
	// of parts and above those of callers.
	firstDurableCall CallID = 1 << 61
	// progressSaveDelay is how long the ends of single tasks wait to be stored: the
	// tasks of a short job end within that time, and need one write.
	progressSaveDelay = 50 * time.Millisecond
)

// durableJob is a kept job at its holder.
type durableJob struct {
	record     Record // as it is here
	sent       Record // as last sent to the store
	job        *job   // nil until the store holds it
	waiters    []waiter
	origin     Member // took it in from its caller
	progress   map[TaskID]TaskProgress
	saving     bool
	dirty      bool
	dirtySince Time // of the first end that isn't stored
	verified   bool // no other instance can hold it
	release    bool // to an instance whose servers can run it
	startAfter Time // runs of its last holder may go on until then

	unsavedEnds []heldEnd // since the last save was sent
	savingEnds  []heldEnd // in the save under way
}

// waiter is a call that waits until the job is stored.
type waiter struct {
	origin Member
	call   CallID
}

// heldEnd is an end that is acknowledged once it is stored.
type heldEnd struct {
	server model.ServerID
	bootMs int64
	seq    int64
}

// idle reports whether nothing of a job runs or is being stored.
func (x *durableJob) idle() bool {
	return x.job != nil && !x.job.done && x.job.activeRuns == 0 && !x.saving
}

// saveDue reports whether what isn't stored of a job should be.
func (x *durableJob) saveDue(now Time) bool {
	return x.dirty || len(x.unsavedEnds) > 0 && now.Sub(x.dirtySince) >= progressSaveDelay
}

func (x *durableJob) sortedProgress() []TaskProgress {
	out := make([]TaskProgress, 0, len(x.progress))
	for _, p := range x.progress {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b TaskProgress) int { return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index)) })
	return out
}

// applyProgress applies the progress of a job.
func (j *job) applyProgress(progress map[TaskID]TaskProgress, attempts uint32) {
	for _, st := range j.steps {
		st.queued = slices.DeleteFunc(st.queued, func(t *task) bool {
			p := progress[t.id]
			t.attempt, t.failures = attempts, p.Failures
			if p.Done {
				j.remaining--
				st.remaining--
			}
			return p.Done
		})
	}
	j.unblockSteps()
}

// finalResult returns the result of a job that has nothing left to do.
func (j *job) finalResult() (Result, bool) {
	if j.remaining == 0 {
		return Result{Kind: Completed}, true
	}
	for _, st := range j.steps {
		for _, t := range st.queued {
			if t.failures >= j.spec.MaxAttempts {
				return Result{Kind: Failed, Reason: ReasonAttempts}, true
			}
		}
	}
	return Result{}, false
}
