package fleetsim

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// redialInterval is the time between tries to link to an instance that doesn't
// answer.
const redialInterval = 100 * time.Millisecond

// simLink is the link on which one instance sends to another. Messages under way
// are lost with it.
type simLink struct {
	serial        int // of the connection; later ones replace earlier ones
	up            bool
	lastArrivalAt fleet.Time // arrival of the last message; the next comes later
	lastSentAt    fleet.Time // when the last message was sent
}

func (n *simInstance) linkTo(o *simInstance) *simLink {
	l := n.links[o.member.Instance]
	if l == nil {
		l = &simLink{}
		n.links[o.member.Instance] = l
	}
	return l
}

// connect connects one node to another in place of the last connection, or tells it
// that nobody is there and tries again.
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

// DelayLinks lets what an instance sends and receives wait in its link for d: messages
// and calls to backend servers.
func (w *World) DelayLinks(name model.Instance, lag, d time.Duration) {
	n := w.instance(name)
	n.lag = lag
	w.After(d, func() { n.lag = 0 })
}

// deferred is what waits until a frozen instance wakes.
type deferred struct {
	message bool // of another instance
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

// wake lets a frozen instance go on. It takes in messages of others last, which
// is the worst order: they tell what was given up while it was frozen.
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
