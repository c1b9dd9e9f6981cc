package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestLatestCapacityCounts tells the capacity of a server in polls and in the list, out of
// order and over a restart.
func TestLatestCapacityCounts(t *testing.T) {
	const bootMs = 500
	cpu := func(milli uint32) model.Resources { return model.Resources{CPUMilli: milli, MemoryMB: 4000} }
	i, now := oneServer(t, bootMs)
	revision := uint64(0)
	list := func(boot, clockMs int64, milli uint32) {
		revision++
		now = now.Add(time.Millisecond)
		i.Step(now, ServersListed{Revision: revision, Servers: []ServerEntry{{
			ID: "s1", Service: "svc", Addr: "a", Domain: "d", State: ServerReady, BootMs: boot, ReportedAtMs: clockMs, Capacity: cpu(milli),
		}}})
		if boot != bootMs { // the owner replaces its token before it uses the server again
			i.Step(now, OwnersChanged{Owners: []Ownership{{Server: "s1", Owner: "n1", Incarnation: "01", Revision: 8}}})
		}
	}
	poll := func(boot, clockMs int64, milli uint32) {
		now = now.Add(time.Millisecond)
		e := pollReply(now, boot)
		e.ClockMs, e.Poll.Fence = clockMs, i.pool.servers["s1"].ownership.Token()
		if life := i.pool.servers["s1"].life; boot == life.formerMs {
			e.SentAt = life.knownAt.Add(-time.Millisecond) // or it would show a later life
		}
		if milli > 0 {
			c := cpu(milli)
			e.Capacity = &c
		}
		i.Step(now, e)
	}
	s := i.pool.servers["s1"]
	for n, c := range []struct {
		tell     func(boot, clockMs int64, milli uint32)
		boot     int64
		clockMs  int64
		milli    uint32
		want     uint32
		needPoll bool
	}{
		{list, bootMs, 100, 4000, 4000, false},
		{poll, bootMs, 200, 0, 4000, false},        // a reply without capacity
		{poll, bootMs, 300, 1000, 1000, true},      // shrunk
		{list, bootMs, 250, 4000, 1000, true},      // written before that
		{list, bootMs, 400, 1000, 1000, false},     // the list agrees
		{poll, bootMs, 500, 4000, 4000, true},      // grown
		{list, bootMs, 600, 2000, 2000, false},     // shrunk, as the list says first
		{poll, bootMs, 700, 3000, 3000, true},      // and again
		{list, bootMs + 90, 10, 2000, 2000, true},  // restarted; polled in any case
		{poll, bootMs + 90, 50, 1000, 1000, true},  // the new incarnation
		{poll, bootMs, 800, 3000, 1000, true},      // a reply of the earlier one
		{poll, bootMs + 90, 60, 2000, 2000, false}, // as the list says
	} {
		c.tell(c.boot, c.clockMs, c.milli)
		if got := s.free().CPUMilli; got != c.want || s.needsPoll() != c.needPoll {
			t.Errorf("report %d: capacity %d, polled %v, want %d, %v", n, got, s.needsPoll(), c.want, c.needPoll)
		}
	}
}

// TestUsedAboveCapacity shrinks a server below what runs there: nothing is free, and
// nothing wraps around.
func TestUsedAboveCapacity(t *testing.T) {
	i, now := oneServer(t, 500)
	startOne(t, i, now)
	e := pollReply(now.Add(time.Millisecond), 500)
	e.Capacity = &model.Resources{CPUMilli: 1000}
	e.Running = []ActiveRun{{Run: RunID{TaskID{Job: "j1"}, 1}}}
	i.Step(now.Add(2*time.Millisecond), e)
	s := i.pool.servers["s1"]
	if s.used.CPUMilli != 3000 || s.free() != (model.Resources{}) {
		t.Errorf("used %+v, free %+v", s.used, s.free())
	}
	if l := i.pool.load("svc", now); l.FreeMilli != 0 || l.CapacityMilli != 1000 {
		t.Errorf("%+v", l)
	}
}

// TestQueuedJobThatFitsNoMoreIsRejected queues jobs behind a run and shrinks the only
// server: a job that fits no more is told so at once, and others keep their place.
func TestQueuedJobThatFitsNoMoreIsRejected(t *testing.T) {
	i, now := oneServer(t, 500)
	startOne(t, i, now)
	job := func(id string, milli uint32) JobSpec {
		return JobSpec{
			ID: id, Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: now, Objective: Objective{Stretch: 20},
			Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: milli}, Estimate: time.Second}},
		}
	}
	i.Step(now, JobSubmitted{Call: 2, Job: job("wide", 3500)})
	i.Step(now, JobSubmitted{Call: 3, Job: job("narrow", 1500)})
	if len(i.pool.queue) != 2 {
		t.Fatalf("%d jobs are queued", len(i.pool.queue))
	}
	now = now.Add(time.Millisecond)
	effects := i.Step(now, ServersListed{Revision: 1, Servers: []ServerEntry{{
		ID: "s1", Service: "svc", Addr: "a", Domain: "d", State: ServerReady, Capacity: model.Resources{CPUMilli: 2000, MemoryMB: 4000},
	}}})
	var answers []Answer
	for _, e := range effects {
		if a, ok := e.(Answer); ok {
			answers = append(answers, a)
		}
	}
	if len(answers) != 1 || answers[0].Call != 2 || answers[0].Result.Kind != NotRun || answers[0].Result.Reason != ReasonTooLarge {
		t.Errorf("answers %+v", answers)
	}
}
