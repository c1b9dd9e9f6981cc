package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

func oneTaskJob(id string, now Time) JobSpec {
	return JobSpec{
		ID: id, Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: now, Objective: Objective{Allowance: time.Minute},
		Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: 1000}, Estimate: time.Second}},
	}
}

// TestEchoWaitsForProcessedInput checks that heartbeats echo nothing that arrived after the
// input processed last: an owner takes the echo for a sign that the callers still wait.
func TestEchoWaitsForProcessedInput(t *testing.T) {
	i, now := oneServer(t, 500)
	owner := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	i.Step(now, LinkUp{Peer: owner})
	input := now
	i.Step(now, InputProcessed{At: input})
	for range 20 {
		now = now.Add(tickInterval)
		i.Step(now, PeerMessage{From: owner, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now, Busy: true}})
		for _, e := range i.Step(now, Tick{}) {
			if s, ok := e.(SendPeer); ok {
				if h, ok := s.Message.(Heartbeat); ok && h.Echo > input.Add(maxInputAge) {
					t.Fatalf("%v after the input processed last, a heartbeat echoes one from %v after it", now.Sub(input), h.Echo.Sub(input))
				}
			}
		}
	}
}

// TestJobSubmittedAgainHereEndsEarlierCall submits a job again at the instance that hasn't
// noticed yet that the first caller has gone. The owner of the first call is told, and
// nothing starts elsewhere before its runs have ended.
func TestJobSubmittedAgainHereEndsEarlierCall(t *testing.T) {
	i, now := oneServer(t, 500)
	owner := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	i.Step(now, LinkUp{Peer: owner})
	i.Step(now, PeerMessage{From: owner, ReceivedAt: now, Message: Heartbeat{
		SentAt: now, Echo: now, Busy: true, Loads: []Load{{Service: "svc", Servers: 1, CapacityMilli: 4000}}, // full
	}})
	spec := oneTaskJob("j1", now)
	c := &call{id: 1, offer: 9, job: spec, owner: owner, tried: []model.Instance{"n2"}}
	i.router.add(c)
	i.router.offers[9], i.router.lastOffer = c, 9
	effects := i.Step(now, JobSubmitted{Call: 2, Job: spec})
	withdrawn := false
	for _, e := range effects {
		if s, ok := e.(SendPeer); ok && s.Message == (Withdraw{Call: 9}) {
			withdrawn = true
		}
	}
	if n := count[StartRun](effects); n > 0 || !withdrawn {
		t.Errorf("%d starts, the earlier offer withdrawn: %v, want no start yet and a withdrawal", n, withdrawn)
	}
}

// TestLeaseOfEarlierOwnerBoundsStarts takes over a server whose earlier owner has just
// renewed its leases: they never shorten, so a task whose job was last known to be wanted
// some time ago must not start under them, nor count as over by the shorter lease.
func TestLeaseOfEarlierOwnerBoundsStarts(t *testing.T) {
	w := newLeaseWorld(t) // the first poll was answered 1 ms ago
	w.hear(400 * time.Millisecond)
	entry := w.i.pool.servers["s1"].entry
	entry.ID = "s0"
	own := Ownership{Server: "s0", Owner: "n1", Incarnation: "01", Revision: 8}
	w.i.pool.dropServer(w.i.pool.servers["s1"], w.now)
	w.i.Step(w.now, ServersListed{Servers: []ServerEntry{entry}, Revision: 9})
	w.i.Step(w.now, OwnersChanged{Owners: []Ownership{own}})
	w.now = w.now.Add(time.Millisecond)
	reply := pollReply(w.now, 700)
	reply.Server, reply.Poll.Fence, reply.ClockMs = "s0", own.Token(), w.serverClock(w.now)
	w.i.Step(w.now, reply)
	granted := w.serverClock(w.now.Add(700 * time.Millisecond)) // by the earlier owner, just before that poll
	if s, ok := w.offer(1000); ok && granted > w.limit() {
		t.Errorf("%v starts under a lease to %d of the earlier owner, want at most %d; its end is taken as %d", s.Run, granted, w.limit(), w.i.pool.servers["s0"].leaseEndMs)
	}
}

// TestGivenUpOwnerIsToldAgainOnNewLink gives an owner up while the link to a third member is
// being replaced: that one must learn it before it is echoed again.
func TestGivenUpOwnerIsToldAgainOnNewLink(t *testing.T) {
	i, now := oneServer(t, 500)
	owner := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	third := Member{Instance: "n3", Incarnation: "01", Domain: "d", Weight: 1}
	i.Step(now, MembersListed{Members: []Member{i.opts.Self, owner, third}})
	i.Step(now, LinkUp{Peer: owner})
	i.Step(now, LinkUp{Peer: third})
	c := &call{id: 1, offer: 9, job: oneTaskJob("j1", now), owner: owner, tried: []model.Instance{"n2"}}
	i.router.add(c)
	i.router.offers[9], i.router.lastOffer = c, 9
	told := false
	note := func(effects []Effect) {
		for _, e := range effects {
			if s, ok := e.(SendPeer); ok && s.To.Instance == "n3" && s.Message == (Withdraw{Owner: owner}) {
				told = true
			}
		}
	}
	for at := Time(0); i.router.calls[1].reofferAt == 0; at++ {
		now = now.Add(tickInterval)
		i.Step(now, PeerMessage{From: third, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now, Busy: true}})
		if at == 5 {
			i.Step(now, LinkDown{Peer: third})
		}
		note(i.Step(now, Tick{}))
	}
	now = now.Add(tickInterval)
	note(i.Step(now, LinkUp{Peer: third}))
	if !told {
		t.Error("the third member is not told on its new link, whose heartbeats are echoed")
	}
}

