// Package link is a TCP proxy with injectable faults: it forwards bytes between
// a listener and a target, and can delay, stall or reset connections.
package link

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// PathMode is the path of the control port: PUT of a Mode.
const PathMode = "/standin/mode"

const maxModeBytes = 64 << 10

// Mode is the injected fault.
type Mode struct {
	Silent     bool     `json:"silent"`      // both directions stall, new connections too
	OneWay     bool     `json:"one_way"`     // bytes from the target stall
	SilentFrom []string `json:"silent_from"` // only connections from these IP addresses stall
	Forget     bool     `json:"forget"`      // connections open now stall permanently; new ones work
	Reset      bool     `json:"reset"`       // connections open now are reset; new ones work
	Cut        bool     `json:"cut"`         // connections open now are reset at their dialers, and the target isn't told; new ones work
	DelayMs    int64    `json:"delay_ms"`    // delay of each chunk, one after the other; a busy link falls behind
}

// Link is the proxy.
type Link struct {
	mu         sync.Mutex
	target     string
	cond       *sync.Cond
	mode       Mode
	generation int // number of Forgets; connections of an earlier generation stall
	closed     bool
	conns      map[net.Conn]bool // open connections; true: to a dialer
}

// New returns a link to a target address.
func New(target string) *Link {
	l := &Link{target: target, conns: map[net.Conn]bool{}}
	l.cond = sync.NewCond(&l.mu)
	return l
}

// SetMode replaces the fault. Stalled bytes are forwarded once the link is no
// longer silent.
func (l *Link) SetMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	if m.Forget || m.Cut {
		l.generation++
	}
	for c, toDialer := range l.conns {
		if m.Reset || m.Cut && toDialer {
			reset(c)
		}
	}
	l.cond.Broadcast()
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // if it fails, the connection is closed normally
	}
	_ = c.Close()
}

// track registers an open connection until the returned function is called.
func (l *Link) track(c net.Conn, toDialer bool) (untrack func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = toDialer
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}
}

func (l *Link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.mode.DelayMs) * time.Millisecond
}

// SetTarget changes the target of new connections.
func (l *Link) SetTarget(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = addr
}

func (l *Link) targetAddr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target
}

// Serve forwards connections until ctx ends.
func (l *Link) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		l.shutDown()
	})
	defer stop()
	for {
		c, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept on the link")
		}
		go l.forward(ctx, c)
	}
}

func (l *Link) shutDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.cond.Broadcast()
}

// flow is a connection through the link.
type flow struct {
	generation int    // generation of the link when it was opened
	sourceIP   string // IP address of the dialer
}

// newFlow returns the flow of a new connection.
func (l *Link) newFlow(c net.Conn) flow {
	l.mu.Lock()
	defer l.mu.Unlock()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return flow{generation: l.generation, sourceIP: from}
}

// waitUnblocked waits until bytes of a connection may be forwarded, and reports
// whether the link is still open.
func (l *Link) waitUnblocked(f flow, fromTarget bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.blocks(f, fromTarget) && !l.closed {
		l.cond.Wait()
	}
	return !l.closed
}

func (l *Link) blocks(f flow, fromTarget bool) bool {
	if l.mode.Silent || f.generation < l.generation {
		return true
	}
	return fromTarget && l.mode.OneWay || slices.Contains(l.mode.SilentFrom, f.sourceIP)
}

func (l *Link) forward(ctx context.Context, c net.Conn) {
	defer c.Close()
	defer l.track(c, true)()
	f := l.newFlow(c)
	if !l.waitUnblocked(f, false) {
		return
	}
	t, err := net.Dial("tcp", l.targetAddr())
	if err != nil {
		return
	}
	defer t.Close()
	defer l.track(t, false)()
	stop := context.AfterFunc(ctx, func() {
		_ = c.Close()
		_ = t.Close()
	})
	defer stop()
	go l.copy(f, t, c, false)
	l.copy(f, c, t, true)
}

func (l *Link) copy(f flow, to, from net.Conn, fromTarget bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(l.delay())
		if !l.waitUnblocked(f, fromTarget) {
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			closeWrite(to)
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// ServeHTTP serves the control port.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != PathMode || r.Method != http.MethodPut {
		http.Error(w, "use PUT "+PathMode, http.StatusNotFound)
		return
	}
	var m Mode
	body, err := io.ReadAll(io.LimitReader(r.Body, maxModeBytes))
	if err == nil {
		err = json.Unmarshal(body, &m)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetMode(m)
}
