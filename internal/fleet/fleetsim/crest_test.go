package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// minWindowRatio is the goal for each two seconds of a load peak with faults: the share
// of the jobs on time that the usable servers could have completed.
const minWindowRatio = 0.7

// playCrest plays a scenario with several seeds and returns the lowest ratio of each
// window's sums.
func playCrest(t *testing.T, c Crest, seeds int) (lowest float64) {
	t.Helper()
	var sum []Window
	for seed := range seeds {
		w, windows := c.Play(uint64(seed+1), fleet.Policy{})
		if len(w.Violations) > 0 {
			t.Errorf("seed %d: %d invariants violated, first: %s", seed+1, len(w.Violations), w.Violations[0])
		}
		if sum == nil {
			sum = make([]Window, len(windows))
		}
		for i, x := range windows {
			sum[i].Start = x.Start
			sum[i].Jobs, sum[i].OnTime, sum[i].NotRun = sum[i].Jobs+x.Jobs, sum[i].OnTime+x.OnTime, sum[i].NotRun+x.NotRun
			sum[i].Held, sum[i].Bound = sum[i].Held+x.Held, sum[i].Bound+x.Bound
		}
	}
	lowest = 1
	for _, x := range sum {
		lowest = min(lowest, x.Ratio())
		t.Logf("from %v: %d jobs, %d on time of %d possible (%.2f), %d not run, %d held to the deadline", x.Start, x.Jobs, x.OnTime, x.Bound, x.Ratio(), x.NotRun, x.Held)
	}
	return lowest
}

// TestCrestWithLostOrders plays a peak while a quarter of all calls to the servers is
// unanswered and carried out seconds later, and some servers make no progress.
func TestCrestWithLostOrders(t *testing.T) {
	lowest := playCrest(t, Crest{Site: Glenbrae(), Load: 1.6, Faults: func(w *World) {
		for i, s := range w.Servers() {
			s.LateStartRate, s.LateOtherRate = 0.25, 0.25
			s.StallsRuns = i%6 == 0
		}
		w.After(8*time.Second, func() {
			for _, s := range w.Servers() {
				s.LateStartRate, s.LateOtherRate, s.StallsRuns = 0, 0, false
			}
		})
	}}, 3)
	if lowest < minWindowRatio {
		t.Errorf("a window has %.2f of the possible jobs on time, want %.2f", lowest, minWindowRatio)
	}
}

// TestCrestWithOwnersLost plays a peak while the store is down and two of four owners
// are killed.
func TestCrestWithOwnersLost(t *testing.T) {
	lowest := playCrest(t, Crest{Site: Glenbrae(), Load: 1.8, Faults: func(w *World) {
		w.StoreDown(9 * time.Second)
		w.After(time.Second, func() { w.Kill("ardmore-0") })
		w.After(3*time.Second, func() { w.Kill("tayside-0") })
		w.After(4*time.Second, func() { w.Start("ardmore-0") })
		w.After(6*time.Second, func() { w.Start("tayside-0") })
	}}, 3)
	if lowest < minWindowRatio {
		t.Errorf("a window has %.2f of the possible jobs on time, want %.2f", lowest, minWindowRatio)
	}
}

// TestCrestAlone plays the same peak without faults.
func TestCrestAlone(t *testing.T) {
	lowest := playCrest(t, Crest{Site: Glenbrae(), Load: 1.8, Faults: func(*World) {}}, 3)
	if lowest < minWindowRatio {
		t.Errorf("a window has %.2f of the possible jobs on time, want %.2f", lowest, minWindowRatio)
	}
}

// TestCrestWithRestart plays normal load while all instances are killed and started
// again a second later. Windows from the restart on count.
func TestCrestWithRestart(t *testing.T) {
	c := Crest{Site: Glenbrae(), Load: 1.2, Faults: func(w *World) {
		w.After(1900*time.Millisecond, func() {
			for _, n := range w.instances {
				w.Kill(n.member.Instance)
			}
		})
		for i, n := range w.instances {
			w.After(3*time.Second+time.Duration(i)*20*time.Millisecond, func() { w.Start(n.member.Instance) })
		}
	}}
	for seed := range uint64(3) {
		w, windows := c.Play(seed+1, fleet.Policy{})
		if len(w.Violations) > 0 {
			t.Errorf("seed %d: %s", seed+1, w.Violations[0])
		}
		for _, x := range windows[1:] {
			t.Logf("seed %d from %v: %d jobs, %d on time of %d possible (%.2f), %d not run, %d held", seed+1, x.Start, x.Jobs, x.OnTime, x.Bound, x.Ratio(), x.NotRun, x.Held)
			if x.Ratio() < minWindowRatio {
				t.Errorf("seed %d: the window from %v has %.2f of the possible jobs on time, want %.2f", seed+1, x.Start, x.Ratio(), minWindowRatio)
			}
		}
	}
}
