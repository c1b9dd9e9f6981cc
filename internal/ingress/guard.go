package ingress

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Reason says why a request or connection was given up.
type Reason string

// Reasons.
const (
	ConnLimit    Reason = "connections" // the limit of connections is reached
	HeaderMemory Reason = "header"      // the budget is exhausted by this header
	BodyMemory   Reason = "body"        // the budget is exhausted by this body
	Slow         Reason = "slow"        // it made the least progress when another needed the budget
	BodyTimeout  Reason = "timeout"     // its body took too long
)

// Observer receives the decisions of a Guard.
type Observer interface {
	// ConnectionClosed and RequestShed report a connection or request that was given
	// up. logged is false for those that the rate limit leaves out of the log.
	ConnectionClosed(r Reason, logged bool)
	RequestShed(r Reason, logged bool)
}

// Options are the parameters of a Guard.
type Options struct {
	Limits
	Observer    Observer // may be nil
	KeepHeaders []string // headers that the handler needs
}

// Guard limits the clients of one port.
type Guard struct {
	limits      Limits
	observer    Observer
	keepHeaders []string
	start       time.Time
	logs        *rate.Limiter
	parsing     sync.Mutex // held while a large body is parsed

	mu     sync.Mutex
	ledger *ledger
}

// linesPerSecond limits the log lines about clients.
const linesPerSecond = 5

// New returns a guard.
func New(o Options) *Guard {
	return &Guard{
		limits: o.Limits, observer: o.Observer, keepHeaders: o.KeepHeaders, start: time.Now(),
		logs: rate.NewLimiter(linesPerSecond, linesPerSecond), ledger: newLedger(o.Limits),
	}
}

// Usage returns the number of connections and how much of the budget is in use.
func (g *Guard) Usage() (conns int, memory int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.ledger.entries), g.ledger.used
}

type connKey struct{}

// Serve serves a listener within the limits; its connections are HTTP/1.1, also those
// with TLS, as limits of connections don't bound the streams of HTTP/2.
func (g *Guard) Serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		c := s.TLSConfig.Clone()
		c.NextProtos = []string{"http/1.1"}
		l = tls.NewListener(l, c)
	}
	return s.Serve(&listener{l, g})
}

// Protect prepares a server for Serve.
func (g *Guard) Protect(s *http.Server) {
	s.Handler = g.handler(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			g.idle(c)
		}
	}
}

// listener accepts connections within the limits of a guard.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
		if _, encrypted := raw.(*tls.Conn); !encrypted {
			writeRefusal(raw)
		}
		_ = transport(raw).Close() // refused
	}
}

// transport returns the connection below TLS. Closing it sends no message.
func transport(c net.Conn) net.Conn {
	if t, ok := c.(*tls.Conn); ok {
		return t.NetConn()
	}
	return c
}

// socketOption is set as the receive buffer of a connection. With half of it, bodies of
// 262,144 bytes stalled for 0.2 s on loopback, whose segments are as large.
const socketOption = 32 << 10

// admit returns the connection, or nil if it is refused.
func (g *Guard) admit(raw net.Conn) *conn {
	if t, ok := transport(raw).(*net.TCPConn); ok {
		_ = t.SetReadBuffer(socketOption) // the kernel's own limit holds otherwise
	}
	g.mu.Lock()
	e, victim := g.ledger.admit(g.now())
	if e == nil {
		g.mu.Unlock()
		g.report(true, ConnLimit)
		return nil
	}
	c := &conn{Conn: raw, guard: g, entry: e}
	e.owner = c
	if victim != nil {
		victim.owner.shed.Store(true)
	}
	g.mu.Unlock()
	if victim != nil {
		_ = transport(victim.owner.Conn).Close() // its goroutine closes it again
		g.report(true, ConnLimit)
	}
	return c
}

func (g *Guard) now() time.Duration { return time.Since(g.start) }

func (g *Guard) report(conn bool, r Reason) {
	if g.observer == nil {
		return
	}
	if conn {
		g.observer.ConnectionClosed(r, g.logs.Allow())
		return
	}
	g.observer.RequestShed(r, g.logs.Allow())
}

// received notes bytes that were read into a buffer of the given size.
func (g *Guard) received(c *conn, p []byte, size int) {
	g.mu.Lock()
	now := g.now()
	lines, before := c.count(p, size)
	if e := c.entry; e.phase == phaseNew || e.phase == phaseIdle {
		c.lines, c.bytes = before, 0 // they may belong to this header
		e.enter(phaseHeader, now)
	}
	c.entry.received(len(p), now)
	if c.entry.phase != phaseHeader {
		g.mu.Unlock()
		return
	}
	c.lines += lines
	c.bytes += len(p)
	victims, ok := g.charge(c, headerCost(c.lines, c.bytes), now)
	g.mu.Unlock()
	g.refuseAll(victims)
	if !ok {
		g.shed(c, HeaderMemory)
	}
}

// charge sets what a connection holds; it needs the lock. The requests of the victims are
// refused from then on, although their reading has yet to be ended.
func (g *Guard) charge(c *conn, n int64, now time.Duration) (victims []*entry, ok bool) {
	if c.closed || n <= c.entry.held {
		g.ledger.hold(c.entry, min(n, c.entry.held))
		return nil, true
	}
	chosen, ok := g.ledger.reserve(c.entry, n-c.entry.held, now)
	for _, v := range chosen {
		if !v.owner.shed.Swap(true) {
			victims = append(victims, v)
		}
	}
	return victims, ok
}

// refuseAll ends the reading of the victims' requests.
func (g *Guard) refuseAll(victims []*entry) {
	for _, v := range victims {
		g.endReading(v.owner, Slow)
	}
}

// shed refuses a request. Only the goroutine that reads it may call it.
func (g *Guard) shed(c *conn, r Reason) {
	if !c.shed.Swap(true) {
		g.endReading(c, r)
	}
}

func (g *Guard) endReading(c *conn, r Reason) {
	_ = c.Conn.SetReadDeadline(past) // fails only if closed
	g.report(false, r)
}

// answersHeader reports whether the request of a connection hasn't reached the handler,
// and gives back what it holds.
func (g *Guard) answersHeader(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	answers := !c.inHandler && !c.closed && c.bytes > 0
	c.entry.phase = phaseRefused
	c.lines, c.bytes = 0, 0
	g.ledger.hold(c.entry, 0)
	return answers
}

// idle notes that the response of a request was sent. Lines that net/http has buffered
// may be those of a pipelined request, which is parsed next.
func (g *Guard) idle(c *conn) {
	c.endDeadline()
	g.mu.Lock()
	now := g.now()
	c.entry.enter(phaseIdle, now)
	c.inHandler, c.lines, c.bytes = false, c.tail, 0
	victims, ok := g.charge(c, headerCost(c.tail, 0), now)
	g.mu.Unlock()
	g.refuseAll(victims)
	if !ok {
		g.shed(c, HeaderMemory)
		_ = transport(c.Conn).Close() // its goroutine closes it again
	}
}

// forget removes a closed connection.
func (g *Guard) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.closed {
		c.closed = true
		g.ledger.remove(c.entry)
	}
}
