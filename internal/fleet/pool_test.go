package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// oneServer returns an instance that owns and has polled one server, with the current
// time.
func oneServer(t *testing.T, bootMs int64) (*Instance, Time) {
	t.Helper()
	self := Member{Instance: "n1", Incarnation: "01", Domain: "d", Weight: 1}
	now := Time(time.Second)
	i := NewInstance(Options{Self: self, Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	entry := ServerEntry{ID: "s1", Service: "svc", Addr: "a", Domain: "d", State: ServerReady, Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4000}}
	own := Ownership{Server: "s1", Owner: "n1", Incarnation: "01", Revision: 7}
	i.Step(now, StoreStatus{Up: true})
	i.Step(now, ServersListed{Servers: []ServerEntry{entry}})
	i.Step(now, OwnersChanged{Owners: []Ownership{own}})
	now = now.Add(time.Millisecond)
	i.Step(now, pollReply(now, bootMs))
	return i, now.Add(time.Millisecond)
}

func pollReply(now Time, bootMs int64, running ...ActiveRun) PollReply {
	return PollReply{Server: "s1", Outcome: PollOK, Poll: Poll{Fence: Ownership{Revision: 7}.Token()}, SentAt: now.Add(-time.Millisecond), ClockMs: 100, BootMs: bootMs, Running: running}
}

// startOne submits a job of one task and confirms its start.
func startOne(t *testing.T, i *Instance, now Time) RunID {
	t.Helper()
	spec := JobSpec{
		ID: "j1", Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: now, Objective: Objective{Stretch: 2},
		Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: 3000}, Estimate: time.Second}},
	}
	for _, e := range i.Step(now, JobSubmitted{Call: 1, Job: spec}) {
		if s, ok := e.(StartRun); ok {
			i.Step(now, StartReply{Server: "s1", Run: s.Run, Outcome: StartAccepted, ClockMs: 100, SentAt: now})
			return s.Run
		}
	}
	t.Fatal("nothing was started")
	return RunID{}
}

// startDurable submits a durable job of one task, stores it and confirms its start.
func startDurable(t *testing.T, i *Instance, now Time) RunID {
	t.Helper()
	spec := oneTaskJob("j1", now)
	spec.Durable = true
	saved := lookFor[SaveJob](t, i.Step(now, JobSubmitted{Call: 1, Job: spec}))
	start := lookFor[StartRun](t, i.Step(now, JobSaved{ID: saved.Record.ID, Revision: 9}))
	i.Step(now, StartReply{Server: "s1", Run: start.Run, Outcome: StartAccepted, ClockMs: 100, SentAt: now})
	return start.Run
}

func TestReplyOfEarlierBootIgnored(t *testing.T) {
	i, now := oneServer(t, 500)
	i.Step(now, StoreStatus{Up: false})
	early := pollReply(now, 500)     // answered before the restart
	i.Step(now, pollReply(now, 600)) // restarted
	now = now.Add(10 * time.Millisecond)
	run := startOne(t, i, now)
	now = now.Add(10 * time.Millisecond)
	i.Step(now, early)
	if s := i.pool.servers["s1"]; s.life.bootMs != 600 || s.runs[run] == nil {
		t.Errorf("boot time %d, run %v", s.life.bootMs, s.runs[run])
	}
}

func TestRunsExpireWhenServerReplaced(t *testing.T) {
	i, now := oneServer(t, 500)
	run := startOne(t, i, now)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		i.Step(now, PollReply{Server: "s1", Outcome: PollServerReplaced, SentAt: now.Add(-time.Millisecond)})
		i.Step(now, Tick{})
	}
	if i.pool.servers["s1"].runs[run] != nil {
		t.Error("the run still occupies capacity two seconds after its server was replaced")
	}
}

// TestLateOutcomeOfEarlierOffer declines a call twice, as an owner may after its link
// was replaced. Only the first outcome leads to another offer.
func TestLateOutcomeOfEarlierOffer(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	spec := JobSpec{
		ID: "j1", Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: now, Objective: Objective{Stretch: 2},
		Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: 3000}, Estimate: time.Second}},
	}
	const offer CallID = 9
	c := &call{id: 1, offer: offer, job: spec, owner: other, tried: []model.Instance{"n2"}}
	i.router.add(c)
	i.router.offers[offer], i.router.lastOffer = c, offer
	starts := 0
	for range 2 {
		for _, e := range i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Outcome{Call: offer, Declined: true}}) {
			if _, ok := e.(StartRun); ok {
				starts++
			}
		}
	}
	if starts != 1 {
		t.Errorf("%d starts, want 1", starts)
	}
}

