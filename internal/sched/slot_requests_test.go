package sched

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// An instance without slots, whose peers report nothing, must keep asking all
// of them despite a budget for few requests: any peer may have free slots.
func TestSlotRequestsReachEveryPeer(t *testing.T) {
	s := New(Options{Self: "a1", Domain: "a", Seed: 1, Policy: fixedPolicy{}})
	s.SetServers(testStart, testServers("b", 4, 4))
	peers := []Peer{{ID: "a2", Domain: "a"}, {ID: "b1", Domain: "b"}, {ID: "b2", Domain: "b"}}
	s.SetPeers(testStart, peers)
	s.Submit(testStart, testJob(1, 4))
	requests := make(map[model.Instance]int)
	for now := testStart; now.Sub(testStart) < 10*time.Minute; now = now.Add(TickInterval) {
		s.Tick(now)
		for _, x := range s.Ready().Messages {
			// By then the initial budget is used up.
			if x.Message.Ask != nil && now.Sub(testStart) > 5*time.Minute {
				requests[x.To]++
			}
		}
	}
	for _, p := range peers {
		if requests[p.ID] < 5 {
			t.Fatalf("requests: %v, want several to each peer", requests)
		}
	}
}
