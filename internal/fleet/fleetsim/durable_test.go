package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// checkDurable checks that every accepted job is stored and has ended.
func checkDurable(t *testing.T, w *World) {
	t.Helper()
	states := map[fleet.JobState]int{}
	lost, open := 0, 0
	for _, j := range w.Jobs() {
		r, ok := w.Record(j.Spec.ID)
		states[r.State]++
		switch {
		case !ok && j.Result.Kind == fleet.Accepted:
			lost++
		case ok && r.State == fleet.StateOpen:
			open++
		}
	}
	t.Logf("states %v", states)
	if lost > 0 || open > 0 || states[fleet.StateCompleted] == 0 {
		t.Errorf("%d accepted jobs are not stored, %d are open, %d completed", lost, open, states[fleet.StateCompleted])
	}
}

func TestDurableJobsWithoutFaults(t *testing.T) {
	w := New(1)
	site := Glenbrae().WithDurableJobs()
	w.Build(site)
	w.Run(settleTime)
	w.OfferLoad(site, 0.6, 10*time.Second)
	w.Run(25 * time.Second)
	checkInvariants(t, w)
	checkDurable(t, w)
	for _, j := range w.Jobs() {
		if j.Result.Kind != fleet.Accepted {
			t.Errorf("job %s: %v", j.Spec.ID, j.Result)
		}
	}
}

// TestDurableJobsUnderFaults injects each fault, alone and with another, while durable
// jobs run and the store loses replies.
func TestDurableJobsUnderFaults(t *testing.T) {
	site := Glenbrae().WithDurableJobs()
	eachFault(t, func(t *testing.T, w *World, inject func()) {
		w.LostReplyRate = 0.05
		w.Build(site)
		w.Run(settleTime)
		w.OfferLoad(site, 0.6, 8*time.Second)
		w.Run(3 * time.Second)
		inject()
		w.Run(25 * time.Second)
		checkInvariants(t, w)
		checkDurable(t, w)
	})
}

// TestDurableJobsCancelled cancels jobs, which may start no more runs shortly after.
func TestDurableJobsCancelled(t *testing.T) {
	w := New(3)
	site := Glenbrae().WithDurableJobs()
	w.Build(site)
	w.Run(settleTime)
	cancelled := map[string]fleet.Time{}
	w.onStart = func(_ *Server, r fleet.RunID) {
		if at, ok := cancelled[r.Task.Job]; ok && w.Now().Sub(at) > 300*time.Millisecond {
			t.Errorf("%v starts %v after the job was cancelled", r, w.Now().Sub(at))
		}
	}
	w.OfferLoad(site, 0.8, 6*time.Second)
	for range 40 {
		w.Run(150 * time.Millisecond)
		for _, j := range w.Jobs() {
			if r, ok := w.Record(j.Spec.ID); ok && r.State == fleet.StateOpen && w.Rand.IntN(4) == 0 {
				w.Cancel(j.Spec.ID)
				cancelled[j.Spec.ID] = w.Now()
				break
			}
		}
	}
	w.Run(20 * time.Second)
	checkInvariants(t, w)
	checkDurable(t, w)
	for id := range cancelled {
		if r, _ := w.Record(id); r.State != fleet.StateCancelled {
			t.Errorf("job %s is %v", id, r.State)
		}
	}
}

// TestDurableJobsMoveWithServers lets a holder lose its servers to another instance of
// its domain, which has to take over the jobs.
func TestDurableJobsMoveWithServers(t *testing.T) {
	site := Glenbrae().WithDurableJobs()
	w := New(5)
	w.Build(site)
	w.Run(settleTime)
	for _, name := range []string{"tayside-0", "tayside-1", "carrick-0", "carrick-1"} {
		w.OfferLoad(site, 0.5, 2*time.Second)
		w.Run(time.Second)
		w.Stop(model.Instance(name))
		w.Run(2 * time.Second)
		for _, r := range w.store.records {
			if r.State == fleet.StateOpen && r.Holder == model.Instance(name) && !w.runsSome(&r.Job) {
				t.Errorf("job %s is still held by %s, which is leaving and runs none of it", r.ID, name)
			}
		}
		w.Kill(model.Instance(name))
		w.Start(model.Instance(name))
		w.Run(time.Second)
	}
	w.Run(20 * time.Second)
	checkInvariants(t, w)
	checkDurable(t, w)
}

// runsSome reports whether a task of a job runs. A leaving holder keeps such a job until its
// runs end or the instance does.
func (w *World) runsSome(j *fleet.JobSpec) bool {
	for n, st := range j.Steps {
		for i := range st.Count {
			if len(w.runningAt(fleet.TaskID{Job: j.ID, Step: n, Index: i})) > 0 {
				return true
			}
		}
	}
	return false
}

// TestPowerLossAtEachWrite powers off all instances before or after each write of a few
// submissions. No accepted job may be lost.
func TestPowerLossAtEachWrite(t *testing.T) {
	const jobs = 4
	for _, committed := range []bool{false, true} {
		for at, more := 1, true; more; at++ {
			w := New(uint64(at))
			site := Glenbrae().WithDurableJobs()
			w.Build(site)
			w.Run(settleTime)
			more = false
			w.store.onWrite = func(write int, done bool) {
				if write == at && done == committed {
					more = true
					w.powerLoss(700 * time.Millisecond)
				}
			}
			for i := range jobs {
				w.Submit(w.instances[i].member.Instance, w.Job(site.Classes[i%len(site.Classes)], 80*time.Millisecond))
				w.Run(15 * time.Millisecond)
			}
			w.Run(15 * time.Second)
			checkInvariants(t, w)
			for _, j := range w.Jobs() {
				r, ok := w.Record(j.Spec.ID)
				if j.Result.Kind == fleet.Accepted && !ok || ok && r.State != fleet.StateCompleted {
					t.Errorf("power lost at write %d (committed: %v): job %s was answered %v and is %v", at, committed, j.Spec.ID, j.Result.Kind, r.State)
				}
			}
			if at > 100 {
				t.Fatal("more than 100 writes")
			}
		}
	}
}

// powerLoss powers off all instances at once and restarts them after d.
func (w *World) powerLoss(d time.Duration) {
	for _, n := range w.instances {
		name := n.member.Instance
		w.PowerOff(name)
		w.After(d, func() { w.Start(name) })
	}
}
