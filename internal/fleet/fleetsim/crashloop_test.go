package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// crashingJobs crashes the server of each run of some jobs. It comes back after
// crashTime under its ID.
type crashingJobs struct {
	w       *World
	jobs    map[string]bool
	crashes int
}

const crashTime = 3 * time.Second

func newCrashingJobs(w *World) *crashingJobs {
	c := &crashingJobs{w: w, jobs: map[string]bool{}}
	w.onStart = func(s *Server, r fleet.RunID) {
		if !c.jobs[r.Task.Job] || s.Unresponsive {
			return
		}
		c.crashes++
		w.After(10*time.Millisecond, func() { c.crash(s) })
	}
	return c
}

func (c *crashingJobs) crash(s *Server) {
	if s.Unresponsive {
		return
	}
	s.Restart()
	s.Unresponsive = true
	c.w.After(crashTime, func() {
		s.Restart()
		s.Unresponsive = false
	})
}

// TestCrashingJobsDoNotStarveOthers submits stored jobs of which some crash each server
// that they run on. Once the traffic has ended, all others have to end, though the
// crashing ones are less late. Each task takes a whole server, as a crash hits what runs
// beside it whatever the order of starts.
func TestCrashingJobsDoNotStarveOthers(t *testing.T) {
	const (
		traffic = 10 * time.Second
		finish  = 25 * time.Second // to work off what has queued
		share   = 8                // one job in so many crashes servers

		wholeServer = 25000 // milli-cores: no server has room for two
	)
	for seed := range uint64(4) {
		w := New(seed)
		site := Glenbrae().WithDurableJobs()
		for i := range site.Classes {
			site.Classes[i].CPU, site.Classes[i].MaxCPU = 2*wholeServer, wholeServer
		}
		w.Build(site)
		w.Run(settleTime)
		c := newCrashingJobs(w)
		w.OfferLoad(site, 0.3, traffic)
		for range int(traffic / (10 * time.Millisecond)) {
			w.Run(10 * time.Millisecond)
			for i, j := range w.Jobs() {
				if i%share == share-1 && j.Spec.Route == "route" && w.Now().Sub(j.SubmittedAt) <= 10*time.Millisecond {
					c.jobs[j.Spec.ID] = true
				}
			}
		}
		w.Run(finish)
		open := 0
		for _, j := range w.Jobs() {
			if r, ok := w.Record(j.Spec.ID); ok && r.State == fleet.StateOpen && !c.jobs[j.Spec.ID] {
				open++
			}
		}
		t.Logf("seed %d: %d jobs, %d of them crashing, %d crashes", seed, len(w.Jobs()), len(c.jobs), c.crashes)
		if open > 0 || len(c.jobs) == 0 {
			t.Errorf("seed %d: %d jobs that crash nothing are open %v after the traffic", seed, open, finish)
		}
	}
}
