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
	TickInterval    = time.Second
	announceEvery   = 5 * time.Second // when nothing changes
	silentAfter     = 3 * announceEvery
	watchBrokenWait = 2 * time.Second // a watcher's silence after which the next in line watches
	fetchTimeout    = 2 * time.Second
	maxWatchers     = 2    // of a failure domain, when the first cannot watch
	maxTail         = 256  // edits kept to serve fetches
	chunkRows       = 256  // rows of one message
	maxChunks       = 4096 // of one table
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
	opts         Options
	snap         *table.Snapshot
	tail         []table.Edit // the newest edits, up to the snapshot's version
	peers        []peer       // in order of ID
	watchOK      bool
	fetching     model.Instance
	fetchedAt    model.Time
	loading      assembly
	announced    uint64
	announcedAt  model.Time
	everAnnounce bool
	reached      map[model.Domain]uint64
	out          Output
}

type peer struct {
	Peer
	worked   model.Time // when its watch worked last, or it became known
	heard    model.Time // when it was last heard of, or it became known
	version  uint64
	watching bool
}

// assembly collects the chunks of one table from one peer, in any order.
type assembly struct {
	from    model.Instance
	version uint64
	chunks  map[uint32][]*peerpb.TableRow
	count   uint32 // number of chunks, 0 while the last is missing
}

func (a *assembly) whole() bool { return a.count > 0 && len(a.chunks) == int(a.count) }

// rows returns the rows of a whole table.
func (a *assembly) rows() []table.Row {
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
	return &Core{opts: o, snap: table.Empty(), reached: make(map[model.Domain]uint64)}
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
		i, known := find(old, p.ID)
		if known && old[i].Domain == p.Domain {
			c.peers = append(c.peers, old[i])
			continue
		}
		c.peers = append(c.peers, peer{Peer: p, worked: now, heard: now})
		c.send(p.ID, c.announcement())
	}
	slices.SortFunc(c.peers, func(a, b peer) int { return cmp.Compare(a.ID, b.ID) })
}

func find(list []peer, id model.Instance) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(p peer, id model.Instance) int { return cmp.Compare(p.ID, id) })
}

func (c *Core) announcement() *peerpb.TableMessage {
	return announce(c.snap.Version(), c.opts.Domain, c.watchOK)
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
		if p.watches(now) {
			return false
		}
		ahead++
	}
	return ahead < maxWatchers
}

// watches reports whether a peer's watch is to be relied on.
func (p peer) watches(now model.Time) bool {
	if now.Sub(p.worked) < watchBrokenWait {
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
	if !c.take(snap, edits) {
		return
	}
	news := since(c.tail, before)
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

// take puts a table in force if it is newer.
func (c *Core) take(snap *table.Snapshot, edits []table.Edit) bool {
	if snap.Version() <= c.snap.Version() {
		return false
	}
	c.tail = joinTail(c.tail, c.snap.Version(), edits, snap.Version())
	c.snap = snap
	c.out.Changed = true
	return true
}

// joinTail extends a tail that ends at version by newer edits. Without a
// gap-free way to the new version the tail starts anew.
func joinTail(tail []table.Edit, version uint64, edits []table.Edit, upto uint64) []table.Edit {
	news := since(edits, version)
	if len(news) == 0 || news[len(news)-1].Version != upto {
		return nil
	}
	if news[0].Version != version+1 {
		tail = nil
	}
	tail = append(slices.Clone(tail), news...)
	return tail[max(0, len(tail)-maxTail):]
}

// since returns the edits after a version.
func since(edits []table.Edit, version uint64) []table.Edit {
	i, _ := slices.BinarySearchFunc(edits, version+1, func(e table.Edit, v uint64) int { return cmp.Compare(e.Version, v) })
	return edits[i:]
}

// Tick advances timers; it is called every TickInterval.
func (c *Core) Tick(now model.Time) {
	c.noteReached(now)
	c.catchUp(now)
	due := !c.everAnnounce || now.Sub(c.announcedAt) >= announceEvery
	if !due && c.announced == c.snap.Version() {
		return
	}
	c.everAnnounce = true
	c.announced = c.snap.Version()
	c.announcedAt = now
	for _, p := range c.peers {
		c.send(p.ID, c.announcement())
	}
}

// noteReached reports the failure domains where a newer version has come in
// force.
func (c *Core) noteReached(now model.Time) {
	for _, s := range c.Status(now, 0) {
		if s.Reach != ReachCutOff && s.Version > c.reached[s.Domain] {
			c.reached[s.Domain] = s.Version
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
	if i, ok := find(c.peers, from); ok {
		c.peers[i].heard = now
		c.peers[i].version = a.GetVersion()
		c.peers[i].watching = a.GetWatching()
		if a.GetWatching() {
			c.peers[i].worked = now
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
	if c.fetching != "" && now.Sub(c.fetchedAt) < fetchTimeout {
		return
	}
	c.fetching = from
	c.fetchedAt = now
	c.send(from, fetch(c.snap.Version()))
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
	news := since(c.tail, have)
	if len(news) > 0 && news[0].Version == have+1 {
		c.send(from, editsMessage(news))
		return
	}
	for _, m := range chunks(c.snap) {
		c.send(from, m)
	}
}

func (c *Core) onEdits(now model.Time, from model.Instance, edits []table.Edit) {
	if c.fetching == from {
		c.fetching = ""
	}
	next, ok := c.snap.Apply(edits)
	if !ok {
		c.fetchFrom(now, from)
		return
	}
	c.take(next, edits)
}

func (c *Core) onChunk(from model.Instance, m *peerpb.TableChunk) {
	a := &c.loading
	if m.GetVersion() <= c.snap.Version() || m.GetChunk() >= maxChunks {
		return
	}
	if a.from != from || a.version != m.GetVersion() {
		*a = assembly{from: from, version: m.GetVersion(), chunks: make(map[uint32][]*peerpb.TableRow)}
	}
	a.chunks[m.GetChunk()] = m.GetRows()
	if m.GetLast() {
		a.count = m.GetChunk() + 1
	}
	if !a.whole() {
		return
	}
	if c.fetching == from {
		c.fetching = ""
	}
	c.take(table.NewSnapshot(a.version, a.rows()), nil)
	c.loading = assembly{}
}
