package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// net joins schedulers with a table of faults.
type net struct {
	t      *testing.T
	now    model.Time
	nodes  map[model.Instance]*Scheduler
	names  []model.Instance
	filter func(from model.Instance, x OutboundMessage) int // copies to deliver
	starts map[model.Instance][]Start
	policy Policy
}

func newNet(t *testing.T, policy Policy, names ...model.Instance) *net {
	n := &net{
		t: t, now: testStart, nodes: make(map[model.Instance]*Scheduler), names: names,
		filter: func(model.Instance, OutboundMessage) int { return 1 },
		starts: make(map[model.Instance][]Start), policy: policy,
	}
	for i, name := range names {
		n.nodes[name] = New(Options{Self: name, Domain: domainOf(name), Seed: uint64(i), Policy: policy})
	}
	n.peers(names...)
	return n
}

func domainOf(i model.Instance) model.Domain { return model.Domain(i[:1]) }

// peers tells every instance which ones are live.
func (n *net) peers(live ...model.Instance) {
	for _, name := range n.names {
		var list []Peer
		for _, p := range live {
			if p != name {
				list = append(list, Peer{ID: p, Domain: domainOf(p)})
			}
		}
		n.nodes[name].SetPeers(n.now, list)
	}
}

func (n *net) servers(list []Server) {
	for _, name := range n.names {
		n.nodes[name].SetServers(n.now, list)
	}
}

// settle delivers messages until there are none.
func (n *net) settle() {
	for moved := true; moved; {
		moved = false
		for _, name := range n.names {
			out := n.nodes[name].Ready()
			n.starts[name] = append(n.starts[name], out.Starts...)
			for _, x := range append([]OutboundMessage(nil), out.Messages...) {
				moved = true
				n.deliver(name, x)
			}
		}
	}
}

func (n *net) deliver(from model.Instance, x OutboundMessage) {
	for range n.filter(from, x) {
		if to := n.nodes[x.To]; to != nil {
			to.Receive(n.now, from, x.Message)
		}
	}
}

func (n *net) run(d time.Duration) {
	for end := n.now.Add(d); n.now < end; {
		n.now = n.now.Add(TickInterval)
		for _, name := range n.names {
			n.nodes[name].Tick(n.now)
		}
		n.settle()
	}
}

// end finishes all starts of an instance.
func (n *net) end(name model.Instance) {
	list := n.starts[name]
	n.starts[name] = nil
	if n.nodes[name] == nil {
		return
	}
	for _, st := range list {
		n.nodes[name].Done(n.now, st, OutcomeOK, 100*time.Millisecond)
	}
	n.settle()
}

func (n *net) usable() int {
	sum := 0
	for _, name := range n.names {
		sum += n.nodes[name].Stats().Slots
	}
	return sum
}

const (
	netServers = 8
	netSlots   = 4
	netTotal   = netServers * netSlots
)

// borrowAll lets a1 use every slot of the fleet.
func borrowAll(t *testing.T) *net {
	n := newNet(t, fixedPolicy{}, "a1", "a2", "b1")
	n.servers(append(testServers("a", netServers/2, netSlots), testServers("b", netServers/2, netSlots)...))
	n.run(100 * time.Millisecond)
	j := testJob(1, 2*netTotal)
	n.nodes["a1"].Submit(n.now, j)
	n.settle()
	n.run(500 * time.Millisecond)
	return n
}

func TestBurstUsesTheWholeFleet(t *testing.T) {
	n := borrowAll(t)
	if got := len(n.starts["a1"]); got < netTotal*9/10 {
		t.Fatalf("%d starts on %d slots", got, netTotal)
	}
	if got := n.usable(); got != netTotal {
		t.Fatalf("instances may use %d slots of %d", got, netTotal)
	}
}

