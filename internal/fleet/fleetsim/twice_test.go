package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// addServers adds servers with room for one task each.
func (w *World) addServers(d model.Domain, ids ...model.ServerID) (out []*Server) {
	for _, id := range ids {
		out = append(out, w.AddServer(fleet.ServerEntry{
			ID: id, Service: Service, Domain: d, Addr: "a", Capacity: model.Resources{CPUMilli: 8000, MemoryMB: 65536},
		}, 1))
	}
	return out
}

// longJob returns a job whose tasks take one server each for several seconds.
func (w *World) longJob(tasks int) (spec fleet.JobSpec, work time.Duration) {
	const longWork = 12 * time.Second
	spec = w.Job(Class{Name: "route", Width: 1, MaxWidth: 1, CPU: 8000, MaxCPU: 8000, MaxAttempts: 4}, longWork)
	spec.Steps[0].Count, spec.Steps[0].Need.CPUMilli, spec.Steps[0].Estimate = tasks, 8000, longWork
	spec.Timeout = 30 * time.Second
	return spec, longWork
}

// TestFrozenInstanceRestartsTaskOfLostCaller freezes an instance until the lease of its
// run has expired. Its caller has gone and submitted the job elsewhere, which the
// instance notices only some time after it has resumed.
func TestFrozenInstanceRestartsTaskOfLostCaller(t *testing.T) {
	w := New(1)
	w.AddInstance("tayside-0", "tayside", defaultWeight)
	w.AddInstance("carrick-0", "carrick", defaultWeight)
	w.addServers("tayside", "t0")
	w.addServers("carrick", "c0")
	w.Run(settleTime)
	spec, work := w.longJob(1)
	j := w.SubmitUntilAnswered("tayside-0", spec, work)
	w.Run(500 * time.Millisecond)
	const frozen = 1250 * time.Millisecond
	w.Freeze("tayside-0", frozen)
	w.LoseCaller(j, frozen+150*time.Millisecond)
	w.Run(4 * time.Second)
	checkInvariants(t, w)
}

// TestLateStartAfterServerRestart leaves the start of a task unanswered. It is carried
// out seconds later by the next life of the server, while the task runs elsewhere.
func TestLateStartAfterServerRestart(t *testing.T) {
	w := New(1)
	w.AddInstance("tayside-0", "tayside", defaultWeight)
	servers := w.addServers("tayside", "t0", "t1")
	for _, s := range servers {
		s.Uptime = time.Minute // the clock of the next life is far behind
		s.Restart()
	}
	w.Run(settleTime)
	for _, s := range servers {
		s.LateStartRate = 1
	}
	spec, work := w.longJob(1)
	w.SubmitUntilAnswered("tayside-0", spec, work)
	late := servers[0]
	for _, s := range servers {
		s.LateStartRate = 0
	}
	w.Run(500 * time.Millisecond)
	late.Crash(2 * time.Second)
	w.Run(12 * time.Second)
	checkInvariants(t, w)
}

// playLostOwner lets an owner offload a task to a third instance, and then cuts its
// messages to the instance with the call and, 0.75 s later, to the third one. meanwhile is
// called once after a while.
func playLostOwner(after time.Duration, meanwhile func(w *World)) *World {
	w := New(1)
	w.AddInstance("tayside-0", "tayside", 2*defaultWeight) // queues jobs
	w.AddInstance("carrick-0", "carrick", defaultWeight)
	w.AddInstance("fife-0", "fife", defaultWeight) // owns no server
	w.addServers("tayside", "t0")
	w.addServers("carrick", "c0", "c1", "c2")
	w.Run(settleTime)
	spec, work := w.longJob(2)
	other, _ := w.longJob(2)
	w.SubmitUntilAnswered("carrick-0", other, 1200*time.Millisecond)
	w.Run(100 * time.Millisecond)
	w.SubmitUntilAnswered("fife-0", spec, work)
	w.Run(300 * time.Millisecond)
	const cut = 5 * time.Second
	w.CutPeer("tayside-0", "fife-0", cut)
	w.After(after, func() { meanwhile(w) })
	w.Run(750 * time.Millisecond)
	w.CutPeer("tayside-0", "carrick-0", cut)
	w.Run(4 * time.Second)
	return w
}

