package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestGivenUpOwnersOffloadOutlivesReplacedLink is TestOffloadedTaskOutlivesItsOwner with the
// link from the home to the third instance being replaced when the owner is given up.
func TestGivenUpOwnersOffloadOutlivesReplacedLink(t *testing.T) {
	twice := 0
	for at := 440 * time.Millisecond; at <= 540*time.Millisecond; at += 2 * time.Millisecond {
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
		w.Run(at)
		w.connect(w.instance("fife-0"), w.instance("carrick-0"))
		w.Run(750*time.Millisecond - at)
		w.CutPeer("tayside-0", "carrick-0", cut)
		w.Run(4 * time.Second)
		for _, v := range w.Violations {
			twice++
			t.Logf("link replaced %v after the cut: %s", at, v)
		}
	}
	if twice > 0 {
		t.Errorf("%d violations", twice)
	}
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
