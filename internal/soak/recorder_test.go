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

// TestRecorderFindsViolations judges short stories of one job of one task.
func TestRecorderFindsViolations(t *testing.T) {
	soon := func() fleet.Time { return fleet.Time(time.Now().UnixNano()) }
	answered := func(b *recorder, q *request, status int, done bool) {
		b.answered(q, answer{at: time.Now(), status: status, completed: done})
	}
	cases := []struct {
		name   string
		play   func(b *recorder, q *request)
		broken int
	}{
		{"completed", func(b *recorder, q *request) {
			b.started("s1", run(1))
			b.ended("s1", run(1), fleet.EndDone, soon())
			answered(b, q, http.StatusOK, true)
		}, 0},
		{"one run after the other", func(b *recorder, q *request) {
			b.started("s1", run(1))
			b.ended("s1", run(1), fleet.EndStopped, soon())
			b.started("s2", run(2))
		}, 0},
		{"two runs at the same time", func(b *recorder, q *request) {
			b.started("s1", run(1))
			b.started("s2", run(1))
		}, 1},
		{"a run after a crash", func(b *recorder, q *request) {
			b.started("s1", run(1))
			b.crashed("s1")
			b.started("s2", run(2))
		}, 0},
		{"a server filled beyond its capacity", func(b *recorder, q *request) {
			b.requests["k"] = &request{id: "k", tasks: 1, need: q.need}
			b.started("s1", run(1))
			b.started("s1", fleet.RunID{Task: fleet.TaskID{Job: "k"}, Attempt: 1})
		}, 1},
		{"completed before its task", func(b *recorder, q *request) {
			b.started("s1", run(1))
			answered(b, q, http.StatusOK, true)
		}, 1},
		{"refused after a start", func(b *recorder, q *request) {
			b.started("s1", run(1))
			answered(b, q, http.StatusServiceUnavailable, false)
		}, 1},
		{"refused after a lost answer", func(b *recorder, q *request) {
			b.started("s1", run(1))
			answered(b, q, 0, false)
			answered(b, q, http.StatusServiceUnavailable, false)
		}, 0},
		{"nobody's job", func(b *recorder, q *request) {
			b.started("s1", fleet.RunID{Task: fleet.TaskID{Job: "x"}, Attempt: 1})
		}, 1},
		{"held back", func(b *recorder, q *request) {
			b.answered(q, answer{lateBy: time.Second})
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newRecorder()
			q := &request{id: "j", tasks: 1, need: model.Resources{CPUMilli: 3000}}
			b.submitted(q)
			c.play(b, q)
			capacity := model.Resources{CPUMilli: 4000}
			got := b.check(map[model.ServerID]model.Resources{"s1": capacity, "s2": capacity})
			if len(got) != c.broken {
				t.Errorf("broken %q, want %d", got, c.broken)
			}
		})
	}
}
