package fleet

import (
	"fmt"
	"testing"
	"time"
)

// pendingWorld is an instance that is asked for the number of waiting jobs, most of which
// another instance holds.
type pendingWorld struct {
	t      *testing.T
	i      *Instance
	now    Time
	holder Member
	stored []Record // open jobs in the store
	reads  int      // of these
}

// newPendingWorld returns a world in which the other instance holds and reports eight
// waiting jobs, and three that have started.
func newPendingWorld(t *testing.T) *pendingWorld {
	t.Helper()
	w := &pendingWorld{t: t, holder: Member{Instance: "n2", Incarnation: "01", Domain: "d", Addr: "b", Weight: 1}}
	w.i, w.now = oneServer(t, 500)
	for n := range 11 {
		spec := oneTaskJob(fmt.Sprintf("h%d", n), w.now)
		spec.Route, spec.Durable = "r", true
		w.stored = append(w.stored, Record{
			ID: spec.ID, State: StateOpen, Holder: "n2", Incarnation: "01", Version: 1, Term: 1, Job: spec, Revision: uint64(20 + n), Started: n >= 8,
		})
	}
	w.list(w.holder)
	w.step(MembershipRenewed{SentAt: w.now})
	w.step(LinkUp{Peer: w.holder})
	w.wait(100*time.Millisecond, w.holder, 8)
	return w
}

func (w *pendingWorld) step(e Event) []Effect {
	out := w.i.Step(w.now, e)
	for _, x := range out {
		if _, ok := x.(ScanJobs); ok {
			w.reads++
			w.now = w.now.Add(4 * time.Millisecond)
			out = append(out, w.i.Step(w.now, JobsScanned{OK: true, Records: w.stored, Members: []Member{w.i.opts.Self}})...)
		}
	}
	return out
}

// list lists members in the store, besides the instance that is asked.
func (w *pendingWorld) list(others ...Member) {
	w.step(MembersListed{Members: append([]Member{w.i.opts.Self}, others...)})
}

// wait lets time pass, in which a holder reports a number of waiting jobs.
func (w *pendingWorld) wait(d time.Duration, from Member, pending int) {
	w.t.Helper()
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(tickInterval) {
		if from.Instance != "" {
			hb := Heartbeat{SentAt: w.now, Echo: w.now, Busy: true, StoreUp: true, DurableInUse: true, Pending: []RouteCount{{"r", pending}}}
			w.step(PeerMessage{From: from, ReceivedAt: w.now, Message: hb})
		}
		w.step(MembershipRenewed{SentAt: w.now})
		w.step(Tick{})
	}
}

// pending asks for the count, as often as to tell whether each request reads the store.
func (w *pendingWorld) pending() int {
	w.t.Helper()
	before := w.reads
	var r Result
	for range 5 {
		r = lookFor[Answer](w.t, w.step(PendingCountRequested{Call: 1, Route: "r"})).Result
		if r.Kind != Counted {
			w.t.Errorf("answered %v", r)
		}
	}
	if n := w.reads - before; n > 1 {
		w.t.Errorf("%d reads for five requests", n)
	}
	return r.Count
}

// TestPendingCountOfLostHolder guards against a count that leaves out the jobs of a holder
// that has ended, is silent, is turned away or leaves, until another one has taken them over.
func TestPendingCountOfLostHolder(t *testing.T) {
	nobody := Member{}
	next := Member{Instance: "n2", Incarnation: "02", Domain: "d", Addr: "b", Weight: 1}
	third := Member{Instance: "n3", Incarnation: "01", Domain: "d", Addr: "c", Weight: 1}
	cases := []struct {
		name  string
		lose  func(w *pendingWorld)
		after time.Duration
	}{
		{"reports", func(*pendingWorld) {}, 0},
		{"killed, at once", func(w *pendingWorld) { w.step(LinkDown{Peer: w.holder, Refused: true}) }, 0},
		{"killed", func(w *pendingWorld) { w.step(LinkDown{Peer: w.holder, Refused: true}) }, time.Second},
		{"paused", func(*pendingWorld) {}, 3500 * time.Millisecond},
		{"gone from the store", func(w *pendingWorld) { w.list() }, 1500 * time.Millisecond},
		{"gone and forgotten", func(w *pendingWorld) {
			w.step(LinkDown{Peer: w.holder, Refused: true})
			w.list()
		}, deadRetention + 5*time.Second},
		{"started again", func(w *pendingWorld) {
			w.step(LinkDown{Peer: w.holder, Refused: true})
			w.list(next)
			w.step(LinkUp{Peer: next})
			w.wait(time.Second, next, 0)
		}, 0},
		{"never heard", func(w *pendingWorld) {
			for n := range w.stored {
				w.stored[n].Holder = "n3"
			}
			w.list(w.holder, third)
			w.wait(time.Second, w.holder, 0)
		}, 0},
		{"leaving, jobs released", func(w *pendingWorld) {
			w.step(PeerMessage{From: w.holder, ReceivedAt: w.now, Message: Heartbeat{SentAt: w.now, Echo: w.now, Leaving: true, DurableInUse: true}})
			for n := range w.stored {
				w.stored[n].Holder, w.stored[n].Incarnation = "", ""
			}
		}, 0},
		{"the asked instance leaves, too", func(w *pendingWorld) {
			w.step(StopRequested{Deadline: w.now.Add(5 * time.Second)})
			for n := range w.stored {
				w.stored[n].Holder, w.stored[n].Incarnation = "", ""
			}
			w.wait(time.Second, w.holder, 0)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newPendingWorld(t)
			w.i.owners.known["s1"] = Ownership{Server: "s1", Owner: "n9", Incarnation: "01", Revision: 8} // so that it takes nothing over
			c.lose(w)
			w.wait(c.after, nobody, 0)
			if n := w.pending(); n != 8 {
				t.Errorf("%d jobs wait, want 8", n)
			}
		})
	}
}

