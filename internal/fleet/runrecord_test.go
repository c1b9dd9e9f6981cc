package fleet

import (
	"testing"
	"time"
)

// TestRunOverWithoutListedEndSaysWhy checks the line for each way in which an owner
// takes a run for over that no list has ended.
func TestRunOverWithoutListedEndSaysWhy(t *testing.T) {
	const bootMs, laterMs = 500, 600
	token := Ownership{Revision: 7}.Token()
	missed := func(i *Instance, now Time) (out []Effect) {
		for range 30 {
			now = now.Add(tickInterval)
			out = append(out, i.Step(now, PollReply{Server: "s1", Outcome: PollUnanswered, SentAt: now})...)
			out = append(out, i.Step(now, Tick{})...)
		}
		return out
	}
	for name, c := range map[string]struct {
		happens func(i *Instance, now Time) []Effect
		want    RunRecord
	}{
		"absent": {
			func(i *Instance, now Time) []Effect { return i.Step(now, pollReply(now, bootMs)) },
			RunRecord{Conclusion: ConcludedAbsent},
		},
		"absent in a later life": {
			func(i *Instance, now Time) []Effect { return i.Step(now, pollReply(now, laterMs)) },
			RunRecord{Conclusion: ConcludedRestarted, NowBootMs: laterMs},
		},
		"lease expired": {missed, RunRecord{Conclusion: ConcludedExpired}},
		"server owned by another": {
			func(i *Instance, now Time) []Effect {
				return i.Step(now, PollReply{Server: "s1", Outcome: PollFenced, SentAt: now})
			},
			RunRecord{Conclusion: WaitsServerLost, Wait: MaxOrphanRunTime(time.Second, 50*time.Millisecond)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			i, now := oneServer(t, bootMs)
			id := startOne(t, i, now)
			sentAt := now
			var lost []*RunRecord
			for _, e := range c.happens(i, now.Add(20*time.Millisecond)) {
				if l, ok := e.(LogEntry); ok && l.Kind == LogRunLost {
					lost = append(lost, l.Record)
				}
			}
			if len(lost) != 1 {
				t.Fatalf("%d lines, want 1", len(lost))
			}
			got := *lost[0]
			if got.Conclusion == ConcludedExpired && (got.LeaseEndMs == 0 || got.ClockMs < got.LeaseEndMs) {
				t.Errorf("lease end %d, clock %d", got.LeaseEndMs, got.ClockMs)
			}
			got.OverAt, got.LeaseEndMs, got.ClockMs = 0, 0, 0
			c.want.Run, c.want.Server, c.want.BootMs, c.want.Fence, c.want.SentAt = id, "s1", bootMs, token, sentAt
			if got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// TestStoppedRunsAreLogged checks that a job that ends early tells which runs it had,
// and that the end of a run after that has a line of its own.
func TestStoppedRunsAreLogged(t *testing.T) {
	i, now := oneServer(t, 500)
	id := startOne(t, i, now)
	now = now.Add(20 * time.Millisecond)
	ended := entries(i.Step(now, CallerDisconnected{Call: 1}), LogJobEnded)
	if len(ended) != 1 || len(ended[0].Runs) != 1 || ended[0].Runs[0].Run != id || ended[0].Runs[0].StopAt != now || ended[0].Runs[0].Conclusion != "" {
		t.Fatalf("%+v", ended)
	}
	now = now.Add(20 * time.Millisecond)
	reply := pollReply(now, 500)
	reply.Ended = []EndedRun{{Seq: 1, Run: id, Kind: EndStopped}}
	over := entries(i.Step(now, reply), LogRunEnded)
	if len(over) != 1 || over[0].Record.Conclusion != ConcludedListed || over[0].Record.End != EndStopped {
		t.Fatalf("%+v", over)
	}
}

// TestOrdinaryRunsHaveNoLine guards the volume of the log: a first start that ends well
// is told by job-ended alone.
func TestOrdinaryRunsHaveNoLine(t *testing.T) {
	i, now := oneServer(t, 500)
	id := startOne(t, i, now)
	reply := pollReply(now.Add(time.Millisecond), 500)
	reply.Ended = []EndedRun{{Seq: 1, Run: id, Kind: EndDone}}
	for _, e := range i.Step(now.Add(time.Millisecond), reply) {
		l, ok := e.(LogEntry)
		if ok && (l.Kind != LogJobEnded || len(l.Runs) != 1 || l.Runs[0].End != EndDone) {
			t.Errorf("%+v", l)
		}
	}
}

func entries(effects []Effect, kind LogKind) (out []LogEntry) {
	for _, e := range effects {
		if l, ok := e.(LogEntry); ok && l.Kind == kind {
			out = append(out, l)
		}
	}
	return out
}
