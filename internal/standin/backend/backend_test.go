package backend_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/backendapi"
	"github.com/nutmegweir/nutmegweir/internal/standin/backend"
)

func post(s http.Handler, task, payload string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, backendapi.PathTasks, strings.NewReader(payload))
	r.Header.Set(backendapi.HeaderTask, task)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func TestTasks(t *testing.T) {
	cases := []struct {
		name    string
		opts    backend.Options
		payload string
		status  int
		started string // HeaderStarted
		took    time.Duration
		starts  int
	}{
		{"success", backend.Options{Slots: 1}, `{"run_ms":50,"echo":7}`, 200, "", 50 * time.Millisecond, 1},
		{"twice the speed", backend.Options{Slots: 1, Speed: 2}, `{"run_ms":50}`, 200, "", 25 * time.Millisecond, 1},
		{"failing task", backend.Options{Slots: 1}, `{"run_ms":50,"fail":true}`, 422, "", 50 * time.Millisecond, 1},
		{"fails everything", backend.Options{Slots: 1, Modes: backend.Modes{FailAll: true}}, `{"run_ms":50}`, 500, "", 0, 1},
		{"no slot", backend.Options{}, `{}`, 503, "no", 0, 0},
		{"leaving", backend.Options{Slots: 1, Modes: backend.Modes{Leaving: true}}, `{}`, 503, "no", 0, 0},
		{"malformed", backend.Options{Slots: 1}, `{`, 400, "", 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := backend.New(c.opts)
				start := time.Now()
				w := post(s, "seeb/a/k/0", c.payload)
				if w.Code != c.status || w.Header().Get(backendapi.HeaderStarted) != c.started || time.Since(start) != c.took {
					t.Fatalf("status %d, started %q, after %v: %s", w.Code, w.Header().Get(backendapi.HeaderStarted), time.Since(start), w.Body)
				}
				if len(s.Starts()) != c.starts || len(s.Repeated()) != 0 {
					t.Fatalf("starts %+v", s.Starts())
				}
			})
		})
	}
}

func TestRepeatedListsRepeatedStarts(t *testing.T) {
	s := backend.New(backend.Options{Slots: 1})
	post(s, "a", `{}`)
	post(s, "b", `{}`)
	post(s, "a", `{}`)
	if got := s.Repeated(); len(got) != 1 || got[0] != (backend.Start{Task: "a", Count: 2}) {
		t.Fatalf("repeated %+v", got)
	}
}

func TestSilentServerHangsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := backend.New(backend.Options{Slots: 1, Modes: backend.Modes{Silent: true}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r := httptest.NewRequest(http.MethodPost, backendapi.PathTasks, strings.NewReader(`{}`)).WithContext(ctx)
		r.Header.Set(backendapi.HeaderTask, "a")
		start := time.Now()
		defer func() {
			if recover() != http.ErrAbortHandler || time.Since(start) != time.Minute || len(s.Starts()) != 1 {
				t.Fatalf("after %v, starts %+v", time.Since(start), s.Starts())
			}
		}()
		s.ServeHTTP(httptest.NewRecorder(), r)
	})
}

func TestConnectionCap(t *testing.T) {
	s := backend.New(backend.Options{Slots: 1})
	srv := httptest.NewUnstartedServer(s)
	srv.Listener = s.Listener(srv.Listener)
	srv.Start()
	defer srv.Close()
	rejected := 0
	for range backendapi.MaxConnections + 2 {
		tr := &http.Transport{}
		defer tr.CloseIdleConnections()
		resp, err := (&http.Client{Transport: tr}).Get(srv.URL + backendapi.PathHealth)
		if err != nil {
			rejected++
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body) // keeps the connection open
		_ = resp.Body.Close()
	}
	if rejected != 2 {
		t.Fatalf("%d connections rejected, want 2", rejected)
	}
}
