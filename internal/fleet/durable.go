package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Limits of durable jobs.
const (
	// attemptsPerTerm separates the attempt numbers of successive holders, as a holder
	// doesn't know how often its predecessor started a task.
	attemptsPerTerm = 1024
	// durableTimeout replaces the deadline, which durable jobs don't have.
	durableTimeout = 1000 * time.Hour
	// firstDurableCall is the lowest call ID of durable jobs at their holder: below
	// those of offloaded tasks and above those of callers.
	firstDurableCall CallID = 1 << 61
	// progressSaveDelay batches task ends into one write: the tasks of a short job end
	// within this time.
	progressSaveDelay = 50 * time.Millisecond
	// startSaveDelay is how long after its start a job is stored as started, which spares
	// short jobs the write. It tells the next holder and others that the job doesn't wait.
	startSaveDelay = time.Second
)

// durableJob is a durable job at its holder.
type durableJob struct {
	record     Record // current local state
	sent       Record // as last sent to the store
	job        *job   // nil until the job is stored
	waiters    []waiter
	origin     Member // instance that received the job from its caller
	progress   map[TaskID]TaskProgress
	saving     bool
	dirty      bool
	dirtySince Time // time of the first unsaved end
	verified   bool // no other instance can hold the job
	release    bool // to be released to an instance with suitable servers
	startAfter Time // runs of the previous holder may continue until then
	startedAt  Time // when the job was found to have started, 0 before

	unsavedEnds []heldEnd // since the last save was sent
	savingEnds  []heldEnd // included in the pending save
}

// waiter is a call that waits until the job is stored.
type waiter struct {
	origin Member
	call   CallID
}

// heldEnd is a run end that is acknowledged only after it is stored.
type heldEnd struct {
	server model.ServerID
	bootMs int64
	seq    int64
}

// accepted reports whether the job is stored, though perhaps by its previous holder.
func (x *durableJob) accepted() bool { return x.record.Revision != 0 }

// hasStarted reports whether some task has started, here or at an earlier holder.
func (x *durableJob) hasStarted() bool {
	return x.record.Started || len(x.progress) > 0 || x.job != nil && x.job.begun
}

// idle reports whether the job has no active run and no pending save.
func (x *durableJob) idle() bool {
	return x.job != nil && !x.job.done && x.job.activeRuns == 0 && !x.saving
}

// saveDue reports whether unsaved changes of the job should be written now.
func (x *durableJob) saveDue(now Time) bool {
	unsavedStart := x.startedAt != 0 && !x.record.Started && now.Sub(x.startedAt) >= startSaveDelay
	return x.dirty || unsavedStart || len(x.unsavedEnds) > 0 && now.Sub(x.dirtySince) >= progressSaveDelay
}

func (x *durableJob) sortedProgress() []TaskProgress {
	out := make([]TaskProgress, 0, len(x.progress))
	for _, p := range x.progress {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b TaskProgress) int { return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index)) })
	return out
}

// applyProgress applies stored progress to a new job.
func (j *job) applyProgress(progress map[TaskID]TaskProgress, attempts uint32, now Time) {
	for _, st := range j.steps {
		st.queued = slices.DeleteFunc(st.queued, func(t *task) bool {
			p := progress[t.id]
			t.attempt, t.failures = attempts, p.Failures
			t.losses, t.lostAt = p.Losses, now
			switch {
			case p.Done:
				j.remaining--
				st.remaining--
			case t.suspect():
				st.suspects = append(st.suspects, t)
			}
			return p.Done || t.suspect()
		})
	}
	j.unblockSteps()
}

// finalResult returns the result of a job with no work left.
func (j *job) finalResult() (Result, bool) {
	if j.remaining == 0 {
		return Result{Kind: Completed}, true
	}
	for _, st := range j.steps {
		for _, t := range slices.Concat(st.queued, st.suspects) {
			switch {
			case t.failures >= j.spec.MaxAttempts:
				return Result{Kind: Failed, Reason: ReasonAttempts}, true
			case t.hopeless():
				return t.verdict(), true
			}
		}
	}
	return Result{}, false
}
