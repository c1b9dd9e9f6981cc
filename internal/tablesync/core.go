// Package tablesync brings every instance to the newest table. One instance
// of a failure domain watches the platform and passes edits on; announcements
// of versions let each instance fetch what it lacks from any peer, also while
// the platform is down. Core decides and does no I/O; Runner drives it.
package tablesync

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Times and bounds of the propagation.
const (
	TickInterval     = time.Second
	announceInterval = 5 * time.Second // when nothing changes
	silentAfter      = 3 * announceInterval
	watcherTimeout   = 2 * time.Second // a watcher's silence after which the next in line watches
	fetchTimeout     = 2 * time.Second
	maxWatchers      = 2    // of a failure domain, when the first cannot watch
	maxRecentEdits   = 256  // edits kept to serve fetches
	chunkRows        = 256  // rows of one message
	maxChunks        = 4096 // of one table
)

// Peer is another instance.
type Peer struct {
	ID     model.Instance
	Domain model.Domain
}

// Options are the settings of a Core.
type Options struct {
	Self    model.Instance
	Domain  model.Domain
	Domains []model.Domain // all failure domains of the deployment
}

// OutgoingMessage is a message to another instance.
type OutgoingMessage struct {
	To      model.Instance
	Message *peerpb.TableMessage
}

// Output is what is to be done since the last call of Ready.
type Output struct {
	Messages []OutgoingMessage
	Changed  bool // Snapshot has changed
	InForce  []DomainInForce
}

// DomainInForce says that a version is in force at every live instance of a failure
// domain, as far as this instance knows.
type DomainInForce struct {
	Domain  model.Domain
	Version uint64
}

// Core is the state of the propagation at one instance.
type Core struct {
	opts             Options
	snap             *table.Snapshot
	recentEdits      []table.Edit // the newest edits, up to the snapshot's version
	peers            []peer       // in order of ID
	watchOK          bool
	fetchingFrom     model.Instance
	fetchedAt        model.Time
	chunks           chunkBuffer
	announcedVersion uint64
	announcedAt      model.Time
	hasAnnounced     bool
	inForce          map[model.Domain]uint64
	out              Output
}

type peer struct {
	Peer
	watchWorkedAt model.Time // when its watch worked last, or it became known
	heardAt       model.Time // when it was last heard of, or it became known
	version       uint64
	watching      bool
}

// chunkBuffer collects the chunks of one table from one peer, in any order.
type chunkBuffer struct {
	from    model.Instance
	version uint64
	chunks  map[uint32][]*peerpb.TableRow
	count   uint32 // number of chunks, 0 while the last is missing
}

func (a *chunkBuffer) complete() bool { return a.count > 0 && len(a.chunks) == int(a.count) }

// rows returns the rows of a whole table.
func (a *chunkBuffer) rows() []table.Row {
	var rows []table.Row
	for n := range a.count {
		for _, r := range a.chunks[n] {
			rows = append(rows, rowFromWire(r))
		}
	}
	return rows
}

// New returns a core with the empty table.
func New(o Options) *Core {
	return &Core{opts: o, snap: table.Empty(), inForce: make(map[model.Domain]uint64)}
}

// Snapshot returns the table in force.
func (c *Core) Snapshot() *table.Snapshot { return c.snap }

// Ready returns and clears what is to be done.
func (c *Core) Ready() Output {
	out := c.out
	c.out = Output{}
	return out
}

func (c *Core) send(to model.Instance, m *peerpb.TableMessage) {
	c.out.Messages = append(c.out.Messages, OutgoingMessage{To: to, Message: m})
}

// SetPeers replaces the list of live instances, this one left out. A new peer
// is told this instance's version; the answer brings what is newer.
func (c *Core) SetPeers(now model.Time, list []Peer) {
	old := c.peers
	c.peers = make([]peer, 0, len(list))
	for _, p := range list {
		i, known := findPeer(old, p.ID)
		if known && old[i].Domain == p.Domain {
			c.peers = append(c.peers, old[i])
			continue
		}
		c.peers = append(c.peers, peer{Peer: p, watchWorkedAt: now, heardAt: now})
		c.send(p.ID, c.announcement())
	}
	slices.SortFunc(c.peers, func(a, b peer) int { return cmp.Compare(a.ID, b.ID) })
}

