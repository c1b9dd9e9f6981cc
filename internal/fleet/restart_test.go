package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestRestartedServerRefusesOrdersToEarlierLife restarts a server under its ID, which
// forgets fence and stops. The owner replaces its token before it starts anything there, so
// that the server refuses what was sent to its earlier life and is carried out late.
func TestRestartedServerRefusesOrdersToEarlierLife(t *testing.T) {
	for name, storeUp := range map[string]bool{"store up": true, "store down": false} {
		t.Run(name, func(t *testing.T) {
			i, now := oneServer(t, 500)
			i.Step(now, StoreStatus{Up: storeUp})
			now = now.Add(startupDelay)
			poll := pollReply(now, 600)
			claims := append(i.Step(now, poll), i.Step(now, Tick{})...)
			starts := count[StartRun](i.Step(now, JobSubmitted{Call: 1, Job: shortJob(now)}))
			if !storeUp {
				if n := count[Claim](claims); n > 0 || starts != 1 {
					t.Fatalf("%d claims and %d starts, want one start under the old token", n, starts)
				}
				return
			}
			renewed := lookFor[Claim](t, claims).Expected[0]
			if starts != 0 {
				t.Fatalf("%d starts under the old token", starts)
			}
			renewed.Owner, renewed.Incarnation, renewed.Revision = "n1", "01", 8
			poll.Poll = lookFor[Poll](t, i.Step(now, ClaimReply{Owners: []Ownership{renewed}, Known: true, Committed: true}))
			start := lookFor[StartRun](t, i.Step(now, poll))
			if poll.Poll.Fence != renewed.Token() || start.Fence != renewed.Token() {
				t.Errorf("poll under %d and start under %d, want %d", poll.Poll.Fence, start.Fence, renewed.Token())
			}
		})
	}
}

// TestRunOnNewLifeOutlivesMissedPoll restarts a server under its ID just before a start
// reaches it. Until the lease that the new life may have granted is over, a poll without
// answer doesn't free the run.
func TestRunOnNewLifeOutlivesMissedPoll(t *testing.T) {
	i, now := oneServer(t, 500)
	run := startOne(t, i, now)
	late := ActiveRun{Run: RunID{Task: TaskID{Job: "j0"}, Attempt: 1}}
	reply := pollReply(now, 600, ActiveRun{Run: run}, late) // the latter keeps the server in recovery
	reply.ClockMs = 20
	i.Step(now, reply)
	s := i.pool.servers["s1"]
	for at := now.Add(50 * time.Millisecond); at < now.Add(950*time.Millisecond); at = at.Add(50 * time.Millisecond) {
		i.Step(at, PollReply{Server: "s1", Outcome: PollUnanswered, Poll: Poll{Fence: s.ownership.Token()}, SentAt: at.Add(-time.Millisecond)})
		i.Step(at, Tick{})
		if s.runs[run] == nil {
			t.Fatalf("%v after the restart the run no longer occupies capacity", at.Sub(now))
		}
	}
	i.Step(now.Add(1100*time.Millisecond), Tick{})
	if s.runs[run] != nil {
		t.Error("the run still occupies capacity when all leases have expired")
	}
}

// TestClockOfEarlierLifeIgnored answers a start of a server's earlier life after its
// restart was noticed.
func TestClockOfEarlierLifeIgnored(t *testing.T) {
	i, now := oneServer(t, 500)
	reply := pollReply(now, 600)
	reply.ClockMs = 20
	i.Step(now, reply)
	i.Step(now, StartReply{Server: "s1", Run: RunID{Task: TaskID{Job: "j0"}, Attempt: 1}, Outcome: StartAccepted, ClockMs: 90000, SentAt: now.Add(-time.Millisecond)})
	if got := i.pool.servers["s1"].clock.now(now); got != 20 {
		t.Errorf("the server's clock is taken as %d, want 20", got)
	}
}

