package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// testCluster connects schedulers and injects message faults.
type testCluster struct {
	t          *testing.T
	now        model.Time
	schedulers map[model.Instance]*Scheduler
	names      []model.Instance
	copies     func(from model.Instance, x OutboundMessage) int // number of copies to deliver
	starts     map[model.Instance][]Start
	policy     Policy
}

func newTestCluster(t *testing.T, policy Policy, names ...model.Instance) *testCluster {
	n := &testCluster{
		t: t, now: testStart, schedulers: make(map[model.Instance]*Scheduler), names: names,
		copies: func(model.Instance, OutboundMessage) int { return 1 },
		starts: make(map[model.Instance][]Start), policy: policy,
	}
	for i, name := range names {
		n.schedulers[name] = New(Options{Self: name, Domain: domainOf(name), Seed: uint64(i), Policy: policy})
	}
	n.setPeers(names...)
	return n
}

func domainOf(i model.Instance) model.Domain { return model.Domain(i[:1]) }

// setPeers sets the live instances on every scheduler.
func (n *testCluster) setPeers(live ...model.Instance) {
	for _, name := range n.names {
		var list []Peer
		for _, p := range live {
			if p != name {
				list = append(list, Peer{ID: p, Domain: domainOf(p)})
			}
		}
		n.schedulers[name].SetPeers(n.now, list)
	}
}

func (n *testCluster) setServers(list []Server) {
	for _, name := range n.names {
		n.schedulers[name].SetServers(n.now, list)
	}
}

// deliverAll delivers messages until none are left.
func (n *testCluster) deliverAll() {
	for moved := true; moved; {
		moved = false
		for _, name := range n.names {
			out := n.schedulers[name].Ready()
			n.starts[name] = append(n.starts[name], out.Starts...)
			for _, x := range append([]OutboundMessage(nil), out.Messages...) {
				moved = true
				n.deliver(name, x)
			}
		}
	}
}

func (n *testCluster) deliver(from model.Instance, x OutboundMessage) {
	for range n.copies(from, x) {
		if to := n.schedulers[x.To]; to != nil {
			to.Receive(n.now, from, x.Message)
		}
	}
}

func (n *testCluster) advance(d time.Duration) {
	for end := n.now.Add(d); n.now < end; {
		n.now = n.now.Add(TickInterval)
		for _, name := range n.names {
			n.schedulers[name].Tick(n.now)
		}
		n.deliverAll()
	}
}

// finishStarts completes all starts of an instance.
func (n *testCluster) finishStarts(name model.Instance) {
	list := n.starts[name]
	n.starts[name] = nil
	if n.schedulers[name] == nil {
		return
	}
	for _, st := range list {
		n.schedulers[name].Done(n.now, st, OutcomeOK, 100*time.Millisecond)
	}
	n.deliverAll()
}

func (n *testCluster) usableSlots() int {
	sum := 0
	for _, name := range n.names {
		sum += n.schedulers[name].Stats().Slots
	}
	return sum
}

const (
	clusterServers = 8
	slotsPerServer = 4
	clusterSlots   = clusterServers * slotsPerServer
)

// clusterWithAllSlotsBorrowed lets a1 use every slot of the cluster.
func clusterWithAllSlotsBorrowed(t *testing.T) *testCluster {
	n := newTestCluster(t, fixedPolicy{}, "a1", "a2", "b1")
	n.setServers(append(testServers("a", clusterServers/2, slotsPerServer), testServers("b", clusterServers/2, slotsPerServer)...))
	n.advance(100 * time.Millisecond)
	j := testJob(1, 2*clusterSlots)
	n.schedulers["a1"].Submit(n.now, j)
	n.deliverAll()
	n.advance(500 * time.Millisecond)
	return n
}

func TestBurstUsesTheWholeFleet(t *testing.T) {
	n := clusterWithAllSlotsBorrowed(t)
	if got := len(n.starts["a1"]); got < clusterSlots*9/10 {
		t.Fatalf("%d starts on %d slots", got, clusterSlots)
	}
	if got := n.usableSlots(); got != clusterSlots {
		t.Fatalf("instances may use %d of %d slots", got, clusterSlots)
	}
}

