package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// rackWorld is an owner of servers with room for two tasks each.
type rackWorld struct {
	t       *testing.T
	i       *Instance
	now     Time
	entries []ServerEntry
	calls   CallID
	effects []Effect
	acked   map[model.ServerID]int64
}

// newRackWorld returns an owner with one server for each rack named.
func newRackWorld(t *testing.T, farFactor float64, racks ...string) *rackWorld {
	t.Helper()
	w := &rackWorld{t: t, now: Time(time.Second), acked: map[model.ServerID]int64{}}
	self := Member{Instance: "n1", Incarnation: "01", Domain: "d", Weight: 1}
	w.i = NewInstance(Options{Self: self, Lease: time.Second, StopTimeout: 50 * time.Millisecond, FarFactor: farFactor}, w.now)
	var owned []Ownership
	for k, rack := range racks {
		id := model.ServerID(fmt.Sprintf("s%d", k+1))
		w.entries = append(w.entries, ServerEntry{ID: id, Service: "svc", Addr: "a", Domain: "d", State: ServerReady, BootMs: 5, Labels: []string{"k", rack}, Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4000}})
		owned = append(owned, Ownership{Server: id, Owner: "n1", Incarnation: "01", Revision: uint64(k + 1)})
	}
	w.step(StoreStatus{Up: true})
	w.step(ServersListed{Servers: w.entries, Revision: 1})
	w.step(OwnersChanged{Owners: owned})
	for _, e := range w.entries {
		w.step(PollReply{Server: e.ID, Outcome: PollOK, Poll: Poll{Fence: w.i.pool.servers[e.ID].ownership.Token()}, SentAt: w.now, ClockMs: 100, BootMs: 5})
	}
	return w
}

// step passes an event and returns the servers of the starts that follow.
func (w *rackWorld) step(e Event) (started []model.ServerID) {
	w.effects = w.i.Step(w.now, e)
	for _, s := range confirmStarts(w.i, w.now, w.effects) {
		started = append(started, s.Server)
	}
	return started
}

// submit submits a job of the given step and returns where its tasks start.
func (w *rackWorld) submit(st StepSpec, allowance time.Duration) []model.ServerID {
	w.calls++
	st.Need = model.Resources{CPUMilli: 2000}
	return w.step(JobSubmitted{Call: w.calls, Job: JobSpec{
		ID: fmt.Sprintf("j%d", w.calls), Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: w.now,
		Objective: Objective{Allowance: allowance, Stretch: 1.6}, Steps: []StepSpec{st},
	}})
}

// fill occupies the servers of a rack with runs that are expected to take d.
func (w *rackWorld) fill(rack string, d time.Duration) {
	w.t.Helper()
	n := 0
	for _, e := range w.entries {
		if slices.Contains(e.Labels, rack) {
			n += 2
		}
	}
	for range n {
		if got := w.submit(StepSpec{Count: 1, Estimate: d, Rack: rack}, time.Minute); len(got) != 1 || w.rack(got[0]) != rack {
			w.t.Fatalf("a run that fills %s starts at %v", rack, got)
		}
	}
}

func (w *rackWorld) rack(id model.ServerID) string { return w.i.pool.servers[id].entry.rackName() }

// end ends the first run of a server and returns the starts that follow.
func (w *rackWorld) end(id model.ServerID) []model.ServerID { return w.endAs(id, EndDone) }

func (w *rackWorld) endAs(id model.ServerID, kind EndKind) []model.ServerID {
	s := w.i.pool.servers[id]
	w.acked[id]++
	var running []ActiveRun
	for _, r := range s.sortedRuns()[1:] {
		running = append(running, ActiveRun{Run: r.id})
	}
	return w.step(PollReply{
		Server: id, Outcome: PollOK, Poll: Poll{Wait: pollWait, Fence: s.ownership.Token(), AckedSeq: w.acked[id] - 1}, SentAt: w.now.Add(-ms), ClockMs: 100, BootMs: 5,
		Running: running, Ended: []EndedRun{{Seq: w.acked[id], Run: s.sortedRuns()[0].id, Kind: kind}},
	})
}

