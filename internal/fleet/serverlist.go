package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Timing of how changes in the store reach the members.
const (
	// sharedWatchMinServers is the number of servers from which only a few members of a
	// cell watch the store. Each server's heartbeats change its entry about once a
	// second, which costs every watcher CPU time and bandwidth. A large configuration,
	// which peers forward compressed, takes seconds on a slow link.
	sharedWatchMinServers = 100
	// watchersPerCell is the number of watchers in that case, so that the loss of one
	// delays nothing.
	watchersPerCell = 2
	// listRefreshTimeout is how long a member waits for updates before it reads the
	// list itself, and between such reads: two watch intervals.
	listRefreshTimeout = 2 * time.Second
	// renewalTimeout is how long the store counts as answering after the last renewal:
	// two renewals.
	renewalTimeout = 1200 * time.Millisecond
	// watcherTimeout is how long a watcher may be silent before another member replaces
	// it: a slow link is busy while a large configuration arrives.
	watcherTimeout = 1500 * time.Millisecond
	// watcherStoreTimeout is how long a watcher must have lost the store before another
	// member replaces it: longer than renewalTimeout.
	watcherStoreTimeout = 1500 * time.Millisecond
)

// serverList is this instance's copy of the store's list of backend servers. If the
// list is long, only the strongest members of a cell watch the store, and forward
// changes to the others (a shared watch).
//
// Invariant: entries is the list as of revision. Changes that start after a later
// revision are not applied; the whole list is read instead.
type serverList struct {
	self             Member
	members          *members
	effect           func(Effect)
	sharedMinServers int

	entries      map[model.ServerID]ServerEntry
	revision     uint64 // store revision
	watching     bool
	updatedAt    Time // last update from a peer that isn't outdated, or when one was first expected
	renewedAt    Time // last renewal of this instance's entry in the store
	storeUpSince Time // since when the store has answered without interruption
	requestedAt  Time // last request for the whole list
	source       listSource
}

// listSource is how the last changes of the list arrived.
type listSource struct {
	way  string
	peer model.Instance // that forwarded them, empty if they came from the store
	// revision is that of the list with the changes, 0 if they aren't from the list.
	revision uint64
}

// Ways in which this instance learns of changes of servers.
const (
	wayList  = "list"
	wayWatch = "watch"
	wayPeer  = "peer"
	wayPoll  = "poll"
	wayOwned = "owned" // the server was leaving when this instance became its owner
)

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

// shared reports whether only some members watch the store.
func (l *serverList) shared() bool { return len(l.entries) >= l.sharedMinServers }

// isWatcher reports whether this instance is one of its cell's watchers: the strongest
// members and, among equals, those without servers, as the arrival of a large
// configuration keeps a slow link busy for seconds.
func (l *serverList) isWatcher(now Time) bool {
	before := 0
	for _, p := range l.members.orderedPeers {
		alive := !p.dead && p.everHeard && now.Sub(p.heardAt) < watcherTimeout
		if alive && !p.leaving && !l.peerLostStore(p, now) && l.preferred(p) {
			before++
		}
	}
	return before < watchersPerCell
}

// preferred reports whether a peer should watch the store rather than this instance. The
// peer reports loads exactly if it has servers, so that both come to the same conclusion.
func (l *serverList) preferred(p *peer) bool {
	if idle := len(p.loads) == 0; p.member.Weight == l.self.Weight && idle == l.members.hasServers {
		return idle
	}
	return stronger(p.member, l.self)
}

// peerLostStore reports whether the store answers this instance but not the peer. The
// timeouts allow for members noticing the start and end of an outage at different
// times.
func (l *serverList) peerLostStore(p *peer, now Time) bool {
	return !p.storeUp && now.Sub(p.storeDownSince) > watcherStoreTimeout && l.storeUp(now) && now.Sub(l.storeUpSince) > watcherStoreTimeout
}

// handleRenewed records a renewal of this instance's entry in the store.
func (l *serverList) handleRenewed(at Time) {
	if at.Sub(l.renewedAt) > renewalTimeout {
		l.storeUpSince = at
	}
	l.renewedAt = at
}

// storeUp reports whether the store has recently answered this instance.
func (l *serverList) storeUp(now Time) bool { return now.Sub(l.renewedAt) <= renewalTimeout }

// complete reports whether a server that isn't listed is gone: entries that expired in an
// outage of the store are back.
func (l *serverList) complete(now Time) bool {
	return len(l.entries) > 0 && l.storeUp(now) && now.Sub(l.storeUpSince) > entryReturnTime
}

// tick decides whether this instance watches the store, and reads the list of servers
// if updates are overdue.
func (l *serverList) tick(now Time) {
	watch := !l.shared() || l.isWatcher(now)
	if watch != l.watching {
		l.watching = watch
		l.effect(WatchStore{Enabled: watch, Servers: len(l.entries)})
	}
	if l.watching || !l.storeUp(now) {
		l.updatedAt = now // after an outage, a watcher sends updates soon
	}
	if now.Sub(l.updatedAt) > listRefreshTimeout {
		l.requestList(now)
	}
}

