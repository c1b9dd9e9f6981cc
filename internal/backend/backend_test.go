package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/backendapi"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// fakeServer answers tasks and health probes as configured.
type fakeServer struct {
	task   http.HandlerFunc
	health string // response body; if empty, probes get no answer
}

func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == backendapi.PathTasks {
		f.task(w, r)
		return
	}
	if f.health == "" {
		<-r.Context().Done()
		return
	}
	_, _ = w.Write([]byte(f.health))
}

// neverAnswer blocks until the client disconnects, which the server notices only
// once the body has been read.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func respond(code int, started string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if started != "" {
			w.Header().Set(backendapi.HeaderStarted, started)
		}
		w.WriteHeader(code)
		_, _ = w.Write([]byte("7"))
	}
}

func dropConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

func TestRunOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		server fakeServer
		lost   bool // detected by the probe
		want   sched.Outcome
	}{
		{"success", fakeServer{task: respond(200, "")}, false, sched.OutcomeOK},
		{"failure", fakeServer{task: respond(500, "")}, false, sched.OutcomeFailed},
		{"rejected before the start", fakeServer{task: respond(503, "no")}, false, sched.OutcomeNotStarted},
		{"503 without the header", fakeServer{task: respond(503, "")}, false, sched.OutcomeFailed},
		{"connection broken", fakeServer{task: dropConnection}, false, sched.OutcomeLost},
		{"server unresponsive", fakeServer{task: neverAnswer}, true, sched.OutcomeLost},
		{"connection hangs, server healthy", fakeServer{task: neverAnswer, health: `{"slots":8,"running":false}`}, true, sched.OutcomeLost},
		{"idle server without task probes", fakeServer{task: neverAnswer, health: `{"slots":8,"busy":0}`}, true, sched.OutcomeLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(&c.server)
			defer s.Close()
			p := newTestPool(s.Listener.Addr().String(), shortInterval)
			if !c.lost {
				// No start counts as lost, however slow the machine is.
				p.opts.Probe.InitialDelay = time.Hour
			}
			defer p.Close()
			got := p.Run(context.Background(), "a", Task{Identity: "h/c/k/0", Attempt: 1, Payload: []byte("1")})
			if got.Outcome != c.want {
				t.Fatalf("outcome %d (%s), want %d", got.Outcome, got.Error, c.want)
			}
		})
	}
}

// shortInterval is for probe options; no result depends on its length.
const shortInterval = 20 * time.Millisecond

// newTestPool returns a pool whose probes time out after timeout.
func newTestPool(addr string, timeout time.Duration) *Pool {
	p := New(Options{
		RunTimeout: time.Hour,
		Probe:      ProbeOptions{InitialDelay: shortInterval, Interval: shortInterval, Timeout: timeout},
	})
	p.SetServers([]sched.Server{{ID: "a", Addr: addr, Slots: 1}})
	p.SetInstanceCount(1)
	return p
}

func TestRunWithoutConnectionIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	got := newTestPool(addr, shortInterval).Run(context.Background(), "a", Task{Identity: "h/c/k/0"})
	if got.Outcome != sched.OutcomeUnreachable {
		t.Fatalf("outcome %d (%s)", got.Outcome, got.Error)
	}
	got = newTestPool(addr, shortInterval).Run(context.Background(), "unknown", Task{Identity: "h/c/k/0"})
	if got.Outcome != sched.OutcomeUnreachable {
		t.Fatalf("outcome %d (%s) of an unknown server", got.Outcome, got.Error)
	}
}

// A long-running task doesn't count as lost while its server reports it running.
func TestProbeKeepsRunningTasks(t *testing.T) {
	asked := make(chan struct{}, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == backendapi.PathHealth {
			asked <- struct{}{}
			_, _ = w.Write([]byte(`{"slots":8,"running":true}`))
			return
		}
		for range 2 * maxProbeMisses {
			<-asked
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer s.Close()
	got := newTestPool(s.Listener.Addr().String(), time.Hour).Run(context.Background(), "a", Task{Identity: "h/c/k/0"})
	if got.Outcome != sched.OutcomeOK {
		t.Fatalf("outcome %d (%s)", got.Outcome, got.Error)
	}
}

func TestHealthy(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string // if empty, the probe gets no answer
		want   bool
	}{
		{"healthy", 200, `{"slots":8}`, true},
		{"healthy and busy", 200, `{"slots":8,"busy":8}`, true},
		{"leaving", 200, `{"slots":8,"leaving":true}`, false},
		{"unhealthy", 503, `{"slots":8}`, false},
		{"not JSON", 200, `ok`, false},
		{"unresponsive", 0, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.body == "" {
					<-r.Context().Done()
					return
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()
			timeout := time.Hour
			if c.body == "" {
				timeout = shortInterval
			}
			p := newTestPool(s.Listener.Addr().String(), timeout)
			if got := p.Healthy(context.Background(), "a"); got != c.want {
				t.Errorf("healthy: %v, want %v", got, c.want)
			}
			if p.Healthy(context.Background(), "unknown") {
				t.Error("an unknown server is healthy")
			}
		})
	}
}
