package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

func run(attempt uint32) fleet.RunID {
	return fleet.RunID{Task: fleet.TaskID{Job: "j"}, Attempt: attempt}
}

// TestRecorderFindsViolations checks short histories of a job with one task.
func TestRecorderFindsViolations(t *testing.T) {
	now := func() fleet.Time { return fleet.Time(time.Now().UnixNano()) }
	answered := func(rec *recorder, q *request, status int, done bool) {
		rec.answered(q, answer{at: time.Now(), status: status, completed: done})
	}
	cases := []struct {
		name       string
		record     func(rec *recorder, q *request)
		violations int
	}{
		{"completed", func(rec *recorder, q *request) {
			rec.started("s1", run(1))
			rec.ended("s1", run(1), fleet.EndDone, now())
			answered(rec, q, http.StatusOK, true)
		}, 0},
		{"one run after the other", func(rec *recorder, q *request) {
			rec.started("s1", run(1))
			rec.ended("s1", run(1), fleet.EndStopped, now())
			rec.started("s2", run(2))
		}, 0},
		{"two runs at the same time", func(rec *recorder, q *request) {
			rec.started("s1", run(1))
			rec.started("s2", run(1))
		}, 1},
		{"a run after a crash", func(rec *recorder, q *request) {
			rec.started("s1", run(1))
			rec.crashed("s1")
			rec.started("s2", run(2))
		}, 0},
		{"a server over its capacity", func(rec *recorder, q *request) {
			rec.requests["k"] = &request{id: "k", tasks: 1, need: q.need}
			rec.started("s1", run(1))
			rec.started("s1", fleet.RunID{Task: fleet.TaskID{Job: "k"}, Attempt: 1})
		}, 1},
		{"completed before its task ended", func(rec *recorder, q *request) {
			rec.started("s1", run(1))
			answered(rec, q, http.StatusOK, true)
		}, 1},
		{"rejected after a start", func(rec *recorder, q *request) {
			rec.started("s1", run(1))
			answered(rec, q, http.StatusServiceUnavailable, false)
		}, 1},
		{"rejected after a lost answer", func(rec *recorder, q *request) {
			rec.started("s1", run(1))
			answered(rec, q, 0, false)
			answered(rec, q, http.StatusServiceUnavailable, false)
		}, 0},
		{"a job that nobody submitted", func(rec *recorder, q *request) {
			rec.started("s1", fleet.RunID{Task: fleet.TaskID{Job: "x"}, Attempt: 1})
		}, 1},
		{"started in an evacuated domain", func(rec *recorder, q *request) {
			since := fleet.Time(time.Now().Add(-time.Minute).UnixNano())
			rec.evacuations = []*evacuation{{domain: "d", from: since, to: since.Add(time.Second)}, {domain: "d", from: since.Add(2 * time.Second)}, {domain: "e", from: since}}
			rec.started("s1", run(1))
		}, 1},
		{"answered late", func(rec *recorder, q *request) {
			rec.answered(q, answer{lateBy: time.Second})
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rec := newRecorder()
			q := &request{id: "j", tasks: 1, need: model.Resources{CPUMilli: 3000}}
			rec.submitted(q)
			c.record(rec, q)
			capacity := model.Resources{CPUMilli: 4000}
			got := rec.check(map[model.ServerID]model.Resources{"s1": capacity, "s2": capacity}, map[model.ServerID]model.Domain{"s1": "d"})
			if len(got) != c.violations {
				t.Errorf("violations %q, want %d", got, c.violations)
			}
		})
	}
}
