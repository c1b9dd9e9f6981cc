package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

func losses(n, alone, crashed int) (out []ServerLoss) {
	for i := range n {
		out = append(out, ServerLoss{Server: model.ServerID(fmt.Sprintf("s%d", i)), BootMs: 5, Alone: i >= n-alone, Crashed: i < crashed})
	}
	return out
}

// TestGivenUpOnlyAfterEnoughCrashes names the losses after which a job fails: a false
// verdict fails an innocent job, a late one crashes more servers.
func TestGivenUpOnlyAfterEnoughCrashes(t *testing.T) {
	cases := []struct {
		name                   string
		n, alone, crashed      int
		wantDurable, wantLoose bool
	}{
		{"none", 0, 0, 0, false, false},
		{"one alone", 1, 1, 1, false, false},
		{"two beside others", 2, 0, 2, false, false},
		{"two, the last alone", 2, 1, 2, false, true},
		{"two alone", 2, 2, 2, false, true},
		{"three beside others", 3, 0, 3, false, true},
		{"three, one alone", 3, 1, 3, false, true},
		{"three, two alone, one known to have crashed", 3, 2, 1, false, true},
		{"three, two alone, two known to have crashed", 3, 2, 2, true, true},
		{"four beside others", 4, 0, 4, false, true},
		{"five, none known to have crashed", 5, 5, 0, false, true},
		{"five beside others", 5, 0, 5, true, true},
	}
	for _, c := range cases {
		for _, durable := range []bool{true, false} {
			want := c.wantLoose
			if durable {
				want = c.wantDurable
			}
			tk := &task{job: &job{spec: JobSpec{Durable: durable}}, losses: losses(c.n, c.alone, c.crashed)}
			if got := tk.hopeless(); got != want {
				t.Errorf("%s, durable %v: given up %v, want %v", c.name, durable, got, want)
			}
		}
	}
}

// TestSuspectWaitsForStoreAndSettlement: a durable job's suspect starts neither before
// its losses are stored nor too often before it is known whether its servers crashed.
func TestSuspectWaitsForStoreAndSettlement(t *testing.T) {
	now := Time(time.Minute)
	cases := []struct {
		name    string
		x       durableJob
		losses  []ServerLoss
		lostFor time.Duration
		want    bool
	}{
		{"first loss, stored", durableJob{}, losses(1, 0, 0), 0, true},
		{"being stored", durableJob{saving: true}, losses(1, 0, 0), time.Minute, false},
		{"not stored", durableJob{dirty: true}, losses(1, 0, 0), time.Minute, false},
		{"three unsettled", durableJob{}, losses(3, 2, 1), settleTimeout - 1, false},
		{"three unsettled for long", durableJob{}, losses(3, 2, 1), settleTimeout, true},
		{"three crashed beside others", durableJob{}, losses(3, 0, 3), 0, true},
		{"five unsettled for long", durableJob{}, losses(5, 4, 1), time.Minute, false},
	}
	for _, c := range cases {
		tk := &task{job: &job{spec: JobSpec{Durable: true}, durable: &c.x}, losses: c.losses, lostAt: now.Add(-c.lostFor)}
		if got := tk.mayRetry(now); got != c.want {
			t.Errorf("%s: may start %v, want %v", c.name, got, c.want)
		}
	}
}