// TestLeaseCountsFromLastEcho runs a job of another instance. Its lease counts from the
// last heartbeat that the other is known to have processed, also in polls, and no poll
// renews a run that is being stopped.
func TestLeaseCountsFromLastEcho(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	heartbeat := func(echo Time) {
		i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: echo}})
	}
	i.Step(now, LinkUp{Peer: other})
	echo := now
	now = now.Add(300 * time.Millisecond)
	heartbeat(echo)
	spec := JobSpec{
		ID: "j1", Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: now, Objective: Objective{Stretch: 2},
		Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: 3000}, Estimate: time.Second}},
	}
	serverClock := func(at Time) int64 { return 100 + at.Sub(echo).Milliseconds() } // 100 at the echo, from the poll reply in oneServer
	limit := serverClock(echo.Add(time.Second))
	var run RunID
	for _, e := range i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Offer{Call: 5, Job: spec, AllowQueue: true}}) {
		if s, ok := e.(StartRun); ok {
			run = s.Run
			if s.LeaseEndMs > limit {
				t.Errorf("the start has a lease to %d, want at most %d", s.LeaseEndMs, limit)
			}
		}
	}
	if run.Attempt == 0 {
		t.Fatal("nothing was started")
	}
	now = now.Add(100 * time.Millisecond)
	i.Step(now, StartReply{Server: "s1", Run: run, Outcome: StartAccepted, ClockMs: serverClock(now), SentAt: now})
	checkLeases := func(when string) {
		now = now.Add(100 * time.Millisecond)
		reply := pollReply(now, 500, ActiveRun{Run: run, Percent: 10})
		reply.ClockMs = serverClock(now)
		for _, e := range i.Step(now, reply) {
			if l, ok := e.(Poll); ok && l.LeaseEndMs > limit {
				t.Errorf("%s a poll has a lease to %d, want at most %d", when, l.LeaseEndMs, limit)
			}
		}
	}
	checkLeases("while the job runs")
	i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Withdraw{Call: 5}})
	limit = serverClock(now.Add(time.Second))
	checkLeases("while the run is being stopped")
	checkLeases("while the run is being stopped")
}

// TestOffloadedLeaseCountsFromHomeEcho runs a task offloaded by another owner. Its
// lease also counts from the last echo of the instance that holds the job's call.
func TestOffloadedLeaseCountsFromHomeEcho(t *testing.T) {
	i, now := oneServer(t, 500)
	owner := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	home := Member{Instance: "n3", Incarnation: "01", Domain: "d", Weight: 1}
	for _, m := range []Member{owner, home} {
		i.Step(now, LinkUp{Peer: m})
	}
	echo := now
	now = now.Add(400 * time.Millisecond)
	for _, m := range []Member{owner, home} {
		e := echo
		if m == owner {
			e = now.Add(-time.Millisecond)
		}
		i.Step(now, PeerMessage{From: m, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: e}})
	}
	spec := JobSpec{
		ID: "j1", Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: now, Objective: Objective{Stretch: 2},
		Offloaded: &OffloadedTask{Home: home},
		Steps:     []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: 3000}, Estimate: time.Second}},
	}
	limit := 100 + time.Second.Milliseconds() // the server's clock is 100 at the echo
	for _, e := range i.Step(now, PeerMessage{From: owner, ReceivedAt: now, Message: Offer{Call: firstOffloadCall + 1, Job: spec}}) {
		if s, ok := e.(StartRun); ok {
			if s.LeaseEndMs > limit {
				t.Errorf("the start has a lease to %d, want at most %d", s.LeaseEndMs, limit)
			}
			return
		}
	}
	t.Fatal("nothing was started")
}

