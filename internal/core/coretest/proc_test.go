package coretest

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// proc is one incarnation of an instance.
type proc struct {
	w           *world
	host        *host
	member      shard.Member
	core        *core.Reducer
	clockOffset time.Duration // error of its clock

	dead           bool
	paused         bool
	pauseAfterStep bool // pauses between the next step and its effects
	leaving        bool
	queuedEvents   []core.Event   // received while paused
	queuedEffects  []core.Effects // not applied before the pause

	links    map[string]*link // by address
	byName   map[model.Instance]*link
	requests map[uint64]*request // by request ID
	nextID   uint64
}

func (p *proc) clock() model.Time { return p.w.now.Add(p.clockOffset) }

// deliver passes an event to the reducer, or queues it while the process is
// paused.
func (p *proc) deliver(e core.Event) {
	if p.dead {
		return
	}
	if p.paused {
		p.queuedEvents = append(p.queuedEvents, e)
		return
	}
	p.core.Step(p.clock(), e)
	effects := p.core.Ready()
	if p.pauseAfterStep {
		p.pauseAfterStep = false
		p.pause()
	}
	p.apply(effects)
}

func (p *proc) tick() {
	if p.dead {
		return
	}
	if !p.paused {
		p.deliver(core.Tick{})
		p.exitIfDone()
	}
	p.w.after(sched.TickInterval, p.tick)
}

func (p *proc) apply(e core.Effects) {
	if p.dead {
		return
	}
	if p.paused {
		p.queuedEffects = append(p.queuedEffects, e)
		return
	}
	p.dial(e.Dial)
	for _, s := range e.Sends {
		if l := p.byName[s.To]; l != nil {
			l.send(s.Message)
		}
	}
	for _, st := range e.Starts {
		p.start(st)
	}
	for _, r := range e.Replies {
		p.reply(r)
	}
	if e.WriteViews != nil {
		p.w.platform.write(p, *e.WriteViews)
	}
	if e.ReadViews {
		p.w.platform.read(p)
	}
}

func (p *proc) pause() {
	if !p.paused {
		p.w.tracef("pause %s", p.member.Incarnation)
	}
	p.paused = true
}

func (p *proc) resume() {
	p.pauseAfterStep = false
	if !p.paused {
		return
	}
	p.w.tracef("resume %s", p.member.Incarnation)
	p.paused = false
	effects, events := p.queuedEffects, p.queuedEvents
	p.queuedEffects, p.queuedEvents = nil, nil
	for _, e := range effects {
		p.apply(e)
	}
	for _, l := range p.ordered() {
		l.onResume()
	}
	for _, e := range events {
		p.deliver(e)
	}
}

// kill ends the process. Messages already sent may still arrive.
func (p *proc) kill() {
	if p.dead {
		return
	}
	p.w.tracef("kill %s", p.member.Incarnation)
	for _, l := range p.ordered() {
		l.flushOnKill()
	}
	p.dead = true
	p.host.proc = nil
	for id := uint64(1); id <= p.nextID; id++ {
		if q := p.requests[id]; q != nil {
			delete(p.requests, id)
			q.retryElsewhere()
		}
	}
}

// stop starts a graceful shutdown.
func (p *proc) stop() {
	p.w.tracef("stop %s", p.member.Incarnation)
	p.leaving = true
	if p.w.platform.reachable(p) {
		p.w.platform.announce(p)
	}
	p.deliver(core.Stop{})
	p.w.after(10*time.Second, p.kill)
}

func (p *proc) exitIfDone() {
	if p.leaving && !p.paused && p.core.OpenJobs() == 0 && p.core.PendingHandovers() == 0 && len(p.requests) == 0 {
		p.kill()
	}
}

// ordered returns the links in the order of the hosts.
func (p *proc) ordered() []*link {
	var list []*link
	for _, h := range p.w.hosts {
		if l := p.links[h.addr]; l != nil {
			list = append(list, l)
		}
	}
	return list
}

func (p *proc) dial(list []core.InstanceInfo) {
	if list == nil {
		return
	}
	keep := make(map[string]bool)
	for _, i := range list {
		keep[i.Addr] = true
		if p.links[i.Addr] == nil {
			l := &link{p: p, addr: i.Addr}
			p.links[i.Addr] = l
			p.w.after(p.w.between(0, 2), l.connect)
		}
	}
	for _, l := range p.ordered() {
		if !keep[l.addr] {
			l.closed = true
			delete(p.links, l.addr)
		}
	}
}

// link delivers messages to the process at an address, in order and exactly
// once, until its session is reset.
type link struct {
	p                 *proc
	addr              string
	closed            bool
	reset             bool
	up                bool
	dialedAt          model.Time // start of the current attempt, by the clock of p
	to                *proc      // remote end of the connection
	member            shard.Member
	queue             []*peerpb.Message
	delivering        bool
	unresponsiveSince model.Time // 0 if the peer responds
}

const (
	pollInterval     = 40 * time.Millisecond
	keepAliveTimeout = 1500 * time.Millisecond
)

func (l *link) gone() bool { return l.closed || l.p.dead }

// peerResponds reports whether the remote process responds.
func (l *link) peerResponds() bool {
	return !l.to.paused && !l.p.w.separated(l.p.host.domain, l.to.host.domain)
}