// fewServers returns an owner of idle servers with room for two tasks each.
func fewServers(t *testing.T, n int) (*Instance, []ServerEntry, Time) {
	t.Helper()
	self := Member{Instance: "n1", Incarnation: "01", Domain: "d", Weight: 1}
	now := Time(time.Second)
	i := NewInstance(Options{Self: self, Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	i.Step(now, StoreStatus{Up: true})
	var entries []ServerEntry
	var owned []Ownership
	for k := range n {
		id := model.ServerID(fmt.Sprintf("s%d", k+1))
		entries = append(entries, ServerEntry{ID: id, Service: "svc", Addr: "a", Domain: "d", State: ServerReady, BootMs: 5, Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4000}})
		owned = append(owned, Ownership{Server: id, Owner: "n1", Incarnation: "01", Revision: uint64(k + 1)})
	}
	i.Step(now, ServersListed{Servers: entries, Revision: 1})
	i.Step(now, OwnersChanged{Owners: owned})
	for k, e := range entries {
		i.Step(now, PollReply{Server: e.ID, Outcome: PollOK, Poll: Poll{Fence: owned[k].Token()}, SentAt: now, ClockMs: 100, BootMs: 5})
	}
	return i, entries, now
}

// submitTasks submits a job and confirms its starts.
func submitTasks(i *Instance, now Time, call CallID, count int) (starts []StartRun) {
	spec := JobSpec{
		ID: fmt.Sprintf("j%d", call), Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: now, Objective: Objective{Allowance: time.Minute, Stretch: 2},
		Steps: []StepSpec{{Count: count, Need: model.Resources{CPUMilli: 2000}, Estimate: 100 * time.Millisecond}},
	}
	return confirmStarts(i, now, i.Step(now, JobSubmitted{Call: call, Job: spec}))
}

func confirmStarts(i *Instance, now Time, effects []Effect) (starts []StartRun) {
	for _, e := range effects {
		if s, ok := e.(StartRun); ok {
			starts = append(starts, s)
			i.Step(now, StartReply{Server: s.Server, Run: s.Run, Outcome: StartAccepted, ClockMs: 100, SentAt: now})
		}
	}
	return starts
}

// lose loses a server with its runs, whose leases have expired, and returns the starts
// that follow.
func lose(i *Instance, id model.ServerID, now Time) []StartRun {
	s := i.pool.servers[id]
	for range missesUntilUnresponsive {
		i.Step(now, PollReply{Server: id, Outcome: PollUnanswered, SentAt: now})
	}
	s.leaseEndMs = 0
	return confirmStarts(i, now, i.Step(now, Tick{}))
}

// TestSuspectsRunAlone loses a server with two runs. Both tasks start again on servers of
// their own, where nothing else starts until they have ended.
func TestSuspectsRunAlone(t *testing.T) {
	i, _, now := fewServers(t, 9)
	starts := submitTasks(i, now, 1, 2)
	if starts[0].Server != starts[1].Server {
		t.Fatalf("the tasks start at %s and %s", starts[0].Server, starts[1].Server)
	}
	again := lose(i, starts[0].Server, now)
	if len(again) != 2 || again[0].Server == again[1].Server {
		t.Fatalf("the suspects start %v", again)
	}
	for _, s := range submitTasks(i, now, 2, 12) {
		if s.Server == again[0].Server || s.Server == again[1].Server {
			t.Errorf("%v starts beside a suspect at %s", s.Run, s.Server)
		}
	}
	for _, a := range again {
		i.Step(now, PollReply{Server: a.Server, Outcome: PollOK, SentAt: now, ClockMs: 100, BootMs: 5, Ended: []EndedRun{{Seq: 1, Run: a.Run, Kind: EndDone}}})
		if s := i.pool.servers[a.Server]; !s.takesWork(now) {
			t.Errorf("%s takes no work after the suspect has ended", a.Server)
		}
	}
}

// TestSuspectGetsServerOfFullOwner reserves a server while all have runs, at most one of
// four, so that suspects neither starve nor stop all others.
func TestSuspectGetsServerOfFullOwner(t *testing.T) {
	i, _, now := fewServers(t, 5)
	starts := submitTasks(i, now, 1, 10)
	if again := lose(i, starts[0].Server, now); len(again) != 0 {
		t.Fatalf("started %v", again)
	}
	var reserved []*server
	for _, s := range i.pool.orderedServers {
		if s.reservedFor != nil {
			reserved = append(reserved, s)
		}
	}
	if len(reserved) != 1 {
		t.Fatalf("%d servers are reserved, want 1", len(reserved))
	}
	submitTasks(i, now, 2, 4)
	s := reserved[0]
	var got []StartRun
	runs := s.sortedRuns()
	for n, r := range runs {
		e := PollReply{Server: s.entry.ID, Outcome: PollOK, SentAt: now, ClockMs: 100, BootMs: 5, Ended: []EndedRun{{Seq: int64(n + 1), Run: r.id, Kind: EndDone}}}
		for _, o := range runs[n+1:] {
			e.Running = append(e.Running, ActiveRun{Run: o.id})
		}
		got = append(got, confirmStarts(i, now, i.Step(now, e))...)
	}
	if len(got) != 1 || got[0].Run.Attempt != 2 || got[0].Server != s.entry.ID {
		t.Errorf("started %v, want the suspect alone", got)
	}
}

// TestServerThatWasCutOffHasNotCrashed clears the suspects of a server that answers
// again, or was leaving; a server that is gone or restarted has crashed.
func TestServerThatWasCutOffHasNotCrashed(t *testing.T) {
	cases := []struct {
		name    string
		change  func(i *Instance, e []ServerEntry, lost int, now Time)
		crashed bool
		cleared bool
	}{
		{"answers again", func(i *Instance, e []ServerEntry, lost int, now Time) {
			i.Step(now, PollReply{Server: e[lost].ID, Outcome: PollOK, SentAt: now, ClockMs: 900, BootMs: 5})
		}, false, true},
		{"leaving", func(i *Instance, e []ServerEntry, lost int, now Time) {
			e[lost].State = ServerDraining
			i.Step(now, ServersListed{Servers: e, Revision: 2})
		}, false, true},
		{"still listed", func(i *Instance, e []ServerEntry, lost int, now Time) {}, false, false},
		{"restarted", func(i *Instance, e []ServerEntry, lost int, now Time) {
			e[lost].BootMs = 9
			i.Step(now, ServersListed{Servers: e, Revision: 2})
		}, true, false},
		{"gone", func(i *Instance, e []ServerEntry, lost int, now Time) {
			i.Step(now, ServersListed{Servers: append(e[:lost:lost], e[lost+1:]...), Revision: 2})
		}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i, entries, now := fewServers(t, 9)
			start := submitTasks(i, now, 1, 1)[0]
			i.Step(now, MembershipRenewed{SentAt: now})
			lose(i, start.Server, now)
			if len(i.pool.unsettled) != 1 {
				t.Fatalf("%d suspects, want 1", len(i.pool.unsettled))
			}
			tk := i.pool.unsettled[0]
			lost := int(start.Server[1] - '1')
			for range 5 { // the store answers for a while
				now = now.Add(time.Second)
				i.Step(now, MembershipRenewed{SentAt: now})
			}
			c.change(i, entries, lost, now)
			i.Step(now, Tick{})
			if c.cleared != !tk.suspect() {
				t.Fatalf("losses %v", tk.losses)
			}
			if !c.cleared && tk.losses[0].Crashed != c.crashed {
				t.Errorf("crashed %v, want %v", tk.losses[0].Crashed, c.crashed)
			}
		})
	}
}

