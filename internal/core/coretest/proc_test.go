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

// proc is one process start of an instance.
type proc struct {
	w      *world
	host   *host
	member shard.Member
	core   *core.Reducer
	offset time.Duration // error of its clock

	dead     bool
	paused   bool
	pauseMid bool // pauses between the next step and its effects
	leaving  bool
	events   []core.Event   // came while it was paused
	held     []core.Effects // not carried out before the pause

	links  map[string]*link // by address
	byName map[model.Instance]*link
	asked  map[uint64]*request // by request ID
	nextID uint64
}

func (p *proc) clock() model.Time { return p.w.now.Add(p.offset) }

// take hands an event to the reducer, once the process runs.
func (p *proc) take(e core.Event) {
	if p.dead {
		return
	}
	if p.paused {
		p.events = append(p.events, e)
		return
	}
	p.core.Step(p.clock(), e)
	effects := p.core.Ready()
	if p.pauseMid {
		p.pauseMid = false
		p.pause()
	}
	p.carry(effects)
}

func (p *proc) tick() {
	if p.dead {
		return
	}
	if !p.paused {
		p.take(core.Tick{})
		p.exitIfDone()
	}
	p.w.after(sched.TickInterval, p.tick)
}

func (p *proc) carry(e core.Effects) {
	if p.dead {
		return
	}
	if p.paused {
		p.held = append(p.held, e)
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
		p.w.note("pause %s", p.member.Incarnation)
	}
	p.paused = true
}

func (p *proc) resume() {
	p.pauseMid = false
	if !p.paused {
		return
	}
	p.w.note("resume %s", p.member.Incarnation)
	p.paused = false
	held, events := p.held, p.events
	p.held, p.events = nil, nil
	for _, e := range held {
		p.carry(e)
	}
	for _, l := range p.ordered() {
		l.resumed()
	}
	for _, e := range events {
		p.take(e)
	}
}

// kill ends the process. What it has sent may still arrive.
func (p *proc) kill() {
	if p.dead {
		return
	}
	p.w.note("kill %s", p.member.Incarnation)
	for _, l := range p.ordered() {
		l.lastWords()
	}
	p.dead = true
	p.host.proc = nil
	for id := uint64(1); id <= p.nextID; id++ {
		if q := p.asked[id]; q != nil {
			delete(p.asked, id)
			q.broken()
		}
	}
}

// stop begins a graceful stop.
func (p *proc) stop() {
	p.w.note("stop %s", p.member.Incarnation)
	p.leaving = true
	if p.w.platform.reachable(p) {
		p.w.platform.announce(p)
	}
	p.take(core.Stop{})
	p.w.after(10*time.Second, p.kill)
}

func (p *proc) exitIfDone() {
	if p.leaving && !p.paused && p.core.OpenJobs() == 0 && p.core.PendingHandovers() == 0 && len(p.asked) == 0 {
		p.kill()
	}
}

// ordered returns the links by address of the hosts.
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

// link sends to the process at an address, in order and once, until it is
// reset.
type link struct {
	p      *proc
	addr   string
	closed bool
	reset  bool
	up     bool
	began  model.Time // of the attempt under way, by the clock of p
	to     *proc      // whom the connection goes to
	member shard.Member
	queue  []*peerpb.Message
	pumps  bool
	since  model.Time // when the peer stopped answering, 0 if it answers
}

const (
	pollInterval = 40 * time.Millisecond
	keepAlive    = 1500 * time.Millisecond
)

func (l *link) gone() bool { return l.closed || l.p.dead }

// answers reports whether the process at the other end can be talked to.
func (l *link) answers() bool {
	return !l.to.paused && !l.p.w.separated(l.p.host.domain, l.to.host.domain)
}

// connect begins an attempt.
func (l *link) connect() {
	if l.gone() {
		return
	}
	if l.p.paused {
		l.p.w.after(pollInterval, l.connect)
		return
	}
	l.began = l.p.clock()
	h := l.p.w.hostAt(l.addr)
	l.to = h.proc
	cut := l.p.w.separated(l.p.host.domain, h.domain)
	if l.to == nil && !cut {
		l.p.take(core.PeerRefused{Addr: l.addr, DialedAt: l.began})
		l.again()
		return
	}
	if l.to == nil {
		l.p.w.after(silence, l.unanswered)
		return
	}
	l.p.w.after(l.p.w.between(1, 2), l.await)
}

