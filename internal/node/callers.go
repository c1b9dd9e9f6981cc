package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/platform"
)

// callers serves the requests of callers.
type callers struct {
	node *Node

	mu     sync.Mutex
	next   fleet.CallID
	calls  map[fleet.CallID]chan fleet.Result
	lastAt fleet.Time // of the last request
	open   int        // requests under way
	end    fleet.Time // of the process, once it is known
}

func newCallers(n *Node) *callers {
	return &callers{node: n, calls: map[fleet.CallID]chan fleet.Result{}}
}

// waiting returns the number of jobs whose callers wait.
func (c *callers) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

// stopBy tells when the process ends.
func (c *callers) stopBy(t fleet.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = t
}

// Jobs that come while the process stops are taken if they are likely to end
// before it: estimates are rough, and stragglers take several times as long.
const (
	stopFactor = 3
	stopMargin = 300 * time.Millisecond
)

// tooLate reports whether a job may not end before the process.
func (c *callers) tooLate(j *fleet.JobSpec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end != 0 && j.ReceivedAt.Add(stopFactor*j.CriticalPath()+stopMargin) > c.end
}

// quietFor is how long no request may have come before a stopping instance ends.
const quietFor = 300 * time.Millisecond

// quiet reports whether no request is under way or came lately.
func (c *callers) quiet(now fleet.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0 && now.Sub(c.lastAt) > quietFor
}

// answer hands a result to the request that waits for it.
func (c *callers) answer(a fleet.Answer) {
	c.mu.Lock()
	ch := c.calls[a.Call]
	delete(c.calls, a.Call)
	c.mu.Unlock()
	if ch != nil {
		ch <- a.Result
	}
}

// ServeHTTP implements http.Handler.
func (c *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stopping := c.enter()
	defer c.exit()
	if stopping {
		// Callers come back through another instance. Idle connections stay until
		// then: a request may be on its way.
		w.Header().Set("Connection", "close")
	}
	config := c.node.config.get()
	if config == nil {
		c.refuse(w, "", platform.Rejection{
			Status: platform.StatusNotRun, RetryAfter: time.Second,
			Problem: "no configuration is in force yet", Remedy: "Come back after the wait.",
		})
		return
	}
	route, id, ok := config.Match(r.Host, r.URL.Path)
	if !ok {
		c.refuse(w, "", platform.Rejection{
			Status: platform.StatusRouteNotFound, Problem: "no route matches the host and path",
			Remedy: "Check both against the operator's configuration.",
		})
		return
	}
	switch {
	case r.Method == http.MethodGet && id == "":
		c.pending(w, r, route)
	case r.Method == http.MethodGet:
		c.state(w, r, id)
	case r.Method == http.MethodDelete:
		c.cancel(w, r, id)
	case r.Method == http.MethodPost:
		c.submit(w, r, config, route, id)
	default:
		c.refuse(w, id, platform.Rejection{
			Status: platform.StatusMethodNotAllowed, Problem: "method " + r.Method + " is not served", Remedy: "Use POST, GET or DELETE.",
		})
	}
}

// enter notes a request and reports whether the process is about to end.
func (c *callers) enter() (stopping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	c.lastAt = bootTime()
	return c.end != 0
}

func (c *callers) exit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

func (c *callers) refuse(w http.ResponseWriter, id string, r platform.Rejection) {
	c.node.notes.refused(id, r)
	platform.WriteRejection(w, r)
}

// submit runs a job and answers when it has ended.
func (c *callers) submit(w http.ResponseWriter, r *http.Request, config *configInForce, route platform.Route, id string) {
	received := bootTime()
	s, refusal := c.parse(r, config, route, id)
	if refusal != nil {
		c.refuse(w, id, *refusal)
		return
	}
	s.Job.Route, s.Job.Service = route.Name, route.Service
	s.Job.Priority, s.Job.MaxAttempts = route.Priority, route.Attempts
	s.Job.Objective, s.Job.ReceivedAt = route.Objective, received
	s.Job.Timeout = timeout(route, platform.Deadline(r))
	s.Job.Durable = s.Durable
	if s.Durable {
		c.keep(w, r, &s.Job)
		return
	}
	if c.tooLate(&s.Job) {
		c.refuse(w, id, platform.Rejection{
			Status: platform.StatusNotRun, RetryAfter: time.Second,
			Problem: "this instance is about to end; the job has not run", Remedy: "Come back after the wait, by another instance.",
		})
		return
	}
	if call, res, ok := c.handIn(r.Context(), &s.Job); ok {
		c.reply(w, call, &s.Job, res)
	}
}

