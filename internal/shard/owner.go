package shard

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// Submit handles a submission. The waiter gets the final answer, preceded by a
// pending one if report is set.
func (s *Shard) Submit(now model.Time, spec *peerpb.JobSpec, w Waiter, report bool) {
	if s.role != RoleOwner {
		s.reject(w, ProblemNotOwner, peerpb.Ran_RAN_NO, 0)
		return
	}
	k := keyOf(spec.Identity)
	if r, ok := s.records[k]; ok {
		s.handleResubmission(now, r, spec, w, report)
		return
	}
	if s.sealed {
		s.deferredSubmissions = append(s.deferredSubmissions, deferredSubmission{spec: spec, waiter: w, report: report})
		return
	}
	if s.env.Suspended {
		s.reject(w, ProblemNotOwner, peerpb.Ran_RAN_NO, 0)
		return
	}
	t := k.key.Submitted()
	// These two checks keep the admission ranges of successive owners disjoint
	// (docs/design/01-replication.md, "View change").
	if t > now.Add(s.env.Opts.MaxClockSkew) {
		s.reject(w, ProblemKeyAheadOfClock, peerpb.Ran_RAN_NO, t.Sub(now))
		return
	}
	if t < s.floor {
		s.reject(w, ProblemKeyTooOld, peerpb.Ran_RAN_UNKNOWN, 0)
		return
	}
	s.admit(now, k, spec, w, report)
}

func (s *Shard) admit(now model.Time, k key, spec *peerpb.JobSpec, w Waiter, report bool) {
	// Nothing can be committed, not even a rejection.
	if s.blocked() {
		s.reject(w, ProblemNoOwner, peerpb.Ran_RAN_NO, blockedRetryAfter)
		return
	}
	r := &record{key: k, digest: digestOf(spec), job: newJob(spec)}
	r.job.initOwner()
	h := s.env.register(s, r)
	res := s.env.Scheduler.Submit(now, s.schedJob(h, spec, 0, false))
	if res.Reason != sched.ReasonNone {
		delete(s.env.jobs, h)
		s.rejectPermanently(now, r, w, res)
		return
	}
	r.job.handles = append(r.job.handles, h)
	r.job.waiters = append(r.job.waiters, w)
	s.addRecord(r)
	s.appendAndFlush(now, &peerpb.Operation{Body: &peerpb.Operation_Claim{Claim: spec}})
	s.setNumber(r, s.seq)
	if report {
		s.answerOnCommit(s.seq, pendingAnswer(), w)
	}
}

func pendingAnswer() *peerpb.Answer {
	return &peerpb.Answer{Status: peerpb.Status_STATUS_PENDING}
}

// rejectPermanently closes an identity that was never admitted. Without the
// record, a late copy of the submission could be admitted after its caller was
// told that it has not run (spec/replication.pml, W_REFUSAL_UNRECORDED).
func (s *Shard) rejectPermanently(now model.Time, r *record, w Waiter, res sched.AdmissionResult) {
	a := &peerpb.Answer{
		Status:       peerpb.Status_STATUS_REFUSED,
		Ran:          peerpb.Ran_RAN_NO,
		Problem:      problemOf(res.Reason),
		RetryAfterMs: res.RetryAfter.Milliseconds(),
		Recorded:     true,
	}
	identity := r.job.spec.Identity
	s.addRecord(r)
	s.appendAndFlush(now, &peerpb.Operation{Body: &peerpb.Operation_Refusal{
		Refusal: &peerpb.Refusal{
			Identity: identity,
			Digest:   append([]byte(nil), r.digest[:]...),
			Answer:   a,
		},
	}})
	s.setFinal(r, a)
	s.answerOnCommit(s.seq, a, w)
}

// blockedRetryAfter is the retry delay for callers of a shard whose replica is
// unresponsive.
const blockedRetryAfter = 2 * time.Second

// blocked reports whether a required follower is silent, so that nothing can be
// committed until the view changes.
func (s *Shard) blocked() bool {
	for _, f := range s.followers {
		if f.required && s.env.Peers.Liveness(f.member) == Silent {
			return true
		}
	}
	return false
}

// deadline returns the deadline for the scheduler. A default deadline is not
// part of the content, so that changing the table causes no content mismatch.
func (s *Shard) deadline(spec *peerpb.JobSpec) model.Time {
	if spec.DeadlineUnixMs != 0 || s.env.DefaultDeadline == nil {
		return model.Time(spec.DeadlineUnixMs * int64(time.Millisecond))
	}
	d := s.env.DefaultDeadline(model.Customer(spec.Identity.Customer), model.Kind(spec.Kind))
	if d == 0 {
		return 0
	}
	return keyOf(spec.Identity).key.Submitted().Add(d)
}

func (s *Shard) schedJob(h model.JobHandle, spec *peerpb.JobSpec, first int, accepted bool) sched.Job {
	return sched.Job{
		Handle:          h,
		Customer:        model.Customer(spec.Identity.Customer),
		Kind:            model.Kind(spec.Kind),
		Tasks:           len(spec.Payloads),
		DeclaredRunTime: time.Duration(spec.DeclaredRunMs) * time.Millisecond,
		Deadline:        s.deadline(spec),
		Needs:           needsOf(spec),
		Repeatable:      spec.Repeatable,
		Accepted:        accepted,
		FirstIndex:      first,
		IdentityHash:    IdentityHash(spec.Identity),
	}
}

