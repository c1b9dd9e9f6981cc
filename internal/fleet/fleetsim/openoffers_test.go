package fleetsim

import (
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestCallWithTwoOpenOffers observes steps of instance n1, which offers a call to n2 and
// then again.
func TestCallWithTwoOpenOffers(t *testing.T) {
	n2 := fleet.Member{Instance: "n2"}
	routed := func(offer fleet.CallID, to model.Instance) fleet.Effect {
		return fleet.LogEntry{Kind: fleet.LogJobRouted, Call: 1, Offer: offer, Peer: to}
	}
	declined := func(offer fleet.CallID) fleet.Event {
		return fleet.PeerMessage{From: n2, Message: fleet.Outcome{Call: offer, Declined: true}}
	}
	for name, x := range map[string]struct {
		event   fleet.Event
		effects []fleet.Effect
		want    int
	}{
		"at once":                     {fleet.Tick{}, []fleet.Effect{routed(8, "n3")}, 1},
		"to the same owner":           {fleet.Tick{}, []fleet.Effect{routed(8, "n2")}, 1},
		"after a decline":             {declined(7), []fleet.Effect{routed(8, "n3")}, 0},
		"after an earlier decline":    {declined(6), []fleet.Effect{routed(8, "n3")}, 1},
		"after a withdrawal":          {fleet.Tick{}, []fleet.Effect{fleet.SendPeer{To: n2, Message: fleet.Withdraw{Call: 7}}, routed(8, "n3")}, 0},
		"after an own decline":        {declined(7), []fleet.Effect{routed(8, "n1"), routed(9, "n3")}, 0},
		"twice in a step to others":   {declined(7), []fleet.Effect{routed(8, "n3"), routed(9, "n1")}, 1},
		"after the answer, as a call": {fleet.Tick{}, []fleet.Effect{fleet.Answer{Call: 1}, routed(8, "n3")}, 0},
	} {
		o, got := openOffers{}, 0
		report := func(fleet.CallID, model.Instance, model.Instance) { got++ }
		o.observe("n1", fleet.Tick{}, []fleet.Effect{routed(7, "n2")}, report)
		o.observe("n1", x.event, x.effects, report)
		if got != x.want {
			t.Errorf("%s: %d reports, want %d", name, got, x.want)
		}
	}
}