// pass lets time pass with ticks, and returns the first starts.
func (w *rackWorld) pass(d time.Duration) []model.ServerID {
	for range d / (5 * ms) {
		w.now = w.now.Add(5 * ms)
		if got := w.step(Tick{}); len(got) > 0 {
			return got
		}
	}
	return nil
}

func short(rack string) StepSpec { return StepSpec{Count: 1, Estimate: 60 * ms, Rack: rack} }

// TestBusyRack guards against far runs where room comes soon, and against waits where it
// doesn't.
func TestBusyRack(t *testing.T) {
	cases := []struct {
		name  string
		fills time.Duration
		near  bool
	}{
		{"ends due soon", 20 * ms, true},
		{"ends due late", 500 * ms, false},
	}
	for _, c := range cases {
		w := newRackWorld(t, 2, "r1", "r2")
		w.fill("r1", c.fills)
		got := w.submit(short("r1"), 60*ms)
		logged := entries(w.effects, LogPlaceWait)
		if len(logged) != 1 || logged[0].Near == 0 && c.near || logged[0].Far == 0 {
			t.Errorf("%s: logged %+v", c.name, logged)
		}
		if c.near {
			w.now = w.now.Add(15 * ms)
			got = append(got, w.end("s1")...)
		}
		if len(got) != 1 || (w.rack(got[0]) == "r1") != c.near {
			t.Errorf("%s: starts at %v", c.name, got)
		}
	}
}

// TestWaitEnds guards against a task that waits although the room near its data doesn't
// come, and against one that is rejected for its wait.
func TestWaitEnds(t *testing.T) {
	w := newRackWorld(t, 2, "r1", "r2")
	w.fill("r1", 20*ms)
	if got := w.submit(short("r1"), 60*ms); len(got) != 0 {
		t.Fatalf("starts at %v", got)
	}
	if got := w.pass(150 * ms); len(got) != 1 || w.rack(got[0]) != "r2" {
		t.Errorf("starts at %v, want a server of r2", got)
	}
}

// TestLongTaskWaits guards against a far run that is late from its start while room near
// the data leaves the job on time.
func TestLongTaskWaits(t *testing.T) {
	w := newRackWorld(t, 2, "r1", "r2")
	w.fill("r1", 300*ms)
	if got := w.submit(StepSpec{Count: 1, Estimate: 900 * ms, Rack: "r1"}, 60*ms); len(got) != 0 {
		t.Errorf("starts at %v, late from there on", got)
	}
}

// TestHotRack guards against a queue behind a rack that most jobs want: jobs for other
// racks or none start at once, and so do those for which the rack has no room soon.
func TestHotRack(t *testing.T) {
	w := newRackWorld(t, 2, "r1", "r2", "r2", "r2", "r2", "r2")
	w.fill("r1", 30*ms)
	far, waits := 0, 0
	for range 5 {
		if got := w.submit(short("r1"), 60*ms); len(got) == 1 && w.rack(got[0]) == "r2" {
			far++
		} else if len(got) == 0 {
			waits++
		}
	}
	if far != 3 || waits != 2 {
		t.Errorf("%d run far and %d wait, want 3 and the 2 that the rack has room for", far, waits)
	}
	for _, rack := range []string{"", "r2"} {
		if got := w.submit(short(rack), 60*ms); len(got) != 1 || w.rack(got[0]) != "r2" {
			t.Errorf("a job for rack %q starts at %v", rack, got)
		}
	}
	if l := w.i.pool.load("svc", w.now); l.QueuedTasks != 0 || w.i.pool.onTimeJobQueued(w.now) {
		t.Errorf("tasks that wait by choice count as waiting for capacity: %+v", l)
	}
}

