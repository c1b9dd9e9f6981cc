package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Timing of failure detection between members.
const (
	// peerTimeout is how long a responsive member may be silent: several heartbeats and
	// one lost connection.
	peerTimeout = 600 * time.Millisecond
	// echoTimeout is the maximum age of the last heartbeat that a peer is known to have
	// processed. It bounds queueing delays in transit and at both ends, which the time
	// of arrival doesn't show: an owner cancels the jobs of a peer before that peer may
	// run them elsewhere, MaxOrphanRunTime after it last heard from the owner.
	echoTimeout = 900 * time.Millisecond
	// heartbeatInterval is the time between heartbeats to a peer.
	heartbeatInterval = 100 * time.Millisecond
	// idleHeartbeatInterval applies while neither end has servers or jobs: each only
	// needs to know that the other may become an owner.
	idleHeartbeatInterval = 800 * time.Millisecond
	// idlePeerTimeout and idleEchoTimeout replace peerTimeout and echoTimeout in that
	// case: two lost heartbeats.
	idlePeerTimeout = 2 * time.Second
	idleEchoTimeout = 2500 * time.Millisecond
	// busyLinger is how long a peer still counts as busy after both ends have become
	// idle, so that they change their heartbeat rates at about the same time.
	busyLinger = 2 * time.Second
	// heartbeatIntervalPerPeer limits heartbeats in large fleets to a few hundred a
	// second.
	heartbeatIntervalPerPeer = 5 * time.Millisecond
	// missingTimeout is how long a member must be missing from the store to count as
	// gone: a key may briefly vanish while the store settles.
	missingTimeout = 300 * time.Millisecond
	// otherCellTimeout is the same for members of other cells, which send no heartbeats
	// here: twice the time that an entry outlasts its instance.
	otherCellTimeout = 3 * time.Second
	// deadRetention is how long a dead member is still dialed, as it may be
	// partitioned.
	deadRetention = 20 * time.Second
)

// members tracks the other instances of the fleet.
type members struct {
	self         Member
	effect       func(Effect)
	storeUp      bool
	busy         bool // this instance has servers or jobs
	hasServers   bool
	listed       bool                            // the store has listed the members at least once
	gaveUpHere   map[model.Instance]givenUpOwner // owners that this instance has given up
	renewedAt    Time                            // last renewal of this instance's entry in the store, 0 if never
	inputAt      Time                            // up to which this instance has processed its own input, 0 if never reported
	peers        map[model.Instance]*peer
	orderedPeers []*peer // sorted by name
	// replaced holds earlier incarnations whose loss has not been handled yet.
	replaced   []*peer
	cells      cells
	otherCells map[model.Instance]otherCellMember
	inquiries  []*inquiry
}

func newMembers(self Member, effect func(Effect)) *members {
	return &members{
		self: self, effect: effect, peers: map[model.Instance]*peer{}, cells: cells{1}, otherCells: map[model.Instance]otherCellMember{},
		gaveUpHere: map[model.Instance]givenUpOwner{},
	}
}

// inCell reports whether a server or an instance belongs to this instance's cell.
func (m *members) inCell(name string) bool { return m.cells.sameCell(name, string(m.self.Instance)) }

// echoedAt returns when the last message was sent that an instance is known to have
// processed; for this instance, up to when it has processed its own input.
func (m *members) echoedAt(x Member, now Time) Time {
	switch {
	case x.Instance == m.self.Instance && m.inputAt != 0:
		return m.inputAt
	case x.Instance == m.self.Instance:
		return now
	}
	p := m.peers[x.Instance]
	if p != nil && p.member.sameIncarnation(x) {
		return p.echoedAt
	}
	at := now.Add(-echoTimeout) // it is gone, and its jobs will be cancelled soon
	if p != nil && p.earlierEchoedAt != 0 {
		at = min(at, p.earlierEchoedAt)
	}
	return at
}

// maxInputAge is how far an instance may lag behind its input without a run outlasting
// the time after which its caller submits the job again: 1.3 s, less the longest lease on
// a slow clock.
const maxInputAge = 250 * time.Millisecond

