package sched

import (
	"math"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

type loan struct {
	server *server
	count  int
}

// dropLoan forgets that this instance borrows slots of a server.
func (s *Scheduler) dropLoan(v *server) {
	if v.lender == nil {
		return
	}
	s.forgetLoans(v)
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
	if p := v.lender; p != nil && p.recall > 0 && v.held() > v.busy {
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
	return max(0, min(s.index.lendable, s.index.total-s.headroom()))
}

// available is the number of slots that a peer would get if it asked:
// lendable ones, and idle ones that it lent itself.
func (s *Scheduler) available(p *peer) int {
	spare := s.index.total - s.headroom()
	if s.noLending() || s.unmet() > 0 || spare <= 0 {
		return 0
	}
	return min(spare, s.index.lendable+p.idlePassedOn())
}

// idlePassedOn is the number of free slots that the peer had borrowed itself
// and passed on.
func (p *peer) idlePassedOn() int {
	n := 0
	for _, v := range p.borrows {
		if !v.lendable() {
			n += max(0, v.held()-v.busy)
		}
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

// takeBack ends all loans to a peer.
func (s *Scheduler) takeBack(p *peer) {
	for len(p.loans) > 0 {
		s.setLoan(p, p.loans[0].server, 0)
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
		p.changed = true
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
		if k := min(*n, v.held()-v.busy); k > 0 {
			*n -= k
			s.giveBack(v, k)
		}
	}
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
