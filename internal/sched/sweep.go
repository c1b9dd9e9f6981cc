package sched

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	sweepIntervalTicks = 500
	idleFlowTTL        = 10 * time.Minute // an idle flow is evicted after this, with its learned run times
)

// evictIdle evicts flows that have long been idle, and customers and kinds
// without flows, to bound memory by what callers use.
func (s *Scheduler) evictIdle(now model.Time) {
	q := &s.queue
	keep := q.flowList[:0]
	for _, f := range q.flowList {
		if f.waiting > 0 || f.heap != nil || now.Sub(f.idleSince) < idleFlowTTL {
			keep = append(keep, f)
			continue
		}
		s.evictFlow(f)
	}
	clear(q.flowList[len(keep):])
	q.flowList = keep
	s.evictCustomers()
}

func (s *Scheduler) evictFlow(f *flow) {
	q := &s.queue
	s.leaveLimit(f)
	delete(q.flows, f.flowKey)
	c := f.cust
	lastOfKind := true
	for i := 0; i < len(c.flows); i++ {
		if c.flows[i] == f {
			c.flows = append(c.flows[:i], c.flows[i+1:]...)
			i--
			continue
		}
		if c.flows[i].kind == f.kind {
			lastOfKind = false
		}
	}
	if lastOfKind {
		delete(q.kinds, kindKey{f.customer, f.kind})
	}
}

func (s *Scheduler) evictCustomers() {
	q := &s.queue
	keep := q.customers[:0]
	for _, c := range q.customers {
		if len(c.flows) > 0 || c.expectedRetryWork > 0 {
			keep = append(keep, c)
			continue
		}
		delete(q.customersByName, c.name)
	}
	clear(q.customers[len(keep):])
	q.customers = keep
}
