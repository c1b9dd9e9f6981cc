package sched

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// jobDeadline is the relative deadline of the jobs in these tests.
const jobDeadline = 2 * time.Second

func deadlineJob(h int, now model.Time) Job {
	j := testJob(h, 1)
	j.Deadline = now.Add(jobDeadline)
	j.IdentityHash = uint64(h)
	return j
}

// submitUntilRejected submits jobs at twice the capacity of one server with
// four slots, until one is rejected.
func submitUntilRejected(t *testing.T, s *Scheduler) (rejected Job, v AdmissionResult, now model.Time) {
	now = testStart
	var running []Start
	for h := 1; h < 2000; h++ {
		now = now.Add(TickInterval)
		for len(running) > 0 && h%2 == 0 {
			s.Done(now, running[0], OutcomeOK, 300*time.Millisecond)
			running = running[1:]
			break
		}
		j := deadlineJob(h, now)
		v = s.Submit(now, j)
		if v.Reason != ReasonNone {
			return j, v, now
		}
		s.Tick(now)
		running = append(running, takeStarts(s)...)
	}
	t.Fatal("no job was rejected")
	return Job{}, AdmissionResult{}, now
}

func TestRejectionHasRetryAfter(t *testing.T) {
	s := newTestScheduler(1, 4)
	j, v, now := submitUntilRejected(t, s)
	if v.Reason != ReasonDeadline && v.Reason != ReasonShed {
		t.Fatalf("rejected for reason %d", v.Reason)
	}
	if v.RetryAfter < minRetryAfter || v.RetryAfter > maxRetryAfter {
		t.Fatalf("Retry-After %v is out of bounds", v.RetryAfter)
	}
	e := s.Explain(now, j.Handle)
	if e.State != JobRejected || e.Reason != v.Reason || e.RetryAfter != v.RetryAfter {
		t.Fatalf("explained as %+v, rejected with %+v", e, v)
	}
}

func TestAcceptedJobIsNeverRejected(t *testing.T) {
	s := newTestScheduler(1, 4)
	_, _, now := submitUntilRejected(t, s)
	j := deadlineJob(5000, now)
	j.Accepted = true
	if v := s.Submit(now, j); v.Reason != ReasonNone {
		t.Fatalf("rejected: %+v", v)
	}
}

func TestQueueBound(t *testing.T) {
	const bound = 3
	rows := map[model.Customer]PolicyRow{"c": {Weight: 1, QueueBound: bound}}
	s := New(Options{Self: "a1", Domain: "a", Seed: 1, Policy: fixedPolicy{rows}})
	s.SetServers(testStart, testServers("a", 1, 1))
	cases := []struct {
		tasks int
		want  Reason
	}{
		{1, ReasonNone}, // runs
		{bound, ReasonNone},
		{1, ReasonQueueFull},
	}
	for i, c := range cases {
		if v := s.Submit(testStart, testJob(i+1, c.tasks)); v.Reason != c.want {
			t.Fatalf("job %d: reason %d, want %d", i+1, v.Reason, c.want)
		}
	}
}

func TestExplainReportsWaitReason(t *testing.T) {
	rows := map[model.Customer]PolicyRow{"lim": {Weight: 1, Concurrency: 1}}
	s := New(Options{Self: "a1", Domain: "a", Seed: 1, Policy: fixedPolicy{rows}})
	s.SetServers(testStart, testServers("a", 2, 2))
	now := testStart
	s.Tick(now)
	lim := Job{Handle: 1, Customer: "lim", Kind: "k", Tasks: 2}
	s.Submit(now, lim)
	for range 5 {
		now = now.Add(TickInterval)
		s.Tick(now)
	}
	s.Submit(now, testJob(2, 10))
	cases := []struct {
		job   model.JobHandle
		state JobState
		wait  WaitReason
	}{
		{1, JobRunning, WaitLimit},
		{2, JobRunning, WaitSlot},
		{99, JobUnknown, WaitNone},
	}
	for _, c := range cases {
		e := s.Explain(now, c.job)
		if e.State != c.state || e.Wait != c.wait {
			t.Errorf("job %d: state %d, wait reason %d; want %d and %d", c.job, e.State, e.Wait, c.state, c.wait)
		}
	}
}
