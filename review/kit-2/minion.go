package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// A minion, as PROTOCOL.md describes it. It starts whatever it is told to start
// (enforcesCapacity is false).

const (
	maxHold     = time.Second
	stopTime    = 20 * time.Millisecond // below stopTimeoutMs
	heartbeat   = 1500 * time.Millisecond
	endsPerList = 500
)

// Room is what a minion offers or a task needs.
type Room struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"memMb"`
	GPU   int `json:"gpu"`
}

// Work tells how long a task takes and how it ends.
type Work func(task, spec string, run int) (time.Duration, string)

type minionRun struct {
	task    string
	run     int
	started time.Time
	ends    time.Time // by itself
	how     string
	stopAt  time.Time // zero: not being stopped
}

type minionEnd struct {
	n    int
	task string
	run  int
	how  string
}

// Minion is one machine that runs tasks; it keeps its ID over restarts.
type Minion struct {
	id, service, zone string
	labels            []string
	room              Room
	work              Work
	store             *Store
	rec               *Record
	ip                string
	addr              string

	mu       sync.Mutex
	up       bool
	stopped  chan struct{} // closed when this life ends
	listener net.Listener
	conns    map[net.Conn]bool
	boot     time.Time
	bornMs   int64
	fence    uint64
	lease    time.Time
	seq      int
	runs     map[string]*minionRun
	highest  map[string]int
	ends     []minionEnd
	lastEnd  int
	changed  chan struct{}
	cut      bool // no machine of the system reaches it; calls are lost
	state    string
	timer    *time.Timer
}

// start begins a life of the minion.
func (m *Minion) start() error {
	addr := m.addr
	if addr == "" {
		addr = m.ip + ":0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addr, m.listener, m.up = l.Addr().String(), l, true
	m.conns, m.stopped = map[net.Conn]bool{}, make(chan struct{})
	m.boot, m.bornMs = time.Now(), time.Now().UnixMilli()
	m.fence, m.lease, m.ends, m.lastEnd = 0, time.Time{}, nil, 0
	m.runs, m.highest, m.changed, m.state = map[string]*minionRun{}, map[string]int{}, make(chan struct{}), "ready"
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.serve(m.runStart))
	mux.HandleFunc("POST /v1/run-stop", m.serve(m.runStop))
	mux.HandleFunc("POST /v1/hold", m.hold)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	srv := &http.Server{Handler: m.checkID(mux), ConnState: m.track}
	go func() { _ = srv.Serve(l) }()
	go m.report(m.stopped)
	return nil
}

func (m *Minion) track(c net.Conn, s http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch s {
	case http.StateNew:
		if !m.up {
			c.Close()
			return
		}
		m.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(m.conns, c)
	}
}

// report writes the minion's entry about every heartbeat.
func (m *Minion) report(stopped chan struct{}) {
	for {
		m.writeEntry()
		select {
		case <-stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (m *Minion) writeEntry() {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.seq++
	entry := map[string]any{
		"service": m.service, "address": m.addr, "zone": m.zone, "version": "1", "slots": 8, "state": m.state, "coldLeftMs": 0, "seq": m.seq,
		"capacity": m.room, "labels": m.labels, "born": m.bornMs, "clockMs": m.clockMs(),
	}
	m.mu.Unlock()
	data, _ := json.Marshal(entry)
	m.store.put("servers/"+m.id, data)
}

// crash ends this life at once. The entry goes after three heartbeats, unless the
// minion is back by then.
func (m *Minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.up = false
	close(m.stopped)
	m.listener.Close()
	for c := range m.conns {
		c.Close()
	}
	for _, r := range m.runs {
		m.rec.add("crashed", m.id, r.task, r.run, "")
	}
	m.runs = map[string]*minionRun{}
	if m.timer != nil {
		m.timer.Stop()
	}
	m.rec.add("down", m.id, "-", 0, "")
	born := m.bornMs
	time.AfterFunc(3*heartbeat, func() {
		m.mu.Lock()
		gone := m.bornMs == born
		m.mu.Unlock()
		if gone {
			m.store.drop("servers/" + m.id)
		}
	})
}

// restart begins the next life, under the same ID and address.
func (m *Minion) restart() error {
	err := m.start()
	m.rec.add("up", m.id, "-", 0, "")
	return err
}

func (m *Minion) clockMs() int64 { return 1 + time.Since(m.boot).Milliseconds() }

func (m *Minion) checkID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		m.mu.Lock()
		cut := m.cut
		m.mu.Unlock()
		if cut {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// cutOff cuts the minion off from all machines of the system, but not from the store.
func (m *Minion) cutOff() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = true
	m.rec.add("cut", m.id, "-", 0, "")
}

type minionCall struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	LastSeen   int    `json:"lastSeen"`
	WaitMs     int    `json:"waitMs"`
}

// begin reads a call and locks mu, if the call can be read.
func (m *Minion) begin(w http.ResponseWriter, r *http.Request) (c minionCall, ok bool) {
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	m.mu.Lock()
	m.advance()
	return c, true
}

// serve answers a command; handle returns the reason of a rejection.
func (m *Minion) serve(handle func(minionCall) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := m.begin(w, r)
		if !ok {
			return
		}
		defer m.mu.Unlock()
		body, status := map[string]any{"clockMs": m.clockMs(), "born": m.bornMs}, http.StatusOK
		reason := "fence"
		if c.Fence >= m.fence {
			m.fence = c.Fence
			reason = handle(c)
		}
		if reason != "" {
			body["reason"], status = reason, http.StatusConflict
		}
		sendJSON(w, status, body)
	}
}

// extend extends the lease of everything that runs; it never shortens it.
func (m *Minion) extend(deadlineMs int64) {
	end := m.boot.Add(time.Duration(deadlineMs-1) * time.Millisecond)
	if longest := time.Now().Add(maxHold); end.After(longest) {
		end = longest
	}
	if end.After(m.lease) {
		m.lease = end
	}
}

func (m *Minion) runStart(c minionCall) string {
	key := fmt.Sprint(c.Task, "#", c.Attempt)
	switch {
	case m.runs[key] != nil:
		return ""
	case m.highest[c.Task] >= c.Attempt:
		m.extend(c.DeadlineMs)
		return "old"
	case c.DeadlineMs <= m.clockMs():
		return "late"
	}
	took, how := m.work(c.Task, c.Spec, c.Attempt)
	now := time.Now()
	m.runs[key] = &minionRun{task: c.Task, run: c.Attempt, started: now, ends: now.Add(took), how: how}
	m.rec.add("start", m.id, c.Task, c.Attempt, "")
	m.extend(c.DeadlineMs)
	m.schedule()
	return ""
}

func (m *Minion) runStop(c minionCall) string {
	m.highest[c.Task] = max(m.highest[c.Task], c.Attempt)
	if r := m.runs[fmt.Sprint(c.Task, "#", c.Attempt)]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
		m.schedule()
	}
	return ""
}

// advance ends what is due. mu is held.
func (m *Minion) advance() {
	now := time.Now()
	for key, r := range m.runs {
		at, how := r.ends, r.how
		if !r.stopAt.IsZero() && r.stopAt.Before(at) {
			at, how = r.stopAt, "stopped"
		}
		if m.lease.Before(at) {
			at, how = m.lease, "lapsed"
		}
		if at.After(now) {
			continue
		}
		delete(m.runs, key)
		m.highest[r.task] = max(m.highest[r.task], r.run)
		m.lastEnd++
		m.ends = append(m.ends, minionEnd{m.lastEnd, r.task, r.run, how})
		m.rec.add(how, m.id, r.task, r.run, "")
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// schedule advances the minion when the next run may end. mu is held.
func (m *Minion) schedule() {
	if len(m.runs) == 0 {
		return
	}
	at := m.lease
	for _, r := range m.runs {
		if r.ends.Before(at) {
			at = r.ends
		}
		if !r.stopAt.IsZero() && r.stopAt.Before(at) {
			at = r.stopAt
		}
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	stopped := m.stopped
	m.timer = time.AfterFunc(time.Until(at)+time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.up && m.stopped == stopped {
			m.advance()
			m.schedule()
		}
	})
}

func (m *Minion) hold(w http.ResponseWriter, r *http.Request) {
	c, ok := m.begin(w, r)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	if c.Fence < m.fence {
		sendJSON(w, http.StatusConflict, map[string]any{"clockMs": m.clockMs(), "born": m.bornMs, "reason": "fence"})
		return
	}
	m.fence = c.Fence
	for len(m.ends) > 0 && m.ends[0].n <= c.LastSeen {
		e := m.ends[0]
		note := ""
		if m.lease.Before(time.Now()) {
			note = "after the lease"
		}
		m.rec.add("noted", m.id, e.task, e.run, strings.TrimSpace(e.how+" "+note))
		m.ends = m.ends[1:]
	}
	if c.DeadlineMs > 0 {
		m.extend(c.DeadlineMs)
		m.schedule()
	}
	if c.WaitMs > 0 && len(m.ends) == 0 {
		changed, stopped := m.changed, m.stopped
		m.mu.Unlock()
		select {
		case <-changed:
		case <-stopped:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.mu.Lock()
		if m.stopped != stopped || !m.up {
			return
		}
		m.advance()
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range m.runs {
		percent := int(100 * time.Since(x.started) / x.ends.Sub(x.started))
		running = append(running, []any{x.task, x.run, "", min(max(percent, 0), 99), 0})
	}
	for _, e := range m.ends[:min(len(m.ends), endsPerList)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clockMs": m.clockMs(), "born": m.bornMs, "running": running, "ended": ended}
	if m.state == "draining" {
		body["remainingMs"] = 0
	}
	sendJSON(w, http.StatusOK, body)
}

// runsNow returns the names of the tasks at work.
func (m *Minion) runsNow() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, r := range m.runs {
		out = append(out, r.task)
	}
	return out
}
