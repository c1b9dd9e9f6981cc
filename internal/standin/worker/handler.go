package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/standin/lost"
)

// Server serves a State over HTTP, on the time package's clock.
type Server struct {
	// Behavior decides the duration and the end of a run. It may be nil.
	Behavior func(id fleet.RunID, spec string) (time.Duration, fleet.EndKind)

	id     string
	opts   Options
	router chi.Router

	mu      sync.Mutex
	state   *State
	changed chan struct{} // closed and replaced when a run ends
	starts  []fleet.RunID
	mode    Mode
}

// Mode is the injected faults of a Server.
type Mode struct {
	Silent       bool // calls are neither executed nor answered
	LoseAnswers  int  // number of next commands that take effect but are not answered
	Draining     bool
	RejectStarts bool // starts are rejected with 503
}

// NewServer returns a server with the given ID.
func NewServer(id string, o Options) *Server {
	s := &Server{id: id, opts: o, changed: make(chan struct{})}
	s.state = New(o, now(), time.Now().UnixMilli())
	r := chi.NewRouter()
	r.Use(s.injectFaults)
	r.Post("/v1/run-start", s.start)
	r.Post("/v1/run-stop", s.stop)
	r.Post("/v1/hold", s.poll)
	s.router = r
	return s
}

func now() fleet.Time { return fleet.Time(time.Now().UnixNano()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetMode replaces the faults.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Restart crashes the server and restarts it with the same ID.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = New(s.opts, now(), s.state.BootTime()+1)
	if s.opts.OnCrash != nil {
		s.opts.OnCrash()
	}
	s.wakePolls()
}

// Starts returns the started runs in order.
func (s *Server) Starts() []fleet.RunID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fleet.RunID(nil), s.starts...)
}

// Running returns the number of runs in progress.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now()
	s.state.Advance(at)
	return len(s.state.Running(at))
}

// wakePolls answers the waiting polls. The caller holds mu.
func (s *Server) wakePolls() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// injectFaults applies the faults to a call.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent, lose := s.mode.Silent, s.mode.LoseAnswers > 0 && r.URL.Path != "/v1/hold"
		if lose {
			s.mode.LoseAnswers--
		}
		s.mu.Unlock()
		switch {
		case silent:
			lost.Hang(r)
		case r.Header.Get("Expect-Instance") != s.id:
			w.WriteHeader(http.StatusMisdirectedRequest)
		case lose:
			lost.DropAnswer(next, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// callBody has the fields of all calls.
type callBody struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

func (b *callBody) runID() (fleet.RunID, error) {
	parts := strings.Split(b.Task, ".")
	if len(parts) != 4 {
		return fleet.RunID{}, fmt.Errorf("task %q has no four parts", b.Task)
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return fleet.RunID{}, err
	}
	index, err := strconv.Atoi(parts[3])
	return fleet.RunID{Task: fleet.TaskID{Job: parts[0], Step: step, Index: index}, Attempt: b.Attempt}, err
}

func decodeCall(w http.ResponseWriter, r *http.Request) (b callBody, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return b, false
	}
	return b, true
}

// decodeCommand decodes a call that concerns one run.
func decodeCommand(w http.ResponseWriter, r *http.Request) (b callBody, id fleet.RunID, ok bool) {
	if b, ok = decodeCall(w, r); !ok {
		return b, id, false
	}
	id, err := b.runID()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return b, id, false
	}
	return b, id, true
}

func (s *Server) start(w http.ResponseWriter, r *http.Request) {
	b, id, ok := decodeCommand(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode.RejectStarts {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c := StartCommand{Run: id, Fence: b.Fence, LeaseEndMs: b.DeadlineMs, Duration: time.Millisecond, EndKind: fleet.EndDone}
	if s.Behavior != nil {
		c.Duration, c.EndKind = s.Behavior(id, b.Spec)
	}
	outcome, started := s.state.Start(now(), c)
	if started {
		s.starts = append(s.starts, id)
		s.schedule()
	}
	switch outcome {
	case fleet.StartAccepted:
		s.reply(w, http.StatusOK, "")
	case fleet.StartFenced:
		s.reply(w, http.StatusConflict, "fence")
	case fleet.StartOutdated:
		s.reply(w, http.StatusConflict, "old")
	default:
		s.reply(w, http.StatusConflict, "late")
	}
}

// schedule advances the state when the next run ends. The caller holds mu.
func (s *Server) schedule() {
	at, ok := s.state.Next()
	if !ok {
		return
	}
	state := s.state
	time.AfterFunc(at.Sub(now()), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.state != state {
			return // the server has crashed in the meantime
		}
		before := len(state.ended)
		state.Advance(now())
		if len(state.ended) != before {
			s.wakePolls()
		}
		s.schedule()
	})
}

func (s *Server) stop(w http.ResponseWriter, r *http.Request) {
	b, id, ok := decodeCommand(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Stop(now(), id, b.Fence) {
		s.reply(w, http.StatusConflict, "fence")
		return
	}
	s.schedule()
	s.reply(w, http.StatusOK, "")
}

func (s *Server) poll(w http.ResponseWriter, r *http.Request) {
	b, ok := decodeCall(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	fenced := s.state.Poll(now(), b.Fence, b.LastSeen, b.DeadlineMs)
	if !fenced && b.WaitMs > 0 && len(s.state.Ended()) == 0 {
		s.waitForEnd(r, time.Duration(b.WaitMs)*time.Millisecond)
	}
	defer s.mu.Unlock()
	if fenced {
		s.reply(w, http.StatusConflict, "fence")
		return
	}
	s.replyWithRuns(w)
}

// waitForEnd waits until a run ends. The caller holds mu before and after.
func (s *Server) waitForEnd(r *http.Request, wait time.Duration) {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// maxListedEnds is the number of ends in one answer.
const maxListedEnds = 500

// replyWithRuns answers with the running and the ended runs.
func (s *Server) replyWithRuns(w http.ResponseWriter) {
	out := map[string]any{"clockMs": s.state.ClockMs(now()), "born": s.state.BootTime()}
	if s.mode.Draining {
		out["remainingMs"] = 0
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range s.state.Running(now()) {
		running = append(running, []any{taskName(r.Run.Task), r.Run.Attempt, "", r.Percent})
	}
	ends := s.state.Ended()
	for _, e := range ends[:min(len(ends), maxListedEnds)] {
		ended = append(ended, []any{e.Seq, taskName(e.Run.Task), e.Run.Attempt, endKindName(e.Kind), ""})
	}
	out["running"], out["ended"] = running, ended
	writeJSON(w, http.StatusOK, out)
}

func taskName(t fleet.TaskID) string { return fmt.Sprintf("%s.0.%d.%d", t.Job, t.Step, t.Index) }

func endKindName(kind fleet.EndKind) string {
	switch kind {
	case fleet.EndDone:
		return "done"
	case fleet.EndFailed:
		return "failed"
	case fleet.EndStopped:
		return "stopped"
	}
	return "lapsed"
}

// reply answers a command. The caller holds mu.
func (s *Server) reply(w http.ResponseWriter, status int, reason string) {
	out := map[string]any{"clockMs": s.state.ClockMs(now())}
	if reason != "" {
		out["reason"] = reason
	}
	writeJSON(w, status, out)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has disconnected
}
