package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// evacuationNews tells an instance of the evacuated domains, as the store if peer is unset.
type evacuationNews struct {
	peer     bool
	revision uint64
	domains  []model.Domain
}

func (n evacuationNews) apply(i *Instance, now Time) []Effect {
	if n.peer {
		return i.Step(now, PeerMessage{From: neighbor, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now, StoreUp: true, Loads: neighborLoads, Evacuated: n.domains, EvacuationRevision: n.revision}})
	}
	return i.Step(now, EvacuationsChanged{Domains: n.domains, Revision: n.revision})
}

// neighbor owns server s2 in domain e, which is busy.
var (
	neighbor      = Member{Instance: "n2", Incarnation: "01", Domain: "e", Weight: 0.5}
	neighborLoads = []Load{{Service: "svc", Servers: 1, CapacityMilli: 4000, StagedTasks: targetStagedTasks}}
)

// twoDomains returns an instance that owns server s1 in domain d, and reaches neighbor.
func twoDomains(t *testing.T) (*Instance, Time) {
	i, now := oneServer(t, 500)
	entry := i.pool.servers["s1"].entry
	entry.ID, entry.Domain, entry.Labels = "s2", "e", []string{"big"}
	i.Step(now, ServersChanged{ServerChanges{ToRevision: 1, Servers: []ServerEntry{entry}}})
	i.Step(now, OwnersChanged{Owners: []Ownership{{Server: "s2", Owner: neighbor.Instance, Incarnation: neighbor.Incarnation, Revision: 8}}})
	i.Step(now, LinkUp{Peer: neighbor})
	evacuationNews{peer: true}.apply(i, now)
	return i, now
}

// TestNoStartInEvacuatedDomain tells an instance of evacuations in several orders, and then
// submits a job that only its server in domain d fits. Nothing starts there while the
// newest known set has the domain, and the caller is answered at once.
func TestNoStartInEvacuatedDomain(t *testing.T) {
	type news = []evacuationNews
	d, e, both := []model.Domain{"d"}, []model.Domain{"e"}, []model.Domain{"e", "d"}
	for name, c := range map[string]struct {
		news   news
		starts bool
	}{
		"told by the store":                    {news{{false, 10, d}}, false},
		"another domain":                       {news{{false, 10, e}}, true},
		"removed":                              {news{{false, 10, d}, {false, 11, nil}}, true},
		"evacuated again":                      {news{{false, 10, d}, {false, 20, nil}, {false, 30, d}}, false},
		"old removal after that":               {news{{false, 10, d}, {false, 20, nil}, {false, 30, d}, {true, 20, nil}}, false},
		"two, one of them removed":             {news{{false, 10, both}, {false, 20, e}}, true},
		"two, the other removed":               {news{{false, 10, both}, {false, 20, d}}, false},
		"new instance told by a peer":          {news{{true, 10, d}}, false},
		"newer set of a peer":                  {news{{false, 10, nil}, {true, 20, d}}, false},
		"removal missed, told by a peer":       {news{{false, 10, d}, {true, 20, nil}}, true},
		"removal missed, in a list later":      {news{{false, 10, d}, {false, 90, nil}}, true},
		"older set of a peer":                  {news{{false, 20, nil}, {true, 10, d}}, true},
		"peer that never heard of evacuations": {news{{false, 10, d}, {true, 0, nil}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			i, now := oneServer(t, 500)
			i.Step(now, LinkUp{Peer: neighbor})
			i.Step(now, StoreStatus{Up: !c.news[len(c.news)-1].peer})
			for _, n := range c.news {
				n.apply(i, now)
			}
			out := i.Step(now, JobSubmitted{Call: 1, Job: oneTaskJob("j1", now)})
			if n := count[StartRun](out); n == 1 != c.starts {
				t.Fatalf("%d starts", n)
			}
			if c.starts {
				return
			}
			if r := lookFor[Answer](t, out).Result; r.Kind != NotRun || r.Reason != ReasonEvacuated || r.RetryAfter <= 0 {
				t.Errorf("answered %+v", r)
			}
		})
	}
}

