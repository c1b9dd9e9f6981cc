package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const testStart = model.Time(1_800_000_000 * int64(time.Second))

type fixedPolicy struct{ rows map[model.Customer]PolicyRow }

func (p fixedPolicy) Row(c model.Customer, _ model.Kind) PolicyRow { return p.rows[c] }

func testServers(d model.Domain, n, slots int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: model.ServerID(fmt.Sprintf("%s-%d", d, i)), Domain: d, Slots: slots, Resources: model.Resources{CPUMilli: 1000}}
	}
	return list
}

func newTestScheduler(servers, slots int) *Scheduler {
	s := New(Options{Self: "a1", Domain: "a", Seed: 1, Policy: fixedPolicy{}})
	s.SetServers(testStart, testServers("a", servers, slots))
	s.Tick(testStart)
	s.Ready()
	return s
}

func testJob(h int, tasks int) Job {
	return Job{Handle: model.JobHandle(h), Customer: "c", Kind: "k", Tasks: tasks, Repeatable: true}
}

func takeStarts(s *Scheduler) []Start { return append([]Start(nil), s.Ready().Starts...) }

func TestTasksStartInIndexOrderOnFreeSlotsOnly(t *testing.T) {
	s := newTestScheduler(2, 2)
	s.Submit(testStart, testJob(1, 6))
	got := takeStarts(s)
	if len(got) != 4 {
		t.Fatalf("%d starts on 4 slots", len(got))
	}
	for i, st := range got {
		if st.Index != i {
			t.Fatalf("start %d has index %d", i, st.Index)
		}
	}
	s.Done(testStart.Add(time.Second), got[1], OutcomeOK, time.Second)
	next := takeStarts(s)
	if len(next) != 1 || next[0].Index != 4 || next[0].Server != got[1].Server {
		t.Fatalf("after a slot became free: %+v", next)
	}
}

func TestNotStartedTaskIsRequeued(t *testing.T) {
	for _, o := range []Outcome{OutcomeNotStarted, OutcomeUnreachable} {
		s := newTestScheduler(2, 1)
		s.Submit(testStart, testJob(1, 1))
		first := takeStarts(s)[0]
		s.Done(testStart, first, o, 0)
		again := takeStarts(s)
		if len(again) != 1 || again[0].Index != 0 || again[0].Server == first.Server {
			t.Fatalf("outcome %d: %+v after %+v", o, again, first)
		}
	}
}

func TestTasksThatMayHaveRunAreNotRequeued(t *testing.T) {
	for _, o := range []Outcome{OutcomeOK, OutcomeFailed, OutcomeLost} {
		s := newTestScheduler(2, 1)
		s.Submit(testStart, testJob(1, 1))
		s.Done(testStart, takeStarts(s)[0], o, time.Second)
		if got := takeStarts(s); len(got) != 0 {
			t.Fatalf("outcome %d: started again: %+v", o, got)
		}
	}
}

func TestCancelledTasksAreNeverStarted(t *testing.T) {
	s := newTestScheduler(1, 1)
	for h := 1; h <= 3; h++ {
		s.Submit(testStart, testJob(h, 1))
	}
	first := takeStarts(s)[0]
	s.Cancel(testStart, 2)
	s.Done(testStart, first, OutcomeOK, time.Second)
	got := takeStarts(s)
	if len(got) != 1 || got[0].Job != 3 {
		t.Fatalf("after cancelling job 2: %+v", got)
	}
	if e := s.Explain(testStart, 2); e.State != JobEnded || e.Waiting != 0 {
		t.Fatalf("cancelled job explained as %+v", e)
	}
}

func TestImpossibleJobIsRejectedOnceServersAreKnown(t *testing.T) {
	j := testJob(1, 1)
	j.Needs = model.Resources{Accelerators: 1}
	empty := New(Options{Self: "a1", Domain: "a", Policy: fixedPolicy{}})
	if v := empty.Submit(testStart, j); v.Reason != ReasonNone {
		t.Fatalf("rejected with an empty server list: %+v", v)
	}
	s := newTestScheduler(1, 1)
	if v := s.Submit(testStart, j); v.Reason != ReasonImpossible {
		t.Fatalf("result %+v, want impossible", v)
	}
}

func TestLeavingServerGetsNoStart(t *testing.T) {
	s := newTestScheduler(2, 1)
	list := testServers("a", 2, 1)
	list[0].State = ServerLeaving
	s.SetServers(testStart, list)
	s.Submit(testStart, testJob(1, 2))
	got := takeStarts(s)
	if len(got) != 1 || got[0].Server == list[0].ID {
		t.Fatalf("starts %+v", got)
	}
}

func TestExpiredJobIsDropped(t *testing.T) {
	s := newTestScheduler(1, 1)
	s.Submit(testStart, testJob(1, 1))
	j := testJob(2, 1)
	j.Deadline = testStart.Add(700 * time.Millisecond)
	j.Accepted = true
	s.Submit(testStart, j)
	s.Ready()
	s.Tick(testStart.Add(time.Second))
	drops := s.Ready().Drops
	if len(drops) != 1 || drops[0] != (Drop{Job: 2, Reason: ReasonExpired}) {
		t.Fatalf("drops %+v", drops)
	}
}

func TestIdleFlowsAreEvicted(t *testing.T) {
	s := newTestScheduler(2, 2)
	now := testStart
	for h := 1; h <= 100; h++ {
		j := testJob(h, 1)
		j.Kind = model.Kind(fmt.Sprintf("k%d", h))
		s.Submit(now, j)
		for _, st := range takeStarts(s) {
			s.Done(now, st, OutcomeOK, time.Millisecond)
		}
	}
	if n := s.Stats().Flows; n != 100 {
		t.Fatalf("%d flows, want 100", n)
	}
	now = now.Add(2 * idleFlowTTL)
	for range sweepIntervalTicks {
		s.Tick(now)
	}
	if n := s.Stats().Flows; n != 0 {
		t.Fatalf("%d flows are left", n)
	}
	s.Submit(now, testJob(200, 1))
	if got := takeStarts(s); len(got) != 1 {
		t.Fatalf("starts after the eviction: %+v", got)
	}
}

// An idle scheduler that rejects a job whose declared run time exceeds its
// deadline would never learn the actual one.
func TestDeclaredRunTimeAloneRejectsNothing(t *testing.T) {
	s := newTestScheduler(1, 8)
	now := testStart
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		s.Tick(now)
		j := testJob(i+1, 1)
		j.DeclaredRunTime = 6 * time.Second
		j.Deadline = now.Add(5 * time.Second)
		if v := s.Submit(now, j); v.Reason != ReasonNone {
			t.Fatalf("job %d: rejected for reason %d", i, v.Reason)
		}
		for _, st := range takeStarts(s) {
			s.Done(now.Add(300*time.Millisecond), st, OutcomeOK, 300*time.Millisecond)
		}
	}
}
