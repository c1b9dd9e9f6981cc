package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// resubmitTimeout is the deadline of jobs that are submitted again: a little longer than the
// time after which their callers do so, as in the users' deployments.
const resubmitTimeout = 1500 * time.Millisecond

// playEndedSubmission lets a job run at the only owner, ruwi-0, whose instance with the call,
// muttrah-0, doesn't notice that the caller has left. The job is submitted again at seeb-0 at
// about the time at which its deadline ends the first submission; after is the time from its
// submission until the caller leaves.
func playEndedSubmission(after time.Duration, tasks int, at model.Instance) *World {
	w := New(1)
	w.AddInstance("ruwi-0", "ruwi", defaultWeight)
	w.AddInstance("muttrah-0", "muttrah", defaultWeight) // owns no server
	w.AddInstance("seeb-0", "seeb", defaultWeight)       // owns no server
	w.addServers("ruwi", "r0", "r1", "r2", "r3")
	w.Run(settleTime)
	spec, work := w.longJob(tasks)
	spec.Timeout, spec.Steps[0].Estimate = resubmitTimeout, 50*time.Millisecond
	w.resubmitAt = func(*simInstance, *JobRecord) *simInstance { return w.instance(at) }
	j := w.SubmitUntilAnswered("muttrah-0", spec, work)
	w.Run(after)
	w.LoseCallerUnnoticed(j)
	w.Run(4 * time.Second)
	return w
}

// TestJobStartsBesideStoppedRunsOfEndedSubmission submits a job again at the owner that is
// stopping the runs of the first submission, which its deadline has just ended.
func TestJobStartsBesideStoppedRunsOfEndedSubmission(t *testing.T) {
	for _, at := range []model.Instance{"muttrah-0", "ruwi-0", "seeb-0"} {
		for after := 150 * time.Millisecond; after < 300*time.Millisecond; after += 5 * time.Millisecond {
			for _, v := range playEndedSubmission(after, 2, at).Violations {
				t.Errorf("caller gone after %v, job submitted again at %s: %s", after, at, v)
			}
		}
	}
}

// newSharingWorld returns two owners: tayside-0, which queues jobs and has one server, and
// carrick-0 with the given ones.
func newSharingWorld(servers ...model.ServerID) *World {
	w := New(1)
	w.AddInstance("tayside-0", "tayside", 2*defaultWeight) // queues jobs
	w.AddInstance("carrick-0", "carrick", defaultWeight)
	w.addServers("tayside", "t0")
	w.addServers("carrick", servers...)
	w.Run(settleTime)
	return w
}

// playJobAtOtherOwner lets carrick-0 run a job of a call at tayside-0, and submits the job again
// at an instance at about the time at which its deadline ends the first submission. stall is
// how long carrick-0 stands still around that time.
func playJobAtOtherOwner(after, stall time.Duration, at model.Instance) *World {
	w := newSharingWorld("c0", "c1", "c2")
	spec, work := w.longJob(3)
	spec.Timeout, spec.Steps[0].Estimate = resubmitTimeout, 50*time.Millisecond
	w.resubmitAt = func(*simInstance, *JobRecord) *simInstance { return w.instance(at) }
	j := w.SubmitUntilAnswered("tayside-0", spec, work)
	w.Run(after)
	w.LoseCallerUnnoticed(j)
	w.Run(resubmitTimeout - after - stall/2)
	w.Freeze("carrick-0", stall)
	w.Run(4 * time.Second)
	return w
}

// TestJobStartsBesideItsRunsAtOtherOwner submits a job again at the instance with the first
// call, and at the owner that runs it.
func TestJobStartsBesideItsRunsAtOtherOwner(t *testing.T) {
	for _, at := range []model.Instance{"tayside-0", "carrick-0"} {
		for after := 150 * time.Millisecond; after < 300*time.Millisecond; after += 5 * time.Millisecond {
			for _, stall := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
				for _, v := range playJobAtOtherOwner(after, stall, at).Violations {
					t.Errorf("caller gone after %v, stall of %v, job submitted again at %s: %s", after, stall, at, v)
				}
			}
		}
	}
}

// TestTaskStartsBesideItsOffloadForEarlierSubmission submits a job again at the instance that
// runs a task of it for the owner of the first submission, and that has room for all of it.
func TestTaskStartsBesideItsOffloadForEarlierSubmission(t *testing.T) {
	for after := 20 * time.Millisecond; after < 200*time.Millisecond; after += 20 * time.Millisecond {
		w := newSharingWorld("c0")
		spec, work := w.longJob(2)
		spec.Timeout, spec.Steps[0].Estimate = resubmitTimeout, 50*time.Millisecond
		w.resubmitAt = func(*simInstance, *JobRecord) *simInstance { return w.instance("carrick-0") }
		j := w.SubmitUntilAnswered("tayside-0", spec, work)
		w.Run(after)
		w.addServers("carrick", "c1", "c2", "c3")
		w.LoseCallerUnnoticed(j)
		w.Run(4 * time.Second)
		for _, v := range w.Violations {
			t.Errorf("caller gone after %v: %s", after, v)
		}
	}
}