// TestUnusableRack guards against a wait for servers that take no work.
func TestUnusableRack(t *testing.T) {
	cases := map[string]func(w *rackWorld, s *server){
		"quarantined": func(w *rackWorld, s *server) { s.health.stalled(w.now) },
		"leaving":     func(_ *rackWorld, s *server) { s.leaving.announced = true },
		"silent":      func(_ *rackWorld, s *server) { s.misses = 1 },
		"not listed":  func(_ *rackWorld, s *server) { s.listed = false },
	}
	for name, change := range cases {
		w := newRackWorld(t, 2, "r1", "r2")
		w.fill("r1", 20*ms)
		change(w, w.i.pool.servers["s1"])
		if got := w.submit(short("r1"), 60*ms); len(got) != 1 || w.rack(got[0]) != "r2" {
			t.Errorf("%s: starts at %v", name, got)
		}
	}
	w := newRackWorld(t, 2, "r1", "r2")
	if got := w.submit(short("r9"), 60*ms); len(got) != 1 {
		t.Errorf("unknown rack: starts at %v", got)
	}
}

// TestNoFarFactor guards against other decisions than before where the settings name no
// far factor or jobs name no rack.
func TestNoFarFactor(t *testing.T) {
	play := func(farFactor float64, rack string) (out []model.ServerID) {
		w := newRackWorld(t, farFactor, "r1", "r1", "r2", "r3")
		for k := range 12 {
			out = append(out, w.submit(StepSpec{Count: 1 + k%2, Estimate: time.Duration(40+20*k) * ms, Rack: rack}, 60*ms)...)
			w.now = w.now.Add(7 * ms)
			for _, e := range w.entries {
				if k%4 == 3 && len(w.i.pool.servers[e.ID].runs) > 0 {
					out = append(out, w.end(e.ID)...)
				}
			}
		}
		return out
	}
	for _, c := range []struct {
		farFactor float64
		rack      string
	}{{1, "r1"}, {1, ""}, {2, ""}} {
		if got, want := play(c.farFactor, c.rack), play(0, c.rack); len(want) == 0 || !slices.Equal(got, want) {
			t.Errorf("far factor %g, rack %q: starts at %v, without at %v", c.farFactor, c.rack, got, want)
		}
	}
}

// TestGroup guards against a group that is torn apart where a rack has room for all of
// it, and against one that waits for a rack that can't hold it.
func TestGroup(t *testing.T) {
	racks := func(w *rackWorld, got []model.ServerID) (out []string) {
		for _, id := range got {
			out = append(out, w.rack(id))
		}
		slices.Sort(out)
		return slices.Compact(out)
	}
	group := StepSpec{Count: 4, Estimate: 60 * ms, SameRack: true}
	w := newRackWorld(t, 2, "r1", "r2", "r2", "r3")
	if got := w.submit(group, 60*ms); len(got) != 4 || !slices.Equal(racks(w, got), []string{"r2"}) {
		t.Errorf("a group that fits r2 starts at %v", got)
	}
	w = newRackWorld(t, 2, "r1", "r2", "r3")
	if got := w.submit(group, 60*ms); len(got) != 4 || len(racks(w, got)) < 2 {
		t.Errorf("a group that fits no rack starts at %v", got)
	}
	w = newRackWorld(t, 2, "r1", "r2")
	w.fill("r1", time.Second)
	w.fill("r2", time.Second)
	if got := w.submit(group, 60*ms); len(got) != 0 || !w.i.pool.onTimeJobQueued(w.now) {
		t.Errorf("a group without any room starts at %v, or doesn't count as waiting for capacity", got)
	}
	w = newRackWorld(t, 2, "r1", "r2", "r2", "r3")
	w.fill("r2", 20*ms)
	if got := w.submit(group, 60*ms); len(got) != 0 {
		t.Errorf("a group for which a rack has room soon starts at %v", got)
	}
	w.now = w.now.Add(15 * ms)
	if got := slices.Concat(w.end("s2"), w.end("s2"), w.end("s3")); len(got) != 0 {
		t.Errorf("part of a group starts at %v", got)
	}
	if got := w.end("s3"); len(got) != 4 || !slices.Equal(racks(w, got), []string{"r2"}) {
		t.Errorf("the group starts at %v", got)
	}
}

