package sched

import (
	"sort"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// peer is another instance, live or recently departed.
type peer struct {
	Peer
	live           bool
	goneAt         model.Time
	bootTime       int64
	seqIn          uint64
	seqOut         uint64
	lastHeard      model.Time
	pendingMessage *peerpb.SchedMessage // goes out with this step

	free          int // slots that it reported as lendable
	freeAt        model.Time
	held          int
	queued        int
	customerLoads []*peerpb.CustomerLoad
	fairShare     float64 // slots that its weighted demand entitles it to

	// Lender side.
	loans         []loan
	lent          int
	lastGrantSent uint64
	grantSentAt   model.Time
	request       slotRequest
	earmarked     int // slots to lend to the peer as they become free
	recalledAt    model.Time

	// Borrower side.
	borrowedServers   []*server
	borrowed          int
	lastGrantReceived uint64
	lastRequestSent   uint64
	requestedSlots    int
	requestSentAt     model.Time
	slotsToReturn     int // recalled slots to return as they become free
	heldChanged       bool
	brokenServers     []model.ServerID // found broken, not yet reported to the lender
	heldSentAt        model.Time
	customerLoadsAt   model.Time
}

// slotRequest is a peer's pending request for slots.
type slotRequest struct {
	id        uint64
	want      int
	expiresAt model.Time
}

// SetPeers replaces the list of live instances, which excludes this one.
func (s *Scheduler) SetPeers(now model.Time, list []Peer) {
	s.now = now
	for _, p := range s.livePeers {
		p.live = false
	}
	previous := s.livePeers
	s.livePeers = nil
	for _, in := range list {
		p := s.peers[in.ID]
		if p == nil {
			p = &peer{lastHeard: now}
			s.peers[in.ID] = p
		}
		p.Peer = in
		p.live = true
		s.livePeers = append(s.livePeers, p)
	}
	sort.Slice(s.livePeers, func(i, k int) bool { return s.livePeers[i].ID < s.livePeers[k].ID })
	for _, p := range previous {
		if !p.live {
			s.peerGone(now, p)
		}
	}
	s.assignOwners(now)
	s.limits.peersChanged(s, now)
	s.dispatch(now)
	s.flushMessages(now)
}

func (s *Scheduler) peerGone(now model.Time, p *peer) {
	p.goneAt = now
	p.request = slotRequest{}
	p.earmarked = 0
	p.free = 0
	p.customerLoads = nil
	for len(p.borrowedServers) > 0 {
		s.returnLoan(p.borrowedServers[0])
	}
}

func (s *Scheduler) sortedPeers() []*peer {
	all := make([]*peer, 0, len(s.peers))
	for _, p := range s.peers {
		all = append(all, p)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].ID < all[k].ID })
	return all
}

// messageTo returns the message to a peer that goes out with this step.
func (s *Scheduler) messageTo(p *peer) *peerpb.SchedMessage {
	if p.pendingMessage == nil {
		p.pendingMessage = &peerpb.SchedMessage{}
		s.lending.pendingPeers = append(s.lending.pendingPeers, p)
	}
	return p.pendingMessage
}

// flushMessages outputs the messages of this step.
func (s *Scheduler) flushMessages(now model.Time) {
	if len(s.lending.pendingPeers) == 0 {
		return
	}
	if s.bootTime == 0 {
		s.bootTime = now
	}
	for _, p := range s.lending.pendingPeers {
		m := p.pendingMessage
		p.pendingMessage = nil
		if !p.live {
			continue
		}
		p.seqOut++
		s.lending.tokens--
		m.BootUnixNs = int64(s.bootTime)
		m.Sequence = p.seqOut
		m.Load = s.loadFor(now, p)
		if p.borrowed > 0 || p.heldChanged {
			m.Held = s.heldReport(p)
			p.heldChanged = false
			p.heldSentAt = now
		}
		s.out.Messages = append(s.out.Messages, OutboundMessage{To: p.ID, Message: m})
	}
	s.lending.pendingPeers = s.lending.pendingPeers[:0]
}

func (s *Scheduler) loadFor(now model.Time, p *peer) *peerpb.Load {
	l := &peerpb.Load{
		Free:   uint32(s.availableTo(p)),
		Held:   uint32(s.index.held),
		Queued: uint32(s.queue.waiting),
	}
	l.Hints = s.hintsFor(now, p)
	if s.customerLoadsDue(now, p) {
		p.customerLoadsAt = now
		l.Customers = s.customerLoads(now)
	}
	return l
}

