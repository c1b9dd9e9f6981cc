package sched

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

const (
	loanIdle       = 300 * time.Millisecond // a borrowed slot that was not needed for so long goes back
	loanRenewal    = 3 * time.Second        // interval of the messages that renew loans
	loanLost       = 8 * time.Second        // a lender takes slots back from a borrower silent for so long
	grantLost      = 500 * time.Millisecond // a grant without an acknowledgement is taken for lost
	askAnswer      = 5 * time.Millisecond   // an ask that is not answered within this time counts as unmet for now
	askStands      = 200 * time.Millisecond // an ask that was not met stands for so long
	reclaimGone    = time.Second            // a lender takes slots back from a borrower that left the list
	beliefAge      = time.Second            // what a peer said about its free slots counts for so long
	hintAge        = 300 * time.Millisecond // what is known of a third instance is passed on for so long
	queuePatience  = 30 * time.Millisecond  // own queue older than this makes an instance ask peers that said they have nothing
	recallEvery    = 200 * time.Millisecond
	returnEvery    = 60 * time.Millisecond  // interval of the messages that return recalled slots
	shareEvery     = 200 * time.Millisecond // interval of the comparison of slots with weighted demand
	sharePatience  = 300 * time.Millisecond // own queue older than this makes an instance compare and recall
	grantEvery     = 100 * time.Millisecond // interval of small grants to one asker
	largeGrant     = 4                      // slots that are granted without waiting for the interval
	maxAsk         = 64                     // slots asked of one peer at a time
	headroomSpread = 0.25                   // free slots kept for the next tasks, in square roots of the load
	shareSlack     = 0.05                   // part above its share that an instance keeps before it gives way
	messageBudget  = 0.2                    // messages a start, on average
	messageBurst   = 30.0
	messageFloor   = 1.0 // messages a second without any start
	tokensAsk      = 1.0 // messages left in the budget that an ask needs
	tokensSearch   = 15  // the same for an ask to a peer that is not known to have free slots
	tokensReturn   = 0   // the same for a grant to a standing ask, and for the return of idle slots
	unknownFree    = 4   // free slots expected of a peer that said nothing
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

type loan struct {
	server *server
	count  int
}

// lending is this instance's part in the lending of slots.
type lending struct {
	tokens       float64 // messages that may be sent; answers may overdraw it
	refilled     model.Time
	counted      uint64 // starts that have brought tokens
	window       model.Time
	queuedAt     model.Time // since when tasks wait without a free slot, 0 if none
	sharesAt     model.Time
	ownShare     float64
	loads        []*peerpb.CustomerLoad // as told to peers last
	loadsAt      model.Time
	localWeights bool
	level        map[model.Customer]float64 // part of each customer's work that is within its share
	pending      []*peer
	lentTotal    int
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

// assign computes the owner of each server: the live instance of the
// server's domain that ranks first by rendezvous hashing.
func (s *Scheduler) assign(now model.Time) {
	for _, v := range s.list {
		if s.opts.Mode.EvenSplit {
			s.split(v)
		} else {
			s.setOwner(v, s.ownerOf(v))
		}
		s.index.update(v)
	}
}

func (s *Scheduler) setOwner(v *server, owner model.Instance) {
	owned := owner == s.opts.Self
	if v.owner != owner || owned {
		s.dropLoan(v)
	}
	if v.owned && !owned {
		s.forgetLoans(v)
	}
	v.owner = owner
	v.owned = owned
	v.share = 0
	if owned {
		v.share = v.Slots
	}
}

func (s *Scheduler) ownerOf(v *server) model.Instance {
	var best model.Instance
	var high uint64
	if v.Domain == s.opts.Domain {
		best, high = s.opts.Self, rendezvous(v.ID, s.opts.Self)
	}
	for _, p := range s.live {
		if p.Domain != v.Domain {
			continue
		}
		h := rendezvous(v.ID, p.ID)
		if best == "" || h > high || (h == high && p.ID < best) {
			best, high = p.ID, h
		}
	}
	return best
}

func rendezvous(v model.ServerID, i model.Instance) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(v))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(i))
	return mix(d.Sum64())
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// split gives this instance its part of a server's slots: an even part of
// all, the rest by rank.
func (s *Scheduler) split(v *server) {
	n := len(s.live) + 1
	own := rendezvous(v.ID, s.opts.Self)
	rank := 0
	for _, p := range s.live {
		if rendezvous(v.ID, p.ID) > own {
			rank++
		}
	}
	v.owned = true
	v.owner = s.opts.Self
	v.share = v.Slots / n
	if rank < v.Slots%n {
		v.share++
	}
}

