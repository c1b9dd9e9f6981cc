//go:build ignore

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// minion is a stand-in for a minion, as PROTOCOL.md describes it. Its runs take as long as
// the function of the world says.
type minion struct {
	w          *world
	id, addr   string
	zone, rack string
	kind       string
	service    string
	cpu        int

	mu      sync.Mutex
	up      bool
	born    time.Time
	fence   uint64
	running map[string]*taskRun // by task and attempt
	ended   []*taskRun
	nEnds   int
	highest map[string]int // by task: highest attempt stopped or ended
	lease   int64          // end, on its clock
	seen    int            // highest lastSeen
	changed chan struct{}
	server  *http.Server
	seq     int
	life    int
	leaving bool
	quiet   atomic.Bool // calls get no answer and aren't carried out
}

// taskRun is one run of a task.
type taskRun struct {
	minion    *minion
	life      int
	task      string
	attempt   int
	spec      string
	startedAt time.Time
	takes     time.Duration
	endsAs    string
	stopAt    time.Time
	endedAt   time.Time
	how       string // empty while it runs; "lost" with the minion
	n         int
	void      bool      // the lease lapsed after the end and before its acknowledgement
	ackedAt   time.Time // when lastSeen reached the end
}

const maxHoldMs = 1000

func (m *minion) clock(t time.Time) int64 { return t.Sub(m.born).Milliseconds() + 1 }

// start begins a life of the minion.
func (m *minion) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, err := net.Listen("tcp", m.addr)
	check(err)
	m.addr = l.Addr().String()
	m.up, m.born, m.fence, m.lease, m.nEnds, m.seen, m.seq = true, time.Now(), 0, 0, 0, 0, 0
	m.running, m.ended, m.highest, m.changed = map[string]*taskRun{}, nil, map[string]int{}, make(chan struct{})
	m.life++
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve)}
	go m.server.Serve(l)
	go m.tick(m.life)
	go m.beat(m.life)
}

// crash ends the life of the minion; its connections are reset or closed.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.up = false
	m.server.Close()
	for _, r := range m.running {
		r.how, r.endedAt = "lost", time.Now()
		m.w.record("minion %s crashed under run %s attempt %d", m.id, r.task, r.attempt)
	}
	m.running = map[string]*taskRun{}
	close(m.changed)
	life := m.life
	// The store drops the entry after three heartbeats of silence.
	time.AfterFunc(3*heartbeat, func() {
		m.mu.Lock()
		gone := !m.up && m.life == life
		m.mu.Unlock()
		if gone {
			m.w.store.remove("servers/" + m.id)
		}
	})
}

func (m *minion) state() string {
	if m.leaving {
		return "draining"
	}
	return "ready"
}

// drain empties the minion and takes it away: it reports that it drains, goes on until it runs
// nothing, at least drainMs, and leaves.
func (m *minion) drain() {
	m.mu.Lock()
	m.leaving = true
	life := m.life
	m.mu.Unlock()
	m.w.record("minion %s drains", m.id)
	m.writeEntry(life)
	go func() {
		time.Sleep(2 * time.Second)
		for {
			time.Sleep(50 * time.Millisecond)
			m.mu.Lock()
			empty := len(m.running) == 0 && len(m.ended) == 0
			m.mu.Unlock()
			if empty {
				break
			}
		}
		m.w.record("minion %s leaves", m.id)
		m.crash()
		m.w.store.remove("servers/" + m.id)
	}()
}

// powerOff ends the minion for good: connections to it get no answer.
func (m *minion) powerOff() {
	m.quiet.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.w.record("minion %s has lost power", m.id)
	for _, r := range m.running {
		r.how, r.endedAt = "lost", time.Now()
	}
	m.running, m.up = map[string]*taskRun{}, false
	// The store drops the entry after three heartbeats of silence.
	time.AfterFunc(3*heartbeat, func() { m.w.store.remove("servers/" + m.id) })
}

const heartbeat = 1500 * time.Millisecond

func (m *minion) beat(life int) {
	for m.writeEntry(life) {
		time.Sleep(heartbeat)
	}
}

// writeEntry writes the entry in the store; false if the life is over.
func (m *minion) writeEntry(life int) bool {
	m.mu.Lock()
	if !m.up || m.life != life {
		m.mu.Unlock()
		return false
	}
	m.seq++
	entry := map[string]any{
		"service": m.service, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state(), "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": m.cpu, "memMb": 65536, "gpu": 0}, "labels": []string{m.kind, m.rack},
		"clockMs": m.clock(time.Now()), "seq": m.seq, "born": m.born.UnixMilli(),
	}
	m.mu.Unlock()
	if !m.quiet.Load() {
		m.w.store.put("servers/"+m.id, entry)
	}
	return true
}