// hintsFor lists the other peers with the most free slots.
func (s *Scheduler) hintsFor(now model.Time, p *peer) []*peerpb.FreeHint {
	var best [maxHints]*peer
	n := 0
	for _, q := range s.livePeers {
		if q == p || q.freeAt == 0 || now.Sub(q.freeAt) >= hintMaxAge {
			continue
		}
		at := n
		for at > 0 && best[at-1].free < q.free {
			at--
		}
		if at == maxHints {
			continue
		}
		n = min(n+1, maxHints)
		copy(best[at+1:n], best[at:])
		best[at] = q
	}
	list := make([]*peerpb.FreeHint, n)
	for i, q := range best[:n] {
		age := now.Sub(q.freeAt).Milliseconds()
		list[i] = &peerpb.FreeHint{Instance: string(q.ID), Free: uint32(q.free), AgeMs: uint32(age)}
	}
	return list
}

// customerLoadsDue reports whether to send a peer the customers' work: while
// tasks wait, as often as the byte budget allows.
func (s *Scheduler) customerLoadsDue(now model.Time, p *peer) bool {
	l := &s.lending
	if s.queue.waiting == 0 || l.blockedSince == 0 || now.Sub(l.blockedSince) < customerLoadDelay {
		return false
	}
	bytes := float64(len(s.queue.customers) * customerLoadBytes * len(s.livePeers))
	interval := max(shareInterval, secondsToDuration(bytes/customerLoadBytesPerSecond))
	return now.Sub(p.customerLoadsAt) >= interval
}

// customerLoads lists the work of each customer. The list is shared by the
// messages of an interval and never modified.
func (s *Scheduler) customerLoads(now model.Time) []*peerpb.CustomerLoad {
	if s.lending.customerLoadsAt != 0 && now.Sub(s.lending.customerLoadsAt) < shareInterval {
		return s.lending.customerLoads
	}
	s.lending.customerLoadsAt = now
	space := make([]peerpb.CustomerLoad, len(s.queue.customers))
	s.lending.customerLoads = make([]*peerpb.CustomerLoad, 0, len(space))
	for i, c := range s.queue.customers {
		if w := c.totalWork(); w > 0 {
			space[i].Customer = string(c.name)
			space[i].WorkMs = uint64(w*1e3) + 1
			s.lending.customerLoads = append(s.lending.customerLoads, &space[i])
		}
	}
	return s.lending.customerLoads
}

// Receive handles a message from another instance. Late and duplicate
// messages, and those of an earlier incarnation of the instance, are ignored.
func (s *Scheduler) Receive(now model.Time, from model.Instance, m *peerpb.SchedMessage) {
	s.now = now
	p := s.peers[from]
	if p == nil || !p.live || m == nil {
		return
	}
	if !s.acceptSequence(p, m) {
		return
	}
	p.lastHeard = now
	s.receiveLoad(now, p, m.Load)
	s.receiveHeld(now, p, m.Held)
	s.receiveGrant(now, p, m.Grant)
	if m.Recall != nil {
		s.receiveRecall(p, int(m.Recall.Count))
	}
	s.receiveLimits(now, p, m)
	if m.Ask != nil {
		p.request = slotRequest{id: m.Ask.Id, want: int(m.Ask.Want), expiresAt: now.Add(requestTTL)}
		s.grantSlots(now, p, 1)
		if p.heldChanged {
			s.messageTo(p)
		}
	}
	s.dispatch(now)
	s.requestSlots(now)
	s.flushMessages(now)
}

// acceptSequence reports whether a message is newer than all before it, and
// clears the loans to and from an earlier incarnation of the peer.
func (s *Scheduler) acceptSequence(p *peer, m *peerpb.SchedMessage) bool {
	if m.BootUnixNs < p.bootTime {
		return false
	}
	if m.BootUnixNs > p.bootTime {
		if p.bootTime != 0 {
			s.peerRestarted(p)
		}
		p.bootTime = m.BootUnixNs
		p.seqIn = 0
	}
	if m.Sequence <= p.seqIn {
		return false
	}
	p.seqIn = m.Sequence
	return true
}

func (s *Scheduler) peerRestarted(p *peer) {
	s.revokeAllLoans(p)
	for len(p.borrowedServers) > 0 {
		s.returnLoan(p.borrowedServers[0])
	}
	p.lastGrantReceived = 0
	p.request = slotRequest{}
	s.limits.peerRestarted(s, p)
}

func (s *Scheduler) receiveLoad(now model.Time, p *peer, l *peerpb.Load) {
	if l == nil {
		return
	}
	p.free = int(l.Free)
	p.freeAt = now
	s.receiveHints(now, l.Hints)
	p.held = int(l.Held)
	p.queued = int(l.Queued)
	if l.Queued == 0 {
		p.customerLoads = nil
	}
	if len(l.Customers) > 0 {
		p.customerLoads = l.Customers
	}
}

// receiveHints applies hints about other peers that are newer than what is
// known.
func (s *Scheduler) receiveHints(now model.Time, hints []*peerpb.FreeHint) {
	for _, h := range hints {
		q := s.peers[model.Instance(h.Instance)]
		at := now.Add(-time.Duration(h.AgeMs) * time.Millisecond)
		if q != nil && q.live && at > q.freeAt {
			q.free = int(h.Free)
			q.freeAt = at
		}
	}
}
