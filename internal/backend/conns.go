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
// whether the server refuses connections, and the health check of a quarantined
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
func (p *connPool) acquire() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return newConn(p.dialer)
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// release returns a connection to the pool after its start has ended, or closes
// it if the pool is full.
func (p *connPool) release(c *conn) {
	p.mu.Lock()
	keep := len(p.idle) < p.limit
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// setLimit sets how many idle connections are kept and closes the surplus, least
// recently used first.
func (p *connPool) setLimit(n int) {
	p.mu.Lock()
	p.limit = n
	surplus := max(0, len(p.idle)-n)
	drop := append([]*conn(nil), p.idle[:surplus]...)
	p.idle = append([]*conn(nil), p.idle[surplus:]...)
	p.mu.Unlock()
	for _, c := range drop {
		c.close()
	}
}
