package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/policy"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// ViewLoad is the size of the failure domain whose view changes are measured.
type ViewLoad struct {
	Instances int `json:"instances"`
	Shards    int `json:"shards"`
}

// ViewResult counts the platform calls of the instances of a failure domain for
// one membership change.
type ViewResult struct {
	Change string `json:"change"`
	ViewLoad
	Writes     int     `json:"writes"`    // successful compare-and-swaps
	Conflicts  int     `json:"conflicts"` // compare-and-swaps that lost a race
	Reads      int     `json:"reads"`     // reads requested by a plan
	Wakes      float64 `json:"wakes"`     // watch answers per instance
	PeakCalls  int     `json:"peak_calls"`
	SettledMs  int64   `json:"settled_ms"`  // from the change to the last write
	DocBytes   int     `json:"doc_bytes"`   // size of the document at the end
	WatchBytes int     `json:"watch_bytes"` // received by one instance's watch
}

// ViewLoads returns the sizes to measure.
func ViewLoads() []ViewLoad {
	return []ViewLoad{{2, 32}, {4, 32}, {8, 32}, {16, 32}, {24, 32}, {8, 128}, {24, 128}}
}

// Fixed parameters of a view measurement.
const (
	platformDelay  = 3 * time.Millisecond // duration of a platform call
	silenceBound   = 2 * time.Second
	redialInterval = time.Second
	leaseTTL       = 15 * time.Second
	settleTime     = 10 * time.Second
	tickInterval   = 20 * time.Millisecond
)

// MeasureViews starts all instances of a domain, then kills one, starts a
// replacement, and stops another one gracefully.
func MeasureViews(l ViewLoad) ([]ViewResult, error) {
	b := newViewsBench(l)
	var results []ViewResult
	measure := func(change string, act func()) {
		b.counts = viewCounts{}
		begin := b.timeline.now
		act()
		b.timeline.runUntil(b.timeline.now.Add(settleTime + leaseTTL))
		results = append(results, b.result(change, begin))
	}
	measure("all start", func() {
		for i := range l.Instances {
			b.start(i)
		}
	})
	if err := b.checkSettled(l.Instances); err != nil {
		return nil, err
	}
	measure("one is lost", func() { b.kill(0) })
	measure("a replacement joins", func() { b.start(0) })
	if err := b.checkSettled(l.Instances); err != nil {
		return nil, err
	}
	measure("one leaves", func() { b.leave(1) })
	return results, nil
}

type viewCounts struct {
	writes, conflicts, reads, wakes int
	lastWrite                       model.Time
	perSecond                       map[int64]int
}

// viewsBench has the reducers of one domain, a fake platform and fake links.
type viewsBench struct {
	load      ViewLoad
	timeline  timeline
	instances []*viewInstance // latest process of each instance
	doc       core.ViewsDoc
	index     uint64
	change    uint64 // number of changes visible to watches
	listed    []core.InstanceInfo
	counts    viewCounts
	starts    int
}

type viewInstance struct {
	info     core.InstanceInfo
	core     *core.Reducer
	alive    bool
	seen     uint64 // latest change that its watch has returned
	watching bool   // its watch is waiting for a change
	dialed   map[string]bool
}

func newViewsBench(l ViewLoad) *viewsBench {
	b := &viewsBench{load: l, instances: make([]*viewInstance, l.Instances)}
	b.timeline.now = model.Time(firstKeyTimeMs * int64(time.Millisecond))
	return b
}

func (b *viewsBench) start(i int) {
	b.starts++
	info := core.InstanceInfo{
		Member: shard.Member{
			Instance:    instanceName(i),
			Incarnation: model.Incarnation(fmt.Sprintf("0123456789abcdef%08d", b.starts)),
		},
		Domain: "domain-0",
		Addr:   fmt.Sprintf("10.0.0.%d:%d", i, 7000+b.starts),
	}
	n := &viewInstance{info: info, alive: true, dialed: make(map[string]bool)}
	n.core = core.New(core.Options{
		Self: info.Member, Domain: info.Domain, Addr: info.Addr, ShardsPerDomain: b.load.Shards,
		Replicate: true, SilenceBound: silenceBound, Shard: shard.DefaultOptions(), Policy: policy.New("capacity"),
	})
	b.instances[i] = n
	b.list(info)
	b.timeline.schedule(b.timeline.now, func() { b.tick(n) })
	b.watch(n)
}

func (b *viewsBench) tick(n *viewInstance) {
	if !n.alive {
		return
	}
	b.step(n, core.Tick{})
	b.timeline.schedule(b.timeline.now.Add(tickInterval), func() { b.tick(n) })
}

func (b *viewsBench) list(info core.InstanceInfo) {
	b.unlist(info.Member.Instance)
	b.listed = append(b.listed, info)
	b.notifyWatches()
}

func (b *viewsBench) unlist(name model.Instance) {
	kept := make([]core.InstanceInfo, 0, len(b.listed))
	for _, i := range b.listed {
		if i.Member.Instance != name {
			kept = append(kept, i)
		}
	}
	b.listed = kept
}

// kill ends a process without notice. Its lease expires later.
func (b *viewsBench) kill(i int) {
	dead := b.instances[i]
	dead.alive = false
	for _, n := range b.instances {
		if n != dead && n.alive {
			b.step(n, core.PeerDown{Addr: dead.info.Addr})
			n.dialed[dead.info.Addr] = false
			b.dial(n, dead.info.Addr)
		}
	}
	b.timeline.schedule(b.timeline.now.Add(leaseTTL), func() {
		b.unlist(dead.info.Member.Instance)
		b.notifyWatches()
	})
}