// TestStopAnsweredByEarlierLifeIsRepeated settles an unanswered start by a stop, and
// restarts the server before the poll that shows the run absent. The start may still reach
// the new life, which has forgotten the stop.
func TestStopAnsweredByEarlierLifeIsRepeated(t *testing.T) {
	i, now := oneServer(t, 500)
	start := lookFor[StartRun](t, i.Step(now, JobSubmitted{Call: 1, Job: shortJob(now)}))
	i.Step(now, StartReply{Server: "s1", Run: start.Run, Outcome: StartUnanswered, SentAt: now})
	now = now.Add(time.Millisecond)
	lookFor[StopRun](t, i.Step(now, pollReply(now.Add(time.Millisecond), 500)))
	i.Step(now, StopReply{Server: "s1", Run: start.Run, OK: true, SentAt: now})
	now = now.Add(10 * time.Millisecond)
	i.Step(now, pollReply(now, 600)) // restarted
	s := i.pool.servers["s1"]
	i.Step(now, StopReply{Server: "s1", Run: start.Run, OK: true, SentAt: now.Add(-5 * time.Millisecond)})
	now = now.Add(time.Millisecond)
	i.Step(now, pollReply(now.Add(time.Millisecond), 600))
	if s.runs[start.Run] == nil {
		t.Fatal("the run no longer occupies capacity")
	}
	now = now.Add(10 * time.Millisecond)
	lookFor[StopRun](t, i.Step(now, Tick{}))
	i.Step(now, StopReply{Server: "s1", Run: start.Run, OK: true, SentAt: now})
	now = now.Add(10 * time.Millisecond)
	i.Step(now, pollReply(now, 600))
	if s.runs[start.Run] != nil {
		t.Error("the run still occupies capacity after the new life was told to stop it")
	}
}

// restartAsUnknownKind restarts a server that was of kind "large", and lets its owner poll the
// new life, whose entry isn't known yet. The store is away, which leaves the owner its token.
func restartAsUnknownKind(t *testing.T) (i *Instance, entry ServerEntry, now Time) {
	t.Helper()
	i, now = oneServer(t, 500)
	entry = i.servers.entries["s1"]
	entry.BootMs, entry.Labels = 500, []string{"large"}
	i.Step(now, ServersListed{Servers: []ServerEntry{entry}, Revision: 1})
	i.Step(now, StoreStatus{Up: false})
	now = now.Add(startupDelay)
	i.Step(now, pollReply(now, 600))
	return i, entry, now
}

// TestRestartedServerOfAnotherKind guards against tasks on a server that lacks their label, as
// it has restarted as one of another kind.
func TestRestartedServerOfAnotherKind(t *testing.T) {
	for _, label := range []string{"large", "small"} {
		i, entry, now := restartAsUnknownKind(t)
		labelled, other := shortJob(now), shortJob(now)
		labelled.Steps[0].Label, labelled.Steps[0].Need.CPUMilli = "large", 1000
		other.ID = "j2"
		if n := count[StartRun](i.Step(now, JobSubmitted{Call: 1, Job: labelled})); n != 0 {
			t.Errorf("%d starts by the label of the earlier life", n)
		}
		if n := count[StartRun](i.Step(now, JobSubmitted{Call: 2, Job: other})); n != 1 {
			t.Errorf("%d starts of a task that any kind may run, want 1", n)
		}
		entry.BootMs, entry.Labels = 600, []string{label}
		effects := i.Step(now, ServersListed{Servers: []ServerEntry{entry}, Revision: 2})
		starts := count[StartRun](append(effects, i.Step(now, Tick{})...))
		if want := map[string]int{"large": 1, "small": 0}[label]; starts != want {
			t.Errorf("%d starts on a server of kind %s, want %d", starts, label, want)
		}
	}
}

