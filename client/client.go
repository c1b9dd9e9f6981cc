// Package client calls the caller API of nutmegweir.
//
// A call that failed or was rejected is retried with the same key, by which the
// service deduplicates, so that no task starts twice. A call returns an answer,
// which is never partial, or an *Error that says whether the work ran.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/problem"
)

// Types of the caller API.
type (
	Job        = api.Job
	Request    = api.Request
	Resources  = api.Resources
	Answer     = api.Answer
	TaskResult = api.TaskResult
	Problem    = api.Problem
	Ran        = api.Ran
	Status     = api.Status
)

// Defaults of Options.
const (
	DefaultAttempts    = 10
	DefaultDialTimeout = 2 * time.Second
	DefaultPollWait    = 30 * time.Second
	DefaultBackoff     = 200 * time.Millisecond
)

// maxAnswerBytes bounds the size of an answer.
const maxAnswerBytes = 128 << 20

// answerTimeoutMargin is how long an answer may take beyond the requested wait.
const answerTimeoutMargin = 15 * time.Second

// Options are the parameters of a Client.
type Options struct {
	Addr     string        // IP:port of the caller port or of a balancer
	TLS      *tls.Config   // nil for a plain port
	Attempts int           // maximum attempts of a call, 0 means DefaultAttempts
	PollWait time.Duration // wait of one call for a pending job, 0 means DefaultPollWait
	Backoff  time.Duration // delay after the first attempt unless the service suggests one, doubled each time, 0 means DefaultBackoff
}

// Identity names a job.
type Identity struct {
	Home     string // home failure domain
	Customer string
	Key      string // UUIDv7
}

// Error says why there is no answer, and whether the work ran.
type Error struct {
	Problem Problem
}

// Error returns kind, detail, whether the work ran, and the remedy.
func (e *Error) Error() string {
	p := &e.Problem
	text := p.Kind
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return text + "; ran: " + string(p.Ran) + "; remedy: " + p.Remedy
}

// Client calls one address. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
	base string
}

// New returns a client.
func New(o Options) (*Client, error) {
	addr, err := netip.ParseAddrPort(o.Addr)
	if err != nil {
		return nil, errors.Errorf("address %q is not IP:port; write an IP address and a port", o.Addr)
	}
	if o.Attempts == 0 {
		o.Attempts = DefaultAttempts
	}
	if o.PollWait == 0 {
		o.PollWait = DefaultPollWait
	}
	if o.Backoff == 0 {
		o.Backoff = DefaultBackoff
	}
	scheme := "http"
	if o.TLS != nil {
		scheme = "https"
	}
	dialer := &net.Dialer{Timeout: DefaultDialTimeout}
	transport := &http.Transport{
		DialContext:           dialer.DialContext,
		TLSClientConfig:       o.TLS,
		TLSHandshakeTimeout:   DefaultDialTimeout,
		MaxIdleConnsPerHost:   64,
		IdleConnTimeout:       time.Minute,
		ResponseHeaderTimeout: api.MaxWait + answerTimeoutMargin,
	}
	return &Client{
		opts: o,
		http: &http.Client{Transport: transport, CheckRedirect: noRedirect},
		base: scheme + "://" + addr.String(),
	}, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewKey returns a key for a job that is first submitted now.
func NewKey() (string, error) {
	k, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "make a key")
	}
	return k.String(), nil
}

// RetryKey returns the key for retrying a submission whose key was closed when it
// was rejected. It has a new time and keeps the random half of the old key, by
// which the service recognises the retry it asked for.
func RetryKey(key string) (string, error) {
	old, err := uuid.Parse(key)
	if err != nil {
		return "", errors.Wrap(err, "the old key is not a UUID")
	}
	k, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "make a key")
	}
	copy(k[8:], old[8:])
	return k.String(), nil
}

// Submit submits a job and returns its complete answer. It retries with the same
// key while that can help and ctx isn't done. Set FirstAttempt of a job whose key
// was not used before and that nobody else submits meanwhile; retries after an
// unanswered attempt leave it out.
func (c *Client) Submit(ctx context.Context, j *Job) (*Answer, error) {
	a, err := c.Start(ctx, j, c.opts.PollWait)
	if err != nil || a.Status != api.StatusPending {
		return a, err
	}
	return c.Wait(ctx, Identity{Home: j.Home, Customer: j.Customer, Key: j.Key})
}

// Start submits a job and returns its answer after at most wait, pending if
// it is not complete.
func (c *Client) Start(ctx context.Context, j *Job, wait time.Duration) (*Answer, error) {
	retryJob := *j
	retryJob.FirstAttempt = false
	k, err := newSubmission(api.PathJobs, j, &retryJob, wait)
	if err != nil {
		return nil, err
	}
	return c.answer(ctx, k)
}

// newSubmission returns the call that submits body, or retryBody once an attempt
// went unanswered.
func newSubmission(path string, body, retryBody any, wait time.Duration) (call, error) {
	first, err := json.Marshal(body)
	if err != nil {
		return call{}, errors.Wrap(err, "encode the submission")
	}
	later, err := json.Marshal(retryBody)
	if err != nil {
		return call{}, errors.Wrap(err, "encode the submission")
	}
	return call{method: http.MethodPost, path: path, body: first, retryBody: later, wait: wait, sendWait: true}, nil
}

