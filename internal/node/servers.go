package node

import (
	"context"
	"sync/atomic"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/platform"
)

// serverWatcher reports the changes of one watch of the store's list of backend servers
// to the reducer.
type serverWatcher struct {
	node *Node
	feed fleet.ServerFeed
}

// replaceAll applies a complete list.
func (w *serverWatcher) replaceAll(r platform.Range) {
	w.node.post(w.feed.List(w.node.parseServers(r.Items), uint64(r.Revision)))
}

// update applies changes.
func (w *serverWatcher) update(after platform.Revision, r platform.Range) {
	w.node.post(w.feed.Update(uint64(after), uint64(r.Revision), w.node.parseServers(r.Items)))
}

// serverLister reads the store's list of backend servers on request.
type serverLister struct {
	store   *storeSync
	reading atomic.Bool
}

// request reads the list once, unless that is under way. A request that comes with the list
// that was read is a new one.
func (l *serverLister) request(ctx context.Context) {
	if !l.reading.CompareAndSwap(false, true) {
		return
	}
	l.store.node.spawn(func() {
		list, ok := l.read(ctx)
		l.reading.Store(false)
		if ok {
			l.store.node.post(list)
		}
	})
}

// read reads the list. It tries again until the store answers; ok is false if ctx ends
// before.
func (l *serverLister) read(ctx context.Context) (list fleet.ServersListed, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	n := l.store.node
	for retry := l.store.backoff(); ; {
		r, err := l.store.store.List(ctx, platform.ServerPrefix)
		if err == nil {
			var feed fleet.ServerFeed
			return feed.List(n.parseServers(r.Items), uint64(r.Revision)), true
		}
		n.limitedLog.callFailed("list-servers", "", err)
		if !retry.Sleep(ctx) {
			return list, false
		}
	}
}

// parseServers decodes entries of backend servers.
func (n *Node) parseServers(items []platform.Item) []fleet.EntryChange {
	out := make([]fleet.EntryChange, len(items))
	for i, it := range items {
		out[i] = fleet.EntryChange{ID: platform.ServerFromKey(it.Key), Revision: uint64(it.ModRevision)}
		if it.Deleted {
			continue
		}
		e, err := platform.ParseServer(it)
		if err != nil {
			n.limitedLog.recordUnreadable(it, err)
			continue
		}
		out[i].Entry = &e
	}
	return out
}
