package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// playDeadly plays 10 s of a site under load, with a deadly job each gap from 1 s to 7 s,
// and what is injected at 3 s, until all durable jobs should have ended.
func playDeadly(w *World, site Site, load float64, gap time.Duration, inject func()) {
	w.Build(site)
	w.Run(settleTime)
	w.OfferLoad(site, load, 10*time.Second)
	w.Run(time.Second)
	for at := time.Duration(0); at < 6*time.Second; at += gap {
		w.After(at, func() { w.submitDeadly(site) })
	}
	w.After(2*time.Second, inject)
	w.Run(32 * time.Second)
}

// submitDeadly submits a job of the first class whose first task crashes its servers.
func (w *World) submitDeadly(site Site) {
	spec := w.Job(site.Classes[0], site.Classes[0].Work)
	for _, n := range w.instances {
		if n.alive && !n.frozen {
			w.Submit(n.member.Instance, spec).CrashesServers = true
			return
		}
	}
}

// checkCrashes checks that no deadly job completes, that none is open, and that only
// deadly ones fail.
func checkCrashes(t *testing.T, w *World) {
	t.Helper()
	checkInvariants(t, w)
	deadly, crashed, falsely, open := 0, 0, 0, 0
	for _, j := range w.Jobs() {
		r, stored := w.Record(j.Spec.ID)
		failed := j.Result.Kind == fleet.Failed || stored && r.State == fleet.StateFailed
		completed := j.Result.Kind == fleet.Completed || stored && r.State == fleet.StateCompleted
		switch {
		case j.CrashesServers:
			deadly++
			crashed += w.crashes.of(fleet.TaskID{Job: j.Spec.ID})
			if completed {
				t.Errorf("deadly job %s is completed", j.Spec.ID)
			}
		case failed:
			falsely++
		}
		if stored && r.State == fleet.StateOpen {
			open++
		}
	}
	t.Logf("%d deadly jobs crashed %d servers; tally %+v", deadly, crashed, w.Tally(0))
	if falsely > 0 || open > 0 {
		t.Errorf("%d jobs failed without cause, %d are open", falsely, open)
	}
}

// TestDeadlyTaskIsGivenUp plays tasks that crash each server that starts them, which
// comes back under its ID or another one.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	for _, site := range []Site{Glenbrae().WithDurableJobs(), AlHadhira().WithDurableJobs(), Glenbrae()} {
		for _, replace := range []bool{false, true} {
			w := New(31)
			w.ReplaceCrashed = replace
			playDeadly(w, site, 0.6, 300*time.Millisecond, func() {})
			checkCrashes(t, w)
		}
	}
}

// TestDeadlyTaskAfterTakeover kills holders again and again, and takes the store away,
// while tasks crash servers.
func TestDeadlyTaskAfterTakeover(t *testing.T) {
	site := Glenbrae().WithDurableJobs()
	for seed := range uint64(4) {
		w := New(40 + seed)
		w.ReplaceCrashed = seed%2 == 0
		w.LostReplyRate = 0.05
		playDeadly(w, site, 0.5, 300*time.Millisecond, func() {
			for i, name := range []model.Instance{"tayside-0", "carrick-1", "fife-0"} {
				w.After(time.Duration(i)*1300*time.Millisecond, func() {
					w.Kill(name)
					w.After(time.Second, func() { w.Start(name) })
				})
			}
			if seed >= 2 {
				w.After(2*time.Second, func() { w.StoreDown(3 * time.Second) })
			}
		})
		checkCrashes(t, w)
	}
}

// TestInnocentTasksBesideCrashes loses the servers of a rack twice, some after notice,
// and cuts off owners beside deadly tasks. No innocent job may fail.
func TestInnocentTasksBesideCrashes(t *testing.T) {
	site := Glenbrae().WithDurableJobs()
	injections := map[string]func(w *World){
		"racks crash": func(w *World) {
			for n := range 3 {
				w.After(time.Duration(n)*1500*time.Millisecond, func() {
					for _, s := range w.servers[6*n : 6*n+12] {
						s.Crash(2 * time.Second)
					}
				})
			}
		},
		"spot servers are lost": func(w *World) {
			for i, s := range w.servers[:24] {
				w.After(time.Duration(i/6)*1200*time.Millisecond, func() {
					s.Drain()
					w.After(500*time.Millisecond, func() { s.CrashForGood(4 * time.Second) })
				})
			}
		},
		"servers are cut off": func(w *World) {
			for i, s := range w.servers[:36] {
				w.After(time.Duration(i/12)*1500*time.Millisecond, func() {
					s.Unresponsive = true
					w.After(1300*time.Millisecond, func() { s.Unresponsive = false })
				})
			}
		},
		"owners are cut off": func(w *World) {
			w.Isolate("ardmore-0", 3*time.Second)
			w.IsolateFromStore("fife-0", 5*time.Second)
			w.Freeze("tayside-0", 2*time.Second)
		},
	}
	for name, inject := range injections {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				w := New(50 + seed)
				w.ReplaceCrashed = seed == 1
				playDeadly(w, site, 0.6, 200*time.Millisecond, func() { inject(w) })
				checkCrashes(t, w)
			}
		})
	}
}
