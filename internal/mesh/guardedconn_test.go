package mesh

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// resetConn is a connection whose writes fail once it is reset, while a pending read goes
// on for a while, even if it is closed.
type resetConn struct {
	net.Conn
	reset atomic.Bool
	gone  chan struct{} // ends the pending read
}

func (c *resetConn) Write(p []byte) (int, error) {
	if c.reset.Load() {
		return 0, errors.New("connection reset by peer")
	}
	return c.Conn.Write(p)
}

func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.reset.Load() {
		<-c.gone
	}
	return n, err
}

// TestReadSpinsAfterConnectionReset resets the connection of a stream that is being read.
// The read has to end although the session can't, or it would spin until it does.
func TestReadSpinsAfterConnectionReset(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	server, err := yamux.Server(b, sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn := &resetConn{Conn: a, gone: make(chan struct{})}
	guarded := &guardedConn{Conn: conn}
	client, err := yamux.Client(newCoalescingConn(guarded), sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	defer close(conn.gone)
	stream, err := client.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	guarded.guard(stream)
	broken := make(chan struct{})
	go watchClose(stream, broken)
	conn.reset.Store(true)
	if _, err := stream.Write([]byte("x")); err == nil {
		t.Fatal("a write on a reset connection succeeded")
	}
	select {
	case <-broken:
	case <-time.After(30 * time.Second):
		t.Fatal("the read of the stream goes on")
	}
}

// TestClosedLinkIsLoggedAsFault closes links in the usual way: the end that receives has
// nothing to report.
func TestClosedLinkIsLoggedAsFault(t *testing.T) {
	for range 20 { // the read may also end with the session
		a, b := net.Pipe()
		var faults atomic.Int32
		received := make(chan struct{})
		m := New(Options{
			Self: fleet.Member{Instance: "n", Incarnation: "1"}, OnMessage: func(fleet.Member, any) { close(received) },
			OnError: func(_ model.Instance, err error) { faults.Add(1); t.Log(err) },
		})
		accepted := make(chan struct{})
		go func() { m.accept(t.Context(), b); close(accepted) }()
		session, err := yamux.Client(newCoalescingConn(a), sessionConfig())
		if err != nil {
			t.Fatal(err)
		}
		stream, err := session.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		dialer := New(Options{Self: fleet.Member{Instance: "d", Incarnation: "1"}})
		if _, err := dialer.handshake(stream); err != nil {
			t.Fatal(err)
		}
		frame, err := collectFrame(fleet.Heartbeat{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := (&frameWriter{w: stream}).write(frame); err != nil {
			t.Fatal(err)
		}
		<-received
		a.Close()
		<-accepted
		session.Close()
		if faults.Load() > 0 {
			t.Fatal("the end of a closed link is reported as a fault")
		}
	}
}