// Request submits a request, a job of one task, and returns its result.
func (c *Client) Request(ctx context.Context, r *Request) (*TaskResult, error) {
	retryRequest := *r
	retryRequest.FirstAttempt = false
	k, err := newSubmission(api.PathRequests, r, &retryRequest, c.opts.PollWait)
	if err != nil {
		return nil, err
	}
	body, err := c.retry(ctx, k)
	if err != nil {
		return nil, err
	}
	var got requestAnswer
	if err := json.Unmarshal(body, &got); err != nil {
		return nil, outcomeUnknown(errors.Wrap(err, "the answer can't be decoded"))
	}
	if got.Status == api.StatusPending {
		return c.waitRequest(ctx, r)
	}
	if got.Ran == "" {
		return nil, outcomeUnknown(errors.New("the answer holds no result"))
	}
	return &got.TaskResult, nil
}

// requestAnswer is the answer to a request: its result, or its pending status.
type requestAnswer struct {
	Status api.Status `json:"status"`
	TaskResult
}

func (c *Client) waitRequest(ctx context.Context, r *Request) (*TaskResult, error) {
	a, err := c.Wait(ctx, Identity{Home: r.Home, Customer: r.Customer, Key: r.Key})
	if err != nil {
		return nil, err
	}
	return &a.Results[0], nil
}

// Get returns the answer of a job after at most wait.
func (c *Client) Get(ctx context.Context, id Identity, wait time.Duration) (*Answer, error) {
	return c.answer(ctx, call{method: http.MethodGet, path: id.path(), wait: wait, sendWait: true})
}

// Wait returns the answer of a job once it is complete.
func (c *Client) Wait(ctx context.Context, id Identity) (*Answer, error) {
	for {
		a, err := c.Get(ctx, id, c.opts.PollWait)
		if err != nil || a.Status != api.StatusPending {
			return a, err
		}
	}
}

// Cancel cancels the tasks of a job that have not started, and returns the
// state of the job after that. A cancelled job is an *Error of kind
// "cancelled".
func (c *Client) Cancel(ctx context.Context, id Identity) (*Answer, error) {
	return c.answer(ctx, call{method: http.MethodDelete, path: id.path()})
}

// Explain returns a text that describes the state of a job and the reason for it.
func (c *Client) Explain(ctx context.Context, id Identity) (string, error) {
	text, err := c.retry(ctx, call{method: http.MethodGet, path: id.path() + "/explain"})
	return string(text), err
}

func (id Identity) path() string {
	parts := []string{url.PathEscape(id.Home), url.PathEscape(id.Customer), url.PathEscape(id.Key)}
	return api.PathJobs + "/" + strings.Join(parts, "/")
}

func (c *Client) answer(ctx context.Context, k call) (*Answer, error) {
	body, err := c.retry(ctx, k)
	if err != nil {
		return nil, err
	}
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, outcomeUnknown(errors.Wrap(err, "the answer can't be decoded"))
	}
	if a.Status == api.StatusComplete && len(a.Results) == 0 {
		return nil, outcomeUnknown(errors.New("the answer holds no results"))
	}
	return &a, nil
}

// call is one call of the API.
type call struct {
	method    string
	path      string
	body      []byte
	retryBody []byte // replaces body once an attempt went unanswered
	wait      time.Duration
	sendWait  bool // in the query
}

func (k *call) url(base string) string {
	if !k.sendWait {
		return base + k.path
	}
	return base + k.path + "?wait=" + k.wait.String()
}

// attempt makes one attempt. The error is an *Error.
func (c *Client) attempt(ctx context.Context, k call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, k.wait+answerTimeoutMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, k.url(c.base), bytes.NewReader(k.body))
	if err != nil {
		return nil, notSent(err)
	}
	if k.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, outcomeUnknown(err)
	}
	if len(body) > maxAnswerBytes {
		return nil, outcomeUnknown(errors.Errorf("the answer is larger than %d bytes", maxAnswerBytes))
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusAccepted {
		return body, nil
	}
	return nil, responseError(resp, body)
}

// transportError distinguishes an attempt that was never sent from one whose
// answer was lost.
func transportError(err error) *Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notSent(err)
	}
	return outcomeUnknown(err)
}

// notSent is the error of an attempt that never reached the service.
func notSent(err error) *Error {
	return noAnswer(err, api.RanNo)
}

// outcomeUnknown is the error of an attempt whose outcome is unknown.
func outcomeUnknown(err error) *Error {
	return noAnswer(err, api.RanUnknown)
}

func noAnswer(err error, ran api.Ran) *Error {
	p := problem.New(problem.NoAnswer, err.Error()).WithRan(ran).Document()
	p.RetryAfterMs = 0 // the service suggested no wait
	return &Error{Problem: p}
}

func responseError(resp *http.Response, body []byte) *Error {
	var p Problem
	isProblem := strings.HasPrefix(resp.Header.Get("Content-Type"), api.ContentTypeProblem)
	if !isProblem || json.Unmarshal(body, &p) != nil || p.Kind == "" {
		return outcomeUnknown(errors.Errorf("status %d without a problem document", resp.StatusCode))
	}
	return &Error{Problem: p}
}