func (b *viewsBench) leave(i int) {
	n := b.instances[i]
	n.info.Leaving = true
	b.list(n.info)
	b.step(n, core.Stop{})
}

// notifyWatches wakes the waiting watches.
func (b *viewsBench) notifyWatches() {
	b.change++
	for _, n := range b.instances {
		if n != nil && n.alive && n.watching {
			b.watch(n)
		}
	}
}

// watch answers an instance's watch if there is a new change.
func (b *viewsBench) watch(n *viewInstance) {
	n.watching = n.seen == b.change
	if n.watching || !n.alive {
		return
	}
	b.timeline.schedule(b.timeline.now.Add(platformDelay), func() {
		n.seen = b.change
		b.countCall(&b.counts.wakes)
		b.step(n, core.Instances{List: b.listed})
		b.step(n, core.Views{Domain: n.info.Domain, Index: b.index, Doc: b.doc})
		b.watch(n)
	})
}

func (b *viewsBench) countCall(counter *int) {
	*counter++
	if b.counts.perSecond == nil {
		b.counts.perSecond = make(map[int64]int)
	}
	b.counts.perSecond[int64(b.timeline.now)/int64(time.Second)]++
}

func (b *viewsBench) step(n *viewInstance, e core.Event) {
	if !n.alive {
		return
	}
	n.core.Step(b.timeline.now, e)
	b.applyEffects(n, n.core.Ready())
}

func (b *viewsBench) applyEffects(n *viewInstance, out core.Effects) {
	for _, i := range out.Dial {
		b.dial(n, i.Addr)
	}
	for _, s := range out.Sends {
		b.send(n, s)
	}
	if out.WriteViews != nil {
		w := *out.WriteViews
		b.timeline.schedule(b.timeline.now.Add(platformDelay), func() { b.write(n, w) })
	}
	if out.ReadViews {
		began := b.timeline.now
		b.timeline.schedule(b.timeline.now.Add(platformDelay), func() {
			b.countCall(&b.counts.reads)
			b.step(n, core.Views{Domain: n.info.Domain, Index: b.index, Doc: b.doc, ReadAt: began})
		})
	}
}

func (b *viewsBench) write(n *viewInstance, w core.WriteViews) {
	if w.Index != b.index {
		b.countCall(&b.counts.conflicts)
		b.step(n, core.ViewsWritten{Outcome: core.WriteConflict, Doc: w.Doc})
		return
	}
	b.index++
	b.doc = w.Doc
	b.counts.lastWrite = b.timeline.now
	b.countCall(&b.counts.writes)
	b.notifyWatches()
	b.step(n, core.ViewsWritten{Outcome: core.WriteApplied, Index: b.index, Doc: w.Doc})
}

// dial retries an address until a process answers.
func (b *viewsBench) dial(n *viewInstance, addr string) {
	if n.dialed[addr] {
		return
	}
	n.dialed[addr] = true
	b.timeline.schedule(b.timeline.now.Add(2*oneWayDelay), func() { b.dialOnce(n, addr) })
}

func (b *viewsBench) dialOnce(n *viewInstance, addr string) {
	if to := b.instanceAt(addr); to != nil {
		b.step(n, core.PeerUp{Addr: addr, Member: to.info.Member, Domain: to.info.Domain, DialedAt: b.timeline.now, SessionReset: true})
		return
	}
	b.step(n, core.PeerRefused{Addr: addr, DialedAt: b.timeline.now})
	if n.alive {
		b.timeline.schedule(b.timeline.now.Add(redialInterval), func() { b.dialOnce(n, addr) })
	}
}

func (b *viewsBench) instanceAt(addr string) *viewInstance {
	for _, n := range b.instances {
		if n != nil && n.alive && n.info.Addr == addr {
			return n
		}
	}
	return nil
}

func (b *viewsBench) send(from *viewInstance, s core.Send) {
	b.timeline.schedule(b.timeline.now.Add(oneWayDelay), func() {
		for _, n := range b.instances {
			if n != nil && n.info.Member.Instance == s.To {
				b.step(n, core.PeerMessage{From: from.info.Member, Message: s.Message})
			}
		}
	})
}

// checkSettled returns an error unless every shard has as many members as possible.
func (b *viewsBench) checkSettled(alive int) error {
	want := min(2, alive)
	for i := range b.load.Shards {
		if i >= len(b.doc.Shards) || len(b.doc.Shards[i].Members) != want {
			return fmt.Errorf("views of %+v did not settle: shard %d lacks members; see docs/design/01-replication.md", b.load, i)
		}
	}
	return nil
}

func (b *viewsBench) result(change string, begin model.Time) ViewResult {
	doc, err := json.Marshal(b.doc)
	if err != nil {
		panic(err) // the document can always be encoded
	}
	f := ViewResult{
		Change:    change,
		ViewLoad:  b.load,
		Writes:    b.counts.writes,
		Conflicts: b.counts.conflicts,
		Reads:     b.counts.reads,
		Wakes:     float64(b.counts.wakes) / float64(b.load.Instances),
		DocBytes:  len(doc),
	}
	f.WatchBytes = int(f.Wakes * float64(f.DocBytes) * base64Factor)
	for _, n := range b.counts.perSecond {
		f.PeakCalls = max(f.PeakCalls, n)
	}
	if b.counts.lastWrite != 0 {
		f.SettledMs = b.counts.lastWrite.Sub(begin).Milliseconds()
	}
	return f
}

// base64Factor is the growth of values by the base64 encoding of the platform's
// API.
const base64Factor = 4.0 / 3
