package fleetsim

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// cutPath is how the path of calls from an instance to a server is cut.
type cutPath int

const (
	cutNone    cutPath = iota
	cutReplies         // calls are executed, but not answered
	cutBoth            // calls don't arrive
)

// CutServer cuts the path from an instance to a server for d, or that of the replies
// alone.
func (w *World) CutServer(name model.Instance, s *Server, repliesOnly bool, d time.Duration) {
	n := w.instance(name)
	n.cutServers[s] = cutBoth
	if repliesOnly {
		n.cutServers[s] = cutReplies
	}
	w.After(d, func() { delete(n.cutServers, s) })
}

// CutPeer loses the messages from one instance to another for d.
func (w *World) CutPeer(from, to model.Instance, d time.Duration) {
	a, b := w.instance(from), w.instance(to)
	a.cutPeers[b] = true
	w.After(d, func() { delete(a.cutPeers, b) })
}

// SlowDown makes the events of an instance wait up to longest in its input queue, for d.
// Its ticks are on time.
func (w *World) SlowDown(name model.Instance, longest, d time.Duration) {
	n := w.instance(name)
	n.slowness = longest
	w.After(d, func() { n.slowness = 0 })
}
