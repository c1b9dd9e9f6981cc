package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestServerListUpdates applies updates of the server list in every order in which two
// watchers may send them.
func TestServerListUpdates(t *testing.T) {
	entries := func(ids ...model.ServerID) (out []ServerEntry) {
		for _, id := range ids {
			out = append(out, ServerEntry{ID: id, Service: "svc", State: ServerReady})
		}
		return out
	}
	type ids = []model.ServerID
	cases := []struct {
		name    string
		updates []ServerChanges
		want    ids
		reads   bool // the whole list has to be read
	}{
		{"added", []ServerChanges{{FromRevision: 10, ToRevision: 12, Servers: entries("c")}}, ids{"a", "b", "c"}, false},
		{"removed", []ServerChanges{{FromRevision: 10, ToRevision: 12, Removed: ids{"b"}}}, ids{"a"}, false},
		{"sent by both watchers", []ServerChanges{{FromRevision: 10, ToRevision: 12, Removed: ids{"b"}}, {FromRevision: 9, ToRevision: 12, Removed: ids{"b"}}}, ids{"a"}, false},
		{"the second is older", []ServerChanges{{FromRevision: 10, ToRevision: 14, Servers: entries("c")}, {FromRevision: 10, ToRevision: 12, Removed: ids{"c"}}}, ids{"a", "b", "c"}, false},
		{"nothing has changed", []ServerChanges{{FromRevision: 10, ToRevision: 40}}, ids{"a", "b"}, false},
		{"a gap", []ServerChanges{{FromRevision: 11, ToRevision: 12, Removed: ids{"b"}}}, ids{"a", "b"}, true},
		{"removed and back, from two watchers", []ServerChanges{{FromRevision: 10, ToRevision: 12, Removed: ids{"b"}}, {FromRevision: 10, ToRevision: 15, Servers: entries("b")}}, ids{"a", "b"}, false},
		{"removed and back between two diffed lists", []ServerChanges{
			{FromRevision: 10, ToRevision: 12, Removed: ids{"b"}}, {FromRevision: 10, ToRevision: 15, FromDiff: true},
		}, ids{"a"}, true},
		{"diff from the known list", []ServerChanges{{FromRevision: 10, ToRevision: 15, FromDiff: true, Servers: entries("c")}}, ids{"a", "b", "c"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reads := 0
			l := newServerList(Options{SharedWatchMinServers: 1}, nil, Time(time.Second), func(e Effect) {
				if _, ok := e.(ListServers); ok {
					reads++
				}
			})
			l.replace(entries("a", "b"), 10, 0)
			for _, n := range c.updates {
				l.handleUpdate("watcher", n, Time(time.Minute))
			}
			if got := slices.Sorted(maps.Keys(l.entries)); !slices.Equal(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
			if (reads > 0) != c.reads {
				t.Errorf("the list is read %d times", reads)
			}
		})
	}
}

// TestOwnWatchWithGapLeavesListOutdated applies changes of the own watch that don't
// continue the list: the list has to be read.
func TestOwnWatchWithGapLeavesListOutdated(t *testing.T) {
	reads := 0
	l := newServerList(Options{}, newMembers(Member{}, func(Effect) {}), 0, func(e Effect) {
		if _, ok := e.(ListServers); ok {
			reads++
		}
	})
	l.replace([]ServerEntry{{ID: "a"}}, 10, 0)
	l.handleWatched(ServerChanges{FromRevision: 12, ToRevision: 15, Removed: []model.ServerID{"a"}}, Time(time.Minute))
	if reads != 1 || len(l.entries) != 1 {
		t.Errorf("%d reads, %d entries", reads, len(l.entries))
	}
}

// TestNobodyWatchesWhileMembersDisagree checks, for two equal members in each state, that
// exactly one prefers the other as a watcher.
func TestNobodyWatchesWhileMembersDisagree(t *testing.T) {
	type state struct {
		name    string
		servers bool
		jobs    bool
	}
	states := []state{{"idle", false, false}, {"servers", true, false}, {"jobs", false, true}, {"servers and jobs", true, true}}
	member := func(name model.Instance) Member { return Member{Instance: name, Incarnation: "01", Weight: 1} }
	// view returns whether a member prefers a peer, after a heartbeat of that peer.
	view := func(self, other Member, selfState, otherState state) bool {
		m := newMembers(self, func(Effect) {})
		m.busy, m.hasServers = selfState.servers || selfState.jobs, selfState.servers
		p := m.addPeer(other, 0)
		hb := Heartbeat{Busy: otherState.servers || otherState.jobs}
		if otherState.servers {
			hb.Loads = []Load{{Service: "svc", Servers: 1}}
		}
		p.loads = hb.Loads
		p.handleHeartbeat(hb, 0, 0)
		return newServerList(Options{Self: self}, m, 0, func(Effect) {}).preferred(p)
	}
	a, b := member("a"), member("b")
	for _, sa := range states {
		for _, sb := range states {
			if view(a, b, sa, sb) == view(b, a, sb, sa) {
				t.Errorf("a with %s and b with %s: both or neither prefer the other", sa.name, sb.name)
			}
		}
	}
}

// TestListNotReadWhileOutdatedUpdatesArrive checks when a member reads the list itself
// although updates keep arriving.
func TestListNotReadWhileOutdatedUpdatesArrive(t *testing.T) {
	const span = listRefreshTimeout + 500*time.Millisecond
	cases := []struct {
		name   string
		update func(n uint64) ServerChanges
		reads  bool
	}{
		{"current updates", func(n uint64) ServerChanges { return ServerChanges{FromRevision: 9 + n, ToRevision: 10 + n} }, false},
		{"nothing changes in the store", func(uint64) ServerChanges { return ServerChanges{FromRevision: 10, ToRevision: 10} }, false},
		{"of a watcher that is behind", func(uint64) ServerChanges { return ServerChanges{FromRevision: 5, ToRevision: 9} }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reads := 0
			m := newMembers(Member{Instance: "self"}, func(Effect) {})
			for _, w := range []model.Instance{"w1", "w2"} { // preferred as watchers
				p := m.addPeer(Member{Instance: w, Incarnation: "01", Weight: 1}, 0)
				p.everHeard, p.storeUp = true, true
			}
			l := newServerList(Options{SharedWatchMinServers: 1}, m, 0, func(e Effect) {
				if _, ok := e.(ListServers); ok {
					reads++
				}
			})
			l.replace([]ServerEntry{{ID: "a"}}, 10, 0)
			for n := uint64(1); n <= uint64(span/tickInterval); n++ {
				now := Time(time.Duration(n) * tickInterval)
				for _, p := range m.orderedPeers {
					p.heardAt = now
				}
				l.handleRenewed(now)
				l.handleUpdate("w1", c.update(n), now)
				l.tick(now)
			}
			if (reads > 0) != c.reads {
				t.Errorf("the list was read %d times", reads)
			}
		})
	}
}

