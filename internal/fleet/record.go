package fleet

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// JobState is the state of a durable job.
type JobState int

// States of a durable job.
const (
	StateOpen      JobState = iota + 1 // accepted, not finished
	StateCompleted                     // all tasks have completed
	StateFailed                        // a task has failed too often
	StateCancelled                     // cancelled by its caller
)

// TaskProgress is the progress of one task of a durable job.
type TaskProgress struct {
	Step, Index int
	Done        bool
	Failures    int
	Losses      []ServerLoss // of runs
}

// Record is a durable job as stored. It is the only state of the job that survives its
// holder.
type Record struct {
	ID          string
	State       JobState
	Holder      model.Instance    // instance that runs it; empty if released
	Incarnation model.Incarnation // of the holder
	Version     uint64            // counts the holder's writes; identifies a write together with the holder
	Term        uint32            // number of holders so far
	Job         JobSpec           // set while the job is open
	Progress    []TaskProgress    // of tasks with ended runs
	Started     bool              // some task has started; stored somewhat later
	Revision    uint64            // in the store, 0 if not stored yet
}

// HasStarted reports whether a task of the job is known to have started.
func (r *Record) HasStarted() bool { return r.Started || len(r.Progress) > 0 }

func (r Record) holder() Member { return Member{Instance: r.Holder, Incarnation: r.Incarnation} }

// SameWrite reports whether two records stem from the same write, so that an instance
// recognizes its own write after losing the reply.
func (r Record) SameWrite(o Record) bool {
	return r.Term == o.Term && r.Version == o.Version && r.Holder == o.Holder && r.Incarnation == o.Incarnation && r.State == o.State
}
