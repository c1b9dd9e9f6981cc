package fleetsim

import (
	"testing"
	"time"
)

// TestLargeFleet loses instances in a fleet of four cells: every server has an owner,
// jobs are served, and no instance is connected to the whole fleet.
func TestLargeFleet(t *testing.T) {
	const cellLinks = 60 // per instance; a cell has 25 members on average
	site := severalCellsSite()
	w := New(5)
	w.Build(site)
	w.Run(settleTime)
	w.OfferLoad(site, 0.5, 6*time.Second)
	w.Run(2 * time.Second)
	w.Kill("carrick-3")
	w.Freeze("ardmore-7", 2*time.Second)
	w.Run(10 * time.Second)
	checkInvariants(t, w)
	if got := w.Tally(0); got.Open > 0 || float64(got.Completed) < 0.97*float64(got.Jobs) {
		t.Errorf("%+v, want 0.97 completed and none open", got)
	}
	owned := map[string]bool{}
	for _, o := range w.owners {
		if o.Owner != "" && w.instance(o.Owner).alive {
			owned[string(o.Server)] = true
		}
	}
	if len(owned) != len(w.servers) {
		t.Errorf("%d of %d servers have a live owner", len(owned), len(w.servers))
	}
	for _, n := range w.instances {
		up := 0
		for _, l := range n.links {
			if l.up && l.lastSentAt > w.now.Add(-time.Second) {
				up++
			}
		}
		if up > cellLinks {
			t.Errorf("%s sends to %d others", n.member.Instance, up)
		}
	}
}
