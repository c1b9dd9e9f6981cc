package fleet

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// KeptState is how far a kept job is.
type KeptState int

// States of a kept job.
const (
	KeptOpen      KeptState = iota + 1 // accepted and not ended
	KeptCompleted                      // every task has ended well
	KeptFailed                         // a task has failed too often
	KeptCancelled                      // its caller has cancelled it
)

// Progress is what has become of a task of a kept job.
type Progress struct {
	Step, Index int
	Done        bool
	Failures    int
}

// Record is a kept job as the store holds it, the only memory of the job that
// outlives its holder.
type Record struct {
	ID       string
	State    KeptState
	Holder   model.Instance    // that runs it; empty if it was released
	Life     model.Incarnation // of the holder
	Version  uint64            // of the holder's writes; with the holder it names a write
	Term     uint32            // number of holders so far
	Job      JobSpec           // of an open job
	Progress []Progress        // of tasks that have ended
	Revision uint64            // in the store, 0 if it isn't there yet
}

// SameWrite reports whether two records are of the same write, so that an
// instance recognizes one of its own whose answer was lost.
func (r Record) SameWrite(o Record) bool {
	return r.Term == o.Term && r.Version == o.Version && r.Holder == o.Holder && r.Life == o.Life && r.State == o.State
}
