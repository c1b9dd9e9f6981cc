package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestLostOwnerKeepsJobOfAnsweredCaller offers a job to an owner that then processes none
// of this instance's heartbeats in time, though its own arrive. The job can't be offered
// again before its deadline, so that the caller is answered and may submit it again: the
// owner, which runs it and may be in touch again by now, has to be told.
func TestLostOwnerKeepsJobOfAnsweredCaller(t *testing.T) {
	now := Time(time.Second)
	self := Member{Instance: "n1", Incarnation: "01", Domain: "d", Weight: 1}
	owner := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	i := NewInstance(Options{Self: self, Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	i.Step(now, LinkUp{Peer: owner})
	echo := now
	heartbeat := func() []Effect {
		return i.Step(now, PeerMessage{From: owner, ReceivedAt: now, Message: Heartbeat{
			SentAt: now, Echo: echo, Busy: true, Loads: []Load{{Service: "svc", Servers: 1, CapacityMilli: 4000, FreeMilli: 4000}},
		}})
	}
	heartbeat()
	spec := JobSpec{
		ID: "j1", Service: "svc", MaxAttempts: 3, Timeout: 5 * time.Second, ReceivedAt: now, Objective: Objective{Stretch: 2},
		Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: 1000}, Estimate: 4 * time.Second}},
	}
	offered, answered, withdrawn := CallID(0), false, false
	collect := func(effects []Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case Answer:
				answered = true
			case SendPeer:
				switch m := e.Message.(type) {
				case Offer:
					offered = m.Call
				case Withdraw:
					withdrawn = withdrawn || m.Call == offered
				}
			}
		}
	}
	collect(i.Step(now, JobSubmitted{Call: 1, Job: spec}))
	if offered == 0 {
		t.Fatal("the job was not offered")
	}
	for range 30 {
		now = now.Add(50 * time.Millisecond)
		collect(heartbeat())
		collect(i.Step(now, Tick{}))
	}
	if !answered || !withdrawn {
		t.Errorf("answered: %v, withdrawn from the owner: %v", answered, withdrawn)
	}
}
