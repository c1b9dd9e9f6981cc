package tablesync_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/platform/platformtest"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
	"github.com/nutmegweir/nutmegweir/internal/tablesync"
)

const (
	numDomains     = 6
	faultInstances = 2 // per domain in the fault scenarios
	costInstances  = 8 // per domain in the cost measurement
	costRows       = 1000
	fillRows       = 100 // rows per edit when filling the table
	linkDelay      = time.Millisecond
	// inForceBound is the target for a change to be in force everywhere.
	inForceBound = 5 * time.Second
	settle       = 10 * time.Second
)

// instance is one instance with its own link to the platform.
type instance struct {
	id        model.Instance
	domain    model.Domain
	fake      *platformtest.Fake
	runner    *tablesync.Runner
	cancel    context.CancelFunc
	done      chan struct{}
	highest   uint64
	inForceAt map[uint64]time.Time // when each version came in force
}

// fleet is a set of instances whose domains can be isolated.
type fleet struct {
	t         *testing.T
	backing   *standin.Store
	editor    *tablestore.Store
	edits     *platform.CallCounts // calls made by the editor
	rows      map[table.Key]uint64
	mu        sync.Mutex
	instances map[model.Instance]*instance
	order     []model.Instance
	domains   []model.Domain
	isolated  map[model.Domain]bool  // from the other domains
	sent      int                    // messages between instances
	bytes     map[model.Instance]int // of messages, sent and received
}

func newFleet(t *testing.T, perDomain int) *fleet {
	f := &fleet{t: t, backing: standin.NewStore(0), instances: make(map[model.Instance]*instance), isolated: make(map[model.Domain]bool), bytes: make(map[model.Instance]int), rows: make(map[table.Key]uint64)}
	fake := platformtest.NewFake(f.backing)
	f.editor, f.edits = tablestore.New(tablestore.Options{Platform: fake}), fake.CallCounts
	for d := range numDomains {
		f.domains = append(f.domains, model.Domain(fmt.Sprintf("d%d", d)))
	}
	for _, d := range f.domains {
		for i := range perDomain {
			f.order = append(f.order, model.Instance(fmt.Sprintf("%s-%d", d, i)))
		}
	}
	for _, id := range f.order {
		f.start(id)
	}
	f.setPeers()
	return f
}

func domainOf(id model.Instance) model.Domain { return model.Domain(id[:2]) }

