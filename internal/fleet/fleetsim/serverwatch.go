package fleetsim

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Heartbeats makes the store record each write of a server's entry, and instances watch
// these changes in the way of package node, rather than compare lists.
type Heartbeats struct {
	Interval   time.Duration // between two writes of a server
	ReplyLimit int           // changes in one reply of a watch, 0 for no limit
}

// entryLog is the store's history of the entries of servers.
type entryLog struct {
	changes  []fleet.EntryChange // oldest first, with consecutive revisions from 1
	current  map[model.ServerID]fleet.EntryChange
	revision uint64
}

func newEntryLog() *entryLog { return &entryLog{current: map[model.ServerID]fleet.EntryChange{}} }

func (l *entryLog) record(id model.ServerID, e *fleet.ServerEntry) {
	l.revision++
	c := fleet.EntryChange{ID: id, Entry: e, Revision: l.revision}
	l.changes = append(l.changes, c)
	if e == nil {
		delete(l.current, id)
	} else {
		l.current[id] = c
	}
}

// after returns at most limit changes after a revision, and the revision they reach.
func (l *entryLog) after(revision uint64, limit int) ([]fleet.EntryChange, uint64) {
	out := l.changes[revision:]
	if limit > 0 && len(out) > limit {
		return out[:limit], out[limit-1].Revision
	}
	return out, l.revision
}

// listEntries returns all entries in the order of the servers.
func (w *World) listEntries() []fleet.EntryChange {
	var out []fleet.EntryChange
	for _, s := range w.servers {
		if c, ok := w.entryLog.current[s.Entry.ID]; ok {
			out = append(out, c)
		}
	}
	return out
}

// startHeartbeats makes a server write its entry now and at each interval.
func (w *World) startHeartbeats(s *Server) {
	if w.Heartbeats.Interval == 0 {
		return
	}
	s.writeEntry()
	var beat func()
	beat = func() {
		if !s.Unlisted {
			s.writeEntry()
		}
		w.After(w.Heartbeats.Interval, beat)
	}
	w.After(time.Duration(w.Rand.Int64N(int64(w.Heartbeats.Interval))), beat)
}

// writeEntry writes the server's entry to the store.
func (s *Server) writeEntry() {
	if s.world.Heartbeats.Interval == 0 {
		return
	}
	e := s.Entry
	e.ReportedAtMs = s.state.ClockMs(s.world.now)
	s.world.entryLog.record(e.ID, &e)
}

// Drain makes a server announce that it is leaving.
func (s *Server) Drain() {
	if s.down {
		return // no process announces it
	}
	s.Entry.State = fleet.ServerDraining
	s.writeEntry()
}

// watchEntries lists and watches the entries of servers until the instance stops doing so.
func (w *World) watchEntries(n *simInstance) {
	n.watch++
	watch := n.watch
	if w.Heartbeats.Interval == 0 || !n.watches {
		return
	}
	var feed fleet.ServerFeed
	var pacer fleet.WatchPacer
	var next func(at uint64)
	next = func(at uint64) {
		newest := n.newestRevision
		w.later(n, storeDelay, func() {
			switch {
			case n.watch != watch:
				return
			case !w.storeUp || n.storeIsolated:
				w.later(n, storeRetryInterval, func() { next(at) })
				return
			}
			changes, to := w.entryLog.after(at, w.Heartbeats.ReplyLimit)
			w.step(n, feed.Update(at, to, changes))
			w.later(n, pacer.Pause(fleet.ServerWatchInterval, len(changes), to < newest), func() { next(to) })
		})
	}
	var list func()
	list = func() {
		if n.watch != watch {
			return
		}
		if !w.storeUp || n.storeIsolated {
			w.later(n, storeRetryInterval, list)
			return
		}
		w.step(n, feed.List(w.listEntries(), w.entryLog.revision))
		next(w.entryLog.revision)
	}
	w.later(n, storeDelay, list)
}

// storeRetryInterval is the pause after a failed read of the store.
const storeRetryInterval = 200 * time.Millisecond
