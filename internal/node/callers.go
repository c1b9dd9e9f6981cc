package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/ingress"
	"github.com/nutmegweir/nutmegweir/platform"
)

// callerHandler serves the HTTP requests of callers.
type callerHandler struct {
	node *Node

	mu             sync.Mutex
	nextCall       fleet.CallID
	calls          map[fleet.CallID]chan fleet.Result
	lastRequestAt  fleet.Time // 0 before the first
	activeRequests int        // requests in flight
	stopDeadline   fleet.Time // 0 unless stopping
}

func newCallerHandler(n *Node) *callerHandler {
	return &callerHandler{node: n, calls: map[fleet.CallID]chan fleet.Result{}}
}

// waitingCalls returns the number of calls awaiting a result.
func (c *callerHandler) waitingCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

// setStopDeadline marks the process as stopping and sets when it exits.
func (c *callerHandler) setStopDeadline(t fleet.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopDeadline = t
}

// During shutdown a job is accepted only if it is likely to finish in time.
// Estimates are rough, and stragglers take several times as long.
const (
	stopEstimateFactor = 3
	stopMargin         = 300 * time.Millisecond
)

// outlastsStop reports whether a job may outlast the process.
func (c *callerHandler) outlastsStop(j *fleet.JobSpec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopDeadline != 0 && j.ReceivedAt.Add(stopEstimateFactor*j.CriticalPath()+stopMargin) > c.stopDeadline
}

// quietPeriod is how long a stopping instance must see no request before it exits.
const quietPeriod = 300 * time.Millisecond

// isQuiet reports whether no request is in flight or arrived recently.
func (c *callerHandler) isQuiet(now fleet.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeRequests == 0 && now.Sub(c.lastRequestAt) > quietPeriod
}

// deliver passes a result to the request waiting for it.
func (c *callerHandler) deliver(a fleet.Answer) {
	c.mu.Lock()
	ch := c.calls[a.Call]
	delete(c.calls, a.Call)
	c.mu.Unlock()
	if ch != nil {
		ch <- a.Result
	}
}

// ServeHTTP implements http.Handler.
func (c *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stopping := c.beginRequest()
	defer c.endRequest()
	if stopping {
		// Callers reconnect to another instance. Idle connections stay open until
		// then: a request may be in flight.
		w.Header().Set("Connection", "close")
	}
	received := bootTime()
	config := c.node.config.await(r.Context())
	if config == nil {
		c.reject(w, "", platform.Rejection{
			Status: platform.StatusNotRun, RetryAfter: time.Second,
			Problem: "no configuration is in force yet", Remedy: "Come back after the wait.",
		})
		return
	}
	route, id, ok := config.Match(r.Host, r.URL.Path)
	if !ok {
		c.reject(w, "", platform.Rejection{
			Status: platform.StatusRouteNotFound, Problem: "no route matches the host and path",
			Remedy: "Check both against the operator's configuration.",
		})
		return
	}
	switch {
	case r.Method == http.MethodGet && id == "":
		c.writePendingCount(w, r, route)
	case r.Method == http.MethodGet:
		c.writeJobState(w, r, id)
	case r.Method == http.MethodDelete:
		c.cancel(w, r, id)
	case r.Method == http.MethodPost:
		c.submit(w, r, config, route, id, received)
	default:
		c.reject(w, id, platform.Rejection{
			Status: platform.StatusMethodNotAllowed, Problem: "method " + r.Method + " is not served", Remedy: "Use POST, GET or DELETE.",
		})
	}
}

// beginRequest counts a request and reports whether the process is stopping.
func (c *callerHandler) beginRequest() (stopping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeRequests++
	c.lastRequestAt = bootTime()
	return c.stopDeadline != 0
}

func (c *callerHandler) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeRequests--
}

func (c *callerHandler) reject(w http.ResponseWriter, id string, r platform.Rejection) {
	if c.node.isIdentified() {
		c.node.limitedLog.requestRejected(id, r)
	}
	platform.WriteRejection(w, r)
}

