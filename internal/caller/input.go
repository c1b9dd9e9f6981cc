package caller

import (
	"context"
	"mime"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/ingress"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/problem"
)

// paramWait is the query parameter that bounds the wait for an answer, as a
// duration such as 500ms or 30s.
const paramWait = "wait"

// replyTimeout bounds calls that do not wait for a job to finish: admission,
// lookup, cancellation and explanation.
const replyTimeout = 10 * time.Second

// readSubmission returns the body and the wait of a submission.
func (h *Handler) readSubmission(w http.ResponseWriter, r *http.Request) ([]byte, time.Duration, error) {
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	wait, err := waitParam(r, DefaultWait)
	if err != nil {
		return nil, 0, err
	}
	body, err := h.readBody(w, r)
	return body, wait, err
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		return nil, problem.Newf(problem.UnsupportedMediaType, "Content-Type is %q", r.Header.Get("Content-Type"))
	}
	limit := h.opts.Limits.BodyBytes
	body, err := ingress.ReadBody(r, limit)
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		w.Header().Set("Connection", "close") // the rest of the body is left unread
		return nil, problem.Newf(problem.TooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, ingress.ErrRefused):
		w.Header().Set("Connection", "close")
		return nil, problem.Wrap(err, problem.Shed)
	case err != nil:
		return nil, problem.Newf(problem.InvalidRequest, "the body could not be read: %v", err)
	}
	return body, nil
}

// waitParam returns the wait that the caller requests.
func waitParam(r *http.Request, fallback time.Duration) (time.Duration, error) {
	query := r.URL.Query()
	for name, values := range query {
		if name != paramWait {
			return 0, problem.Newf(problem.UnknownField, "query parameter %q; use %q", name, paramWait)
		}
		if len(values) > 1 {
			return 0, problem.Newf(problem.InvalidRequest, "query parameter %q is given twice", name)
		}
	}
	if !query.Has(paramWait) {
		return fallback, nil
	}
	wait, err := time.ParseDuration(query.Get(paramWait))
	if err != nil || wait < 0 || wait > api.MaxWait {
		return 0, problem.Newf(problem.InvalidRequest, "wait is %q; write a duration from 0 to %s, such as 500ms", query.Get(paramWait), api.MaxWait)
	}
	return wait, nil
}

func noParams(r *http.Request) error {
	for name := range r.URL.Query() {
		return problem.Newf(problem.UnknownField, "query parameter %q; this path takes none", name)
	}
	return nil
}

// identity returns the job identity in the path.
func (h *Handler) identity(r *http.Request) (*peerpb.Identity, error) {
	return h.makeIdentity(chi.URLParam(r, "customer"), chi.URLParam(r, "home"), chi.URLParam(r, "key"))
}

// waitContext returns a context that ends when the wait is over, when the
// client disconnects, or on CancelWaits. Without a wait it ends when the client
// disconnects or after replyTimeout.
func (h *Handler) waitContext(r *http.Request, wait time.Duration) (context.Context, context.CancelFunc) {
	if wait == 0 {
		return context.WithTimeout(r.Context(), replyTimeout)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	stop := context.AfterFunc(h.waitCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// contextProblem converts a context error into a typed problem.
func contextProblem(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return problem.Wrap(err, problem.NoAnswer)
	}
	return err
}
