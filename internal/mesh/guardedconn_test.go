package mesh

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
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
