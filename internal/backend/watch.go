package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/backendapi"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// ProbeOptions says when a start without an answer is asked after.
type ProbeOptions struct {
	InitialDelay time.Duration // how long a start runs unasked, so that most tasks cost no message
	Interval     time.Duration // time between two questions about one start
	Timeout      time.Duration // bound of one question
}

// DefaultProbeOptions returns the times for tasks of up to a few seconds.
func DefaultProbeOptions() ProbeOptions {
	return ProbeOptions{InitialDelay: 3 * time.Second, Interval: 2 * time.Second, Timeout: 2 * time.Second}
}

const (
	// watchMisses is how many questions in a row have to find the task absent
	// or get no answer before the start is taken to be lost. One alone may
	// meet an answer that is on its way.
	watchMisses = 2
	maxHealth   = 4 << 10 // bytes
)

// watch asks a server, on fresh connections, whether a long start is still
// running, and calls lost if it is not: a connection can go silent for good
// while new ones work. The returned function ends the watch.
func (p *Pool) watch(ctx context.Context, lost func(), addr, identity string) func() {
	w := &watcher{
		ctx:    ctx,
		lost:   lost,
		client: p.fresh,
		url:    healthURL(addr, identity),
		times:  p.opts.Probe,
	}
	w.timer = time.AfterFunc(w.times.InitialDelay, w.ask)
	return func() { w.timer.Stop() }
}

func healthURL(addr, identity string) string {
	query := url.Values{backendapi.ParamTask: {identity}}
	return "http://" + addr + backendapi.PathHealth + "?" + query.Encode()
}

// watcher is the watch of one start.
type watcher struct {
	ctx    context.Context
	lost   func()
	client *http.Client
	url    string
	times  ProbeOptions
	timer  *time.Timer
	misses int
}

func (w *watcher) ask() {
	if w.ctx.Err() != nil {
		return
	}
	if w.running() {
		w.misses = 0
	} else {
		w.misses++
	}
	if w.misses >= watchMisses {
		w.lost()
		return
	}
	w.timer.Reset(w.times.Interval)
}

// running reports whether the server says that the task runs. A server that
// does not know the question counts as running the task while it is busy.
func (w *watcher) running() bool {
	h, err := askHealth(w.ctx, w.client, w.url, w.times.Timeout)
	if err != nil {
		return false
	}
	if h.Running == nil {
		return h.Busy > 0
	}
	return *h.Running
}

// Healthy asks a server for its health, on a fresh connection, and reports
// whether it answers that it is well.
func (p *Pool) Healthy(ctx context.Context, id model.ServerID) bool {
	s := p.server(id)
	if s == nil {
		return false
	}
	url := "http://" + s.addr + backendapi.PathHealth
	h, err := askHealth(ctx, p.fresh, url, p.opts.Probe.Timeout)
	return err == nil && h.status == http.StatusOK && !h.Leaving
}

// healthAnswer is an answer of the health endpoint.
type healthAnswer struct {
	status int // of HTTP
	backendapi.Health
}

func askHealth(ctx context.Context, client *http.Client, url string, timeout time.Duration) (*healthAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	a := &healthAnswer{status: resp.StatusCode}
	err = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxHealth)).Decode(&a.Health)
	return a, err
}
