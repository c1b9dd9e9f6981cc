package sched

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const checkedServer = model.ServerID("a-0")

// nonRepeatableLoad is a scheduler that receives only non-repeatable tasks,
// one every 10 ms. Its first server passes every health check.
type nonRepeatableLoad struct {
	*Scheduler
	now         model.Time
	handle      int
	serverFails func() bool // whether the first server fails a start now
	running     []runningTask
	starts      int // on the first server
	maxBusy     int // concurrent ones among starts
}

// runningTask is a start with its end time.
type runningTask struct {
	Start
	endsAt model.Time
}

func newNonRepeatableLoad(fails func() bool) *nonRepeatableLoad {
	return &nonRepeatableLoad{Scheduler: newTestScheduler(4, 4), now: testStart, serverFails: fails}
}

const loadRunTime = 50 * time.Millisecond

// advance advances the time.
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
		checked := task.Server == checkedServer
		if x.now < task.endsAt {
			left = append(left, task)
			if checked {
				busy++
			}
			continue
		}
		o := OutcomeOK
		if checked && x.serverFails() {
			o = OutcomeFailed
		}
		x.Done(x.now, task.Start, o, loadRunTime)
	}
	x.running = left
	x.maxBusy = max(x.maxBusy, busy)
}

// A recovered server must return to service with non-repeatable tasks only,
// once its health check passes.
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
		t.Fatalf("%d servers in quarantine after the recovery", q)
	}
	before := x.starts
	x.advance(10 * time.Second)
	if got := x.starts - before; got < 100 {
		t.Fatalf("%d starts in 10 s on the recovered server, want its share of 1000", got)
	}
}

// A server that passes health checks but fails all tasks must receive them
// only at the rate of probes.
func TestHealthChecksAloneReleaseNoServer(t *testing.T) {
	x := newNonRepeatableLoad(func() bool { return true })
	x.advance(5 * time.Second)
	before := x.starts
	x.maxBusy = 0
	x.advance(10 * time.Minute)
	const maxStarts = 11 // after delays of 8, 16, 32 s, and 64 s from then on
	if got := x.starts - before; got < 1 || got > maxStarts {
		t.Fatalf("%d starts in 10 min, want 1 to %d", got, maxStarts)
	}
	if x.maxBusy > 1 {
		t.Fatalf("%d starts at once, want 1", x.maxBusy)
	}
	if q := x.Stats().Quarantined; q != 1 {
		t.Fatalf("%d servers in quarantine, want 1", q)
	}
}

// TestHealthChecksDue checks when a quarantined server's health is checked,
// and how long a passed check counts.
func TestHealthChecksDue(t *testing.T) {
	due := minProbeDelay + healthCheckDelay
	cases := []struct {
		name     string
		at       time.Duration // of the check, after the quarantine
		until    time.Duration // of the start, after the check
		setUp    func(v *server)
		checkDue bool
		probed   bool
	}{
		{"before the probe is due", minProbeDelay - 1, 0, nil, false, false},
		{"waiting for a repeatable task", minProbeDelay, 0, nil, false, true},
		{"check due", due, 0, nil, true, true},
		{"the passed check still counts", due, healthCheckTTL - 1, nil, true, true},
		{"the passed check has expired", due, healthCheckTTL, nil, true, false},
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
			if got := len(s.HealthChecksDue(now)) == 1; got != c.checkDue {
				t.Errorf("check due: %v, want %v", got, c.checkDue)
			}
			s.HealthCheckPassed(now, v.ID)
			now = now.Add(c.until)
			if c.until == 0 && c.probed && len(s.HealthChecksDue(now)) > 0 {
				t.Error("check due again although the last one still counts")
			}
			j := testJob(1, 1)
			j.Repeatable = false
			s.Submit(now, j)
			if got := len(takeStarts(s)) == 1; got != c.probed {
				t.Errorf("probed: %v, want %v", got, c.probed)
			}
		})
	}
}