// TestPendingCountWhileStoreIsDown guards against a refusal, or a count that leaves out jobs,
// while neither their holder nor the store answers.
func TestPendingCountWhileStoreIsDown(t *testing.T) {
	w := newPendingWorld(t)
	w.step(StoreStatus{Up: false})
	w.wait(3*time.Second, Member{}, 0)
	if n := w.pending(); n != 8 || w.reads > 1 {
		t.Errorf("%d jobs wait, want 8; %d reads of a store that is down", n, w.reads)
	}
	w.step(StoreStatus{Up: true})
	effects := w.i.Step(w.now, PendingCountRequested{Call: 1, Route: "r"})
	if count[ScanJobs](effects) != 1 || count[Answer](effects) != 0 {
		t.Fatalf("effects %v, want a read", effects)
	}
	w.now = w.now.Add(maxPendingWait + time.Millisecond)
	if r := lookFor[Answer](t, w.i.Step(w.now, Tick{})).Result; r.Kind != Counted || r.Count != 8 {
		t.Errorf("answered %v %d while the store hangs, want 8", r.Kind, r.Count)
	}
}

// TestPendingCountOfNewInstance guards against an instance that counts no jobs because it
// has read none yet.
func TestPendingCountOfNewInstance(t *testing.T) {
	self := Member{Instance: "n1", Incarnation: "01", Domain: "d", Weight: 1}
	now := Time(time.Second)
	i := NewInstance(Options{Self: self, Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	if r := lookFor[Answer](t, i.Step(now, PendingCountRequested{Call: 1, Route: "r"})).Result; r.Kind != NotRun || r.RetryAfter == 0 {
		t.Errorf("answered %v, want a refusal while nothing is known", r)
	}
}

// TestJobsTakenOverCountOnce guards against jobs that count twice once this instance has
// taken them over, and against started ones that count as waiting again.
func TestJobsTakenOverCountOnce(t *testing.T) {
	w := newPendingWorld(t)
	w.i.opts.Self.Weight = 1
	w.step(LinkDown{Peer: w.holder, Refused: true})
	w.list()
	saved := map[string]bool{}
	for end := w.now.Add(5 * time.Second); w.now < end && len(saved) < len(w.stored); w.now = w.now.Add(tickInterval) {
		w.step(MembershipRenewed{SentAt: w.now})
		for _, e := range w.step(Tick{}) {
			if x, ok := e.(SaveJob); ok && x.Record.Holder == "n1" {
				saved[x.Record.ID] = true
			}
		}
		if n := w.pending(); n != 8 {
			t.Fatalf("%d jobs wait after %d were taken over, want 8", n, len(saved))
		}
	}
	if len(saved) != len(w.stored) {
		t.Fatalf("%d jobs were taken over, want %d", len(saved), len(w.stored))
	}
	for n := range w.stored {
		r := &w.stored[n]
		r.Holder, r.Incarnation, r.Revision = "n1", "01", r.Revision+100
		w.step(JobSaved{ID: r.ID, Revision: r.Revision})
		if k := w.pending(); k != 8 {
			t.Errorf("%d jobs wait, want 8", k)
		}
	}
}

// TestStartedJobIsStoredAsStarted guards against jobs that count as waiting at their next
// holder although they have run.
func TestStartedJobIsStoredAsStarted(t *testing.T) {
	i, now := oneServer(t, 500)
	i.Step(now, MembersListed{Members: []Member{i.opts.Self}})
	startDurable(t, i, now)
	for end := now.Add(startSaveDelay + 2*tickInterval); now < end; now = now.Add(tickInterval) {
		i.Step(now, MembershipRenewed{SentAt: now})
		for _, e := range i.Step(now, Tick{}) {
			if x, ok := e.(SaveJob); ok && x.Record.Started {
				return
			}
		}
	}
	t.Error("the start isn't stored")
}

// TestRefusedStartLeavesJobWaiting guards against jobs that no longer count although servers
// have refused all their starts.
func TestRefusedStartLeavesJobWaiting(t *testing.T) {
	i, now := oneServer(t, 500)
	i.Step(now, MembersListed{Members: []Member{i.opts.Self}})
	i.Step(now, MembershipRenewed{SentAt: now})
	spec := oneTaskJob("j1", now)
	spec.Route, spec.Durable = "r", true
	i.Step(now, JobSubmitted{Call: 1, Job: spec})
	start := lookFor[StartRun](t, i.Step(now, JobSaved{ID: "j1", Revision: 9}))
	i.Step(now, StartReply{Server: "s1", Run: start.Run, Outcome: StartRejected, ClockMs: 100, SentAt: now})
	if n := i.holder.pendingByRoute(now)["r"]; n != 1 {
		t.Errorf("%d jobs wait, want 1", n)
	}
}