func (l *link) again() { l.p.w.after(l.p.w.between(50, 500), l.connect) }

func (l *link) unanswered() {
	if l.gone() {
		return
	}
	l.p.take(core.PeerTimeout{Addr: l.addr, DialedAt: l.began})
	l.again()
}

// await looks whether the attempt has been answered.
func (l *link) await() {
	switch {
	case l.gone():
	case l.p.paused:
		l.p.w.after(pollInterval, l.await)
	case l.p.clock().Sub(l.began) >= silence:
		l.unanswered()
	case l.to.dead:
		l.p.take(core.PeerDown{Addr: l.addr})
		l.again()
	case !l.answers():
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
	l.since = 0
	l.member = l.to.member
	l.p.byName[l.member.Instance] = l
	l.p.take(core.PeerUp{
		Addr:         l.addr,
		Member:       l.member,
		Domain:       l.to.host.domain,
		DialedAt:     l.began,
		SessionReset: fresh,
	})
	l.watch()
	l.pump()
}

// watch breaks a connection whose other end is gone or has gone silent.
func (l *link) watch() {
	if l.gone() || !l.up {
		return
	}
	if l.to.dead {
		l.down()
		return
	}
	switch {
	case l.answers():
		l.since = 0
	case l.since == 0:
		l.since = l.p.w.now
	case l.p.w.now.Sub(l.since) >= keepAlive && !l.p.paused:
		l.down()
		return
	}
	l.p.w.after(pollInterval, l.watch)
}

func (l *link) down() {
	l.up = false
	l.p.take(core.PeerDown{Addr: l.addr})
	l.p.w.after(l.p.w.between(1, 50), l.connect)
}

// drop resets the session: everything under way is lost.
func (l *link) drop() {
	l.queue = nil
	l.reset = true
	if l.up {
		l.down()
	}
}

// resumed times out an attempt that the pause of this end has outlasted.
func (l *link) resumed() {
	if !l.up && l.began != 0 && l.p.clock().Sub(l.began) >= silence {
		l.p.take(core.PeerTimeout{Addr: l.addr, DialedAt: l.began})
	}
}

func (l *link) send(m *peerpb.Message) {
	if l.reset {
		return
	}
	if l.p.w.lossy > 0 && m.GetRemoteResult() != nil && l.p.w.chance(l.p.w.lossy) {
		l.p.w.note("lose session %s to %s", l.p.member.Incarnation, l.addr)
		l.drop()
		return
	}
	l.queue = append(l.queue, proto.Clone(m).(*peerpb.Message))
	l.pump()
}

// pump delivers the queue in order.
func (l *link) pump() {
	if l.pumps || len(l.queue) == 0 {
		return
	}
	l.pumps = true
	l.p.w.after(l.delay(), func() {
		l.pumps = false
		if l.gone() || !l.up {
			return
		}
		if len(l.queue) == 0 || l.to.dead {
			return
		}
		if l.p.paused || l.p.w.separated(l.p.host.domain, l.to.host.domain) {
			l.p.w.after(pollInterval, l.pump)
			return
		}
		l.deliver(1 + l.p.w.rng.IntN(len(l.queue)))
		l.pump()
	})
}

func (l *link) delay() time.Duration {
	if l.p.w.slow {
		return l.p.w.between(0, 400)
	}
	return l.p.w.between(0, 2)
}

func (l *link) deliver(n int) {
	msgs := l.queue[:n]
	l.queue = l.queue[n:]
	for _, m := range msgs {
		l.to.take(core.PeerMessage{From: l.p.member, Message: m})
	}
}

// lastWords delivers what a dying process has already sent.
func (l *link) lastWords() {
	if !l.up || l.to.dead || len(l.queue) == 0 || !l.answers() {
		return
	}
	msgs := l.queue[:l.p.w.rng.IntN(len(l.queue)+1)]
	l.queue = nil
	to, from := l.to, l.p.member
	l.p.w.after(l.delay(), func() {
		for _, m := range msgs {
			to.take(core.PeerMessage{From: from, Message: m})
		}
	})
}
