package sched

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

const (
	minReportInterval     = 100 * time.Millisecond // between reports of changed demand
	reportRenewInterval   = 3 * time.Second        // between reports without a change
	minDemandChange       = 0.1                    // fraction by which demand has to change for a report
	minAllocationInterval = 40 * time.Millisecond  // between allocations of one limit
	tableHandoverTimeout  = 3 * time.Second        // how long a new coordinator waits for the table of the previous one
	shareReclaimDelay     = 5 * time.Second        // the share of a departed instance is reallocated after this
	partitionReclaimDelay = 10 * time.Minute       // the same when no instance of its domain is live
	rateBurstTime         = 50 * time.Millisecond  // starts that may be saved up, as time at the rate share
	throttledDemandGrowth = 1.5                    // demand reported by an instance throttled by its rate, as a multiple of its share
	rateCatchUpTime       = 500 * time.Millisecond // a throttled instance requests the rate that clears its queue in this time
	rateTimeConstant      = 250 * time.Millisecond // of the measured start rate
)

// limit is a row's limit on concurrency and rate, with this instance's share.
type limit struct {
	name        string
	concurrency int     // of the row, 0 = unlimited
	rate        float64 // of the row, in starts a second, 0 = unlimited
	flows       []*flow
	parked      heap[*flow]
	running     int

	concurrencyShare int
	rateShare        float64
	version          uint64
	tokens           float64
	refilledAt       model.Time
	startsThisTick   int
	startRate        float64 // starts a second

	coordinator model.Instance
	reportedAt  model.Time
	lastReport  peerpb.LimitReport
	mustReport  bool

	table *limitTable // non-nil on the coordinator
}

// limits are the row limits that this instance has seen, in order of first
// use.
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
		l = &limit{name: name, refilledAt: now}
		s.limits.byName[name] = l
		s.limits.list = append(s.limits.list, l)
		s.electCoordinator(now, l)
	}
	if f.limit != l {
		s.leaveLimit(f)
		l.flows = append(l.flows, f)
	}
	if l.concurrency != row.Concurrency || l.rate != row.Rate {
		l.concurrency, l.rate = max(0, row.Concurrency), math.Max(0, row.Rate)
		l.mustReport = true
		l.clampShares()
	}
	return l
}

func (l *limit) clampShares() {
	l.concurrencyShare = min(l.concurrencyShare, l.concurrency)
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
	if f.heap == &l.parked {
		l.parked.remove(f)
		f.heap = nil
		s.activate(f)
	}
}