// TestJobThatFitsNowhereIsTooLarge checks that an evacuation doesn't make a job look as if
// it fitted later.
func TestJobThatFitsNowhereIsTooLarge(t *testing.T) {
	i, now := twoDomains(t)
	evacuationNews{false, 10, []model.Domain{"d", "e"}}.apply(i, now)
	spec := oneTaskJob("j1", now)
	spec.Steps[0].Need.CPUMilli = 9000
	if r := lookFor[Answer](t, i.Step(now, JobSubmitted{Call: 1, Job: spec})).Result; r.Reason != ReasonTooLarge {
		t.Errorf("answered %+v", r)
	}
}

// TestWorkLeavesEvacuatedDomain evacuates the domain of an owner that runs a job and has
// another one queued and a task of its neighbor staged. The run goes on, the queued job is
// offered to the neighbor, which learns of the evacuation first, and the task is returned.
// Once the evacuation has ended, tasks start again.
func TestWorkLeavesEvacuatedDomain(t *testing.T) {
	i, now := twoDomains(t)
	run := startOne(t, i, now)
	queued := oneTaskJob("j2", now)
	queued.Steps[0].Need.CPUMilli = 2000
	staged := queued
	staged.ID, staged.Offloaded = "j3", &OffloadedTask{Home: neighbor}
	offer := lookForMessage[Offer](t, i.Step(now, JobSubmitted{Call: 2, Job: queued}))
	i.Step(now, PeerMessage{From: neighbor, ReceivedAt: now, Message: Outcome{Call: offer.Call, Declined: true}})
	if i.QueuedJobs() != 1 {
		t.Fatalf("%d queued jobs", i.QueuedJobs())
	}
	i.Step(now, PeerMessage{From: neighbor, ReceivedAt: now, Message: Offer{Call: 9, Job: staged, Echo: now}})

	out := evacuationNews{false, 10, []model.Domain{"d"}}.apply(i, now)
	var order []string
	for _, e := range out {
		if s, ok := e.(SendPeer); ok {
			switch m := s.Message.(type) {
			case Heartbeat:
				if slices.Equal(m.Evacuated, []model.Domain{"d"}) && m.EvacuationRevision == 10 && m.Loads[0].Servers == 0 {
					order = append(order, "set")
				}
			case Offer:
				order = append(order, m.Job.ID)
			}
		}
	}
	if want := []string{"set", "j2"}; !slices.Equal(order[:min(2, len(order))], want) {
		t.Errorf("the neighbor got %v first, want %v", order, want)
	}
	if n := count[StartRun](out) + count[StopRun](out); n != 0 {
		t.Errorf("%d starts and stops", n)
	}
	now = now.Add(2 * stagedTimeout)
	if o := lookForMessage[Outcome](t, i.Step(now, Tick{})); o.Call != 9 || !o.Declined {
		t.Errorf("the staged task has %+v", o)
	}
	poll := lookFor[Poll](t, i.Step(now, pollReply(now, 500, ActiveRun{Run: run, Percent: 10})))
	if poll.LeaseEndMs == 0 {
		t.Error("the lease of the run isn't renewed")
	}
	evacuationNews{false, 20, nil}.apply(i, now)
	small := oneTaskJob("j4", now)
	if n := count[StartRun](i.Step(now, JobSubmitted{Call: 4, Job: small})); n != 1 {
		t.Errorf("%d starts after the evacuation", n)
	}
}

// lookForMessage returns the message of a type that is sent to a peer.
func lookForMessage[M Message](t *testing.T, effects []Effect) (found M) {
	t.Helper()
	for _, e := range effects {
		if s, ok := e.(SendPeer); ok {
			if m, ok := s.Message.(M); ok {
				return m
			}
		}
	}
	t.Fatalf("no message of type %T", found)
	return found
}

