package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/problem"
	"github.com/nutmegweir/nutmegweir/internal/settings"
)

const (
	testKey  = "01890a5d-ac96-774b-bcce-b302099a8057"
	testBody = `{"customer":"acme","home":"tayside","key":"` + testKey + `","kind":"route","tasks":[1,{"a":2}]}`
	testPath = "/v1/jobs/tayside/acme/" + testKey
)

// fakeDispatcher answers every call with answer or err. With block it first
// waits for the end of the context, as Dispatcher specifies.
type fakeDispatcher struct {
	answer  *peerpb.Answer
	err     error
	block   bool
	panics  bool
	spec    *peerpb.JobSpec
	id      *peerpb.Identity
	waited  bool
	called  string
	explain string
}

func (f *fakeDispatcher) reply(ctx context.Context, call string, wait bool) (*peerpb.Answer, error) {
	f.called, f.waited = call, wait
	if f.panics {
		panic("simulated bug")
	}
	if f.block {
		<-ctx.Done()
		if f.answer == nil {
			return nil, ctx.Err()
		}
	}
	return f.answer, f.err
}

func (f *fakeDispatcher) Submit(ctx context.Context, spec *peerpb.JobSpec, wait bool) (*peerpb.Answer, error) {
	f.spec = spec
	return f.reply(ctx, "submit", wait)
}

func (f *fakeDispatcher) Lookup(ctx context.Context, id *peerpb.Identity, wait bool) (*peerpb.Answer, error) {
	f.id = id
	return f.reply(ctx, "lookup", wait)
}

func (f *fakeDispatcher) Cancel(ctx context.Context, id *peerpb.Identity) (*peerpb.Answer, error) {
	f.id = id
	return f.reply(ctx, "cancel", false)
}

func (f *fakeDispatcher) Explain(ctx context.Context, id *peerpb.Identity) (string, error) {
	f.called, f.id = "explain", id
	return f.explain, f.err
}

func newTestHandler(d Dispatcher) *Handler {
	limits := settings.Default().Limits
	limits.BodyBytes, limits.PayloadBytes, limits.Tasks, limits.JSONDepth = 2000, 100, 3, 8
	return New(Options{Dispatcher: d, Domains: []model.Domain{"tayside", "fife-dock"}, Limits: limits})
}

func send(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func problemOf(t *testing.T, w *httptest.ResponseRecorder) api.Problem {
	t.Helper()
	var p api.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		t.Fatalf("%v in %s", err, w.Body)
	}
	return p
}

func complete(outputs ...string) *peerpb.Answer {
	a := &peerpb.Answer{Status: peerpb.Status_STATUS_COMPLETE}
	for i, o := range outputs {
		a.Results = append(a.Results, &peerpb.TaskResult{Index: uint32(i), Ran: peerpb.Ran_RAN_YES, Ok: true, Output: []byte(o)})
	}
	return a
}

