package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// leavingBound is how long after its announcement a leaving server of a large fleet may
// still be given work.
const leavingBound = 4 * time.Second

// severalCellsSite returns a deployment of four cells.
func severalCellsSite() Site {
	s := Glenbrae()
	s.Instances, s.Servers = []int{25, 25, 25, 25}, 50
	for i := range s.Classes {
		s.Classes[i].PerSecond *= 4
	}
	return s
}

// leavingServers makes servers leave and reports starts on them after leavingBound.
type leavingServers struct {
	t     *testing.T
	w     *World
	since map[model.ServerID]fleet.Time
	late  int
}

func newLeavingServers(t *testing.T, w *World) *leavingServers {
	l := &leavingServers{t: t, w: w, since: map[model.ServerID]fleet.Time{}}
	w.onStart = func(s *Server, r fleet.RunID) {
		since, leaving := l.since[s.Entry.ID]
		if after := w.now.Sub(since); leaving && after > leavingBound {
			if l.late++; l.late <= 3 {
				t.Errorf("%v: run %v started at %s, %v after it announced that it leaves", w.now, r, s.Entry.ID, after)
			}
		}
	}
	return l
}

// leave makes every nth server leave, from the first on.
func (l *leavingServers) leave(first, nth int) {
	for i := first; i < len(l.w.servers); i += nth {
		s := l.w.servers[i]
		if _, leaving := l.since[s.Entry.ID]; !leaving {
			l.since[s.Entry.ID] = l.w.now
			s.Drain()
		}
	}
}

// TestStartsOnLeavingServersWhileWatchersFallBehind lets a tenth of the servers leave
// at once in a fleet of four cells, at full load. Servers write their entries faster
// than watches with a pause between them can read, as a reply is limited.
func TestStartsOnLeavingServersWhileWatchersFallBehind(t *testing.T) {
	site := severalCellsSite()
	w := New(11)
	w.Heartbeats = Heartbeats{Interval: 1500 * time.Millisecond, ReplyLimit: 90} // of 120 a watch
	w.Build(site)
	w.Run(16 * time.Second)
	w.OfferLoad(site, 1.1, 9*time.Second)
	w.Run(time.Second)
	l := newLeavingServers(t, w)
	l.leave(3, 10)
	w.Run(12 * time.Second)
	checkInvariants(t, w)
	if l.late > 0 {
		t.Errorf("%d starts on leaving servers", l.late)
	}
}

// TestStartsOnLeavingServersWhileWatchersAreReplaced lets servers leave in series, each
// time as watchers of the store are lost, restarted or cut off, in a fleet of four cells.
func TestStartsOnLeavingServersWhileWatchersAreReplaced(t *testing.T) {
	const pause = 5 * time.Second
	faults := []func(w *World, names []model.Instance){
		func(w *World, names []model.Instance) {
			for _, n := range names {
				w.PowerOff(n)
				w.After(2*time.Second, func() { w.Start(n) })
			}
		},
		func(w *World, names []model.Instance) {
			for i, n := range names {
				w.After(time.Duration(i)*400*time.Millisecond, func() { w.Start(n) })
			}
		},
		func(w *World, names []model.Instance) {
			for _, n := range names {
				w.IsolateFromStore(n, 3*time.Second)
			}
		},
		func(w *World, names []model.Instance) {
			for _, n := range names {
				w.Freeze(n, 2*time.Second)
			}
		},
	}
	site := severalCellsSite()
	w := New(21)
	w.Heartbeats = Heartbeats{Interval: 1500 * time.Millisecond, ReplyLimit: 90}
	w.Build(site)
	w.Run(5 * time.Second)
	w.OfferLoad(site, 0.9, time.Duration(len(faults)+1)*pause)
	l := newLeavingServers(t, w)
	for i, fault := range faults {
		w.Run(time.Second)
		fault(w, watchers(w))
		w.Run(time.Duration(w.Rand.Int64N(int64(time.Second))))
		l.leave(i, 12)
		w.Run(pause - time.Second)
	}
	w.Run(2 * pause)
	checkInvariants(t, w)
	if l.late > 0 {
		t.Errorf("%d starts on leaving servers", l.late)
	}
}
