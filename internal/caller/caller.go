// Package caller serves the caller API: submit, get, cancel and explain jobs,
// and single requests, which are jobs of one task.
//
// Every rejection and failure is an RFC 9457 problem document that says whether
// the work was run.
package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/ingress"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/problem"
	"github.com/nutmegweir/nutmegweir/internal/settings"
)

// DefaultWait is how long a submission waits for its answer unless the caller
// specifies it.
const DefaultWait = 30 * time.Second

// Dispatcher implements the operations of the caller API. Its errors should be
// *problem.Error; others are reported as internal.
type Dispatcher interface {
	// Submit admits a job, or finds the existing job with its identity.
	// Without wait it returns once the job is admitted or rejected. With
	// wait it returns the final answer; if ctx ends first, it returns an
	// answer with STATUS_PENDING if the job is known to be admitted, else
	// ctx's error.
	Submit(ctx context.Context, spec *peerpb.JobSpec, wait bool) (*peerpb.Answer, error)
	// Lookup returns the answer of a job without submitting it. With wait
	// it treats ctx as Submit does.
	Lookup(ctx context.Context, id *peerpb.Identity, wait bool) (*peerpb.Answer, error)
	// Cancel cancels the tasks of a job that have not started, and returns
	// the resulting state of the job.
	Cancel(ctx context.Context, id *peerpb.Identity) (*peerpb.Answer, error)
	// Explain explains the state of a job in plain text.
	Explain(ctx context.Context, id *peerpb.Identity) (string, error)
}

// Options are the parameters of a Handler.
type Options struct {
	Dispatcher Dispatcher
	Domains    []model.Domain // all failure domains
	Limits     settings.Limits
	Log        *eventlog.Log    // nil discards events
	Metrics    *metrics.Metrics // nil uses a private registry
}

// Handler serves the caller API.
type Handler struct {
	opts        Options
	router      chi.Router
	stopping    atomic.Bool
	inFlight    atomic.Int64
	waitCtx     context.Context // canceled by CancelWaits
	cancelWaits context.CancelFunc
}

// New returns a handler.
func New(o Options) *Handler {
	if o.Log == nil {
		o.Log = eventlog.Discard()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	h := &Handler{opts: o}
	h.waitCtx, h.cancelWaits = context.WithCancel(context.Background())
	h.router = h.routes()
	return h
}

func (h *Handler) routes() chi.Router {
	r := chi.NewRouter()
	r.Use(h.recoverPanic)
	r.NotFound(h.notFound)
	r.MethodNotAllowed(h.methodNotAllowed)
	r.Post(api.PathJobs, h.submitJob)
	r.Post(api.PathRequests, h.submitRequest)
	r.Get(api.PathJob, h.getJob)
	r.Delete(api.PathJob, h.withJob(h.cancelJob))
	r.Get(api.PathExplain, h.withJob(h.explainJob))
	return r
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	h.opts.Metrics.InFlight.Inc()
	defer h.opts.Metrics.InFlight.Dec()
	defer h.inFlight.Add(-1)
	h.router.ServeHTTP(w, r)
}

// Stop rejects further submissions. Requests in flight continue.
func (h *Handler) Stop() { h.stopping.Store(true) }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// CancelWaits makes requests that wait for an answer return at once with the
// current state. It is called shortly before the graceful stop times out.
func (h *Handler) CancelWaits() { h.cancelWaits() }

func (h *Handler) submitJob(w http.ResponseWriter, r *http.Request) {
	h.submit(w, r, h.decodeJob, writeAnswer)
}

func (h *Handler) submitRequest(w http.ResponseWriter, r *http.Request) {
	h.submit(w, r, h.decodeRequest, writeRequestAnswer)
}

func (h *Handler) decodeJob(body []byte) (*peerpb.JobSpec, error) {
	var job api.Job
	if err := decodeStrict(body, h.opts.Limits.JSONDepth, &job); err != nil {
		return nil, err
	}
	return h.jobSpec(&job)
}

func (h *Handler) decodeRequest(body []byte) (*peerpb.JobSpec, error) {
	var req api.Request
	if err := decodeStrict(body, h.opts.Limits.JSONDepth, &req); err != nil {
		return nil, err
	}
	return h.requestSpec(&req)
}

// answerWriter writes a pending or complete answer.
type answerWriter func(w http.ResponseWriter, id *peerpb.Identity, a *api.Answer)

func (h *Handler) submit(w http.ResponseWriter, r *http.Request, decode func([]byte) (*peerpb.JobSpec, error), write answerWriter) {
	body, wait, err := h.readSubmission(w, r)
	if err != nil {
		h.reject(w, err)
		return
	}
	var spec *peerpb.JobSpec
	ingress.Parse(r, body, func() { spec, err = decode(body) })
	if err != nil {
		h.reject(w, err)
		return
	}
	if h.stopping.Load() {
		h.reject(w, stoppingProblem(spec))
		return
	}
	ctx, cancel := h.waitContext(r, wait)
	defer cancel()
	start := time.Now()
	answer, err := h.opts.Dispatcher.Submit(ctx, spec, wait > 0)
	h.countSubmission(spec.Kind, answer, err, time.Since(start))
	h.writeOutcome(w, spec.Identity, answer, len(spec.Payloads), err, write)
}

// stoppingProblem rejects a submission while the instance stops. Unless this is
// the first attempt, an earlier one may have run.
func stoppingProblem(spec *peerpb.JobSpec) error {
	ran := api.RanUnknown
	if spec.FirstAttempt {
		ran = api.RanNo
	}
	return problem.New(problem.Stopping, "").WithRan(ran)
}

func (h *Handler) getJob(w http.ResponseWriter, r *http.Request) {
	id, err := h.identity(r)
	if err != nil {
		h.reject(w, err)
		return
	}
	wait, err := waitParam(r, 0)
	if err != nil {
		h.reject(w, err)
		return
	}
	ctx, cancel := h.waitContext(r, wait)
	defer cancel()
	answer, err := h.opts.Dispatcher.Lookup(ctx, id, wait > 0)
	h.writeOutcome(w, id, answer, unknownTaskCount, err, writeAnswer)
}

// withJob serves a request that names a job and takes no parameters.
func (h *Handler) withJob(serve func(ctx context.Context, w http.ResponseWriter, id *peerpb.Identity)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := h.identity(r)
		if err == nil {
			err = noParams(r)
		}
		if err != nil {
			h.reject(w, err)
			return
		}
		ctx, cancel := h.waitContext(r, 0)
		defer cancel()
		serve(ctx, w, id)
	}
}

