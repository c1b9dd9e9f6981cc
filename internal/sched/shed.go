package sched

import "math"

const (
	shedMemory   = 1.0  // time constant of the admitted work, seconds
	shedTarget   = 0.3 // delay of the whole queue that shedding aims at, seconds
	shedBurst    = 0.25 // credit that a customer may save up, as time at its part, seconds
	shedOnAbove  = 0.25 // delay of the whole queue at which shedding begins, seconds
	shedOffAfter = 1.0  // shedding ends when the queue has been short for so long, seconds
	shedGrowth   = 0.3  // growth of the level while the queue is short, a second
	shedDecay    = 0.6  // decay of the level while the queue is at twice its target or more, a second
)

// shedding refuses work of the customers that get most for their weight
// while more is asked for than can be served. Each customer may be admitted
// up to its weight times a common level, which follows the queue.
type shedding struct {
	on    bool
	level float64 // seconds of work a second for a weight of one
	short float64 // for how long the queue has been short, seconds
}

// refuses reports whether the customer has used up its part.
func (x *shedding) refuses(c *customer) bool { return x.on && c.credit <= 0 }

func (x *shedding) admitted(c *customer, work float64) {
	c.admitted += work / shedMemory
	c.credit -= work
}

// updateShedding adjusts the level to the queue, and each customer's credit.
func (s *Scheduler) updateShedding(dt float64) {
	decay := math.Exp(-dt / shedMemory)
	top := 0.0
	for _, c := range s.queue.customers {
		c.admitted *= decay
		top = math.Max(top, c.admitted/c.weight)
		part := s.shed.level * c.weight
		c.credit = math.Min(c.credit+part*dt, part*shedBurst)
	}
	x := &s.shed
	delay := float64(s.unmet()) * s.meanWaiting() * s.usual / s.capacity()
	if !x.on {
		if delay > shedOnAbove && !s.opts.Mode.NoAdmission {
			*x = shedding{on: true, level: top}
			for _, c := range s.queue.customers {
				c.credit = 0
			}
		}
		return
	}
	over := math.Min(1, (delay-shedTarget)/shedTarget)
	if over > 0 {
		x.level *= math.Exp(-shedDecay * over * dt)
	} else {
		x.level *= math.Exp(-shedGrowth * over * dt)
	}
	x.level = math.Min(x.level, top+1)
	x.short += dt
	if delay > shedTarget/10 {
		x.short = 0
	}
	x.on = x.short < shedOffAfter
}

// meanWaiting is the mean expected run time of the waiting tasks, seconds.
func (s *Scheduler) meanWaiting() float64 {
	return s.queue.work / math.Max(1, float64(s.queue.waiting))
}