func TestSlotsReturnAfterFaults(t *testing.T) {
	drop := func(is func(*peerpb.SchedMessage) bool) func(*testCluster) {
		return func(n *testCluster) {
			n.copies = func(_ model.Instance, x OutboundMessage) int {
				if is(x.Message) {
					return 0
				}
				return 1
			}
		}
	}
	cases := []struct {
		name  string
		fault func(*testCluster)
	}{
		{"no fault", func(*testCluster) {}},
		{"borrower disappears", func(n *testCluster) {
			delete(n.schedulers, "a1")
			n.names = []model.Instance{"a2", "b1"}
			n.setPeers("a2", "b1")
		}},
		{"borrower is replaced by a new process", func(n *testCluster) {
			n.schedulers["a1"] = New(Options{Self: "a1", Domain: "a", Seed: 9, Policy: n.policy})
			n.setServers(append(testServers("a", clusterServers/2, slotsPerServer), testServers("b", clusterServers/2, slotsPerServer)...))
			n.setPeers("a1", "a2", "b1")
			n.starts["a1"] = nil
		}},
		{"lender leaves and returns", func(n *testCluster) {
			n.setPeers("a1", "b1")
			n.advance(time.Second)
			n.setPeers("a1", "a2", "b1")
		}},
		{"a domain is isolated and rejoins", func(n *testCluster) {
			n.setPeers("a1", "a2")
			n.advance(2 * time.Second)
			n.setPeers("a1", "a2", "b1")
		}},
		{"returns are lost", drop(func(m *peerpb.SchedMessage) bool { return m.Held != nil && len(m.Held.Slots) == 0 })},
		{"every message is duplicated", func(n *testCluster) {
			n.copies = func(model.Instance, OutboundMessage) int { return 2 }
		}},
		{"the server list changes while busy", func(n *testCluster) {
			n.setServers(testServers("a", clusterServers, slotsPerServer))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := clusterWithAllSlotsBorrowed(t)
			c.fault(n)
			for range 4 {
				n.finishStarts("a1")
				n.advance(200 * time.Millisecond)
			}
			n.cancelJob(1)
			n.advance(loanTimeout + 2*time.Second)
			if got := n.usableSlots(); got != clusterSlots {
				t.Fatalf("instances may use %d of %d slots", got, clusterSlots)
			}
			for _, name := range n.names {
				if s := n.schedulers[name].Stats(); s.Lent > 0 || s.Borrowed > 0 {
					t.Errorf("%s still lends %d and borrows %d slots", name, s.Lent, s.Borrowed)
				}
			}
		})
	}
}

// cancelJob cancels a job and completes its starts.
func (n *testCluster) cancelJob(h model.JobHandle) {
	s := n.schedulers["a1"]
	if s == nil {
		return
	}
	s.Cancel(n.now, h)
	n.finishStarts("a1")
}

func TestStaleMessagesAreIgnored(t *testing.T) {
	n := newTestCluster(t, fixedPolicy{}, "a1", "a2")
	n.setServers(testServers("a", 4, 4))
	s := n.schedulers["a1"]
	grant := func(boot int64, seq, id uint64) *peerpb.SchedMessage {
		v := ""
		for _, x := range s.serverList {
			if !x.owned {
				v = string(x.ID)
			}
		}
		return &peerpb.SchedMessage{BootUnixNs: boot, Sequence: seq, Grant: &peerpb.SlotGrant{
			Id: id, Slots: []*peerpb.SlotCount{{Server: v, Count: 1}},
		}}
	}
	cases := []struct {
		name string
		m    *peerpb.SchedMessage
		want int
	}{
		{"first", grant(5, 3, 2), 1},
		{"duplicate", grant(5, 3, 2), 1},
		{"late", grant(5, 2, 1), 1},
		{"from an earlier process", grant(4, 9, 9), 1},
		{"from a later process, which clears earlier loans", grant(6, 1, 1), 1},
		{"for an unknown server", &peerpb.SchedMessage{BootUnixNs: 6, Sequence: 2, Grant: &peerpb.SlotGrant{
			Id: 2, Slots: []*peerpb.SlotCount{{Server: "nowhere", Count: 1}},
		}}, 1},
	}
	for _, c := range cases {
		s.Receive(n.now, "a2", c.m)
		if got := s.Stats().Borrowed; got != c.want {
			t.Fatalf("%s: %d slots borrowed, want %d", c.name, got, c.want)
		}
	}
}