// inputLags reports whether callers may have left that this instance doesn't know of. It
// then offers no jobs, and echoes nothing that would make others take its calls for wanted.
func (m *members) inputLags(now Time) bool { return m.inputAt != 0 && now.Sub(m.inputAt) > maxInputAge }

// echoFor returns the echo to send to a peer.
func (m *members) echoFor(p *peer, now Time) Time {
	if !m.inputLags(now) {
		p.echoSent = p.remoteSentAt
	}
	return p.echoSent
}

// wantedAt returns when a job was last known to be wanted: by the instance that offered
// it and, if that is only the owner that queues it, by the one that holds its call.
// The former may be too slow to report the loss of the latter.
func (m *members) wantedAt(j *job, now Time) Time {
	if j.durable != nil {
		return now // its caller doesn't wait for it
	}
	since := m.echoedAt(j.origin, now)
	if h := j.home(); h.Instance != "" {
		since = min(since, m.echoedAt(h, now))
	}
	return since
}

// givenUpTime is how long no tasks are taken that an owner offloads of the jobs of an
// instance that has given it up: it notices the loss of that instance earlier.
const givenUpTime = 2 * time.Second

// gaveUp reports whether the instance with the call of an offloaded task has given up the
// owner that offloads it.
func (m *members) gaveUp(t *OffloadedTask, owner Member, now Time) bool {
	if t == nil {
		return false
	}
	gaveUp := m.gaveUpHere
	if t.Home.Instance != m.self.Instance {
		home := m.peers[t.Home.Instance]
		if home == nil {
			return false
		}
		gaveUp = home.gaveUp
	}
	x, ok := gaveUp[owner.Instance]
	return ok && x.owner.sameIncarnation(owner) && now.Sub(x.at) < givenUpTime
}

// recentlyGivenUp returns the owners that this instance has lately given up, in order.
func (m *members) recentlyGivenUp(now Time) (out []Member) {
	for _, i := range slices.Sorted(maps.Keys(m.gaveUpHere)) {
		if x := m.gaveUpHere[i]; now.Sub(x.at) < givenUpTime {
			out = append(out, x.owner)
		}
	}
	return out
}

// addPeer returns the peer for a member, replacing that of an earlier incarnation. It
// returns nil for this instance and for outdated incarnations.
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
	var earlierEchoedAt Time
	if p != nil {
		earlierEchoedAt = p.echoedAt
	}
	p = &peer{member: x, missingSince: now, busyAt: now, active: true, earlierEchoedAt: earlierEchoedAt}
	m.peers[x.Instance] = p
	m.orderedPeers = slices.DeleteFunc(m.orderedPeers, func(o *peer) bool { return o.member.Instance == x.Instance })
	m.orderedPeers = append(m.orderedPeers, p)
	slices.SortFunc(m.orderedPeers, func(a, b *peer) int { return cmp.Compare(a.member.Instance, b.member.Instance) })
	m.effect(LogEntry{Kind: LogMemberLive, Peer: x.Instance, Reason: string(x.Incarnation)})
	m.effect(Connect{Peer: x})
	return p
}

// handleListed applies the store's list of members, and reports whether this instance's
// cell has changed.
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
	for i, o := range m.otherCells {
		switch _, in := present[i]; {
		case in:
		case o.missingSince == 0:
			o.missingSince = now
			m.otherCells[i] = o
		case now.Sub(o.missingSince) > deadRetention:
			delete(m.otherCells, i)
		}
	}
	for _, p := range m.orderedPeers {
		in := present[p.member.Instance] == p.member.Incarnation
		if p.inStore && !in {
			p.missingSince = now
		}
		p.inStore = in
	}
	return moved
}

