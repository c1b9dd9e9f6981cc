package sched

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	sweepEvery = 500              // ticks between sweeps
	flowMemory = 10 * time.Minute // a flow without work is forgotten after this, with what was learned
)

// sweep forgets flows that had no work for a long time, and customers and
// kinds without flows, so that memory is bounded by what callers use.
func (s *Scheduler) sweep(now model.Time) {
	q := &s.queue
	keep := q.flowList[:0]
	for _, f := range q.flowList {
		if f.waiting > 0 || f.in != nil || now.Sub(f.idleSince) < flowMemory {
			keep = append(keep, f)
			continue
		}
		s.forgetFlow(f)
	}
	clear(q.flowList[len(keep):])
	q.flowList = keep
	s.forgetCustomers()
}

func (s *Scheduler) forgetFlow(f *flow) {
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

func (s *Scheduler) forgetCustomers() {
	q := &s.queue
	keep := q.customers[:0]
	for _, c := range q.customers {
		if len(c.flows) > 0 || c.promised > 0 {
			keep = append(keep, c)
			continue
		}
		delete(q.byName, c.name)
	}
	clear(q.customers[len(keep):])
	q.customers = keep
}