// TestOfferToEvacuatedOwner offers jobs and tasks to an owner whose domain is evacuated, as
// a peer does that hasn't heard of it. They must neither start nor wait there.
func TestOfferToEvacuatedOwner(t *testing.T) {
	declined, rejected := Outcome{Call: 9, Declined: true}, Outcome{Call: 9, Result: evacuatedResult}
	for name, c := range map[string]struct {
		domain model.Domain
		part   *OffloadedTask
		label  string // that only the server of the neighbor has
		want   Outcome
	}{
		"job":                    {"d", nil, "", declined},
		"task":                   {"d", &OffloadedTask{Home: neighbor}, "", declined},
		"job for another domain": {"e", nil, "big", rejected},
		"task for that":          {"e", &OffloadedTask{Home: neighbor}, "big", declined},
	} {
		i, now := twoDomains(t)
		evacuationNews{false, 10, []model.Domain{c.domain}}.apply(i, now)
		spec := oneTaskJob("j1", now)
		spec.Offloaded, spec.Steps[0].Label = c.part, c.label
		out := i.Step(now, PeerMessage{From: neighbor, ReceivedAt: now, Message: Offer{Call: 9, Job: spec, AllowQueue: true, Echo: now}})
		o := lookForMessage[Outcome](t, out)
		o.Load, o.OffloadedMilli = Load{}, 0
		if o != c.want || count[StartRun](out) != 0 || i.QueuedJobs() != 0 {
			t.Errorf("%s: %+v, %d queued", name, o, i.QueuedJobs())
		}
	}
}

// TestQueuedJobOfEvacuatedDomainsIsRejected evacuates all domains while a job is queued. Its
// caller must not wait until the deadline.
func TestQueuedJobOfEvacuatedDomainsIsRejected(t *testing.T) {
	i, now := oneServer(t, 500)
	startOne(t, i, now)
	queued := oneTaskJob("j2", now)
	queued.Steps[0].Need.CPUMilli = 2000
	i.Step(now, JobSubmitted{Call: 2, Job: queued})
	out := evacuationNews{false, 10, []model.Domain{"d"}}.apply(i, now)
	if a := lookFor[Answer](t, out); a.Call != 2 || a.Result != evacuatedResult {
		t.Errorf("answered %+v", a)
	}
}

// TestDurableJobLeavesEvacuatedDomain stores a durable job whose holder's domain is
// evacuated meanwhile. It must not start there, and is released for another holder.
func TestDurableJobLeavesEvacuatedDomain(t *testing.T) {
	i, now := twoDomains(t)
	i.members.peers["n2"].setLoad(Load{Service: "svc"})
	spec := oneTaskJob("j1", now)
	spec.Durable = true
	saved := lookFor[SaveJob](t, i.Step(now, JobSubmitted{Call: 1, Job: spec}))
	evacuationNews{false, 10, []model.Domain{"d"}}.apply(i, now)
	out := i.Step(now, JobSaved{ID: saved.Record.ID, Revision: 9})
	out = append(out, i.Step(now.Add(time.Millisecond), Tick{})...)
	if n := count[StartRun](out); n != 0 {
		t.Errorf("%d starts", n)
	}
	if r := lookFor[SaveJob](t, out).Record; r.Holder != "" {
		t.Errorf("held by %q", r.Holder)
	}
}

// TestHeartbeatTellsEvacuationsOnceSeen checks that fleets without evacuations exchange
// nothing about them, and that a member which holds an old set gets the newer one.
func TestHeartbeatTellsEvacuationsOnceSeen(t *testing.T) {
	i, now := oneServer(t, 500)
	i.Step(now, LinkUp{Peer: neighbor})
	evacuationNews{revision: 100}.apply(i, now)
	heartbeat := func() Heartbeat {
		now = now.Add(time.Second)
		evacuationNews{peer: true}.apply(i, now)
		return lookForMessage[Heartbeat](t, i.Step(now, Tick{}))
	}
	if h := heartbeat(); h.EvacuationRevision != 0 || h.Evacuated != nil {
		t.Errorf("a heartbeat tells %v as of %d, though there was no evacuation", h.Evacuated, h.EvacuationRevision)
	}
	evacuationNews{true, 50, []model.Domain{"d"}}.apply(i, now)
	if h := heartbeat(); h.EvacuationRevision != 100 || len(h.Evacuated) != 0 {
		t.Errorf("a heartbeat tells %v as of %d, want none as of 100", h.Evacuated, h.EvacuationRevision)
	}
}

