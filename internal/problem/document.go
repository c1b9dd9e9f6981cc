package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/api"
)

// TypePrefix precedes the kind in a problem's type, a URI reference.
const TypePrefix = "/problems/"

// Document returns the problem document of e.
func (e *Error) Document() api.Problem {
	spec := Find(e.Kind)
	p := api.Problem{
		Type:         TypePrefix + string(spec.Kind),
		Title:        spec.Title,
		Status:       spec.Status,
		Detail:       e.Detail,
		Kind:         string(spec.Kind),
		Ran:          spec.Ran,
		Remedy:       spec.Remedy,
		RetryAfterMs: roundUp(spec.RetryAfter, time.Millisecond),
		Results:      e.Results,
	}
	if e.Ran != "" {
		p.Ran = e.Ran
	}
	if e.RetryAfter > 0 {
		p.RetryAfterMs = roundUp(e.RetryAfter, time.Millisecond)
	}
	if len(e.Results) > 0 || e.Final {
		makeFinal(&p)
	}
	return p
}

// remedyFinal is the remedy for a job that ended before any of its tasks started.
const remedyFinal = "This answer is final. If the work is still wanted, submit it with a new key, after the wait if one is given."

// makeFinal marks a problem as the final answer for its key and sets its remedy:
// the same key would get it again, so only a new one can help, and that isn't safe
// if tasks may have run.
func makeFinal(p *api.Problem) {
	p.Closed = true
	switch p.Ran {
	case api.RanNo:
		p.Remedy = remedyFinal
	case api.RanUnknown:
		p.Remedy = Find(ResultUnknown).Remedy
		p.RetryAfterMs = 0
	}
}

// Write answers a request with the problem document of err. An err that isn't an
// Error is reported as Internal.
func Write(w http.ResponseWriter, err error) {
	doc := From(err).Document()
	h := w.Header()
	h.Set("Content-Type", api.ContentTypeProblem)
	h.Set("Cache-Control", "no-store")
	if doc.RetryAfterMs > 0 {
		wait := time.Duration(doc.RetryAfterMs) * time.Millisecond
		h.Set("Retry-After", strconv.FormatInt(roundUp(wait, time.Second), 10))
	}
	if doc.Kind == string(Unauthorized) {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(doc.Status)
	// An error is ignored: the client may have disconnected.
	_ = json.NewEncoder(w).Encode(doc)
}

// roundUp returns d in whole units, rounded up.
func roundUp(d, unit time.Duration) int64 {
	return int64((d + unit - 1) / unit)
}