func findPeer(list []peer, id model.Instance) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(p peer, id model.Instance) int { return cmp.Compare(p.ID, id) })
}

func (c *Core) announcement() *peerpb.TableMessage {
	return announceMessage(c.snap.Version(), c.opts.Domain, c.watchOK)
}

// ShouldWatch reports whether this instance is to watch the platform: the
// first of its failure domain in order of ID is, and the next one when the
// first has no working watch.
func (c *Core) ShouldWatch(now model.Time) bool {
	ahead := 0
	for _, p := range c.peers {
		if p.Domain != c.opts.Domain || p.ID > c.opts.Self {
			continue
		}
		if p.hasWorkingWatch(now) {
			return false
		}
		ahead++
	}
	return ahead < maxWatchers
}

// hasWorkingWatch reports whether a peer's watch is to be relied on.
func (p peer) hasWorkingWatch(now model.Time) bool {
	if now.Sub(p.watchWorkedAt) < watcherTimeout {
		return true
	}
	return p.watching && !p.silent(now)
}

// WatchSucceeded takes the table from the platform. edits are the newest ones up to
// its version, as far as they are known. An older table is ignored.
func (c *Core) WatchSucceeded(snap *table.Snapshot, edits []table.Edit) {
	c.setWatch(true)
	c.Install(snap, edits)
}

// Install takes a table and passes its news on to the peers of the failure
// domain. An older table is ignored.
func (c *Core) Install(snap *table.Snapshot, edits []table.Edit) {
	before := c.snap.Version()
	if !c.replaceIfNewer(snap, edits) {
		return
	}
	news := editsAfter(c.recentEdits, before)
	for _, p := range c.peers {
		if p.Domain != c.opts.Domain || p.version >= c.snap.Version() {
			continue
		}
		if len(news) > 0 {
			c.send(p.ID, editsMessage(news))
		} else {
			c.send(p.ID, c.announcement())
		}
	}
}

// WatchFailed says that the watch of the platform has failed.
func (c *Core) WatchFailed() { c.setWatch(false) }

// setWatch tells the peers of the domain at once, so that the next in line
// takes over.
func (c *Core) setWatch(ok bool) {
	if c.watchOK == ok {
		return
	}
	c.watchOK = ok
	for _, p := range c.peers {
		if p.Domain == c.opts.Domain {
			c.send(p.ID, c.announcement())
		}
	}
}

// replaceIfNewer puts a table in force if it is newer.
func (c *Core) replaceIfNewer(snap *table.Snapshot, edits []table.Edit) bool {
	if snap.Version() <= c.snap.Version() {
		return false
	}
	c.recentEdits = extendRecentEdits(c.recentEdits, c.snap.Version(), edits, snap.Version())
	c.snap = snap
	c.out.Changed = true
	return true
}

// extendRecentEdits extends a tail that ends at version by newer edits. Without a
// gap-free way to the new version the tail starts anew.
func extendRecentEdits(tail []table.Edit, version uint64, edits []table.Edit, upto uint64) []table.Edit {
	news := editsAfter(edits, version)
	if len(news) == 0 || news[len(news)-1].Version != upto {
		return nil
	}
	if news[0].Version != version+1 {
		tail = nil
	}
	tail = append(slices.Clone(tail), news...)
	return tail[max(0, len(tail)-maxRecentEdits):]
}

// editsAfter returns the edits after a version.
func editsAfter(edits []table.Edit, version uint64) []table.Edit {
	i, _ := slices.BinarySearchFunc(edits, version+1, func(e table.Edit, v uint64) int { return cmp.Compare(e.Version, v) })
	return edits[i:]
}

// Tick advances timers; it is called every TickInterval.
func (c *Core) Tick(now model.Time) {
	c.updateInForce(now)
	c.catchUp(now)
	due := !c.hasAnnounced || now.Sub(c.announcedAt) >= announceInterval
	if !due && c.announcedVersion == c.snap.Version() {
		return
	}
	c.hasAnnounced = true
	c.announcedVersion = c.snap.Version()
	c.announcedAt = now
	for _, p := range c.peers {
		c.send(p.ID, c.announcement())
	}
}

