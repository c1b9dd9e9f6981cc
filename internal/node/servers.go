package node

import (
	"context"
	"sync"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/platform"
)

// serverWatcher reports the store's list of backend servers to the reducer.
type serverWatcher struct {
	store *storeSync

	mu   sync.Mutex
	feed fleet.ServerFeed
}

// list reads the list once, beside a watch.
func (w *serverWatcher) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := w.store.store.List(ctx, platform.ServerPrefix)
	if err != nil {
		w.store.node.limitedLog.callFailed("list-servers", "", err)
		return
	}
	var once fleet.ServerFeed
	w.store.node.post(once.List(w.parse(r.Items), uint64(r.Revision)))
}

// replaceAll applies a complete list.
func (w *serverWatcher) replaceAll(r platform.Range) {
	w.mu.Lock()
	e := w.feed.List(w.parse(r.Items), uint64(r.Revision))
	w.mu.Unlock()
	w.store.node.post(e)
}

// update applies changes.
func (w *serverWatcher) update(after platform.Revision, r platform.Range) {
	w.mu.Lock()
	e := w.feed.Update(uint64(after), uint64(r.Revision), w.parse(r.Items))
	w.mu.Unlock()
	w.store.node.post(e)
}

// parse decodes entries.
func (w *serverWatcher) parse(items []platform.Item) []fleet.EntryChange {
	out := make([]fleet.EntryChange, len(items))
	for i, it := range items {
		out[i] = fleet.EntryChange{ID: platform.ServerFromKey(it.Key), Revision: uint64(it.ModRevision)}
		if it.Deleted {
			continue
		}
		e, err := platform.ParseServer(it)
		if err != nil {
			w.store.node.limitedLog.recordUnreadable(it.Key, err)
			continue
		}
		out[i].Entry = &e
	}
	return out
}
