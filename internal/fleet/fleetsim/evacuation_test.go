package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// TestEvacuationUnderFaults injects each fault, alone and with another, while a domain is
// evacuated, among them restarts of the instances. Nothing starts in the domain later than
// the bound, and jobs are served elsewhere. After the evacuation the domain runs tasks again.
func TestEvacuationUnderFaults(t *testing.T) {
	site := Glenbrae()
	eachFault(t, func(t *testing.T, w *World, inject func()) {
		starts := 0
		w.onStart = func(s *Server, _ fleet.RunID) {
			if s.Entry.Domain == "tayside" {
				starts++
			}
		}
		w.Build(site)
		w.Run(settleTime)
		w.OfferLoad(site, 0.5, 24*time.Second)
		w.Run(time.Second)
		w.Evacuate("tayside", "ruwi")
		w.Run(evacuationBound)
		inject()
		w.Run(11 * time.Second)
		starts = 0
		w.Restore("tayside")
		restored := w.Now()
		w.Run(25 * time.Second)
		checkInvariants(t, w)
		if starts == 0 {
			t.Error("nothing starts in the domain after its evacuation")
		}
		if got := w.Tally(0); got.Open > 0 {
			t.Errorf("%d jobs have no answer: %+v", got.Open, got)
		}
		if got := w.Tally(restored); float64(got.Completed) < 0.98*float64(got.Jobs) {
			t.Errorf("after the evacuation %+v, want 0.98 completed", got)
		}
	})
}

// TestEvacuationReachesInstancesWithoutStore cuts the instances of a domain off from the
// store before it is evacuated. They learn it from their peers, and serve their callers by
// servers of other domains.
func TestEvacuationReachesInstancesWithoutStore(t *testing.T) {
	site := Glenbrae()
	w := New(5)
	w.Build(site)
	w.Run(settleTime)
	w.OfferLoad(site, 0.5, 15*time.Second)
	w.Run(time.Second)
	w.IsolateFromStore("tayside-0", 20*time.Second)
	w.IsolateFromStore("tayside-1", 20*time.Second)
	w.Run(time.Second)
	w.Evacuate("tayside")
	since := w.Now()
	w.Run(30 * time.Second)
	checkInvariants(t, w)
	if got := w.Tally(since); got.Jobs == 0 || float64(got.Completed) < 0.98*float64(got.Jobs) {
		t.Errorf("during the evacuation %+v, want 0.98 completed", got)
	}
}
