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

// returnLoan returns all borrowed slots of a server and revokes its re-loans.
func (s *Scheduler) returnLoan(v *server) {
	if v.lender == nil {
		return
	}
	s.revokeLoans(v)
	s.returnSlots(v, v.borrowed)
}

// returnSlots returns borrowed slots of a server to the lender.
func (s *Scheduler) returnSlots(v *server, n int) {
	p := v.lender
	v.borrowed -= n
	p.borrowed -= n
	p.heldChanged = true
	if v.borrowed <= 0 {
		v.borrowed = 0
		v.lender = nil
		p.borrowedServers = removeServer(p.borrowedServers, v)
	}
	s.index.update(v)
}

func removeServer(list []*server, v *server) []*server {
	for i, x := range list {
		if x == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// revokeLoans revokes all loans of a server's slots.
func (s *Scheduler) revokeLoans(v *server) {
	for _, p := range s.sortedPeers() {
		s.setLoan(p, v, 0)
	}
}

// setLoan sets the number of a server's slots that are lent to a peer.
func (s *Scheduler) setLoan(p *peer, v *server, count int) {
	for i := range p.loans {
		l := &p.loans[i]
		if l.server != v {
			continue
		}
		s.addLent(p, v, count-l.count)
		l.count = count
		if count == 0 {
			p.loans = append(p.loans[:i], p.loans[i+1:]...)
		}
		return
	}
	if count > 0 {
		p.loans = append(p.loans, loan{v, count})
		s.addLent(p, v, count)
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

func (s *Scheduler) addLent(p *peer, v *server, by int) {
	v.lent += by
	p.lent += by
	s.lending.totalLent += by
	s.index.update(v)
}

// slotFreed returns a freed slot to the lender that recalled it, lends it to
// the peer it is earmarked for, or else makes it available.
func (s *Scheduler) slotFreed(v *server) {
	if p := v.lender; p != nil && p.slotsToReturn > 0 && v.held() > v.busy {
		p.slotsToReturn--
		s.returnSlots(v, 1)
		return
	}
	if v.owned && v.usable() && v.held() > v.busy {
		for _, p := range s.livePeers {
			if p.earmarked > 0 {
				p.earmarked--
				s.lendSlots(p, v, 1)
				return
			}
		}
	}
	s.index.update(v)
}

// lendSlots lends slots of one server and adds them to the pending grant.
func (s *Scheduler) lendSlots(p *peer, v *server, n int) {
	s.setLoan(p, v, p.loanOf(v)+n)
	m := s.messageTo(p)
	if m.Grant == nil {
		p.lastGrantSent++
		m.Grant = &peerpb.SlotGrant{Ask: p.request.id, Id: p.lastGrantSent}
		p.grantSentAt = s.now
	}
	p.request.want = max(0, p.request.want-n)
	for _, c := range m.Grant.Slots {
		if c.Server == string(v.ID) {
			c.Count += uint32(n)
			return
		}
	}
	m.Grant.Slots = append(m.Grant.Slots, &peerpb.SlotCount{
		Server:        string(v.ID),
		Count:         uint32(n),
		SlownessMilli: uint32(v.slowness.factor() * 1000),
	})
}

func (s *Scheduler) heldReport(p *peer) *peerpb.SlotsHeld {
	h := &peerpb.SlotsHeld{Grant: p.lastGrantReceived}
	for _, id := range p.brokenServers {
		h.Broken = append(h.Broken, string(id))
	}
	p.brokenServers = nil
	for _, v := range p.borrowedServers {
		h.Slots = append(h.Slots, &peerpb.SlotCount{Server: string(v.ID), Count: uint32(v.borrowed)})
	}
	return h
}

// lendable is the number of slots this instance could lend: the free ones less
// its headroom.
func (s *Scheduler) lendable() int {
	if s.lendingDisabled() || s.unmetDemand() > 0 {
		return 0
	}
	return max(0, min(s.index.lendable, s.index.free-s.headroom()))
}

// availableTo is the number of slots a request of this peer would get:
// lendable ones, and free ones that the peer re-lent to this instance.
func (s *Scheduler) availableTo(p *peer) int {
	spare := s.index.free - s.headroom()
	if s.lendingDisabled() || s.unmetDemand() > 0 || spare <= 0 {
		return 0
	}
	return min(spare, s.index.lendable+p.idleRelent())
}

// idleRelent is the number of free slots that the peer had itself borrowed and
// re-lent to this instance.
func (p *peer) idleRelent() int {
	n := 0
	for _, v := range p.borrowedServers {
		if !v.lendable() {
			n += max(0, v.held()-v.busy)
		}
	}
	return n
}

// headroom is the number of free slots that this instance keeps for its own
// next tasks.
func (s *Scheduler) headroom() int {
	return int(math.Ceil(headroomFactor * math.Sqrt(s.runs.shortLoad+s.runs.longLoad)))
}

func (s *Scheduler) lendingDisabled() bool {
	m := &s.opts.Mode
	return m.NoLending || m.EvenSplit || m.QueueAtServer
}

// revokeAllLoans revokes all loans to a peer.
func (s *Scheduler) revokeAllLoans(p *peer) {
	for len(p.loans) > 0 {
		s.setLoan(p, p.loans[0].server, 0)
	}
}

// receiveHeld sets the loans to those the borrower reports, unless a grant to
// it is still in flight.
func (s *Scheduler) receiveHeld(now model.Time, p *peer, h *peerpb.SlotsHeld) {
	if h == nil {
		return
	}
	s.receiveBroken(now, h.Broken)
	if h.Grant < p.lastGrantSent && now.Sub(p.grantSentAt) < grantAckTimeout {
		return
	}
	for i := len(p.loans) - 1; i >= 0; i-- {
		v := p.loans[i].server
		s.setLoan(p, v, min(p.loans[i].count, countForServer(h.Slots, v.ID)))
	}
}

func totalCount(list []*peerpb.SlotCount) int {
	n := 0
	for _, c := range list {
		n += int(c.Count)
	}
	return n
}

func countForServer(list []*peerpb.SlotCount, id model.ServerID) int {
	for _, c := range list {
		if c.Server == string(id) {
			return int(c.Count)
		}
	}
	return 0
}

func (s *Scheduler) receiveGrant(now model.Time, p *peer, g *peerpb.SlotGrant) {
	if g == nil || g.Id <= p.lastGrantReceived {
		return
	}
	p.lastGrantReceived = g.Id
	for _, c := range g.Slots {
		s.borrow(p, c)
	}
	if g.Ask == p.lastRequestSent {
		p.requestedSlots = max(0, p.requestedSlots-totalCount(g.Slots))
	}
}

func (s *Scheduler) borrow(p *peer, c *peerpb.SlotCount) {
	v := s.servers[model.ServerID(c.Server)]
	if v == nil || !v.known || v.owned || (v.lender != nil && v.lender != p) {
		p.heldChanged = true
		return
	}
	if v.lender == nil {
		v.lender = p
		p.borrowedServers = append(p.borrowedServers, v)
	}
	if v.slowness.samples == 0 && c.SlownessMilli > 0 {
		v.slowness = slowness{logFactor: math.Log(float64(c.SlownessMilli) / 1000), samples: 1}
		s.updateSpeedLevel(v)
	}
	if v.health.quarantined {
		s.releaseServer(v)
	}
	v.borrowed += int(c.Count)
	p.borrowed += int(c.Count)
	s.index.update(v)
}

// receiveRecall returns free slots at once and the rest as tasks end.
func (s *Scheduler) receiveRecall(p *peer, n int) {
	p.slotsToReturn = min(n, p.borrowed)
	s.returnFreeSlots(p, &p.slotsToReturn)
}

func (s *Scheduler) returnFreeSlots(p *peer, n *int) {
	for i := len(p.borrowedServers) - 1; i >= 0 && *n > 0; i-- {
		v := p.borrowedServers[i]
		if k := min(*n, v.held()-v.busy); k > 0 {
			*n -= k
			s.returnSlots(v, k)
		}
	}
}

// returnIdleSlots returns borrowed slots that were not needed during the last
// window.
func (s *Scheduler) returnIdleSlots(now model.Time) {
	if now.Sub(s.lending.windowStart) < idleLoanTimeout || s.lending.tokens < returnTokens {
		return
	}
	s.lending.windowStart = now
	idle := s.index.minFree - s.headroom()
	s.index.minFree = s.index.free
	for i := len(s.livePeers) - 1; i >= 0 && idle > 0; i-- {
		s.returnFreeSlots(s.livePeers[i], &idle)
	}
}

// maintainLoans renews borrowed slots, reports returns, and revokes the loans
// of departed or unresponsive borrowers.
func (s *Scheduler) maintainLoans(now model.Time) {
	for _, p := range s.livePeers {
		if s.heldReportDue(now, p) {
			s.messageTo(p)
		}
		if p.lent > 0 && now.Sub(p.lastHeard) > loanTimeout {
			s.revokeAllLoans(p)
		}
	}
	if s.lending.totalLent == 0 {
		return
	}
	for _, p := range s.sortedPeers() {
		if !p.live && p.lent > 0 && now.Sub(p.goneAt) >= loanReclaimDelay {
			s.revokeAllLoans(p)
		}
	}
}

// heldReportDue reports whether the lender is due a report of held slots.
func (s *Scheduler) heldReportDue(now model.Time, p *peer) bool {
	since := now.Sub(p.heldSentAt)
	if p.heldChanged && (p.slotsToReturn == 0 || since >= returnInterval) {
		return true
	}
	return p.borrowed > 0 && since >= loanRenewInterval
}
