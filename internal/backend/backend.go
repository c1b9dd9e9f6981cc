// Package backend starts tasks on backend servers over HTTP, by the contract
// of package backendapi.
package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/nutmegweir/nutmegweir/internal/backendapi"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

const (
	dialTimeout = 500 * time.Millisecond
	// tcpUserTimeout closes a connection whose data stays unacknowledged
	// (TCP_USER_TIMEOUT, RFC 5482).
	tcpUserTimeout = 2 * time.Second
	// idleConnTimeout is short because an idle connection can break unnoticed.
	idleConnTimeout = 5 * time.Second
	maxOutputBytes  = 1 << 20
)

// Task is a request to start a task once.
type Task struct {
	Identity string // home/customer/key/index
	Attempt  int
	Kind     model.Kind
	Deadline model.Time // 0 if none
	Payload  []byte
}

// Result is the outcome of a start.
type Result struct {
	Outcome    sched.Outcome
	Output     []byte
	Error      string
	Duration   time.Duration
	Leaving    bool // the server reports that it is leaving
	ServerGone bool // the start is lost and the server refuses new connections
}

// Options are the settings of a Pool.
type Options struct {
	RunTimeout time.Duration // a start without an answer by then counts as lost
	Probe      ProbeOptions
}

// Pool holds the connections to the backend servers.
type Pool struct {
	opts        Options
	dialer      *net.Dialer
	probeClient *http.Client // opens a connection for each request

	mu            sync.RWMutex
	instanceCount int // live entry instances, 0 while unknown
	servers       map[model.ServerID]*server
}

// server is a backend server and the idle connections to it.
type server struct {
	addr  string
	slots int
	conns *connPool
}

// New returns a pool without servers.
func New(o Options) *Pool {
	d := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: setUserTimeout,
	}
	return &Pool{
		opts:   o,
		dialer: d,
		probeClient: &http.Client{
			Transport:     &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true},
			CheckRedirect: refuseRedirect,
		},
		servers: make(map[model.ServerID]*server),
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		ms := int(tcpUserTimeout.Milliseconds())
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if err != nil {
		return err
	}
	return failed
}

// SetServers replaces the list of servers. Connections to a server that was
// removed or changed its address are closed once their starts have ended.
func (p *Pool) SetServers(list []sched.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.servers
	p.servers = make(map[model.ServerID]*server, len(list))
	for _, s := range list {
		p.servers[s.ID] = p.updatedServer(previous[s.ID], s)
	}
	for id, s := range previous {
		if current := p.servers[id]; current == nil || current.conns != s.conns {
			s.conns.setLimit(0)
		}
	}
	p.applyIdleLimits()
}

// updatedServer returns the server for a list entry. It keeps the connections of
// old if the address is unchanged.
func (p *Pool) updatedServer(old *server, s sched.Server) *server {
	if old != nil && old.addr == s.Addr {
		return &server{addr: s.Addr, slots: s.Slots, conns: old.conns}
	}
	return &server{addr: s.Addr, slots: s.Slots, conns: &connPool{dialer: p.dialer}}
}

// SetInstanceCount sets the number of live entry instances, including this one.
func (p *Pool) SetInstanceCount(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instanceCount = n
	p.applyIdleLimits()
}

func (p *Pool) applyIdleLimits() {
	for _, s := range p.servers {
		s.conns.setLimit(idleLimit(s.slots, p.instanceCount))
	}
}

func (p *Pool) server(id model.ServerID) *server {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.servers[id]
}

// Close closes idle connections at once, the others when their starts end.
func (p *Pool) Close() { p.SetServers(nil) }

// Run starts a task once and waits for its result.
func (p *Pool) Run(ctx context.Context, id model.ServerID, t Task) Result {
	s := p.server(id)
	if s == nil {
		return Result{Outcome: sched.OutcomeUnreachable, Error: "backend server left the list"}
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.RunTimeout)
	defer cancel()
	began := time.Now()
	stop := p.startProbe(ctx, cancel, s.addr, t.Identity)
	defer stop()
	res := s.exchange(ctx, t)
	res.Duration = time.Since(began)
	res.ServerGone = res.Outcome == sched.OutcomeLost && refusesConnections(s.addr)
	return res
}

// refusesConnections reports whether a new connection is refused, which proves
// that the server process has ended, and every start on it.
func refusesConnections(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// exchange acquires a connection, sends the request on it and releases it.
func (s *server) exchange(ctx context.Context, t Task) Result {
	c := s.conns.acquire()
	defer s.conns.release(c)
	return c.exchange(ctx, s.addr, t)
}

// exchange sends the request. A failure before a connection was obtained proves
// that nothing was sent; after that the task may have run.
func (c *conn) exchange(ctx context.Context, addr string, t Task) Result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(ctx, addr, t)
	if err != nil {
		return Result{Outcome: sched.OutcomeUnreachable, Error: err.Error()}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		if connected.Load() {
			return Result{Outcome: sched.OutcomeLost, Error: "no answer from the backend server: " + err.Error()}
		}
		return Result{Outcome: sched.OutcomeUnreachable, Error: err.Error()}
	}
	defer resp.Body.Close()
	return readResult(resp)
}

func newRequest(ctx context.Context, addr string, t Task) (*http.Request, error) {
	url := "http://" + addr + backendapi.PathTasks
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(t.Payload))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send the body a second time.
	req.GetBody = nil
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(backendapi.HeaderTask, t.Identity)
	h.Set(backendapi.HeaderAttempt, strconv.Itoa(t.Attempt))
	h.Set(backendapi.HeaderKind, string(t.Kind))
	if t.Deadline != 0 {
		h.Set(backendapi.HeaderDeadline, strconv.FormatInt(t.Deadline.UnixMilli(), 10))
	}
	return req, nil
}

func readResult(resp *http.Response) Result {
	res := Result{Leaving: resp.Header.Get(backendapi.HeaderLeaving) == "true"}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxOutputBytes+1))
	switch {
	case notStarted(resp):
		res.Outcome = sched.OutcomeNotStarted
		res.Error = "the backend server refused before the start"
	case err != nil:
		res.Outcome = sched.OutcomeLost
		res.Error = "the answer broke off: " + err.Error()
	case len(body) > maxOutputBytes:
		res.Outcome = sched.OutcomeFailed
		res.Error = "the output is larger than 1 MiB; make the task return less"
	case resp.StatusCode == http.StatusOK:
		res.Outcome = sched.OutcomeOK
		res.Output = body
	default:
		res.Outcome = sched.OutcomeFailed
		res.Error = "the backend server answered " + strings.ToValidUTF8(resp.Status, "?")
	}
	return res
}

func notStarted(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(backendapi.HeaderStarted) == "no"
}
