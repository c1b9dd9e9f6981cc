package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of what members hear of each other.
const (
	// peerTimeout is how long a member that is heard may stay silent: several
	// beats and one lost connection.
	peerTimeout = 600 * time.Millisecond
	// echoTimeout is how old the last beat may be that a peer is known to have taken
	// in. It bounds what messages wait on their way and at both ends, which the time
	// of arrival doesn't tell: an owner gives the jobs of a peer up before that peer
	// may let them run elsewhere, RunsGoneWithin after it last heard of the owner.
	echoTimeout = 900 * time.Millisecond
	// heartbeatInterval is the time between beats to a peer.
	heartbeatInterval = 100 * time.Millisecond
	// idleHeartbeatInterval is the time between beats to a peer while neither end has servers or
	// jobs: all that the one has to know of the other is that it may become an owner.
	idleHeartbeatInterval = 800 * time.Millisecond
	// idlePeerTimeout and idleEchoLimit take the places of peerSilence and echoLimit
	// then: two lost beats.
	idlePeerTimeout = 2 * time.Second
	idleEchoTimeout = 2500 * time.Millisecond
	// busyLinger is how long a peer still counts as busy after both ends have become
	// idle, so that they change their pace at about the same time.
	busyLinger = 2 * time.Second
	// heartbeatIntervalPerPeer bounds beats of large fleets to a few hundred a second.
	heartbeatIntervalPerPeer = 5 * time.Millisecond
	// missingTimeout is how long a member must be missing in the store before
	// that counts: a key may vanish and come back while the store settles.
	missingTimeout = 300 * time.Millisecond
	// otherCellTimeout is the same for members of other cells, which aren't heard: twice
	// the time that an entry outlasts its instance.
	otherCellTimeout = 3 * time.Second
	// deadRetention is how long a dead member is dialed: it may be cut off.
	deadRetention = 20 * time.Second
)

// members follows the other instances of the fleet.
type members struct {
	self    Member
	effect  func(Effect)
	storeUp bool
	busy    bool // this instance has servers or jobs
	listed  bool // the store has listed the members at least once
	peers   map[model.Instance]*peer
	order   []*peer // by name
	// replaced are lives that a later one has followed and whose loss was not
	// handled yet.
	replaced   []*peer
	cells      cells
	otherCells map[model.Instance]otherCellMember // members of other cells
}

func newMembers(self Member, effect func(Effect)) *members {
	return &members{
		self: self, effect: effect, peers: map[model.Instance]*peer{}, cells: cells{1}, otherCells: map[model.Instance]otherCellMember{},
	}
}

// inCell reports whether a server or an instance belongs to the cell of this
// instance.
func (m *members) inCell(name string) bool { return m.cells.sameCell(name, string(m.self.Instance)) }

// echoedAt returns when the last message was sent that an instance is known to have
// taken in.
func (m *members) echoedAt(x Member, now Time) Time {
	if x.Instance == m.self.Instance {
		return now
	}
	if p := m.peers[x.Instance]; p != nil && p.member.sameIncarnation(x) {
		return p.echoedAt
	}
	return now.Add(-echoTimeout) // it is gone, and so are its jobs soon
}

// wantedAt returns when a job was last known to be wanted: by the instance that
// offered it and, if that one only keeps its queue, by the one that holds its
// caller. The first may be too slow to tell of the second.
func (m *members) wantedAt(j *job, now Time) Time {
	since := m.echoedAt(j.origin, now)
	if h := j.home(); h.Instance != "" {
		since = min(since, m.echoedAt(h, now))
	}
	return since
}

// addPeer returns the peer of a member; a later life of the same instance
// replaces an earlier one. It returns nil for this instance and for earlier
// lives.
func (m *members) addPeer(x Member, now Time) *peer {
	if x.Instance == m.self.Instance {
		return nil
	}
	p := m.peers[x.Instance]
	switch {
	case p == nil:
	case p.member.Incarnation == x.Incarnation:
		if x.Addr != "" {
			p.member = x
		}
		return p
	case p.member.Incarnation > x.Incarnation:
		return nil
	case !p.lossHandled:
		p.dead, p.replaced = true, true
		m.replaced = append(m.replaced, p)
	}
	p = &peer{member: x, missingSince: now, busyAt: now, active: true}
	m.peers[x.Instance] = p
	m.order = slices.DeleteFunc(m.order, func(o *peer) bool { return o.member.Instance == x.Instance })
	m.order = append(m.order, p)
	slices.SortFunc(m.order, func(a, b *peer) int { return cmp.Compare(a.member.Instance, b.member.Instance) })
	m.effect(LogEntry{Kind: LogMemberLive, Peer: x.Instance, Reason: string(x.Incarnation)})
	m.effect(Connect{Peer: x})
	return p
}