func TestSubmitConvertsJob(t *testing.T) {
	d := &fakeDispatcher{answer: complete(`{"x":1}`, "plain text")}
	body := `{"customer":"acme","home":"tayside","key":"` + testKey + `","kind":"route","tasks":[ 1 ,{"a":2}],
		"deadline_ms":5000,"repeatable":true,"declared_run_ms":70,"needs":{"cpu_milli":500,"memory_mb":64,"accelerators":1}}`
	w := send(newTestHandler(d), "POST", api.PathJobs, body)
	want := `{"status":"complete","results":[{"index":0,"ran":"yes","ok":true,"output":{"x":1}},` +
		`{"index":1,"ran":"yes","ok":true,"output":"plain text"}]}` + "\n"
	if w.Code != http.StatusOK || w.Body.String() != want {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
	s := d.spec
	if s.Identity.Customer != "acme" || s.Identity.Home != "tayside" || model.Key(s.Identity.Key).String() != testKey {
		t.Errorf("identity %v", s.Identity)
	}
	submitted := model.Key(s.Identity.Key).Submitted().UnixMilli()
	if s.DeadlineUnixMs != submitted+5000 || !s.Repeatable || s.DeclaredRunMs != 70 || s.Kind != "route" {
		t.Errorf("spec %v", s)
	}
	if fmt.Sprintf("%q", s.Payloads) != `["1" "{\"a\":2}"]` || s.Resources.CpuMilli != 500 || s.Resources.MemoryMb != 64 || s.Resources.Accelerators != 1 {
		t.Errorf("payloads %q, resources %v", s.Payloads, s.Resources)
	}
	if !d.waited {
		t.Error("a submission must wait by default")
	}
}

func TestRequestReturnsSingleResult(t *testing.T) {
	d := &fakeDispatcher{answer: complete("7")}
	body := strings.Replace(testBody, `"tasks":[1,{"a":2}]`, `"payload":{"gate":4}`, 1)
	w := send(newTestHandler(d), "POST", api.PathRequests, body)
	if w.Code != http.StatusOK || w.Body.String() != `{"index":0,"ran":"yes","ok":true,"output":7}`+"\n" {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
	if fmt.Sprintf("%s", d.spec.Payloads) != `[{"gate":4}]` {
		t.Errorf("payloads %s", d.spec.Payloads)
	}
}

func TestSubmitRejectsInvalidInput(t *testing.T) {
	swap := func(old, new string) string { return strings.Replace(testBody, old, new, 1) }
	cases := []struct {
		name, body string
		kind       problem.Kind
		detail     string
	}{
		{"not JSON", `{"customer":`, problem.InvalidRequest, "not JSON"},
		{"trailing content", testBody + `{}`, problem.InvalidRequest, "not JSON"},
		{"empty", ` `, problem.InvalidRequest, "not JSON"},
		{"array", `[]`, problem.InvalidRequest, "the body is a array"},
		{"unknown field", swap(`"kind"`, `"weight":1,"kind"`), problem.UnknownField, `"weight"`},
		{"unknown inner field", swap(`"kind"`, `"needs":{"gpu":1},"kind"`), problem.UnknownField, `"needs.gpu"`},
		{"different case", swap(`"kind"`, `"Kind"`), problem.UnknownField, `"Kind"`},
		{"duplicate field", swap(`"kind"`, `"customer":"b","kind"`), problem.InvalidRequest, "customer is given twice"},
		{"duplicate field, escaped", swap(`"kind"`, `"custome\u0072":"b","kind"`), problem.InvalidRequest, "customer is given twice"},
		{"duplicate field in a payload", swap(`{"a":2}`, `{"a":2,"a":3}`), problem.InvalidRequest, "tasks.a is given twice"},
		{"wrong type", swap(`"acme"`, `7`), problem.InvalidRequest, "customer is a number; write a value of type string"},
		{"fraction", swap(`"kind"`, `"deadline_ms":1.5,"kind"`), problem.InvalidRequest, "deadline_ms is a number 1.5"},
		{"too deep", swap(`{"a":2}`, `[[[[[[[[]]]]]]]]`), problem.TooLarge, "nested more than 8"},
		{"no customer", swap(`"customer":"acme",`, ``), problem.InvalidRequest, "customer is missing"},
		{"bad customer", swap(`acme`, `a/b`), problem.InvalidRequest, "customer is"},
		{"bad kind", swap(`route`, ` `), problem.InvalidRequest, "kind is"},
		{"no home", swap(`"home":"tayside",`, ``), problem.InvalidRequest, "home is missing"},
		{"unknown home", swap(`tayside`, `muttrah`), problem.WrongHome, "tayside, fife-dock"},
		{"no key", swap(`"key":"`+testKey+`",`, ``), problem.InvalidRequest, "key is missing"},
		{"UUIDv4", swap(`774b`, `474b`), problem.InvalidRequest, "make a UUIDv7"},
		{"other variant", swap(`bcce`, `0cce`), problem.InvalidRequest, "make a UUIDv7"},
		{"UUID with braces", swap(testKey, `{`+testKey+`}`), problem.InvalidRequest, "make a UUIDv7"},
		{"no tasks", swap(`[1,{"a":2}]`, `[]`), problem.InvalidRequest, "tasks is missing"},
		{"null tasks", swap(`[1,{"a":2}]`, `null`), problem.InvalidRequest, "tasks is missing"},
		{"too many tasks", swap(`[1,`, `[1,1,1,`), problem.TooLarge, "4 tasks; the limit is 3"},
		{"large payload", swap(`{"a":2}`, `"`+strings.Repeat("x", 100)+`"`), problem.TooLarge, "the payload of task 1 has 102 bytes"},
		{"large body", testBody + strings.Repeat(" ", 2000), problem.TooLarge, "larger than 2000 bytes"},
		{"negative deadline", swap(`"kind"`, `"deadline_ms":-1,"kind"`), problem.InvalidRequest, "deadline_ms is -1"},
		{"far deadline", swap(`"kind"`, `"deadline_ms":99999999999,"kind"`), problem.InvalidRequest, "deadline_ms is"},
		{"too many processors", swap(`"kind"`, `"needs":{"cpu_milli":4000000000},"kind"`), problem.InvalidRequest, "needs.cpu_milli is"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := &fakeDispatcher{answer: complete("1", "2")}
			w := send(newTestHandler(d), "POST", api.PathJobs, c.body)
			p := problemOf(t, w)
			if p.Kind != string(c.kind) || !strings.Contains(p.Detail, c.detail) || p.Ran != api.RanNo || p.Remedy == "" {
				t.Errorf("got %+v", p)
			}
			if d.called != "" {
				t.Error("the dispatcher was called")
			}
		})
	}
}

func TestHandlerRejectsInvalidRequests(t *testing.T) {
	cases := []struct {
		name, method, path, contentType string
		kind                            problem.Kind
		allow                           string
	}{
		{"no path", "GET", "/v2", "", problem.NotFound, ""},
		{"method", "PUT", api.PathJobs, "", problem.MethodNotAllowed, "POST"},
		{"method of a job", "POST", testPath, "", problem.MethodNotAllowed, "GET DELETE"},
		{"media type", "POST", api.PathJobs, "text/plain", problem.UnsupportedMediaType, ""},
		{"no media type", "POST", api.PathRequests, "", problem.UnsupportedMediaType, ""},
		{"parameter", "GET", testPath + "?wiat=1s", "", problem.UnknownField, ""},
		{"parameter of DELETE", "DELETE", testPath + "?wait=1s", "", problem.UnknownField, ""},
		{"wait without unit", "GET", testPath + "?wait=5", "", problem.InvalidRequest, ""},
		{"negative wait", "GET", testPath + "?wait=-1s", "", problem.InvalidRequest, ""},
		{"long wait", "POST", api.PathJobs + "?wait=61s", "application/json", problem.InvalidRequest, ""},
		{"wait twice", "GET", testPath + "?wait=1s&wait=2s", "", problem.InvalidRequest, ""},
		{"home in path", "GET", "/v1/jobs/seeb/acme/" + testKey, "", problem.WrongHome, ""},
		{"key in path", "GET", "/v1/jobs/tayside/acme/1", "", problem.InvalidRequest, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(testBody))
			if c.contentType != "" {
				r.Header.Set("Content-Type", c.contentType)
			}
			w := httptest.NewRecorder()
			newTestHandler(&fakeDispatcher{answer: complete("1")}).ServeHTTP(w, r)
			if p := problemOf(t, w); p.Kind != string(c.kind) || p.Ran != api.RanNo {
				t.Errorf("got %+v", p)
			}
			if allow := strings.Join(w.Header().Values("Allow"), " "); allow != c.allow {
				t.Errorf("Allow is %q", allow)
			}
		})
	}
}

