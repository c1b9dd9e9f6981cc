package shard

import (
	"fmt"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// Explain describes the state of a job in plain text and returns its scheduler
// handles while it is open.
func (s *Shard) Explain(id *peerpb.Identity) (string, []model.JobHandle) {
	r := s.records[keyOf(id)]
	switch {
	case r == nil:
		return "No job with this identity is remembered.", nil
	case r.final != nil:
		a := r.answer()
		return fmt.Sprintf("The answer is final: %s %s.", a.Status, a.Problem), nil
	}
	j := r.job
	text := fmt.Sprintf("%d of %d tasks are closed, %d in flight, %d wait for the replica; intents cover the first %d.",
		j.closedTasks, len(j.results), j.inFlightCount, j.countTasks(taskBound), j.intentUpto)
	return text, j.handles
}

func (j *job) countTasks(state taskState) int {
	n := 0
	for _, st := range j.states {
		if st == state {
			n++
		}
	}
	return n
}
