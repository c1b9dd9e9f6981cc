package fleetsim

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// TestOutageRejectsNothingWhileOpening restarts all instances after an outage, at a load
// that fills the servers that are back. While a quarter of the servers or more has no owner
// yet, the rest is not known to be full, and nothing is rejected.
func TestOutageRejectsNothingWhileOpening(t *testing.T) {
	o := Outage{Site: Regional(), Load: 0.75, Dark: 1200 * time.Millisecond, Spread: 190 * time.Millisecond}
	for seed := range uint64(2) {
		owned, early, total := 0, 0, 0
		var first, last fleet.Time
		o.Log = func(at fleet.Time, e fleet.LogEntry) {
			switch e.Kind {
			case fleet.LogServerOwned:
				if owned++; owned == 1 {
					first = at
				}
				last = at
			case fleet.LogJobQueued:
				if e.Reason == "waits" {
					return
				}
				total++
				if owned < 324*3/4 {
					early++
				}
			}
		}
		w, results := o.Play(seed + 1)
		if len(w.Violations) > 0 {
			t.Errorf("seed %d: %s", seed+1, w.Violations[0])
		}
		t.Logf("seed %d: servers owned within %v, %d of %d rejections before: %v", seed+1, last.Sub(first), early, total, results)
		if early > 0 {
			t.Errorf("seed %d: %d jobs rejected while servers were without owner", seed+1, early)
		}
	}
}
