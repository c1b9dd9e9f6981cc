package mesh

import (
	"io"
	"sync"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// inbound keeps the latest link of each life of a peer on which it sends. Bytes of
// an earlier link may arrive after the peer has replaced it: the peers have told
// each other by then what is open, and a late offer would run a task twice.
type inbound struct {
	mu     sync.Mutex
	latest map[linkOf]*inboundLink
}

type linkOf struct {
	instance model.Instance
	life     model.Incarnation
}

// inboundLink is a link that a peer has dialed.
type inboundLink struct {
	of     linkOf
	number uint64 // of the peer's links
	conn   io.Closer

	mu       sync.Mutex
	replaced bool
}

// open notes a link whose hello has come, and ends the earlier one. ok is false if
// a later link is up.
func (b *inbound) open(from fleet.Member, number uint64, conn io.Closer) (in *inboundLink, ok bool) {
	in = &inboundLink{of: linkOf{from.Instance, from.Incarnation}, number: number, conn: conn}
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.latest[in.of]; old != nil {
		if old.number > number {
			return nil, false
		}
		old.replace()
	}
	b.latest[in.of] = in
	return in, true
}

// close forgets a link that has ended.
func (b *inbound) close(in *inboundLink) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latest[in.of] == in {
		delete(b.latest, in.of)
	}
}

// hand calls f with a message of the link, unless the link was replaced.
func (in *inboundLink) hand(f func()) (ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.replaced {
		f()
	}
	return !in.replaced
}

// replace lets no further message of the link through.
func (in *inboundLink) replace() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.replaced = true
	_ = in.conn.Close() // the peer has given it up
}