// handIn hands a job to the reducer and waits for its result; ok is false if ctx
// ends first.
func (c *callers) handIn(ctx context.Context, j *fleet.JobSpec) (call fleet.CallID, r fleet.Result, ok bool) {
	call, r, ok = c.ask(ctx, func(call fleet.CallID) fleet.Event { return fleet.JobSubmitted{Call: call, Job: *j} })
	if !ok {
		c.node.post(fleet.CallerDisconnected{Call: call})
		c.node.notes.callerGone(call, j)
	}
	return call, r, ok
}

// timeout returns how long a job may take: as long as its caller waits, which
// depends on the job's length, or else as the route says.
func timeout(route platform.Route, deadline time.Duration) time.Duration {
	switch {
	case deadline > 0:
		return deadline
	case route.Timeout > 0:
		return route.Timeout
	}
	return defaultTimeout
}

// defaultTimeout holds where neither the route nor the caller names one.
const defaultTimeout = 30 * time.Second

func (c *callers) parse(r *http.Request, config *configInForce, route platform.Route, id string) (platform.Submission, *platform.Rejection) {
	limit := config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		return platform.Submission{}, &platform.Rejection{
			Status: platform.StatusTooLarge, Problem: "the body is larger than the operator's limit", Remedy: "Send a smaller job.",
		}
	}
	if err != nil {
		return platform.Submission{}, &platform.Rejection{
			Status: platform.StatusBadRequest, Problem: "the body could not be read: " + err.Error(), Remedy: "Send it again.",
		}
	}
	s, err := platform.ParseJob(id, body)
	if err != nil {
		return s, &platform.Rejection{Status: platform.StatusBadRequest, Problem: err.Error(), Remedy: "Correct the job."}
	}
	return s, unsupported(s, route)
}

// defaultBodyBytes holds where the configuration names no limit.
const defaultBodyBytes = 256 << 10

// unsupported refuses what is not built yet, so that nothing is accepted and
// lost.
func unsupported(s platform.Submission, route platform.Route) *platform.Rejection {
	field := s.Unsupported
	switch {
	case field != "":
	case route.NeedsAdvice:
		field = "a route with advice"
	default:
		return nil
	}
	return &platform.Rejection{
		Status: platform.StatusNotRun, Problem: field + " is not supported; the job has not run", Remedy: "Send it to another service.",
	}
}

// ask puts a question to the reducer and waits for the answer; ok is false if
// ctx ends first.
func (c *callers) ask(ctx context.Context, question func(fleet.CallID) fleet.Event) (call fleet.CallID, r fleet.Result, ok bool) {
	call, result := c.register()
	c.node.post(question(call))
	select {
	case r = <-result:
		return call, r, true
	case <-ctx.Done():
		c.forget(call)
		return call, fleet.Result{}, false
	}
}

func (c *callers) register() (fleet.CallID, chan fleet.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	ch := make(chan fleet.Result, 1)
	c.calls[c.next] = ch
	return c.next, ch
}

func (c *callers) forget(id fleet.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

// reply writes the answer to a job.
func (c *callers) reply(w http.ResponseWriter, call fleet.CallID, j *fleet.JobSpec, r fleet.Result) {
	c.node.notes.answered(call, j, r)
	switch r.Kind {
	case fleet.Completed:
		platform.WriteState(w, platform.JobCompleted)
	case fleet.Failed:
		platform.WriteState(w, platform.JobFailed)
	case fleet.NotRun:
		platform.WriteRejection(w, platform.Rejection{
			Status: platform.StatusNotRun, RetryAfter: r.RetryAfter,
			Problem: "the job was refused and has not run: " + string(r.Reason), Remedy: "Come back after the wait.",
		})
	default:
		platform.WriteRejection(w, platform.Rejection{
			Status: platform.StatusMaybeRun, Problem: "the job was given up and may have run: " + string(r.Reason),
			Remedy: "Send it again if the work may run twice.",
		})
	}
}

var _ http.Handler = (*callers)(nil)