// TestRestartedServerOfAnotherSize guards against more tasks on a server than it has capacity
// for, as it has restarted as a smaller one.
func TestRestartedServerOfAnotherSize(t *testing.T) {
	i, entry, now := restartAsUnknownKind(t)
	i.Step(now, StoreStatus{Up: true})
	i.Step(now, pollReply(now, 700)) // restarted again
	renewed := lookFor[Claim](t, i.Step(now, Tick{})).Expected[0]
	renewed.Owner, renewed.Incarnation, renewed.Revision = "n1", "01", 8
	poll := pollReply(now, 700)
	poll.Poll = lookFor[Poll](t, i.Step(now, ClaimReply{Owners: []Ownership{renewed}, Known: true, Committed: true}))
	i.Step(now, JobSubmitted{Call: 1, Job: shortJob(now)})
	if n := count[StartRun](i.Step(now, poll)); n != 0 {
		t.Errorf("%d starts before the server's entry is known", n)
	}
	entry.BootMs, entry.Capacity.CPUMilli = 700, 100
	i.Step(now, ServersListed{Servers: []ServerEntry{entry}, Revision: 2})
	if n := count[StartRun](i.Step(now, poll)); n != 0 {
		t.Errorf("%d starts on a server that is too small", n)
	}
	entry.Capacity.CPUMilli = 4000
	i.Step(now, ServersListed{Servers: []ServerEntry{entry}, Revision: 3})
	i.Step(now, poll)
	next := shortJob(now)
	next.ID = "j2"
	lookFor[StartRun](t, i.Step(now, JobSubmitted{Call: 2, Job: next}))
}

// TestIdleServerIsPolledBeforeItsLabelCounts guards against tasks on a server that lacks their
// label, as it has restarted as one of another kind while it ran nothing and wasn't polled.
func TestIdleServerIsPolledBeforeItsLabelCounts(t *testing.T) {
	for name, bootMs := range map[string]int64{"same life": 500, "restarted": 600} {
		t.Run(name, func(t *testing.T) {
			i, now := oneServer(t, 500)
			entry := i.servers.entries["s1"]
			entry.BootMs, entry.Labels = 500, []string{"large"}
			i.Step(now, ServersListed{Servers: []ServerEntry{entry}, Revision: 1})
			for idle := now; now.Sub(idle) <= lifeKnownFor; now = now.Add(tickInterval) {
				i.Step(now, Tick{})
			}
			labelled, other := shortJob(now), shortJob(now)
			labelled.Steps[0].Label, labelled.Steps[0].Need.CPUMilli = "large", 1000
			other.ID = "j2"
			effects := i.Step(now, JobSubmitted{Call: 1, Job: labelled})
			if n := count[StartRun](effects); n != 0 {
				t.Errorf("%d starts on a server that hasn't answered for %v", n, lifeKnownFor)
			}
			poll := pollReply(now.Add(2*time.Millisecond), bootMs)
			poll.Poll, poll.ClockMs = lookFor[Poll](t, effects), i.pool.servers["s1"].clock.now(now)+3
			if n := count[StartRun](i.Step(now, JobSubmitted{Call: 2, Job: other})); n != 1 {
				t.Errorf("%d starts of a task that any kind may run, want 1", n)
			}
			starts := count[StartRun](i.Step(now.Add(2*time.Millisecond), poll))
			if want := map[int64]int{500: 1}[bootMs]; starts != want {
				t.Errorf("%d starts after the reply, want %d", starts, want)
			}
		})
	}
}

