package fleet

import (
	"testing"
	"time"
)

func TestOverdueTime(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		samples []time.Duration
		want    time.Duration
	}{
		"no reply yet":             {nil, maxOverdueTime},
		"quick replies":            {repeat(2*ms, 40), minOverdueTime},
		"steady but slow":          {repeat(30*ms, 80), 30 * ms},
		"slow process":             {repeat(120*ms, 80), 120 * ms},
		"a delayed reply":          {append(repeat(2*ms, 40), 900*ms), maxOverdueTime},
		"recovers after the fault": {append(append(repeat(2*ms, 40), 900*ms), repeat(2*ms, 60)...), minOverdueTime},
	} {
		var r replyTimes
		for _, s := range c.samples {
			r.observe(s)
		}
		if got := r.overdueAfter(); got < c.want*9/10 || got > c.want*12/10 {
			t.Errorf("%s: overdue after %v, want about %v", name, got, c.want)
		}
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

// TestLostStartIsSettledAtOnce follows a start whose reply never comes: two polls don't
// list it, the first stop is lost too, the second is answered, and after one more poll
// the task starts again, before the timeout of the first command.
func TestLostStartIsSettledAtOnce(t *testing.T) {
	i, now := oneServer(t, 500)
	for range 20 {
		i.pool.replies.observe(2 * time.Millisecond)
	}
	start := lookFor[StartRun](t, i.Step(now, JobSubmitted{Call: 1, Job: shortJob(now)}))
	sentAt := now

	poll, reply := Poll{}, PollReply{Server: "s1", Outcome: PollOK, ClockMs: 120, BootMs: 500}
	for n := range 2 {
		now = i.NextOverdueAt()
		poll = lookFor[Poll](t, i.Step(now, RepliesOverdue{}))
		reply.Poll, reply.SentAt = poll, now
		now = now.Add(2 * time.Millisecond)
		if effects := i.Step(now, reply); n == 1 {
			lookFor[StopRun](t, effects)
		} else if stops := count[StopRun](effects); stops > 0 {
			t.Fatal("the first poll that doesn't list the run stops it")
		}
	}

	now = i.NextOverdueAt()
	stop := lookFor[StopRun](t, i.Step(now, RepliesOverdue{}))
	if stop.Run != start.Run {
		t.Fatalf("stopped %v, want %v", stop.Run, start.Run)
	}
	stopped := StopReply{Server: "s1", Run: stop.Run, OK: true, SentAt: now}
	now = now.Add(2 * time.Millisecond)
	poll = lookFor[Poll](t, i.Step(now, stopped))

	reply = PollReply{Server: "s1", Outcome: PollOK, Poll: poll, SentAt: now, ClockMs: 140, BootMs: 500}
	now = now.Add(2 * time.Millisecond)
	again := lookFor[StartRun](t, i.Step(now, reply))
	if again.Run.Attempt != start.Run.Attempt+1 || now.Sub(sentAt) > maxOverdueTime {
		t.Errorf("attempt %d after %v", again.Run.Attempt, now.Sub(sentAt))
	}
}

// TestLatePollReplyKeepsLaterPoll checks that the reply to an overdue poll doesn't count
// as that of the poll which has replaced it.
func TestLatePollReplyKeepsLaterPoll(t *testing.T) {
	i, now := oneServer(t, 500)
	for range 20 {
		i.pool.replies.observe(2 * time.Millisecond)
	}
	run := startOne(t, i, now)
	s := i.pool.servers["s1"]
	first := s.polledAt
	now = i.NextOverdueAt()
	second := lookFor[Poll](t, i.Step(now, RepliesOverdue{}))
	if second.Immediate || s.polledAt == first {
		t.Fatalf("poll %+v, in flight since %v", second, s.polledAt)
	}
	late := pollReply(now, 500, ActiveRun{Run: run, Percent: 10})
	late.SentAt = first
	for _, e := range i.Step(now.Add(time.Millisecond), late) {
		if p, ok := e.(Poll); ok && !p.Immediate {
			t.Error("a third poll is sent while the second is in flight")
		}
	}
}

// TestPollMayOvertakeStart delays a start in the process, so that the first poll doesn't
// list its run. The run is confirmed by the next poll and not stopped.
func TestPollMayOvertakeStart(t *testing.T) {
	i, now := oneServer(t, 500)
	for range 20 {
		i.pool.replies.observe(2 * time.Millisecond)
	}
	run := lookFor[StartRun](t, i.Step(now, JobSubmitted{Call: 1, Job: shortJob(now)})).Run
	for _, running := range [][]ActiveRun{nil, {{Run: run, Percent: 5}}} {
		now = i.NextOverdueAt()
		poll := lookFor[Poll](t, i.Step(now, RepliesOverdue{}))
		effects := i.Step(now.Add(2*time.Millisecond), PollReply{Server: "s1", Outcome: PollOK, Poll: poll, SentAt: now, ClockMs: 120, BootMs: 500, Running: running})
		if count[StopRun](effects) > 0 {
			t.Fatal("the run is stopped")
		}
	}
	if r := i.pool.servers["s1"].runs[run]; r == nil || r.state != runConfirmed {
		t.Errorf("%+v", r)
	}
}

// lookFor returns the only effect of a type.
func lookFor[E Effect](t *testing.T, effects []Effect) (found E) {
	t.Helper()
	for _, e := range effects {
		if x, ok := e.(E); ok {
			found = x
		}
	}
	if n := count[E](effects); n != 1 {
		t.Fatalf("%d effects of type %T among %v", n, found, effects)
	}
	return found
}

// count counts the effects of a type.
func count[E Effect](effects []Effect) (n int) {
	for _, e := range effects {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

// TestOvertakenListShowsNoForeignRun polls a server twice at once. The reply to the later poll
// tells that a run has ended, and overtakes that to the earlier one, which lists it as running.
func TestOvertakenListShowsNoForeignRun(t *testing.T) {
	i, now := oneServer(t, 500)
	run := startOne(t, i, now)
	later := pollReply(now.Add(6*time.Millisecond), 500)
	later.Ended = []EndedRun{{Seq: 1, Run: run, Kind: EndStopped}}
	now = now.Add(10 * time.Millisecond)
	i.Step(now, later)
	effects := i.Step(now, pollReply(now.Add(-6*time.Millisecond), 500, ActiveRun{Run: run, Percent: 40}))
	for _, e := range effects {
		if l, ok := e.(LogEntry); ok && l.Kind == LogForeignRun {
			t.Errorf("run %v of this owner is logged as foreign after its end was listed", l.Run)
		}
	}
	if n := count[StopRun](effects); n > 0 {
		t.Errorf("%d stops of a run that has ended", n)
	}
}