func TestBrokenServerIsQuarantinedAndProbed(t *testing.T) {
	const jobs = 3000 // one every 10 ms
	cases := []struct {
		name      string
		tasks     int // per job
		maxStarts int // starts on the broken server
	}{
		{"one task at a time", 1, 4 + 2},                         // 4 until it is quarantined, then probes after 8 s and another 16 s
		{"a task for every slot", 4 * 4, jobs * 4 * 4 / 4 / 200}, // 0.5% of its share
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := startsOnBrokenServer(jobs, c.tasks); got > c.maxStarts {
				t.Fatalf("%d starts on a server that fails everything, want at most %d", got, c.maxStarts)
			}
		})
	}
}

// startsOnBrokenServer submits jobs to four servers, the first of which fails
// every task, and returns the number of starts on that one.
func startsOnBrokenServer(jobs, tasks int) int {
	s := newTestScheduler(4, 4)
	now := testStart
	starts := 0
	for h := range jobs {
		now = now.Add(10 * time.Millisecond)
		s.Submit(now, testJob(h+1, tasks))
		s.Tick(now)
		for _, st := range takeStarts(s) {
			o := OutcomeOK
			if st.Server == "a-0" {
				o = OutcomeFailed
				starts++
			}
			s.Done(now, st, o, 5*time.Millisecond)
		}
	}
	return starts
}

func TestAlwaysFailingKindQuarantinesNoServer(t *testing.T) {
	s := newTestScheduler(8, 4)
	now := testStart
	for h := 1; h < 3000; h++ {
		now = now.Add(5 * time.Millisecond)
		j := testJob(h, 1)
		if h%3 == 0 {
			j.Kind = "broken"
		}
		s.Submit(now, j)
		for _, st := range takeStarts(s) {
			o := OutcomeOK
			if int(st.Job)%3 == 0 {
				o = OutcomeFailed
			}
			s.Done(now, st, o, 5*time.Millisecond)
		}
		if q := s.Stats().Quarantined; q > 0 {
			t.Fatalf("%d servers in quarantine after %d jobs", q, h)
		}
	}
}

func TestProbesUseRepeatableWorkOnly(t *testing.T) {
	s := newTestScheduler(1, 1)
	v := s.serverList[0]
	s.quarantine(testStart, v)
	j := testJob(1, 1)
	j.Repeatable = false
	later := testStart.Add(time.Minute)
	s.Submit(later, j)
	if got := takeStarts(s); len(got) != 0 {
		t.Fatalf("probed with a non-repeatable task: %+v", got)
	}
	s.Submit(later, Job{Handle: 2, Customer: "d", Kind: "k", Tasks: 1, Repeatable: true, Accepted: true})
	s.Cancel(later, 1)
	s.Tick(later)
	if got := takeStarts(s); len(got) != 1 || got[0].Job != 2 {
		t.Fatalf("probe starts %+v", got)
	}
}

// usableSlotsOn is the number of slots on a domain's servers that an instance
// may use for ordinary starts.
func usableSlotsOn(s *Scheduler, d model.Domain) int {
	n := 0
	for _, v := range s.serverList {
		if v.Domain == d && v.usable() {
			n += v.held()
		}
	}
	return n
}

