package sched

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const checkedServer = model.ServerID("a-0")

// nonRepeatableLoad is a scheduler that gets only work that is not repeatable, one task
// each 10 ms. Its first server answers every health check well.
type nonRepeatableLoad struct {
	*Scheduler
	now         model.Time
	handle      int
	serverFails func() bool // whether the first server fails a start now
	running     []runningTask
	starts      int // on the first server
	maxBusy     int // of these, at once
}

// runningTask is a start and when it ends.
type runningTask struct {
	Start
	endsAt model.Time
}

func newNonRepeatableLoad(fails func() bool) *nonRepeatableLoad {
	return &nonRepeatableLoad{Scheduler: newTestScheduler(4, 4), now: testStart, serverFails: fails}
}

const loadRunTime = 50 * time.Millisecond

// advance lets time pass.
func (x *nonRepeatableLoad) advance(d time.Duration) {
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
		x.processStarts()
	}
}

func (x *nonRepeatableLoad) processStarts() {
	for _, st := range takeStarts(x.Scheduler) {
		x.running = append(x.running, runningTask{Start: st, endsAt: x.now.Add(loadRunTime)})
		if st.Server == checkedServer {
			x.starts++
		}
	}
	busy := 0
	var left []runningTask
	for _, task := range x.running {
		bad := task.Server == checkedServer
		if x.now < task.endsAt {
			left = append(left, task)
			if bad {
				busy++
			}
			continue
		}
		o := OutcomeOK
		if bad && x.serverFails() {
			o = OutcomeFailed
		}
		x.Done(x.now, task.Start, o, loadRunTime)
	}
	x.running = left
	x.maxBusy = max(x.maxBusy, busy)
}

// TestHealthCheckLetsServerLeaveQuarantine checks that a server which works again
// comes back by work that is not repeatable, once its health endpoint has
// answered well.
func TestHealthCheckLetsServerLeaveQuarantine(t *testing.T) {
	broken := true
	x := newNonRepeatableLoad(func() bool { return broken })
	x.advance(5 * time.Second)
	if q := x.Stats().Quarantined; q != 1 {
		t.Fatalf("%d servers in quarantine, want the broken one", q)
	}
	broken = false
	x.advance(minProbeDelay + healthCheckDelay)
	if q := x.Stats().Quarantined; q != 0 {
		t.Fatalf("%d servers in quarantine after it works again", q)
	}
	before := x.starts
	x.advance(10 * time.Second)
	if got := x.starts - before; got < 100 {
		t.Fatalf("%d starts in 10 s on a server that works again, want its part of 1000", got)
	}
}

// TestHealthChecksAloneReleaseNoServer checks that a server which answers well
// but fails all its work gets it at the rate of probes only.
func TestHealthChecksAloneReleaseNoServer(t *testing.T) {
	x := newNonRepeatableLoad(func() bool { return true })
	x.advance(5 * time.Second)
	judged := x.starts
	x.maxBusy = 0
	x.advance(10 * time.Minute)
	const most = 11 // after waits of 8, 16, 32 s, and 64 s from then on
	if got := x.starts - judged; got < 1 || got > most {
		t.Fatalf("%d starts in 10 min, want 1 to %d", got, most)
	}
	if x.maxBusy > 1 {
		t.Fatalf("%d starts at once, want 1", x.maxBusy)
	}
	if q := x.Stats().Quarantined; q != 1 {
		t.Fatalf("%d servers in quarantine, want 1", q)
	}
}

// TestHealthChecksDue checks when a quarantined server is asked for its health, and
// for how long a good answer holds.
func TestHealthChecksDue(t *testing.T) {
	due := minProbeDelay + healthCheckDelay
	cases := []struct {
		name  string
		at    time.Duration // of the check, after the quarantine
		until time.Duration // of the work, after the check
		setUp func(v *server)
		asked bool
		probe bool
	}{
		{"before the probe is due", minProbeDelay - 1, 0, nil, false, false},
		{"repeatable work has time to come", minProbeDelay, 0, nil, false, true},
		{"then", due, 0, nil, true, true},
		{"the answer still holds", due, healthCheckTTL - 1, nil, true, true},
		{"the answer is old", due, healthCheckTTL, nil, true, false},
		{"owned by another instance", due, 0, func(v *server) { v.owned = false }, false, false},
		{"leaving", due, 0, func(v *server) { v.State = ServerLeaving }, false, false},
		{"all slots busy", due, 0, func(v *server) { v.busy = v.held() }, false, false},
		{"a probe runs", due, 0, func(v *server) { v.health.probing = true }, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(1, 1)
			v := s.serverList[0]
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
			if got := len(takeStarts(s)) == 1; got != c.probe {
				t.Errorf("probed: %v, want %v", got, c.probe)
			}
		})
	}
}
