package sched

import (
	"math"
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
	name := row.LimitName
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