// start starts an instance, or a replacement with empty memory.
func (f *fleet) start(id model.Instance) *instance {
	inst := &instance{id: id, domain: domainOf(id), fake: platformtest.NewFake(f.backing), done: make(chan struct{}), inForceAt: make(map[uint64]time.Time)}
	inst.fake.Faults.SetFaults(standin.Faults{LatencyMs: 2})
	inst.runner = tablesync.NewRunner(tablesync.RunnerOptions{
		Core:     tablesync.Options{Self: id, Domain: inst.domain, Domains: f.domains},
		Store:    tablestore.New(tablestore.Options{Platform: inst.fake}),
		Send:     func(to model.Instance, m *peerpb.TableMessage) { f.send(inst, to, m) },
		OnChange: func(s *table.Snapshot) { f.changed(inst, s) },
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	inst.cancel = cancel
	f.mu.Lock()
	f.instances[id] = inst
	f.mu.Unlock()
	go func() { defer close(inst.done); inst.runner.Run(ctx) }()
	return inst
}

func (f *fleet) stop(id model.Instance) {
	inst := f.instances[id]
	inst.cancel()
	<-inst.done
	f.mu.Lock()
	delete(f.instances, id)
	f.mu.Unlock()
}

func (f *fleet) stopAll() {
	for id := range f.instances {
		f.stop(id)
	}
	time.Sleep(time.Second) // let messages in flight arrive
}

func (f *fleet) setPeers() {
	for _, id := range f.order {
		inst := f.instances[id]
		if inst == nil {
			continue
		}
		var list []tablesync.Peer
		for _, other := range f.order {
			if other != id {
				list = append(list, tablesync.Peer{ID: other, Domain: domainOf(other)})
			}
		}
		inst.runner.SetPeers(list)
	}
}

// changed fails the test if an instance goes back to an older version.
func (f *fleet) changed(inst *instance, s *table.Snapshot) {
	if s.Version() <= inst.highest {
		f.t.Errorf("%s went from version %d to %d", inst.id, inst.highest, s.Version())
	}
	inst.highest = s.Version()
	f.mu.Lock()
	inst.inForceAt[s.Version()] = time.Now()
	f.mu.Unlock()
}

func (f *fleet) send(from *instance, to model.Instance, m *peerpb.TableMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	size := proto.Size(m)
	f.bytes[from.id] += size
	f.bytes[to] += size
	d := domainOf(to)
	if from.domain != d && (f.isolated[from.domain] || f.isolated[d]) {
		return
	}
	time.AfterFunc(linkDelay, func() {
		f.mu.Lock()
		inst := f.instances[to]
		f.mu.Unlock()
		if inst != nil {
			inst.runner.Receive(from.id, m)
		}
	})
}

// faults sets the faults of one domain's links to the platform, or of all links.
func (f *fleet) faults(d model.Domain, faults standin.Faults) {
	for _, inst := range f.instances {
		if d == table.Any || inst.domain == d {
			inst.fake.Faults.SetFaults(faults)
		}
	}
}

func (f *fleet) setIsolated(d model.Domain, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[d] = isolated
}

// edit writes one change and returns its version.
func (f *fleet) edit(i int) uint64 {
	f.t.Helper()
	return f.write(fmt.Sprintf("edit-%d", i), i, "a")
}

// write changes one row per customer in one edit.
func (f *fleet) write(id string, value int, customers ...model.Customer) uint64 {
	f.t.Helper()
	weight := float64(value + 1)
	req := tablestore.Request{ID: id, Actor: "ann", AtUnixMs: time.Now().UnixMilli()}
	for _, c := range customers {
		key := table.Key{Customer: c, Domain: table.Any, Kind: table.Any}
		req.Changes = append(req.Changes, table.Change{Key: key, Base: f.rows[key], After: &table.Values{Weight: &weight}})
	}
	res, err := f.editor.Edit(f.t.Context(), req)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, c := range res.Edit.Changes {
		f.rows[c.Key] = res.Edit.Version
	}
	return res.Edit.Version
}

// fill writes a table of many rows.
func (f *fleet) fill(rows int) {
	f.t.Helper()
	for i := 0; i < rows; i += fillRows {
		var customers []model.Customer
		for j := range fillRows {
			customers = append(customers, customer(i+j))
		}
		f.write(fmt.Sprintf("fill-%d", i), i, customers...)
	}
}

func customer(i int) model.Customer { return model.Customer(fmt.Sprintf("customer-%04d", i)) }

// requireInForce waits for inForceBound and fails if an instance outside the
// domains in except lacks a version.
func (f *fleet) requireInForce(version uint64, except ...model.Domain) {
	f.t.Helper()
	time.Sleep(inForceBound)
	for _, id := range f.order {
		inst := f.instances[id]
		if inst == nil || slices.Contains(except, inst.domain) {
			continue
		}
		if got := inst.runner.Snapshot().Version(); got < version {
			f.t.Errorf("%s has version %d, want %d", id, got, version)
		}
	}
}

// requireReach checks what an instance reports about a domain.
func (f *fleet) requireReach(from model.Instance, version uint64, d model.Domain, want tablesync.Reach) {
	f.t.Helper()
	for _, s := range f.instances[from].runner.Status(version) {
		if s.Domain == d && s.Reach != want {
			f.t.Errorf("%s reports version %d as %q in %s, want %q", from, version, s.Reach, d, want)
		}
	}
}

var outage = standin.Faults{Refuse: true}

var propagation = []struct {
	name string
	run  func(f *fleet)
}{
	{"no fault", func(f *fleet) {
		for i := range 5 {
			f.requireInForce(f.edit(i))
		}
		f.requireReach("d0-0", 5, "d5", tablesync.ReachInForce)
	}},
	{"domain isolated from the platform", func(f *fleet) {
		f.faults("d3", outage)
		f.requireInForce(f.edit(0))
	}},
	{"platform hangs for a domain", func(f *fleet) {
		f.faults("d3", standin.Faults{Hang: true})
		f.requireInForce(f.edit(0))
	}},
	{"one instance's platform link is broken and its domain is isolated", func(f *fleet) {
		f.setIsolated("d3", true)
		f.instances["d3-0"].fake.Faults.SetFaults(outage)
		time.Sleep(settle)
		f.requireInForce(f.edit(0))
	}},
	{"domain isolated from everything, then reconnected", func(f *fleet) {
		f.requireInForce(f.edit(0))
		f.setIsolated("d3", true)
		f.faults("d3", outage)
		time.Sleep(2 * settle)
		v := f.edit(1)
		f.requireInForce(v, "d3")
		f.requireReach("d0-0", v, "d3", tablesync.ReachCutOff)
		f.requireReach("d0-0", v, "d2", tablesync.ReachInForce)
		f.requireReach("d3-0", v, "d3", tablesync.ReachPending)
		f.setIsolated("d3", false)
		f.faults("d3", standin.Faults{})
		f.requireInForce(v)
		f.requireReach("d0-0", v, "d3", tablesync.ReachInForce)
	}},
	{"stale peer reconnects while the platform is down", func(f *fleet) {
		f.setIsolated("d3", true)
		f.faults("d3", outage)
		v := f.edit(0)
		f.requireInForce(v, "d3")
		f.faults(table.Any, outage)
		f.setIsolated("d3", false)
		f.requireInForce(v)
	}},
	{"restart while the platform is down", func(f *fleet) {
		v := f.edit(0)
		f.requireInForce(v)
		f.faults(table.Any, outage)
		for _, id := range []model.Instance{"d3-0", "d3-1"} {
			f.stop(id)
			f.start(id).fake.Faults.SetFaults(outage)
		}
		f.setPeers()
		f.requireInForce(v)
	}},
	{"platform recovers after a long outage", func(f *fleet) {
		v := f.edit(0)
		f.requireInForce(v)
		f.faults(table.Any, outage)
		time.Sleep(10 * time.Minute)
		f.faults(table.Any, standin.Faults{})
		time.Sleep(settle)
		f.requireInForce(f.edit(1))
	}},
	{"platform restored with older data", func(f *fleet) {
		f.edit(0)
		v := f.edit(1)
		f.requireInForce(v)
		old := f.backing.Get("log")
		f.backing.Delete("log", old.Index)
		time.Sleep(settle)
		f.requireInForce(v)
	}},
	{"watching instance dies", func(f *fleet) {
		f.setIsolated("d3", true)
		f.stop("d3-0")
		time.Sleep(2 * settle)
		f.requireInForce(f.edit(0))
	}},
	{"more edits than the log holds while a domain is isolated", func(f *fleet) {
		f.setIsolated("d3", true)
		f.faults("d3", outage)
		var v uint64
		for i := range 150 {
			v = f.edit(i)
		}
		f.requireInForce(v, "d3")
		f.setIsolated("d3", false)
		f.requireInForce(v)
	}},
}

func TestInForceWithinBoundAndNeverRegresses(t *testing.T) {
	for _, c := range propagation {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, faultInstances)
				time.Sleep(settle)
				c.run(f)
				f.stopAll()
			})
		})
	}
}

