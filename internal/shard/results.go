package shard

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// handleTaskDone handles the outcome of a task that was sent to a server.
func (s *Shard) handleTaskDone(now model.Time, r *record, d TaskDone) {
	j := r.job
	if j == nil {
		return
	}
	i := d.Start.Index
	if s.ownerChangedSince(r, i) {
		s.reportToSelf(now, r, d)
		return
	}
	if !j.inFlight(i) {
		return
	}
	j.inFlightCount--
	switch d.Outcome {
	case sched.OutcomeNotStarted, sched.OutcomeUnreachable:
		if s.sealed || s.role != RoleOwner {
			s.handleResult(now, r, notStartedResult(i))
			s.releaseHandles(r)
			return
		}
		// The scheduler has requeued the task.
		j.states[i] = taskQueued
		return
	case sched.OutcomeFailed, sched.OutcomeLost:
		if d.provenEnded() && j.retryable() && s.role == RoleOwner && s.retryTask(now, r, i) {
			return
		}
	}
	s.handleResult(now, r, resultOf(d))
	s.releaseHandles(r)
}

// ownerChangedSince reports whether another owner held the shard while the task
// was in flight.
func (s *Shard) ownerChangedSince(r *record, i int) bool {
	if s.role != RoleOwner {
		return false
	}
	return s.records[r.key] != r || r.job.states[i] == taskRemote
}

// reportToSelf handles a result that this instance obtained as an earlier
// owner.
func (s *Shard) reportToSelf(now model.Time, r *record, d TaskDone) {
	r.job.inFlightCount--
	r.job.clearInFlight(uint32(d.Start.Index))
	if s.records[r.key] != r && r.job.inFlightCount == 0 {
		s.dequeue(now, r.job)
	}
	res := resultOf(d)
	if d.Outcome == sched.OutcomeNotStarted || d.Outcome == sched.OutcomeUnreachable {
		res = notStartedResult(d.Start.Index)
	}
	s.HandleRemoteResult(now, s.remoteResult(r.key, res))
}

// releaseHandles unregisters the handles of a job that is owned elsewhere once
// its last task in flight has ended.
func (s *Shard) releaseHandles(r *record) {
	if s.role == RoleOwner || r.job == nil || r.job.inFlightCount > 0 {
		return
	}
	for _, h := range r.job.handles {
		delete(s.env.jobs, h)
	}
	r.job.handles = nil
}

func resultOf(d TaskDone) *peerpb.TaskResult {
	t := &peerpb.TaskResult{
		Index:  uint32(d.Start.Index),
		Ran:    peerpb.Ran_RAN_YES,
		Ok:     d.Outcome == sched.OutcomeOK,
		Output: d.Output,
		Error:  d.Error,
	}
	if d.Outcome == sched.OutcomeLost {
		t.Ran = peerpb.Ran_RAN_UNKNOWN
	}
	return t
}

// notStartedResult tells the current owner that a server rejected a task in
// flight, so that it may start the task elsewhere.
func notStartedResult(i int) *peerpb.TaskResult {
	return &peerpb.TaskResult{Index: uint32(i), Ran: peerpb.Ran_RAN_NO}
}

// maxAttempts limits the starts of one repeatable task.
const maxAttempts = 3

// retryTask requeues a repeatable task, as a scheduler job of its own.
func (s *Shard) retryTask(now model.Time, r *record, index int) bool {
	j := r.job
	if s.sealed || j.attempts[index] >= maxAttempts || !s.env.spendRetryToken() {
		return false
	}
	if !s.enqueue(now, r, index, index+1) {
		return false
	}
	j.states[index] = taskQueued
	j.markRanBefore(index)
	return true
}

// handleResult records the result of a task and closes the job if it was the
// last one or a failure.
func (s *Shard) handleResult(now model.Time, r *record, res *peerpb.TaskResult) {
	if s.role != RoleOwner {
		s.forwardResult(now, r, res)
		return
	}
	// The successor continues from the last operation before the handover.
	if s.sealed {
		s.deferredResults = append(s.deferredResults, deferredResult{rec: r, res: res})
		return
	}
	j := r.job
	if res.Ran == peerpb.Ran_RAN_NO {
		s.requeueTask(now, r, int(res.Index))
		return
	}
	if !j.recordResult(res) {
		return
	}
	j.states[res.Index] = taskClosed
	op := s.resultOperation(r, res)
	if a := j.completeAnswer(); a != nil {
		s.appendAndFlush(now, op)
		s.finishJob(now, r, a)
		return
	}
	s.append(now, op)
	if !res.Ok {
		s.failJob(now, r, problemOfResult(res))
	}
}

func problemOfResult(res *peerpb.TaskResult) string {
	if res.Ran == peerpb.Ran_RAN_UNKNOWN {
		return ProblemResultUnknown
	}
	return ProblemJobFailed
}

// failJob closes a job as failed. Its tasks in flight continue, but the answer
// doesn't wait for them.
func (s *Shard) failJob(now model.Time, r *record, problem string) {
	if r.job == nil || s.role != RoleOwner || s.sealed {
		return
	}
	a := r.job.failedAnswer(problem)
	s.appendAndFlush(now, &peerpb.Operation{Body: &peerpb.Operation_Final{Final: &peerpb.Final{
		Record: r.number,
		Answer: a,
	}}})
	s.finishJob(now, r, a)
}

// finishJob makes an answer final and sends it to the waiters once it is
// committed.
func (s *Shard) finishJob(now model.Time, r *record, a *peerpb.Answer) {
	j := r.job
	s.dequeue(now, j)
	s.setFinal(r, a)
	s.answerOnCommit(s.seq, a, j.waiters...)
}

func (s *Shard) dequeue(now model.Time, j *job) {
	for _, h := range j.handles {
		s.env.Scheduler.Cancel(now, h)
		delete(s.env.jobs, h)
	}
	j.handles = nil
}

// resultOperation returns the operation of a result. As the most frequent
// operation, it uses a single allocation, and without followers it is nil,
// since append only counts it then.
func (s *Shard) resultOperation(r *record, res *peerpb.TaskResult) *peerpb.Operation {
	if len(s.followers) == 0 {
		return nil
	}
	var parts struct {
		operation peerpb.Operation
		body      peerpb.Operation_Result
		result    peerpb.Result
	}
	parts.result.Record = r.number
	parts.result.Result = res
	parts.body.Result = &parts.result
	parts.operation.Body = &parts.body
	return &parts.operation
}
