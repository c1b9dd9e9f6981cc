package fleetsim

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// Timing of links between real processes.
const (
	redialMin        = 30 * time.Millisecond // after a connection has ended
	redialMax        = 60 * time.Millisecond
	handshakeTimeout = 500 * time.Millisecond
)

// maxTickDelay is the longest time from the wake of an instance to the tick that it missed.
const maxTickDelay = 2 * time.Millisecond

// inputProbe measures how far an instance lags behind its input, as in package node: a
// byte sent at a tick waits in the input queue and tells the send time of the one before.
type inputProbe struct {
	inFlight bool
	sentAt   fleet.Time // of the last byte, 0 if there was none
}

// probeInput sends the next byte of the input probe, unless one is in flight.
func (w *World) probeInput(n *simInstance) {
	if n.probe.inFlight {
		return
	}
	earlier := n.probe.sentAt
	n.probe.sentAt = w.now
	if earlier != 0 {
		n.probe.inFlight = true
		w.step(n, fleet.InputProcessed{At: earlier})
	}
}

// timedTick passes a tick to an instance that probes its input.
func (w *World) timedTick(n *simInstance) {
	if n.frozen {
		n.missedTick = true
		return
	}
	w.step(n, fleet.Tick{})
	w.probeInput(n)
}

// replaceLink ends the connection from a to b and opens another one a little later, which
// drops what the first one still carries.
func (w *World) replaceLink(a, b *simInstance) {
	l := a.linkTo(b)
	if !l.up {
		return // another one is on its way
	}
	l.up = false
	serial := l.serial
	w.reportDown(a, l, fleet.LinkDown{Peer: b.member})
	w.later(a, w.redialDelay(), func() {
		if l.serial == serial {
			w.connect(a, b)
		}
	})
}

// ReplaceLinks replaces the links between two instances in both directions.
func (w *World) ReplaceLinks(a, b *simInstance) {
	w.replaceLink(a, b)
	w.replaceLink(b, a)
}

// redialDelay draws the time from the end of a connection to the next attempt.
func (w *World) redialDelay() time.Duration { return redialMin + w.upTo(redialMax-redialMin) }

// awaitHandshake calls f when b, which is frozen, can answer a handshake, or when that
// has taken too long.
func (w *World) awaitHandshake(a, b *simInstance, f func()) {
	over := false
	once := func() {
		if !over {
			over = true
			f()
		}
	}
	w.whenAwake(b, false, once)
	w.later(a, handshakeTimeout, once)
}
