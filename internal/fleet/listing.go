package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of how what the operator and the backend servers write into the store
// comes to the members.
const (
	// sharedListFrom is the number of servers from which only a few members of a
	// cell follow the store. Each server's heartbeats change its entry about once a
	// second, which costs every follower processor time and bytes; and a large
	// configuration, which peers pass on packed, takes seconds of a slow link.
	sharedListFrom = 100
	// listFollowers is how many members of a cell follow the store then, so that
	// the loss of one delays nothing.
	listFollowers = 2
	// listPatience is how long a member goes without news of the list before it
	// reads the list itself, and again: two watches of a follower.
	listPatience = 2 * time.Second
	// listStoreUp is how long after the last renewal in the store it still counts as
	// answering: two renewals.
	listStoreUp = 1200 * time.Millisecond
	// listSilence is how long a follower may be silent before another member takes
	// its place: the link of a weak one is full while a large configuration comes.
	listSilence = 1500 * time.Millisecond
	// listDownFor is how long the store must fail a follower before another member
	// takes its place: longer than listStoreUp.
	listDownFor = 1500 * time.Millisecond
)

// listing is this instance's copy of the store's list of backend servers. The
// strongest members of a cell follow the store and tell the others what has
// changed.
//
// Invariant: entries are the list as it was at revision at. News of changes after
// a later revision is not applied; the whole list is read instead.
type listing struct {
	self       Member
	members    *members
	effect     func(Effect)
	sharedFrom int // servers

	entries   map[model.ServerID]ServerEntry
	at        uint64 // revision of the store
	following bool
	newsAt    Time // last news of a peer, or since when some is to be expected
	renewedAt Time // the store last renewed this instance's entry
	answersAt Time // since when the store has answered without a pause
	askedAt   Time // of the last request for the whole list
}

func newListing(o Options, m *members, now Time, effect func(Effect)) *listing {
	l := &listing{
		self: o.Self, members: m, effect: effect, sharedFrom: o.SharedWatchMinServers,
		entries: map[model.ServerID]ServerEntry{}, following: true, newsAt: now,
	}
	if l.sharedFrom == 0 {
		l.sharedFrom = sharedListFrom
	}
	return l
}

// shared reports whether only some members follow the store.
func (l *listing) shared() bool { return len(l.entries) >= l.sharedFrom }

// chosen reports whether this instance is one of those that follow the store for
// their cell: the strongest, and among those alike the ones without servers, as a
// large configuration keeps a weak link busy for seconds.
func (l *listing) chosen(now Time) bool {
	before := 0
	for _, p := range l.members.order {
		lives := !p.dead && p.everHeard && now.Sub(p.heardAt) < listSilence
		if lives && !p.leaving && !l.storeFails(p, now) && l.prefers(p) {
			before++
		}
	}
	return before < listFollowers
}

// prefers reports whether a peer should follow the store rather than this instance.
func (l *listing) prefers(p *peer) bool {
	if idle := len(p.loads) == 0; p.member.Weight == l.self.Weight && idle == l.members.busy {
		return idle
	}
	return stronger(p.member, l.self)
}

// storeFails reports whether the store answers this instance and not the peer. Each
// member notices the beginning and the end of an outage at another time.
func (l *listing) storeFails(p *peer, now Time) bool {
	return !p.storeUp && now.Sub(p.storeDownAt) > listDownFor && l.storeAnswers(now) && now.Sub(l.answersAt) > listDownFor
}

// renewed notes that the store has renewed this instance's entry.
func (l *listing) renewed(at Time) {
	if at.Sub(l.renewedAt) > listStoreUp {
		l.answersAt = at
	}
	l.renewedAt = at
}

// storeAnswers reports whether the store has answered this instance lately.
func (l *listing) storeAnswers(now Time) bool { return now.Sub(l.renewedAt) <= listStoreUp }

// tick decides whether this instance follows the store, and reads the list of
// servers where news of it is overdue.
func (l *listing) tick(now Time) {
	follow := !l.shared() || l.chosen(now)
	if follow != l.following {
		l.following = follow
		l.effect(WatchStore{Enabled: follow, Servers: len(l.entries)})
	}
	if l.following || !l.storeAnswers(now) {
		l.newsAt = now // after an outage, a follower has news before long
	}
	if now.Sub(l.newsAt) > listPatience {
		l.read(now)
	}
}

// read asks for the whole list, unless that was done a moment ago.
func (l *listing) read(now Time) {
	if l.askedAt == 0 || now.Sub(l.askedAt) >= listPatience {
		l.askedAt = now
		l.effect(ListServers{})
	}
}

// replace takes the whole list in and returns what has changed. An older list
// than the known one changes nothing.
func (l *listing) replace(list []ServerEntry, at uint64) (c ServerChanges) {
	c.FromRevision, c.ToRevision, c.FromDiff = l.at, at, true
	if at < l.at {
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

// change takes changes in and reports whether they follow on what is known.
func (l *listing) change(c ServerChanges) (ok bool) {
	switch {
	case c.ToRevision <= l.at:
		return true
	case c.FromRevision > l.at, c.FromDiff && c.FromRevision != l.at:
		return false
	}
	l.apply(c)
	return true
}

func (l *listing) apply(c ServerChanges) {
	l.at = c.ToRevision
	for _, e := range c.Servers {
		l.entries[e.ID] = e
	}
	for _, id := range c.Removed {
		delete(l.entries, id)
	}
}

// tell passes changes on to the cell if this instance follows the store for it.
func (l *listing) tell(c ServerChanges, now Time) {
	if c.FromRevision == 0 || c.ToRevision == 0 || !l.shared() || !l.chosen(now) {
		return
	}
	for _, p := range l.members.order {
		if p.reachable(now) {
			l.effect(SendPeer{To: p.member, Message: ServersUpdate{c}})
		}
	}
}

// told takes in what a peer passes on, and reports whether entries may have
// changed. After a gap the whole list is read.
func (l *listing) told(c ServerChanges, now Time) (changed bool) {
	l.newsAt = now
	if l.change(c) {
		return len(c.Servers)+len(c.Removed) > 0
	}
	l.read(now)
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