// connect starts a connection attempt.
func (l *link) connect() {
	if l.gone() {
		return
	}
	if l.p.paused {
		l.p.w.after(pollInterval, l.connect)
		return
	}
	l.dialedAt = l.p.clock()
	h := l.p.w.hostAt(l.addr)
	l.to = h.proc
	separated := l.p.w.separated(l.p.host.domain, h.domain)
	if l.to == nil && !separated {
		l.p.deliver(core.PeerRefused{Addr: l.addr, DialedAt: l.dialedAt})
		l.redial()
		return
	}
	if l.to == nil {
		l.p.w.after(silenceBound, l.timeOut)
		return
	}
	l.p.w.after(l.p.w.between(1, 2), l.await)
}

func (l *link) redial() { l.p.w.after(l.p.w.between(50, 500), l.connect) }

func (l *link) timeOut() {
	if l.gone() {
		return
	}
	l.p.deliver(core.PeerTimeout{Addr: l.addr, DialedAt: l.dialedAt})
	l.redial()
}

// await polls whether the attempt has been answered.
func (l *link) await() {
	switch {
	case l.gone():
	case l.p.paused:
		l.p.w.after(pollInterval, l.await)
	case l.p.clock().Sub(l.dialedAt) >= silenceBound:
		l.timeOut()
	case l.to.dead:
		l.p.deliver(core.PeerDown{Addr: l.addr})
		l.redial()
	case !l.peerResponds():
		l.p.w.after(pollInterval, l.await)
	default:
		l.established()
	}
}

func (l *link) established() {
	fresh := l.reset || l.member != l.to.member
	if fresh {
		l.queue = nil
	}
	l.reset = false
	l.up = true
	l.unresponsiveSince = 0
	l.member = l.to.member
	l.p.byName[l.member.Instance] = l
	l.p.deliver(core.PeerUp{
		Addr:         l.addr,
		Member:       l.member,
		Domain:       l.to.host.domain,
		DialedAt:     l.dialedAt,
		SessionReset: fresh,
	})
	l.watch()
	l.deliverQueued()
}

// watch closes a connection whose remote end is gone or unresponsive.
func (l *link) watch() {
	if l.gone() || !l.up {
		return
	}
	if l.to.dead {
		l.down()
		return
	}
	switch {
	case l.peerResponds():
		l.unresponsiveSince = 0
	case l.unresponsiveSince == 0:
		l.unresponsiveSince = l.p.w.now
	case l.p.w.now.Sub(l.unresponsiveSince) >= keepAliveTimeout && !l.p.paused:
		l.down()
		return
	}
	l.p.w.after(pollInterval, l.watch)
}

func (l *link) down() {
	l.up = false
	l.p.deliver(core.PeerDown{Addr: l.addr})
	l.p.w.after(l.p.w.between(1, 50), l.connect)
}

// resetSession resets the session; messages in flight are lost.
func (l *link) resetSession() {
	l.queue = nil
	l.reset = true
	if l.up {
		l.down()
	}
}

// onResume times out an attempt that expired while this end was paused.
func (l *link) onResume() {
	if !l.up && l.dialedAt != 0 && l.p.clock().Sub(l.dialedAt) >= silenceBound {
		l.p.deliver(core.PeerTimeout{Addr: l.addr, DialedAt: l.dialedAt})
	}
}

func (l *link) send(m *peerpb.Message) {
	if l.reset {
		return
	}
	if l.p.w.resultLossPercent > 0 && m.GetRemoteResult() != nil && l.p.w.chance(l.p.w.resultLossPercent) {
		l.p.w.tracef("lose session %s to %s", l.p.member.Incarnation, l.addr)
		l.resetSession()
		return
	}
	l.queue = append(l.queue, proto.Clone(m).(*peerpb.Message))
	l.deliverQueued()
}

// deliverQueued delivers the queue in order.
func (l *link) deliverQueued() {
	if l.delivering || len(l.queue) == 0 {
		return
	}
	l.delivering = true
	l.p.w.after(l.delay(), func() {
		l.delivering = false
		if l.gone() || !l.up {
			return
		}
		if len(l.queue) == 0 || l.to.dead {
			return
		}
		if l.p.paused || l.p.w.separated(l.p.host.domain, l.to.host.domain) {
			l.p.w.after(pollInterval, l.deliverQueued)
			return
		}
		l.deliver(1 + l.p.w.rng.IntN(len(l.queue)))
		l.deliverQueued()
	})
}

func (l *link) delay() time.Duration {
	if l.p.w.slowLinks {
		return l.p.w.between(0, 400)
	}
	return l.p.w.between(0, 2)
}

func (l *link) deliver(n int) {
	msgs := l.queue[:n]
	l.queue = l.queue[n:]
	for _, m := range msgs {
		l.to.deliver(core.PeerMessage{From: l.p.member, Message: m})
	}
}

// flushOnKill delivers some of the messages that a killed process had queued.
func (l *link) flushOnKill() {
	if !l.up || l.to.dead || len(l.queue) == 0 || !l.peerResponds() {
		return
	}
	msgs := l.queue[:l.p.w.rng.IntN(len(l.queue)+1)]
	l.queue = nil
	to, from := l.to, l.p.member
	l.p.w.after(l.delay(), func() {
		for _, m := range msgs {
			to.deliver(core.PeerMessage{From: from, Message: m})
		}
	})
}