// handleListed takes in the members that the store lists, and reports whether this
// instance's cell is another now.
func (m *members) handleListed(list []Member, now Time) (moved bool) {
	m.listed = true
	if moved = m.cells.resize(len(list)); moved {
		m.dropOtherCells()
	}
	present := map[model.Instance]model.Incarnation{}
	for _, x := range list {
		present[x.Instance] = x.Incarnation
		if m.inCell(string(x.Instance)) {
			delete(m.otherCells, x.Instance)
			m.addPeer(x, now)
		} else {
			m.otherCells[x.Instance] = otherCellMember{incarnation: x.Incarnation}
		}
	}
	for i, s := range m.otherCells {
		switch _, in := present[i]; {
		case in:
		case s.missingSince == 0:
			s.missingSince = now
			m.otherCells[i] = s
		case now.Sub(s.missingSince) > deadRetention:
			delete(m.otherCells, i)
		}
	}
	for _, p := range m.order {
		in := present[p.member.Instance] == p.member.Incarnation
		if p.inStore && !in {
			p.missingSince = now
		}
		p.inStore = in
	}
	return moved
}

// dropOtherCells ends the links to members of other cells. What was asked of them
// and by them is given up.
func (m *members) dropOtherCells() {
	m.order = slices.DeleteFunc(m.order, func(p *peer) bool {
		if m.inCell(string(p.member.Instance)) {
			return false
		}
		if !p.lossHandled {
			m.replaced = append(m.replaced, p)
		}
		p.dead, p.replaced = true, true
		delete(m.peers, p.member.Instance)
		m.effect(Disconnect{Peer: p.member})
		return true
	})
}

// detectLost marks members as dead, and returns those that were lost since the last
// call: dead, or not heard of for too long.
func (m *members) detectLost(now Time) (lost []*peer) {
	lost, m.replaced = m.replaced, nil
	for _, p := range m.order {
		if !p.dead && m.isDead(p, now) {
			p.dead, p.deadAt = true, now
			m.effect(LogEntry{Kind: LogMemberDead, Peer: p.member.Instance, Age: now.Sub(p.heardAt), Reason: deathReason(p)})
		}
		gone := p.dead || p.everHeard && (!p.responsive(now) || p.remoteReceiveAge >= p.timeout(now) || !p.fresh(now))
		if gone && !p.lossHandled {
			lost = append(lost, p)
		}
		p.lossHandled = gone
	}
	m.forgetDead(now)
	return lost
}

// forgetDead drops members that have been dead for long.
func (m *members) forgetDead(now Time) {
	m.order = slices.DeleteFunc(m.order, func(p *peer) bool {
		old := p.dead && !p.inStore && now.Sub(p.deadAt) > deadRetention
		if old {
			delete(m.peers, p.member.Instance)
			m.effect(Disconnect{Peer: p.member})
		}
		return old
	})
}

// isDead decides that a life of a member has ended. Silence alone is no proof,
// as a link may be cut, and a vanished key is none, as the store may lose keys.
func (m *members) isDead(p *peer, now Time) bool {
	if p.refused && (!p.everHeard || p.heardAt <= p.refusedAt) {
		return true
	}
	vanished := m.storeUp && !p.inStore && now.Sub(p.missingSince) > missingTimeout
	return vanished && !p.responsive(now)
}

func deathReason(p *peer) string {
	if p.refused {
		return "connection refused"
	}
	return "silent and not in the store"
}

// reconnectQuiet replaces links that may be silent in one direction.
func (m *members) reconnectQuiet(now Time) {
	for _, p := range m.order {
		doubt := p.timeout(now) / 2
		quiet := now.Sub(p.heardAt) > doubt || p.remoteReceiveAge > doubt
		if p.linked && quiet && now.Sub(p.linkedAt) > doubt {
			p.linkedAt = now
			m.effect(Reconnect{Peer: p.member})
		}
	}
}

