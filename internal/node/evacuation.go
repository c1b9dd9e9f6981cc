package node

import (
	"context"
	"maps"
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/platform"
)

// operatorWatcher applies what one watch of the operator's keys reports: evacuated failure
// domains, and then the configuration, which takes longer to decode.
type operatorWatcher struct {
	store     *storeSync
	evacuated map[model.Domain]bool
}

// replaceAll applies a complete list.
func (w *operatorWatcher) replaceAll(r platform.Range) {
	w.evacuated = map[model.Domain]bool{}
	w.applyEvacuations(r)
	w.store.applyList(r)
}

// update applies changes.
func (w *operatorWatcher) update(after platform.Revision, r platform.Range) {
	w.applyEvacuations(r)
	w.store.applyChange(after, r)
}

// applyEvacuations posts the set as of the reply's revision, also if it is unchanged: peers
// with an older revision may know another set.
func (w *operatorWatcher) applyEvacuations(r platform.Range) {
	for _, it := range r.Items {
		if platform.KindOf(it.Key) != platform.RecordEvacuation {
			continue
		}
		d, err := platform.ParseEvacuation(it.Key)
		switch {
		case err != nil:
			w.store.node.limitedLog.recordUnreadable(it, err)
		case it.Deleted:
			delete(w.evacuated, d)
		default:
			w.evacuated[d] = true
		}
	}
	w.store.node.post(fleet.EvacuationsChanged{Domains: slices.Sorted(maps.Keys(w.evacuated)), Revision: uint64(r.Revision)})
}

// readEvacuations reads the evacuated domains of a starting instance, and closes known once
// they are posted. The list is short, whereas the operator's configuration may take seconds
// to arrive on a slow link. The ownerships wait for it: nothing starts in a domain that was
// evacuated before this instance owned servers.
func (s *storeSync) readEvacuations(ctx context.Context, known chan<- struct{}) {
	defer close(known)
	w := &operatorWatcher{store: s}
	spec := watchSpec{prefix: platform.EvacuationPrefix, onList: w.replaceAll}
	for retry := s.backoff(); ; {
		_, err := s.list(ctx, &spec)
		if err == nil {
			return
		}
		s.node.limitedLog.callFailed("list-evacuations", "", err)
		if !retry.Sleep(ctx) {
			return
		}
	}
}
