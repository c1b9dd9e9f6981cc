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
//	connections = starts + probes + instances * idleLimit
//
// A running start uses one connection and one slot, so there are at most as many
// as slots. Each running start has at most one probe at a time, on a connection
// of its own. The same share covers the connection that checks after a lost start
// whether the server refuses connections, and the health probe of a quarantined
// server, which is sent only while a slot is free. The rest is divided among the
// live instances, rounded down. 0 keeps no connection, also while the number of
// instances is unknown. An instance never runs more starts than there are slots,
// so it needs no more idle connections either.
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

// close closes the connection, which must have no request in flight.
func (c *conn) close() { c.transport.CloseIdleConnections() }

// connPool holds the idle connections to one backend server. A connection in use
// is not in the pool and carries one start at a time.
type connPool struct {
	dialer *net.Dialer

	mu    sync.Mutex
	limit int
	idle  []*conn // the most recently used is last
}

// acquire returns a connection for one start. It prefers the most recently used,
// so that surplus connections time out.
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

// release returns a connection to the pool after its start has ended, or closes
// it if the pool is full.
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

// setLimit sets how many idle connections are kept and closes the surplus, least
// recently used first.
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