// updateInForce reports the failure domains where a newer version has come in
// force.
func (c *Core) updateInForce(now model.Time) {
	for _, s := range c.Status(now, 0) {
		if s.Reach != ReachCutOff && s.Version > c.inForce[s.Domain] {
			c.inForce[s.Domain] = s.Version
			c.out.InForce = append(c.out.InForce, DomainInForce{Domain: s.Domain, Version: s.Version})
		}
	}
}

// Receive takes a message from another instance.
func (c *Core) Receive(now model.Time, from model.Instance, m *peerpb.TableMessage) {
	switch body := m.GetBody().(type) {
	case *peerpb.TableMessage_Announce:
		c.onAnnounce(now, from, body.Announce)
	case *peerpb.TableMessage_Fetch:
		c.onFetch(from, body.Fetch.GetHave())
	case *peerpb.TableMessage_Edits:
		c.onEdits(now, from, editsFromWire(body.Edits))
	case *peerpb.TableMessage_Chunk:
		c.onChunk(from, body.Chunk)
	}
}

func (c *Core) onAnnounce(now model.Time, from model.Instance, a *peerpb.TableAnnounce) {
	if i, ok := findPeer(c.peers, from); ok {
		c.peers[i].heardAt = now
		c.peers[i].version = a.GetVersion()
		c.peers[i].watching = a.GetWatching()
		if a.GetWatching() {
			c.peers[i].watchWorkedAt = now
		}
	}
	switch {
	case a.GetVersion() > c.snap.Version():
		c.fetchFrom(now, from)
	case a.GetVersion() < c.snap.Version():
		c.send(from, c.announcement())
	}
}

// fetchFrom asks a peer for what is newer, unless another fetch is under way.
func (c *Core) fetchFrom(now model.Time, from model.Instance) {
	if c.fetchingFrom != "" && now.Sub(c.fetchedAt) < fetchTimeout {
		return
	}
	c.fetchingFrom = from
	c.fetchedAt = now
	c.send(from, fetchMessage(c.snap.Version()))
}

// catchUp asks a peer for a version that is known to be in force there. It
// repeats fetches that were lost or went to a peer that lacks the version.
func (c *Core) catchUp(now model.Time) {
	newest, version := model.Instance(""), c.snap.Version()
	for _, p := range c.peers {
		if p.version > version && !p.silent(now) {
			newest, version = p.ID, p.version
		}
	}
	if newest != "" {
		c.fetchFrom(now, newest)
	}
}

func (c *Core) onFetch(from model.Instance, have uint64) {
	if have >= c.snap.Version() {
		return
	}
	news := editsAfter(c.recentEdits, have)
	if len(news) > 0 && news[0].Version == have+1 {
		c.send(from, editsMessage(news))
		return
	}
	for _, m := range chunkMessages(c.snap) {
		c.send(from, m)
	}
}

func (c *Core) onEdits(now model.Time, from model.Instance, edits []table.Edit) {
	if c.fetchingFrom == from {
		c.fetchingFrom = ""
	}
	next, ok := c.snap.Apply(edits)
	if !ok {
		c.fetchFrom(now, from)
		return
	}
	c.replaceIfNewer(next, edits)
}

func (c *Core) onChunk(from model.Instance, m *peerpb.TableChunk) {
	a := &c.chunks
	if m.GetVersion() <= c.snap.Version() || m.GetChunk() >= maxChunks {
		return
	}
	if a.from != from || a.version != m.GetVersion() {
		*a = chunkBuffer{from: from, version: m.GetVersion(), chunks: make(map[uint32][]*peerpb.TableRow)}
	}
	a.chunks[m.GetChunk()] = m.GetRows()
	if m.GetLast() {
		a.count = m.GetChunk() + 1
	}
	if !a.complete() {
		return
	}
	if c.fetchingFrom == from {
		c.fetchingFrom = ""
	}
	c.replaceIfNewer(table.NewSnapshot(a.version, a.rows()), nil)
	c.chunks = chunkBuffer{}
}
