package fleet

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// JobState is how far a kept job is.
type JobState int

// States of a kept job.
const (
	StateOpen      JobState = iota + 1 // accepted and not ended
	StateCompleted                     // every task has ended well
	StateFailed                        // a task has failed too often
	StateCancelled                     // its caller has cancelled it
)

// TaskProgress is what has become of a task of a kept job.
type TaskProgress struct {
	Step, Index int
	Done        bool
	Failures    int
}

// Record is a kept job as the store holds it, the only memory of the job that
// outlives its holder.
type Record struct {
	ID          string
	State       JobState
	Holder      model.Instance    // that runs it; empty if it was released
	Incarnation model.Incarnation // of the holder
	Version     uint64            // of the holder's writes; with the holder it names a write
	Term        uint32            // number of holders so far
	Job         JobSpec           // of an open job
	Progress    []TaskProgress    // of tasks that have ended
	Revision    uint64            // in the store, 0 if it isn't there yet
}

// SameWrite reports whether two records are of the same write, so that an
// instance recognizes one of its own whose answer was lost.
func (r Record) SameWrite(o Record) bool {
	return r.Term == o.Term && r.Version == o.Version && r.Holder == o.Holder && r.Incarnation == o.Incarnation && r.State == o.State
}
