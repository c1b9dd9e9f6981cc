package mesh

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header, from its published specification.
const (
	headerBytes         = 12
	typeOffset          = 1
	lengthOffset        = 8
	typeData            = 0
	coalesceBufferBytes = 1024 // fits a typical frame
)

// coalescingConn writes the header and body of a data frame in one call. yamux
// writes them separately, which costs two packets and two wake-ups of the peer
// per small message. Like a session, it supports a single writer.
type coalescingConn struct {
	net.Conn
	header []byte // buffered until its body is written
}

func newCoalescingConn(c net.Conn) *coalescingConn {
	return &coalescingConn{Conn: c, header: make([]byte, 0, coalesceBufferBytes)}
}

// Write implements net.Conn.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.header) == 0 && isDataHeader(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	if len(c.header) == 0 {
		return c.Conn.Write(p)
	}
	_, err := c.Conn.Write(append(c.header, p...))
	c.header = c.header[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// isDataHeader reports whether a write is the header of a non-empty data frame.
func isDataHeader(p []byte) bool {
	return len(p) == headerBytes && p[typeOffset] == typeData && binary.BigEndian.Uint32(p[lengthOffset:]) > 0
}
