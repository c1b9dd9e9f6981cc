package mesh

import (
	"reflect"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/fleetpb"
)

// TestOwnersUpdateRoundTrip encodes and decodes ownerships with all fields set.
func TestOwnersUpdateRoundTrip(t *testing.T) {
	sent := fleet.OwnersUpdate{Owners: []fleet.Ownership{
		{Server: "s1", Owner: "n1", Incarnation: "01", Revision: 7, Rank: 2, Successors: []fleet.Successor{{Instance: "n2", Incarnation: "03"}, {Instance: "n1", Incarnation: "01"}}},
		{Server: "s2", Owner: "n1", Incarnation: "01", Revision: 8},
	}}
	m, err := encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(m)
	if err != nil || !reflect.DeepEqual(got, sent) {
		t.Errorf("%+v %v, want %+v", got, err, sent)
	}
}

// TestOfferOfUnusableJobIsRefused decodes an offer whose job can't be scheduled, as a
// later version might send.
func TestOfferOfUnusableJobIsRefused(t *testing.T) {
	for name, steps := range map[string][]*fleetpb.Step{"no steps": nil, "after a later step": {{Count: 1, After: []int32{3}}}} {
		m := &fleetpb.Message{Body: &fleetpb.Message_Offer{Offer: &fleetpb.Offer{Job: &fleetpb.Job{Steps: steps}}}}
		if got, err := decode(m); err == nil {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