// TestRunTakenForOverByTheClockOfAnEarlierLife starts a task at a server that ran nothing, and
// so wasn't polled, and has restarted unnoticed. Orders arrive there, and nothing is answered
// any more. The clock of the new life is far behind, so that it shortens each lease to the
// longest one from its arrival: the task may not start elsewhere before that has ended.
func TestRunTakenForOverByTheClockOfAnEarlierLife(t *testing.T) {
	for name, idle := range map[string]time.Duration{"not restarted": 0, "restarted": time.Second} {
		t.Run(name, func(t *testing.T) {
			i, now := oneServer(t, 500)
			other := ServerEntry{ID: "s2", Service: "svc", Addr: "b", Domain: "d", State: ServerReady, Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4000}}
			i.Step(now, ServersListed{Servers: []ServerEntry{i.servers.entries["s1"], other}, Revision: 1})
			i.Step(now, OwnersChanged{Owners: []Ownership{{Server: "s2", Owner: "n1", Incarnation: "01", Revision: 7}}})
			answer := func(at Time, p Poll) []Effect {
				reply := pollReply(at, 500)
				reply.Server, reply.Poll, reply.SentAt = p.Server, p, at
				reply.ClockMs = 100 + at.Sub(Time(time.Second)).Milliseconds()
				return i.Step(at, reply)
			}
			answer(now, Poll{Server: "s2", Fence: Ownership{Revision: 7}.Token()})
			for began := now; now.Sub(began) < time.Second; now = now.Add(tickInterval) { // neither server has runs
				for _, e := range i.Step(now, Tick{}) {
					if p, ok := e.(Poll); ok {
						answer(now, p)
					}
				}
			}
			clock := func(at Time) int64 { return 100 + at.Add(-idle).Sub(Time(time.Second)).Milliseconds() }
			leaseEnd := int64(0) // on the clock of the first server
			extend := func(endMs int64, at Time) {
				leaseEnd = max(leaseEnd, min(endMs, clock(at)+time.Second.Milliseconds()))
			}
			began := now
			effects := i.Step(now, JobSubmitted{Call: 1, Job: oneTaskJob("j1", now)})
			first := lookFor[StartRun](t, effects)
			type lost struct {
				at Time
				e  Event
			}
			var answers []lost
			for ; now.Sub(began) < 2*time.Second; now = now.Add(10 * time.Millisecond) {
				for _, e := range effects {
					switch e := e.(type) {
					case StartRun:
						if e.Run != first.Run && clock(now) < leaseEnd {
							t.Fatalf("started again at %s %v after the first start; that run lasts for another %d ms", e.Server, now.Sub(began), leaseEnd-clock(now))
						}
						if e.Run != first.Run {
							return
						}
						extend(e.LeaseEndMs, now)
						answers = append(answers, lost{now.Add(150 * time.Millisecond), StartReply{Server: e.Server, Run: e.Run, Outcome: StartUnanswered, SentAt: now}})
					case Poll:
						if e.Server != first.Server {
							answers = append(answers, lost{now, nil})
							answer(now, e)
							continue
						}
						extend(e.LeaseEndMs, now)
						answers = append(answers, lost{now.Add(200*time.Millisecond + e.Wait), PollReply{Server: e.Server, Poll: e, Outcome: PollUnanswered, SentAt: now}})
					}
				}
				effects = i.Step(now, RepliesOverdue{})
				if now.Sub(began)%tickInterval == 0 {
					effects = append(effects, i.Step(now, Tick{})...)
				}
				due := answers
				answers = nil
				for _, x := range due {
					switch {
					case x.e == nil:
					case x.at <= now:
						effects = append(effects, i.Step(now, x.e)...)
					default:
						answers = append(answers, x)
					}
				}
			}
			t.Error("never started again")
		})
	}
}

// TestRefusalOfReplacedTokenKeepsServer replaces the token of a restarted server. An order
// under the earlier one, sent just before, reaches the server after the first poll under the
// new one and is refused, which says nothing of the new one.
func TestRefusalOfReplacedTokenKeepsServer(t *testing.T) {
	for _, refused := range []string{"poll", "start", "stop"} {
		i, now := oneServer(t, 500)
		now = now.Add(startupDelay)
		start := lookFor[StartRun](t, i.Step(now, JobSubmitted{Call: 1, Job: oneTaskJob("j1", now)}))
		before := pollReply(now, 600, ActiveRun{Run: start.Run}) // the start has reached the new life
		renewed := lookFor[Claim](t, append(i.Step(now, before), i.Step(now, Tick{})...)).Expected[0]
		renewed.Owner, renewed.Incarnation, renewed.Revision = "n1", "01", 8
		poll := pollReply(now, 600, ActiveRun{Run: start.Run})
		poll.Poll = lookFor[Poll](t, i.Step(now, ClaimReply{Owners: []Ownership{renewed}, Known: true, Committed: true}))
		i.Step(now, poll)
		switch refused {
		case "poll":
			i.Step(now, PollReply{Server: "s1", Poll: before.Poll, Outcome: PollFenced, SentAt: before.SentAt})
		case "start":
			i.Step(now, StartReply{Server: "s1", Run: start.Run, Outcome: StartFenced, SentAt: now})
		case "stop":
			i.Step(now, StopReply{Server: "s1", Run: start.Run, Fenced: true, SentAt: now})
		}
		if s := i.pool.servers["s1"]; s == nil || s.runs[start.Run] == nil || len(i.pool.delayed) > 0 {
			t.Errorf("%s refused under the earlier token: the server was dropped, and %d tasks wait for runs that may exist", refused, len(i.pool.delayed))
		}
	}
}
