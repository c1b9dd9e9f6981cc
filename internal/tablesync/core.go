// Package tablesync distributes the table to all instances. One instance per
// failure domain watches the platform and pushes edits to its domain. Instances
// announce their versions, so that each can fetch missing edits from any peer,
// even while the platform is down. Core holds the logic and does no I/O; Runner
// drives it.
package tablesync

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Intervals and limits of the propagation.
const (
	TickInterval     = time.Second
	announceInterval = 5 * time.Second // when nothing changes
	silentAfter      = 3 * announceInterval
	watcherTimeout   = 2 * time.Second // the next instance watches after a watcher failed for this long
	fetchTimeout     = 2 * time.Second
	maxWatchers      = 2    // per failure domain, if the first cannot watch
	maxRecentEdits   = 256  // kept to serve fetches
	chunkRows        = 256  // rows per message
	maxChunks        = 4096 // per table
)

// Peer is another instance.
type Peer struct {
	ID     model.Instance
	Domain model.Domain
}

// Options configures a Core.
type Options struct {
	Self    model.Instance
	Domain  model.Domain
	Domains []model.Domain // all failure domains of the deployment
}

// OutboundMessage is a message to another instance.
type OutboundMessage struct {
	To      model.Instance
	Message *peerpb.TableMessage
}

// Output holds the actions requested since the last call of Ready.
type Output struct {
	Messages []OutboundMessage
	Changed  bool // Snapshot has changed
	InForce  []DomainInForce
}

// DomainInForce reports that, as far as this instance knows, a version is in
// force at every live instance of a failure domain.
type DomainInForce struct {
	Domain  model.Domain
	Version uint64
}

// Core is the state of the propagation at one instance.
type Core struct {
	opts             Options
	snap             *table.Snapshot
	recentEdits      []table.Edit // newest edits, up to the snapshot's version
	peers            []peer       // sorted by ID
	watchOK          bool
	fetchingFrom     model.Instance
	fetchedAt        model.Time
	incoming         chunkBuffer
	announcedVersion uint64
	announcedAt      model.Time
	hasAnnounced     bool
	inForce          map[model.Domain]uint64
	out              Output
}

type peer struct {
	Peer
	watchWorkedAt model.Time // last time its watch worked, initially when it became known
	heardAt       model.Time // last announcement, initially when it became known
	version       uint64
	watching      bool
}

// chunkBuffer collects the chunks of one peer's table in any order.
type chunkBuffer struct {
	from    model.Instance
	version uint64
	chunks  map[uint32][]*peerpb.TableRow
	count   uint32 // number of chunks, 0 until the last one arrives
}

func (b *chunkBuffer) complete() bool { return b.count > 0 && len(b.chunks) == int(b.count) }

// rows returns the rows of a complete table.
func (b *chunkBuffer) rows() []table.Row {
	var rows []table.Row
	for n := range b.count {
		for _, r := range b.chunks[n] {
			rows = append(rows, rowFromProto(r))
		}
	}
	return rows
}

// New returns a core with an empty table.
func New(o Options) *Core {
	return &Core{opts: o, snap: table.Empty(), inForce: make(map[model.Domain]uint64)}
}

// Snapshot returns the table in force.
func (c *Core) Snapshot() *table.Snapshot { return c.snap }

// Ready returns and clears the pending output.
func (c *Core) Ready() Output {
	out := c.out
	c.out = Output{}
	return out
}

func (c *Core) send(to model.Instance, m *peerpb.TableMessage) {
	c.out.Messages = append(c.out.Messages, OutboundMessage{To: to, Message: m})
}

// SetPeers replaces the list of live peers, which excludes this instance. It
// announces this instance's version to new peers; they reply if theirs is newer.
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

// ShouldWatch reports whether this instance should watch the platform: the one
// with the lowest ID in its failure domain does, and the next one if that one's
// watch does not work.
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

// hasWorkingWatch reports whether a peer's watch can be relied on.
func (p peer) hasWorkingWatch(now model.Time) bool {
	if now.Sub(p.watchWorkedAt) < watcherTimeout {
		return true
	}
	return p.watching && !p.silent(now)
}