func TestOrphanedDomainIsAdopted(t *testing.T) {
	n := newTestCluster(t, fixedPolicy{}, "a1", "a2", "b1")
	n.setServers(append(testServers("a", clusterServers/2, slotsPerServer), testServers("b", clusterServers/2, slotsPerServer)...))
	n.setPeers("a1", "a2")
	n.advance(adoptionDelay - time.Second)
	adopted := func() int { return usableSlotsOn(n.schedulers["a1"], "b") + usableSlotsOn(n.schedulers["a2"], "b") }
	if got := adopted(); got != 0 || len(n.schedulers["a1"].Quarantined()) != 0 {
		t.Fatalf("%d slots adopted before adoptionDelay", got)
	}
	n.advance(2 * time.Second)
	probed := len(n.schedulers["a1"].Quarantined()) + len(n.schedulers["a2"].Quarantined())
	if got := adopted(); got != 0 || probed != clusterServers/2 {
		t.Fatalf("%d adopted slots and %d quarantined servers, want 0 and %d", got, probed, clusterServers/2)
	}
	for round := range 2 * probesToRelease {
		for i, name := range []model.Instance{"a1", "a2"} {
			n.schedulers[name].Submit(n.now, testJob(10*round+i+1, clusterSlots))
		}
		n.deliverAll()
		n.advance(TickInterval)
		n.finishStarts("a1")
		n.finishStarts("a2")
	}
	if got := adopted(); got != clusterSlots/2 {
		t.Fatalf("%d adopted slots after the probes, want %d", got, clusterSlots/2)
	}
	n.setPeers("a1", "a2", "b1")
	n.deliverAll()
	if got := adopted(); got != 0 {
		t.Fatalf("%d slots are still adopted", got)
	}
	if got := usableSlotsOn(n.schedulers["b1"], "b"); got != clusterSlots/2 {
		t.Fatalf("the returned instance has %d slots, want %d", got, clusterSlots/2)
	}
}

// A borrower may re-lend free slots, but the instance that borrows them from it
// may not, and the owner must get all of them back.
func TestSlotsAreRelentOnlyOnce(t *testing.T) {
	n := newTestCluster(t, fixedPolicy{}, "a1", "b1", "c1")
	n.setServers(testServers("a", 1, slotsPerServer))
	owner, first, second := n.schedulers["a1"], n.schedulers["b1"], n.schedulers["c1"]
	v := first.serverList[0]
	owner.lendSlots(owner.peers["b1"], owner.serverList[0], slotsPerServer)
	owner.flushMessages(n.now)
	n.deliverAll()
	if got := first.Stats().Slots; got != slotsPerServer || !v.lendable() {
		t.Fatalf("the borrower has %d slots, lendable %v", got, v.lendable())
	}
	first.lendFree(first.peers["c1"], v, 1)
	first.flushMessages(n.now)
	n.deliverAll()
	if got := second.Stats().Slots; got != 1 || second.serverList[0].lendable() {
		t.Fatalf("the second borrower has %d slots, lendable %v", got, second.serverList[0].lendable())
	}
	if got := n.usableSlots(); got != slotsPerServer {
		t.Fatalf("%d slots are usable, want %d", got, slotsPerServer)
	}
	n.advance(4 * idleLoanTimeout) // two borrowers, each of which notices within two windows
	if got := owner.Stats().Slots; got != slotsPerServer {
		t.Fatalf("the owner has %d slots back, want %d", got, slotsPerServer)
	}
}

func TestHintsListPeersWithMostFreeSlots(t *testing.T) {
	s := newTestScheduler(1, 1)
	var list []Peer
	for i := range 2 * maxHints {
		list = append(list, Peer{ID: model.Instance(fmt.Sprintf("p%02d", i)), Domain: "a"})
	}
	s.SetPeers(testStart, list)
	for i, p := range s.livePeers {
		p.free, p.freeAt = i%maxHints, testStart
	}
	hints := s.hintsFor(testStart, s.livePeers[0])
	if len(hints) != maxHints || hints[0].Free != maxHints-1 || hints[maxHints-1].Free != maxHints/2 {
		t.Fatalf("hints: %v", hints)
	}
}

// An instance with few slots must keep none of them idle while long tasks
// wait.
func TestFreeReserveIsBoundedBySlots(t *testing.T) {
	cases := []struct {
		slots     int
		shortLoad float64
		want      int
	}{{4, 16, 0}, {8, 16, 1}, {64, 16, 4}, {64, 0, 0}, {64, 400, 8}}
	for _, c := range cases {
		s := newTestScheduler(1, c.slots)
		s.runs.shortLoad = c.shortLoad
		if got := s.freeReserve(); got != c.want {
			t.Errorf("%d slots, load %g: free reserve %d, want %d", c.slots, c.shortLoad, got, c.want)
		}
	}
}