func TestAnswerConversion(t *testing.T) {
	partial := complete("1", "2")
	partial.Results = partial.Results[1:]
	failed := &peerpb.Answer{Status: peerpb.Status_STATUS_FAILED, Results: []*peerpb.TaskResult{
		{Index: 0, Ran: peerpb.Ran_RAN_YES, Ok: true, Output: []byte("1")},
		{Index: 1, Ran: peerpb.Ran_RAN_UNKNOWN, Error: "lost"},
	}}
	lost := &peerpb.Answer{Status: peerpb.Status_STATUS_FAILED, Problem: string(problem.ResultUnknown), Results: failed.Results}
	refused := &peerpb.Answer{Status: peerpb.Status_STATUS_REFUSED, Ran: peerpb.Ran_RAN_NO, Problem: string(problem.QueueFull), RetryAfterMs: 1200}
	cases := []struct {
		name   string
		answer *peerpb.Answer
		err    error
		code   int
		kind   problem.Kind
		ran    api.Ran
		retry  string
	}{
		{"partial", partial, nil, 500, problem.Internal, api.RanUnknown, "1"},
		{"gap", &peerpb.Answer{Status: peerpb.Status_STATUS_COMPLETE, Results: []*peerpb.TaskResult{{Index: 0}, {Index: 2}}}, nil, 500, problem.Internal, api.RanUnknown, "1"},
		{"binary output", complete("1", "\xff\xfe"), nil, 500, problem.Internal, api.RanYes, "1"},
		{"no status", &peerpb.Answer{}, nil, 500, problem.Internal, api.RanUnknown, "1"},
		{"no answer at all", nil, nil, 500, problem.Internal, api.RanUnknown, "1"},
		{"failed", failed, nil, 502, problem.JobFailed, api.RanUnknown, ""},
		{"lost", lost, nil, 504, problem.ResultUnknown, api.RanUnknown, ""},
		{"refused", refused, nil, 503, problem.QueueFull, api.RanNo, "2"},
		{"refused without kind", &peerpb.Answer{Status: peerpb.Status_STATUS_REFUSED}, nil, 500, problem.Internal, api.RanUnknown, "1"},
		{"typed error", nil, problem.New(problem.NoOwner, "x"), 503, problem.NoOwner, api.RanNo, "1"},
		{"untyped error", nil, fmt.Errorf("x"), 500, problem.Internal, api.RanUnknown, "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := send(newTestHandler(&fakeDispatcher{answer: c.answer, err: c.err}), "POST", api.PathJobs, testBody)
			p := problemOf(t, w)
			if w.Code != c.code || p.Kind != string(c.kind) || p.Ran != c.ran || w.Header().Get("Retry-After") != c.retry {
				t.Errorf("got %d, Retry-After %q, %+v", w.Code, w.Header().Get("Retry-After"), p)
			}
			if c.answer != nil && c.answer.Status == peerpb.Status_STATUS_FAILED && len(p.Results) != 2 {
				t.Errorf("the results are missing: %+v", p)
			}
		})
	}
}

