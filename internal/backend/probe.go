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

// ProbeOptions sets when a start without an answer is probed.
type ProbeOptions struct {
	InitialDelay time.Duration // before the first probe, so that most tasks need none
	Interval     time.Duration // between two probes of one start
	Timeout      time.Duration // of one probe
}

// DefaultProbeOptions suits tasks of up to a few seconds.
func DefaultProbeOptions() ProbeOptions {
	return ProbeOptions{InitialDelay: 3 * time.Second, Interval: 2 * time.Second, Timeout: 2 * time.Second}
}

const (
	// maxProbeMisses is how many consecutive probes must find the task absent
	// or get no answer before the start counts as lost. A single miss may
	// coincide with an answer in flight.
	maxProbeMisses = 2
	maxHealthBytes = 4 << 10
)

// startProbe checks over new connections whether a long start is still running,
// and calls onLost if it isn't: an established connection can hang for good while
// new ones work. The returned function stops the probe.
func (p *Pool) startProbe(ctx context.Context, onLost func(), addr, identity string) func() {
	pr := &prober{
		ctx:    ctx,
		onLost: onLost,
		client: p.probeClient,
		url:    healthURL(addr, identity),
		opts:   p.opts.Probe,
	}
	pr.timer = time.AfterFunc(pr.opts.InitialDelay, pr.probe)
	return func() { pr.timer.Stop() }
}

func healthURL(addr, identity string) string {
	query := url.Values{backendapi.ParamTask: {identity}}
	return "http://" + addr + backendapi.PathHealth + "?" + query.Encode()
}

// prober probes one start.
type prober struct {
	ctx    context.Context
	onLost func()
	client *http.Client
	url    string
	opts   ProbeOptions
	timer  *time.Timer
	misses int
}

func (p *prober) probe() {
	if p.ctx.Err() != nil {
		return
	}
	if p.taskRunning() {
		p.misses = 0
	} else {
		p.misses++
	}
	if p.misses >= maxProbeMisses {
		p.onLost()
		return
	}
	p.timer.Reset(p.opts.Interval)
}

// taskRunning reports whether the server runs the task. A server that doesn't
// support task probes counts as running it while it is busy.
func (p *prober) taskRunning() bool {
	h, err := fetchHealth(p.ctx, p.client, p.url, p.opts.Timeout)
	if err != nil {
		return false
	}
	if h.Running == nil {
		return h.Busy > 0
	}
	return *h.Running
}

// Healthy performs a health check over a new connection and reports whether the
// server is healthy and not leaving.
func (p *Pool) Healthy(ctx context.Context, id model.ServerID) bool {
	s := p.server(id)
	if s == nil {
		return false
	}
	url := "http://" + s.addr + backendapi.PathHealth
	h, err := fetchHealth(ctx, p.probeClient, url, p.opts.Probe.Timeout)
	return err == nil && h.status == http.StatusOK && !h.Leaving
}

// healthResponse is a response of the health endpoint.
type healthResponse struct {
	status int // HTTP status code
	backendapi.Health
}

func fetchHealth(ctx context.Context, client *http.Client, url string, timeout time.Duration) (*healthResponse, error) {
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
	a := &healthResponse{status: resp.StatusCode}
	err = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxHealthBytes)).Decode(&a.Health)
	return a, err
}