// TestFarRunTeachesNoSpeed guards against a server that counts as slow because it ran
// tasks far from their data.
func TestFarRunTeachesNoSpeed(t *testing.T) {
	w := newRackWorld(t, 3, "r1", "r2")
	w.fill("r1", time.Second)
	got := w.submit(short("r1"), 60*ms)
	if len(got) != 1 || got[0] != "s2" {
		t.Fatalf("starts at %v", got)
	}
	w.now = w.now.Add(180 * ms)
	w.end("s2")
	if f := w.i.pool.servers["s2"].speed.factor(); f < 0.99 || f > 1.01 {
		t.Errorf("the server counts as %.2f times slow", f)
	}
}

// addPeer adds an owner of a server of a rack with a report of free capacity.
func (w *rackWorld) addPeer(rack string, freeMilli float64) Member {
	m := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	e := w.entries[0]
	e.ID, e.Labels = "p1", []string{"k", rack}
	own := []Ownership{{Server: "p1", Owner: "n2", Incarnation: "01", Revision: 99}}
	w.step(LinkUp{Peer: m})
	w.step(ServersListed{Servers: append(slices.Clone(w.entries), e), Revision: 2})
	for _, e := range w.entries {
		own = append(own, w.i.pool.servers[e.ID].ownership)
	}
	w.step(OwnersChanged{Owners: own})
	w.step(PeerMessage{From: m, ReceivedAt: w.now, Message: Heartbeat{SentAt: w.now, Echo: w.now, Busy: true, Loads: []Load{{Service: "svc", Servers: 1, CapacityMilli: 4000, FreeMilli: freeMilli}}}})
	return m
}

// TestOwnerOfRack guards against far runs where another owner has room on the rack though
// none in total, and against offers in quick succession to one that has none.
func TestOwnerOfRack(t *testing.T) {
	w := newRackWorld(t, 2, "r2")
	peer := w.addPeer("r1", 0)
	w.submit(short("r1"), 60*ms)
	var offer Offer
	for _, e := range w.effects {
		if s, ok := e.(SendPeer); ok {
			if o, ok := s.Message.(Offer); ok {
				offer = o
			}
		}
	}
	if offer.Job.Offloaded == nil || !offer.Job.Offloaded.Near || offer.Job.Steps[0].Rack != "r1" {
		t.Fatalf("offered %+v", offer)
	}
	w.now = w.now.Add(2 * ms)
	if got := w.step(PeerMessage{From: peer, ReceivedAt: w.now, Message: Outcome{Call: offer.Call, Declined: true, Result: Result{RetryAfter: unknownRackWait}}}); len(got) != 1 || got[0] != "s1" {
		t.Errorf("after a decline it starts at %v", got)
	}
	if p := w.i.members.orderedPeers[0]; p.declinedAt != 0 {
		t.Error("an owner without room on a rack counts as one without any room")
	}
}

