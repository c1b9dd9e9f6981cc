package mesh

import (
	"io"
	"sync"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// inboundLinks tracks the latest connection dialed by each incarnation of a peer.
// Data on an earlier connection may arrive after the peers have resynced their
// open calls on its replacement, and a late offer would run a task twice.
type inboundLinks struct {
	mu     sync.Mutex
	latest map[inboundKey]*inboundLink
}

type inboundKey struct {
	instance    model.Instance
	incarnation model.Incarnation
}

// inboundLink is a connection that a peer has dialed.
type inboundLink struct {
	key    inboundKey
	number uint64 // counts the peer's connections
	conn   io.Closer

	mu       sync.Mutex
	replaced bool
}

// open adds a connection after its hello and closes the earlier one. ok is
// false if a later one is up.
func (l *inboundLinks) open(from fleet.Member, number uint64, conn io.Closer) (in *inboundLink, ok bool) {
	in = &inboundLink{key: inboundKey{from.Instance, from.Incarnation}, number: number, conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.latest[in.key]; old != nil {
		if old.number > number {
			return nil, false
		}
		old.replace()
	}
	l.latest[in.key] = in
	return in, true
}

// close removes a closed connection.
func (l *inboundLinks) close(in *inboundLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest[in.key] == in {
		delete(l.latest, in.key)
	}
}

// deliver calls f to handle a message, unless the connection was replaced.
func (in *inboundLink) deliver(f func()) (ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.replaced {
		f()
	}
	return !in.replaced
}

// replace closes a connection and drops its further messages.
func (in *inboundLink) replace() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.replaced = true
	_ = in.conn.Close() // the peer has abandoned it
}