// incarnationEnded reports whether a life of an instance is known to be over.
func (m *members) incarnationEnded(i model.Instance, life model.Incarnation, now Time) bool {
	if i == m.self.Instance {
		return life != m.self.Incarnation
	}
	p := m.peers[i]
	if p == nil {
		if s, ok := m.otherCells[i]; ok {
			return m.storeUp && s.ended(life, now)
		}
		// Never heard of, and not listed although the store answers.
		return m.storeUp
	}
	return p.member.Incarnation > life || p.member.Incarnation == life && p.dead
}

// allReachable reports whether every other member hears this instance that may live:
// one that refuses connections may be cut off, as long as the store lists it.
func (m *members) allReachable(now Time) bool {
	return !slices.ContainsFunc(m.order, func(p *peer) bool { return (!p.dead || p.inStore) && !p.reachable(now) })
}

// expired reports whether a life of an instance is over for its kept jobs as
// well: the store must have dropped it, since that is what its own view of the
// store tells it before anybody takes the jobs over.
func (m *members) expired(i model.Instance, life model.Incarnation, now Time) bool {
	if !m.listed || !m.incarnationEnded(i, life, now) {
		return false
	}
	p := m.peers[i]
	return p == nil || p.member.Incarnation > life || m.storeUp && !p.inStore
}

// newlyExpired returns the members that are expired since the last call.
func (m *members) newlyExpired(now Time) (out []*peer) {
	for _, p := range m.order {
		gone := p.dead && m.expired(p.member.Instance, p.member.Incarnation, now)
		if gone && !p.expiryHandled {
			out = append(out, p)
		}
		p.expiryHandled = gone
	}
	return out
}

// candidates returns the members of a domain that may own backend servers, this
// instance among them unless it leaves.
func (m *members) candidates(d model.Domain, leaving bool, now Time) []Member {
	var out []Member
	if !leaving && (d == "" || m.self.Domain == d) {
		out = append(out, m.self)
	}
	for _, p := range m.order {
		if p.reachable(now) && !p.leaving && (d == "" || p.member.Domain == d) {
			out = append(out, p.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// maxSharedQueueServers is the most servers whose owners share one queue: a queue sees
// each task that has to wait for one of them.
const maxSharedQueueServers = 100

// queueOwner returns the owner whose queue takes the jobs that can't start at
// once, nil for this instance. All owners of a group pick the same one while
// they reach each other; nothing breaks if they don't.
func (m *members) queueOwner(service string, own int, now Time) *peer {
	best, bestMember, found := (*peer)(nil), m.self, own > 0
	total := own
	for _, p := range m.order {
		n := p.load(service).Servers
		if n == 0 || p.leaving || !p.reachable(now) {
			continue
		}
		total += n
		if !found || stronger(p.member, bestMember) {
			best, bestMember, found = p, p.member, true
		}
	}
	switch {
	case total <= maxSharedQueueServers:
		return best
	case own > 0:
		return nil
	}
	return m.leastBusy(service, now)
}

// leastBusy returns the owner with the shortest wait, one of the own domain if
// there is any.
func (m *members) leastBusy(service string, now Time) *peer {
	var best *peer
	for _, p := range m.order {
		if p.load(service).Servers == 0 || p.leaving || !p.reachable(now) {
			continue
		}
		if best == nil || m.preferred(p, best, service) {
			best = p
		}
	}
	return best
}

func (m *members) preferred(a, b *peer, service string) bool {
	if aNear, bNear := a.member.Domain == m.self.Domain, b.member.Domain == m.self.Domain; aNear != bNear {
		return aNear
	}
	return a.load(service).ExpectedWait < b.load(service).ExpectedWait
}

// stronger orders members by their processors, those alike by a hash of their
// names. All instances order them the same way.
func stronger(a, b Member) bool {
	return cmp.Or(
		cmp.Compare(b.Weight, a.Weight),
		cmp.Compare(rank("queue", a.Instance), rank("queue", b.Instance)),
		cmp.Compare(a.Instance, b.Instance)) < 0
}

// heartbeatEvery returns the time between beats to a peer.
func (m *members) heartbeatEvery(p *peer) time.Duration {
	if !p.active {
		return idleHeartbeatInterval
	}
	return max(heartbeatInterval, time.Duration(len(m.order))*heartbeatIntervalPerPeer)
}

// updateActive decides which peers are beaten to often: all if this instance is busy,
// else those that are.
func (m *members) updateActive(now Time) {
	for _, p := range m.order {
		p.updateActive(m.busy, now)
	}
}
