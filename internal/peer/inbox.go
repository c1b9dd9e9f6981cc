package peer

import (
	"bufio"
	"net"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

type protoMessage = proto.Message

// inbox is the receiving end of a session with one process. It delivers each
// frame once.
type inbox struct {
	mu      sync.Mutex
	session uint64
	lastSeq uint64   // latest frame received
	current net.Conn // frames of earlier connections are dropped
}

// beginSession makes c the current connection and returns the sequence number of
// the last frame received in the session. It rejects a late hello of an earlier
// session: session numbers only increase, and going back would lose the position
// in the current one.
func (b *inbox) beginSession(c net.Conn, session uint64) (seq uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if session < b.session {
		return 0, false
	}
	if b.session != session {
		b.session = session
		b.lastSeq = 0
	}
	b.current = c
	return b.lastSeq, true
}

// accept runs deliver if the frame is the next in sequence. It reports whether c
// is still the current connection.
func (b *inbox) accept(c net.Conn, seq uint64, deliver func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != c {
		return false
	}
	if seq == b.lastSeq+1 {
		b.lastSeq = seq
		deliver()
	}
	return true
}

func (m *Manager) inboxFor(i model.Incarnation) *inbox {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.inboxes[i]
	if b == nil {
		b = &inbox{}
		m.inboxes[i] = b
	}
	return b
}

// receive delivers frames until the connection closes.
func (m *Manager) receive(from shard.Member, b *inbox, raw net.Conn, c *conn) {
	w := bufio.NewWriter(c)
	for {
		f := &peerpb.Frame{}
		if err := c.read(f); err != nil {
			return
		}
		m.countReceived(f)
		ok := b.accept(raw, f.Seq, func() {
			for _, msg := range f.Messages {
				m.opts.OnEvent(core.PeerMessage{From: from, Message: msg})
			}
		})
		if !ok {
			return
		}
		// One acknowledgement covers all frames already buffered.
		if c.r.Buffered() > 0 {
			continue
		}
		if _, err := protodelim.MarshalTo(w, &peerpb.FrameAck{Seq: f.Seq}); err != nil {
			return
		}
		if err := w.Flush(); err != nil {
			return
		}
	}
}

func (m *Manager) countReceived(f *peerpb.Frame) {
	if m.opts.Stats != nil {
		m.opts.Stats.FrameReceived(f, proto.Size(f))
	}
}
