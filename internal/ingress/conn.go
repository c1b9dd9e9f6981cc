package ingress

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// readerSize is the size of the buffer through which net/http reads headers. Reads into
// a larger one bypass it.
const readerSize = 4096

// conn is a connection of the caller port.
type conn struct {
	net.Conn
	guard *Guard

	// Guarded by guard.mu.
	entry     *entry
	lines     int // of the header being read
	bytes     int // of that header
	tail      int // at most so many lines are in the buffer of net/http
	closed    bool
	inHandler bool // the handler answers the request being read
	bodyRead  bool // the handler has read the body to its end

	shed   atomic.Bool // its request is refused; set for victims when they are chosen
	inBody atomic.Bool

	deadlineMu  sync.Mutex // held while inBody changes to false
	hasDeadline bool       // a deadline of the body is set
}

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// Read implements net.Conn. It charges what is read of a header before net/http sees it.
func (c *conn) Read(p []byte) (int, error) {
	if c.inBody.Load() && c.guard.limits.BodyTime > 0 {
		c.startDeadline()
	}
	if c.shed.Load() {
		return 0, c.refuse()
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.guard.received(c, p[:n], len(p))
	}
	if c.shed.Load() {
		return 0, c.refuse()
	}
	return n, err
}

// startDeadline sets the deadline of a body, unless it is set or the body has ended.
func (c *conn) startDeadline() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.inBody.Load() && !c.hasDeadline {
		c.hasDeadline = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.guard.limits.BodyTime)) // fails only if closed
	}
}

// endDeadline lifts the deadline of a body. net/http may read in the background by then.
func (c *conn) endDeadline() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.inBody.Store(false)
	if c.hasDeadline {
		c.hasDeadline = false
		_ = c.SetReadDeadline(time.Time{}) // fails only if closed
	}
}

// refuse ends reading. Unless the handler has the request, it is answered here.
func (c *conn) refuse() error {
	if c.guard.answersHeader(c) {
		writeRefusal(c.Conn)
	}
	return io.EOF
}

// SetReadDeadline implements net.Conn. net/http can't lift the end of reading.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.shed.Load() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.forget(c)
	return c.Conn.Close()
}

// CloseWrite closes the writing side, as net/http does before it closes a connection
// with unread data.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// count notes the lines of a read into a buffer of the given size, and returns them and
// how many may have been in the buffer of net/http before. A read into the whole
// buffer finds it empty, one into a part of it at most the rest full of empty lines.
func (c *conn) count(p []byte, size int) (lines, before int) {
	before = min(c.tail, max(readerSize-size, 0))
	if size <= readerSize {
		lines = bytes.Count(p, []byte{'\n'})
	}
	c.tail = before + lines
	return lines, before
}
