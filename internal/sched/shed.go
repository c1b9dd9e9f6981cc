package sched

import (
	"cmp"
	"math"
	"slices"
)

const (
	demandTimeConstantSeconds = 2.0  // time constant of the work asked for, seconds
	shedTargetSeconds         = 0.25 // delay of the whole queue that shedding aims at, seconds
	shedStartDelaySeconds     = 0.3  // delay of the whole queue above which shedding begins, seconds
	shedStartAfterSeconds     = 1.5  // for how long the delay is above that before, seconds
	shedStopAfterSeconds      = 1.0  // shedding ends when the queue has been short for so long, seconds
	shedBurstSeconds          = 2.0  // credit that a customer may save up, as time at its part, seconds
	shedProportionalGain      = 0.3  // change of the capacity by the queue's difference from its target
	shedIntegralGain          = 0.1  // the same lastingly, a second
	fairRateTicks             = 5    // ticks between divisions of the capacity
	minCapacityGain           = 0.5
	maxCapacityGain           = 2.0
)

// shedding refuses work of the customers that get most for their weight
// while more is asked for than can be served. The capacity is divided by
// weight, but nobody gets more than it asks for; the queue's delay corrects
// what the capacity is taken for.
type shedding struct {
	active            bool
	fairRate          float64 // seconds of work a second for a weight of one
	capacityGain      float64 // learned correction of the capacity
	shortQueueSeconds float64 // for how long the queue has been short, seconds
	longQueueSeconds  float64 // for how long the delay has been above shedOnAbove, seconds
	byDemand          []*customer
}

// rejects reports whether the customer has used up its part. Work is taken
// when at least half of it is covered, so that large jobs bring no customer
// more than its part.
func (x *shedding) rejects(c *customer, work float64) bool {
	return x.active && c.credit <= work/2
}

// hasCredit reports whether work is shed and the customer has not used its part.
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
	off := math.Max(-1, math.Min(1, (shedTargetSeconds-delay)/shedTargetSeconds))
	x.capacityGain *= math.Exp(shedIntegralGain * off * dt)
	x.capacityGain = math.Max(minCapacityGain, math.Min(maxCapacityGain, x.capacityGain))
	capacity := s.capacity() / math.Max(s.meanSlowness, 0.01) * x.capacityGain * (1 + shedProportionalGain*off)
	first := x.fairRate == 0
	if first || s.ticks%fairRateTicks == 0 {
		x.fairRate = s.fairRate(capacity)
	}
	if first {
		s.initCredit()
	}
	for _, c := range s.queue.customers {
		part := x.fairRate * c.weight
		c.credit = math.Min(c.credit+part*dt, part*shedBurstSeconds)
	}
	x.shortQueueSeconds += dt
	if delay > shedTargetSeconds/10 {
		x.shortQueueSeconds = 0
	}
	x.active = x.shortQueueSeconds < shedStopAfterSeconds
}

// detectOverload begins shedding once the queue has been long for some time. A
// burst, such as one large job, passes: the order of the queue keeps it from
// others, and what can't meet its deadline is refused anyhow.
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

// initCredit sets what each customer may be admitted at first: its part of
// the queue that shedding aims at, less what it has in the queue already.
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

// fairRate returns the level at which the customers' parts, none above its
// demand, add up to the capacity.
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
	level := 0.0
	for _, c := range x.byDemand {
		level = capacity / math.Max(weights, 1e-9)
		if c.demand > level*c.weight {
			return level
		}
		capacity -= c.demand
		weights -= c.weight
	}
	const ample = 2 // nobody is short
	return ample * math.Max(level, 1)
}

// meanWaitingRunTime is the mean expected run time of the waiting tasks, seconds.
func (s *Scheduler) meanWaitingRunTime() float64 {
	return s.queue.waitingWork / math.Max(1, float64(s.queue.waiting))
}
