package sched

import (
	"cmp"
	"math"
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

func (c *customer) work() float64 {
	sum := 0.0
	for _, f := range c.flows {
		if f.cause != WaitLimit {
			sum += f.work()
		}
	}
	return sum
}

// balance compares the slots of the instances with their weighted demand,
// recalls slots when this instance is short, and marks slots for peers that
// are short while it has more than its share.
func (s *Scheduler) balance(now model.Time) {
	if s.unmet() == 0 || s.lend.queuedAt == 0 || now.Sub(s.lend.queuedAt) < sharePatience {
		s.clearYields()
		s.resetWeights()
		return
	}
	if now.Sub(s.lend.sharesAt) < shareEvery {
		return
	}
	s.lend.sharesAt = now
	s.computeShares()
	s.localWeights()
	s.recallShort(now)
	s.yieldSurplus(now)
}

func (s *Scheduler) clearYields() {
	for _, p := range s.live {
		p.yield = 0
	}
}

// want is the work of a customer over all instances.
type want struct {
	customer model.Customer
	weight   float64
	work     float64
	level    float64 // part that the customer gets of its work
}

// computeShares divides the slots of all instances: among the customers by
// weight, as far as they have work, and each customer's part among the
// instances by its work there.
func (s *Scheduler) computeShares() {
	total := float64(s.index.held)
	for _, p := range s.live {
		total += float64(p.held)
	}
	wants := s.wants()
	s.fill(wants, total*demandMemory)
	own, sum := 0.0, 0.0
	for i := range wants {
		if c := s.queue.byName[wants[i].customer]; c != nil {
			own += c.wanted() * wants[i].level
		}
	}
	sum = own
	for _, p := range s.live {
		p.share = 0
		for _, c := range p.customers {
			p.share += float64(c.WorkMs) / 1e3 * s.lend.level[model.Customer(c.Customer)]
		}
		sum += p.share
	}
	scale := total / math.Max(sum, 1e-9)
	s.lend.ownShare = own * scale
	for _, p := range s.live {
		p.share *= scale
	}
}

// localWeights gives each customer the weight that its work at this instance
// has in its part of the whole, so that the parts over all instances follow
// the table also when the customers' work is spread unevenly.
func (s *Scheduler) localWeights() {
	rows, parts := 0.0, 0.0
	for _, c := range s.queue.customers {
		if part := c.wanted() * s.lend.level[c.name]; part > 0 {
			rows += c.row
			parts += part
		}
	}
	if parts <= 0 {
		return
	}
	s.lend.localWeights = true
	for _, c := range s.queue.customers {
		if part := c.wanted() * s.lend.level[c.name]; part > 0 {
			s.setWeight(c, part*rows/parts)
		}
	}
}

func (s *Scheduler) resetWeights() {
	if !s.lend.localWeights {
		return
	}
	s.lend.localWeights = false
	for _, c := range s.queue.customers {
		s.setWeight(c, c.row)
	}
}

// wants adds up the work of each customer over the instances.
func (s *Scheduler) wants() []want {
	list := make([]want, 0, len(s.queue.customers))
	at := make(map[model.Customer]int, len(s.queue.customers))
	add := func(c model.Customer, work float64) {
		i, ok := at[c]
		if !ok {
			i = len(list)
			at[c] = i
			list = append(list, want{customer: c, weight: s.weightOf(c)})
		}
		list[i].work += work
	}
	for _, c := range s.queue.customers {
		if w := c.wanted(); w > 0 {
			add(c.name, w)
		}
	}
	for _, p := range s.live {
		for _, c := range p.customers {
			add(model.Customer(c.Customer), float64(c.WorkMs)/1e3)
		}
	}
	return list
}

// fill divides a capacity for work by weight, nobody getting more than it
// has work for, and notes each customer's part.
func (s *Scheduler) fill(wants []want, capacity float64) {
	slices.SortFunc(wants, func(a, b want) int {
		if c := cmp.Compare(a.work*b.weight, b.work*a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.customer, b.customer)
	})
	weights := 0.0
	for i := range wants {
		weights += wants[i].weight
	}
	s.lend.level = make(map[model.Customer]float64, len(wants))
	for i := range wants {
		w := &wants[i]
		part := math.Min(w.work, capacity*w.weight/weights)
		w.level = part / math.Max(w.work, 1e-9)
		s.lend.level[w.customer] = w.level
		capacity -= part
		weights -= w.weight
	}
}

// wanted is the work that waits and that was asked for lately, seconds.
func (c *customer) wanted() float64 { return c.work() + c.demand*demandMemory }

func (s *Scheduler) weightOf(name model.Customer) float64 {
	if c := s.queue.byName[name]; c != nil {
		return c.row
	}
	return positive(s.opts.Policy.Row(name, "").Weight)
}

// recallShort recalls lent slots while this instance holds less than its
// share and the borrower more.
func (s *Scheduler) recallShort(now model.Time) {
	short := int(s.lend.ownShare - float64(s.index.held))
	short = min(short, s.unmet())
	for _, p := range s.live {
		if short <= 0 {
			return
		}
		over := p.held - int(p.share*(1-shareSlack))
		n := min(short, p.lent, over)
		if n <= 0 || now.Sub(p.recallAt) < recallEvery {
			continue
		}
		p.recallAt = now
		s.message(p).Recall = &peerpb.SlotRecall{Count: uint32(n)}
		short -= n
	}
}

// yieldSurplus marks slots for peers that hold less than their share, while
// this instance holds more than its own.
func (s *Scheduler) yieldSurplus(now model.Time) {
	s.clearYields()
	surplus := s.index.held - int(s.lend.ownShare*(1+shareSlack))
	for _, p := range s.live {
		if surplus <= 0 {
			return
		}
		if now >= p.ask.until {
			continue
		}
		n := min(surplus, p.ask.want, int(p.share)-p.held)
		if n > 0 {
			p.yield = n
			surplus -= n
		}
	}
}
