package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Limits of the HTTP adapter.
const (
	defaultCallTimeout = 5 * time.Second
	watchGrace         = 5 * time.Second // a blocking query may answer this much late
	maxAnswerBytes     = 64 << 20
	maxErrorBytes      = 4 << 10
)

const (
	headerIndex = "X-Consul-Index"
	headerToken = "X-Consul-Token"
)

// HTTPOptions are the settings of the HTTP adapter.
type HTTPOptions struct {
	URL             string            // such as http://10.0.0.1:8500
	Token           string            // sent with each call, if any
	Transport       http.RoundTripper // nil takes one of its own
	CallTimeout     time.Duration     // 0 means 5 s
	ReadsPerSecond  float64           // 0 means unlimited
	WritesPerSecond float64           // 0 means unlimited
	Counter         Counter           // may be nil
}

// HTTP is the adapter to the platform's HTTP API, in the manner of Consul's
// KV, session and health endpoints.
type HTTP struct {
	opts   HTTPOptions
	client *http.Client
	reads  *rate.Limiter
	writes *rate.Limiter
}

// NewHTTP returns an adapter. It makes no call.
func NewHTTP(o HTTPOptions) *HTTP {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 8}
	}
	o.URL = strings.TrimSuffix(o.URL, "/")
	return &HTTP{
		opts:   o,
		client: &http.Client{Transport: o.Transport},
		reads:  newLimiter(o.ReadsPerSecond),
		writes: newLimiter(o.WritesPerSecond),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// call is one HTTP exchange.
type call struct {
	op      Op
	name    string // key, prefix, session or service, for errors
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
}

type answer struct {
	status int
	index  uint64
	body   []byte
}

// do performs a call, limits its rate, counts it and types its error.
func (h *HTTP) do(ctx context.Context, c call) (answer, error) {
	if err := h.limiter(c.op).Wait(ctx); err != nil {
		return answer{}, h.fail(c, KindRateLimited, err)
	}
	a, err := h.exchange(ctx, c)
	if err != nil {
		kind := transportKind(c.op, err)
		h.count(c, kind, 0)
		return answer{}, h.fail(c, kind, err)
	}
	kind := statusKind(c.op, a)
	h.count(c, kind, len(a.body))
	if kind != KindNone {
		return answer{}, h.fail(c, kind, errors.Errorf("status %d: %s", a.status, summary(a.body)))
	}
	return a, nil
}

func (h *HTTP) limiter(op Op) *rate.Limiter {
	if op.IsWrite() {
		return h.writes
	}
	return h.reads
}

func (h *HTTP) exchange(ctx context.Context, c call) (answer, error) {
	if c.timeout == 0 {
		c.timeout = h.opts.CallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := h.opts.URL + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return answer{}, err
	}
	if h.opts.Token != "" {
		req.Header.Set(headerToken, h.opts.Token)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, err
	}
	index, _ := strconv.ParseUint(resp.Header.Get(headerIndex), 10, 64)
	return answer{status: resp.StatusCode, index: index, body: body}, nil
}

// transportKind types a failure without an answer. Only a failed dial proves
// that a write never left.
func transportKind(op Op, err error) Kind {
	var ne *net.OpError
	dial := errors.As(err, &ne) && ne.Op == "dial"
	if op.IsWrite() && !dial {
		return KindUnknown
	}
	return KindUnavailable
}

func statusKind(op Op, a answer) Kind {
	switch {
	case a.status == http.StatusOK:
		return KindNone
	case a.status == http.StatusNotFound && op == OpRenewSession:
		return KindNoSession
	case a.status == http.StatusNotFound:
		return KindNone
	case a.status == http.StatusTooManyRequests:
		return KindRateLimited
	case a.status < http.StatusInternalServerError:
		return KindInvalid
	case op == OpAcquire && bytes.Contains(a.body, []byte("invalid session")):
		return KindNoSession
	case op.IsWrite():
		return KindUnknown
	}
	return KindUnavailable
}

func summary(body []byte) string {
	return strings.TrimSpace(string(body[:min(len(body), maxErrorBytes)]))
}

func (h *HTTP) fail(c call, k Kind, cause error) error {
	return &Error{Kind: k, Op: c.op, Key: c.name, Cause: cause}
}

func (h *HTTP) count(c call, k Kind, received int) {
	if h.opts.Counter != nil {
		h.opts.Counter.Count(Call{Op: c.op, Kind: k, Sent: len(c.body), Received: received})
	}
}
