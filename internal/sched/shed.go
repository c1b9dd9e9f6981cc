package sched

import (
	"cmp"
	"math"
	"slices"
)

const (
	demandTimeConstantSeconds = 2.0  // of the moving averages of submitted work
	shedTargetSeconds         = 0.25 // queue delay that shedding aims at
	shedStartDelaySeconds     = 0.3  // queue delay above which shedding may start
	shedStartAfterSeconds     = 1.5  // how long the delay exceeds shedStartDelaySeconds first
	shedStopAfterSeconds      = 1.0  // shedding stops once the queue has been short this long
	shedBurstSeconds          = 2.0  // credit that a customer may save up, as time at its share
	shedProportionalGain      = 0.3  // of the capacity correction
	shedIntegralGain          = 0.1  // of the capacity correction, per second
	fairRateTicks             = 5    // interval between divisions of the capacity
	minCapacityGain           = 0.5
	maxCapacityGain           = 2.0
)

// shedding rejects work of the customers that are served most for their weight
// while demand exceeds capacity. Capacity is divided by weight, up to each
// customer's demand; the queue delay corrects the capacity estimate.
type shedding struct {
	active            bool
	fairRate          float64 // seconds of work a second per unit of weight
	capacityGain      float64 // learned correction of the capacity
	shortQueueSeconds float64 // how long the queue has been short
	longQueueSeconds  float64 // how long the delay has exceeded shedStartDelaySeconds
	byDemand          []*customer
}

// rejects reports whether the customer has used up its share. Work is admitted
// if at least half of it is covered, so that large jobs gain a customer no
// more than its share.
func (x *shedding) rejects(c *customer, work float64) bool {
	return x.active && c.credit <= work/2
}

// hasCredit reports whether work is being shed and the customer's share covers
// this work.
func (x *shedding) hasCredit(c *customer, work float64) bool {
	return x.active && c.credit > work
}

// updateShedding divides the capacity and adds to each customer's credit.
func (s *Scheduler) updateShedding(dt float64) {
	s.measureDemand(dt)
	x := &s.shed
	delay := float64(s.unmetDemand()) * s.meanWaitingRunTime() * s.meanSlowness / s.capacity()
	if !x.active {
		s.detectOverload(delay, dt)
		return
	}
	relativeError := math.Max(-1, math.Min(1, (shedTargetSeconds-delay)/shedTargetSeconds))
	x.capacityGain *= math.Exp(shedIntegralGain * relativeError * dt)
	x.capacityGain = math.Max(minCapacityGain, math.Min(maxCapacityGain, x.capacityGain))
	capacity := s.capacity() / math.Max(s.meanSlowness, 0.01) * x.capacityGain * (1 + shedProportionalGain*relativeError)
	first := x.fairRate == 0
	if first || s.ticks%fairRateTicks == 0 {
		x.fairRate = s.fairRate(capacity)
	}
	if first {
		s.initCredit()
	}
	for _, c := range s.queue.customers {
		share := x.fairRate * c.weight
		c.credit = math.Min(c.credit+share*dt, share*shedBurstSeconds)
	}
	x.shortQueueSeconds += dt
	if delay > shedTargetSeconds/10 {
		x.shortQueueSeconds = 0
	}
	x.active = x.shortQueueSeconds < shedStopAfterSeconds
}

// detectOverload starts shedding once the queue has been long for some time.
// It tolerates bursts, such as one large job: queue order shields other jobs,
// and jobs that cannot meet their deadline are rejected anyway.
func (s *Scheduler) detectOverload(delay, dt float64) {
	x := &s.shed
	if delay <= shedStartDelaySeconds {
		x.longQueueSeconds = 0
		return
	}
	x.longQueueSeconds += dt
	if x.longQueueSeconds >= shedStartAfterSeconds && !s.opts.Mode.NoAdmission {
		s.startShedding()
	}
}

// initCredit sets each customer's initial credit: its share of the target
// queue, less the work it already has queued.
func (s *Scheduler) initCredit() {
	for _, c := range s.queue.customers {
		c.credit = s.shed.fairRate*c.weight*shedTargetSeconds - c.waitingWork()
	}
}

func (s *Scheduler) startShedding() {
	s.shed.longQueueSeconds = 0
	s.shed.active = true
	s.shed.fairRate = 0
	s.shed.capacityGain = 1
	s.shed.shortQueueSeconds = 0
}

func (s *Scheduler) measureDemand(dt float64) {
	gain := 1 - math.Exp(-dt/demandTimeConstantSeconds)
	for _, c := range s.queue.customers {
		c.demand += gain * (c.offered/dt - c.demand)
		c.offered = 0
	}
	for _, f := range s.queue.flowList {
		f.demand += gain * (f.offered/dt - f.demand)
		f.offered = 0
	}
}

// fairRate returns the rate per unit of weight at which the customers' shares,
// none above its demand, add up to the capacity.
func (s *Scheduler) fairRate(capacity float64) float64 {
	x := &s.shed
	x.byDemand = append(x.byDemand[:0], s.queue.customers...)
	slices.SortFunc(x.byDemand, func(a, b *customer) int {
		if c := cmp.Compare(a.demand*b.weight, b.demand*a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	weights := 0.0
	for _, c := range x.byDemand {
		weights += c.weight
	}
	rate := 0.0
	for _, c := range x.byDemand {
		rate = capacity / math.Max(weights, 1e-9)
		if c.demand > rate*c.weight {
			return rate
		}
		capacity -= c.demand
		weights -= c.weight
	}
	const ample = 2 // no customer is short
	return ample * math.Max(rate, 1)
}

// meanWaitingRunTime is the mean expected run time of the waiting tasks, in
// seconds.
func (s *Scheduler) meanWaitingRunTime() float64 {
	return s.queue.waitingWork / math.Max(1, float64(s.queue.waiting))
}
