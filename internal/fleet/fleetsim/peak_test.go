package fleetsim

import (
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// minClassOnTime is the minimum on-time share of each job class at normal load. Long
// jobs miss it if they are sent to slow servers.
const minClassOnTime = 0.95

// TestPeakAgainstBaselines runs load peaks on both deployments. Goals: nine tenths of
// the upper bound at normal load, eight tenths at the peak, and no baseline better at
// two peak levels. At normal load nothing is queued, so the order doesn't matter.
func TestPeakAgainstBaselines(t *testing.T) {
	baselines := map[string]fleet.Policy{
		"arrival":   {Order: fleet.OrderArrival},
		"first fit": {Place: fleet.PlaceFirstFit},
		"random":    {Place: fleet.PlaceRandom},
		"all three": {Order: fleet.OrderArrival, Place: fleet.PlaceRandom},
	}
	for name, site := range map[string]Site{"glenbrae": Glenbrae(), "al-hadhira": AlHadhira()} {
		for _, c := range []struct{ load, goal float64 }{{0.8, 0.9}, {1.5, 0.8}, {1.8, 0.8}} {
			own := runPeak(t, Peak{site, c.load, 3}, fleet.Policy{})
			t.Logf("%s at %.1f: on time %.3f of %d jobs, bound %.3f, %v", name, c.load, own.OnTime, own.Jobs, own.UpperBound, own.ByClass)
			if own.OnTime < c.goal*own.UpperBound {
				t.Errorf("%s at %.1f: on time %.3f, want %.1f of the bound %.3f", name, c.load, own.OnTime, c.goal, own.UpperBound)
			}
			for class, share := range own.ByClass {
				if c.load < 1 && share < minClassOnTime {
					t.Errorf("%s at %.1f: %s on time %.3f, want %.2f", name, c.load, class, share, minClassOnTime)
				}
			}
			if c.load < 1 {
				continue
			}
			for b, p := range baselines {
				base := runPeak(t, Peak{site, c.load, 3}, p)
				t.Logf("%s at %.1f, %s: on time %.3f, %v", name, c.load, b, base.OnTime, base.ByClass)
				if base.OnTime > own.OnTime {
					t.Errorf("%s at %.1f: baseline %s has %.3f on time, own %.3f", name, c.load, b, base.OnTime, own.OnTime)
				}
			}
		}
	}
}

func runPeak(t *testing.T, c Peak, p fleet.Policy) PeakResult {
	t.Helper()
	s, violations := c.Run(p)
	if len(violations) > 0 {
		t.Errorf("%d invariants violated, first: %s", len(violations), violations[0])
	}
	return s
}
