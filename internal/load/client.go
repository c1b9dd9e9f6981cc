package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/api"
)

// Bounds of a call.
const (
	callGrace            = 10 * time.Second // added to the requested wait
	dialTimeout          = 2 * time.Second
	maxAnswerBytes       = 64 << 20
	maxPolls             = 20
	maxIdleConnsPerEntry = 4096

	explainTimeout  = 2 * time.Second
	maxExplainBytes = 8 << 10
)

// Entry is a target entry instance.
type Entry struct {
	Domain string // empty if unknown
	Addr   netip.AddrPort
}

// AddressError is an address that is not allowed as a target.
type AddressError struct {
	Address string
	Reason  string
}

// Error returns the address, the reason and the remedy.
func (e *AddressError) Error() string {
	return fmt.Sprintf("load: address %q %s; give IP:port of a loopback address, such as 127.0.0.1:8080", e.Address, e.Reason)
}

// ParseEntry parses "[DOMAIN=]IP:PORT" and rejects addresses that are not on
// loopback.
func ParseEntry(s string) (Entry, error) {
	domain, addr, found := strings.Cut(s, "=")
	if !found {
		domain, addr = "", s
	}
	ap, err := ParseLoopback(addr)
	return Entry{Domain: domain, Addr: ap}, err
}

// ParseLoopback parses IP:PORT and rejects addresses that are not on loopback.
func ParseLoopback(s string) (netip.AddrPort, error) {
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, &AddressError{s, "is not IP:port"}
	}
	if !ap.Addr().Unmap().IsLoopback() {
		return netip.AddrPort{}, &AddressError{s, "is not on loopback"}
	}
	return ap, nil
}

// Class is the class of the answer to a submission.
type Class uint8

// Classes of answers.
const (
	Complete Class = iota
	Failed         // final, and at least partly run
	Refused        // rejected as not run, at once or after queueing
	Unknown        // may have run, or was not answered
	Pending        // not final after the last poll
	numClasses
)

var classNames = [numClasses]string{"complete", "failed", "refused", "unknown", "pending"}

// String returns the name of the class.
func (c Class) String() string { return classNames[c] }

// Reply is a classified answer.
type Reply struct {
	Class      Class
	Broken     bool   // the call failed without an answer
	Problem    string // kind of the problem or of the failure
	Ran        api.Ran
	RetryAfter time.Duration
	Results    []api.TaskResult
	Malformed  string // how the answer violates the API contract, empty if it does not
}

// client is a client of the caller API.
type client struct {
	http *http.Client
	wait time.Duration
}

func newClient(wait time.Duration) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	tr := &http.Transport{
		Proxy:               nil,
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{http: &http.Client{Transport: tr, CheckRedirect: noRedirect}, wait: wait}
}

// payload controls the backend stand-in. ID and Echo are the same.
type payload struct {
	RunMs int64  `json:"run_ms"`
	Fail  bool   `json:"fail"`
	ID    string `json:"id"`
	Echo  string `json:"echo"`
}

// output is the output of the backend stand-in.
type output struct {
	Task string `json:"task"` // identity of the task that was run
	Echo string `json:"echo"` // from the payload
}

func taskID(key uuid.UUID, index int) string { return fmt.Sprintf("%s/%d", key, index) }

func newPayload(t Task, id string) payload {
	return payload{RunMs: t.Run.Milliseconds(), Fail: t.Fail, ID: id, Echo: id}
}

func jobBody(j *Job, key uuid.UUID, first bool) ([]byte, error) {
	body := api.Job{
		Customer:      j.Customer,
		Home:          j.Home,
		Key:           key.String(),
		Kind:          j.Kind.Name,
		DeadlineMs:    j.Kind.DeadlineMs,
		Repeatable:    j.Kind.Repeatable,
		DeclaredRunMs: j.Declared.Milliseconds(),
		Needs:         j.Kind.Needs,
		FirstAttempt:  first,
	}
	for i, t := range j.Tasks {
		raw, err := json.Marshal(newPayload(t, taskID(key, i)))
		if err != nil {
			return nil, errors.Wrap(err, "encode a payload")
		}
		body.Tasks = append(body.Tasks, raw)
	}
	return json.Marshal(body)
}

// submit posts the job and polls until the answer is final or maxPolls is
// reached. first means that no other copy of the submission is unanswered.
func (c *client) submit(ctx context.Context, e Entry, j *Job, key uuid.UUID, first bool) Reply {
	body, err := jobBody(j, key, first)
	if err != nil {
		return Reply{Class: Unknown, Malformed: err.Error()}
	}
	r := c.call(ctx, http.MethodPost, c.url(e, api.PathJobs, true), body)
	for i := 0; r.Class == Pending && r.Malformed == "" && i < maxPolls && ctx.Err() == nil; i++ {
		r = c.call(ctx, http.MethodGet, c.url(e, jobPath(j, key), true), nil)
	}
	return r
}

// cancel requests the cancellation of a job; the effect shows in the job's answer.
func (c *client) cancel(ctx context.Context, e Entry, j *Job, key uuid.UUID) Reply {
	return c.call(ctx, http.MethodDelete, c.url(e, jobPath(j, key), false), nil)
}

