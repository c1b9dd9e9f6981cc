package node

import (
	"context"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Startup of an instance while callers wait. The caller port opens first: a refused
// connection makes a caller come back after more than a second. Members and configuration
// are read before anything else, as they are all that is needed to pass jobs on; the lists
// of servers and ownerships take a tenth of a second on a slow link.

const (
	// firstConfigWait is how long a request waits for the first configuration: it takes
	// about 20 ms to read, and most jobs can still be on time after this wait.
	firstConfigWait = 300 * time.Millisecond
	// readAheadTimeout is when an instance goes on without these reads: a slow store
	// takes 250 ms.
	readAheadTimeout = 300 * time.Millisecond
)

// readAhead holds what a starting instance reads while it records its start.
type readAhead struct {
	done     chan struct{} // closed when the reads have ended
	members  []fleet.Member
	operator platform.Range
}

// startReadAhead reads members and configuration.
func (s *storeSync) startReadAhead(ctx context.Context) *readAhead {
	r := &readAhead{done: make(chan struct{})}
	ctx, cancel := context.WithTimeout(ctx, readAheadTimeout)
	operatorRead := make(chan struct{})
	go func() {
		defer close(operatorRead)
		r.operator, _ = s.store.List(ctx, platform.OperatorPrefix) // the watch reports failures
	}()
	go func() {
		defer cancel()
		defer close(r.done)
		if list, err := s.store.List(ctx, platform.MemberPrefix); err == nil {
			r.members = parseMembers(list.Items, nil)
		}
		<-operatorRead
	}()
	return r
}

// applyReadAhead reports what was read ahead to the reducer.
func (s *storeSync) applyReadAhead(r *readAhead) {
	<-r.done
	s.applyList(r.operator)
	if len(r.members) > 0 {
		s.node.post(fleet.MembersListed{Members: r.members})
	}
}

// parseMembers decodes the members listed in the store, and passes unreadable entries to
// report unless it is nil.
func parseMembers(items []platform.Item, report func(platform.Item, error)) (out []fleet.Member) {
	for _, it := range items {
		m, err := platform.ParseMember(it)
		switch {
		case err == nil:
			out = append(out, m)
		case report != nil:
			report(it, err)
		}
	}
	return out
}

// await returns the configuration in force. If there is none yet, it waits for one until
// ctx ends, for firstConfigWait at most, and returns nil if none came.
func (h *configHolder) await(ctx context.Context) *configInForce {
	if c := h.get(); c != nil {
		return c
	}
	ctx, cancel := context.WithTimeout(ctx, firstConfigWait)
	defer cancel()
	select {
	case <-h.first:
	case <-ctx.Done():
	}
	return h.get()
}
