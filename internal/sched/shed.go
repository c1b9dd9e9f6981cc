package sched

import (
	"cmp"
	"math"
	"slices"
)

const (
	demandMemory = 2.0  // time constant of the work asked for, seconds
	shedTarget   = 0.25 // delay of the whole queue that shedding aims at, seconds
	shedOnAbove  = 0.3  // delay of the whole queue above which shedding begins, seconds
	shedOnAfter  = 1.5  // for how long the delay is above that before, seconds
	shedOffAfter = 1.0  // shedding ends when the queue has been short for so long, seconds
	shedBurst    = 2.0  // credit that a customer may save up, as time at its part, seconds
	shedDamping  = 0.3  // change of the capacity by the queue's difference from its target
	shedLearning = 0.1  // the same lastingly, a second
	levelEvery   = 5    // ticks between divisions of the capacity
	leastGain    = 0.5
	mostGain     = 2.0
)

// shedding refuses work of the customers that get most for their weight
// while more is asked for than can be served. The capacity is divided by
// weight, but nobody gets more than it asks for; the queue's delay corrects
// what the capacity is taken for.
type shedding struct {
	on    bool
	level float64 // seconds of work a second for a weight of one
	gain  float64 // learned correction of the capacity
	short float64 // for how long the queue has been short, seconds
	long  float64 // for how long the delay has been above shedOnAbove, seconds
	order []*customer
}

// refuses reports whether the customer has used up its part. Work is taken
// when at least half of it is covered, so that large jobs bring no customer
// more than its part.
func (x *shedding) refuses(c *customer, work float64) bool {
	return x.on && c.credit <= work/2
}

// covers reports whether work is shed and the customer has not used its part.
func (x *shedding) covers(c *customer, work float64) bool {
	return x.on && c.credit > work
}

// updateShedding divides the capacity and adds to each customer's credit.
func (s *Scheduler) updateShedding(dt float64) {
	s.measureDemand(dt)
	x := &s.shed
	delay := float64(s.unmet()) * s.meanWaiting() * s.usual / s.capacity()
	if !x.on {
		s.watchOverload(delay, dt)
		return
	}
	off := math.Max(-1, math.Min(1, (shedTarget-delay)/shedTarget))
	x.gain *= math.Exp(shedLearning * off * dt)
	x.gain = math.Max(leastGain, math.Min(mostGain, x.gain))
	capacity := s.capacity() / math.Max(s.usual, 0.01) * x.gain * (1 + shedDamping*off)
	first := x.level == 0
	if first || s.ticks%levelEvery == 0 {
		x.level = s.fairLevel(capacity)
	}
	if first {
		s.firstCredit()
	}
	for _, c := range s.queue.customers {
		part := x.level * c.weight
		c.credit = math.Min(c.credit+part*dt, part*shedBurst)
	}
	x.short += dt
	if delay > shedTarget/10 {
		x.short = 0
	}
	x.on = x.short < shedOffAfter
}

// watchOverload begins shedding once the queue has been long for some time. A
// burst, such as one large job, passes: the order of the queue keeps it from
// others, and what can't meet its deadline is refused anyhow.
func (s *Scheduler) watchOverload(delay, dt float64) {
	x := &s.shed
	if delay <= shedOnAbove {
		x.long = 0
		return
	}
	x.long += dt
	if x.long >= shedOnAfter && !s.opts.Mode.NoAdmission {
		s.beginShedding()
	}
}

// firstCredit sets what each customer may be admitted at first: its part of
// the queue that shedding aims at, less what it has in the queue already.
func (s *Scheduler) firstCredit() {
	for _, c := range s.queue.customers {
		c.credit = s.shed.level*c.weight*shedTarget - c.work()
	}
}

func (s *Scheduler) beginShedding() {
	s.shed.long = 0
	s.shed.on = true
	s.shed.level = 0
	s.shed.gain = 1
	s.shed.short = 0
}

func (s *Scheduler) measureDemand(dt float64) {
	gain := 1 - math.Exp(-dt/demandMemory)
	for _, c := range s.queue.customers {
		c.demand += gain * (c.offered/dt - c.demand)
		c.offered = 0
	}
	for _, f := range s.queue.flowList {
		f.demand += gain * (f.offered/dt - f.demand)
		f.offered = 0
	}
}

// fairLevel returns the level at which the customers' parts, none above its
// demand, add up to the capacity.
func (s *Scheduler) fairLevel(capacity float64) float64 {
	x := &s.shed
	x.order = append(x.order[:0], s.queue.customers...)
	slices.SortFunc(x.order, func(a, b *customer) int {
		if c := cmp.Compare(a.demand*b.weight, b.demand*a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	weights := 0.0
	for _, c := range x.order {
		weights += c.weight
	}
	level := 0.0
	for _, c := range x.order {
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

// meanWaiting is the mean expected run time of the waiting tasks, seconds.
func (s *Scheduler) meanWaiting() float64 {
	return s.queue.work / math.Max(1, float64(s.queue.waiting))
}