// requestList requests the whole list, unless that was done recently.
func (l *serverList) requestList(now Time) {
	if l.requestedAt == 0 || now.Sub(l.requestedAt) >= listRefreshTimeout {
		l.requestedAt = now
		l.effect(ListServers{})
	}
}

// replace sets the whole list and returns the differences. A list older than the
// current one is ignored.
func (l *serverList) replace(list []ServerEntry, at uint64, now Time) (c ServerChanges) {
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
	l.apply(c, listSource{way: wayList})
	l.effect(LogEntry{Kind: LogListRead, Value: at, Count: len(c.Servers) + len(c.Removed), Age: l.requestAge(now)})
	return c
}

// requestAge returns the time since the whole list was last requested, 0 if never.
func (l *serverList) requestAge(now Time) time.Duration {
	if l.requestedAt == 0 {
		return 0
	}
	return now.Sub(l.requestedAt)
}

// applyInOrder applies changes and reports whether they continue the current list.
func (l *serverList) applyInOrder(c ServerChanges, from listSource) (ok bool) {
	switch {
	case c.ToRevision <= l.revision:
		return true
	case c.FromRevision > l.revision, c.FromDiff && c.FromRevision != l.revision:
		l.effect(LogEntry{
			Kind: LogListGap, Peer: from.peer, Value: l.revision, Reason: from.way, Count: int(c.ToRevision - l.revision),
		})
		return false
	}
	l.apply(c, from)
	return true
}

func (l *serverList) apply(c ServerChanges, from listSource) {
	l.revision, l.source = c.ToRevision, from
	l.source.revision = c.ToRevision
	for _, e := range c.Servers {
		l.entries[e.ID] = e
	}
	for _, id := range c.Removed {
		delete(l.entries, id)
	}
}

// broadcast forwards changes if this instance is a watcher: to the cell if the watch is
// shared, else to the members that have lost the store.
func (l *serverList) broadcast(c ServerChanges, now Time) {
	if c.FromRevision == 0 || c.ToRevision == 0 || !l.isWatcher(now) {
		return
	}
	for _, p := range l.members.orderedPeers {
		switch {
		case !p.reachable(now):
		case l.shared():
			l.effect(SendPeer{To: p.member, Message: ServersUpdate{c}})
		default:
			l.forwardCutOff(p, c, now)
		}
	}
}

// forwardCutOff forwards changes to a member that watches the list itself, but has lost
// the store. It gets all entries first, as it may have missed changes; those that were
// removed meanwhile are not told.
func (l *serverList) forwardCutOff(p *peer, c ServerChanges, now Time) {
	switch {
	case p.storeUp || p.remoteSentAt == 0 || !l.storeUp(now):
		p.listForwarded = 0
		return
	case c.ToRevision != l.revision: // after a gap; the list that is read next has the rest
		return
	case p.listForwarded == 0:
		c = ServerChanges{ToRevision: l.revision, Servers: l.sortedEntries()}
	case len(c.Servers)+len(c.Removed) == 0:
		return
	default:
		c.FromRevision = min(c.FromRevision, p.listForwarded)
	}
	p.listForwarded = c.ToRevision
	l.effect(SendPeer{To: p.member, Message: ServersUpdate{c}})
}

func (l *serverList) sortedEntries() []ServerEntry {
	out := make([]ServerEntry, 0, len(l.entries))
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		out = append(out, l.entries[id])
	}
	return out
}

// handleWatched applies changes from this instance's own watch and forwards them.
func (l *serverList) handleWatched(c ServerChanges, now Time) {
	if !l.applyInOrder(c, listSource{way: wayWatch}) {
		l.requestList(now)
	}
	l.broadcast(c, now)
}

// handleUpdate applies changes from a peer, and reports whether entries may have
// changed. After a gap, the whole list is read. A watcher without a list is reading it
// already; a second read delays everything else on a slow link at the start.
func (l *serverList) handleUpdate(from model.Instance, c ServerChanges, now Time) (changed bool) {
	if c.ToRevision >= l.revision {
		l.updatedAt = now // an outdated update says nothing of the current list
	}
	if l.applyInOrder(c, listSource{way: wayPeer, peer: from}) {
		return len(c.Servers)+len(c.Removed) > 0
	}
	if l.revision > 0 || !l.watching {
		l.requestList(now)
	}
	return false
}

// ServerChanges holds changes in the store's list of backend servers after one revision
// up to another.
type ServerChanges struct {
	FromRevision, ToRevision uint64 // of the store
	Servers                  []ServerEntry
	Removed                  []model.ServerID
	// FromDiff marks the differences of two lists. They don't include servers that left
	// and came back in between, so they apply only to a list no newer than the first.
	FromDiff bool
}

// Equal reports whether two entries are equal.
func (e ServerEntry) Equal(o ServerEntry) bool {
	return e.ID == o.ID && e.Service == o.Service && e.Addr == o.Addr && e.Domain == o.Domain && e.State == o.State &&
		e.Capacity == o.Capacity && e.Kind == o.Kind && e.Slots == o.Slots && e.BootMs == o.BootMs && e.sameColdEnd(o) && slices.Equal(e.Labels, o.Labels)
}
