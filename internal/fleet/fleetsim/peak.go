package fleetsim

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// Peak is a load scenario: normal load, a peak of a few seconds, and normal load again.
type Peak struct {
	Site  Site
	Load  float64 // at the peak, relative to the normal rate
	Seeds int
}

// Duration of each phase of a Peak, and the load outside the peak.
const (
	phaseDuration = 4 * time.Second
	normalLoad    = 0.8
)

// PeakResult holds the results of a Peak, as shares of the jobs submitted during and
// after it.
type PeakResult struct {
	Jobs       int
	OnTime     float64
	Completed  float64
	NotRun     float64
	UpperBound float64            // no scheduler can exceed this share on time, see upperBound
	ByClass    map[string]float64 // share on time
}

// Run plays the scenario under a policy.
func (c Peak) Run(p fleet.Policy) (PeakResult, []string) {
	var sum Tally
	var violations []string
	var bounds float64
	classes := map[string][2]int{}
	for seed := range c.Seeds {
		w := New(uint64(seed + 1))
		w.Policy = p
		w.Build(c.Site)
		w.Run(2 * time.Second)
		w.OfferLoad(c.Site, normalLoad, phaseDuration)
		w.Run(phaseDuration)
		since := w.Now()
		w.OfferLoad(c.Site, c.Load, phaseDuration)
		w.Run(phaseDuration)
		w.OfferLoad(c.Site, normalLoad, phaseDuration)
		w.Run(5 * phaseDuration)
		t := w.Tally(since)
		sum.Jobs, sum.OnTime = sum.Jobs+t.Jobs, sum.OnTime+t.OnTime
		sum.Completed, sum.NotRun = sum.Completed+t.Completed, sum.NotRun+t.NotRun
		bounds += w.upperBound(since) * float64(t.Jobs)
		w.countClasses(since, classes)
		violations = append(violations, w.Violations...)
	}
	n := float64(sum.Jobs)
	s := PeakResult{
		Jobs: sum.Jobs, OnTime: float64(sum.OnTime) / n, Completed: float64(sum.Completed) / n,
		NotRun: float64(sum.NotRun) / n, UpperBound: bounds / n, ByClass: map[string]float64{},
	}
	for name, k := range classes {
		s.ByClass[name] = float64(k[0]) / float64(k[1])
	}
	return s, violations
}

func (w *World) countClasses(since fleet.Time, classes map[string][2]int) {
	for _, j := range w.submissions {
		if j.SubmittedAt < since {
			continue
		}
		k := classes[j.Spec.Route]
		k[1]++
		if j.OnTime() {
			k[0]++
		}
		classes[j.Spec.Route] = k
	}
}

// upperBound returns the share of on-time jobs, among those submitted since a time,
// that no scheduler can exceed. It treats all servers as a single one that is never
// idle, wastes no capacity and runs the smallest jobs first between the first arrival
// and the last due time.
func (w *World) upperBound(since fleet.Time) float64 {
	rate := 0.0
	for _, s := range w.servers {
		rate += float64(s.Entry.Capacity.CPUMilli) * s.Speed
	}
	var work []float64
	last := since
	for _, j := range w.submissions {
		if j.SubmittedAt < since {
			continue
		}
		st := j.Spec.Steps[0]
		work = append(work, float64(st.Count)*float64(st.Need.CPUMilli)*float64(j.work))
		last = max(last, j.due())
	}
	slices.SortFunc(work, func(a, b float64) int { return cmp.Compare(a, b) })
	left, done := rate*float64(last.Sub(since)), 0
	for _, x := range work {
		if left -= x; left < 0 {
			break
		}
		done++
	}
	return float64(done) / float64(max(len(work), 1))
}
