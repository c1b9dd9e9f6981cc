package soak

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
	port "github.com/nutmegweir/nutmegweir/internal/platform"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/platform"
)

const (
	// evacuationBound is how long after the store's acknowledgement tasks may start in an
	// evacuated domain, as on the users' platform.
	evacuationBound = 5 * time.Second
	// evacuationTime is longer than that and than the longest fault, so that some of it
	// can be checked.
	evacuationTime = 10 * time.Second
)

// evacuation is a time during which the store has the key of an evacuated domain.
type evacuation struct {
	domain   model.Domain
	from, to fleet.Time // to is 0 before the removal
}

// evacuate evacuates a domain for evacuationTime, unless it is evacuated.
func (dep *deployment) evacuate(d model.Domain) {
	rec := dep.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, e := range rec.evacuations {
		if e.domain == d && e.to == 0 {
			return
		}
	}
	key := platform.EvacuationPrefix + string(d)
	dep.store.Store.Commit(standin.Txn{Writes: []port.Entry{{Key: key}}})
	e := &evacuation{domain: d, from: fleet.Time(time.Now().UnixNano())}
	rec.evacuations = append(rec.evacuations, e)
	dep.runAfter(evacuationTime, func() {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		e.to = fleet.Time(time.Now().UnixNano())
		dep.store.Store.Commit(standin.Txn{Remove: []string{key}})
	})
}

// checkEvacuations checks that no run has started in an evacuated domain later than the
// bound. The caller holds mu.
func (rec *recorder) checkEvacuations(domains map[model.ServerID]model.Domain) {
	for _, s := range rec.runs {
		for _, e := range rec.evacuations {
			if e.domain == domains[s.server] && s.from > e.from.Add(evacuationBound) && (e.to == 0 || s.from < e.to) {
				rec.addViolation("run %v started at %s at %v, %v after the evacuation of %s", s.run, s.server, formatTime(s.from), s.from.Sub(e.from), e.domain)
			}
		}
	}
}