func TestSlotsComeBackAfterFaults(t *testing.T) {
	drop := func(is func(*peerpb.SchedMessage) bool) func(*net) {
		return func(n *net) {
			n.filter = func(_ model.Instance, x OutboundMessage) int {
				if is(x.Message) {
					return 0
				}
				return 1
			}
		}
	}
	cases := []struct {
		name  string
		fault func(*net)
	}{
		{"no fault", func(*net) {}},
		{"borrower disappears", func(n *net) {
			delete(n.nodes, "a1")
			n.names = []model.Instance{"a2", "b1"}
			n.peers("a2", "b1")
		}},
		{"borrower is replaced at the same name", func(n *net) {
			n.nodes["a1"] = New(Options{Self: "a1", Domain: "a", Seed: 9, Policy: n.policy})
			n.servers(append(testServers("a", netServers/2, netSlots), testServers("b", netServers/2, netSlots)...))
			n.peers("a1", "a2", "b1")
			n.starts["a1"] = nil
		}},
		{"lender disappears and comes back", func(n *net) {
			n.peers("a1", "b1")
			n.run(time.Second)
			n.peers("a1", "a2", "b1")
		}},
		{"a domain is cut off and joined again", func(n *net) {
			n.peers("a1", "a2")
			n.run(2 * time.Second)
			n.peers("a1", "a2", "b1")
		}},
		{"returns are lost", drop(func(m *peerpb.SchedMessage) bool { return m.Held != nil && len(m.Held.Slots) == 0 })},
		{"every message is doubled", func(n *net) {
			n.filter = func(model.Instance, OutboundMessage) int { return 2 }
		}},
		{"the server list changes while busy", func(n *net) {
			n.servers(testServers("a", netServers, netSlots))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := borrowAll(t)
			c.fault(n)
			for range 4 {
				n.end("a1")
				n.run(200 * time.Millisecond)
			}
			n.nodesCancel(1)
			n.run(loanLost + 2*time.Second)
			if got := n.usable(); got != netTotal {
				t.Fatalf("instances may use %d slots of %d", got, netTotal)
			}
			for _, name := range n.names {
				if s := n.nodes[name].Stats(); s.Lent > 0 || s.Borrowed > 0 {
					t.Errorf("%s still lends %d and borrows %d", name, s.Lent, s.Borrowed)
				}
			}
		})
	}
}

// nodesCancel cancels what is left of a job and ends its starts.
func (n *net) nodesCancel(h model.JobHandle) {
	s := n.nodes["a1"]
	if s == nil {
		return
	}
	s.Cancel(n.now, h)
	n.end("a1")
}

func TestLateAndOldMessagesChangeNothing(t *testing.T) {
	n := newNet(t, fixedPolicy{}, "a1", "a2")
	n.servers(testServers("a", 4, 4))
	s := n.nodes["a1"]
	grant := func(boot int64, seq, id uint64) *peerpb.SchedMessage {
		v := ""
		for _, x := range s.list {
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
		{"doubled", grant(5, 3, 2), 1},
		{"late", grant(5, 2, 1), 1},
		{"of an earlier process", grant(4, 9, 9), 1},
		{"of a later process, which forgets earlier loans", grant(6, 1, 1), 1},
		{"of an unknown server", &peerpb.SchedMessage{BootUnixNs: 6, Sequence: 2, Grant: &peerpb.SlotGrant{
			Id: 2, Slots: []*peerpb.SlotCount{{Server: "nowhere", Count: 1}},
		}}, 1},
	}
	for _, c := range cases {
		s.Receive(n.now, "a2", c.m)
		if got := s.Stats().Borrowed; got != c.want {
			t.Fatalf("%s: borrows %d slots, want %d", c.name, got, c.want)
		}
	}
}

func TestBrokenServerIsQuarantinedAndProbed(t *testing.T) {
	const jobs = 3000 // one each 10 ms
	cases := []struct {
		name  string
		tasks int // of a job
		most  int // starts on the broken server
	}{
		{"one task at a time", 1, 4 + 2},                         // to judge it, and probes after 8 and 16 s more
		{"a task for every slot", 4 * 4, jobs * 4 * 4 / 4 / 200}, // 0.5% of its part
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := startsOnBroken(jobs, c.tasks); got > c.most {
				t.Fatalf("%d starts on a server that fails everything, want at most %d", got, c.most)
			}
		})
	}
}

