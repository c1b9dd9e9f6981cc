package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of how what the operator and the backend servers write into the store
// comes to the members.
const (
	// sharedWatchMinServers is the number of servers from which only a few members of a
	// cell follow the store. Each server's heartbeats change its entry about once a
	// second, which costs every follower processor time and bytes; and a large
	// configuration, which peers pass on packed, takes seconds of a slow link.
	sharedWatchMinServers = 100
	// watchersPerCell is how many members of a cell follow the store then, so that
	// the loss of one delays nothing.
	watchersPerCell = 2
	// listRefreshTimeout is how long a member goes without news of the list before it
	// reads the list itself, and again: two watches of a follower.
	listRefreshTimeout = 2 * time.Second
	// renewalTimeout is how long after the last renewal in the store it still counts as
	// answering: two renewals.
	renewalTimeout = 1200 * time.Millisecond
	// watcherTimeout is how long a follower may be silent before another member takes
	// its place: the link of a weak one is full while a large configuration comes.
	watcherTimeout = 1500 * time.Millisecond
	// watcherStoreTimeout is how long the store must fail a follower before another member
	// takes its place: longer than listStoreUp.
	watcherStoreTimeout = 1500 * time.Millisecond
)

// serverList is this instance's copy of the store's list of backend servers. The
// strongest members of a cell follow the store and tell the others what has
// changed.
//
// Invariant: entries are the list as it was at revision at. News of changes after
// a later revision is not applied; the whole list is read instead.
type serverList struct {
	self             Member
	members          *members
	effect           func(Effect)
	sharedMinServers int // servers

	entries      map[model.ServerID]ServerEntry
	revision     uint64 // revision of the store
	watching     bool
	updatedAt    Time // last news of a peer, or since when some is to be expected
	renewedAt    Time // the store last renewed this instance's entry
	storeUpSince Time // since when the store has answered without a pause
	requestedAt  Time // of the last request for the whole list
}

func newServerList(o Options, m *members, now Time, effect func(Effect)) *serverList {
	l := &serverList{
		self: o.Self, members: m, effect: effect, sharedMinServers: o.SharedWatchMinServers,
		entries: map[model.ServerID]ServerEntry{}, watching: true, updatedAt: now,
	}
	if l.sharedMinServers == 0 {
		l.sharedMinServers = sharedWatchMinServers
	}
	return l
}

// shared reports whether only some members follow the store.
func (l *serverList) shared() bool { return len(l.entries) >= l.sharedMinServers }

// isWatcher reports whether this instance is one of those that follow the store for
// their cell: the strongest, and among those alike the ones without servers, as a
// large configuration keeps a weak link busy for seconds.
func (l *serverList) isWatcher(now Time) bool {
	before := 0
	for _, p := range l.members.order {
		lives := !p.dead && p.everHeard && now.Sub(p.heardAt) < watcherTimeout
		if lives && !p.leaving && !l.peerLostStore(p, now) && l.preferred(p) {
			before++
		}
	}
	return before < watchersPerCell
}

// preferred reports whether a peer should follow the store rather than this instance.
func (l *serverList) preferred(p *peer) bool {
	if idle := len(p.loads) == 0; p.member.Weight == l.self.Weight && idle == l.members.busy {
		return idle
	}
	return stronger(p.member, l.self)
}

// peerLostStore reports whether the store answers this instance and not the peer. Each
// member notices the beginning and the end of an outage at another time.
func (l *serverList) peerLostStore(p *peer, now Time) bool {
	return !p.storeUp && now.Sub(p.storeDownSince) > watcherStoreTimeout && l.storeUp(now) && now.Sub(l.storeUpSince) > watcherStoreTimeout
}

// handleRenewed notes that the store has handleRenewed this instance's entry.
func (l *serverList) handleRenewed(at Time) {
	if at.Sub(l.renewedAt) > renewalTimeout {
		l.storeUpSince = at
	}
	l.renewedAt = at
}

