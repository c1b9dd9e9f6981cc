package coretest

import (
	"encoding/json"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

const (
	callTimeout = 2 * time.Second
	retryDelay  = 300 * time.Millisecond
)

// document is a stored value and its modification index.
type document struct {
	index uint64
	value []byte
}

// lease is an entry of the instance list.
type lease struct {
	info      core.InstanceInfo
	expiresAt model.Time
}

// platform is a register with compare-and-swap and a lagging list of instances.
type platform struct {
	w                *world
	down             bool
	lateWritePercent int      // percentage of writes that take effect late or never, with their replies lost
	isolatedProc     *proc    // process that can't reach the platform
	delayedWriter    *proc    // process whose writes are held back
	delayedWrites    []func() // each applies a held-back write
	index            uint64
	docs             map[model.Domain]document
	leases           map[shard.Member]lease
	order            []shard.Member
}

func newPlatform(w *world) *platform {
	return &platform{
		w:      w,
		docs:   make(map[model.Domain]document),
		leases: make(map[shard.Member]lease),
	}
}

func (pl *platform) heal() {
	pl.down = false
	pl.lateWritePercent = 0
	pl.isolatedProc = nil
	pl.delayedWriter = nil
}

func (pl *platform) reachable(p *proc) bool {
	return !pl.down && !pl.w.isolated[p.host.domain] && pl.isolatedProc != p
}

// serve renews the lease of a process and notifies it of changes.
func (pl *platform) serve(p *proc) {
	pl.renew(p)
	pl.watch(p, 0)
}

func (pl *platform) renew(p *proc) {
	if p.dead {
		return
	}
	if !p.paused && pl.reachable(p) {
		pl.announce(p)
	}
	pl.w.after(500*time.Millisecond, func() { pl.renew(p) })
}

func (pl *platform) announce(p *proc) {
	info := core.InstanceInfo{
		Member:  p.member,
		Domain:  p.host.domain,
		Addr:    p.host.addr,
		Leaving: p.leaving,
	}
	old, listed := pl.leases[p.member]
	if !listed {
		pl.order = append(pl.order, p.member)
	}
	if old.info != info || old.expiresAt < pl.w.now {
		pl.index++
	}
	pl.leases[p.member] = lease{info: info, expiresAt: pl.w.now.Add(sessionTTL)}
}

func (pl *platform) list() []core.InstanceInfo {
	var list []core.InstanceInfo
	for _, m := range pl.order {
		if l := pl.leases[m]; l.expiresAt >= pl.w.now {
			list = append(list, l.info)
		}
	}
	return list
}

// watch sends the documents and the instance list to a process when they have
// changed, and occasionally otherwise since leases expire.
func (pl *platform) watch(p *proc, seen uint64) {
	if p.dead {
		return
	}
	if pl.reachable(p) && !p.paused && (seen != pl.index || pl.w.chance(5)) {
		seen = pl.index
		list := pl.list()
		views := pl.views()
		pl.w.after(pl.w.between(1, 20), func() {
			for _, v := range views {
				p.deliver(v)
			}
			p.deliver(core.Instances{List: list})
		})
	}
	pl.w.after(pl.w.between(20, 60), func() { pl.watch(p, seen) })
}

func (pl *platform) views() []core.Views {
	var list []core.Views
	for _, d := range []model.Domain{"a", "b"} {
		list = append(list, pl.viewsOf(d))
	}
	return list
}

func (pl *platform) viewsOf(d model.Domain) core.Views {
	v := core.Views{Domain: d, Index: pl.docs[d].index}
	if pl.docs[d].index == 0 {
		return v
	}
	if err := json.Unmarshal(pl.docs[d].value, &v.Doc); err != nil {
		pl.w.fail("document of %s: %v", d, err)
	}
	return v
}

func (pl *platform) read(p *proc) {
	startedAt := p.clock()
	if !pl.reachable(p) {
		pl.w.after(retryDelay, func() { p.deliver(core.ViewsReadFailed{}) })
		return
	}
	pl.w.after(pl.w.between(1, 5), func() {
		v := pl.viewsOf(p.host.domain)
		v.ReadAt = startedAt
		pl.w.after(pl.w.between(1, 5), func() { p.deliver(v) })
	})
}

// write performs a compare-and-swap. A write whose reply is lost may take
// effect long after its writer has given up.
func (pl *platform) write(p *proc, e core.WriteViews) {
	value, err := json.Marshal(e.Doc)
	if err != nil {
		pl.w.fail("encode document: %v", err)
	}
	d := p.host.domain
	switch {
	case pl.delayedWriter == p:
		pl.delayedWrites = append(pl.delayedWrites, func() { pl.compareAndSwap(d, e.Index, value) })
		pl.w.after(callTimeout, func() { p.deliver(core.ViewsWritten{Outcome: core.WriteUnknown}) })
	case !pl.reachable(p) && pl.w.chance(50):
		pl.w.after(pl.w.between(1, 5), func() { p.deliver(core.ViewsWritten{Outcome: core.WriteFailed}) })
	case !pl.reachable(p):
		pl.w.after(callTimeout, func() { p.deliver(core.ViewsWritten{Outcome: core.WriteUnknown}) })
	case pl.w.chance(pl.lateWritePercent):
		pl.w.tracef("late write of %s at index %d", p.member.Incarnation, e.Index)
		if pl.w.chance(80) {
			pl.w.after(pl.w.between(0, 6000), func() { pl.compareAndSwap(d, e.Index, value) })
		}
		pl.w.after(callTimeout, func() { p.deliver(core.ViewsWritten{Outcome: core.WriteUnknown}) })
	default:
		pl.w.after(pl.w.between(1, 5), func() {
			answer := core.ViewsWritten{Outcome: core.WriteConflict, Doc: e.Doc}
			if index := pl.compareAndSwap(d, e.Index, value); index != 0 {
				answer.Outcome = core.WriteApplied
				answer.Index = index
			}
			pl.w.after(pl.w.between(1, 5), func() { p.deliver(answer) })
		})
	}
}

func (pl *platform) compareAndSwap(d model.Domain, index uint64, value []byte) uint64 {
	if pl.docs[d].index != index {
		return 0
	}
	pl.index++
	pl.docs[d] = document{index: pl.index, value: value}
	pl.traceViews(d)
	return pl.index
}

func (pl *platform) traceViews(d model.Domain) {
	for i, v := range pl.viewsOf(d).Doc.Shards {
		pl.w.tracef("view %s/%d epoch %d members %v", d, i, v.Epoch, v.Members)
	}
}