// TestStagedNear guards against an owner that runs a task far that it was offered for a
// rack, or that keeps it when no room comes.
func TestStagedNear(t *testing.T) {
	for _, c := range []struct {
		name     string
		fills    time.Duration // 0: the rack is free
		declined bool          // at once
	}{{"free", 0, false}, {"due soon", 20 * ms, false}, {"due late", 500 * ms, true}} {
		w := newRackWorld(t, 2, "r1", "r2")
		peer := w.addPeer("r2", 0)
		if c.fills > 0 {
			w.fill("r1", c.fills)
		}
		got := w.offerNear(peer)
		if (len(got) == 1) != (c.fills == 0) || w.declines() != c.declined {
			t.Errorf("%s: starts at %v, declined %v", c.name, got, w.declines())
		}
		if c.fills == 0 || c.declined {
			continue
		}
		declined := false
		for range 20 {
			w.now = w.now.Add(5 * ms)
			if got := w.step(Tick{}); len(got) > 0 {
				t.Errorf("%s: starts at %v", c.name, got)
			}
			declined = declined || w.declines()
		}
		if !declined {
			t.Errorf("%s: the task is kept though no room came", c.name)
		}
	}
}

// TestNearTaskRunsAgain guards against a task that another owner has offered for a rack,
// and that waits forever when its first run there was lost and the rack is gone.
func TestNearTaskRunsAgain(t *testing.T) {
	w := newRackWorld(t, 2, "r1", "r2")
	peer := w.addPeer("r2", 0)
	if got := w.offerNear(peer); len(got) != 1 || got[0] != "s1" {
		t.Fatalf("starts at %v", got)
	}
	w.i.pool.servers["s1"].leaving.announced = true
	if got := w.endAs("s1", EndOther); len(got) != 1 || got[0] != "s2" {
		t.Errorf("starts again at %v", got)
	}
}

// offerNear offers a task for r1, and returns where it starts.
func (w *rackWorld) offerNear(peer Member) []model.ServerID {
	st := short("r1")
	st.Need = model.Resources{CPUMilli: 2000}
	spec := JobSpec{
		ID: "jx", Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: w.now, Objective: Objective{Allowance: 60 * ms, Stretch: 1.6},
		Steps: []StepSpec{st}, Offloaded: &OffloadedTask{Near: true, Home: peer},
	}
	return w.step(PeerMessage{From: peer, ReceivedAt: w.now, Message: Offer{Call: 77, Job: spec, Echo: w.now}})
}

// declines reports whether the last step declined an offer.
func (w *rackWorld) declines() bool {
	return slices.ContainsFunc(w.effects, func(e Effect) bool {
		s, _ := e.(SendPeer)
		o, ok := s.Message.(Outcome)
		return ok && o.Declined
	})
}

// TestWaitingTaskStays guards against an owner that offloads a task that waits here for
// room near its data.
func TestWaitingTaskStays(t *testing.T) {
	w := newRackWorld(t, 2, "r1", "r2")
	w.fill("r1", 20*ms)
	w.submit(short("r1"), 60*ms)
	w.addPeer("r3", 4000)
	for _, e := range w.effects {
		if s, ok := e.(SendPeer); ok {
			if o, ok := s.Message.(Offer); ok {
				t.Errorf("offers %+v", o.Job)
			}
		}
	}
}

// TestWithdrawnJobLeavesNoClaim guards against a rack that counts as wanted by tasks that are
// gone: tasks of other owners would be declined.
func TestWithdrawnJobLeavesNoClaim(t *testing.T) {
	w := newRackWorld(t, 2, "r1", "r2")
	peer := w.addPeer("r2", 0)
	w.fill("r1", 20*ms)
	st := short("r1")
	st.Count = 2
	w.submit(st, 60*ms)
	if w.i.pool.places.claims["r1"] != 2 {
		t.Fatalf("claims %v", w.i.pool.places.claims)
	}
	w.step(CallerDisconnected{Call: w.calls})
	if w.offerNear(peer); w.declines() {
		t.Error("declined for the sake of tasks that are gone")
	}
}