// TestCostOfChanges measures the propagation time and the cost of a burst of
// 100 edits in 10 s on a large table. The cost must stay below 18 KB/s per
// instance, even for the one that makes all the edits.
func TestCostOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			loneEdits      = 20
			edits          = 100
			every          = 100 * time.Millisecond
			bytesPerSecond = 18_000
			base64         = 4.0 / 3.0 // overhead of values in platform responses
		)
		f := newFleet(t, costInstances)
		time.Sleep(settle)
		f.fill(costRows)
		time.Sleep(settle)
		lone := make(map[uint64]time.Time)
		for i := range loneEdits {
			lone[f.write(fmt.Sprintf("lone-%d", i), i, customer(i))] = time.Now()
			time.Sleep(settle)
		}
		f.logTimes(t, "lone edits", lone)
		before, editorBefore := f.totals(), f.edits.Totals()
		start := time.Now()
		written := make(map[uint64]time.Time)
		for i := range edits {
			written[f.write(fmt.Sprintf("burst-%d", i), i, customer(7*i))] = time.Now()
			time.Sleep(every)
		}
		after, editor, took := f.totals(), f.edits.Totals(), time.Since(start)
		f.requireInForce(costRows/fillRows + loneEdits + edits)
		f.logTimes(t, "burst", written)
		var sum totals
		busiest := 0.0
		for id, n := range after {
			n = n.minus(before[id])
			sum = sum.plus(n)
			busiest = max(busiest, (base64*float64(n.read)+float64(n.peers))/took.Seconds())
		}
		each := float64(len(f.order)) * edits
		t.Logf("burst of %d edits in %v, %d domains of %d instances, per instance and change: %.3f platform calls, %.0f bytes read from the platform, %.0f bytes to and from peers", edits, took, numDomains, costInstances, float64(sum.calls)/each, float64(sum.read)/each, float64(sum.peers)/each)
		t.Logf("busiest instance: %.0f B/s", busiest)
		sent, received := editor.Sent-editorBefore.Sent, editor.Received-editorBefore.Received
		rate := (float64(sent) + base64*float64(received)) / took.Seconds()
		t.Logf("editor per change: %.2f calls, %d bytes written, %d bytes of values read; %.0f B/s in the burst", float64(editor.All()-editorBefore.All())/edits, sent/edits, received/edits, rate)
		if busiest+rate > bytesPerSecond {
			t.Errorf("%.0f B/s at the busiest instance if it also makes the edits, more than %d", busiest+rate, bytesPerSecond)
		}
		f.stopAll()
	})
}