// WatchSucceeded installs the table read from the platform. edits are the newest
// edits up to its version, where known. An older table is ignored.
func (c *Core) WatchSucceeded(snap *table.Snapshot, edits []table.Edit) {
	c.setWatch(true)
	c.Install(snap, edits)
}

// Install puts a table in force and pushes its new edits to the peers in the
// failure domain. An older table is ignored.
func (c *Core) Install(snap *table.Snapshot, edits []table.Edit) {
	before := c.snap.Version()
	if !c.replaceIfNewer(snap, edits) {
		return
	}
	newer := editsAfter(c.recentEdits, before)
	for _, p := range c.peers {
		if p.Domain != c.opts.Domain || p.version >= c.snap.Version() {
			continue
		}
		if len(newer) > 0 {
			c.send(p.ID, editsMessage(newer))
		} else {
			c.send(p.ID, c.announcement())
		}
	}
}

// WatchFailed records that the watch of the platform failed.
func (c *Core) WatchFailed() { c.setWatch(false) }

// setWatch announces a change to the peers in the domain at once, so that the
// next one takes over the watch.
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

// extendRecentEdits appends newer edits to recent, which ends at version. A gap
// before or after the newer edits discards what precedes it.
func extendRecentEdits(recent []table.Edit, version uint64, edits []table.Edit, upto uint64) []table.Edit {
	newer := editsAfter(edits, version)
	if len(newer) == 0 || newer[len(newer)-1].Version != upto {
		return nil
	}
	if newer[0].Version != version+1 {
		recent = nil
	}
	recent = append(slices.Clone(recent), newer...)
	return recent[max(0, len(recent)-maxRecentEdits):]
}

// editsAfter returns the edits after a version.
func editsAfter(edits []table.Edit, version uint64) []table.Edit {
	i, _ := slices.BinarySearchFunc(edits, version+1, func(e table.Edit, v uint64) int { return cmp.Compare(e.Version, v) })
	return edits[i:]
}

// Tick advances the timers; the caller calls it every TickInterval.
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

// updateInForce reports the failure domains where a newer version came in force.
func (c *Core) updateInForce(now model.Time) {
	for _, s := range c.Status(now, 0) {
		if s.Reach != ReachCutOff && s.Version > c.inForce[s.Domain] {
			c.inForce[s.Domain] = s.Version
			c.out.InForce = append(c.out.InForce, DomainInForce{Domain: s.Domain, Version: s.Version})
		}
	}
}

// Receive handles a message from another instance.
func (c *Core) Receive(now model.Time, from model.Instance, m *peerpb.TableMessage) {
	switch body := m.GetBody().(type) {
	case *peerpb.TableMessage_Announce:
		c.onAnnounce(now, from, body.Announce)
	case *peerpb.TableMessage_Fetch:
		c.onFetch(from, body.Fetch.GetHave())
	case *peerpb.TableMessage_Edits:
		c.onEdits(now, from, editsFromProto(body.Edits))
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

// fetchFrom requests newer edits from a peer unless a fetch is in flight.
func (c *Core) fetchFrom(now model.Time, from model.Instance) {
	if c.fetchingFrom != "" && now.Sub(c.fetchedAt) < fetchTimeout {
		return
	}
	c.fetchingFrom = from
	c.fetchedAt = now
	c.send(from, fetchMessage(c.snap.Version()))
}

// catchUp fetches from the peer with the newest known version. It covers
// fetches that were lost or went to a peer that lacks the version.
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
	newer := editsAfter(c.recentEdits, have)
	if len(newer) > 0 && newer[0].Version == have+1 {
		c.send(from, editsMessage(newer))
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
	b := &c.incoming
	if m.GetVersion() <= c.snap.Version() || m.GetChunk() >= maxChunks {
		return
	}
	if b.from != from || b.version != m.GetVersion() {
		*b = chunkBuffer{from: from, version: m.GetVersion(), chunks: make(map[uint32][]*peerpb.TableRow)}
	}
	b.chunks[m.GetChunk()] = m.GetRows()
	if m.GetLast() {
		b.count = m.GetChunk() + 1
	}
	if !b.complete() {
		return
	}
	if c.fetchingFrom == from {
		c.fetchingFrom = ""
	}
	c.replaceIfNewer(table.NewSnapshot(b.version, b.rows()), nil)
	c.incoming = chunkBuffer{}
}