// TestGivenUpOwnerOffloadsNothingToHome gives an owner up that then offloads a task of the
// same job to the instance with the call.
func TestGivenUpOwnerOffloadsNothingToHome(t *testing.T) {
	i, now := oneServer(t, 500)
	owner := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	i.Step(now, LinkUp{Peer: owner})
	spec := oneTaskJob("j1", now)
	c := &call{id: 1, offer: 9, job: spec, owner: owner, tried: []model.Instance{"n2"}}
	i.router.add(c)
	i.router.offers[9], i.router.lastOffer = c, 9
	for i.router.calls[1].reofferAt == 0 {
		now = now.Add(tickInterval)
		i.Step(now, Tick{})
	}
	spec.Offloaded = &OffloadedTask{Home: i.opts.Self}
	effects := i.Step(now, PeerMessage{From: owner, ReceivedAt: now, Message: Offer{Call: firstOffloadCall + 1, Job: spec, Echo: now.Add(-100 * time.Millisecond)}})
	if n := count[StartRun](effects); n > 0 {
		t.Errorf("%d starts of a task of a job that was taken back from its owner", n)
	}
}

// TestPausedHolderVerifiesItsJobs resumes after a pause in which another instance may have
// taken over the durable jobs. Nothing starts before the store has confirmed them.
func TestPausedHolderVerifiesItsJobs(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Addr: "a", Weight: 1}
	i.Step(now, MembersListed{Members: []Member{i.opts.Self, other}})
	i.Step(now, LinkUp{Peer: other})
	i.Step(now, MembershipRenewed{SentAt: now})
	run := startDurable(t, i, now)
	now = now.Add(4 * time.Second) // longer than the entry in the store lasts
	lapsed := pollReply(now, 500)
	lapsed.ClockMs, lapsed.Ended = 4100, []EndedRun{{Seq: 1, Run: run, Kind: EndStopped}}
	effects := i.Step(now, lapsed)
	for range 5 {
		now = now.Add(tickInterval)
		effects = append(effects, i.Step(now, Tick{})...)
	}
	if n := count[StartRun](effects); n > 0 && count[SaveJob](effects) == 0 {
		t.Errorf("%d starts %v after the last renewal without asking the store", n, now.Sub(i.holder.renewedAt))
	}
}

// TestHolderServedAgainVerifiesItsJobs lets the store serve a holder again that it may not
// list any more. Another instance may have taken over its jobs: no task of them starts
// before the store has confirmed them, which comes after the entry is written again.
func TestHolderServedAgainVerifiesItsJobs(t *testing.T) {
	unlisted := func(i *Instance, now Time) { i.Step(now, MembersListed{}) }
	away := func(i *Instance, now Time) {
		i.holder.renewedAt = now.Add(-holdWithoutRenewal - time.Second)
		i.Step(now, StoreStatus{Up: false})
		i.Step(now, StoreStatus{Up: true})
	}
	cases := []struct {
		name    string
		lose    func(*Instance, Time)
		created bool
	}{
		{"entry written again", unlisted, true},
		{"entry back by itself", unlisted, false},
		{"store back, entry written again", away, true},
		{"store back, entry kept", away, false},
	}
	for _, c := range cases {
		name, relisted := c.name, !c.created
		i, now := oneServer(t, 500)
		i.Step(now, MembersListed{Members: []Member{i.opts.Self}})
		i.Step(now, MembershipRenewed{SentAt: now})
		run := startDurable(t, i, now)
		c.lose(i, now)
		failed := pollReply(now, 500)
		failed.Ended = []EndedRun{{Seq: 1, Run: run, Kind: EndFailed}}
		effects := i.Step(now, failed)
		progress := 0
		for range 5 {
			now = now.Add(tickInterval)
			step := i.Step(now, Tick{})
			effects = append(effects, step...)
			if progress += count[SaveJob](step); count[SaveJob](step) > 0 {
				effects = append(effects, i.Step(now, JobSaved{ID: "j1", Revision: 10})...)
			}
		}
		if n := count[StartRun](effects); n > 0 || progress != 1 {
			t.Errorf("%s: %d starts and %d writes while the instance is not listed, want 0 and 1", name, n, progress)
		}
		if relisted {
			i.Step(now, MembersListed{Members: []Member{i.opts.Self}})
		}
		effects = i.Step(now, MembershipRenewed{SentAt: now, Created: !relisted})
		if count[StartRun](effects) != 0 || count[SaveJob](effects) != 1 {
			t.Errorf("%s: %d starts and %d writes once the entry is back, want 0 and 1", name, count[StartRun](effects), count[SaveJob](effects))
		}
		if n := count[StartRun](i.Step(now, JobSaved{ID: "j1", Revision: 11})); n != 1 {
			t.Errorf("%s: %d starts once the store has confirmed the job, want 1", name, n)
		}
	}
}
