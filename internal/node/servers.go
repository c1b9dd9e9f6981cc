package node

import (
	"context"
	"sync"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/platform"
)

// serverWatch takes in the store's list of backend servers. Most changes there
// are heartbeats, which are left out.
type serverWatch struct {
	store *storeSide

	mu      sync.Mutex
	entries map[model.ServerID]fleet.ServerEntry
}

// list reads the list once.
func (w *serverWatch) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := w.store.store.List(ctx, platform.ServerPrefix)
	if err != nil {
		w.store.node.notes.callFailed("list-servers", "", err)
		return
	}
	w.post(r)
}

// whole takes the whole list in.
func (w *serverWatch) whole(r platform.Range) {
	list := w.post(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.entries)
	for _, e := range list {
		w.entries[e.ID] = e
	}
}

// post tells the reducer of the whole list.
func (w *serverWatch) post(r platform.Range) (list []fleet.ServerEntry) {
	for _, it := range r.Items {
		if e, ok := w.parse(it); ok {
			list = append(list, e)
		}
	}
	w.store.node.post(fleet.ServersListed{Servers: list, Revision: uint64(r.Revision)})
	return list
}

// parse decodes an entry; ok is false for one that names no server to use.
func (w *serverWatch) parse(it platform.Item) (e fleet.ServerEntry, ok bool) {
	if it.Deleted {
		return e, false
	}
	e, err := platform.ParseServer(it)
	if err != nil {
		w.store.node.notes.unreadable(it.Key, err)
	}
	return e, err == nil
}

// change takes changes in and tells the reducer what they come to.
func (w *serverWatch) change(after platform.Revision, r platform.Range) {
	c := fleet.ServerChanges{FromRevision: uint64(after), ToRevision: uint64(r.Revision)}
	for id, e := range w.applyChanges(r.Items) {
		if e == nil {
			c.Removed = append(c.Removed, id)
		} else {
			c.Servers = append(c.Servers, *e)
		}
	}
	w.store.node.post(fleet.ServersChanged{ServerChanges: c})
}

// applyChanges returns the servers of which more than a heartbeat has changed,
// with their entries or nil for those that are gone.
func (w *serverWatch) applyChanges(items []platform.Item) map[model.ServerID]*fleet.ServerEntry {
	changed := map[model.ServerID]*fleet.ServerEntry{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, it := range items {
		id := platform.ServerFromKey(it.Key)
		old, known := w.entries[id]
		switch e, ok := w.parse(it); {
		case !ok:
			delete(w.entries, id)
			if known {
				changed[id] = nil
			}
		case !known || !old.Equal(e):
			w.entries[id] = e
			changed[id] = &e
		}
	}
	return changed
}
