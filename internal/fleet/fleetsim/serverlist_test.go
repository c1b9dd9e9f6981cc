package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// sharedWatchSite returns a deployment of one cell that is large enough for a shared
// watch.
func sharedWatchSite() Site {
	s := Glenbrae()
	s.Instances, s.Servers = []int{9, 9, 9, 9}, 60
	return s
}

func watchers(w *World) (names []model.Instance) {
	for _, n := range w.instances {
		if n.alive && n.watches {
			names = append(names, n.member.Instance)
		}
	}
	return names
}

// TestFewWatchServerList checks that a change of the list reaches the owners while two
// members of the cell watch the store, and after both were lost.
func TestFewWatchServerList(t *testing.T) {
	const wanted = 2 // watchers
	const propagationTime = 2500 * time.Millisecond
	w := New(3)
	w.Build(sharedWatchSite())
	w.Run(settleTime + 2*time.Second)
	for round := range 3 {
		two := watchers(w)
		if len(two) != wanted {
			t.Fatalf("round %d: %v watch the store, want %d", round, two, wanted)
		}
		added := model.ServerID("carrick-new" + string(rune('a'+round)))
		w.AddServer(fleet.ServerEntry{
			ID: added, Service: Service, Domain: "carrick", Addr: "a", Capacity: model.Resources{CPUMilli: 32000, MemoryMB: 65536},
		}, 1)
		w.Run(propagationTime)
		if w.owners[added].Owner == "" {
			t.Errorf("round %d: a server that was added has no owner", round)
		}
		for _, n := range two {
			w.PowerOff(n)
		}
		w.Run(5 * time.Second)
	}
	checkInvariants(t, w)
}

// TestDrainingServerWithSharedWatch checks that no task starts on a draining server
// after a watcher has forwarded the change to its owner.
func TestDrainingServerWithSharedWatch(t *testing.T) {
	const known = 600 * time.Millisecond // two reads of the store and a message
	site := sharedWatchSite()
	w := New(4)
	w.Build(site)
	w.Run(settleTime)
	w.OfferLoad(site, 3, 6*time.Second)
	w.Run(2 * time.Second)
	var since fleet.Time
	drained := w.servers[7]
	w.onStart = func(s *Server, r fleet.RunID) {
		if s == drained && since != 0 && w.now.Sub(since) > known {
			t.Errorf("run %v started %v after the server started draining", r, w.now.Sub(since))
		}
	}
	drained.Entry.State = fleet.ServerDraining
	since = w.now
	w.Run(10 * time.Second)
	checkInvariants(t, w)
}

// TestIdleMembersHeartbeatRarely checks that members without servers exchange few
// heartbeats.
func TestIdleMembersHeartbeatRarely(t *testing.T) {
	const (
		span = 2 * time.Second
		most = 3 // heartbeats in the span
	)
	w := New(6)
	w.Build(sharedWatchSite())
	w.Run(settleTime + 4*time.Second)
	owns := map[model.Instance]bool{}
	for _, o := range w.owners {
		owns[o.Owner] = true
	}
	sent := map[[2]model.Instance]int{}
	w.onSend = func(from model.Instance, x fleet.SendPeer) {
		if _, ok := x.Message.(fleet.Heartbeat); ok {
			sent[[2]model.Instance{from, x.To.Instance}]++
		}
	}
	w.Run(span)
	pairs := 0
	for _, a := range w.instances {
		for _, b := range w.instances {
			if a == b || owns[a.member.Instance] || owns[b.member.Instance] {
				continue
			}
			pairs++
			if n := sent[[2]model.Instance{a.member.Instance, b.member.Instance}]; n > most {
				t.Errorf("%s sent %d heartbeats in %v to %s, though neither has servers", a.member.Instance, n, span, b.member.Instance)
			}
		}
	}
	if pairs == 0 {
		t.Fatal("every instance owns servers")
	}
}

// TestStoreOutageKeepsFewWatchers checks that the end of a store outage doesn't make
// all members read the whole store.
func TestStoreOutageKeepsFewWatchers(t *testing.T) {
	const most = 6  // watchers, a few more than usual
	const reads = 6 // of the whole list, by members that don't watch it
	w := New(7)
	w.Build(sharedWatchSite())
	w.Run(settleTime + 2*time.Second)
	w.StoreDown(5 * time.Second)
	for range 80 {
		w.Run(100 * time.Millisecond)
		if n := len(watchers(w)); n > most {
			t.Fatalf("%d members watch the store", n)
		}
	}
	if n := len(watchers(w)); n != 2 {
		t.Errorf("%d members watch the store after the outage", n)
	}
	if w.listReads > reads {
		t.Errorf("the list was read %d times", w.listReads)
	}
}