// storeUp reports whether the store has answered this instance lately.
func (l *serverList) storeUp(now Time) bool { return now.Sub(l.renewedAt) <= renewalTimeout }

// tick decides whether this instance follows the store, and reads the list of
// servers where news of it is overdue.
func (l *serverList) tick(now Time) {
	follow := !l.shared() || l.isWatcher(now)
	if follow != l.watching {
		l.watching = follow
		l.effect(WatchStore{Enabled: follow, Servers: len(l.entries)})
	}
	if l.watching || !l.storeUp(now) {
		l.updatedAt = now // after an outage, a follower has news before long
	}
	if now.Sub(l.updatedAt) > listRefreshTimeout {
		l.requestList(now)
	}
}

// requestList asks for the whole list, unless that was done a moment ago.
func (l *serverList) requestList(now Time) {
	if l.requestedAt == 0 || now.Sub(l.requestedAt) >= listRefreshTimeout {
		l.requestedAt = now
		l.effect(ListServers{})
	}
}

// replace takes the whole list in and returns what has changed. An older list
// than the known one changes nothing.
func (l *serverList) replace(list []ServerEntry, at uint64) (c ServerChanges) {
	c.FromRevision, c.ToRevision, c.FromDiff = l.revision, at, true
	if at < l.revision {
		return ServerChanges{}
	}
	present := make(map[model.ServerID]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		if old, ok := l.entries[e.ID]; !ok || !old.Equal(e) {
			c.Servers = append(c.Servers, e)
		}
	}
	for id := range l.entries {
		if !present[id] {
			c.Removed = append(c.Removed, id)
		}
	}
	slices.Sort(c.Removed)
	l.apply(c)
	return c
}

// applyInOrder takes changes in and reports whether they follow on what is known.
func (l *serverList) applyInOrder(c ServerChanges) (ok bool) {
	switch {
	case c.ToRevision <= l.revision:
		return true
	case c.FromRevision > l.revision, c.FromDiff && c.FromRevision != l.revision:
		return false
	}
	l.apply(c)
	return true
}

func (l *serverList) apply(c ServerChanges) {
	l.revision = c.ToRevision
	for _, e := range c.Servers {
		l.entries[e.ID] = e
	}
	for _, id := range c.Removed {
		delete(l.entries, id)
	}
}

// broadcast passes changes on to the cell if this instance follows the store for it.
func (l *serverList) broadcast(c ServerChanges, now Time) {
	if c.FromRevision == 0 || c.ToRevision == 0 || !l.shared() || !l.isWatcher(now) {
		return
	}
	for _, p := range l.members.order {
		if p.reachable(now) {
			l.effect(SendPeer{To: p.member, Message: ServersUpdate{c}})
		}
	}
}

// handleUpdate takes in what a peer passes on, and reports whether entries may have
// changed. After a gap the whole list is read.
func (l *serverList) handleUpdate(c ServerChanges, now Time) (changed bool) {
	l.updatedAt = now
	if l.applyInOrder(c) {
		return len(c.Servers)+len(c.Removed) > 0
	}
	l.requestList(now)
	return false
}

// ServerChanges tells what has changed in the store's list of backend servers
// after a revision and up to another one.
type ServerChanges struct {
	FromRevision, ToRevision uint64 // revisions of the store
	Servers                  []ServerEntry
	Removed                  []model.ServerID
	// FromDiff says that these are the differences of two lists. What left and came
	// back between them is not told, so that they hold only for one who knows
	// nothing newer than the first.
	FromDiff bool
}

// Equal reports whether two entries say the same.
func (e ServerEntry) Equal(o ServerEntry) bool {
	return e.ID == o.ID && e.Service == o.Service && e.Addr == o.Addr && e.Domain == o.Domain && e.State == o.State &&
		e.Capacity == o.Capacity && e.Kind == o.Kind && e.Slots == o.Slots && e.BootMs == o.BootMs && slices.Equal(e.Labels, o.Labels)
}