// dropLoan forgets that this instance borrows slots of a server.
func (s *Scheduler) dropLoan(v *server) {
	if v.lender == nil {
		return
	}
	s.giveBack(v, v.borrowed)
}

// giveBack returns borrowed slots of a server to their lender.
func (s *Scheduler) giveBack(v *server, n int) {
	p := v.lender
	v.borrowed -= n
	p.borrowed -= n
	p.changed = true
	if v.borrowed <= 0 {
		v.borrowed = 0
		v.lender = nil
		p.borrows = without(p.borrows, v)
	}
	s.index.update(v)
}

func without(list []*server, v *server) []*server {
	for i, x := range list {
		if x == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// forgetLoans takes back all slots of a server.
func (s *Scheduler) forgetLoans(v *server) {
	for _, p := range s.sortedPeers() {
		s.setLoan(p, v, 0)
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

// setLoan sets how many slots of a server are lent to a peer.
func (s *Scheduler) setLoan(p *peer, v *server, count int) {
	for i := range p.loans {
		l := &p.loans[i]
		if l.server != v {
			continue
		}
		s.changeLent(p, v, count-l.count)
		l.count = count
		if count == 0 {
			p.loans = append(p.loans[:i], p.loans[i+1:]...)
		}
		return
	}
	if count > 0 {
		p.loans = append(p.loans, loan{v, count})
		s.changeLent(p, v, count)
	}
}

func (p *peer) loanOf(v *server) int {
	for _, l := range p.loans {
		if l.server == v {
			return l.count
		}
	}
	return 0
}

func (s *Scheduler) changeLent(p *peer, v *server, by int) {
	v.lent += by
	p.lent += by
	s.lend.lentTotal += by
	s.index.update(v)
}

// slotFreed gives a slot that has just become free to the lender that
// recalled it or to the peer that it is due to, and indexes the rest.
func (s *Scheduler) slotFreed(v *server) {
	if p := v.lender; p != nil && p.recall > 0 && v.borrowed > v.busy {
		p.recall--
		s.giveBack(v, 1)
		return
	}
	if v.owned && v.usable() && v.held() > v.busy {
		for _, p := range s.live {
			if p.yield > 0 {
				p.yield--
				s.lendSlot(p, v, 1)
				return
			}
		}
	}
	s.index.update(v)
}

// lendSlot lends slots of one server and notes them in the pending grant.
func (s *Scheduler) lendSlot(p *peer, v *server, n int) {
	s.setLoan(p, v, p.loanOf(v)+n)
	m := s.message(p)
	if m.Grant == nil {
		p.grantOut++
		m.Grant = &peerpb.SlotGrant{Ask: p.ask.id, Id: p.grantOut}
		p.grantAt = s.now
	}
	p.ask.want = max(0, p.ask.want-n)
	for _, c := range m.Grant.Slots {
		if c.Server == string(v.ID) {
			c.Count += uint32(n)
			return
		}
	}
	m.Grant.Slots = append(m.Grant.Slots, &peerpb.SlotCount{
		Server:        string(v.ID),
		Count:         uint32(n),
		SlownessMilli: uint32(v.speed.factor() * 1000),
	})
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
		s.out.Sends = append(s.out.Sends, Send{To: p.ID, Message: m})
	}
	s.lend.pending = s.lend.pending[:0]
}

func (s *Scheduler) load(now model.Time, p *peer) *peerpb.Load {
	l := &peerpb.Load{
		Free:   uint32(s.available(p)),
		Held:   uint32(s.index.held),
		Queued: uint32(s.queue.waiting),
	}
	for _, q := range s.live {
		age := now.Sub(q.freeAt)
		if q != p && q.freeAt != 0 && age < hintAge {
			l.Hints = append(l.Hints, &peerpb.FreeHint{Instance: string(q.ID), Free: uint32(q.free), AgeMs: uint32(age.Milliseconds())})
		}
	}
	if s.queue.waiting > 0 && now.Sub(p.loadAt) >= shareEvery {
		p.loadAt = now
		l.Customers = s.customerLoads(now)
	}
	return l
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

func (c *customer) work() float64 {
	sum := 0.0
	for _, f := range c.flows {
		if f.cause != WaitLimit {
			sum += f.work()
		}
	}
	return sum
}

func (s *Scheduler) heldOf(p *peer) *peerpb.SlotsHeld {
	h := &peerpb.SlotsHeld{Grant: p.grantIn}
	for _, id := range p.broken {
		h.Broken = append(h.Broken, string(id))
	}
	p.broken = nil
	for _, v := range p.borrows {
		h.Slots = append(h.Slots, &peerpb.SlotCount{Server: string(v.ID), Count: uint32(v.borrowed)})
	}
	return h
}

// lendable is the number of slots that this instance could lend: the free
// ones less some for its own next tasks.
func (s *Scheduler) lendable() int {
	if s.noLending() || s.unmet() > 0 {
		return 0
	}
	return max(0, min(s.index.own, s.index.total-s.headroom()))
}

// available is the number of slots that a peer would get if it asked: own
// ones, and idle ones that are its own.
func (s *Scheduler) available(p *peer) int {
	spare := s.index.total - s.headroom()
	if s.noLending() || s.unmet() > 0 || spare <= 0 {
		return 0
	}
	return min(spare, s.index.own+p.idleBorrowed())
}

// idleBorrowed is the number of slots borrowed from the peer that are free.
func (p *peer) idleBorrowed() int {
	n := 0
	for _, v := range p.borrows {
		n += max(0, v.borrowed-v.busy)
	}
	return n
}

// headroom is the number of free slots that this instance keeps for its own
// next tasks.
func (s *Scheduler) headroom() int {
	return int(math.Ceil(headroomSpread * math.Sqrt(s.runs.shortLoad+s.runs.longLoad)))
}

func (s *Scheduler) noLending() bool {
	m := &s.opts.Mode
	return m.NoLending || m.EvenSplit || m.QueueAtServer
}

// unmet is the number of waiting tasks that only lack a slot.
func (s *Scheduler) unmet() int {
	n := s.queue.waiting
	for _, f := range s.parkedLong.items {
		n -= f.waiting
	}
	for _, l := range s.limits.list {
		for _, f := range l.parked.items {
			n -= f.waiting
		}
	}
	return max(0, n)
}

// spareElsewhere is the number of free slots that peers told of lately.
func (s *Scheduler) spareElsewhere() int {
	n := 0
	for _, p := range s.live {
		n += p.believedFree(s.now)
	}
	if s.noLending() {
		return 0
	}
	return n
}

func (p *peer) believedFree(now model.Time) int {
	if p.freeAt == 0 || now.Sub(p.freeAt) > beliefAge {
		return unknownFree
	}
	return p.free
}

// seekSlots asks peers for slots when tasks wait and none is free.
func (s *Scheduler) seekSlots(now model.Time) {
	if s.noLending() || len(s.live) == 0 {
		return
	}
	need := s.need(now)
	if need == 0 {
		return
	}
	for _, p := range s.live {
		if now.Sub(p.askedAt) < askAnswer {
			need -= p.askedFor
		}
	}
	patient := s.lend.queuedAt == 0 || now.Sub(s.lend.queuedAt) < queuePatience
	for need > 0 && s.lend.tokens >= tokensAsk {
		p := s.bestLender(now, need, patient)
		if p == nil {
			return
		}
		n := min(need, maxAsk)
		if f := p.believedFree(now); f > 0 {
			n = min(n, max(f, unknownFree))
		}
		s.askPeer(now, p, n)
		need -= n
	}
}

// need is the number of slots that this instance lacks: for the tasks that
// wait, and some more for those that come next.
func (s *Scheduler) need(now model.Time) int {
	n := s.unmet()
	room := s.headroom()
	waits := n > 0 && s.index.total == 0
	if !waits {
		s.lend.queuedAt = 0
	} else if s.lend.queuedAt == 0 {
		s.lend.queuedAt = now
	}
	switch {
	case waits:
		return n + room
	case s.index.total < room/2:
		return room - s.index.total
	}
	return 0
}

// bestLender returns the peer without a standing ask that can meet most of
// the need, one of the own domain among equals.
func (s *Scheduler) bestLender(now model.Time, need int, patient bool) *peer {
	var best *peer
	score := 0
	for _, p := range s.live {
		if p.askedAt != 0 && now.Sub(p.askedAt) < askStands {
			continue
		}
		free := p.believedFree(now)
		if free == 0 && (patient || s.lend.tokens < tokensSearch) {
			continue
		}
		x := 2 + 2*min(free, need)
		if p.Domain == s.opts.Domain {
			x++
		}
		if x > score {
			best, score = p, x
		}
	}
	return best
}

func (s *Scheduler) askPeer(now model.Time, p *peer, n int) {
	p.askOut++
	p.askedFor = n
	p.askedAt = now
	p.free = max(0, p.free-n)
	s.message(p).Ask = &peerpb.SlotAsk{Id: p.askOut, Want: uint32(n)}
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

// takeBack ends all loans to a peer.
func (s *Scheduler) takeBack(p *peer) {
	for len(p.loans) > 0 {
		s.setLoan(p, p.loans[0].server, 0)
	}
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

// receiveHeld sets the loans to what the borrower says, unless a grant is
// still on its way to it.
func (s *Scheduler) receiveHeld(now model.Time, p *peer, h *peerpb.SlotsHeld) {
	if h == nil {
		return
	}
	s.receiveBroken(now, h.Broken)
	if h.Grant < p.grantOut && now.Sub(p.grantAt) < grantLost {
		return
	}
	for i := len(p.loans) - 1; i >= 0; i-- {
		v := p.loans[i].server
		s.setLoan(p, v, min(p.loans[i].count, countOf(h.Slots, v.ID)))
	}
}

func countAll(list []*peerpb.SlotCount) int {
	n := 0
	for _, c := range list {
		n += int(c.Count)
	}
	return n
}

func countOf(list []*peerpb.SlotCount, id model.ServerID) int {
	for _, c := range list {
		if c.Server == string(id) {
			return int(c.Count)
		}
	}
	return 0
}

func (s *Scheduler) receiveGrant(now model.Time, p *peer, g *peerpb.SlotGrant) {
	if g == nil || g.Id <= p.grantIn {
		return
	}
	p.grantIn = g.Id
	for _, c := range g.Slots {
		s.borrow(p, c)
	}
	if g.Ask == p.askOut {
		p.askedFor = max(0, p.askedFor-countAll(g.Slots))
	}
}

func (s *Scheduler) borrow(p *peer, c *peerpb.SlotCount) {
	v := s.servers[model.ServerID(c.Server)]
	if v == nil || !v.known || v.owned || (v.lender != nil && v.lender != p) {
		return
	}
	if v.lender == nil {
		v.lender = p
		p.borrows = append(p.borrows, v)
	}
	if v.speed.samples == 0 && c.SlownessMilli > 0 {
		v.speed = slowness{log: math.Log(float64(c.SlownessMilli) / 1000), samples: 1}
		s.rank(v)
	}
	if v.health.quarantined {
		s.release(v)
	}
	v.borrowed += int(c.Count)
	p.borrowed += int(c.Count)
	s.index.update(v)
}

// receiveRecall gives free slots back at once and the rest as runs end.
func (s *Scheduler) receiveRecall(p *peer, n int) {
	p.recall = min(n, p.borrowed)
	s.returnFree(p, &p.recall)
}

func (s *Scheduler) returnFree(p *peer, n *int) {
	for i := len(p.borrows) - 1; i >= 0 && *n > 0; i-- {
		v := p.borrows[i]
		if k := min(*n, v.borrowed-v.busy); k > 0 {
			*n -= k
			s.giveBack(v, k)
		}
	}
}

// serve grants free slots to a peer that asks, at least least of them.
func (s *Scheduler) serve(now model.Time, p *peer, least int) {
	if p.ask.want <= 0 || now >= p.ask.until {
		return
	}
	n := min(p.ask.want, s.available(p))
	if n < least {
		return
	}
	back := n
	s.returnFree(p, &back)
	p.ask.want -= n - back
	n = min(back, s.lendable())
	for _, v := range s.list {
		if n <= 0 {
			return
		}
		if !v.owned {
			continue
		}
		if k := min(n, v.free()); k > 0 {
			s.lendSlot(p, v, k)
			n -= k
		}
	}
}

// tickLending returns idle slots, recalls and grants, and renews loans.
func (s *Scheduler) tickLending(now model.Time) {
	s.refill(now)
	if s.noLending() || len(s.peers) == 0 {
		return
	}
	s.returnIdle(now)
	s.balance(now)
	s.serveStanding(now)
	s.seekSlots(now)
	s.keepLoans(now)
}

func (s *Scheduler) refill(now model.Time) {
	l := &s.lend
	if l.refilled != 0 {
		l.tokens += messageFloor * now.Sub(l.refilled).Seconds()
	} else {
		l.tokens = messageBurst
	}
	l.refilled = now
	l.tokens += messageBudget * float64(s.starts-l.counted)
	l.counted = s.starts
	l.tokens = math.Min(l.tokens, messageBurst)
}

// returnIdle gives back borrowed slots that nothing needed over the last
// window.
func (s *Scheduler) returnIdle(now model.Time) {
	if now.Sub(s.lend.window) < loanIdle || s.lend.tokens < tokensReturn {
		return
	}
	s.lend.window = now
	idle := s.index.minimum - s.headroom()
	s.index.minimum = s.index.total
	for i := len(s.live) - 1; i >= 0 && idle > 0; i-- {
		s.returnFree(s.live[i], &idle)
	}
}

func (s *Scheduler) serveStanding(now model.Time) {
	if s.lend.tokens < tokensReturn {
		return
	}
	for _, p := range s.live {
		if p.ask.want == 0 {
			continue
		}
		least := largeGrant
		if now.Sub(p.grantAt) >= grantEvery {
			least = 1
		}
		s.serve(now, p, min(least, p.ask.want))
	}
}

// keepLoans renews what this instance borrows, reports returns, and takes
// back what borrowers that are gone or silent held.
func (s *Scheduler) keepLoans(now model.Time) {
	for _, p := range s.live {
		if s.heldDue(now, p) {
			s.message(p)
		}
		if p.lent > 0 && now.Sub(p.heard) > loanLost {
			s.takeBack(p)
		}
	}
	if s.lend.lentTotal == 0 {
		return
	}
	for _, p := range s.sortedPeers() {
		if !p.live && p.lent > 0 && now.Sub(p.goneAt) >= reclaimGone {
			s.takeBack(p)
		}
	}
}

// heldDue reports whether the lender has to hear what this instance holds.
func (s *Scheduler) heldDue(now model.Time, p *peer) bool {
	since := now.Sub(p.heldAt)
	if p.changed && (p.recall == 0 || since >= returnEvery) {
		return true
	}
	return p.borrowed > 0 && since >= loanRenewal
}

// balance compares the slots of the instances with their weighted demand,
// recalls slots when this instance is short, and marks slots for peers that
// are short while it has more than its share.
func (s *Scheduler) balance(now model.Time) {
	if s.unmet() == 0 || s.lend.queuedAt == 0 || now.Sub(s.lend.queuedAt) < sharePatience {
		s.clearYields()
		s.resetWeights()
		return
	}
	if now.Sub(s.lend.sharesAt) < shareEvery {
		return
	}
	s.lend.sharesAt = now
	s.computeShares()
	s.localWeights()
	s.recallShort(now)
	s.yieldSurplus(now)
}

func (s *Scheduler) clearYields() {
	for _, p := range s.live {
		p.yield = 0
	}
}

// want is the work of a customer over all instances.
type want struct {
	customer model.Customer
	weight   float64
	work     float64
	level    float64 // part that the customer gets of its work
}

// computeShares divides the slots of all instances: among the customers by
// weight, as far as they have work, and each customer's part among the
// instances by its work there.
func (s *Scheduler) computeShares() {
	total := float64(s.index.held)
	for _, p := range s.live {
		total += float64(p.held)
	}
	wants := s.wants()
	s.fill(wants, total*demandMemory)
	own, sum := 0.0, 0.0
	for i := range wants {
		if c := s.queue.byName[wants[i].customer]; c != nil {
			own += c.wanted() * wants[i].level
		}
	}
	sum = own
	for _, p := range s.live {
		p.share = 0
		for _, c := range p.customers {
			p.share += float64(c.WorkMs) / 1e3 * s.lend.level[model.Customer(c.Customer)]
		}
		sum += p.share
	}
	scale := total / math.Max(sum, 1e-9)
	s.lend.ownShare = own * scale
	for _, p := range s.live {
		p.share *= scale
	}
}

// localWeights gives each customer the weight that its work at this instance
// has in its part of the whole, so that the parts over all instances follow
// the table also when the customers' work is spread unevenly.
func (s *Scheduler) localWeights() {
	rows, parts := 0.0, 0.0
	for _, c := range s.queue.customers {
		if part := c.wanted() * s.lend.level[c.name]; part > 0 {
			rows += c.row
			parts += part
		}
	}
	if parts <= 0 {
		return
	}
	s.lend.localWeights = true
	for _, c := range s.queue.customers {
		if part := c.wanted() * s.lend.level[c.name]; part > 0 {
			s.setWeight(c, part*rows/parts)
		}
	}
}

func (s *Scheduler) resetWeights() {
	if !s.lend.localWeights {
		return
	}
	s.lend.localWeights = false
	for _, c := range s.queue.customers {
		s.setWeight(c, c.row)
	}
}

// wants adds up the work of each customer over the instances.
func (s *Scheduler) wants() []want {
	var list []want
	at := make(map[model.Customer]int)
	add := func(c model.Customer, work float64) {
		i, ok := at[c]
		if !ok {
			i = len(list)
			at[c] = i
			list = append(list, want{customer: c, weight: s.weightOf(c)})
		}
		list[i].work += work
	}
	for _, c := range s.queue.customers {
		if w := c.wanted(); w > 0 {
			add(c.name, w)
		}
	}
	for _, p := range s.live {
		for _, c := range p.customers {
			add(model.Customer(c.Customer), float64(c.WorkMs)/1e3)
		}
	}
	return list
}

// fill divides a capacity for work by weight, nobody getting more than it
// has work for, and notes each customer's part.
func (s *Scheduler) fill(wants []want, capacity float64) {
	sort.SliceStable(wants, func(i, k int) bool {
		return wants[i].work*wants[k].weight < wants[k].work*wants[i].weight
	})
	weights := 0.0
	for i := range wants {
		weights += wants[i].weight
	}
	s.lend.level = make(map[model.Customer]float64, len(wants))
	for i := range wants {
		w := &wants[i]
		part := math.Min(w.work, capacity*w.weight/weights)
		w.level = part / math.Max(w.work, 1e-9)
		s.lend.level[w.customer] = w.level
		capacity -= part
		weights -= w.weight
	}
}

// wanted is the work that waits and that was asked for lately, seconds.
func (c *customer) wanted() float64 { return c.work() + c.demand*demandMemory }

func (s *Scheduler) weightOf(name model.Customer) float64 {
	if c := s.queue.byName[name]; c != nil {
		return c.row
	}
	return positive(s.opts.Policy.Row(name, "").Weight)
}

// recallShort recalls lent slots while this instance holds less than its
// share and the borrower more.
func (s *Scheduler) recallShort(now model.Time) {
	short := int(s.lend.ownShare - float64(s.index.held))
	short = min(short, s.unmet())
	for _, p := range s.live {
		if short <= 0 {
			return
		}
		over := p.held - int(p.share*(1-shareSlack))
		n := min(short, p.lent, over)
		if n <= 0 || now.Sub(p.recallAt) < recallEvery {
			continue
		}
		p.recallAt = now
		s.message(p).Recall = &peerpb.SlotRecall{Count: uint32(n)}
		short -= n
	}
}

// yieldSurplus marks slots for peers that hold less than their share, while
// this instance holds more than its own.
func (s *Scheduler) yieldSurplus(now model.Time) {
	s.clearYields()
	surplus := s.index.held - int(s.lend.ownShare*(1+shareSlack))
	for _, p := range s.live {
		if surplus <= 0 {
			return
		}
		if now >= p.ask.until {
			continue
		}
		n := min(surplus, p.ask.want, int(p.share)-p.held)
		if n > 0 {
			p.yield = n
			surplus -= n
		}
	}
}