// TestOfferFromBeforePauseWaitsForNews checks that a job that was offered before a pause
// and read after it doesn't start before the instance that offered it is heard again:
// that one, or its caller, may have had it run elsewhere since.
func TestOfferFromBeforePauseWaitsForNews(t *testing.T) {
	const frozen = 3 * time.Second
	for name, heard := range map[string]bool{"no news": false, "news": true} {
		t.Run(name, func(t *testing.T) {
			i, now := oneServer(t, 500)
			origin := Member{Instance: "n2", Incarnation: "01", Domain: "d", Addr: "a", Weight: 1}
			i.Step(now, MembersListed{Members: []Member{i.opts.Self, origin}})
			i.Step(now, LinkUp{Peer: origin})
			beat := func() []Effect { // each of them has processed what the other sent 1 ms ago
				return i.Step(now, PeerMessage{From: origin, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now.Add(-time.Millisecond), Busy: true}})
			}
			for range 20 {
				now = now.Add(tickInterval)
				beat()
				i.Step(now, pollReply(now, 500))
				i.Step(now, Tick{})
			}
			now = now.Add(frozen)
			i.Step(now, PeerMessage{From: origin, ReceivedAt: now, Message: Offer{Call: 5, AllowQueue: true, Job: JobSpec{
				ID: "j1", Service: "svc", MaxAttempts: 3, Timeout: time.Minute, Objective: Objective{Allowance: time.Minute},
				Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: 3000}, Estimate: time.Second}},
			}}})
			started := false
			for range 20 {
				now = now.Add(tickInterval)
				effects := append(i.Step(now, pollReply(now, 500)), i.Step(now, Tick{})...)
				if heard {
					effects = append(effects, beat()...)
				}
				for _, e := range effects {
					if _, ok := e.(StartRun); ok {
						started = true
					}
				}
			}
			if started != heard {
				t.Errorf("started: %v, want %v", started, heard)
			}
		})
	}
}

// TestRunMissingFromFullListOfEndsIsKept checks that a run counts as absent only if all
// ends were listed: its own may be among those left out.
func TestRunMissingFromFullListOfEndsIsKept(t *testing.T) {
	i, now := oneServer(t, 500)
	id := startOne(t, i, now)
	now = now.Add(10 * time.Millisecond)
	full := pollReply(now, 500)
	full.MoreEnds = true
	if lost := entries(i.Step(now, full), LogRunLost); len(lost) > 0 {
		t.Fatalf("%+v", *lost[0].Record)
	}
	now = now.Add(10 * time.Millisecond)
	rest := pollReply(now, 500)
	rest.Ended = []EndedRun{{Seq: 501, Run: id, Kind: EndDone}}
	if ended := entries(i.Step(now, rest), LogJobEnded); len(ended) != 1 || ended[0].Count != 1 {
		t.Errorf("%+v, want one start and its end", ended)
	}
}

// TestAcknowledgementEndsWithItsLife checks that a poll acknowledges nothing that an
// earlier reply has confirmed: a server that restarted unnoticed counts its ends anew, and
// would forget ends that nobody has seen.
func TestAcknowledgementEndsWithItsLife(t *testing.T) {
	i, now := oneServer(t, 500)
	const seq = 57
	var acked []int64
	polls := func(effects []Effect) {
		for _, e := range effects {
			if p, ok := e.(Poll); ok {
				acked = append(acked, p.AckedSeq)
			}
		}
	}
	id := startOne(t, i, now)
	now = now.Add(10 * time.Millisecond)
	ended := pollReply(now, 500)
	ended.Ended = []EndedRun{{Seq: seq, Run: id, Kind: EndDone}}
	polls(i.Step(now, ended))
	now = now.Add(10 * time.Millisecond)
	confirmed := pollReply(now, 500)
	confirmed.Poll.AckedSeq = seq
	polls(i.Step(now, confirmed))
	if !slices.Equal(acked, []int64{seq}) {
		t.Fatalf("polls acknowledge %v, want %d once", acked, seq)
	}
	acked = nil
	spec := JobSpec{
		ID: "j2", Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: now, Objective: Objective{Stretch: 2},
		Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: 3000}, Estimate: time.Second}},
	}
	i.Step(now, JobSubmitted{Call: 2, Job: spec}) // started in a later life
	now = now.Add(10 * time.Millisecond)
	polls(i.Step(now, StartReply{Server: "s1", Run: RunID{TaskID{"j2", 0, 0}, 1}, Outcome: StartAccepted, ClockMs: 110, SentAt: now}))
	if !slices.Equal(acked, []int64{0}) {
		t.Errorf("polls acknowledge %v, want nothing", acked)
	}
}

