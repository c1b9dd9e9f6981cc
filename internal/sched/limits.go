package sched

import (
	"math"
	"sort"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

const (
	reportEvery   = 100 * time.Millisecond // least interval of reports on a change of demand
	reportRenewal = 3 * time.Second        // interval of reports without a change
	reportChange  = 0.1                    // part by which demand has to change for a report
	shareOutEvery = 40 * time.Millisecond  // least interval between divisions of one limit
	takeover      = 3 * time.Second        // a new authority without the table of the old one waits so long
	reclaimShare  = 5 * time.Second        // the share of an instance that is gone is given to others after this
	reclaimCut    = 10 * time.Minute       // the same when no instance of its domain is left in the list
	rateBurst     = 50 * time.Millisecond  // starts that may be saved up, as time at the rate share
	rateGrowth    = 1.5                    // demand reported by an instance held up by its rate, over its share
	rateCatchUp   = 500 * time.Millisecond // an instance asks for the rate that clears its queue in this time
	rateMemory    = 250 * time.Millisecond // time constant of the measured rate of starts
)

// limit is a row's bound on concurrency and rate, and this instance's share.
type limit struct {
	name        string
	concurrency int     // of the row, 0 = unlimited
	rate        float64 // of the row, starts a second, 0 = unlimited
	flows       []*flow
	parked      heap[*flow]
	running     int

	share     int
	rateShare float64
	version   uint64
	tokens    float64
	filled    model.Time
	taken     int     // starts since the last tick
	startRate float64 // starts a second

	authority  model.Instance
	reportedAt model.Time
	reported   peerpb.LimitReport
	mustReport bool

	table *limitTable // set at the authority
}

// limitTable is what the authority of a limit knows of the holders.
type limitTable struct {
	since   model.Time // when this instance became the authority
	ready   bool       // the holdings of all live instances are known
	holders []*holder  // by instance
	divided model.Time
	dirty   bool
}

// holder is an instance with a share of a limit.
type holder struct {
	id          model.Instance
	domain      model.Domain
	version     uint64 // of the last share sent
	acked       uint64
	target      int
	rateTarget  float64
	concurrency int     // upper bound on its running tasks
	rate        float64 // upper bound on its rate
	demand      int
	rateDemand  float64
	goneAt      model.Time // 0 while live
}

// limits are the rows with limits that this instance has seen, in the order
// of their first use.
type limits struct {
	byName map[string]*limit
	list   []*limit
}

func newLimits() limits { return limits{byName: make(map[string]*limit)} }

// limitOf returns the limit of a flow, or nil if its row has none.
func (s *Scheduler) limitOf(now model.Time, f *flow, row PolicyRow) *limit {
	if s.opts.Mode.FIFO || (row.Concurrency <= 0 && row.Rate <= 0) {
		s.leaveLimit(f)
		return nil
	}
	name := row.Limit
	if name == "" {
		name = string(f.customer) + "\x00" + string(f.kind)
	}
	l := s.limits.byName[name]
	if l == nil {
		l = &limit{name: name, filled: now}
		s.limits.byName[name] = l
		s.limits.list = append(s.limits.list, l)
		s.findAuthority(now, l)
	}
	if f.limit != l {
		s.leaveLimit(f)
		l.flows = append(l.flows, f)
	}
	if l.concurrency != row.Concurrency || l.rate != row.Rate {
		l.concurrency, l.rate = max(0, row.Concurrency), math.Max(0, row.Rate)
		l.mustReport = true
		l.clamp()
	}
	return l
}

func (l *limit) clamp() {
	l.share = min(l.share, l.concurrency)
	l.rateShare = math.Min(l.rateShare, l.rate)
	if l.table != nil {
		l.table.dirty = true
	}
}

func (s *Scheduler) leaveLimit(f *flow) {
	l := f.limit
	if l == nil {
		return
	}
	for i, x := range l.flows {
		if x == f {
			l.flows = append(l.flows[:i], l.flows[i+1:]...)
			break
		}
	}
	if f.in == &l.parked {
		l.parked.remove(f)
		f.in = nil
		s.activate(f)
	}
}

// admits reports whether a start is within this instance's share.
func (l *limit) admits(now model.Time) bool {
	if l.concurrency > 0 && l.running >= l.share {
		return false
	}
	if l.rate <= 0 {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

func (l *limit) refill(now model.Time) {
	burst := math.Max(1, l.rateShare*rateBurst.Seconds())
	l.tokens = math.Min(burst, l.tokens+l.rateShare*now.Sub(l.filled).Seconds())
	l.filled = now
}

func (l *limit) take() {
	l.running++
	l.taken++
	l.tokens--
}

func (l *limit) release() { l.running-- }

func (l *limit) waiting() int {
	n := 0
	for _, f := range l.flows {
		n += f.waiting
	}
	return n
}

// limitedRate bounds the service that a flow can expect by its limit.
func (s *Scheduler) limitedRate(f *flow, r float64) float64 {
	l := f.limit
	if l == nil {
		return r
	}
	if l.concurrency > 0 {
		r = math.Min(r, math.Max(1, float64(l.share))/math.Max(s.usual, 0.01))
	}
	if l.rate > 0 {
		least := l.rate / float64(len(s.live)+1) / 10
		r = math.Min(r, math.Max(least, l.rateShare)*f.kindState.run.mean)
	}
	return r
}

// findAuthority computes which live instance shares the limit out.
func (s *Scheduler) findAuthority(now model.Time, l *limit) {
	best, high := s.opts.Self, rendezvous(model.ServerID(l.name), s.opts.Self)
	for _, p := range s.live {
		h := rendezvous(model.ServerID(l.name), p.ID)
		if h > high || (h == high && p.ID < best) {
			best, high = p.ID, h
		}
	}
	if best == l.authority {
		return
	}
	was := l.authority
	l.authority = best
	l.mustReport = true
	if best == s.opts.Self {
		l.table = &limitTable{since: now, ready: len(s.live) == 0, dirty: true}
		if s.limits.settled(s, now) && was == "" {
			l.table.ready = true
		}
		return
	}
	s.handOver(l, best)
}

// settled reports whether the list of instances has not changed for so long
// that nobody else can have been the authority of a limit seen first now.
func (x *limits) settled(s *Scheduler, now model.Time) bool {
	return s.peersAt != 0 && now.Sub(s.peersAt) >= takeover
}

// handOver sends the table to the new authority.
func (s *Scheduler) handOver(l *limit, to model.Instance) {
	t := l.table
	l.table = nil
	p := s.peers[to]
	if t == nil || !t.ready || p == nil {
		return
	}
	m := &peerpb.LimitTable{Row: l.name}
	for _, h := range t.holders {
		m.Holdings = append(m.Holdings, &peerpb.LimitHolding{
			Instance: string(h.id), Version: h.version,
			Concurrency: uint32(h.concurrency), Rate: h.rate,
		})
	}
	x := s.message(p)
	x.Tables = append(x.Tables, m)
}

func (x *limits) peersChanged(s *Scheduler, now model.Time) {
	s.peersAt = now
	for _, l := range x.list {
		s.findAuthority(now, l)
		if l.table != nil {
			l.table.dirty = true
		}
	}
}

func (x *limits) restarted(s *Scheduler, p *peer) {
	for _, l := range x.list {
		if l.authority == p.ID {
			l.mustReport = true
		}
		if l.table == nil {
			continue
		}
		if h := l.table.find(p.ID); h != nil {
			h.version++
			h.acked = h.version
			h.concurrency, h.rate, h.target, h.rateTarget = 0, 0, 0, 0
			h.demand, h.rateDemand = 0, 0
			l.table.dirty = true
		}
	}
}

// tickLimits wakes flows whose rate allows it, reports demand and divides
// the limits that this instance is the authority of.
func (s *Scheduler) tickLimits(now model.Time) {
	for _, l := range s.limits.list {
		if l.concurrency == 0 && l.rate == 0 {
			continue
		}
		l.measure()
		s.wakeAll(&l.parked)
		s.report(now, l)
		if l.table != nil {
			s.divide(now, l)
		}
	}
}

func (l *limit) measure() {
	dt := TickInterval.Seconds()
	l.startRate += dt / rateMemory.Seconds() * (float64(l.taken)/dt - l.startRate)
	l.taken = 0
}

// current describes what this instance holds and needs.
func (l *limit) current() peerpb.LimitReport {
	waiting := l.waiting()
	need := l.startRate
	if waiting > 0 && l.rate > 0 && l.tokens < 1 {
		need = math.Max(math.Max(need, l.rateShare)*rateGrowth+1, float64(waiting)/rateCatchUp.Seconds())
	}
	return peerpb.LimitReport{
		Row: l.name, Version: l.version,
		ConcurrencyHeld:   uint32(max(l.share, l.running)),
		ConcurrencyDemand: uint32(l.running + waiting),
		RateHeld:          l.rateShare,
		RateDemand:        need,
		ConcurrencyLimit:  uint32(l.concurrency),
		RateLimit:         l.rate,
	}
}

// report tells the authority of a change.
func (s *Scheduler) report(now model.Time, l *limit) {
	if l.authority == s.opts.Self {
		c := l.current()
		s.reported(now, l, s.opts.Self, s.opts.Domain, &c)
		return
	}
	p := s.peers[l.authority]
	if p == nil || !p.live {
		return
	}
	since := now.Sub(l.reportedAt)
	if !l.mustReport && since < reportEvery {
		return
	}
	c := l.current()
	if !l.mustReport && since < reportRenewal && !changed(&l.reported, &c) {
		return
	}
	l.mustReport = false
	l.reportedAt = now
	l.reported = peerpb.LimitReport{
		ConcurrencyHeld: c.ConcurrencyHeld, ConcurrencyDemand: c.ConcurrencyDemand,
		RateHeld: c.RateHeld, RateDemand: c.RateDemand,
	}
	m := s.message(p)
	m.Reports = append(m.Reports, &c)
}

// changed reports whether the authority should hear of the new state: what
// is held went down, or demand changed and matters to somebody.
func changed(old, now *peerpb.LimitReport) bool {
	if now.ConcurrencyHeld < old.ConcurrencyHeld || now.RateHeld < old.RateHeld {
		return true
	}
	conc := differs(float64(old.ConcurrencyDemand), float64(now.ConcurrencyDemand))
	scarce := max(now.ConcurrencyDemand, old.ConcurrencyDemand) >= now.ConcurrencyHeld
	if now.ConcurrencyLimit > 0 && conc && scarce {
		return true
	}
	rate := differs(old.RateDemand, now.RateDemand)
	return now.RateLimit > 0 && rate && math.Max(old.RateDemand, now.RateDemand) >= 0.9*now.RateHeld
}

func differs(a, b float64) bool {
	return math.Abs(a-b) > reportChange*math.Max(a, b)+0.5
}

func (s *Scheduler) receiveLimits(now model.Time, p *peer, m *peerpb.SchedMessage) {
	for _, r := range m.Reports {
		s.receiveReport(now, p, r)
	}
	for _, x := range m.Shares {
		if l := s.limits.byName[x.Row]; l != nil {
			s.takeShare(now, l, x)
		}
	}
	for _, t := range m.Tables {
		s.receiveTable(now, t)
	}
}

func (s *Scheduler) receiveReport(now model.Time, p *peer, r *peerpb.LimitReport) {
	l := s.limits.byName[r.Row]
	if l == nil {
		l = &limit{name: r.Row, filled: now, concurrency: int(r.ConcurrencyLimit), rate: r.RateLimit}
		s.limits.byName[r.Row] = l
		s.limits.list = append(s.limits.list, l)
		s.findAuthority(now, l)
	}
	if len(l.flows) == 0 {
		l.concurrency, l.rate = int(r.ConcurrencyLimit), r.RateLimit
	}
	if l.table == nil {
		return
	}
	s.reported(now, l, p.ID, p.Domain, r)
	s.divide(now, l)
}

// takeShare sets this instance's share. A lower one is confirmed.
func (s *Scheduler) takeShare(now model.Time, l *limit, x *peerpb.LimitShare) {
	if x.Version <= l.version {
		return
	}
	l.version = x.Version
	lower := int(x.Concurrency) < l.share || x.Rate < l.rateShare
	if l.rate > 0 {
		l.refill(now)
	}
	l.share = int(x.Concurrency)
	l.rateShare = x.Rate
	s.wakeAll(&l.parked)
	if lower {
		l.mustReport = true
		s.report(now, l)
	}
}

func (t *limitTable) find(id model.Instance) *holder {
	for _, h := range t.holders {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (t *limitTable) holder(id model.Instance, d model.Domain) *holder {
	h := t.find(id)
	if h == nil {
		h = &holder{id: id}
		t.holders = append(t.holders, h)
		sort.Slice(t.holders, func(i, k int) bool { return t.holders[i].id < t.holders[k].id })
	}
	if d != "" {
		h.domain = d
	}
	return h
}

// reported takes a holder's report into the table.
func (s *Scheduler) reported(now model.Time, l *limit, id model.Instance, d model.Domain, r *peerpb.LimitReport) {
	t := l.table
	h := t.holder(id, d)
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

// receiveTable takes over the table of the earlier authority.
func (s *Scheduler) receiveTable(now model.Time, m *peerpb.LimitTable) {
	l := s.limits.byName[m.Row]
	if l == nil {
		l = &limit{name: m.Row, filled: now}
		s.limits.byName[m.Row] = l
		s.limits.list = append(s.limits.list, l)
		s.findAuthority(now, l)
	}
	t := l.table
	if t == nil {
		return
	}
	for _, x := range m.Holdings {
		h := t.holder(model.Instance(x.Instance), "")
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
	t.ready = true
	t.dirty = true
}

// divide computes the holders' shares and sends those that change: first
// the lower ones; the higher ones as far as the limit leaves room.
func (s *Scheduler) divide(now model.Time, l *limit) {
	t := l.table
	s.reclaim(now, l)
	if !t.ready && now.Sub(t.since) >= takeover {
		t.ready = true
		t.dirty = true
	}
	if !t.ready || !t.dirty || now.Sub(t.divided) < shareOutEvery {
		return
	}
	t.divided = now
	t.dirty = false
	if !l.short() {
		return
	}
	s.divideConcurrency(l)
	s.divideRate(l)
	for _, h := range t.holders {
		s.sendShare(now, l, h)
	}
}

// short reports whether a holder needs more than it has, or the holders have
// more than the limit allows.
func (l *limit) short() bool {
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
	return (l.concurrency > 0 && held > l.concurrency) || (l.rate > 0 && rate > l.rate*(1+reportChange/10))
}

// reclaim frees the shares of instances that are gone for good.
func (s *Scheduler) reclaim(now model.Time, l *limit) {
	t := l.table
	keep := t.holders[:0]
	for _, h := range t.holders {
		if h.id != s.opts.Self && !s.isLive(h.id) {
			if h.goneAt == 0 {
				h.goneAt = now
			}
			wait := reclaimCut
			if s.domainLive(h.domain) {
				wait = reclaimShare
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
	for _, p := range s.live {
		if p.Domain == d {
			return true
		}
	}
	return false
}

// divideConcurrency sets the targets: everybody's demand as far as the limit
// goes, smallest demands first, and what is left in even parts.
func (s *Scheduler) divideConcurrency(l *limit) {
	if l.concurrency == 0 {
		return
	}
	live, gone := l.table.split()
	left := l.concurrency
	for _, h := range gone {
		left -= h.concurrency
	}
	left = max(0, left)
	byDemand := append([]*holder(nil), live...)
	sort.SliceStable(byDemand, func(i, k int) bool { return byDemand[i].demand < byDemand[k].demand })
	for i, h := range byDemand {
		part := left / (len(byDemand) - i)
		h.target = min(h.demand, part)
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

func (s *Scheduler) divideRate(l *limit) {
	if l.rate == 0 {
		return
	}
	live, gone := l.table.split()
	left := l.rate
	for _, h := range gone {
		left -= h.rate
	}
	left = math.Max(0, left)
	byDemand := append([]*holder(nil), live...)
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

// split separates the holders that are live from those that are gone.
func (t *limitTable) split() (live, gone []*holder) {
	for _, h := range t.holders {
		if h.goneAt == 0 {
			live = append(live, h)
		} else {
			gone = append(gone, h)
		}
	}
	return live, gone
}

// sendShare sends a holder its target if it matters: always when it goes
// down because others need it, and up when the holder is short.
func (s *Scheduler) sendShare(now model.Time, l *limit, h *holder) {
	if h.goneAt != 0 {
		return
	}
	up := h.target > h.concurrency || h.rateTarget > h.rate*(1+reportChange)
	down := h.target < h.concurrency || h.rateTarget < h.rate*(1-reportChange)
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
		s.takeShare(now, l, x)
		c := l.current()
		s.reported(now, l, h.id, s.opts.Domain, &c)
		return
	}
	m := s.message(s.peers[h.id])
	m.Shares = append(m.Shares, x)
}
