package sched

import (
	"sort"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// peer is another instance, live or lately gone.
type peer struct {
	Peer
	live    bool
	goneAt  model.Time
	boot    int64
	seqIn   uint64
	seqOut  uint64
	heard   model.Time
	pending *peerpb.SchedMessage // message of this step

	free      int // slots it said it could lend
	freeAt    model.Time
	held      int
	queued    int
	customers []*peerpb.CustomerLoad
	share     float64 // slots that its weighted demand entitles it to

	// As lender to the peer.
	loans    []loan
	lent     int
	grantOut uint64
	grantAt  model.Time
	ask      ask
	yield    int // slots that go to the peer as they become free
	recallAt model.Time

	// As borrower from the peer.
	borrows  []*server
	borrowed int
	grantIn  uint64
	askOut   uint64
	askedFor int
	askedAt  model.Time
	recall   int // slots to give back as they become free
	changed  bool
	broken   []model.ServerID // found broken, the lender has not been told
	heldAt   model.Time
	loadAt   model.Time
}

// ask is a standing wish of a peer.
type ask struct {
	id    uint64
	want  int
	until model.Time
}

// SetPeers replaces the list of live instances, this one left out.
func (s *Scheduler) SetPeers(now model.Time, list []Peer) {
	s.now = now
	for _, p := range s.live {
		p.live = false
	}
	was := s.live
	s.live = nil
	for _, in := range list {
		p := s.peers[in.ID]
		if p == nil {
			p = &peer{heard: now}
			s.peers[in.ID] = p
		}
		p.Peer = in
		p.live = true
		s.live = append(s.live, p)
	}
	sort.Slice(s.live, func(i, k int) bool { return s.live[i].ID < s.live[k].ID })
	for _, p := range was {
		if !p.live {
			s.peerGone(now, p)
		}
	}
	s.assign(now)
	s.limits.peersChanged(s, now)
	s.bind(now)
	s.flush(now)
}

func (s *Scheduler) peerGone(now model.Time, p *peer) {
	p.goneAt = now
	p.ask = ask{}
	p.yield = 0
	p.free = 0
	p.customers = nil
	for len(p.borrows) > 0 {
		s.dropLoan(p.borrows[0])
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

// message returns the message to a peer that goes out with this step.
func (s *Scheduler) message(p *peer) *peerpb.SchedMessage {
	if p.pending == nil {
		p.pending = &peerpb.SchedMessage{}
		s.lend.pending = append(s.lend.pending, p)
	}
	return p.pending
}

// flush sends the messages of this step.
func (s *Scheduler) flush(now model.Time) {
	if len(s.lend.pending) == 0 {
		return
	}
	if s.boot == 0 {
		s.boot = now
	}
	for _, p := range s.lend.pending {
		m := p.pending
		p.pending = nil
		if !p.live {
			continue
		}
		p.seqOut++
		s.lend.tokens--
		m.BootUnixNs = int64(s.boot)
		m.Sequence = p.seqOut
		m.Load = s.load(now, p)
		if p.borrowed > 0 || p.changed {
			m.Held = s.heldOf(p)
			p.changed = false
			p.heldAt = now
		}
		s.out.Messages = append(s.out.Messages, OutboundMessage{To: p.ID, Message: m})
	}
	s.lend.pending = s.lend.pending[:0]
}

func (s *Scheduler) load(now model.Time, p *peer) *peerpb.Load {
	l := &peerpb.Load{
		Free:   uint32(s.available(p)),
		Held:   uint32(s.index.held),
		Queued: uint32(s.queue.waiting),
	}
	l.Hints = s.hints(now, p)
	if s.tellCustomers(now, p) {
		p.loadAt = now
		l.Customers = s.customerLoads(now)
	}
	return l
}

// hints tells a peer which third instances have most free slots.
func (s *Scheduler) hints(now model.Time, p *peer) []*peerpb.FreeHint {
	var best [maxHints]*peer
	n := 0
	for _, q := range s.live {
		if q == p || q.freeAt == 0 || now.Sub(q.freeAt) >= hintAge {
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

// tellCustomers reports whether the work of each customer is due to a peer:
// while tasks wait, as often as the budget of bytes allows.
func (s *Scheduler) tellCustomers(now model.Time, p *peer) bool {
	l := &s.lend
	if s.queue.waiting == 0 || l.queuedAt == 0 || now.Sub(l.queuedAt) < customersAfter {
		return false
	}
	bytes := float64(len(s.queue.customers) * customerBytes * len(s.live))
	every := max(shareEvery, duration(bytes/customerBudget))
	return now.Sub(p.loadAt) >= every
}

// customerLoads lists the work of each customer. The list is shared by the
// messages of an interval and never changed.
func (s *Scheduler) customerLoads(now model.Time) []*peerpb.CustomerLoad {
	if s.lend.loadsAt != 0 && now.Sub(s.lend.loadsAt) < shareEvery {
		return s.lend.loads
	}
	s.lend.loadsAt = now
	space := make([]peerpb.CustomerLoad, len(s.queue.customers))
	s.lend.loads = make([]*peerpb.CustomerLoad, 0, len(space))
	for i, c := range s.queue.customers {
		if w := c.wanted(); w > 0 {
			space[i].Customer = string(c.name)
			space[i].WorkMs = uint64(w*1e3) + 1
			s.lend.loads = append(s.lend.loads, &space[i])
		}
	}
	return s.lend.loads
}

// Receive takes a message from another instance. Messages that are late,
// doubled or of an earlier process of that name change nothing.
func (s *Scheduler) Receive(now model.Time, from model.Instance, m *peerpb.SchedMessage) {
	s.now = now
	p := s.peers[from]
	if p == nil || !p.live || m == nil {
		return
	}
	if !s.fresh(p, m) {
		return
	}
	p.heard = now
	s.receiveLoad(now, p, m.Load)
	s.receiveHeld(now, p, m.Held)
	s.receiveGrant(now, p, m.Grant)
	if m.Recall != nil {
		s.receiveRecall(p, int(m.Recall.Count))
	}
	s.receiveLimits(now, p, m)
	if m.Ask != nil {
		p.ask = ask{id: m.Ask.Id, want: int(m.Ask.Want), until: now.Add(askStands)}
		s.serve(now, p, 1)
		if p.changed {
			s.message(p)
		}
	}
	s.bind(now)
	s.seekSlots(now)
	s.flush(now)
}

// fresh reports whether a message is newer than all before it, and forgets
// what an earlier process of the same name borrowed and lent.
func (s *Scheduler) fresh(p *peer, m *peerpb.SchedMessage) bool {
	if m.BootUnixNs < p.boot {
		return false
	}
	if m.BootUnixNs > p.boot {
		if p.boot != 0 {
			s.restarted(p)
		}
		p.boot = m.BootUnixNs
		p.seqIn = 0
	}
	if m.Sequence <= p.seqIn {
		return false
	}
	p.seqIn = m.Sequence
	return true
}

func (s *Scheduler) restarted(p *peer) {
	s.takeBack(p)
	for len(p.borrows) > 0 {
		s.dropLoan(p.borrows[0])
	}
	p.grantIn = 0
	p.ask = ask{}
	s.limits.restarted(s, p)
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
		p.customers = nil
	}
	if len(l.Customers) > 0 {
		p.customers = l.Customers
	}
}

// receiveHints takes over what the sender knows better of third instances.
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