func (m *minion) tick(life int) {
	for {
		time.Sleep(2 * time.Millisecond)
		m.mu.Lock()
		if !m.up || m.life != life {
			m.mu.Unlock()
			return
		}
		m.advance(time.Now())
		m.mu.Unlock()
	}
}

// advance ends the runs that are due. The caller holds mu.
func (m *minion) advance(now time.Time) {
	lapsed := m.clock(now) >= m.lease
	if lapsed {
		for _, r := range m.ended {
			r.void = true
		}
	}
	for k, r := range m.running {
		switch {
		case lapsed:
			m.end(k, r, "lapsed", now)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.end(k, r, "stopped", now)
		case now.Sub(r.startedAt) >= r.takes:
			m.end(k, r, r.endsAs, now)
		}
	}
}

func (m *minion) end(k string, r *taskRun, how string, now time.Time) {
	delete(m.running, k)
	m.nEnds++
	r.how, r.endedAt, r.n = how, now, m.nEnds
	m.ended = append(m.ended, r)
	m.highest[r.task] = max(m.highest[r.task], r.attempt)
	if m.w.verbose {
		m.w.record("minion %s: run %s attempt %d ends %s", m.id, r.task, r.attempt, how)
	}
	close(m.changed)
	m.changed = make(chan struct{})
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

func (m *minion) serve(w http.ResponseWriter, r *http.Request) {
	if m.quiet.Load() {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", m.id)
		w.WriteHeader(200)
		return
	}
	if x := r.Header.Get("Expect-Instance"); x != "" && x != m.id {
		w.WriteHeader(421)
		return
	}
	var b minionCall
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	now := time.Now()
	m.advance(now)
	refuse := func(reason string) { answer(w, 409, map[string]any{"clockMs": m.clock(now), "reason": reason}) }
	if b.Fence < m.fence {
		refuse("fence")
		return
	}
	m.fence = b.Fence
	switch r.URL.Path {
	case "/v1/run-start":
		m.runStart(w, b, now, refuse)
	case "/v1/run-stop":
		m.highest[b.Task] = max(m.highest[b.Task], b.Attempt)
		if x := m.running[runKey(b.Task, b.Attempt)]; x != nil && x.stopAt.IsZero() {
			x.stopAt = now.Add(20 * time.Millisecond)
		}
		answer(w, 200, map[string]any{"clockMs": m.clock(now)})
	case "/v1/hold":
		m.hold(w, r, b, now)
	default:
		answer(w, 404, map[string]any{})
	}
}

func runKey(task string, attempt int) string { return fmt.Sprintf("%s#%d", task, attempt) }

func (m *minion) extend(deadline int64, now time.Time) {
	m.lease = max(m.lease, min(deadline, m.clock(now)+maxHoldMs))
}

func (m *minion) runStart(w http.ResponseWriter, b minionCall, now time.Time, refuse func(string)) {
	k := runKey(b.Task, b.Attempt)
	switch {
	case m.running[k] != nil:
		m.extend(b.DeadlineMs, now)
	case m.highest[b.Task] >= b.Attempt:
		m.extend(b.DeadlineMs, now)
		refuse("old")
		return
	case b.DeadlineMs <= m.clock(now):
		refuse("late")
		return
	default:
		m.extend(b.DeadlineMs, now)
		r := &taskRun{minion: m, life: m.life, task: b.Task, attempt: b.Attempt, spec: b.Spec, startedAt: now}
		r.takes, r.endsAs = m.w.behavior(b.Task, b.Attempt, b.Spec)
		m.running[k] = r
		m.w.started(r)
	}
	answer(w, 200, map[string]any{"clockMs": m.clock(now)})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, b minionCall, now time.Time) {
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.n <= b.LastSeen {
			e.ackedAt = now
		} else {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	if b.DeadlineMs > 0 {
		m.extend(b.DeadlineMs, now)
	}
	if b.WaitMs > 0 && len(m.ended) == 0 {
		changed := m.changed
		m.mu.Unlock()
		t := time.NewTimer(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
		m.mu.Lock()
		if !m.up || m.quiet.Load() {
			return
		}
		now = time.Now()
		m.advance(now)
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range m.sortedRunning() {
		percent := int(100 * now.Sub(x.startedAt) / max(x.takes, 1))
		running = append(running, []any{x.task, x.attempt, "", min(percent, 99), 0})
	}
	for _, e := range m.ended {
		if len(ended) < 500 {
			ended = append(ended, []any{e.n, e.task, e.attempt, e.how, ""})
		}
	}
	out := map[string]any{"clockMs": m.clock(now), "born": m.born.UnixMilli(), "running": running, "ended": ended}
	if m.leaving {
		out["remainingMs"] = 0
	}
	answer(w, 200, out)
}

func (m *minion) sortedRunning() (out []*taskRun) {
	for _, x := range m.running {
		out = append(out, x)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].startedAt.Before(out[j].startedAt) })
	return out
}