// TestSpreadGroupTeachesNoSpeed guards against a server that counts as fast because the
// group of a task was spread after the task had started near its data.
func TestSpreadGroupTeachesNoSpeed(t *testing.T) {
	w := newRackWorld(t, 3, "r1", "r2")
	if got := w.submit(StepSpec{Count: 2, Estimate: 60 * ms, Rack: "r1", SameRack: true}, time.Minute); len(got) != 2 || got[0] != "s1" || got[1] != "s1" {
		t.Fatalf("starts at %v", got)
	}
	w.now = w.now.Add(60 * ms)
	w.i.pool.servers["s1"].leaving.announced = true
	if got := w.endAs("s1", EndOther); len(got) != 1 || got[0] != "s2" {
		t.Fatalf("starts again at %v", got)
	}
	w.end("s1")
	if f := w.i.pool.servers["s1"].speed.factor(); f < 0.99 || f > 1.01 {
		t.Errorf("the server counts as %.2f times slow", f)
	}
}

// TestDeclinedGroupSharesRack guards against a group that runs as a spread one, and takes
// farX as long, because its tasks were offered to another owner that had no room.
func TestDeclinedGroupSharesRack(t *testing.T) {
	w := newRackWorld(t, 2, "r1", "r3")
	w.fill("r1", 20*ms)
	w.fill("r3", 500*ms)
	peer := w.addPeer("r2", 4000)
	spec := oneTaskJob("jx", w.now)
	spec.Steps = []StepSpec{{Count: 2, Estimate: 60 * ms, SameRack: true, Need: model.Resources{CPUMilli: 2000}}}
	w.i.pool.offer(w.i.opts.Self, 1<<40, spec, true, w.now)
	calls := w.i.pool.offloadsTo(peer)
	if len(calls) != 2 {
		t.Fatalf("%d tasks offered", len(calls))
	}
	for _, c := range calls {
		w.step(PeerMessage{From: peer, ReceivedAt: w.now, Message: Outcome{Call: c, Declined: true}})
	}
	var started []model.ServerID
	for _, id := range []model.ServerID{"s1", "s2", "s1"} {
		w.now = w.now.Add(ms)
		started = append(started, w.end(id)...)
	}
	if len(started) != 2 || started[0] != started[1] {
		t.Errorf("starts at %v, want one rack", started)
	}
}

// TestRoomIsAnnouncedWhileTaskWaitsForRack guards against an owner that doesn't tell a peer with
// queued tasks of room because a task of its own waits for room near its data by choice.
func TestRoomIsAnnouncedWhileTaskWaitsForRack(t *testing.T) {
	w := newRackWorld(t, 2, "r1", "r2")
	w.i.pool.typicalMilli = 2000 // room is told in multiples
	w.fill("r1", 30*ms)
	w.submit(StepSpec{Count: 1, Estimate: 30 * ms, Rack: "r2"}, time.Minute)
	peer := w.addPeer("r3", 0)
	heartbeats := func() (n int) {
		for _, e := range w.effects {
			if s, ok := e.(SendPeer); ok {
				if _, ok := s.Message.(Heartbeat); ok {
					n++
				}
			}
		}
		return n
	}
	spec := oneTaskJob("jx", w.now)
	spec.Steps, spec.Objective = []StepSpec{short("r1")}, Objective{Allowance: 60 * ms, Stretch: 1.6}
	spec.Steps[0].Need = model.Resources{CPUMilli: 2000}
	w.now = w.now.Add(5 * ms)
	w.i.pool.offer(w.i.opts.Self, 1<<40, spec, true, w.now)
	if len(w.i.pool.queue) != 1 || !w.i.pool.queue[0].waitsForPlace() {
		t.Fatal("the task doesn't wait for its rack")
	}
	w.step(PeerMessage{From: peer, ReceivedAt: w.now, Message: Heartbeat{SentAt: w.now, Echo: w.now, Busy: true, Loads: []Load{{Service: "svc", Servers: 1, CapacityMilli: 4000, QueuedTasks: 3}}}})
	w.now = w.now.Add(5 * ms)
	if w.end("s2"); heartbeats() != 1 {
		t.Errorf("%d heartbeats tell of the room", heartbeats())
	}
}