// TestJobThatWaitsForRackIsRejected evacuates all domains while a job waits for room near its
// data by choice. Its caller must be answered at once, like that of a job that waits for
// capacity.
func TestJobThatWaitsForRackIsRejected(t *testing.T) {
	w := newRackWorld(t, 2, "r1", "r2")
	w.fill("r1", 20*ms)
	if got := w.submit(short("r1"), 60*ms); len(got) != 0 {
		t.Fatalf("starts at %v", got)
	}
	w.step(EvacuationsChanged{Domains: []model.Domain{"d"}, Revision: 10})
	if a := lookFor[Answer](t, w.effects); a.Call != w.calls || a.Result != evacuatedResult {
		t.Errorf("answered %+v", a)
	}
}

// TestDeclinedTaskOfEvacuatedDomainIsRejected evacuates the only domain that a job fits while
// its task is offered to an owner there. After the decline, it must not be offered to one
// owner after the other until its deadline.
func TestDeclinedTaskOfEvacuatedDomainIsRejected(t *testing.T) {
	i, now := twoDomains(t)
	third := Member{Instance: "n3", Incarnation: "01", Domain: "d", Weight: 0.5}
	room := []Load{{Service: "svc", Servers: 1, CapacityMilli: 4000, FreeMilli: 4000}}
	i.Step(now, LinkUp{Peer: third})
	i.Step(now, PeerMessage{From: neighbor, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now, Loads: []Load{{Service: "svc", Servers: 1, CapacityMilli: 9000, FreeMilli: 9000}}}})
	i.Step(now, PeerMessage{From: third, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now, Loads: room}})
	spec := oneTaskJob("j1", now)
	spec.Steps[0].Label = "big"
	i.pool.offer(i.opts.Self, 1<<40, spec, true, now)
	if len(i.pool.offloadsTo(neighbor)) != 1 {
		t.Fatalf("offloads %+v", i.pool.offloads)
	}
	var call CallID
	for c := range i.pool.offloads {
		call = c
	}
	evacuationNews{false, 10, []model.Domain{"e"}}.apply(i, now)
	i.Step(now, PeerMessage{From: neighbor, ReceivedAt: now, Message: Outcome{Call: call, Declined: true}})
	if len(i.pool.offloads) != 0 {
		t.Errorf("offered again: %+v", i.pool.offloads)
	}
	i.Step(now.Add(ms), Tick{})
	if i.QueuedJobs() != 0 {
		t.Error("still queued")
	}
}

// TestTaskOfOthersLeavesEvacuatedDomain rejects the start of a task of another owner while
// the domain is evacuated. Its job would wait here until the deadline, as nothing can start
// the task and only its own owner can place it elsewhere.
func TestTaskOfOthersLeavesEvacuatedDomain(t *testing.T) {
	i, now := twoDomains(t)
	spec := oneTaskJob("j1", now)
	spec.Offloaded = &OffloadedTask{Home: neighbor}
	out := i.Step(now, PeerMessage{From: neighbor, ReceivedAt: now, Message: Offer{Call: 9, Job: spec, Echo: now}})
	start := lookFor[StartRun](t, out)
	evacuationNews{false, 10, []model.Domain{"d"}}.apply(i, now)
	i.Step(now, StartReply{Server: "s1", Run: start.Run, Outcome: StartRejected, SentAt: now})
	o := lookForMessage[Outcome](t, i.Step(now.Add(ms), Tick{}))
	if o.Call != 9 || !o.Declined || o.Result.Kind != Unknown || o.Attempt != start.Run.Attempt {
		t.Errorf("the task has %+v", o)
	}
}