// TestMissingEntryAfterOutageIsNoCrash: entries that expired while the store was down
// return a little after it.
func TestMissingEntryAfterOutageIsNoCrash(t *testing.T) {
	i, entries, now := fewServers(t, 3)
	start := submitTasks(i, now, 1, 1)[0]
	lose(i, start.Server, now)
	i.Step(now, MembershipRenewed{SentAt: now})
	i.Step(now, ServersListed{Servers: entries[2:], Revision: 2})
	i.Step(now.Add(time.Second), Tick{})
	for _, tk := range i.pool.unsettled {
		if !tk.unsettled() {
			t.Errorf("losses %v", tk.losses)
		}
	}
	if len(i.pool.unsettled) != 1 {
		t.Errorf("%d unsettled suspects, want 1", len(i.pool.unsettled))
	}
}

// TestOutageIsNoEvidence: a suspect that was alone on one of several servers lost at once
// isn't blamed for it.
func TestOutageIsNoEvidence(t *testing.T) {
	for _, others := range []int{outageServers - 1, outageServers} {
		p := &pool{}
		now := Time(time.Minute)
		s := &server{entry: ServerEntry{ID: "s0"}, runs: map[RunID]*run{{TaskID{"j", 0, 0}, 1}: {isolated: true}}}
		p.noteOutage(s, now)
		for k := range others {
			p.noteOutage(&server{entry: ServerEntry{ID: model.ServerID(fmt.Sprintf("o%d", k))}}, now.Add(time.Duration(k)*outageWindow/5))
		}
		p.noteOutage(&server{entry: ServerEntry{ID: "later"}}, now.Add(2*outageWindow))
		if got, want := p.inOutage(s), others >= outageServers; got != want {
			t.Errorf("%d others lost: outage %v, want %v", others, got, want)
		}
	}
}