// TestJobSubmittedAgainBesideItsRunElsewhere submits a job again at an instance that uses
// another owner than the first submission, whose instance doesn't notice that the caller has
// left. The later submission is served; it may be told to come back first.
func TestJobSubmittedAgainBesideItsRunElsewhere(t *testing.T) {
	for after := 10 * time.Millisecond; after < 3*time.Second; after += 70 * time.Millisecond {
		for _, timeout := range []time.Duration{resubmitTimeout, 10 * time.Second} {
			w := New(1)
			w.AddInstance("tayside-0", "tayside", defaultWeight)
			w.AddInstance("carrick-0", "carrick", defaultWeight)
			w.AddInstance("fife-0", "fife", defaultWeight) // owns no server
			w.addServers("tayside", "t0")
			w.addServers("carrick", "c0")
			w.Run(settleTime)
			spec, _ := w.longJob(1)
			work := 4 * time.Second
			spec.Timeout, spec.Steps[0].Estimate = timeout, 50*time.Millisecond
			w.resubmitAt = func(*simInstance, *JobRecord) *simInstance { return w.instance("carrick-0") }
			j := w.SubmitUntilAnswered("tayside-0", spec, work)
			w.Run(after)
			w.LoseCallerUnnoticed(j)
			w.Run(12 * time.Second)
			for _, v := range w.Violations {
				t.Errorf("caller gone after %v, timeout %v: %s", after, timeout, v)
			}
			if last := w.submissions[len(w.submissions)-1]; timeout > work+2*time.Second && last.Result.Kind != fleet.Completed {
				t.Errorf("caller gone after %v, timeout %v: %d submissions, the last one ended %v", after, timeout, len(w.submissions), last.Result)
			}
		}
	}
}

// playSharedJob lets tayside-0 offload two of three tasks to carrick-0, and submits the job
// again at an instance at about the time at which its deadline ends the first submission.
// trouble is called d before that deadline.
func playSharedJob(t *testing.T, after, d time.Duration, at model.Instance, trouble func(w *World)) *World {
	t.Helper()
	w := newSharingWorld("c0", "c1", "c2")
	short := func(tasks int) (fleet.JobSpec, time.Duration) {
		spec, work := w.longJob(tasks)
		spec.Timeout, spec.Steps[0].Estimate = resubmitTimeout, 50*time.Millisecond
		return spec, work
	}
	other, work := short(1) // takes a server of carrick-0 until its deadline
	w.submitFor(&caller{submissions: maxSubmissions}, "carrick-0", other, work)
	w.Run(100 * time.Millisecond)
	offloads := 0
	w.onSend = func(_ model.Instance, x fleet.SendPeer) {
		if o, ok := x.Message.(fleet.Offer); ok && o.Job.Offloaded != nil {
			offloads++
		}
	}
	spec, work := short(3)
	w.resubmitAt = func(*simInstance, *JobRecord) *simInstance { return w.instance(at) }
	j := w.SubmitUntilAnswered("tayside-0", spec, work)
	w.Run(after)
	if offloads != 2 {
		t.Fatalf("%d tasks offloaded, want 2", offloads)
	}
	w.LoseCallerUnnoticed(j)
	w.Run(resubmitTimeout - after - d)
	trouble(w)
	w.Run(4 * time.Second)
	return w
}

// TestJobStartsBesideRunsOfOwnerThatOffloadedIt submits a job again at carrick-0 when its runs
// of tasks of the first submission have been stopped, but not that of tayside-0, which stands
// still or is cut off from its server for a while. carrick-0 knows that the submission has ended.
func TestJobStartsBesideRunsOfOwnerThatOffloadedIt(t *testing.T) {
	for after := 220 * time.Millisecond; after < 500*time.Millisecond; after += 20 * time.Millisecond {
		for name, x := range map[string]struct {
			before  time.Duration
			trouble func(w *World)
		}{
			"stall of 0.3 s": {150 * time.Millisecond, func(w *World) { w.Freeze("tayside-0", 300*time.Millisecond) }},
			"stall of 0.1 s": {50 * time.Millisecond, func(w *World) { w.Freeze("tayside-0", 100*time.Millisecond) }},
			"server cut off": {20 * time.Millisecond, func(w *World) { w.CutServer("tayside-0", w.server("t0"), false, 500*time.Millisecond) }},
		} {
			for _, v := range playSharedJob(t, after, x.before, "carrick-0", x.trouble).Violations {
				t.Errorf("%s, caller gone after %v: %s", name, after, v)
			}
		}
	}
}

// TestTaskStartsBesideItsStoppedOffload submits a job again whose tasks another instance runs
// for the owner of the first submission, at that owner. The other instance stands still, or is
// cut off from its servers or from the owner, around the deadline.
func TestTaskStartsBesideItsStoppedOffload(t *testing.T) {
	for after := 150 * time.Millisecond; after < 500*time.Millisecond; after += 25 * time.Millisecond {
		for name, trouble := range map[string]func(w *World){
			"stall": func(w *World) { w.Freeze("carrick-0", 300*time.Millisecond) },
			"servers cut off": func(w *World) {
				for _, s := range []model.ServerID{"c0", "c1", "c2"} {
					w.CutServer("carrick-0", w.server(s), false, 600*time.Millisecond)
				}
			},
			"owner unheard": func(w *World) { w.CutPeer("tayside-0", "carrick-0", 900*time.Millisecond) },
			"unheard":       func(w *World) { w.CutPeer("carrick-0", "tayside-0", 900*time.Millisecond) },
		} {
			for _, v := range playSharedJob(t, after, 150*time.Millisecond, "tayside-0", trouble).Violations {
				t.Errorf("%s, caller gone after %v: %s", name, after, v)
			}
		}
	}
}
