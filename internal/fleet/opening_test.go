package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// firstOfMany returns an owner that has started with all others after an outage: it has
// opened one of the listed servers, in domain d, and hears no other owner yet. The other
// servers are in the given domain.
func firstOfMany(t *testing.T, servers int, others model.Domain) (*Instance, Time) {
	t.Helper()
	now := Time(time.Second)
	i := NewInstance(Options{Self: Member{Instance: "n1", Incarnation: "02", Domain: "d", Weight: 1}, Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	list := make([]ServerEntry, servers)
	owners := make([]Ownership, servers)
	for k := range list {
		id := model.ServerID(rune('1' + k))
		list[k] = ServerEntry{ID: "s" + id, Service: "svc", Addr: "a", Domain: "d", State: ServerReady, Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4000}}
		owners[k] = Ownership{Server: "s" + id, Owner: "n2", Incarnation: "01", Revision: 7}
	}
	for k := range list[1:] {
		list[1+k].Domain = others
	}
	owners[0].Owner, owners[0].Incarnation = "n1", "02"
	i.Step(now, StoreStatus{Up: true})
	i.Step(now, MembersListed{Members: []Member{i.opts.Self, {Instance: "n2", Incarnation: "02", Domain: "d", Addr: "b", Weight: 1}}})
	i.Step(now, ServersListed{Servers: list})
	i.Step(now, OwnersChanged{Owners: owners})
	return i, now.Add(time.Millisecond)
}

// TestOpenedServersAreAnnounced opens a server after a peer was told that there is none.
// The peer would hold jobs until the next regular heartbeat.
func TestOpenedServersAreAnnounced(t *testing.T) {
	i, now := firstOfMany(t, 1, "d")
	n2 := Member{Instance: "n2", Incarnation: "02", Domain: "d", Addr: "b", Weight: 1}
	i.Step(now, LinkUp{Peer: n2})
	i.Step(now, PeerMessage{From: n2, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now}})
	now = now.Add(2 * openedUpdateInterval)
	told := 0
	for _, e := range i.Step(now, pollReply(now, 500)) {
		if m, ok := e.(SendPeer); ok {
			if hb, ok := m.Message.(Heartbeat); ok && len(hb.Loads) == 1 && hb.Loads[0].Servers == 1 {
				told++
			}
		}
	}
	if told != 1 {
		t.Errorf("%d heartbeats tell of the open server, want 1", told)
	}
}

// TestUnknownCapacityIsNotFull offers more jobs than the only open server can start. While
// the state of the other listed servers is unknown, none is rejected; later, and where
// there are no others or they are evacuated, some are.
func TestUnknownCapacityIsNotFull(t *testing.T) {
	for name, c := range map[string]struct {
		servers int
		domain  model.Domain // of the other servers
		after   time.Duration
		reject  bool
	}{
		"others unknown": {9, "d", 0, false}, "no others": {1, "d", 0, true}, "others unknown for long": {9, "d", openingTime, true},
		"others evacuated": {9, "e", 0, true},
	} {
		i, now := firstOfMany(t, c.servers, c.domain)
		i.Step(now, EvacuationsChanged{Domains: []model.Domain{"e"}, Revision: 3})
		i.Step(now, pollReply(now, 500))
		now = now.Add(c.after)
		i.Step(now, InputProcessed{At: now})
		rejected := 0
		for k := range 12 {
			spec := shortJob(now)
			spec.ID += string(rune('a' + k))
			i.pool.offer(i.opts.Self, CallID(k+1), spec, true, now)
		}
		for _, at := range []time.Duration{0, 60 * time.Millisecond} {
			for _, e := range i.Step(now.Add(at), Tick{}) {
				if l, ok := e.(LogEntry); ok && l.Kind == LogJobQueued && l.Reason != "waits" {
					rejected++
				}
			}
		}
		if (rejected > 0) != c.reject {
			t.Errorf("%s: %d rejected", name, rejected)
		}
	}
}

// TestCallsAwaitUnheardOwners submits jobs to an instance that knows one full owner and
// hasn't heard another listed member. All jobs that came before would queue at the first
// owner that is heard.
func TestCallsAwaitUnheardOwners(t *testing.T) {
	now := Time(time.Second)
	self := Member{Instance: "n1", Incarnation: "02", Domain: "d", Weight: 1}
	full, other := Member{Instance: "n2", Incarnation: "02", Addr: "b"}, Member{Instance: "n3", Incarnation: "02", Addr: "c"}
	i := NewInstance(Options{Self: self, Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	i.Step(now, StoreStatus{Up: true})
	i.Step(now, MembersListed{Members: []Member{self, full, other}})
	heartbeat := func(from Member, l Load) []Effect {
		l.Service = "svc"
		i.Step(now, LinkUp{Peer: from})
		return i.Step(now, PeerMessage{From: from, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now, Loads: []Load{l}}})
	}
	heartbeat(full, Load{Servers: 60, CapacityMilli: 4000, QueuedTasks: 9, ExpectedWait: time.Second})
	offers := func(effects []Effect) (to model.Instance) {
		for _, e := range effects {
			if m, ok := e.(SendPeer); ok {
				if _, ok := m.Message.(Offer); ok {
					to = m.To.Instance
				}
			}
		}
		return to
	}
	if to := offers(i.Step(now, JobSubmitted{Call: 1, Job: shortJob(now)})); to != "" {
		t.Fatalf("offered to %s before the other member was heard", to)
	}
	now = now.Add(10 * time.Millisecond)
	if to := offers(heartbeat(other, Load{Servers: 60, CapacityMilli: 4000, FreeMilli: 4000})); to != "n3" {
		t.Errorf("offered to %q, want the owner with room", to)
	}
	i.members.peers["n3"].everHeard = false
	later := shortJob(now)
	later.ID = "j2"
	i.Step(now, JobSubmitted{Call: 2, Job: later})
	now = now.Add(50 * time.Millisecond)
	i.Step(now, InputProcessed{At: now})
	if to := offers(i.Step(now, Tick{})); to == "" {
		t.Error("still held after its share of the slack")
	}
}
