package client

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/problem"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// maxJitter is the largest fraction of a delay that is added to it at random, so
// that callers rejected together don't retry together.
const maxJitter = 0.25

// maxBackoffDoublings bounds the backoff.
const maxBackoffDoublings = 5

// retryableKinds holds the kinds for which a retry with the same key may succeed.
var retryableKinds = map[problem.Kind]bool{
	problem.KeyAheadOfClock: true,
	problem.HomeUnreachable: true,
	problem.NoOwner:         true,
	problem.QueueFull:       true,
	problem.Shed:            true,
	problem.RateLimited:     true,
	problem.Stopping:        true,
	problem.NoAnswer:        true,
	problem.Internal:        true,
}

// retry makes attempts until one succeeds, another can't help, or ctx is done.
// Its error is an *Error.
func (c *Client) retry(ctx context.Context, k call) ([]byte, error) {
	uncertain := false
	for attempt := 1; ; attempt++ {
		body, err := c.attempt(ctx, k)
		if err == nil {
			return body, nil
		}
		e := asError(err)
		if e.Problem.Ran == api.RanUnknown {
			uncertain = true
			k.body = k.retryBody
		}
		if attempt == c.opts.Attempts || !isRetryable(&e.Problem) || !wait.Sleep(ctx, c.retryWait(&e.Problem, attempt)) {
			return nil, combineErrors(e, uncertain)
		}
	}
}

func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return outcomeUnknown(err)
}

// isRetryable reports whether a retry with the same key may get a better answer.
// A problem with results is the final answer of its job.
func isRetryable(p *Problem) bool {
	return !p.Closed && len(p.Results) == 0 && retryableKinds[problem.Kind(p.Kind)]
}

// combineErrors returns the error of all attempts together: "not run" is only true
// if no attempt can have reached the service.
func combineErrors(last *Error, uncertain bool) *Error {
	if !uncertain || last.Problem.Ran != api.RanNo || last.Problem.Closed || len(last.Problem.Results) > 0 {
		return last
	}
	p := last.Problem
	p.Ran = api.RanUnknown
	p.Detail += " (the outcome of an earlier attempt is not known)"
	return &Error{Problem: p}
}

// retryWait returns the wait that the service suggested, or an exponential
// backoff, with jitter.
func (c *Client) retryWait(p *Problem, attempt int) time.Duration {
	d := time.Duration(p.RetryAfterMs) * time.Millisecond
	if d <= 0 {
		d = c.opts.Backoff << min(attempt-1, maxBackoffDoublings)
	}
	return d + time.Duration(rand.Float64()*maxJitter*float64(d))
}
