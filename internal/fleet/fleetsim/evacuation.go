package fleetsim

import (
	"maps"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// evacuationBound is how long after its evacuation tasks may start in a domain, as the
// project's users require.
const evacuationBound = 5 * time.Second

// evacuations holds the operator's keys of evacuated domains in the store.
type evacuations struct {
	since map[model.Domain]fleet.Time // when the store acknowledged the key
	used  bool                        // the operator has written a key at some time
}

// Evacuate makes the operator evacuate domains.
func (w *World) Evacuate(domains ...model.Domain) {
	w.evacuations.used = true
	if w.evacuations.since == nil {
		w.evacuations.since = map[model.Domain]fleet.Time{}
	}
	for _, d := range domains {
		w.evacuations.since[d] = w.now
	}
}

// Restore ends the evacuation of a domain.
func (w *World) Restore(d model.Domain) { delete(w.evacuations.since, d) }

// sendEvacuations reports the evacuated domains to an instance that watches the store. The
// time serves as revision, as server heartbeats make that grow.
func (w *World) sendEvacuations(n *simInstance) {
	if n.watches && w.evacuations.used {
		w.step(n, fleet.EvacuationsChanged{Domains: slices.Sorted(maps.Keys(w.evacuations.since)), Revision: uint64(w.now)})
	}
}

// checkEvacuation checks that a run doesn't start in an evacuated domain.
func (w *World) checkEvacuation(s *Server, run fleet.RunID) {
	if since, ok := w.evacuations.since[s.Entry.Domain]; ok && w.now.Sub(since) > evacuationBound {
		w.violated("run %v starts at %s, %v after the evacuation of its domain", run, s.Entry.ID, w.now.Sub(since))
	}
}
