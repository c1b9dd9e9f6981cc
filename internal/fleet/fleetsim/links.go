package fleetsim

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// redialInterval is the time between attempts to connect to an unreachable instance.
const redialInterval = 100 * time.Millisecond

// simLink is the link for messages from one instance to another. Messages in transit
// are lost with it.
type simLink struct {
	serial        int // of the connection; a new connection gets a higher one
	up            bool
	lastArrivalAt fleet.Time          // arrival of the last message; messages stay in order
	inbox         []fleet.PeerMessage // received, not read yet
	lastSentAt    fleet.Time
	dialed        bool // the instance maintains it
}

// hangUp ends the connection and the attempts to establish it.
func (l *simLink) hangUp() {
	l.serial++
	l.up, l.dialed = false, false
}

// dials reports whether an instance maintains its link to another.
func (n *simInstance) dials(o *simInstance) bool { return n.linkTo(o).dialed }

func (n *simInstance) linkTo(o *simInstance) *simLink {
	l := n.links[o.member.Instance]
	if l == nil {
		l = &simLink{}
		n.links[o.member.Instance] = l
	}
	return l
}

// connect establishes a new connection from a to b. If b is unreachable, it reports the
// link as down and retries.
func (w *World) connect(a, b *simInstance) {
	l := a.linkTo(b)
	l.serial++
	l.up, l.dialed = false, true
	l.lastArrivalAt = 0
	serial := l.serial
	finish := func() {
		if l.serial == serial {
			w.finishConnect(a, b, l)
		}
	}
	w.later(a, 2*w.delay(a.member.Domain, b.member.Domain), func() {
		if w.ProcessTiming && b.frozen {
			w.awaitHandshake(a, b, finish)
			return
		}
		finish()
	})
}

// finishConnect ends an attempt to connect a to b.
func (w *World) finishConnect(a, b *simInstance, l *simLink) {
	if !a.isolated && !b.isolated && !a.cutPeers[b] && !b.cutPeers[a] && !b.frozen && b.alive {
		l.up = true
		w.step(a, fleet.LinkUp{Peer: b.member})
		return
	}
	w.reportDown(a, l, fleet.LinkDown{Peer: b.member, Refused: a.refusesLinks || b.refusesLinks || !b.alive && !a.isolated})
	serial := l.serial
	w.later(a, redialInterval, func() {
		if l.serial == serial {
			w.connect(a, b)
		}
	})
}

// reportDown tells an instance that a link has ended, unless the link is up again when the
// instance takes the event: events of a link are in order.
func (w *World) reportDown(a *simInstance, l *simLink, e fleet.LinkDown) {
	incarnation := a.incarnation
	w.queue(a, func() {
		w.whenAwake(a, false, func() {
			if a.incarnation == incarnation && !l.up {
				w.stepNow(a, e)
			}
		})
	})
}

func (w *World) send(n *simInstance, x fleet.SendPeer) {
	to := w.instance(x.To.Instance)
	from, l := n.member, n.linkTo(to)
	if !l.up || n.isolated || to.isolated || n.cutPeers[to] {
		return
	}
	if w.onSend != nil {
		w.onSend(n.member.Instance, x)
	}
	serial := l.serial
	l.lastSentAt = w.now
	at := w.now.Add(w.delay(n.member.Domain, to.member.Domain) + n.lag + to.lag)
	l.lastArrivalAt = max(at, l.lastArrivalAt)
	w.later(to, l.lastArrivalAt.Sub(w.now), func() {
		w.whenAwake(to, true, func() {
			if l.serial == serial && to.member.Incarnation == x.To.Incarnation {
				w.receive(to, l, fleet.PeerMessage{From: from, ReceivedAt: w.now, Message: x.Message})
			}
		})
	})
}

// receive queues a message at an instance. Messages of a member are read in the order of
// their arrival.
func (w *World) receive(to *simInstance, l *simLink, e fleet.PeerMessage) {
	l.inbox = append(l.inbox, e)
	w.queue(to, func() { w.readMessage(to, l) })
}

// readMessage passes the first queued message of a member to an instance.
func (w *World) readMessage(to *simInstance, l *simLink) {
	if to.frozen {
		incarnation := to.incarnation
		w.whenAwake(to, true, func() {
			if to.incarnation == incarnation {
				w.queue(to, func() { w.readMessage(to, l) })
			}
		})
		return
	}
	e := l.inbox[0]
	l.inbox = l.inbox[1:]
	w.stepNow(to, e)
}

// queue calls f when an instance takes the event from its input queue that arrives now.
func (w *World) queue(n *simInstance, f func()) {
	longest := max(n.slowness, n.awakeAt.Sub(w.now))
	if longest <= 0 {
		f()
		return
	}
	w.later(n, w.upTo(longest), f)
}

// DelayLinks adds lag to the messages and server calls of an instance for d.
func (w *World) DelayLinks(name model.Instance, lag, d time.Duration) {
	n := w.instance(name)
	n.lag = lag
	w.After(d, func() { n.lag = 0 })
}

// deferred is an action deferred until a frozen instance wakes.
type deferred struct {
	message bool // from another instance
	f       func()
}

// whenAwake calls f now, or when the instance wakes.
func (w *World) whenAwake(n *simInstance, message bool, f func()) {
	if n.frozen {
		n.deferred = append(n.deferred, deferred{message, f})
		return
	}
	f()
}

// wake resumes a frozen instance. It processes messages of other instances last, which
// is the worst order: they tell what was cancelled while it was frozen. With a WakeTime,
// it reads what has arrived within that time, in any order but that of each sender.
func (w *World) wake(n *simInstance) {
	n.frozen = false
	waiting := n.deferred
	n.deferred = nil
	if w.WakeTime > 0 {
		n.awakeAt = w.now.Add(w.WakeTime)
	} else {
		slices.SortStableFunc(waiting, compareDeferred)
	}
	for _, d := range waiting {
		d.f()
	}
	if w.ProcessTiming && n.missedTick {
		w.later(n, w.upTo(maxTickDelay), func() { w.timedTick(n) })
	}
	n.missedTick = false
}

// compareDeferred orders messages after all else.
func compareDeferred(a, b deferred) int {
	switch {
	case a.message == b.message:
		return 0
	case b.message:
		return -1
	}
	return 1
}
