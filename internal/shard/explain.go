package shard

import (
	"fmt"

	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// Explain says in plain text where a job stands.
func (s *Shard) Explain(id *peerpb.Identity) string {
	r := s.records[keyOf(id)]
	switch {
	case r == nil:
		return "No job with this identity is remembered."
	case r.final != nil:
		return fmt.Sprintf("The answer is final: %s %s.", r.final.Status, r.final.Problem)
	}
	j := r.job
	return fmt.Sprintf("%d of %d tasks are closed, %d in flight; intents cover the first %d.",
		j.closed, len(j.results), j.started, j.intent)
}