func TestOlderServerListIgnored(t *testing.T) {
	l := newServerList(Options{}, nil, 0, func(Effect) {})
	l.replace([]ServerEntry{{ID: "a"}, {ID: "b"}}, 10, 0)
	if c := l.replace([]ServerEntry{{ID: "a"}}, 9, 0); len(c.Removed) != 0 || len(l.entries) != 2 {
		t.Errorf("%+v, %d servers", c, len(l.entries))
	}
}

// TestListForwardedToCutOffMember forwards changes of a small fleet's list to a member
// that has lost the store. What it applies has to be the list, also after a gap in the
// own watch and after a list that was read.
func TestListForwardedToCutOffMember(t *testing.T) {
	now := Time(time.Minute)
	m := newMembers(Member{Instance: "n1", Weight: 1}, func(Effect) {})
	p := m.addPeer(Member{Instance: "n2", Incarnation: "01", Addr: "a"}, now)
	p.markHeard(now)
	p.linked, p.heardAt, p.remoteSentAt, p.storeUp = true, now, 1, true
	receiver := newServerList(Options{}, newMembers(Member{}, func(Effect) {}), 0, func(Effect) {})
	sent := 0
	l := newServerList(Options{Self: m.self}, m, 0, func(e Effect) {
		if x, ok := e.(SendPeer); ok {
			sent++
			receiver.handleUpdate("n1", x.Message.(ServersUpdate).ServerChanges, now)
		}
	})
	l.renewedAt, l.revision = now, 5
	watch := func(from, to uint64, removed []model.ServerID, ids ...model.ServerID) {
		c := ServerChanges{FromRevision: from, ToRevision: to, Removed: removed}
		for _, id := range ids {
			c.Servers = append(c.Servers, ServerEntry{ID: id, BootMs: int64(to)})
		}
		l.handleWatched(c, now)
	}
	check := func(what string, wantSent int) {
		t.Helper()
		if sent != wantSent || !maps.EqualFunc(l.entries, receiver.entries, ServerEntry.Equal) && wantSent > 0 {
			t.Errorf("%s: %d messages, want %d; the member has %v, want %v", what, sent, wantSent, receiver.entries, l.entries)
		}
	}
	watch(5, 7, nil, "a", "b")
	check("it reaches the store", 0)
	p.storeUp = false
	watch(7, 8, nil)
	check("all entries first", 1)
	watch(8, 9, nil)
	check("nothing has changed", 1)
	watch(9, 12, []model.ServerID{"a"}, "c")
	check("changes", 2)
	watch(15, 16, nil, "d")
	check("after a gap, nothing is known", 2)
	list := []ServerEntry{{ID: "b", BootMs: 7}, {ID: "d", BootMs: 16}, {ID: "e", BootMs: 14}}
	l.broadcast(l.replace(list, 17, now), now)
	check("the list that was read", 3)
	p.storeUp = true
	watch(17, 18, nil, "f")
	if sent != 3 {
		t.Errorf("%d messages to a member that is back", sent)
	}
}

// TestFirstListIsReadOnce sends a starting instance changes of the list that it is still
// reading. After a restart of all instances, each read it twice.
func TestFirstListIsReadOnce(t *testing.T) {
	now := Time(time.Second)
	self, watcher := Member{Instance: "n1", Incarnation: "01"}, Member{Instance: "n2", Incarnation: "01"}
	i := NewInstance(Options{Self: self, Lease: time.Second}, now)
	i.Step(now, StoreStatus{Up: true})
	i.Step(now, LinkUp{Peer: watcher})
	update := func(from, to uint64) []Effect {
		return i.Step(now, PeerMessage{From: watcher, ReceivedAt: now, Message: ServersUpdate{ServerChanges{FromRevision: from, ToRevision: to}}})
	}
	if n := count[ListServers](update(8, 9)); n != 0 {
		t.Errorf("%d reads beside the first one", n)
	}
	i.Step(now, ServersListed{Revision: 7})
	if n := count[ListServers](update(9, 10)); n != 1 {
		t.Errorf("%d reads after a gap, want 1", n)
	}
}
