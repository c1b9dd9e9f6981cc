package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of the minions, as in the settings.
const (
	maxHold       = time.Second
	stopTime      = 50 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	entryLifetime = 3 * heartbeat
)

type resources struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"memMb"`
	GPU   int `json:"gpu"`
}

// minion is a stand-in for a minion: it may crash and start again at its address.
type minion struct {
	t        *test
	id       string
	zone     string
	addr     string
	labels   []string
	capacity resources

	mu       sync.Mutex
	life     *life // nil while it is down
	lifes    int
	listener net.Listener
	server   *http.Server
	failing  bool // whatever it starts fails
	draining time.Time
	seq      int
	gone     bool
}

// life is what a minion knows from one start to the next.
type life struct {
	bornAt  time.Time
	fence   uint64
	runs    map[string]*run // by task and attempt
	highest map[string]int  // highest attempt stopped or ended, by task
	ended   [][]any
	lastEnd int
	leaseMs int64
	changed chan struct{}
	over    bool
}

type run struct {
	task     string
	attempt  int
	startAt  time.Time
	endAt    time.Time
	how      string
	stopping bool
	record   *runRecord
}

// spec is the content of the stand-in's tasks.
type taskSpec struct{ Ms int }

func (l *life) clock(now time.Time) int64 { return 1 + now.Sub(l.bornAt).Milliseconds() }

// up starts the minion.
func (m *minion) up() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	m.addr = l.Addr().String()
	m.lifes++
	m.life = &life{bornAt: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	life := m.life
	m.listener = l
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/run-start", m.handler(life, m.start))
	mux.HandleFunc("/v1/run-stop", m.handler(life, m.stop))
	mux.HandleFunc("/v1/hold", m.handler(life, m.hold))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {})
	m.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(m.server)
	m.t.log("minion %s is up at %s, born %d", m.id, m.addr, life.bornAt.UnixMilli())
	go m.beat(life)
	go m.advance(life)
	return nil
}

// crash ends the process of the minion: connections break and nothing is kept.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.life
	if l == nil {
		return
	}
	m.t.log("minion %s crashes", m.id)
	m.end(l, "crashed")
}

// end ends a life. The caller holds mu.
func (m *minion) end(l *life, how string) {
	l.over = true
	m.life = nil
	_ = m.server.Close()
	now := time.Now()
	for _, r := range l.runs {
		m.t.ended(r.record, how, now)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// drain announces that the minion leaves, and lets it leave after a time.
func (m *minion) drain(after time.Duration) {
	m.mu.Lock()
	m.draining = time.Now().Add(after)
	m.mu.Unlock()
	m.write()
	m.t.log("minion %s drains and leaves in %v", m.id, after)
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.gone = true
		m.t.log("minion %s leaves", m.id)
		if m.life != nil {
			m.end(m.life, "left")
		}
		m.t.store.drop("servers/" + m.id)
	})
}

// setFailing makes all that the minion starts fail.
func (m *minion) setFailing(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = on
	m.t.log("minion %s fails what it starts: %v", m.id, on)
}

// beat writes the entry of the minion regularly. The store removes it after three missing beats.
func (m *minion) beat(l *life) {
	for {
		m.mu.Lock()
		over := m.life != l || m.gone
		m.mu.Unlock()
		if over {
			break
		}
		m.write()
		time.Sleep(heartbeat)
	}
	time.Sleep(entryLifetime)
	m.mu.Lock()
	down := m.life == nil && !m.gone
	m.mu.Unlock()
	if down {
		m.t.store.drop("servers/" + m.id)
	}
}

func (m *minion) write() {
	m.mu.Lock()
	if m.life == nil || m.gone {
		m.mu.Unlock()
		return
	}
	m.seq++
	state := "ready"
	if !m.draining.IsZero() {
		state = "draining"
	}
	e := map[string]any{
		"service": serviceName, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": m.capacity, "labels": m.labels, "clockMs": m.life.clock(time.Now()), "seq": m.seq, "born": m.life.bornAt.UnixMilli(),
	}
	m.mu.Unlock()
	m.t.store.put("servers/"+m.id, e)
}

type minionCall struct {
	Task       string
	Attempt    int
	Spec       string
	DeadlineMs int64
	Fence      uint64
	LastSeen   int
	WaitMs     int
}

func (m *minion) handler(l *life, h func(*life, minionCall) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Header.Get("Expect-Instance") != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c minionCall
		if json.Unmarshal(body, &c) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, out := h(l, c)
		if status == 0 {
			panic(http.ErrAbortHandler) // the process is gone
		}
		writeJSON(w, status, out)
	}
}

func reply(l *life, status int, reason string) (int, map[string]any) {
	out := map[string]any{"clockMs": l.clock(time.Now()), "born": l.bornAt.UnixMilli()}
	if reason != "" {
		out["reason"] = reason
	}
	return status, out
}

func runKey(task string, attempt int) string { return fmt.Sprintf("%s/%d", task, attempt) }

// extend extends the lease of all runs; it never shortens it. The caller holds mu.
func (l *life) extend(endMs int64) {
	l.leaseMs = max(l.leaseMs, min(endMs, l.clock(time.Now())+maxHold.Milliseconds()))
}

// admit refuses calls with a fencing token that is too low, and those to a life that is over.
// The caller holds mu.
func (m *minion) admit(l *life, c minionCall, now time.Time) (status int, out map[string]any, refused bool) {
	m.settle(l, now)
	if l.over {
		return 0, nil, true
	}
	if c.Fence < l.fence {
		status, out = reply(l, http.StatusConflict, "fence")
		return status, out, true
	}
	l.fence = c.Fence
	return 0, nil, false
}

func (m *minion) start(l *life, c minionCall) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if status, out, refused := m.admit(l, c, now); refused {
		return status, out
	}
	switch {
	case l.runs[runKey(c.Task, c.Attempt)] != nil:
		l.extend(c.DeadlineMs)
		return reply(l, http.StatusOK, "")
	case l.highest[c.Task] >= c.Attempt:
		l.extend(c.DeadlineMs)
		return reply(l, http.StatusConflict, "old")
	case c.DeadlineMs <= l.clock(now):
		return reply(l, http.StatusConflict, "late")
	}
	var s taskSpec
	if json.Unmarshal([]byte(c.Spec), &s) != nil {
		return reply(l, http.StatusBadRequest, "spec")
	}
	r := &run{task: c.Task, attempt: c.Attempt, startAt: now, endAt: now.Add(time.Duration(s.Ms) * time.Millisecond), how: "done"}
	if m.failing {
		r.endAt, r.how = now.Add(20*time.Millisecond), "failed"
	}
	r.record = m.t.started(m.id, l, r, c.Fence)
	l.runs[runKey(c.Task, c.Attempt)] = r
	l.extend(c.DeadlineMs)
	return reply(l, http.StatusOK, "")
}

func (m *minion) stop(l *life, c minionCall) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if status, out, refused := m.admit(l, c, now); refused {
		return status, out
	}
	l.highest[c.Task] = max(l.highest[c.Task], c.Attempt)
	if r := l.runs[runKey(c.Task, c.Attempt)]; r != nil && !r.stopping {
		r.stopping, r.endAt, r.how = true, now.Add(stopTime), "stopped"
	}
	return reply(l, http.StatusOK, "")
}

// maxEnds is the most ends in one answer.
const maxEnds = 500

func (m *minion) hold(l *life, c minionCall) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if status, out, refused := m.admit(l, c, time.Now()); refused {
		return status, out
	}
	kept := l.ended[:0:0]
	for _, e := range l.ended {
		if e[0].(int) > c.LastSeen {
			kept = append(kept, e)
		} else {
			m.t.log("minion %s: end %v of %v/%v (%v) is acknowledged", m.id, e[0], e[1], e[2], e[3])
		}
	}
	l.ended = kept
	if c.DeadlineMs > 0 {
		l.extend(c.DeadlineMs)
	}
	if c.WaitMs > 0 && len(l.ended) == 0 {
		changed := l.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		}
		m.mu.Lock()
		m.settle(l, time.Now())
		if l.over {
			return 0, nil
		}
	}
	now := time.Now()
	status, out := reply(l, http.StatusOK, "")
	running := [][]any{}
	for _, r := range l.sorted() {
		percent := int(100 * now.Sub(r.startAt) / max(r.endAt.Sub(r.startAt), 1))
		running = append(running, []any{r.task, r.attempt, "", min(max(percent, 0), 99), 1})
	}
	out["running"], out["ended"] = running, l.ended[:min(len(l.ended), maxEnds)]
	if !m.draining.IsZero() {
		out["remainingMs"] = max(0, time.Until(m.draining).Milliseconds())
	}
	return status, out
}

func (l *life) sorted() []*run {
	out := make([]*run, 0, len(l.runs))
	for _, r := range l.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].endAt.Before(out[b].endAt) })
	return out
}

// settle ends the runs that are due, and all of them when the lease has ended. The caller holds mu.
func (m *minion) settle(l *life, now time.Time) {
	if l.over {
		return
	}
	lapse := l.bornAt.Add(time.Duration(l.leaseMs-1) * time.Millisecond)
	n := l.lastEnd
	for _, r := range l.sorted() {
		at := r.endAt
		switch {
		case !at.After(now) && !at.After(lapse):
			m.endRun(l, r, r.how, at)
		case !lapse.After(now):
			m.endRun(l, r, "lapsed", lapse)
		}
	}
	if l.lastEnd != n {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

func (m *minion) endRun(l *life, r *run, how string, at time.Time) {
	delete(l.runs, runKey(r.task, r.attempt))
	l.highest[r.task] = max(l.highest[r.task], r.attempt)
	l.lastEnd++
	l.ended = append(l.ended, []any{l.lastEnd, r.task, r.attempt, how, ""})
	m.t.ended(r.record, how, at)
}

// advance ends runs in time.
func (m *minion) advance(l *life) {
	for {
		time.Sleep(2 * time.Millisecond)
		m.mu.Lock()
		if l.over {
			m.mu.Unlock()
			return
		}
		m.settle(l, time.Now())
		m.mu.Unlock()
	}
}

// running returns the number of runs, and those of a job.
func (m *minion) running(job string) (all, of int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return 0, 0
	}
	m.settle(m.life, time.Now())
	for _, r := range m.life.runs {
		all++
		if strings.HasPrefix(r.task, job+".") {
			of++
		}
	}
	return all, of
}
