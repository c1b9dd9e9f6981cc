package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// largeFleet returns an idle instance among others that own all servers of some
// domains.
func largeFleet(instances, servers, domains int) (inst *Instance, members []Member, owners []Ownership, now Time) {
	domain := func(i int) model.Domain { return model.Domain(fmt.Sprintf("d%d", i%domains)) }
	for i := range instances {
		members = append(members, Member{Instance: model.Instance(fmt.Sprintf("i%02d", i)), Incarnation: "1", Domain: domain(i), Weight: 0.4})
	}
	now = Time(time.Second)
	inst = NewInstance(Options{Self: members[0], Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	var entries []ServerEntry
	for i := range servers {
		id := model.ServerID(fmt.Sprintf("s%04d", i))
		entries = append(entries, ServerEntry{ID: id, Service: "s", Domain: domain(i), Capacity: model.Resources{CPUMilli: 32000}})
		owners = append(owners, Ownership{Server: id, Owner: members[1+i%(instances-1)].Instance, Incarnation: "1", Revision: uint64(i + 1)})
	}
	inst.Step(now, StoreStatus{Up: true})
	inst.Step(now, MembersListed{Members: members})
	inst.Step(now, ServersListed{Servers: entries, Revision: 1})
	inst.Step(now, OwnersChanged{Owners: owners})
	return inst, members, owners, now
}

// BenchmarkTickLargeFleet measures the tick of an idle instance among 30 others with
// 350 backend servers in four domains.
func BenchmarkTickLargeFleet(b *testing.B) {
	inst, members, _, now := largeFleet(31, 350, 4)
	for b.Loop() {
		now = now.Add(tickInterval)
		for _, m := range members[1:] {
			inst.Step(now, PeerMessage{From: m, ReceivedAt: now, Message: Heartbeat{}})
		}
		inst.Step(now, Tick{})
	}
}

// BenchmarkOwnersChangedLargeFleet measures the cost of a single ownership change in a
// fleet of 1,100 servers.
func BenchmarkOwnersChangedLargeFleet(b *testing.B) {
	inst, _, owners, now := largeFleet(37, 1100, 6)
	rev := uint64(len(owners))
	for b.Loop() {
		now = now.Add(2 * time.Millisecond)
		rev++
		o := owners[rev%uint64(len(owners))]
		o.Revision = rev
		inst.Step(now, OwnersChanged{Owners: []Ownership{o}})
	}
}

// TestChooseOwners assigns the servers of a domain to members of different weight, some
// of which own servers already.
func TestChooseOwners(t *testing.T) {
	const strong, middle, weak = 0.8, 0.48, 0.144
	cases := []struct {
		name    string
		weights []float64 // of the members m0, m1, ...
		owned   map[model.Instance]int
		servers int
		want    []model.Instance
	}{
		{"one has the CPU for all", []float64{weak, strong, middle}, nil, 46, []model.Instance{"m1"}},
		{"two middle ones", []float64{weak, middle, weak, middle}, nil, 46, []model.Instance{"m1", "m3"}},
		{"weak ones, at most one per twelve servers", []float64{weak, weak, weak}, map[model.Instance]int{"m2": 9, "m0": 1}, 24, []model.Instance{"m0", "m2"}},
		{"the incumbent stays among equals", []float64{middle, middle}, map[model.Instance]int{"m1": 20}, 20, []model.Instance{"m1"}},
		{"a much stronger one replaces the owner", []float64{weak, strong}, map[model.Instance]int{"m0": 20}, 20, []model.Instance{"m1"}},
		{"a single member", []float64{weak}, nil, 100, []model.Instance{"m0"}},
	}
	for _, c := range cases {
		var candidates []Member
		for i, w := range c.weights {
			candidates = append(candidates, Member{Instance: model.Instance(fmt.Sprintf("m%d", i)), Weight: w})
		}
		var got []model.Instance
		for _, m := range chooseOwners("d", candidates, c.owned, c.servers) {
			got = append(got, m.Instance)
		}
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestAbsentOwnershipIsClaimed lets a claim fail since the store has no record of the
// ownership any more, and no event has told so: the next claim expects none.
func TestAbsentOwnershipIsClaimed(t *testing.T) {
	for _, rank := range []int{0, 2} {
		self := Member{Instance: "n1", Incarnation: "02", Domain: "d", Weight: 1}
		now := Time(time.Second)
		i := NewInstance(Options{Self: self, Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
		i.Step(now, StoreStatus{Up: true})
		i.Step(now, ServersListed{Servers: []ServerEntry{{ID: "s1", Service: "svc", Addr: "a", Domain: "d", State: ServerReady}}})
		claimed := func(effects []Effect) *Ownership {
			for _, e := range effects {
				if c, ok := e.(Claim); ok {
					return &c.Expected[0]
				}
			}
			return nil
		}
		first := claimed(i.Step(now, OwnersChanged{Owners: []Ownership{{Server: "s1", Owner: "n1", Incarnation: "01", Revision: 7, Rank: rank}}}))
		if first == nil || first.Absent {
			t.Fatalf("claim %+v", first)
		}
		now = now.Add(10 * time.Millisecond)
		i.Step(now, ClaimReply{Known: true, Owners: []Ownership{{Server: "s1", Absent: true}}})
		now = now.Add(startupDelay)
		if again := claimed(i.Step(now, Tick{})); again == nil || !again.Absent {
			t.Errorf("rank %d: claim %+v of %+v", rank, again, i.owners.known["s1"])
		}
	}
}

// TestOwnServersAreReclaimedAtOnce restarts an owner of more servers than fit into one
// claim. One claim after the other kept most of them idle for longer.
func TestOwnServersAreReclaimedAtOnce(t *testing.T) {
	inst, _, owners, now := largeFleet(2, 60, 1)
	for k := range owners {
		owners[k].Owner, owners[k].Incarnation, owners[k].Revision = "i00", "0", owners[k].Revision+100
	}
	var claims []Claim
	collect := func(effects []Effect) (n int) {
		for _, e := range effects {
			if c, ok := e.(Claim); ok {
				claims = append(claims, c)
				n++
			}
		}
		return n
	}
	if n := collect(inst.Step(now, OwnersChanged{Owners: owners})); n != maxReclaims {
		t.Fatalf("%d claims at once, want %d", n, maxReclaims)
	}
	claimed := map[model.ServerID]bool{}
	reply := func(c Claim) int {
		for k := range c.Expected {
			if id := c.Expected[k].Server; claimed[id] {
				t.Errorf("%s is claimed twice", id)
			} else {
				claimed[id] = true
			}
			c.Expected[k].Owner, c.Expected[k].Incarnation, c.Expected[k].Revision = "i00", "1", 1000
		}
		return collect(inst.Step(now, ClaimReply{Owners: c.Expected, Known: true, Committed: true}))
	}
	if n := reply(claims[0]) + reply(claims[1]); n != 0 {
		t.Errorf("%d claims while one is in progress", n)
	}
	if n := reply(claims[2]); n != 1 {
		t.Fatalf("%d claims for the rest, want 1", n)
	}
	if reply(claims[3]); len(claimed) != 60 {
		t.Errorf("%d servers claimed, want 60", len(claimed))
	}
}
