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
	expired context.Context // ends when the instance no longer waits

	membersRead chan struct{} // closed when that read has ended
	members     []fleet.Member

	operatorRead chan struct{} // closed when that read has ended
	operator     platform.Range
	operatorErr  error
}

// startReadAhead reads members and configuration. The read of the configuration goes on
// when the instance no longer waits: it takes seconds on the slowest links.
func (s *storeSync) startReadAhead(ctx context.Context) *readAhead {
	expired, cancel := context.WithTimeout(ctx, readAheadTimeout)
	r := &readAhead{expired: expired, membersRead: make(chan struct{}), operatorRead: make(chan struct{})}
	go func() {
		defer close(r.operatorRead)
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		r.operator, r.operatorErr = s.store.List(ctx, platform.OperatorPrefix)
	}()
	go func() {
		defer close(r.membersRead)
		if list, err := s.store.List(expired, platform.MemberPrefix); err == nil {
			r.members = parseMembers(list.Items, nil)
		}
	}()
	go func() {
		defer cancel()
		<-r.membersRead
		select {
		case <-r.operatorRead:
		case <-expired.Done():
		}
	}()
	return r
}

// applyReadAhead waits for the reads and reports the members to the reducer. The shared
// watch of the operator's keys applies the configuration.
func (s *storeSync) applyReadAhead(r *readAhead) {
	<-r.expired.Done()
	<-r.membersRead
	if len(r.members) > 0 {
		s.node.post(fleet.MembersListed{Members: r.members})
	}
}

// awaitOperator returns the operator's keys once they are read; ok is false if that failed
// or ctx ended.
func (r *readAhead) awaitOperator(ctx context.Context) (list platform.Range, ok bool) {
	select {
	case <-r.operatorRead:
		return r.operator, r.operatorErr == nil
	case <-ctx.Done():
		return platform.Range{}, false
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