// enqueue submits the tasks [first, last) of an admitted job to the scheduler
// under a new handle and reports whether it accepted them.
func (s *Shard) enqueue(now model.Time, r *record, first, last int) bool {
	h := s.env.register(s, r)
	q := s.schedJob(h, r.job.spec, first, true)
	q.Tasks = last
	if res := s.env.Scheduler.Submit(now, q); res.Reason != sched.ReasonNone {
		delete(s.env.jobs, h)
		return false
	}
	r.job.handles = append(r.job.handles, h)
	return true
}

func needsOf(spec *peerpb.JobSpec) model.Resources {
	return model.Resources{
		CPUMilli:     spec.GetResources().GetCpuMilli(),
		MemoryMB:     spec.GetResources().GetMemoryMb(),
		Accelerators: spec.GetResources().GetAccelerators(),
	}
}

// handleResubmission answers a submission whose identity has a record.
func (s *Shard) handleResubmission(now model.Time, r *record, spec *peerpb.JobSpec, w Waiter, report bool) {
	if digestOf(spec) != r.digest {
		s.reject(w, ProblemContentMismatch, peerpb.Ran_RAN_NO, 0)
		return
	}
	s.addWaiter(r, w)
	if report && r.job != nil {
		s.env.reply(w, pendingAnswer())
	}
}

// addWaiter sends w the final answer of r once it is committed.
func (s *Shard) addWaiter(r *record, w Waiter) {
	if r.final == nil {
		r.job.waiters = append(r.job.waiters, w)
		return
	}
	s.answerOnCommit(r.finalSeq, r.answer(), w)
}

func (s *Shard) reject(w Waiter, problem string, ran peerpb.Ran, retry time.Duration) {
	a := &peerpb.Answer{
		Status:       peerpb.Status_STATUS_REFUSED,
		Ran:          ran,
		Problem:      problem,
		RetryAfterMs: retry.Milliseconds(),
	}
	s.env.reply(w, a)
}

// Lookup answers with the state of a job, or with its final answer if wait is
// set.
func (s *Shard) Lookup(now model.Time, id *peerpb.Identity, w Waiter, wait bool) {
	r, ok := s.findJob(now, id, w)
	if !ok {
		return
	}
	if r.final == nil && !wait {
		s.env.reply(w, pendingAnswer())
		return
	}
	s.addWaiter(r, w)
}

// Cancel closes a job. Its unstarted tasks never start.
func (s *Shard) Cancel(now model.Time, id *peerpb.Identity, w Waiter) {
	r, ok := s.findJob(now, id, w)
	if !ok {
		return
	}
	if r.final == nil && s.sealed {
		s.reject(w, ProblemNotOwner, peerpb.Ran_RAN_UNKNOWN, 0)
		return
	}
	s.addWaiter(r, w)
	s.failJob(now, r, ProblemCancelled)
}

func (s *Shard) findJob(now model.Time, id *peerpb.Identity, w Waiter) (*record, bool) {
	if s.role != RoleOwner || s.env.Suspended {
		s.reject(w, ProblemNotOwner, peerpb.Ran_RAN_UNKNOWN, 0)
		return nil, false
	}
	k := keyOf(id)
	r, ok := s.records[k]
	if ok {
		return r, true
	}
	if k.key.Submitted() < s.floor {
		s.reject(w, ProblemKeyTooOld, peerpb.Ran_RAN_UNKNOWN, 0)
		return nil, false
	}
	// A submission may still be in transit.
	s.reject(w, ProblemNotFound, peerpb.Ran_RAN_UNKNOWN, 0)
	return nil, false
}

// bind handles a task that got a slot. It starts the task once an intent that
// covers it is committed, and extends the intent first if necessary.
func (s *Shard) bind(now model.Time, r *record, st sched.Start) {
	if !s.mayStart(r) || r.job.states[st.Index] != taskQueued {
		s.env.Scheduler.Done(now, st, sched.OutcomeNotStarted, 0)
		return
	}
	j := r.job
	j.states[st.Index] = taskBound
	if uint32(st.Index) >= j.intentUpto {
		s.extendIntent(now, r, st.Index)
	}
	s.startOnCommit(now, j.intentSeq, r, st)
}

func (s *Shard) mayStart(r *record) bool {
	return s.role == RoleOwner && !s.sealed && !s.env.Suspended && r.job != nil
}

// extendIntent covers the task and some of the following ones, which saves a
// round trip for each of those. If the owner is lost, the job fails for its tasks
// in flight anyway.
func (s *Shard) extendIntent(now model.Time, r *record, index int) {
	j := r.job
	ahead := min(j.inFlightCount, s.env.Opts.MaxIntentAhead)
	j.intentUpto = uint32(min(index+1+ahead, len(j.results)))
	s.appendAndFlush(now, &peerpb.Operation{
		Body: &peerpb.Operation_Intent{Intent: &peerpb.Intent{
			Record: r.number,
			Upto:   j.intentUpto,
		}},
	})
	j.intentSeq = s.seq
}

// start sends a task to its server. It repeats all checks, as the commit may
// have taken long.
func (s *Shard) start(now model.Time, r *record, st sched.Start) {
	if !s.mayStart(r) {
		if r.job != nil && r.job.states[st.Index] == taskBound {
			r.job.states[st.Index] = taskQueued
		}
		s.env.Scheduler.Done(now, st, sched.OutcomeNotStarted, 0)
		return
	}
	j := r.job
	j.states[st.Index] = taskStarted
	j.attempts[st.Index]++
	j.inFlightCount++
	s.env.earnRetryToken()
	s.env.Effects.Starts = append(s.env.Effects.Starts, StartTask{
		Start:   st,
		Spec:    j.spec,
		Attempt: int(j.attempts[st.Index]),
	})
}
