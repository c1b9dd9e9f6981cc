package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// BenchmarkTickOfALargeFleet measures the tick of an instance that has nothing
// to do, beside 30 others with 350 backend servers in four domains.
func BenchmarkTickOfALargeFleet(b *testing.B) {
	const instances, servers, domains = 31, 350, 4
	domain := func(i int) model.Domain { return model.Domain(fmt.Sprintf("d%d", i%domains)) }
	var members []Member
	for i := range instances {
		members = append(members, Member{Instance: model.Instance(fmt.Sprintf("i%02d", i)), Incarnation: "1", Domain: domain(i), Weight: 0.4})
	}
	now := Time(time.Second)
	inst := NewInstance(Options{Self: members[0], Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	var entries []ServerEntry
	var owners []Ownership
	for i := range servers {
		id := model.ServerID(fmt.Sprintf("s%03d", i))
		entries = append(entries, ServerEntry{ID: id, Service: "s", Domain: domain(i), Capacity: model.Resources{CPUMilli: 32000}})
		owners = append(owners, Ownership{Server: id, Owner: members[1+i%(instances-1)].Instance, Life: "1", Revision: uint64(i + 1)})
	}
	inst.Step(now, StoreReached{Up: true})
	inst.Step(now, MembersSeen{Members: members})
	inst.Step(now, ServersSeen{Servers: entries})
	inst.Step(now, OwnersSeen{Owners: owners})
	for b.Loop() {
		now = now.Add(tickPause)
		for _, m := range members[1:] {
			inst.Step(now, PeerMessage{From: m, At: now, Message: Beat{}})
		}
		inst.Step(now, Tick{})
	}
}
