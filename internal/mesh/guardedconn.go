package mesh

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// guardedConn is a connection that carries one yamux stream. When it fails, it ends a
// pending read of the stream before yamux notices: such a read spins from then on until
// the session has ended all its goroutines.
type guardedConn struct {
	net.Conn

	mu     sync.Mutex
	stream *yamux.Stream
	err    error // of the first failure
}

// guard sets the stream. Its read deadline must not be changed afterwards.
func (c *guardedConn) guard(s *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream = s
	if c.err != nil {
		endRead(s)
	}
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.check(err)
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.check(err)
	return n, err
}

func (c *guardedConn) check(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	if c.stream != nil {
		endRead(c.stream)
	}
}

// cause returns the failure of the connection that ended a read of the stream with err,
// or err if the connection hasn't failed.
func (c *guardedConn) cause(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	return err
}

// endRead ends a pending read of the stream.
func endRead(stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Unix(1, 0)) // never fails
}
