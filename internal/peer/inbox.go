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

// inbox is the receiving end of a session with one process. It lets every
// frame through once.
type inbox struct {
	mu      sync.Mutex
	session uint64
	lastSeq uint64   // latest frame received
	current net.Conn // frames of earlier connections are dropped
}

// beginSession makes c the connection of the session and returns the number of the
// latest frame received in it. It fails for a hello of an earlier session that
// comes late: a process numbers its sessions upwards, and going back would lose
// the place in the one under way.
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

// accept runs deliver if the frame is the next one of the current connection.
// It reports whether the connection is still the current one.
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

// receive delivers frames until the connection ends.
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
		// One acknowledgement serves all frames that have come meanwhile.
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
