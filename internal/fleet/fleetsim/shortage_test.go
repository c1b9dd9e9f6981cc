package fleetsim

import (
	"math"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// shortagePattern is a load pattern with the given load relative to the capacity.
type shortagePattern struct {
	load  float64
	offer func(s Site) func(*World, time.Duration)
}

// baseLoad is the load of a fleet beside a burst, relative to the capacity.
const baseLoad = 0.8

// shortages are the load patterns of a capacity shortage.
var shortages = map[string]shortagePattern{
	"1.5 times": {1.5, allTypes(1.5)},
	"2 times":   {2, allTypes(2)},
	"long jobs": {1.5, func(s Site) func(*World, time.Duration) {
		return func(w *World, d time.Duration) {
			l := baseLoad * w.CapacityLoad(s)
			w.OfferLoad(s, l, d)
			w.offerClass(s.Classes[2], 3*l, w.now.Add(d)) // long jobs are 0.29 of all work
		}
	}},
	"one domain": {2 * baseLoad, func(s Site) func(*World, time.Duration) {
		return func(w *World, d time.Duration) {
			l := baseLoad * w.CapacityLoad(s)
			w.OfferLoad(s, l, d)
			w.OfferLoadAt(s.Domains[0], s, l, d)
		}
	}},
}

func allTypes(load float64) func(Site) func(*World, time.Duration) {
	return func(s Site) func(*World, time.Duration) {
		return func(w *World, d time.Duration) { w.OfferLoad(s, load*w.CapacityLoad(s), d) }
	}
}

// shortageSeeds is how many seeds each pattern is played with.
const shortageSeeds = 3

// playShortage plays a pattern and returns the means of the shares served.
func playShortage(t *testing.T, name string) (sum ShortageResult) {
	t.Helper()
	site := Prioritized()
	sum.ByType, sum.ByDomain = map[string]float64{}, map[model.Domain]float64{}
	for seed := range uint64(shortageSeeds) {
		w, r := Shortage{site, shortages[name].offer(site)}.Play(seed+1, fleet.Policy{})
		if len(w.Violations) > 0 {
			t.Errorf("%s, seed %d: %s", name, seed+1, w.Violations[0])
		}
		sum.Jobs, sum.Served = sum.Jobs+r.Jobs, sum.Served+r.Served/shortageSeeds
		sum.RejectedFree, sum.HeldUnserved = sum.RejectedFree+r.RejectedFree, sum.HeldUnserved+r.HeldUnserved
		addShares(sum.ByType, r.ByType)
		addShares(sum.ByDomain, r.ByDomain)
	}
	t.Logf("%s: %d jobs, served %.3f, types %v, domains %v, rejected beside free servers %d, held %d", name, sum.Jobs, sum.Served,
		rounded(sum.ByType), rounded(sum.ByDomain), sum.RejectedFree, sum.HeldUnserved)
	return sum
}

func addShares[K comparable](sums, shares map[K]float64) {
	for k, x := range shares {
		sums[k] += x / shortageSeeds
	}
}

// TestNoTypeOrDomainStarves plays shortages. Without floors, a type or a domain gets less
// than half of what its share of the capacity would serve.
func TestNoTypeOrDomainStarves(t *testing.T) {
	for name, c := range shortages {
		r := playShortage(t, name)
		least := 0.5 / c.load
		for k, u := range r.ByType {
			if u < least {
				t.Errorf("%s: %.2f of %s jobs served, want %.2f", name, u, k, least)
			}
		}
		for k, u := range r.ByDomain {
			if u < least {
				t.Errorf("%s: %.2f of %s served, want %.2f", name, u, k, least)
			}
		}
	}
}

// TestNothingIsRejectedBesideFreeServers plays shortages. An owner that doesn't know which
// servers of others are free rejects jobs that fit there.
func TestNothingIsRejectedBesideFreeServers(t *testing.T) {
	for name := range shortages {
		if r := playShortage(t, name); r.RejectedFree > 0 {
			t.Errorf("%s: %d jobs rejected while servers could run them", name, r.RejectedFree)
		}
	}
}

// rounded returns shares with two digits, for logs.
func rounded[K comparable](shares map[K]float64) map[K]float64 {
	out := map[K]float64{}
	for k, x := range shares {
		out[k] = math.Round(100*x) / 100
	}
	return out
}
