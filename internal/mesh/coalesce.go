package mesh

import (
	"encoding/binary"
	"net"
)

// Layout of the header of a yamux frame, by its published specification.
const (
	headerBytes  = 12
	typeAt       = 1
	lengthAt     = 8
	typeData     = 0
	joinedBuffer = 1024 // bytes, for a usual frame
)

// joinedConn sends the header of a data frame together with its body. yamux
// writes them one by one, which costs two packets and two wake-ups of the peer
// for each small message. It has one writer, as a session has.
type joinedConn struct {
	net.Conn
	held []byte // a header whose body follows
}

func newJoinedConn(c net.Conn) *joinedConn {
	return &joinedConn{Conn: c, held: make([]byte, 0, joinedBuffer)}
}

// Write implements net.Conn.
func (c *joinedConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 && announcesBody(p) {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(p)
	}
	_, err := c.Conn.Write(append(c.held, p...))
	c.held = c.held[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// announcesBody reports whether a write is the header of a data frame that is
// not empty.
func announcesBody(p []byte) bool {
	return len(p) == headerBytes && p[typeAt] == typeData && binary.BigEndian.Uint32(p[lengthAt:]) > 0
}