// totals is the cumulative cost of one instance.
type totals struct {
	calls int // platform calls
	read  int // bytes of values read from the platform
	peers int // bytes of messages, sent and received
}

func (t totals) plus(o totals) totals {
	return totals{t.calls + o.calls, t.read + o.read, t.peers + o.peers}
}

func (t totals) minus(o totals) totals {
	return totals{t.calls - o.calls, t.read - o.read, t.peers - o.peers}
}

func (f *fleet) totals() map[model.Instance]totals {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := make(map[model.Instance]totals)
	for id, inst := range f.instances {
		c := inst.fake.CallCounts.Totals()
		m[id] = totals{calls: c.All(), read: c.Received, peers: f.bytes[id]}
	}
	return m
}

// logTimes logs the time until each edit was in force everywhere.
func (f *fleet) logTimes(t *testing.T, name string, written map[uint64]time.Time) {
	var times []time.Duration
	for v, at := range written {
		times = append(times, f.lastInForce(v).Sub(at))
	}
	slices.Sort(times)
	t.Logf("%s: time until in force everywhere: median %v, 99th percentile %v, longest %v", name, times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
}

// lastInForce returns when the last instance had a version or a later one.
func (f *fleet) lastInForce(version uint64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last time.Time
	for _, inst := range f.instances {
		var first time.Time
		for v, at := range inst.inForceAt {
			if v >= version && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
		if first.After(last) {
			last = first
		}
	}
	return last
}
