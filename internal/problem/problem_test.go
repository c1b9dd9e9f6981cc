package problem

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/api"
)

func TestSpecsAreComplete(t *testing.T) {
	seen := make(map[Kind]bool)
	for _, s := range Specs() {
		if seen[s.Kind] {
			t.Errorf("%s is listed twice", s.Kind)
		}
		seen[s.Kind] = true
		if s.Title == "" || s.Remedy == "" || s.Status < 400 {
			t.Errorf("%s lacks title, remedy or status", s.Kind)
		}
		// A resubmission with the same key only looks up what happened.
		isLookup := s.Kind == Internal || s.Kind == NoAnswer
		if s.Ran != api.RanNo && s.RetryAfter != 0 && !isLookup {
			t.Errorf("%s suggests a retry of work that may have run", s.Kind)
		}
	}
}

func TestWrite(t *testing.T) {
	cases := []struct {
		name       string
		err        error
		kind       Kind
		status     int
		ran        api.Ran
		retryAfter string
		retryMs    int64
	}{
		{"kind's defaults", New(NoOwner, "x"), NoOwner, 503, api.RanNo, "1", 500},
		{"own wait rounds up", New(Shed, "").WithRetryAfter(2001 * time.Millisecond), Shed, 503, api.RanNo, "3", 2001},
		{"below a millisecond", New(Shed, "").WithRetryAfter(time.Microsecond), Shed, 503, api.RanNo, "1", 1},
		{"own ran", New(HomeUnreachable, "").WithRan(api.RanUnknown), HomeUnreachable, 503, api.RanUnknown, "1", 1000},
		{"no retry", New(KeyTooOld, ""), KeyTooOld, 410, api.RanUnknown, "", 0},
		{"wrapped", errors.Wrap(New(QueueFull, ""), "submit"), QueueFull, 503, api.RanNo, "1", 1000},
		{"untyped", errors.New("x"), Internal, 500, api.RanUnknown, "1", 1000},
		{"unknown kind", New("no-such-kind", ""), Internal, 500, api.RanUnknown, "1", 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			Write(w, c.err)
			var doc api.Problem
			if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil {
				t.Fatal(err)
			}
			if w.Code != c.status || doc.Status != c.status || doc.Kind != string(c.kind) || doc.Ran != c.ran {
				t.Errorf("got %d %+v", w.Code, doc)
			}
			if got := w.Header().Get("Retry-After"); got != c.retryAfter || doc.RetryAfterMs != c.retryMs {
				t.Errorf("got Retry-After %q, %d ms", got, doc.RetryAfterMs)
			}
			if doc.Type != TypePrefix+doc.Kind || w.Header().Get("Content-Type") != api.ContentTypeProblem {
				t.Errorf("got type %q, content type %q", doc.Type, w.Header().Get("Content-Type"))
			}
		})
	}
}

func TestWrapKeepsCause(t *testing.T) {
	cause := errors.New("connection refused")
	err := Wrap(cause, HomeUnreachable)
	if !errors.Is(err, cause) || !Is(err, HomeUnreachable) || Is(err, Shed) {
		t.Errorf("got %v", err)
	}
	if Wrap(nil, Shed) != nil {
		t.Error("want no error without a cause")
	}
}

func TestFinalAnswerNeverSuggestsSameKey(t *testing.T) {
	cases := []struct {
		kind   Kind
		ran    api.Ran
		remedy string
		wait   int64
	}{
		{Shed, api.RanNo, remedyFinal, 1000},
		{Cancelled, api.RanUnknown, Find(ResultUnknown).Remedy, 0},
		{JobFailed, api.RanUnknown, Find(ResultUnknown).Remedy, 0},
		{JobFailed, api.RanYes, Find(JobFailed).Remedy, 0},
	}
	for _, c := range cases {
		e := New(c.kind, "").WithRan(c.ran)
		e.Results = []api.TaskResult{{Ran: c.ran}}
		if doc := e.Document(); doc.Remedy != c.remedy || doc.RetryAfterMs != c.wait {
			t.Errorf("%s, ran %s: got %+v", c.kind, c.ran, doc)
		}
	}
}