// TestStopRenewsNoLeaseOfLostOrigin loses the instance that offered a job. No poll renews
// the lease beyond its last echo while the stops of the run go unanswered.
func TestStopRenewsNoLeaseOfLostOrigin(t *testing.T) {
	const ms = time.Millisecond
	for name, lose := range map[string]func(i *Instance, other Member, now Time) Time{
		"silent": func(i *Instance, _ Member, now Time) Time { return now },
		"restarted": func(i *Instance, other Member, now Time) Time {
			other.Incarnation = "02"
			i.Step(now, LinkUp{Peer: other})
			return now
		},
		"during a pause": func(_ *Instance, _ Member, now Time) Time { return now.Add(800 * ms) },
	} {
		t.Run(name, func(t *testing.T) {
			i, now := oneServer(t, 500)
			other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
			i.Step(now, LinkUp{Peer: other})
			echo := now
			i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: echo}})
			spec := shortJob(now)
			spec.Timeout = time.Minute
			start := lookFor[StartRun](t, i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Offer{Call: 5, Job: spec, AllowQueue: true}}))
			serverClock := func(at Time) int64 { return 100 + at.Sub(echo).Milliseconds() }
			i.Step(now, StartReply{Server: "s1", Run: start.Run, Outcome: StartAccepted, ClockMs: serverClock(now), SentAt: now})
			limit := serverClock(echo.Add(time.Second))
			now = lose(i, other, now.Add(10*ms))
			for range 20 {
				now = now.Add(50 * ms)
				reply := pollReply(now, 500, ActiveRun{Run: start.Run, Percent: 10})
				reply.ClockMs = serverClock(now)
				for _, e := range append(i.Step(now, Tick{}), i.Step(now, reply)...) {
					if l, ok := e.(Poll); ok && l.LeaseEndMs > limit {
						t.Fatalf("%v after the last echo a poll renews the lease to %d, want at most %d", now.Sub(echo), l.LeaseEndMs, limit)
					}
				}
			}
		})
	}
}

// TestOwnCallsCountFromProcessedInput stops processing the callers' input while polls go
// on. No lease of the instance's own job lasts longer than from the input processed last,
// and nothing more starts, as its callers may have left.
func TestOwnCallsCountFromProcessedInput(t *testing.T) {
	const ms = time.Millisecond
	i, now := oneServer(t, 500)
	input := now
	i.Step(now, InputProcessed{At: input})
	run := startOne(t, i, now)
	serverClock := func(at Time) int64 { return 100 + at.Sub(input).Milliseconds() }
	limit := serverClock(input.Add(time.Second))
	for range 18 {
		now = now.Add(50 * ms)
		reply := pollReply(now, 500, ActiveRun{Run: run, Percent: 10})
		reply.ClockMs = serverClock(now)
		for _, e := range append(i.Step(now, Tick{}), i.Step(now, reply)...) {
			if l, ok := e.(Poll); ok && l.LeaseEndMs > limit {
				t.Fatalf("%v after the input processed last, a poll renews the lease to %d, want at most %d", now.Sub(input), l.LeaseEndMs, limit)
			}
		}
	}
	ended := pollReply(now, 500)
	ended.ClockMs, ended.Ended = serverClock(now), []EndedRun{{Seq: 1, Run: run, Kind: EndDone}}
	i.Step(now, ended)
	next := shortJob(now)
	next.ID = "j2"
	if n := count[StartRun](i.Step(now, JobSubmitted{Call: 2, Job: next})); n > 0 {
		t.Error("a task starts while the callers' input is not processed")
	}
	i.Step(now, InputProcessed{At: now})
	if n := count[StartRun](i.Step(now, Tick{})); n == 0 {
		t.Error("nothing starts once the input is processed")
	}
}

// TestServerThatNeverAnsweredIsPolledRarely leaves an owned server unanswered, as one that
// an odd entry names, and one that has answered before.
func TestServerThatNeverAnsweredIsPolledRarely(t *testing.T) {
	const span = 30 * time.Second
	for _, c := range []struct {
		name        string
		answered    bool
		least, most int
	}{{"never", false, 30, 110}, {"before", true, 150, 1000}} {
		i, now := oneServer(t, 500)
		s := i.pool.servers["s1"]
		if !c.answered {
			s.repliedAt, s.phase = 0, phaseRecovering
		} else {
			startOne(t, i, now)
		}
		polls := 0
		for end := now.Add(span); now < end; now = now.Add(tickInterval) {
			for _, e := range i.Step(now, Tick{}) {
				if p, ok := e.(Poll); ok {
					polls++
					i.Step(now, PollReply{Server: "s1", Outcome: PollUnanswered, Poll: p, SentAt: now})
				}
			}
		}
		if polls < c.least || polls > c.most {
			t.Errorf("%s answered: %d polls in %v, want %d to %d", c.name, polls, span, c.least, c.most)
		}
	}
}
