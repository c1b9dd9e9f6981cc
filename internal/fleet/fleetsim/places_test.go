package fleetsim

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// racked returns a site of six racks of eight servers, on which the jobs choose racks.
func racked(short, others Locality) Site {
	s := Glenbrae()
	s.Domains, s.Instances, s.Servers, s.RackSize = s.Domains[:3], []int{2, 2, 2}, 16, 8
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		s.Classes[i].Locality = others
	}
	s.Classes[0].Locality = short
	return s
}

// placeResult holds what a load of jobs with racks came to.
type placeResult struct {
	jobs, onTime, notRun int
	p99                  time.Duration
	farShare             float64 // of the capacity spent
	byClass              map[string][2]int
}

// playPlaces offers a load for six seconds with each of three seeds.
func playPlaces(t *testing.T, s Site, load, farFactor float64, untold bool) (out placeResult) {
	t.Helper()
	near, far := 0.0, 0.0
	var times []time.Duration
	out.byClass = map[string][2]int{}
	for seed := range uint64(3) {
		w := New(seed + 1)
		w.Places.FarFactor, w.Places.Untold = farFactor, untold
		w.Build(s)
		w.Run(2 * time.Second)
		w.OfferLoad(s, 0.5, 2*time.Second)
		w.Run(2 * time.Second)
		since := w.Now()
		w.OfferLoad(s, load, 6*time.Second)
		w.Run(16 * time.Second)
		for _, v := range w.Violations {
			t.Errorf("seed %d: %s", seed+1, v)
		}
		tally := w.Tally(since)
		out.jobs, out.onTime, out.notRun = out.jobs+tally.Jobs, out.onTime+tally.OnTime, out.notRun+tally.NotRun
		near, far = near+w.Places.NearWork, far+w.Places.FarWork
		w.countClasses(since, out.byClass)
		for _, j := range w.submissions {
			if j.SubmittedAt >= since && j.Result.Kind == fleet.Completed {
				times = append(times, j.AnsweredAt.Sub(j.SubmittedAt))
			}
		}
	}
	slices.Sort(times)
	out.p99, out.farShare = times[len(times)*99/100], far/(near+far)
	return out
}

func (r placeResult) share() float64 { return float64(r.onTime) / float64(r.jobs) }

// TestPlacesAgainstFixedCost compares the decision on places with an instance that
// doesn't know how slow a far run is. It fails if the decision costs jobs their time.
func TestPlacesAgainstFixedCost(t *testing.T) {
	spread := Locality{AnyShare: 0.7}
	patterns := []struct {
		name      string
		site      Site
		load      float64
		farFactor float64
	}{
		{"hot rack", racked(Locality{HotShare: 0.6}, Locality{}), 0.8, 2},
		{"racks of all, far 3", racked(spread, spread), 0.8, 3},
		{"groups", racked(Locality{Together: 0.7}, Locality{Together: 0.7}), 0.8, 2},
		{"shortage", racked(Locality{HotShare: 0.3, AnyShare: 0.4}, spread), 1.6, 2},
	}
	for _, c := range patterns {
		t.Run(c.name, func(t *testing.T) {
			var results []placeResult
			for _, untold := range []bool{true, false} {
				r := playPlaces(t, c.site, c.load, c.farFactor, untold)
				t.Logf("untold %v: on time %.3f, not run %d of %d, p99 %v, far share %.3f, %v", untold, r.share(), r.notRun, r.jobs, r.p99.Round(time.Millisecond), r.farShare, r.byClass)
				results = append(results, r)
			}
			if before, now := results[0], results[1]; now.share() < before.share() {
				t.Errorf("on time %.3f, without the decision %.3f", now.share(), before.share())
			}
		})
	}
}

// TestPlacesUnderFaults guards the invariants where tasks wait for racks, and against jobs
// that wait for one forever: orders are lost, servers stall, and an owner is killed.
func TestPlacesUnderFaults(t *testing.T) {
	places := Locality{HotShare: 0.4, AnyShare: 0.3, Together: 0.3}
	s := racked(places, places)
	for seed := range uint64(3) {
		w := New(seed + 1)
		w.Places.FarFactor = 2
		w.Build(s)
		w.Run(2 * time.Second)
		for i, x := range w.Servers() {
			x.LateStartRate, x.LateOtherRate, x.StallsRuns = 0.1, 0.1, i%9 == 0
		}
		w.After(time.Second, func() { w.Kill("tayside-0") })
		w.After(3*time.Second, func() { w.Start("tayside-0") })
		w.OfferLoad(s, 0.8, 5*time.Second)
		w.Run(5 * time.Second)
		for _, x := range w.Servers() {
			x.LateStartRate, x.LateOtherRate, x.StallsRuns = 0, 0, false
		}
		w.Run(50 * time.Second) // callers wait for 46 s at most
		checkAnswered(t, w, seed+1)
	}
}

// TestPlacesDuringEvacuation guards the invariants, and jobs against a wait for racks that
// take no work: two domains with wanted racks are evacuated while jobs and groups wait for
// them, one for longer than the bound, and an owner is killed and starts meanwhile.
func TestPlacesDuringEvacuation(t *testing.T) {
	places := Locality{HotShare: 0.4, AnyShare: 0.3, Together: 0.3}
	s := racked(places, places)
	for seed := range uint64(3) {
		w := New(seed + 1)
		w.Places.FarFactor = 2
		w.Build(s)
		w.Run(2 * time.Second)
		for _, x := range w.Servers() {
			x.LateStartRate, x.LateOtherRate = 0.1, 0.1
		}
		w.OfferLoad(s, 0.4, 10*time.Second)
		w.After(time.Second, func() { w.Evacuate(s.Domains[0]) })
		w.After(9*time.Second, func() { w.Restore(s.Domains[0]) })
		w.After(3*time.Second, func() { w.Evacuate(s.Domains[1]) })
		w.After(5*time.Second, func() { w.Restore(s.Domains[1]) })
		w.After(1200*time.Millisecond, func() { w.Kill("tayside-0") })
		w.After(3200*time.Millisecond, func() { w.Start("tayside-0") })
		w.Run(60 * time.Second) // callers wait for 46 s at most
		t.Logf("seed %d: %+v", seed+1, w.Tally(0))
		checkAnswered(t, w, seed+1)
	}
}

// checkAnswered checks the invariants, and that no job is without an answer.
func checkAnswered(t *testing.T, w *World, seed uint64) {
	t.Helper()
	for _, v := range w.Violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if open := w.Tally(0).Open; open > 0 {
		t.Errorf("seed %d: %d jobs have no answer", seed, open)
	}
}