// submit runs a job and responds when it has finished.
func (c *callerHandler) submit(w http.ResponseWriter, r *http.Request, config *configInForce, route platform.Route, id string, received fleet.Time) {
	s, rejection := c.parseSubmission(r, config, route, id)
	if rejection != nil {
		if rejection.Close {
			w.Header().Set("Connection", "close")
		}
		c.reject(w, id, *rejection)
		return
	}
	s.Job.Route, s.Job.Service = route.Name, route.Service
	s.Job.Priority, s.Job.MaxAttempts = route.Priority, route.Attempts
	s.Job.Objective, s.Job.ReceivedAt = route.Objective, received
	s.Job.Timeout = jobTimeout(route, platform.Deadline(r))
	s.Job.Durable = s.Durable
	if s.Durable {
		c.submitDurable(w, r, &s.Job)
		return
	}
	if c.outlastsStop(&s.Job) {
		c.reject(w, id, platform.Rejection{
			Status: platform.StatusNotRun, RetryAfter: time.Second,
			Problem: "this instance is about to end; the job has not run", Remedy: "Come back after the wait, by another instance.",
		})
		return
	}
	if c.node.jobs.cancels.has(id) {
		c.reject(w, id, cancelledRejection)
		return
	}
	if call, res, ok := c.submitAndWait(r.Context(), &s.Job); ok {
		c.writeResult(w, call, &s.Job, res)
	}
}

// cancelledRejection answers the submission of a job whose ID was cancelled before.
var cancelledRejection = platform.Rejection{
	Status: platform.StatusNotRun, Problem: "the job with this ID was cancelled and will not run", Remedy: "Submit it under another ID.",
}

// submitAndWait submits a job to the reducer and waits for its result; ok is
// false if ctx ends first.
func (c *callerHandler) submitAndWait(ctx context.Context, j *fleet.JobSpec) (call fleet.CallID, r fleet.Result, ok bool) {
	call, r, ok = c.postAndWait(ctx, func(call fleet.CallID) fleet.Event { return fleet.JobSubmitted{Call: call, Job: *j} })
	if !ok {
		c.node.post(fleet.CallerDisconnected{Call: call})
		c.node.limitedLog.callerDisconnected(call, j)
	}
	return call, r, ok
}

// jobTimeout returns how long a job may take: the caller's deadline, which
// depends on the job's length, or else the route's timeout.
func jobTimeout(route platform.Route, deadline time.Duration) time.Duration {
	switch {
	case deadline > 0:
		return deadline
	case route.Timeout > 0:
		return route.Timeout
	}
	return defaultTimeout
}

// defaultTimeout applies if neither the route nor the caller sets one.
const defaultTimeout = 30 * time.Second

func (c *callerHandler) parseSubmission(r *http.Request, config *configInForce, route platform.Route, id string) (platform.Submission, *platform.Rejection) {
	limit := config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := ingress.ReadBody(r, limit)
	if err != nil {
		return platform.Submission{}, bodyRejection(err)
	}
	var s platform.Submission
	ingress.Parse(r, body, func() { s, err = platform.ParseJob(id, body) })
	if err != nil {
		return s, &platform.Rejection{Status: platform.StatusBadRequest, Problem: err.Error(), Remedy: "Correct the job."}
	}
	if rejection := unsupported(s, route); rejection != nil {
		return s, rejection
	}
	if err := ingress.Hold(r, int64(len(body))+s.Job.Size()); err != nil {
		return s, bodyRejection(err)
	}
	return s, nil
}

// defaultMaxBodyBytes applies if the configuration sets no limit.
const defaultMaxBodyBytes = 256 << 10

// unsupported rejects unimplemented features, so that no job is accepted and
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

// postAndWait posts an event to the reducer and waits for its result; ok is
// false if ctx ends first.
func (c *callerHandler) postAndWait(ctx context.Context, newEvent func(fleet.CallID) fleet.Event) (call fleet.CallID, r fleet.Result, ok bool) {
	call, result := c.register()
	c.node.post(newEvent(call))
	select {
	case r = <-result:
		return call, r, true
	case <-ctx.Done():
		c.unregister(call)
		return call, fleet.Result{}, false
	}
}

func (c *callerHandler) register() (fleet.CallID, chan fleet.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextCall++
	ch := make(chan fleet.Result, 1)
	c.calls[c.nextCall] = ch
	return c.nextCall, ch
}

func (c *callerHandler) unregister(id fleet.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

// writeResult writes the response for a job.
func (c *callerHandler) writeResult(w http.ResponseWriter, call fleet.CallID, j *fleet.JobSpec, r fleet.Result) {
	c.node.limitedLog.jobAnswered(call, j, r)
	switch r.Kind {
	case fleet.Completed:
		platform.WriteState(w, platform.JobCompleted)
	case fleet.Failed:
		platform.WriteState(w, platform.JobFailed)
	case fleet.Cancelled:
		platform.WriteState(w, platform.JobCancelled)
	case fleet.NotRun:
		if r.Reason == fleet.ReasonCancelled {
			platform.WriteRejection(w, cancelledRejection)
			return
		}
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

var _ http.Handler = (*callerHandler)(nil)