// TestSuspicionSurvivesTakeover stores the losses of two tasks before they start again,
// and lets another holder take their job over.
func TestSuspicionSurvivesTakeover(t *testing.T) {
	i, _, now := fewServers(t, 9)
	var stored Record
	// store confirms the writes and starts among the effects, and those that follow. It
	// returns the starts and the number of losses that were stored before the first.
	store := func(effects []Effect) (starts []StartRun, before int) {
		for len(effects) > 0 {
			x := effects[0]
			effects = effects[1:]
			switch x := x.(type) {
			case SaveJob:
				stored = x.Record
				effects = append(effects, i.Step(now, JobSaved{ID: "j1", Revision: stored.Version})...)
				effects = append(effects, i.Step(now, Tick{})...)
			case StartRun:
				if len(starts) == 0 {
					before = len(stored.Progress)
				}
				starts = append(starts, confirmStarts(i, now, []Effect{x})...)
			}
		}
		return starts, before
	}
	spec := JobSpec{
		ID: "j1", Service: "svc", MaxAttempts: 3, ReceivedAt: now, Durable: true,
		Steps: []StepSpec{{Count: 2, Need: model.Resources{CPUMilli: 2000}, Estimate: 100 * time.Millisecond}},
	}
	starts, _ := store(i.Step(now, JobSubmitted{Call: 1, Job: spec}))
	if len(starts) != 2 || starts[0].Server != starts[1].Server {
		t.Fatalf("started %v, want two on one server", starts)
	}
	for range missesUntilUnresponsive {
		i.Step(now, PollReply{Server: starts[0].Server, Outcome: PollUnanswered, SentAt: now})
	}
	i.pool.servers[starts[0].Server].leaseEndMs = 0
	again, before := store(i.Step(now, Tick{}))
	if len(again) != 2 || before != 2 {
		t.Errorf("%d starts, with %d losses stored before, want 2 and 2", len(again), before)
	}

	next, _, now := fewServers(t, 9)
	stored.Holder, stored.Incarnation, stored.Revision = "n9", "01", 1
	next.holder.takeOver(stored, endSilent, now)
	next.holder.handleSaved(JobSaved{ID: "j1", Revision: 2}, now)
	suspects := 0
	for _, d := range next.pool.delayed {
		if d.task.suspect() {
			suspects++
		}
	}
	if suspects != 2 || len(next.pool.unsettled) != 2 {
		t.Errorf("%d suspects after the takeover, %d of them unsettled, want 2", suspects, len(next.pool.unsettled))
	}
}

// TestJobOnServersCutOffIsNotFailed gives up the task of a loose job: its caller is told
// that the job has failed only if the servers are known to have crashed.
func TestJobOnServersCutOffIsNotFailed(t *testing.T) {
	for crashed, want := range []ResultKind{Unknown, Unknown, Failed} {
		tk := &task{job: &job{}, losses: losses(2, 2, crashed)}
		if !tk.hopeless() {
			t.Fatalf("%d crashed: not given up", crashed)
		}
		if got := tk.verdict(); got.Kind != want || got.Reason != ReasonCrashes {
			t.Errorf("%d crashed: %v %s, want %v", crashed, got.Kind, got.Reason, want)
		}
	}
}
