package mesh

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/fleetpb"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestRoundTrip encodes and decodes messages with all fields set.
func TestRoundTrip(t *testing.T) {
	member := fleet.Member{Instance: "n3", Incarnation: "02", Domain: "d", Addr: "a", Weight: 1}
	for name, sent := range map[string]any{
		"offer of a task": fleet.Offer{Call: 9, Job: fleet.JobSpec{
			ID: "j", Service: "s", Offloaded: &fleet.OffloadedTask{Step: 1, Index: 2, Attempt: 3, Home: fleet.Member{Instance: "n3", Incarnation: "02"}, Near: true},
			Steps: []fleet.StepSpec{{Count: 1, Rack: "r", SameRack: true}},
		}},
		"ownerships": fleet.OwnersUpdate{Owners: []fleet.Ownership{
			{Server: "s1", Owner: "n1", Incarnation: "01", Revision: 7, Rank: 2, Successors: []fleet.Successor{{Instance: "n2", Incarnation: "03"}, {Instance: "n1", Incarnation: "01"}}},
			{Server: "s2", Owner: "n1", Incarnation: "01", Revision: 8},
		}},
		"heartbeat": fleet.Heartbeat{
			Leaving: true, StoreUp: true, Busy: true, Loads: []fleet.Load{{Service: "s", Servers: 1, CapacityMilli: 2, FreeMilli: 1, ExpectedWait: 3, QueuedTasks: 4, StagedTasks: 5}},
			ConfigVersion: 6, LastReceivedAge: 7, SentAt: 8, Echo: 9, OffloadedMilli: 10, DurableInUse: true, Pending: []fleet.RouteCount{{Route: "r", Count: 11}},
			RenewedAt: 12, Inquiries: []fleet.Member{{Instance: "n4", Incarnation: "03"}}, Reports: []fleet.MemberReport{{Subject: member, Presence: fleet.PresenceHeard}},
			Evacuated: []model.Domain{"d", "e"}, EvacuationRevision: 13, OpenCalls: &fleet.OpenCalls{Jobs: []string{"j1", "j2"}},
		},
		"heartbeat, no open calls": fleet.Heartbeat{OpenCalls: &fleet.OpenCalls{}},
		"withdrawal of a call":     fleet.Withdraw{Call: 4},
		"withdrawal of offloads":   fleet.Withdraw{Owner: fleet.Member{Instance: "n3", Incarnation: "02"}},
		"job submitted again":      fleet.Withdraw{Job: "j", Age: 5},
		"servers":                  fleet.ServersUpdate{ServerChanges: fleet.ServerChanges{FromRevision: 1, ToRevision: 2, Servers: []fleet.ServerEntry{{ID: "s1", ReportedAtMs: 3, ColdLeftMs: 4}}}},
	} {
		m, err := encode(sent)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(m)
		if err != nil || !reflect.DeepEqual(got, sent) {
			t.Errorf("%s: %+v %v, want %+v", name, got, err, sent)
		}
	}
}

// TestFleetsWithoutEvacuationsSendTheSameBytes checks that what was added for evacuations and
// cold servers takes no bytes where there are none.
func TestFleetsWithoutEvacuationsSendTheSameBytes(t *testing.T) {
	for name, c := range map[string]struct {
		message any
		bytes   string
	}{
		"heartbeat": {fleet.Heartbeat{SentAt: 8}, "0a024008"},
		"servers":   {fleet.ServersUpdate{ServerChanges: fleet.ServerChanges{Servers: []fleet.ServerEntry{{ID: "s"}}}}, "5a051a030a0173"},
	} {
		m, err := encode(c.message)
		if err != nil {
			t.Fatal(err)
		}
		data, err := proto.Marshal(m)
		if err != nil || fmt.Sprintf("%x", data) != c.bytes {
			t.Errorf("%s: %x %v, want %s", name, data, err, c.bytes)
		}
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