func TestPendingReturnsAccepted(t *testing.T) {
	pending := &peerpb.Answer{Status: peerpb.Status_STATUS_PENDING}
	cases := []struct {
		method, path, body, call string
		waits                    bool
	}{
		{"POST", api.PathJobs + "?wait=0", testBody, "submit", false},
		{"POST", api.PathJobs + "?wait=20ms", testBody, "submit", true},
		{"GET", testPath, "", "lookup", false},
		{"GET", testPath + "?wait=1m", "", "lookup", true},
		{"DELETE", testPath, "", "cancel", false},
	}
	for _, c := range cases {
		d := &fakeDispatcher{answer: pending}
		w := send(newTestHandler(d), c.method, c.path, c.body)
		if w.Code != http.StatusAccepted || w.Body.String() != `{"status":"pending"}`+"\n" || w.Header().Get("Location") != testPath {
			t.Errorf("%s %s: got %d %s %v", c.method, c.path, w.Code, w.Body, w.Header())
		}
		if d.called != c.call || d.waited != c.waits {
			t.Errorf("%s %s: called %s with wait %v", c.method, c.path, d.called, d.waited)
		}
	}
}

func TestWaitTimeout(t *testing.T) {
	cases := []struct {
		name   string
		answer *peerpb.Answer
		stop   bool
		after  time.Duration
		code   int
	}{
		{"admitted", &peerpb.Answer{Status: peerpb.Status_STATUS_PENDING}, false, 5 * time.Second, 202},
		{"not known to be admitted", nil, false, 5 * time.Second, 504},
		{"the instance stops", &peerpb.Answer{Status: peerpb.Status_STATUS_PENDING}, true, time.Second, 202},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newTestHandler(&fakeDispatcher{answer: c.answer, block: true})
				if c.stop {
					time.AfterFunc(time.Second, h.CancelWaits)
				}
				start := time.Now()
				w := send(h, "POST", api.PathJobs+"?wait=5s", testBody)
				if w.Code != c.code || time.Since(start) != c.after {
					t.Errorf("got %d after %s: %s", w.Code, time.Since(start), w.Body)
				}
				if c.code == 504 {
					if p := problemOf(t, w); p.Kind != string(problem.NoAnswer) || p.Ran != api.RanUnknown {
						t.Errorf("got %+v", p)
					}
				}
			})
		})
	}
}

