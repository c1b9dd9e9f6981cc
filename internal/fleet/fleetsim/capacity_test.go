package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// smallCapacity holds none of the wider tasks of the usual classes.
var smallCapacity = model.Resources{CPUMilli: 9000, MemoryMB: 256}

// resizeInTurn shrinks every third server for some time, others each time.
func resizeInTurn(w *World, rounds int, span time.Duration) {
	for round := range rounds {
		w.After(time.Duration(round)*span, func() {
			for i, s := range w.servers {
				if i%3 == round%3 {
					before := s.Entry.Capacity
					s.Resize(smallCapacity)
					w.After(2*span, func() { s.Resize(before) })
				}
			}
		})
	}
}

// TestCapacityThatChanges shrinks servers at full load and lets them grow again, while
// owners learn of it in each way that they have. No start may exceed a capacity that has
// shrunk, and jobs are served on what there is.
func TestCapacityThatChanges(t *testing.T) {
	const rounds, span = 3, 5 * time.Second
	cases := []struct {
		name       string
		site       Site
		replyLimit int
		tells      bool // replies to polls tell the capacity
		inject     func(w *World)
	}{
		{"own watch", Glenbrae(), 0, false, nil},
		{"stored jobs", Glenbrae().WithDurableJobs(), 0, false, nil},
		{"shared watch", sharedWatchSite(), 0, false, nil},
		{"watch behind", Glenbrae(), 30, false, nil},
		{"an owner cut off from the store", Glenbrae(), 0, false, func(w *World) {
			w.IsolateFromStore(w.owners[w.servers[0].Entry.ID].Owner, 15*time.Second)
		}},
		{"owners in turn cut off from the store", Glenbrae(), 0, false, func(w *World) {
			for i := range 4 {
				w.After(time.Duration(i)*4*time.Second, func() {
					w.IsolateFromStore(w.owners[w.servers[13*i].Entry.ID].Owner, 9*time.Second)
				})
			}
		}},
		{"a watcher of many cut off from the store", sharedWatchSite(), 0, false, func(w *World) {
			w.IsolateFromStore(watchers(w)[0], 15*time.Second)
			w.IsolateFromStore(w.owners[w.servers[0].Entry.ID].Owner, 15*time.Second)
		}},
		{"owners killed", Glenbrae(), 0, false, func(w *World) {
			for i := range 3 {
				w.After(time.Duration(i)*span, func() {
					name := w.owners[w.servers[13*i].Entry.ID].Owner
					w.Kill(name)
					w.After(2*time.Second, func() { w.Start(name) })
				})
			}
		}},
		{"owners frozen", Glenbrae(), 0, false, func(w *World) {
			for i := range 3 {
				w.After(time.Duration(i)*span, func() { w.freezeOwner(3 * time.Second) })
			}
		}},
		{"polls tell it", Glenbrae(), 0, true, nil},
		{"polls tell it, store down", Glenbrae(), 0, true, func(w *World) { w.StoreDown(9 * time.Second) }},
		{"polls tell it, stored jobs, owners killed", Glenbrae().WithDurableJobs(), 0, true, func(w *World) {
			w.Kill("carrick-0")
			w.After(6*time.Second, func() { w.Start("carrick-0") })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := New(17)
			w.Heartbeats = Heartbeats{Interval: 1500 * time.Millisecond, ReplyLimit: c.replyLimit}
			w.Build(c.site)
			for _, s := range w.servers {
				s.TellsCapacity = c.tells
			}
			w.Run(4 * time.Second)
			w.OfferLoad(c.site, 0.6, rounds*span+2*time.Second)
			w.Run(time.Second)
			resizeInTurn(w, rounds, span)
			if c.inject != nil {
				c.inject(w)
			}
			w.Run(rounds*span + 20*time.Second)
			checkInvariants(t, w)
			got := w.Tally(0)
			t.Logf("%+v", got)
			if c.site.Classes[0].Durable {
				checkDurable(t, w)
			} else if got.Open > 0 || 4*got.Completed < 3*got.Jobs {
				t.Errorf("tally %+v", got)
			}
		})
	}
}

// TestIdleServersThatShrinkWhileTheStoreIsDown shrinks servers of which most run nothing,
// while only replies to polls can tell. A job that comes later may not exceed what is
// left.
func TestIdleServersThatShrinkWhileTheStoreIsDown(t *testing.T) {
	w := New(5)
	w.Heartbeats = Heartbeats{Interval: 1500 * time.Millisecond}
	site := Glenbrae()
	w.Build(site)
	for _, s := range w.servers {
		s.TellsCapacity = true
	}
	w.Run(4 * time.Second)
	w.StoreDown(12 * time.Second)
	for i, s := range w.servers {
		if i%3 != 0 {
			s.Resize(smallCapacity)
		}
	}
	w.Run(capacityGrace)
	w.OfferLoad(site, 0.1, 6*time.Second)
	w.Run(20 * time.Second)
	checkInvariants(t, w)
	if got := w.Tally(0); got.Open > 0 || got.Completed == 0 {
		t.Errorf("tally %+v", got)
	}
}
