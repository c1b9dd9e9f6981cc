// Package problem defines the typed errors returned to callers, and writes them as
// RFC 9457 problem documents.
package problem

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/api"
)

// Kind names what went wrong. It is the last part of a problem's type URI.
type Kind string

// Kinds of problems.
const (
	InvalidRequest       Kind = "invalid-request"
	UnknownField         Kind = "unknown-field"
	UnsupportedMediaType Kind = "unsupported-media-type"
	MethodNotAllowed     Kind = "method-not-allowed"
	TooLarge             Kind = "too-large"
	Unauthorized         Kind = "unauthorized"
	ContentMismatch      Kind = "content-mismatch"
	KeyTooOld            Kind = "key-too-old"
	KeyAheadOfClock      Kind = "key-ahead-of-clock"
	WrongHome            Kind = "wrong-home"
	HomeUnreachable      Kind = "home-unreachable"
	NoOwner              Kind = "no-owner"
	Impossible           Kind = "impossible"
	DeadlineUnreachable  Kind = "deadline-unreachable"
	QueueFull            Kind = "queue-full"
	Shed                 Kind = "shed"
	RateLimited          Kind = "rate-limited"
	Expired              Kind = "expired"
	Cancelled            Kind = "cancelled"
	JobFailed            Kind = "job-failed"
	ResultUnknown        Kind = "result-unknown"
	Stopping             Kind = "stopping"
	NotFound             Kind = "not-found"
	NoAnswer             Kind = "no-answer"
	Internal             Kind = "internal"
)

// Spec describes a kind.
type Spec struct {
	Kind   Kind
	Title  string
	Status int     // HTTP status code
	Ran    api.Ran // default, which an Error may override
	Remedy string
	// RetryAfter is the default of the suggested wait. 0 means that the same
	// request would fail again.
	RetryAfter time.Duration
}

var specs = []Spec{
	{InvalidRequest, "The request is not valid", http.StatusBadRequest, api.RanNo,
		"Correct the request as the detail says.", 0},
	{UnknownField, "The body has an unknown field", http.StatusBadRequest, api.RanNo,
		"Remove the field that the detail names, or correct its spelling.", 0},
	{UnsupportedMediaType, "The body is not JSON", http.StatusUnsupportedMediaType, api.RanNo,
		"Send the body with Content-Type: application/json.", 0},
	{MethodNotAllowed, "The path does not take this method", http.StatusMethodNotAllowed, api.RanNo,
		"Use one of the methods in the Allow header.", 0},
	{TooLarge, "The request is over a limit", http.StatusRequestEntityTooLarge, api.RanNo,
		"Split the job, or shorten what the detail names.", 0},
	{Unauthorized, "The caller is not authorized", http.StatusUnauthorized, api.RanNo,
		"Present valid credentials.", 0},
	{ContentMismatch, "The key was used with other content", http.StatusConflict, api.RanNo,
		"Repeat the first content with this key, or take a new key for new work.", 0},
	{KeyTooOld, "The key is older than the records kept", http.StatusGone, api.RanUnknown,
		"Find out by other means whether the work was done; submit new work with a new key.", 0},
	{KeyAheadOfClock, "The key's time is ahead of the clock", http.StatusUnprocessableEntity, api.RanNo,
		"Set the clock of the caller, then resubmit.", time.Second},
	{WrongHome, "The home failure domain is not known", http.StatusUnprocessableEntity, api.RanNo,
		"Name one of the failure domains that the detail lists.", 0},
	{HomeUnreachable, "The home failure domain can't be reached", http.StatusServiceUnavailable, api.RanNo,
		"Resubmit with the same key after the wait.", time.Second},
	{NoOwner, "The key's shard has no owner at the moment", http.StatusServiceUnavailable, api.RanNo,
		"Resubmit with the same key after the wait.", 500 * time.Millisecond},
	{Impossible, "No backend server could ever run this", http.StatusUnprocessableEntity, api.RanNo,
		"Lower the needed resources, or bring a backend server that has them into service.", time.Minute},
	{DeadlineUnreachable, "The deadline can't be met", http.StatusServiceUnavailable, api.RanNo,
		"Submit with a later deadline, or after the wait with a new key.", time.Second},
	{QueueFull, "The queue of this customer and kind is full", http.StatusServiceUnavailable, api.RanNo,
		"Resubmit with the same key after the wait.", time.Second},
	{Shed, "The work was given up under overload", http.StatusServiceUnavailable, api.RanNo,
		"Resubmit after the wait.", time.Second},
	{RateLimited, "The rate limit of this customer and kind is reached", http.StatusTooManyRequests, api.RanNo,
		"Resubmit with the same key after the wait.", time.Second},
	{Expired, "The deadline passed before the work was started", http.StatusGatewayTimeout, api.RanNo,
		"Submit with a later deadline and a new key if the work is still wanted.", 0},
	{Cancelled, "The job was cancelled", http.StatusConflict, api.RanNo,
		"Submit with a new key if the work is still wanted.", 0},
	{JobFailed, "A task of the job failed", http.StatusBadGateway, api.RanYes,
		"Read the results for each task; submit with a new key to run it again.", 0},
	{ResultUnknown, "It is not known whether the work was done", http.StatusGatewayTimeout, api.RanUnknown,
		"Find out by other means which tasks with ran \"unknown\" took effect before submitting them with a new key.", 0},
	{Stopping, "This instance is stopping", http.StatusServiceUnavailable, api.RanNo,
		"Resubmit with the same key; another instance will take it.", time.Second},
	{NotFound, "There is nothing under this path", http.StatusNotFound, api.RanNo,
		"Check home, customer and key; a job appears once it has been submitted.", 0},
	{NoAnswer, "No answer came in time", http.StatusGatewayTimeout, api.RanUnknown,
		"Resubmit with the same key, or ask for the job; it starts at most once.", time.Second},
	{Internal, "The instance failed", http.StatusInternalServerError, api.RanUnknown,
		"Ask for the job with the same key; report the detail to the operators.", time.Second},
}

// Specs returns the specs of all kinds.
func Specs() []Spec { return append([]Spec(nil), specs...) }

// Find returns the spec of a kind, or that of Internal if the kind is unknown.
func Find(k Kind) Spec {
	for _, s := range specs {
		if s.Kind == k {
			return s
		}
	}
	return specs[len(specs)-1]
}

// Error is a problem to report to a caller.
type Error struct {
	Kind       Kind
	Detail     string
	Ran        api.Ran       // empty means the kind's default
	RetryAfter time.Duration // 0 means the kind's default
	Results    []api.TaskResult
	cause      error
	Final      bool // the key is closed, even without results
}

// New returns an error of kind k.
func New(k Kind, detail string) *Error {
	return &Error{Kind: k, Detail: detail}
}

// Newf returns an error of kind k with a formatted detail.
func Newf(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with a cause, or nil if the cause is nil.
// The cause's text becomes the detail.
func Wrap(cause error, k Kind) error {
	if cause == nil {
		return nil
	}
	return &Error{Kind: k, Detail: cause.Error(), cause: errors.WithStack(cause)}
}

// WithRan sets whether the work ran.
func (e *Error) WithRan(r api.Ran) *Error {
	e.Ran = r
	return e
}

// WithRetryAfter sets the suggested wait.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns kind, detail and remedy.
func (e *Error) Error() string {
	text := string(e.Kind)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text + "; remedy: " + Find(e.Kind).Remedy
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// From returns the Error in err's chain, or one of kind Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Detail: err.Error(), cause: err}
}

// Is reports whether err's chain holds an Error of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