func TestStopRejectsOnlySubmissions(t *testing.T) {
	d := &fakeDispatcher{answer: complete("1", "2")}
	h := newTestHandler(d)
	h.Stop()
	// An earlier attempt may have run, unless the caller says this is the first.
	if p := problemOf(t, send(h, "POST", api.PathJobs, testBody)); p.Kind != string(problem.Stopping) || p.Ran != api.RanUnknown {
		t.Errorf("got %+v", p)
	}
	first := strings.Replace(testBody, "{", `{"first_attempt":true,`, 1)
	if p := problemOf(t, send(h, "POST", api.PathJobs, first)); p.Kind != string(problem.Stopping) || p.Ran != api.RanNo {
		t.Errorf("got %+v", p)
	}
	if w := send(h, "GET", testPath, ""); w.Code != http.StatusOK {
		t.Errorf("got %d", w.Code)
	}
	if h.InFlight() != 0 {
		t.Errorf("%d requests in flight", h.InFlight())
	}
}

func TestCancelReportsTaskResults(t *testing.T) {
	cancelled := &peerpb.Answer{Status: peerpb.Status_STATUS_FAILED, Problem: string(problem.Cancelled), Results: []*peerpb.TaskResult{
		{Index: 0, Ran: peerpb.Ran_RAN_YES, Ok: true, Output: []byte("1")},
		{Index: 1, Ran: peerpb.Ran_RAN_NO},
	}}
	var out bytes.Buffer
	log, err := eventlog.New(&out, "debug")
	if err != nil {
		t.Fatal(err)
	}
	h := newTestHandler(&fakeDispatcher{answer: cancelled})
	h.opts.Log = log
	w := send(h, "DELETE", testPath, "")
	p := problemOf(t, w)
	if w.Code != http.StatusConflict || p.Kind != string(problem.Cancelled) || p.Ran != api.RanYes || len(p.Results) != 2 {
		t.Errorf("got %d %+v", w.Code, p)
	}
	if !strings.Contains(out.String(), eventlog.JobCancelled.Name) {
		t.Errorf("the log lacks the event: %s", out.String())
	}
}

func TestExplain(t *testing.T) {
	d := &fakeDispatcher{explain: "queued behind 3 tasks\n"}
	w := send(newTestHandler(d), "GET", testPath+"/explain", "")
	if w.Code != http.StatusOK || w.Body.String() != d.explain || model.Key(d.id.Key).String() != testKey {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
}

func TestPanicReportsRanUnknown(t *testing.T) {
	w := send(newTestHandler(&fakeDispatcher{panics: true}), "POST", api.PathJobs, testBody)
	if p := problemOf(t, w); p.Kind != string(problem.Internal) || p.Ran != api.RanUnknown {
		t.Errorf("got %+v", p)
	}
}

func TestMetricsCountAnswers(t *testing.T) {
	h := newTestHandler(&fakeDispatcher{answer: complete("1", "2")})
	send(h, "POST", api.PathJobs, testBody)
	send(h, "POST", api.PathJobs, "{}")
	m := h.opts.Metrics
	for name, c := range map[string]prometheus.Counter{
		"submission": m.Submissions.WithLabelValues("route"),
		"answer":     m.Answers.WithLabelValues("complete", "route"),
		"refusal":    m.Refusals.WithLabelValues(string(problem.InvalidRequest), string(api.RanNo)),
	} {
		var out dto.Metric
		if err := c.Write(&out); err != nil || out.GetCounter().GetValue() != 1 {
			t.Errorf("%s: counted %v, %v", name, out.GetCounter().GetValue(), err)
		}
	}
}
