package fleet

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// maxTasks bounds the tasks of a job: a few times the largest that operators
	// announce.
	maxTasks = 4000
	// maxTotalEstimate bounds the estimates of all steps, so that times can be worked
	// out from them without overflow.
	maxTotalEstimate = 10_000 * time.Hour
)

// Check reports a job that can't be scheduled. Jobs of callers, of peers and in the
// store are checked where they are decoded; the rest of the package relies on it.
func (j *JobSpec) Check() error {
	if len(j.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	total := time.Duration(0)
	for n, s := range j.Steps {
		if err := s.check(n); err != nil {
			return err
		}
		if s.Estimate > maxTotalEstimate-total {
			return errors.Errorf("the estimates up to step %d exceed %v", n, maxTotalEstimate)
		}
		total += s.Estimate
	}
	if j.TaskCount() > maxTasks {
		return errors.Errorf("the job has %d tasks; at most %d are taken", j.TaskCount(), maxTasks)
	}
	return nil
}

// check reports a step that can't be scheduled as the nth of its job.
func (s *StepSpec) check(n int) error {
	switch {
	case s.Count <= 0 || s.Count > maxTasks:
		return errors.Errorf("step %d has %d tasks; it needs 1 to %d", n, s.Count, maxTasks)
	case s.Estimate < 0 || s.MaxPerServer < 0:
		return errors.Errorf("step %d has a negative figure", n)
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= n {
			return errors.Errorf("step %d comes after step %d, which is not an earlier one", n, a)
		}
	}
	return nil
}