func (h *Handler) cancelJob(ctx context.Context, w http.ResponseWriter, id *peerpb.Identity) {
	answer, err := h.opts.Dispatcher.Cancel(ctx, id)
	if err == nil && answer.GetProblem() == string(problem.Cancelled) {
		h.opts.Log.Event(eventlog.JobCancelled).Str("job", jobPath(id)).Send()
	}
	h.writeOutcome(w, id, answer, unknownTaskCount, err, writeAnswer)
}

func (h *Handler) explainJob(ctx context.Context, w http.ResponseWriter, id *peerpb.Identity) {
	text, err := h.opts.Dispatcher.Explain(ctx, id)
	if err != nil {
		h.reject(w, contextProblem(err))
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	// The client may be gone; nobody else needs the error.
	_, _ = w.Write([]byte(text))
}

// writeOutcome writes the dispatcher's answer or error. A complete answer must
// contain the result of every task.
func (h *Handler) writeOutcome(w http.ResponseWriter, id *peerpb.Identity, a *peerpb.Answer, tasks int, err error, write answerWriter) {
	if err != nil {
		h.reject(w, contextProblem(err))
		return
	}
	out, err := convertAnswer(a, tasks)
	if err != nil {
		h.reject(w, err)
		return
	}
	write(w, id, out)
}

// reject responds with a problem.
func (h *Handler) reject(w http.ResponseWriter, err error) {
	doc := problem.From(err).Document()
	event := eventlog.SubmissionRefused
	switch {
	case doc.Ran == api.RanUnknown:
		event = eventlog.AnswerUnknown
	case len(doc.Results) > 0:
		event = eventlog.SubmissionFailed
	}
	h.opts.Metrics.Refusals.WithLabelValues(doc.Kind, string(doc.Ran)).Inc()
	h.opts.Log.Event(event).Str("kind", doc.Kind).Str("ran", string(doc.Ran)).Str("detail", doc.Detail).Send()
	problem.Write(w, err)
}

func (h *Handler) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == http.ErrAbortHandler {
				panic(v)
			}
			if v != nil {
				h.opts.Log.Event(eventlog.HandlerFailed).Interface("panic", v).Str("path", r.URL.Path).Send()
				problem.Write(w, problem.New(problem.Internal, "the handler failed"))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	problem.Write(w, problem.Newf(problem.NotFound, "no such path: %s", r.URL.Path))
}

func (h *Handler) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		if h.router.Match(chi.NewRouteContext(), method, r.URL.Path) {
			w.Header().Add("Allow", method)
		}
	}
	problem.Write(w, problem.Newf(problem.MethodNotAllowed, "%s does not take %s", r.URL.Path, r.Method))
}