// admits reports whether a start is within this instance's share.
func (l *limit) admits(now model.Time) bool {
	if l.concurrency > 0 && l.running >= l.concurrencyShare {
		return false
	}
	if l.rate <= 0 {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

func (l *limit) refill(now model.Time) {
	burst := math.Max(1, l.rateShare*rateBurstTime.Seconds())
	l.tokens = math.Min(burst, l.tokens+l.rateShare*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}

func (l *limit) recordStart() {
	l.running++
	l.startsThisTick++
	l.tokens--
}

func (l *limit) recordEnd() { l.running-- }

func (l *limit) waiting() int {
	n := 0
	for _, f := range l.flows {
		n += f.waiting
	}
	return n
}

// limitedRate caps the service rate that a flow can expect by its limit.
func (s *Scheduler) limitedRate(f *flow, r float64) float64 {
	l := f.limit
	if l == nil {
		return r
	}
	if l.concurrency > 0 {
		r = math.Min(r, math.Max(1, float64(l.concurrencyShare))/math.Max(s.meanSlowness, 0.01))
	}
	if l.rate > 0 {
		minRate := l.rate / float64(len(s.livePeers)+1) / 10
		r = math.Min(r, math.Max(minRate, l.rateShare)*f.kindState.run.mean)
	}
	return r
}

func (x *limits) peersChanged(s *Scheduler, now model.Time) {
	s.peersChangedAt = now
	for _, l := range x.list {
		s.electCoordinator(now, l)
		if l.table != nil {
			l.table.dirty = true
		}
	}
}

func (x *limits) peerRestarted(s *Scheduler, p *peer) {
	for _, l := range x.list {
		if l.coordinator == p.ID {
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

// tickLimits unparks throttled flows, reports demand and allocates the limits
// that this instance coordinates.
func (s *Scheduler) tickLimits(now model.Time) {
	for _, l := range s.limits.list {
		if l.concurrency == 0 && l.rate == 0 {
			continue
		}
		l.updateStartRate()
		s.unparkAll(&l.parked)
		s.reportDemand(now, l)
		if l.table != nil {
			s.allocateLimit(now, l)
		}
	}
}

func (l *limit) updateStartRate() {
	dt := TickInterval.Seconds()
	l.startRate += dt / rateTimeConstant.Seconds() * (float64(l.startsThisTick)/dt - l.startRate)
	l.startsThisTick = 0
}

// currentReport describes what this instance holds and needs.
func (l *limit) currentReport() peerpb.LimitReport {
	waiting := l.waiting()
	need := l.startRate
	if waiting > 0 && l.rate > 0 && l.tokens < 1 {
		need = math.Max(math.Max(need, l.rateShare)*throttledDemandGrowth+1, float64(waiting)/rateCatchUpTime.Seconds())
	}
	return peerpb.LimitReport{
		Row: l.name, Version: l.version,
		ConcurrencyHeld:   uint32(max(l.concurrencyShare, l.running)),
		ConcurrencyDemand: uint32(l.running + waiting),
		RateHeld:          l.rateShare,
		RateDemand:        need,
		ConcurrencyLimit:  uint32(l.concurrency),
		RateLimit:         l.rate,
	}
}

// reportDemand reports changed holdings or demand to the coordinator.
func (s *Scheduler) reportDemand(now model.Time, l *limit) {
	if l.coordinator == s.opts.Self {
		r := l.currentReport()
		s.recordReport(now, l, s.opts.Self, s.opts.Domain, &r)
		return
	}
	p := s.peers[l.coordinator]
	if p == nil || !p.live {
		return
	}
	since := now.Sub(l.reportedAt)
	if !l.mustReport && since < minReportInterval {
		return
	}
	r := l.currentReport()
	if !l.mustReport && since < reportRenewInterval && !reportNeeded(&l.lastReport, &r) {
		return
	}
	l.mustReport = false
	l.reportedAt = now
	l.lastReport = peerpb.LimitReport{
		ConcurrencyHeld: r.ConcurrencyHeld, ConcurrencyDemand: r.ConcurrencyDemand,
		RateHeld: r.RateHeld, RateDemand: r.RateDemand,
	}
	m := s.messageTo(p)
	m.Reports = append(m.Reports, &r)
}

// reportNeeded reports whether the coordinator should learn of the new state:
// holdings decreased, or demand changed and the limit is scarce.
func reportNeeded(old, latest *peerpb.LimitReport) bool {
	if latest.ConcurrencyHeld < old.ConcurrencyHeld || latest.RateHeld < old.RateHeld {
		return true
	}
	conc := demandDiffers(float64(old.ConcurrencyDemand), float64(latest.ConcurrencyDemand))
	scarce := max(latest.ConcurrencyDemand, old.ConcurrencyDemand) >= latest.ConcurrencyHeld
	if latest.ConcurrencyLimit > 0 && conc && scarce {
		return true
	}
	rate := demandDiffers(old.RateDemand, latest.RateDemand)
	return latest.RateLimit > 0 && rate && math.Max(old.RateDemand, latest.RateDemand) >= 0.9*latest.RateHeld
}

func demandDiffers(a, b float64) bool {
	return math.Abs(a-b) > minDemandChange*math.Max(a, b)+0.5
}

func (s *Scheduler) receiveLimits(now model.Time, p *peer, m *peerpb.SchedMessage) {
	for _, r := range m.Reports {
		s.receiveReport(now, p, r)
	}
	for _, x := range m.Shares {
		if l := s.limits.byName[x.Row]; l != nil {
			s.applyShare(now, l, x)
		}
	}
	for _, t := range m.Tables {
		s.receiveTable(now, t)
	}
}

func (s *Scheduler) receiveReport(now model.Time, p *peer, r *peerpb.LimitReport) {
	l := s.limits.byName[r.Row]
	if l == nil {
		l = &limit{name: r.Row, refilledAt: now, concurrency: int(r.ConcurrencyLimit), rate: r.RateLimit}
		s.limits.byName[r.Row] = l
		s.limits.list = append(s.limits.list, l)
		s.electCoordinator(now, l)
	}
	if len(l.flows) == 0 {
		l.concurrency, l.rate = int(r.ConcurrencyLimit), r.RateLimit
	}
	if l.table == nil {
		return
	}
	s.recordReport(now, l, p.ID, p.Domain, r)
	s.allocateLimit(now, l)
}

// applyShare sets this instance's share. A decrease is acknowledged.
func (s *Scheduler) applyShare(now model.Time, l *limit, x *peerpb.LimitShare) {
	if x.Version <= l.version {
		return
	}
	l.version = x.Version
	lower := int(x.Concurrency) < l.concurrencyShare || x.Rate < l.rateShare
	if l.rate > 0 {
		l.refill(now)
	}
	l.concurrencyShare = int(x.Concurrency)
	l.rateShare = x.Rate
	s.unparkAll(&l.parked)
	if lower {
		l.mustReport = true
		s.reportDemand(now, l)
	}
}
