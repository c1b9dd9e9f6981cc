package sched

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const checkedServer = model.ServerID("a-0")

// tollJobs is a scheduler that gets only work that is not repeatable, one task
// each 10 ms. Its first server answers every health check well.
type tollJobs struct {
	*Scheduler
	now     model.Time
	handle  int
	fails   func() bool // whether the first server fails a start now
	running []tollTask
	starts  int // on the first server
	most    int // of these, at once
}

// tollTask is a start and when it ends.
type tollTask struct {
	Start
	ends model.Time
}

func newTollJobs(fails func() bool) *tollJobs {
	return &tollJobs{Scheduler: newTest(4, 4), now: testStart, fails: fails}
}

const tollRun = 50 * time.Millisecond

// run lets time pass.
func (x *tollJobs) run(d time.Duration) {
	for end := x.now.Add(d); x.now < end; {
		x.now = x.now.Add(10 * time.Millisecond)
		x.handle++
		j := testJob(x.handle, 1)
		j.Repeatable = false
		x.Submit(x.now, j)
		x.Tick(x.now)
		for _, id := range x.HealthChecksDue(x.now) {
			x.HealthCheckPassed(x.now, id)
		}
		x.play()
	}
}

func (x *tollJobs) play() {
	for _, st := range copyStarts(x.Scheduler) {
		x.running = append(x.running, tollTask{Start: st, ends: x.now.Add(tollRun)})
		if st.Server == checkedServer {
			x.starts++
		}
	}
	busy := 0
	var left []tollTask
	for _, task := range x.running {
		bad := task.Server == checkedServer
		if x.now < task.ends {
			left = append(left, task)
			if bad {
				busy++
			}
			continue
		}
		o := OutcomeOK
		if bad && x.fails() {
			o = OutcomeFailed
		}
		x.Done(x.now, task.Start, o, tollRun)
	}
	x.running = left
	x.most = max(x.most, busy)
}

// TestHealthChecksBringAServerBack checks that a server which works again
// comes back by work that is not repeatable, once its health endpoint has
// answered well.
func TestHealthChecksBringAServerBack(t *testing.T) {
	broken := true
	x := newTollJobs(func() bool { return broken })
	x.run(5 * time.Second)
	if q := x.Stats().Quarantined; q != 1 {
		t.Fatalf("%d servers in quarantine, want the broken one", q)
	}
	broken = false
	x.run(probeAfter + checkAfter)
	if q := x.Stats().Quarantined; q != 0 {
		t.Fatalf("%d servers in quarantine after it works again", q)
	}
	before := x.starts
	x.run(10 * time.Second)
	if got := x.starts - before; got < 100 {
		t.Fatalf("%d starts in 10 s on a server that works again, want its part of 1000", got)
	}
}

// TestHealthAloneBringsNoServerBack checks that a server which answers well
// but fails all its work gets it at the rate of probes only.
func TestHealthAloneBringsNoServerBack(t *testing.T) {
	x := newTollJobs(func() bool { return true })
	x.run(5 * time.Second)
	judged := x.starts
	x.most = 0
	x.run(10 * time.Minute)
	const most = 11 // after waits of 8, 16, 32 s, and 64 s from then on
	if got := x.starts - judged; got < 1 || got > most {
		t.Fatalf("%d starts in 10 min, want 1 to %d", got, most)
	}
	if x.most > 1 {
		t.Fatalf("%d starts at once, want 1", x.most)
	}
	if q := x.Stats().Quarantined; q != 1 {
		t.Fatalf("%d servers in quarantine, want 1", q)
	}
}

// TestChecksDue checks when a quarantined server is asked for its health, and
// for how long a good answer holds.
func TestChecksDue(t *testing.T) {
	due := probeAfter + checkAfter
	cases := []struct {
		name  string
		at    time.Duration // of the check, after the quarantine
		until time.Duration // of the work, after the check
		setUp func(v *server)
		asked bool
		probe bool
	}{
		{"before the probe is due", probeAfter - 1, 0, nil, false, false},
		{"repeatable work has time to come", probeAfter, 0, nil, false, true},
		{"then", due, 0, nil, true, true},
		{"the answer still holds", due, checkedFor - 1, nil, true, true},
		{"the answer is old", due, checkedFor, nil, true, false},
		{"owned by another instance", due, 0, func(v *server) { v.owned = false }, false, false},
		{"leaving", due, 0, func(v *server) { v.State = ServerLeaving }, false, false},
		{"all slots busy", due, 0, func(v *server) { v.busy = v.held() }, false, false},
		{"a probe runs", due, 0, func(v *server) { v.health.probing = true }, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTest(1, 1)
			v := s.list[0]
			s.quarantine(testStart, v)
			if c.setUp != nil {
				c.setUp(v)
			}
			now := testStart.Add(c.at)
			if got := len(s.HealthChecksDue(now)) == 1; got != c.asked {
				t.Errorf("asked: %v, want %v", got, c.asked)
			}
			s.HealthCheckPassed(now, v.ID)
			now = now.Add(c.until)
			if c.until == 0 && c.probe && len(s.HealthChecksDue(now)) > 0 {
				t.Error("asked again though the answer holds")
			}
			j := testJob(1, 1)
			j.Repeatable = false
			s.Submit(now, j)
			if got := len(copyStarts(s)) == 1; got != c.probe {
				t.Errorf("probed: %v, want %v", got, c.probe)
			}
		})
	}
}
