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
		"a fault hides nothing":    {append(repeat(2*ms, 40), 900*ms), 70 * ms},
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

// TestLostStartIsSettledAtOnce follows a start whose reply never comes: a poll doesn't
// list it, the first stop is lost too, the second is answered, and after one more poll
// the task starts again, long before the timeout of the first command.
func TestLostStartIsSettledAtOnce(t *testing.T) {
	i, now := oneServer(t, 500)
	for range 20 {
		i.pool.replies.observe(2 * time.Millisecond)
	}
	start := lookFor[StartRun](t, i.Step(now, JobSubmitted{Call: 1, Job: shortJob(now)}))
	sentAt := now

	now = i.NextOverdueAt()
	poll := lookFor[Poll](t, i.Step(now, RepliesOverdue{}))
	reply := PollReply{Server: "s1", Outcome: PollOK, Poll: poll, SentAt: now, ClockMs: 120, BootMs: 500}
	now = now.Add(2 * time.Millisecond)
	lookFor[StopRun](t, i.Step(now, reply))

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
	if again.Run.Attempt != start.Run.Attempt+1 || now.Sub(sentAt) > maxOverdueTime/2 {
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

// lookFor returns the only effect of a type.
func lookFor[E Effect](t *testing.T, effects []Effect) (found E) {
	t.Helper()
	n := 0
	for _, e := range effects {
		if x, ok := e.(E); ok {
			found = x
			n++
		}
	}
	if n != 1 {
		t.Fatalf("%d effects of type %T among %v", n, found, effects)
	}
	return found
}