// TestOffloadedTaskOutlivesItsOwner lets an owner offload a task and then lose the
// instance with the call, which runs the job again at the very owner that has the task.
func TestOffloadedTaskOutlivesItsOwner(t *testing.T) {
	checkInvariants(t, playLostOwner(0, func(*World) {}))
}

// TestGivenUpOwnersOffloadOutlivesReplacedLink also replaces the link on which the third
// instance is told that the owner was given up, at about that time.
func TestGivenUpOwnersOffloadOutlivesReplacedLink(t *testing.T) {
	for at := 440 * time.Millisecond; at <= 540*time.Millisecond; at += 2 * time.Millisecond {
		w := playLostOwner(at, func(w *World) { w.connect(w.instance("fife-0"), w.instance("carrick-0")) })
		for _, v := range w.Violations {
			t.Errorf("link replaced %v after the cut: %s", at, v)
		}
	}
}

// TestRunOfLostCallerOutlivesResubmission lets an instance notice half a second late
// that a caller has gone, while it can't reach the server that runs the job. Until then
// it has renewed the lease, which ends after the caller has submitted the job again.
func TestRunOfLostCallerOutlivesResubmission(t *testing.T) {
	w := New(1)
	w.AddInstance("tayside-0", "tayside", defaultWeight)
	w.AddInstance("carrick-0", "carrick", defaultWeight)
	servers := w.addServers("tayside", "t0")
	w.addServers("carrick", "c0")
	w.Run(settleTime)
	spec, work := w.longJob(1)
	j := w.SubmitUntilAnswered("tayside-0", spec, work)
	w.Run(600 * time.Millisecond)
	const notice = 480 * time.Millisecond
	w.LoseCaller(j, notice)
	w.Run(notice - 10*time.Millisecond)
	w.CutServer("tayside-0", servers[0], false, 5*time.Second)
	w.Run(4 * time.Second)
	checkInvariants(t, w)
}

// TestResumedOwnerStartsOldOffer freezes an owner just before a job is offered to it, and
// the instance with the call just after. The owner reads the offer when it resumes; by
// then the caller has submitted the job again, and it runs elsewhere.
func TestResumedOwnerStartsOldOffer(t *testing.T) {
	w := New(1)
	w.AddInstance("tayside-0", "tayside", defaultWeight)
	w.AddInstance("carrick-0", "carrick", defaultWeight)
	w.AddInstance("fife-0", "fife", defaultWeight) // owns no server
	w.addServers("tayside", "t0")
	w.addServers("carrick", "c0", "c1")
	w.Run(settleTime)
	other, work := w.longJob(1)
	w.SubmitUntilAnswered("carrick-0", other, work) // the larger share of free capacity is at tayside-0
	w.Run(200 * time.Millisecond)
	w.Freeze("tayside-0", 1400*time.Millisecond)
	w.Run(10 * time.Millisecond)
	spec, work := w.longJob(1)
	j := w.SubmitUntilAnswered("fife-0", spec, work)
	w.Run(10 * time.Millisecond)
	w.Freeze("fife-0", 5*time.Second)
	w.LoseCaller(j, 0)
	w.Run(3 * time.Second)
	checkInvariants(t, w)
}

// TestSlowInputOfCallsAtOtherOwners loses the caller of a job at an instance that notices
// late, while another instance owns the server that runs it, or the same one.
func TestSlowInputOfCallsAtOtherOwners(t *testing.T) {
	for _, home := range []string{"fife-0", "tayside-0"} {
		t.Run("call at "+home, func(t *testing.T) {
			w := New(1)
			w.AddInstance("tayside-0", "tayside", defaultWeight)
			w.AddInstance("carrick-0", "carrick", defaultWeight)
			w.AddInstance("fife-0", "fife", defaultWeight) // owns no server
			w.addServers("tayside", "t0")
			w.Run(settleTime)
			spec, work := w.longJob(1)
			j := w.SubmitUntilAnswered(model.Instance(home), spec, work)
			w.Run(100 * time.Millisecond)
			w.addServers("carrick", "c0")
			w.Run(400 * time.Millisecond)
			w.LoseCaller(j, 1700*time.Millisecond)
			w.Run(4 * time.Second)
			checkInvariants(t, w)
		})
	}
}