// dropOtherCells disconnects from members of other cells, which then count as lost.
func (m *members) dropOtherCells() {
	m.orderedPeers = slices.DeleteFunc(m.orderedPeers, func(p *peer) bool {
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

// detectLost marks dead members, and returns the members lost since the last call:
// dead, unresponsive or not hearing this instance.
func (m *members) detectLost(now Time) (lost []*peer) {
	lost, m.replaced = m.replaced, nil
	for _, p := range m.orderedPeers {
		if evidence := m.deathEvidence(p, now); !p.dead && evidence != notEnded {
			p.dead, p.deadAt, p.deathEvidence = true, now, evidence
			m.effect(LogEntry{Kind: LogMemberDead, Peer: p.member.Instance, Age: now.Sub(p.heardAt), Reason: string(evidence)})
		}
		isLost := p.dead || p.everHeard && (!p.responsive(now) || p.remoteReceiveAge >= p.timeout(now) || !p.fresh(now))
		if isLost && !p.lossHandled {
			lost = append(lost, p)
		}
		p.lossHandled = isLost
	}
	m.forgetDead(now)
	return lost
}

// forgetDead removes members that have been dead for a long time.
func (m *members) forgetDead(now Time) {
	m.orderedPeers = slices.DeleteFunc(m.orderedPeers, func(p *peer) bool {
		old := p.dead && !p.inStore && now.Sub(p.deadAt) > deadRetention
		if old {
			delete(m.peers, p.member.Instance)
			m.effect(Disconnect{Peer: p.member})
		}
		return old
	})
}

// deathEvidence returns on what an incarnation of a member is taken for ended. Silence
// alone is no proof, as a link may be down, and neither is a missing key, as the store may
// lose keys.
func (m *members) deathEvidence(p *peer, now Time) endEvidence {
	if p.refused && (!p.everHeard || p.heardAt <= p.refusedAt) {
		return endRefused
	}
	switch {
	case !m.storeUp || p.inStore || p.responsive(now):
		return notEnded
	case !p.everHeard:
		return m.unheardEvidence(p.member, missingTimeout, now)
	case now.Sub(p.missingSince) > missingTimeout:
		return endSilent // it needs this instance to hear it
	}
	return notEnded
}

// reconnectQuiet replaces links that may be broken in one direction.
func (m *members) reconnectQuiet(now Time) {
	for _, p := range m.orderedPeers {
		quietTime := p.timeout(now) / 2
		quiet := now.Sub(p.heardAt) > quietTime || p.remoteReceiveAge > quietTime
		if p.linked && quiet && now.Sub(p.linkedAt) > quietTime {
			p.linkedAt = now
			m.effect(Reconnect{Peer: p.member})
		}
	}
}

// endOf returns on what an incarnation of an instance is taken for ended.
func (m *members) endOf(i model.Instance, incarnation model.Incarnation, now Time) endEvidence {
	p := m.peers[i]
	switch {
	case i == m.self.Instance && incarnation != m.self.Incarnation, p != nil && p.member.Incarnation > incarnation:
		return endLaterLife
	case p != nil && p.member.Incarnation == incarnation && p.dead:
		return p.deathEvidence
	case p != nil || i == m.self.Instance:
		return notEnded
	case m.inCell(string(i)):
		return m.unheardEvidence(Member{Instance: i, Incarnation: incarnation}, missingTimeout, now)
	}
	return m.endInOtherCell(i, incarnation, now)
}

// endInOtherCell is endOf for a member of another cell.
func (m *members) endInOtherCell(i model.Instance, incarnation model.Incarnation, now Time) endEvidence {
	o, listed := m.otherCells[i]
	switch {
	case !listed:
		return m.unheardEvidence(Member{Instance: i, Incarnation: incarnation}, otherCellTimeout, now)
	case m.storeUp && o.ended(incarnation, now):
		return endOtherCell
	}
	return notEnded
}

// incarnationEnded reports whether an incarnation of an instance is taken for ended.
func (m *members) incarnationEnded(i model.Instance, incarnation model.Incarnation, now Time) bool {
	return m.endOf(i, incarnation, now) != notEnded
}

// allReachable reports whether all other members that may be alive hear this instance.
// One that refuses connections may be partitioned as long as the store lists it.
func (m *members) allReachable(now Time) bool {
	return !slices.ContainsFunc(m.orderedPeers, func(p *peer) bool { return (!p.dead || p.inStore) && !p.reachable(now) })
}

// lastRenewal returns when an entry in the store was last renewed: that of this instance,
// or of a member that hears it. Such a member reports this instance to others.
func (m *members) lastRenewal(now Time) Time {
	at := m.renewedAt
	for _, p := range m.orderedPeers {
		if p.reachable(now) {
			at = max(at, p.renewedAt)
		}
	}
	return at
}

// expiry returns on what an incarnation is taken to have lost its durable jobs, too: the
// store must have dropped its entry, and not listed it since for as long as the holder may
// rely on it. One that nobody has heard may hold on until it stops by itself.
func (m *members) expiry(i model.Instance, incarnation model.Incarnation, now Time) endEvidence {
	evidence := m.endOf(i, incarnation, now)
	if evidence == endLaterLife {
		return evidence
	}
	if !m.listed || !m.storeUp || evidence == notEnded {
		return notEnded
	}
	x := Member{Instance: i, Incarnation: incarnation}
	switch {
	case m.missingTime(x, now) < unlistedHolderTimeout:
		return notEnded
	case evidence == endUnheard && m.inquire(x, now).silence(now) < unheardHolderTimeout:
		return notEnded
	}
	return evidence
}

// missingTime returns how long the store is known not to list an incarnation.
func (m *members) missingTime(x Member, now Time) time.Duration {
	p := m.peers[x.Instance]
	known := p != nil && p.member.sameIncarnation(x)
	switch {
	case known && p.inStore:
		return 0
	case known:
		return now.Sub(p.missingSince)
	}
	return now.Sub(m.inquire(x, now).quietSince)
}

// newlyExpired returns the members that expired since the last call.
func (m *members) newlyExpired(now Time) (out []*peer) {
	for _, p := range m.orderedPeers {
		isExpired := p.dead && m.expiry(p.member.Instance, p.member.Incarnation, now) != notEnded
		if isExpired && !p.expiryHandled {
			out = append(out, p)
		}
		p.expiryHandled = isExpired
	}
	return out
}

// candidates returns the members of a domain, or of all if d is empty, that may own
// backend servers. It includes this instance unless leaving is set.
func (m *members) candidates(d model.Domain, leaving bool, now Time) []Member {
	var out []Member
	if !leaving && (d == "" || m.self.Domain == d) {
		out = append(out, m.self)
	}
	for _, p := range m.orderedPeers {
		if p.reachable(now) && !p.leaving && (d == "" || p.member.Domain == d) {
			out = append(out, p.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// maxSharedQueueServers is the maximum number of servers whose owners share one queue,
// as the queue owner handles each task that has to wait for one of them.
const maxSharedQueueServers = 100

// queueOwner returns the owner that queues jobs which can't start immediately, nil for
// this instance. All owners of a group choose the same one while they reach each other;
// it is harmless if they don't.
func (m *members) queueOwner(service string, own int, now Time) *peer {
	best, bestMember, found := (*peer)(nil), m.self, own > 0
	total := own
	for _, p := range m.orderedPeers {
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

// leastBusy returns the owner with the shortest wait, preferably in the local domain.
func (m *members) leastBusy(service string, now Time) *peer {
	var best *peer
	for _, p := range m.orderedPeers {
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

// stronger orders members by CPU weight, then by a hash of their names, identically on
// all instances.
func stronger(a, b Member) bool {
	return cmp.Or(
		cmp.Compare(b.Weight, a.Weight),
		cmp.Compare(rank("queue", a.Instance), rank("queue", b.Instance)),
		cmp.Compare(a.Instance, b.Instance)) < 0
}

// heartbeatEvery returns the heartbeat interval for a peer.
func (m *members) heartbeatEvery(p *peer) time.Duration {
	if !p.active {
		return idleHeartbeatInterval
	}
	return m.activeHeartbeatInterval()
}

// activeHeartbeatInterval is that for a peer that must be heard and informed quickly.
func (m *members) activeHeartbeatInterval() time.Duration {
	return max(heartbeatInterval, time.Duration(len(m.orderedPeers))*heartbeatIntervalPerPeer)
}

// updateActive decides which peers get frequent heartbeats: all if this instance is
// busy, else those that are busy.
func (m *members) updateActive(now Time) {
	for _, p := range m.orderedPeers {
		p.updateActive(m.busy, now)
	}
}
