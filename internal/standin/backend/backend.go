// Package backend is a stand-in for a backend server, for tests and for the
// demo deployment.
package backend

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegweir/nutmegweir/internal/backendapi"
)

// Paths of the stand-in beyond the backend contract.
const (
	// PathStarts lists the starts of every task identity (GET), or with the
	// query parameter "repeated" only of those started more than once.
	PathStarts = "/standin/starts"
	// PathModes reads (GET) and replaces (PUT) the Modes.
	PathModes = "/standin/modes"
)

const maxPayloadBytes = 1 << 20

// Payload is the body of a task.
type Payload struct {
	RunMs int64           `json:"run_ms"` // run time at speed 1
	Fail  bool            `json:"fail"`   // the task runs and fails
	Echo  json.RawMessage `json:"echo"`   // copied to the output
}

// Output is the output of a task.
type Output struct {
	Server string          `json:"server"`
	Task   string          `json:"task"`
	Echo   json.RawMessage `json:"echo,omitempty"`
}

// Modes are the injected faults and states of the server.
type Modes struct {
	FailAll bool `json:"fail_all"` // every task fails at once
	Silent  bool `json:"silent"`   // accepts requests and never answers, health included
	Leaving bool `json:"leaving"`  // announces it on every answer
}

// Start counts the starts of one task identity.
type Start struct {
	Task  string `json:"task"`
	Count int    `json:"count"`
}

// Options are the settings of the server.
type Options struct {
	Name           string
	Slots          int
	Speed          float64 // divisor of run times; 0 means 1
	MaxConnections int     // 0 means backendapi.MaxConnections
	Modes          Modes
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	opts   Options
	router chi.Router

	mu     sync.Mutex
	modes  Modes
	busy   int
	starts map[string]int

	running map[string]int // runs in progress by task identity
}

// New returns a server.
func New(o Options) *Server {
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = backendapi.MaxConnections
	}
	s := &Server{opts: o, modes: o.Modes, starts: make(map[string]int), running: make(map[string]int)}
	s.router = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) routes() chi.Router {
	r := chi.NewRouter()
	r.Get(PathStarts, s.getStarts)
	r.Get(PathModes, func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Modes()) })
	r.Put(PathModes, s.putModes)
	r.Group(func(r chi.Router) {
		r.Use(s.applyModes)
		r.Post(backendapi.PathTasks, s.runTask)
		r.Get(backendapi.PathHealth, s.health)
	})
	return r
}

// Modes returns the current modes.
func (s *Server) Modes() Modes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modes
}

// SetModes replaces the modes.
func (s *Server) SetModes(m Modes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes = m
}

// Starts returns the starts of every task identity, sorted by identity.
func (s *Server) Starts() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Start, 0, len(s.starts))
	for task, n := range s.starts {
		list = append(list, Start{Task: task, Count: n})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	return list
}

// Repeated returns the identities that were started more than once.
func (s *Server) Repeated() []Start {
	var list []Start
	for _, st := range s.Starts() {
		if st.Count > 1 {
			list = append(list, st)
		}
	}
	return list
}

func (s *Server) getStarts(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("repeated") {
		reply(w, append([]Start{}, s.Repeated()...))
		return
	}
	reply(w, s.Starts())
}

func (s *Server) putModes(w http.ResponseWriter, r *http.Request) {
	var m Modes
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetModes(m)
	reply(w, m)
}

// applyModes applies the modes that affect every answer.
func (s *Server) applyModes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := s.Modes()
		if m.Leaving {
			w.Header().Set(backendapi.HeaderLeaving, "true")
		}
		if m.Silent {
			s.hang(r)
		}
		next.ServeHTTP(w, r)
	})
}

// hang blocks a request until its sender disconnects. A task counts as started,
// because the sender cannot tell.
func (s *Server) hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if task := r.Header.Get(backendapi.HeaderTask); task != "" {
		s.mu.Lock()
		s.starts[task]++
		s.mu.Unlock()
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	h := backendapi.Health{Slots: s.opts.Slots, Busy: s.busy, Leaving: s.modes.Leaving}
	if task := r.URL.Query().Get(backendapi.ParamTask); task != "" {
		running := s.running[task] > 0
		h.Running = &running
	}
	s.mu.Unlock()
	reply(w, h)
}

func (s *Server) runTask(w http.ResponseWriter, r *http.Request) {
	task := r.Header.Get(backendapi.HeaderTask)
	var p Payload
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPayloadBytes)).Decode(&p)
	if task == "" || err != nil {
		http.Error(w, "the task header or the payload is malformed", http.StatusBadRequest)
		return
	}
	if !s.acquireSlot(task) {
		w.Header().Set(backendapi.HeaderStarted, "no")
		http.Error(w, "every slot is busy or the server is leaving", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot(task)
	if s.Modes().FailAll {
		http.Error(w, "the server fails every task", http.StatusInternalServerError)
		return
	}
	time.Sleep(s.runTime(p))
	if p.Fail {
		http.Error(w, "the task failed", http.StatusUnprocessableEntity)
		return
	}
	reply(w, Output{Server: s.opts.Name, Task: task, Echo: p.Echo})
}

// acquireSlot occupies a slot and counts the start.
func (s *Server) acquireSlot(task string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.opts.Slots || s.modes.Leaving {
		return false
	}
	s.busy++
	s.starts[task]++
	s.running[task]++
	return true
}

func (s *Server) releaseSlot(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.running[task]--
	if s.running[task] == 0 {
		delete(s.running, task)
	}
}

func (s *Server) runTime(p Payload) time.Duration {
	return time.Duration(float64(p.RunMs) / s.opts.Speed * float64(time.Millisecond))
}

// Listener caps the open connections of l at the server's limit. A connection
// beyond it is closed at once.
func (s *Server) Listener(l net.Listener) net.Listener {
	return &cappedListener{Listener: l, max: s.opts.MaxConnections}
}

type cappedListener struct {
	net.Listener
	max  int
	mu   sync.Mutex
	open int
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &cappedConn{Conn: c, release: sync.OnceFunc(l.release)}, nil
		}
		_ = c.Close()
	}
}

func (l *cappedListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.max {
		return false
	}
	l.open++
	return true
}

func (l *cappedListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

type cappedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *cappedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