// startsOnBroken submits jobs to four servers, the first of which fails
// everything, and returns how many starts that one got.
func startsOnBroken(jobs, tasks int) int {
	s := newTest(4, 4)
	now := testStart
	starts := 0
	for h := range jobs {
		now = now.Add(10 * time.Millisecond)
		s.Submit(now, testJob(h+1, tasks))
		s.Tick(now)
		for _, st := range copyStarts(s) {
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

func TestKindThatAlwaysFailsAccusesNoServer(t *testing.T) {
	s := newTest(8, 4)
	now := testStart
	for h := 1; h < 3000; h++ {
		now = now.Add(5 * time.Millisecond)
		j := testJob(h, 1)
		if h%3 == 0 {
			j.Kind = "broken"
		}
		s.Submit(now, j)
		for _, st := range copyStarts(s) {
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
	s := newTest(1, 1)
	v := s.list[0]
	s.quarantine(testStart, v)
	j := testJob(1, 1)
	j.Repeatable = false
	later := testStart.Add(time.Minute)
	s.Submit(later, j)
	if got := copyStarts(s); len(got) != 0 {
		t.Fatalf("probed with work that is not repeatable: %+v", got)
	}
	s.Submit(later, Job{Handle: 2, Customer: "d", Kind: "k", Tasks: 1, Repeatable: true, Accepted: true})
	s.Cancel(later, 1)
	s.Tick(later)
	if got := copyStarts(s); len(got) != 1 || got[0].Job != 2 {
		t.Fatalf("probe starts %+v", got)
	}
}

// usableOn is the number of slots on the servers of a domain that an instance
// may use for ordinary work.
func usableOn(s *Scheduler, d model.Domain) int {
	n := 0
	for _, v := range s.list {
		if v.Domain == d && v.usable() {
			n += v.held()
		}
	}
	return n
}

func TestUnservedDomainIsAdopted(t *testing.T) {
	n := newNet(t, fixedPolicy{}, "a1", "a2", "b1")
	n.servers(append(testServers("a", netServers/2, netSlots), testServers("b", netServers/2, netSlots)...))
	n.peers("a1", "a2")
	n.run(adoptAfter - time.Second)
	adopted := func() int { return usableOn(n.nodes["a1"], "b") + usableOn(n.nodes["a2"], "b") }
	if got := adopted(); got != 0 || len(n.nodes["a1"].Quarantined()) != 0 {
		t.Fatalf("%d slots of a domain that may only be late", got)
	}
	n.run(2 * time.Second)
	probed := len(n.nodes["a1"].Quarantined()) + len(n.nodes["a2"].Quarantined())
	if got := adopted(); got != 0 || probed != netServers/2 {
		t.Fatalf("%d slots and %d servers to probe, want 0 and %d", got, probed, netServers/2)
	}
	for round := range 2 * probesToReturn {
		for i, name := range []model.Instance{"a1", "a2"} {
			n.nodes[name].Submit(n.now, testJob(10*round+i+1, netTotal))
		}
		n.settle()
		n.run(TickInterval)
		n.end("a1")
		n.end("a2")
	}
	if got := adopted(); got != netTotal/2 {
		t.Fatalf("%d slots after the probes, want %d", got, netTotal/2)
	}
	n.peers("a1", "a2", "b1")
	n.settle()
	if got := adopted(); got != 0 {
		t.Fatalf("%d slots are still held without a loan", got)
	}
	if got := usableOn(n.nodes["b1"], "b"); got != netTotal/2 {
		t.Fatalf("the instance that is back has %d slots, want %d", got, netTotal/2)
	}
}

// A borrower passes free slots on, one that got them so does not, and the
// owner gets all of them back.
func TestLoansPassThroughOneHand(t *testing.T) {
	n := newNet(t, fixedPolicy{}, "a1", "b1", "c1")
	n.servers(testServers("a", 1, netSlots))
	owner, first, second := n.nodes["a1"], n.nodes["b1"], n.nodes["c1"]
	v := first.list[0]
	owner.lendSlot(owner.peers["b1"], owner.list[0], netSlots)
	owner.flush(n.now)
	n.settle()
	if got := first.Stats().Slots; got != netSlots || !v.lendable() {
		t.Fatalf("the borrower has %d slots, lendable %v", got, v.lendable())
	}
	first.lendFree(first.peers["c1"], v, 1)
	first.flush(n.now)
	n.settle()
	if got := second.Stats().Slots; got != 1 || second.list[0].lendable() {
		t.Fatalf("the second borrower has %d slots, lendable %v", got, second.list[0].lendable())
	}
	if got := n.usable(); got != netSlots {
		t.Fatalf("%d slots are usable, want %d", got, netSlots)
	}
	n.run(4 * loanIdle) // two hands, each of which notices within two windows
	if got := owner.Stats().Slots; got != netSlots {
		t.Fatalf("the owner has %d slots back, want %d", got, netSlots)
	}
}

func TestHintsNameThePeersWithMostFreeSlots(t *testing.T) {
	s := newTest(1, 1)
	var list []Peer
	for i := range 2 * maxHints {
		list = append(list, Peer{ID: model.Instance(fmt.Sprintf("p%02d", i)), Domain: "a"})
	}
	s.SetPeers(testStart, list)
	for i, p := range s.live {
		p.free, p.freeAt = i%maxHints, testStart
	}
	hints := s.hints(testStart, s.live[0])
	if len(hints) != maxHints || hints[0].Free != maxHints-1 || hints[maxHints-1].Free != maxHints/2 {
		t.Fatalf("hints: %v", hints)
	}
}

// TestKeptFreeIsASmallPart checks that an instance with few slots keeps none of
// them idle beside waiting long work.
func TestKeptFreeIsASmallPart(t *testing.T) {
	cases := []struct {
		slots     int
		shortLoad float64
		want      int
	}{{4, 16, 0}, {8, 16, 1}, {64, 16, 4}, {64, 0, 0}, {64, 400, 8}}
	for _, c := range cases {
		s := newTest(1, c.slots)
		s.runs.shortLoad = c.shortLoad
		if got := s.keptFree(); got != c.want {
			t.Errorf("%d slots, load %g: %d slots are kept free, want %d", c.slots, c.shortLoad, got, c.want)
		}
	}
}