// explain requests the explanation of a job's state from an instance; on failure
// it returns the error text.
func (c *client) explain(ctx context.Context, e Entry, j *Job, key uuid.UUID) string {
	ctx, stop := context.WithTimeout(ctx, explainTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr.String()+expandPath(api.PathExplain, j, key), nil)
	if err != nil {
		return err.Error()
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxExplainBytes))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func jobPath(j *Job, key uuid.UUID) string { return expandPath(api.PathJob, j, key) }

func expandPath(path string, j *Job, key uuid.UUID) string {
	return strings.NewReplacer("{home}", j.Home, "{customer}", j.Customer, "{key}", key.String()).Replace(path)
}

func (c *client) url(e Entry, path string, wait bool) string {
	u := "http://" + e.Addr.String() + path
	if wait && c.wait > 0 {
		u += "?wait=" + c.wait.String()
	}
	return u
}

func (c *client) call(run context.Context, method, url string, body []byte) Reply {
	ctx, stop := context.WithTimeout(run, c.wait+callGrace)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Reply{Class: Unknown, Malformed: err.Error()}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	// Without GetBody the transport never retries a POST on its own.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil && run.Err() != nil {
		return Reply{Class: Pending, Problem: "run-ended"}
	}
	if err != nil {
		return Reply{Class: Unknown, Broken: true, Problem: "call-broken"}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Reply{Class: Unknown, Broken: true, Problem: "answer-broken"}
	}
	return classify(resp.StatusCode, resp.Header.Get("Content-Type"), data)
}

// classify turns an HTTP answer into a Reply.
func classify(status int, contentType string, data []byte) Reply {
	media, _, _ := mime.ParseMediaType(contentType)
	if media == api.ContentTypeProblem {
		return classifyProblem(status, data)
	}
	if status >= http.StatusMultipleChoices {
		return Reply{Class: Unknown, Malformed: fmt.Sprintf("status %d is not a problem document", status)}
	}
	var a api.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return Reply{Class: Unknown, Malformed: "the answer is not JSON"}
	}
	switch a.Status {
	case api.StatusComplete:
		return Reply{Class: Complete, Ran: api.RanYes, Results: a.Results}
	case api.StatusPending:
		return Reply{Class: Pending, Ran: api.RanUnknown}
	}
	return Reply{Class: Unknown, Malformed: fmt.Sprintf("status %q with HTTP status %d", a.Status, status)}
}

func classifyProblem(status int, data []byte) Reply {
	var p api.Problem
	if err := json.Unmarshal(data, &p); err != nil {
		return Reply{Class: Unknown, Malformed: "the problem document is not JSON"}
	}
	r := Reply{
		Problem:    p.Kind,
		Ran:        p.Ran,
		RetryAfter: time.Duration(p.RetryAfterMs) * time.Millisecond,
		Results:    p.Results,
	}
	switch p.Ran {
	case api.RanNo:
		r.Class = Refused
	case api.RanYes:
		r.Class = Failed
	default:
		r.Class = Unknown
	}
	for _, res := range p.Results {
		if r.Class == Refused && res.Ran != api.RanNo {
			r.Malformed = "the problem says not run, but the result of a task differs"
		}
	}
	if p.Status != status {
		r.Malformed = fmt.Sprintf("problem status %d under HTTP status %d", p.Status, status)
	}
	if p.Kind == "" || p.Remedy == "" || p.Ran == "" {
		r.Malformed = "the problem lacks kind, remedy or ran"
	}
	return r
}

// PathStarts is the path where a backend stand-in lists its starts.
const PathStarts = "/standin/starts"

// startCount is an entry of that list.
type startCount struct {
	Task  string `json:"task"`
	Count int    `json:"count"`
}

// fetchStarts returns the starts of every task identity, summed over the backend
// stand-ins, and the starts of each stand-in.
func fetchStarts(ctx context.Context, addrs []netip.AddrPort) (map[string]int, []ServerStarts, error) {
	c := newClient(callGrace)
	defer c.http.CloseIdleConnections()
	sum := make(map[string]int)
	var servers []ServerStarts
	for _, a := range addrs {
		one, err := c.starts(ctx, a)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "starts of %s; check that it is a backend stand-in and still runs", a)
		}
		server := ServerStarts{Server: a.String()}
		for _, s := range one {
			sum[s.Task] += s.Count
			server.Starts += s.Count
		}
		servers = append(servers, server)
	}
	return sum, servers, nil
}

func (c *client) starts(ctx context.Context, a netip.AddrPort) ([]startCount, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+PathStarts, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	var one []startCount
	err = json.NewDecoder(resp.Body).Decode(&one)
	return one, err
}

// taskIdentity is the identity of a task that a backend server receives in
// backendapi.HeaderTask.
func taskIdentity(j *Job, key uuid.UUID, index int) string {
	return fmt.Sprintf("%s/%s/%s/%d", j.Home, j.Customer, key, index)
}
