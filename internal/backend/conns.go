package backend

import (
	"net"
	"net/http"
	"sync"

	"github.com/nutmegweir/nutmegweir/internal/backendapi"
)

// idleLimit returns how many idle connections one instance keeps to a backend
// server, so that all instances together stay within backendapi.MaxConnections:
//
//	connections = starts + questions + instances * idleLimit
//
// A running start has one connection and occupies a slot, so that there are at
// most as many as slots. The watch asks one question at a time about a running
// start, on a connection of its own; the same part pays for the connection that
// tells after a lost start whether the server refuses, and, as a server in
// quarantine is asked for its health only while a slot is free, for that
// question too. What is left is divided by the live instances, rounded down.
// 0 means that no connection is kept, also while the number of instances is not
// known. An instance never runs more starts than there are slots, so that it
// needs no more idle connections either.
func idleLimit(slots, instances int) int {
	if instances <= 0 {
		return 0
	}
	probes := slots
	left := backendapi.MaxConnections - slots - probes
	return max(0, min(slots, left/instances))
}

// conn is an HTTP client with at most one connection.
type conn struct {
	transport *http.Transport
	client    *http.Client
}

func newConn(d *net.Dialer) *conn {
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &conn{
		transport: t,
		client:    &http.Client{Transport: t, CheckRedirect: refuseRedirect},
	}
}

// close closes the connection, on which no request may be under way.
func (c *conn) close() { c.transport.CloseIdleConnections() }

// connPool keeps the idle connections to one backend server. A connection that
// carries a start is not in it, and carries one start at a time.
type connPool struct {
	dialer *net.Dialer

	mu    sync.Mutex
	limit int
	idle  []*conn // the one used last is at the end
}

// acquire returns a connection for one start. The one that was used last comes
// first, so that those that are not needed time out.
func (c *connPool) acquire() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return newConn(c.dialer)
	}
	x := c.idle[last]
	c.idle[last] = nil
	c.idle = c.idle[:last]
	return x
}

// release takes a connection back after its start has ended, and closes it if
// enough are kept.
func (c *connPool) release(x *conn) {
	c.mu.Lock()
	keep := len(c.idle) < c.limit
	if keep {
		c.idle = append(c.idle, x)
	}
	c.mu.Unlock()
	if !keep {
		x.close()
	}
}

// setLimit changes how many idle connections are kept and closes those above
// it, the ones used longest ago first.
func (c *connPool) setLimit(n int) {
	c.mu.Lock()
	c.limit = n
	surplus := max(0, len(c.idle)-n)
	drop := append([]*conn(nil), c.idle[:surplus]...)
	c.idle = append([]*conn(nil), c.idle[surplus:]...)
	c.mu.Unlock()
	for _, x := range drop {
		x.close()
	}
}
