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
	// userTimeout closes a connection whose data stays unacknowledged
	// (TCP_USER_TIMEOUT, RFC 5482).
	userTimeout = 2 * time.Second
	// idleTimeout is short, for an idle connection can go silent unseen.
	idleTimeout    = 5 * time.Second
	maxOutputBytes = 1 << 20
)

// Task is one start of a task.
type Task struct {
	Identity string // home/customer/key/index
	Attempt  int
	Kind     model.Kind
	Deadline model.Time // 0 if none
	Payload  []byte
}

// Result is how a start ended.
type Result struct {
	Outcome sched.Outcome
	Output  []byte
	Error   string
	Ran     time.Duration
	Leaving bool // the server says that it is leaving
	Gone    bool // lost, and the server refuses fresh connections
}

// Options are the settings of a Pool.
type Options struct {
	MaxRun  time.Duration // a start without an answer for so long is lost
	MaxIdle int           // idle connections kept for each server
	Watch   Watch
}

// Pool holds the connections to the backend servers.
type Pool struct {
	opts   Options
	client *http.Client
	fresh  *http.Client // opens a connection for each request

	mu    sync.RWMutex
	addrs map[model.ServerID]string
}

// New returns a pool that knows no servers.
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
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: o.MaxIdle,
		MaxConnsPerHost:     backendapi.MaxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Pool{
		opts:   o,
		client: &http.Client{Transport: t, CheckRedirect: refuseRedirect},
		fresh: &http.Client{
			Transport:     &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true},
			CheckRedirect: refuseRedirect,
		},
		addrs: make(map[model.ServerID]string),
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		ms := int(userTimeout.Milliseconds())
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if err != nil {
		return err
	}
	return failed
}

// SetServers replaces the addresses.
func (p *Pool) SetServers(list []sched.Server) {
	addrs := make(map[model.ServerID]string, len(list))
	for _, s := range list {
		addrs[s.ID] = s.Addr
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addrs = addrs
}

// Close closes idle connections.
func (p *Pool) Close() { p.client.CloseIdleConnections() }

// Run starts a task once and waits for its end.
func (p *Pool) Run(ctx context.Context, server model.ServerID, t Task) Result {
	p.mu.RLock()
	addr, ok := p.addrs[server]
	p.mu.RUnlock()
	if !ok {
		return Result{Outcome: sched.OutcomeUnreachable, Error: "backend server left the list"}
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.MaxRun)
	defer cancel()
	began := time.Now()
	stop := p.watch(ctx, cancel, addr, t.Identity)
	defer stop()
	res := p.exchange(ctx, addr, t)
	res.Ran = time.Since(began)
	res.Gone = res.Outcome == sched.OutcomeLost && refuses(addr)
	return res
}

// refuses reports whether a fresh connection is refused, which proves that the
// server's process is gone and with it every start on it.
func refuses(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// exchange sends the request. A failure before a connection was at hand
// proves that no byte left; after that the task may have run.
func (p *Pool) exchange(ctx context.Context, addr string, t Task) Result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(ctx, addr, t)
	if err != nil {
		return Result{Outcome: sched.OutcomeUnreachable, Error: err.Error()}
	}
	resp, err := p.client.Do(req)
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
