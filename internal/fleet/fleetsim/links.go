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
	lastArrivalAt fleet.Time // arrival of the last message; messages stay in order
	lastSentAt    fleet.Time
}

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
	l.up = false
	l.lastArrivalAt = 0
	serial := l.serial
	w.later(a, 2*w.delay(a.member.Domain, b.member.Domain), func() {
		if l.serial != serial {
			return
		}
		if !a.isolated && !b.isolated && !b.frozen && b.alive {
			l.up = true
			w.step(a, fleet.LinkUp{Peer: b.member})
			return
		}
		w.step(a, fleet.LinkDown{Peer: b.member, Refused: a.refusesLinks || b.refusesLinks || !b.alive && !a.isolated})
		w.later(a, redialInterval, func() {
			if l.serial == serial {
				w.connect(a, b)
			}
		})
	})
}

func (w *World) send(n *simInstance, x fleet.SendPeer) {
	to := w.instance(x.To.Instance)
	from, l := n.member, n.linkTo(to)
	if !l.up || n.isolated || to.isolated {
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
				w.step(to, fleet.PeerMessage{From: from, ReceivedAt: w.now, Message: x.Message})
			}
		})
	})
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
// is the worst order: they tell what was cancelled while it was frozen.
func (w *World) wake(n *simInstance) {
	n.frozen = false
	slices.SortStableFunc(n.deferred, func(a, b deferred) int {
		switch {
		case a.message == b.message:
			return 0
		case b.message:
			return -1
		}
		return 1
	})
	waiting := n.deferred
	n.deferred = nil
	for _, d := range waiting {
		d.f()
	}
}
