// Package policy gives the scheduler the table rows in force in one failure
// domain.
package policy

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Policy implements sched.Policy with the table. Like the scheduler it is not
// safe for concurrent use.
type Policy struct {
	cache *table.Cache
}

var _ sched.Policy = (*Policy)(nil)

// New returns a policy over the empty table.
func New(d model.Domain) *Policy { return &Policy{cache: table.NewCache(d)} }

// Set puts a table in force if it is newer than the current one, and reports
// whether it did.
func (p *Policy) Set(s *table.Snapshot) bool { return p.cache.Set(s) }

// Row implements sched.Policy.
func (p *Policy) Row(c model.Customer, k model.Kind) sched.PolicyRow {
	e := p.cache.Row(c, k)
	return sched.PolicyRow{
		Weight:      e.Weight,
		Concurrency: e.Concurrency,
		Rate:        e.Rate,
		QueueBound:  e.QueueBound,
		LimitName:   e.LimitName,
	}
}

// Deadline returns the default deadline of a request, 0 if there is none.
func (p *Policy) Deadline(c model.Customer, k model.Kind) time.Duration {
	return p.cache.Row(c, k).Deadline
}

// Drained reports whether an operator has drained a backend server.
func (p *Policy) Drained(id model.ServerID) bool {
	return p.cache.Snapshot().ServerState(id) == table.StateDrained
}
