package sched

import (
	"cmp"
	"math"
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

func (c *customer) waitingWork() float64 {
	sum := 0.0
	for _, f := range c.flows {
		if f.waitReason != WaitLimit {
			sum += f.work()
		}
	}
	return sum
}

// rebalance compares the slots of all instances with their weighted demand,
// recalls slots if this instance has too few, and earmarks slots for peers if
// it has more than its share.
func (s *Scheduler) rebalance(now model.Time) {
	if s.unmetDemand() == 0 || s.lending.blockedSince == 0 || now.Sub(s.lending.blockedSince) < shareDelay {
		s.clearEarmarks()
		s.resetWeights()
		return
	}
	if now.Sub(s.lending.sharesComputedAt) < shareInterval {
		return
	}
	s.lending.sharesComputedAt = now
	s.computeShares()
	s.adjustWeights()
	s.recallSlots(now)
	s.earmarkSurplus(now)
}

func (s *Scheduler) clearEarmarks() {
	for _, p := range s.livePeers {
		p.earmarked = 0
	}
}

// totalDemand is the work of a customer over all instances.
type totalDemand struct {
	customer  model.Customer
	weight    float64
	work      float64
	satisfied float64 // fraction of its work that the customer's share covers
}

// computeShares divides the slots of all instances among the customers by
// weight, up to their work, and each customer's share among the instances by
// its work there.
func (s *Scheduler) computeShares() {
	total := float64(s.index.held)
	for _, p := range s.livePeers {
		total += float64(p.held)
	}
	demands := s.totalDemands()
	s.divideByWeight(demands, total*demandTimeConstantSeconds)
	own, sum := 0.0, 0.0
	for i := range demands {
		if c := s.queue.customersByName[demands[i].customer]; c != nil {
			own += c.totalWork() * demands[i].satisfied
		}
	}
	sum = own
	for _, p := range s.livePeers {
		p.fairShare = 0
		for _, c := range p.customerLoads {
			p.fairShare += float64(c.WorkMs) / 1e3 * s.lending.satisfied[model.Customer(c.Customer)]
		}
		sum += p.fairShare
	}
	scale := total / math.Max(sum, 1e-9)
	s.lending.fairShare = own * scale
	for _, p := range s.livePeers {
		p.fairShare *= scale
	}
}

// adjustWeights weights each customer by the part of its share that falls to
// this instance, so that the shares over all instances follow the table even
// if the customers' work is spread unevenly.
func (s *Scheduler) adjustWeights() {
	tableWeights, shares := 0.0, 0.0
	for _, c := range s.queue.customers {
		if share := c.totalWork() * s.lending.satisfied[c.name]; share > 0 {
			tableWeights += c.tableWeight
			shares += share
		}
	}
	if shares <= 0 {
		return
	}
	s.lending.weightsAdjusted = true
	for _, c := range s.queue.customers {
		if share := c.totalWork() * s.lending.satisfied[c.name]; share > 0 {
			s.setWeight(c, share*tableWeights/shares)
		}
	}
}

func (s *Scheduler) resetWeights() {
	if !s.lending.weightsAdjusted {
		return
	}
	s.lending.weightsAdjusted = false
	for _, c := range s.queue.customers {
		s.setWeight(c, c.tableWeight)
	}
}

// totalDemands adds up the work of each customer over all instances.
func (s *Scheduler) totalDemands() []totalDemand {
	list := make([]totalDemand, 0, len(s.queue.customers))
	index := make(map[model.Customer]int, len(s.queue.customers))
	add := func(c model.Customer, work float64) {
		i, ok := index[c]
		if !ok {
			i = len(list)
			index[c] = i
			list = append(list, totalDemand{customer: c, weight: s.tableWeight(c)})
		}
		list[i].work += work
	}
	for _, c := range s.queue.customers {
		if w := c.totalWork(); w > 0 {
			add(c.name, w)
		}
	}
	for _, p := range s.livePeers {
		for _, c := range p.customerLoads {
			add(model.Customer(c.Customer), float64(c.WorkMs)/1e3)
		}
	}
	return list
}

// divideByWeight divides a capacity by weight, giving no customer more than
// its work, and records the fraction of each customer's work that is covered.
func (s *Scheduler) divideByWeight(demands []totalDemand, capacity float64) {
	slices.SortFunc(demands, func(a, b totalDemand) int {
		if c := cmp.Compare(a.work*b.weight, b.work*a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.customer, b.customer)
	})
	weights := 0.0
	for i := range demands {
		weights += demands[i].weight
	}
	s.lending.satisfied = make(map[model.Customer]float64, len(demands))
	for i := range demands {
		d := &demands[i]
		share := math.Min(d.work, capacity*d.weight/weights)
		d.satisfied = share / math.Max(d.work, 1e-9)
		s.lending.satisfied[d.customer] = d.satisfied
		capacity -= share
		weights -= d.weight
	}
}

// totalWork is the waiting and the recently submitted work, in seconds.
func (c *customer) totalWork() float64 { return c.waitingWork() + c.demand*demandTimeConstantSeconds }

func (s *Scheduler) tableWeight(name model.Customer) float64 {
	if c := s.queue.customersByName[name]; c != nil {
		return c.tableWeight
	}
	return weightOrDefault(s.opts.Policy.Row(name, "").Weight)
}

// recallSlots recalls lent slots while this instance holds less than its share
// and the borrower more than its own.
func (s *Scheduler) recallSlots(now model.Time) {
	short := int(s.lending.fairShare - float64(s.index.held))
	short = min(short, s.unmetDemand())
	for _, p := range s.livePeers {
		if short <= 0 {
			return
		}
		surplus := p.held - int(p.fairShare*(1-shareSlack))
		n := min(short, p.lent, surplus)
		if n <= 0 || now.Sub(p.recalledAt) < recallInterval {
			continue
		}
		p.recalledAt = now
		s.messageTo(p).Recall = &peerpb.SlotRecall{Count: uint32(n)}
		short -= n
	}
}

// earmarkSurplus earmarks slots for peers below their share while this
// instance holds more than its own.
func (s *Scheduler) earmarkSurplus(now model.Time) {
	s.clearEarmarks()
	surplus := s.index.held - int(s.lending.fairShare*(1+shareSlack))
	for _, p := range s.livePeers {
		if surplus <= 0 {
			return
		}
		if now >= p.request.expiresAt {
			continue
		}
		n := min(surplus, p.request.want, int(p.fairShare)-p.held)
		if n > 0 {
			p.earmarked = n
			surplus -= n
		}
	}
}
