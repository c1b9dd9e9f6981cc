package sched

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestSlotRequestsReachEveryPeer has an instance without slots whose peers tell
// nothing. It has to ask each of them, again and again, though the budget allows
// few asks: any of them may have what its tasks wait for.
func TestSlotRequestsReachEveryPeer(t *testing.T) {
	s := New(Options{Self: "a1", Domain: "a", Seed: 1, Policy: fixedPolicy{}})
	s.SetServers(testStart, testServers("b", 4, 4))
	peers := []Peer{{ID: "a2", Domain: "a"}, {ID: "b1", Domain: "b"}, {ID: "b2", Domain: "b"}}
	s.SetPeers(testStart, peers)
	s.Submit(testStart, testJob(1, 4))
	asks := make(map[model.Instance]int)
	for now := testStart; now.Sub(testStart) < 10*time.Minute; now = now.Add(TickInterval) {
		s.Tick(now)
		for _, x := range s.Ready().Messages {
			// What was saved is used up by then.
			if x.Message.Ask != nil && now.Sub(testStart) > 5*time.Minute {
				asks[x.To]++
			}
		}
	}
	for _, p := range peers {
		if asks[p.ID] < 5 {
			t.Fatalf("asks: %v, want several of each", asks)
		}
	}
}
