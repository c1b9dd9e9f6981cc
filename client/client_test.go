package client

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/problem"
)

// scriptedReply is one answer of the fake service.
type scriptedReply struct {
	problem *problem.Error
	status  int
	body    string
	drop    bool // close the connection without an answer
}

// fakeService returns the replies in order and repeats the last one.
type fakeService struct {
	mu      sync.Mutex
	replies []scriptedReply
	calls   []string
	bodies  []string
}

func (f *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.calls = append(f.calls, r.Method+" "+r.URL.RequestURI())
	f.bodies = append(f.bodies, string(body))
	next := f.replies[0]
	if len(f.replies) > 1 {
		f.replies = f.replies[1:]
	}
	f.mu.Unlock()
	switch {
	case next.drop:
		panic(http.ErrAbortHandler)
	case next.problem != nil:
		problem.Write(w, next.problem)
	default:
		w.WriteHeader(next.status)
		_, _ = io.WriteString(w, next.body)
	}
}

func retrySoon(k problem.Kind) scriptedReply {
	return scriptedReply{problem: problem.New(k, "").WithRetryAfter(time.Millisecond)}
}

var (
	done    = scriptedReply{status: 200, body: `{"status":"complete","results":[{"index":0,"ran":"yes","ok":true,"output":7}]}`}
	pending = scriptedReply{status: 202, body: `{"status":"pending"}`}
)

func newTestClient(t *testing.T, f *fakeService) *Client {
	t.Helper()
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	c, err := New(Options{Addr: server.Listener.Addr().String(), Attempts: 3, PollWait: time.Second, Backoff: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func testJob() *Job {
	return &Job{Customer: "acme", Home: "tayside", Key: "k", Kind: "route", Tasks: []json.RawMessage{[]byte("1")}}
}

func TestSubmit(t *testing.T) {
	failed := problem.New(problem.Shed, "")
	failed.Results = []api.TaskResult{{Ran: api.RanNo}}
	html := scriptedReply{status: 502, body: "<html>"}
	final := func(k problem.Kind) scriptedReply { return scriptedReply{problem: problem.New(k, "")} }
	cases := []struct {
		name    string
		replies []scriptedReply
		calls   int
		kind    problem.Kind // empty for a complete answer
		ran     api.Ran
	}{
		{"complete at once", []scriptedReply{done}, 1, "", ""},
		{"rejected, then complete", []scriptedReply{retrySoon(problem.QueueFull), retrySoon(problem.NoOwner), done}, 3, "", ""},
		{"answer lost, then complete", []scriptedReply{{drop: true}, done}, 2, "", ""},
		{"pending, then complete", []scriptedReply{pending, pending, done}, 3, "", ""},
		{"error page of a load balancer, then complete", []scriptedReply{html, done}, 2, "", ""},
		{"rejected for good", []scriptedReply{final(problem.Impossible)}, 1, problem.Impossible, api.RanNo},
		{"rejected until the last attempt", []scriptedReply{retrySoon(problem.Shed)}, 3, problem.Shed, api.RanNo},
		{"answer lost, then rejected", []scriptedReply{{drop: true}, final(problem.Impossible)}, 2, problem.Impossible, api.RanUnknown},
		{"may have run, then rejected", []scriptedReply{retrySoon(problem.Internal), retrySoon(problem.NoOwner)}, 3, problem.NoOwner, api.RanUnknown},
		{"final answer of a job", []scriptedReply{{problem: failed}}, 1, problem.Shed, api.RanNo},
		{"final answer after a lost one", []scriptedReply{{drop: true}, {problem: failed}}, 2, problem.Shed, api.RanNo},
		{"not a problem", []scriptedReply{html}, 3, problem.NoAnswer, api.RanUnknown},
		{"not JSON", []scriptedReply{{status: 200, body: "x"}}, 1, problem.NoAnswer, api.RanUnknown},
		{"complete without results", []scriptedReply{{status: 200, body: `{"status":"complete"}`}}, 1, problem.NoAnswer, api.RanUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeService{replies: c.replies}
			a, err := newTestClient(t, f).Submit(context.Background(), testJob())
			if len(f.calls) != c.calls {
				t.Errorf("calls: %q", f.calls)
			}
			if c.kind == "" {
				if err != nil || string(a.Results[0].Output) != "7" {
					t.Errorf("got %+v, %v", a, err)
				}
				return
			}
			e := asError(err)
			if e.Problem.Kind != string(c.kind) || e.Problem.Ran != c.ran {
				t.Errorf("got %v", e)
			}
		})
	}
}

func TestSubmitRetriesSameBody(t *testing.T) {
	f := &fakeService{replies: []scriptedReply{{drop: true}, retrySoon(problem.Stopping), done}}
	if _, err := newTestClient(t, f).Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	if f.bodies[0] != f.bodies[1] || f.bodies[1] != f.bodies[2] || !strings.Contains(f.bodies[0], `"key":"k"`) {
		t.Errorf("bodies %q", f.bodies)
	}
}

func TestFirstAttemptClearedAfterLostAnswer(t *testing.T) {
	f := &fakeService{replies: []scriptedReply{retrySoon(problem.Stopping), {drop: true}, done}}
	job := testJob()
	job.FirstAttempt = true
	if _, err := newTestClient(t, f).Submit(context.Background(), job); err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{true, true, false} {
		if got := strings.Contains(f.bodies[i], `"first_attempt":true`); got != want {
			t.Errorf("attempt %d: %s", i+1, f.bodies[i])
		}
	}
}

func TestRetryWaitHonoursRetryAfter(t *testing.T) {
	const asked = 400 * time.Millisecond
	c := newTestClient(t, &fakeService{})
	for range 100 {
		got := c.retryWait(&Problem{Kind: string(problem.Shed), RetryAfterMs: asked.Milliseconds()}, 1)
		if got < asked || got > asked+asked/4 {
			t.Fatalf("got %s", got)
		}
	}
}

func TestConnectionRefusedMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	c, err := New(Options{Addr: listener.Addr().String(), Attempts: 1})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Submit(context.Background(), testJob())
	if e := asError(err); e.Problem.Ran != api.RanNo || e.Problem.Kind != string(problem.NoAnswer) {
		t.Errorf("got %v", e)
	}
}

func TestCallsOfOneJob(t *testing.T) {
	f := &fakeService{replies: []scriptedReply{{status: 200, body: "queued\n"}, done, retrySoon(problem.Cancelled)}}
	c := newTestClient(t, f)
	id := Identity{Home: "tayside", Customer: "a/b", Key: "k"}
	if text, err := c.Explain(context.Background(), id); err != nil || text != "queued\n" {
		t.Errorf("got %q, %v", text, err)
	}
	if _, err := c.Get(context.Background(), id, 0); err != nil {
		t.Error(err)
	}
	if _, err := c.Cancel(context.Background(), id); asError(err).Problem.Kind != string(problem.Cancelled) {
		t.Errorf("got %v", err)
	}
	want := "GET /v1/jobs/tayside/a%2Fb/k/explain, GET /v1/jobs/tayside/a%2Fb/k?wait=0s, DELETE /v1/jobs/tayside/a%2Fb/k"
	if got := strings.Join(f.calls, ", "); got != want {
		t.Errorf("got %s", got)
	}
}

func TestNewRejectsHostName(t *testing.T) {
	if _, err := New(Options{Addr: "localhost:7400"}); err == nil {
		t.Error("no error")
	}
}
