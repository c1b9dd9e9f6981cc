package mesh

import (
	"reflect"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
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
