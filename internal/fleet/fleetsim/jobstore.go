package fleetsim

import (
	"slices"
	"strings"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// jobStore holds the durable jobs, and the run ends of their tasks.
type jobStore struct {
	records       map[string]fleet.Record
	revision      uint64
	done          map[fleet.TaskID]bool // tasks that have completed
	doneAcked     map[fleet.TaskID]bool // tasks whose completion was acknowledged
	failuresAcked map[fleet.TaskID]int  // acknowledged failures

	writes  int                             // number of writes that have reached the store
	onWrite func(write int, committed bool) // called before and after each write is committed, may be nil
}

// notifyWrite calls onWrite.
func (k *jobStore) notifyWrite(committed bool) {
	if k.onWrite != nil {
		k.onWrite(k.writes, committed)
	}
}

func newJobStore() *jobStore {
	return &jobStore{
		records: map[string]fleet.Record{}, done: map[fleet.TaskID]bool{}, doneAcked: map[fleet.TaskID]bool{},
		failuresAcked: map[fleet.TaskID]int{},
	}
}

func (k *jobStore) ended(e fleet.EndedRun, _ fleet.Time) {
	if e.Kind == fleet.EndDone {
		k.done[e.Run.Task] = true
	}
}

// acknowledged records an end that the fleet has acknowledged. Jobs that aren't durable
// may run again from the start.
func (k *jobStore) acknowledged(e fleet.EndedRun) {
	if _, ok := k.records[e.Run.Task.Job]; !ok {
		return
	}
	switch e.Kind {
	case fleet.EndDone:
		k.doneAcked[e.Run.Task] = true
	case fleet.EndFailed:
		k.failuresAcked[e.Run.Task]++
	}
}

// reachesStore reports whether an instance reaches the store.
func (w *World) reachesStore(n *simInstance) bool { return w.storeUp && !n.storeIsolated }

// saveJob writes a record, and retries until the store has answered.
func (w *World) saveJob(n *simInstance, r fleet.Record) {
	if !w.reachesStore(n) {
		w.later(n, callTimeout, func() { w.saveJob(n, r) })
		return
	}
	incarnation := n.incarnation
	w.After(storeDelay/2, func() {
		w.store.writes++
		w.store.notifyWrite(false)
		e := w.commitJob(r)
		w.store.notifyWrite(true)
		if w.Rand.Float64() < w.LostReplyRate {
			w.later(n, callTimeout, func() { w.saveJob(n, r) })
			return
		}
		if n.incarnation == incarnation {
			w.later(n, storeDelay/2, func() { w.step(n, e) })
		}
	})
}

func (w *World) commitJob(r fleet.Record) fleet.JobSaved {
	k := w.store
	current, ok := k.records[r.ID]
	switch {
	case ok && current.SameWrite(r):
		return fleet.JobSaved{ID: r.ID, Revision: current.Revision}
	case current.Revision != r.Revision:
		e := fleet.JobSaved{ID: r.ID, Conflict: true}
		if ok {
			e.Current = &current
		}
		return e
	}
	k.revision++
	r.Revision = k.revision
	k.records[r.ID] = r
	w.checkRecord(r)
	return fleet.JobSaved{ID: r.ID, Revision: r.Revision}
}

// checkRecord reports a job that is stored as completed too early.
func (w *World) checkRecord(r fleet.Record) {
	if r.State != fleet.StateCompleted {
		return
	}
	for n, st := range w.jobs[r.ID].Spec.Steps {
		for i := range st.Count {
			if !w.store.done[fleet.TaskID{Job: r.ID, Step: n, Index: i}] {
				w.violated("job %s is stored as completed, but task %d.%d has not completed", r.ID, n, i)
			}
		}
	}
}

// scanJobs sends an instance the open jobs.
func (w *World) scanJobs(n *simInstance) {
	if !w.reachesStore(n) {
		w.later(n, callTimeout, func() { w.step(n, fleet.JobsScanned{}) })
		return
	}
	w.later(n, storeDelay, func() {
		e := fleet.JobsScanned{OK: true, Members: w.members()}
		for _, r := range w.store.records {
			if r.State == fleet.StateOpen {
				e.Records = append(e.Records, r)
			}
		}
		slices.SortFunc(e.Records, func(a, b fleet.Record) int { return strings.Compare(a.ID, b.ID) })
		w.step(n, e)
	})
}

// Cancel stores a job as cancelled, and notifies the instances shortly after.
func (w *World) Cancel(id string) {
	r, ok := w.store.records[id]
	if !ok || r.State != fleet.StateOpen {
		return
	}
	w.store.revision++
	r.State, r.Revision, r.Holder, r.Incarnation = fleet.StateCancelled, w.store.revision, "", ""
	w.store.records[id] = r
	for _, n := range w.instances {
		w.later(n, 50*time.Millisecond, func() { w.step(n, fleet.JobCancelled{ID: id}) })
	}
}

// Record returns the stored record of a job; ok is false if the job was never accepted.
func (w *World) Record(id string) (r fleet.Record, ok bool) {
	r, ok = w.store.records[id]
	return r, ok
}
