package sched

import (
	"math"
	"sort"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// limitTable is the coordinator's state of a limit.
type limitTable struct {
	electedAt   model.Time     // when this instance became the coordinator
	complete    bool           // holdings of all live instances are known
	holders     []*limitHolder // by instance ID
	allocatedAt model.Time
	dirty       bool
}

// limitHolder is an instance that holds a share of a limit.
type limitHolder struct {
	id          model.Instance
	domain      model.Domain
	version     uint64 // of the last share sent
	acked       uint64
	target      int
	rateTarget  float64
	concurrency int     // upper bound on its running tasks
	rate        float64 // upper bound on its start rate
	demand      int
	rateDemand  float64
	goneAt      model.Time // 0 while live
}

// electCoordinator determines which live instance coordinates the limit.
func (s *Scheduler) electCoordinator(now model.Time, l *limit) {
	best, high := s.opts.Self, rendezvousHash(model.ServerID(l.name), s.opts.Self)
	for _, p := range s.livePeers {
		h := rendezvousHash(model.ServerID(l.name), p.ID)
		if h > high || (h == high && p.ID < best) {
			best, high = p.ID, h
		}
	}
	if best == l.coordinator {
		return
	}
	previous := l.coordinator
	l.coordinator = best
	l.mustReport = true
	if best == s.opts.Self {
		l.table = &limitTable{electedAt: now, complete: len(s.livePeers) == 0, dirty: true}
		if s.limits.peersStable(s, now) && previous == "" {
			l.table.complete = true
		}
		return
	}
	s.handOverTable(l, best)
}

// peersStable reports whether the peer list has been unchanged for long enough
// that no other instance can have coordinated a limit first seen now.
func (x *limits) peersStable(s *Scheduler, now model.Time) bool {
	return s.peersChangedAt != 0 && now.Sub(s.peersChangedAt) >= tableHandoverTimeout
}

// handOverTable sends the table to the new coordinator.
func (s *Scheduler) handOverTable(l *limit, to model.Instance) {
	t := l.table
	l.table = nil
	p := s.peers[to]
	if t == nil || !t.complete || p == nil {
		return
	}
	m := &peerpb.LimitTable{Row: l.name}
	for _, h := range t.holders {
		m.Holdings = append(m.Holdings, &peerpb.LimitHolding{
			Instance: string(h.id), Version: h.version,
			Concurrency: uint32(h.concurrency), Rate: h.rate,
		})
	}
	x := s.messageTo(p)
	x.Tables = append(x.Tables, m)
}

func (t *limitTable) find(id model.Instance) *limitHolder {
	for _, h := range t.holders {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (t *limitTable) findOrAdd(id model.Instance, d model.Domain) *limitHolder {
	h := t.find(id)
	if h == nil {
		h = &limitHolder{id: id}
		t.holders = append(t.holders, h)
		sort.Slice(t.holders, func(i, k int) bool { return t.holders[i].id < t.holders[k].id })
	}
	if d != "" {
		h.domain = d
	}
	return h
}

// recordReport updates the table from a holder's report.
func (s *Scheduler) recordReport(now model.Time, l *limit, id model.Instance, d model.Domain, r *peerpb.LimitReport) {
	t := l.table
	h := t.findOrAdd(id, d)
	old := *h
	h.goneAt = 0
	h.demand = int(r.ConcurrencyDemand)
	h.rateDemand = r.RateDemand
	if r.Version > h.version {
		h.version = r.Version
		h.target, h.rateTarget = int(r.ConcurrencyHeld), r.RateHeld
	}
	if r.Version == h.version {
		h.acked = r.Version
		h.concurrency = max(int(r.ConcurrencyHeld), h.target)
		h.rate = math.Max(r.RateHeld, h.rateTarget)
	}
	if *h != old {
		t.dirty = true
	}
}

// receiveTable takes over the table of the previous coordinator.
func (s *Scheduler) receiveTable(now model.Time, m *peerpb.LimitTable) {
	l := s.limits.byName[m.Row]
	if l == nil {
		l = &limit{name: m.Row, refilledAt: now}
		s.limits.byName[m.Row] = l
		s.limits.list = append(s.limits.list, l)
		s.electCoordinator(now, l)
	}
	t := l.table
	if t == nil {
		return
	}
	for _, x := range m.Holdings {
		h := t.findOrAdd(model.Instance(x.Instance), "")
		if p := s.peers[h.id]; p != nil {
			h.domain = p.Domain
		}
		if x.Version >= h.version {
			h.version = x.Version
			h.concurrency = max(h.concurrency, int(x.Concurrency))
			h.rate = math.Max(h.rate, x.Rate)
			h.target, h.rateTarget = h.concurrency, h.rate
		}
	}
	t.complete = true
	t.dirty = true
}

// allocateLimit computes the holders' shares and sends those that change:
// decreases first, increases as far as the limit leaves room.
func (s *Scheduler) allocateLimit(now model.Time, l *limit) {
	t := l.table
	s.reclaimShares(now, l)
	if !t.complete && now.Sub(t.electedAt) >= tableHandoverTimeout {
		t.complete = true
		t.dirty = true
	}
	if !t.complete || !t.dirty || now.Sub(t.allocatedAt) < minAllocationInterval {
		return
	}
	t.allocatedAt = now
	t.dirty = false
	if !l.needsAllocation() {
		return
	}
	s.allocateConcurrency(l)
	s.allocateRate(l)
	for _, h := range t.holders {
		s.sendShare(now, l, h)
	}
}

// needsAllocation reports whether a holder needs more than it has, or the
// holders have more than the limit allows.
func (l *limit) needsAllocation() bool {
	held, rate := 0, 0.0
	for _, h := range l.table.holders {
		held += h.concurrency
		rate += h.rate
		if h.goneAt != 0 {
			continue
		}
		if l.concurrency > 0 && h.demand > h.concurrency {
			return true
		}
		if l.rate > 0 && h.rateDemand > h.rate {
			return true
		}
	}
	return (l.concurrency > 0 && held > l.concurrency) || (l.rate > 0 && rate > l.rate*(1+minDemandChange/10))
}

// reclaimShares frees the shares of instances that are permanently gone.
func (s *Scheduler) reclaimShares(now model.Time, l *limit) {
	t := l.table
	keep := t.holders[:0]
	for _, h := range t.holders {
		if h.id != s.opts.Self && !s.isLive(h.id) {
			if h.goneAt == 0 {
				h.goneAt = now
			}
			wait := partitionReclaimDelay
			if s.domainLive(h.domain) {
				wait = shareReclaimDelay
			}
			if now.Sub(h.goneAt) >= wait {
				t.dirty = true
				continue
			}
		}
		keep = append(keep, h)
	}
	t.holders = keep
}

func (s *Scheduler) isLive(id model.Instance) bool {
	p := s.peers[id]
	return p != nil && p.live
}

func (s *Scheduler) domainLive(d model.Domain) bool {
	if d == s.opts.Domain {
		return true
	}
	for _, p := range s.livePeers {
		if p.Domain == d {
			return true
		}
	}
	return false
}

// allocateConcurrency sets the targets by max-min fairness: smallest demands
// first, up to the limit, then the remainder in equal parts.
func (s *Scheduler) allocateConcurrency(l *limit) {
	if l.concurrency == 0 {
		return
	}
	live, gone := l.table.byLiveness()
	left := l.concurrency
	for _, h := range gone {
		left -= h.concurrency
	}
	left = max(0, left)
	byDemand := append([]*limitHolder(nil), live...)
	sort.SliceStable(byDemand, func(i, k int) bool { return byDemand[i].demand < byDemand[k].demand })
	for i, h := range byDemand {
		share := left / (len(byDemand) - i)
		h.target = min(h.demand, share)
		left -= h.target
	}
	for i, h := range byDemand {
		extra := left / (len(byDemand) - i)
		h.target += extra
		left -= extra
	}
	room := l.concurrency
	for _, h := range l.table.holders {
		room -= h.concurrency
	}
	for _, h := range live {
		if up := h.target - h.concurrency; up > 0 {
			up = max(0, min(up, room))
			h.target = h.concurrency + up
			room -= up
		}
	}
}

func (s *Scheduler) allocateRate(l *limit) {
	if l.rate == 0 {
		return
	}
	live, gone := l.table.byLiveness()
	left := l.rate
	for _, h := range gone {
		left -= h.rate
	}
	left = math.Max(0, left)
	byDemand := append([]*limitHolder(nil), live...)
	sort.SliceStable(byDemand, func(i, k int) bool { return byDemand[i].rateDemand < byDemand[k].rateDemand })
	for i, h := range byDemand {
		h.rateTarget = math.Min(h.rateDemand, left/float64(len(byDemand)-i))
		left -= h.rateTarget
	}
	for _, h := range byDemand {
		h.rateTarget += left / float64(len(byDemand))
	}
	room := l.rate
	for _, h := range l.table.holders {
		room -= h.rate
	}
	for _, h := range live {
		if up := h.rateTarget - h.rate; up > 0 {
			up = math.Max(0, math.Min(up, room))
			h.rateTarget = h.rate + up
			room -= up
		}
	}
}

// byLiveness separates live holders from departed ones.
func (t *limitTable) byLiveness() (live, gone []*limitHolder) {
	for _, h := range t.holders {
		if h.goneAt == 0 {
			live = append(live, h)
		} else {
			gone = append(gone, h)
		}
	}
	return live, gone
}

// sendShare sends a holder its new target: always a decrease that others need,
// an increase only when the holder is short.
func (s *Scheduler) sendShare(now model.Time, l *limit, h *limitHolder) {
	if h.goneAt != 0 {
		return
	}
	up := h.target > h.concurrency || h.rateTarget > h.rate*(1+minDemandChange)
	down := h.target < h.concurrency || h.rateTarget < h.rate*(1-minDemandChange)
	if !up && !down {
		h.rateTarget = h.rate
		return
	}
	if down && h.acked < h.version {
		h.target, h.rateTarget = h.concurrency, h.rate
		l.table.dirty = true
		return
	}
	h.version++
	h.concurrency = max(h.concurrency, h.target)
	h.rate = math.Max(h.rate, h.rateTarget)
	x := &peerpb.LimitShare{Row: l.name, Version: h.version, Concurrency: uint32(h.target), Rate: h.rateTarget}
	if h.id == s.opts.Self {
		s.applyShare(now, l, x)
		r := l.currentReport()
		s.recordReport(now, l, h.id, s.opts.Domain, &r)
		return
	}
	m := s.messageTo(s.peers[h.id])
	m.Shares = append(m.Shares, x)
}
