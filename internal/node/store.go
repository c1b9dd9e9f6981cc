package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/wait"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Timing of store access.
const (
	memberTTL           = 1500 * time.Millisecond // how long a dead instance may appear live
	renewInterval       = 500 * time.Millisecond  // three renewals per lease
	callTimeout         = 700 * time.Millisecond  // for a small response; a slow store takes 250 ms
	loadTimeout         = 10 * time.Second        // for a large response: ten times what 1 MB takes on the slowest link
	sharedWatchWait     = 1000 * time.Millisecond // half of the time within which a configuration must be in force
	fleetWatchWait      = 2000 * time.Millisecond // peers detect failures sooner than a stalled watch is noticed
	recordWatchInterval = 50 * time.Millisecond   // between watches of records that change rarely, to batch bursts
	storeRetryMin       = 100 * time.Millisecond
	storeRetryMax       = 500 * time.Millisecond
	retryJitter         = 0.5
	leaveTimeout        = 300 * time.Millisecond
	failuresUntilDown   = 2 // consecutive failed reads
)

// storeSync keeps the instance's membership in the store and watches its contents.
type storeSync struct {
	node  *Node
	store *platform.Store

	mu          sync.Mutex
	members     map[model.Instance]fleet.Member
	owners      map[model.ServerID]model.Instance
	lease       platform.LeaseID
	failedReads int  // consecutive
	aheadTaken  bool // the first shared watches have started
	up          bool
	// answering is cancelled and replaced when the store answers again after a renewal had no
	// answer: watches sent before may never get one.
	answering  context.Context
	endWatches context.CancelFunc

	ahead             *readAhead // set before run
	serverLister      *serverLister
	stopSharedWatches context.CancelFunc // nil while the shared prefixes aren't watched
}

// watchSpec is a key prefix that an instance watches.
type watchSpec struct {
	name     string // in logs and metrics
	prefix   string
	wait     time.Duration // of a watch without changes
	interval time.Duration // between watches
	onList   func(platform.Range)
	onChange func(after platform.Revision, changes platform.Range)
	ahead    *readAhead // holds the first list if it is not nil
}

// sharedWatches returns what only some instances watch in a large fleet. Server
// heartbeats are watched separately so as not to delay configuration changes.
func (s *storeSync) sharedWatches() []watchSpec {
	servers := &serverWatcher{node: s.node} // an earlier watch may still end
	operator := &operatorWatcher{store: s}
	return []watchSpec{
		{"operator", platform.OperatorPrefix, sharedWatchWait, recordWatchInterval, operator.replaceAll, operator.update, s.takeReadAhead()},
		{"servers", platform.ServerPrefix, sharedWatchWait, fleet.ServerWatchInterval, servers.replaceAll, servers.update, nil},
	}
}

// takeReadAhead returns what was read ahead, once: a later watch lists anew. s.mu is held.
func (s *storeSync) takeReadAhead() *readAhead {
	if s.aheadTaken {
		return nil
	}
	s.aheadTaken = true
	return s.ahead
}

func newStoreSync(n *Node) *storeSync {
	s := &storeSync{node: n, members: map[model.Instance]fleet.Member{}, owners: map[model.ServerID]model.Instance{}}
	s.answering, s.endWatches = context.WithCancel(context.Background())
	s.store = platform.NewStore(n.settings.Store, n.metrics.CountStoreCall)
	s.serverLister = &serverLister{store: s}
	return s
}

// run watches the store until ctx ends.
func (s *storeSync) run(ctx context.Context) {
	go s.keepMembership(ctx)
	s.applyReadAhead(s.ahead)
	s.watchShared(ctx, true)
	known := make(chan struct{})
	go s.readEvacuations(ctx, known)
	onList := func(r platform.Range) {
		select {
		case <-known:
			s.replaceFleet(r)
		case <-ctx.Done():
		}
	}
	s.listAndWatch(ctx, watchSpec{"fleet", platform.FleetPrefix, fleetWatchWait, recordWatchInterval, onList, s.applyChange, nil})
}

// watchShared starts or stops the shared watches.
func (s *storeSync) watchShared(ctx context.Context, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.stopSharedWatches == nil:
		ctx, s.stopSharedWatches = context.WithCancel(ctx)
		for _, w := range s.sharedWatches() {
			go s.listAndWatch(ctx, w)
		}
	case !on && s.stopSharedWatches != nil:
		s.stopSharedWatches()
		s.stopSharedWatches = nil
	}
}

// listAndWatch lists a prefix and watches its changes until ctx ends.
func (s *storeSync) listAndWatch(ctx context.Context, w watchSpec) {
	retry := s.backoff()
	for ctx.Err() == nil {
		at, err := s.list(ctx, &w)
		if err == nil {
			retry.Reset()
			s.updateReachability(true, nil)
			err = s.watch(ctx, w, at)
		}
		if err != nil && ctx.Err() == nil {
			s.updateReachability(false, err)
			retry.Sleep(ctx)
		}
	}
}

func (s *storeSync) backoff() wait.Backoff {
	return wait.Backoff{Min: storeRetryMin, Max: storeRetryMax, Jitter: retryJitter}
}

// updateReachability records whether the store responds.
func (s *storeSync) updateReachability(ok bool, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.failedReads = 0
		if !s.up {
			s.up = true
			s.node.log.Event(eventlog.PlatformBack).Send()
			s.node.post(fleet.StoreStatus{Up: true})
		}
		return
	}
	s.failedReads++
	if s.up && s.failedReads >= failuresUntilDown {
		s.up = false
		s.node.log.Event(eventlog.PlatformLost).AnErr("cause", cause).Send()
		s.node.post(fleet.StoreStatus{Up: false})
	}
}

// list reads all keys of a prefix, unless they were read ahead.
func (s *storeSync) list(ctx context.Context, w *watchSpec) (platform.Revision, error) {
	if ahead := w.ahead; ahead != nil {
		w.ahead = nil
		if r, ok := ahead.awaitOperator(ctx); ok {
			w.onList(r)
			return r.Revision, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := s.store.List(ctx, w.prefix)
	if err != nil {
		return 0, err
	}
	w.onList(r)
	return r.Revision, nil
}

// watch applies changes until the store has compacted past them or ctx ends.
func (s *storeSync) watch(ctx context.Context, w watchSpec, at platform.Revision) error {
	retry := s.backoff()
	var pacer fleet.WatchPacer
	for ctx.Err() == nil {
		answering := s.answeringContext()
		callCtx, cancel := context.WithTimeout(ctx, w.wait+loadTimeout)
		stop := context.AfterFunc(answering, cancel)
		changes, compacted, err := s.store.Watch(callCtx, w.prefix, at, w.wait)
		stop()
		cancel()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil && answering.Err() != nil: // sent again at once
			retry.Reset()
			continue
		case err != nil:
			s.updateReachability(false, err)
			if !retry.Sleep(ctx) {
				return ctx.Err()
			}
			continue
		case compacted:
			return nil
		}
		retry.Reset()
		s.updateReachability(true, nil)
		s.node.metrics.WatchBehind.WithLabelValues(w.name).Set(float64(changes.Behind))
		if changes.Behind > platform.Revision(len(changes.Items)) { // the next reply won't catch up
			s.node.limitedLog.watchBehind(w, changes)
		}
		w.onChange(at, changes)
		at = changes.Revision
		if !wait.Sleep(ctx, pacer.Pause(w.interval, len(changes.Items), changes.Behind > 0)) {
			return ctx.Err()
		}
	}
	return ctx.Err()
}

func (s *storeSync) applyList(r platform.Range) { s.apply(r.Items, false) }

func (s *storeSync) applyChange(_ platform.Revision, c platform.Range) { s.apply(c.Items, false) }

// replaceFleet applies a complete list of fleet records.
func (s *storeSync) replaceFleet(r platform.Range) {
	s.mu.Lock()
	clear(s.members)
	s.mu.Unlock()
	s.node.jobs.cancels.dropUnlisted(r.Items)
	s.apply(r.Items, true)
}

// apply applies records and reports them to the reducer. complete means all of
// FleetPrefix.
func (s *storeSync) apply(items []platform.Item, complete bool) {
	var owners []fleet.Ownership
	var cancelled []string
	members := complete
	var config []byte
	s.mu.Lock()
	for _, it := range items {
		switch platform.KindOf(it.Key) {
		case platform.RecordMember:
			members = true
			s.applyMember(it)
		case platform.RecordOwner:
			o := s.parseOwner(it)
			s.owners[o.Server] = o.Owner
			owners = append(owners, o)
		case platform.RecordCancel:
			if id, ok := platform.CancelledJobFromKey(it.Key); ok {
				s.node.jobs.cancels.observe(id, it)
				if !it.Deleted {
					cancelled = append(cancelled, id)
				}
			}
		case platform.RecordConfig:
			if !it.Deleted {
				config = it.Value
			}
		}
	}
	list := s.memberList()
	s.mu.Unlock()
	for _, id := range cancelled { // the reducer may wait for the lock
		s.node.post(fleet.JobCancelled{ID: id})
	}
	if config != nil {
		s.node.applyConfig(config, "store")
	}
	if members {
		s.node.post(fleet.MembersListed{Members: list})
	}
	if complete || len(owners) > 0 {
		s.node.post(fleet.OwnersChanged{Owners: owners})
	}
}

func (s *storeSync) applyMember(it platform.Item) {
	if it.Deleted {
		delete(s.members, platform.MemberFromKey(it.Key))
		return
	}
	m, err := platform.ParseMember(it)
	if err != nil {
		s.node.limitedLog.recordUnreadable(it, err)
		return
	}
	s.members[m.Instance] = m
}

// parseOwner decodes the ownership of a server.
func (s *storeSync) parseOwner(it platform.Item) fleet.Ownership {
	o, err := platform.ParseOwner(it)
	if err != nil {
		// An undecodable value counts as no owner; a claim overwrites it.
		s.node.limitedLog.recordUnreadable(it, err)
	}
	return o
}

func (s *storeSync) memberList() []fleet.Member {
	out := make([]fleet.Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	return out
}

// readMembers reads the current members from the store.
func (s *storeSync) readMembers(ctx context.Context) ([]fleet.Member, error) {
	r, err := s.store.List(ctx, platform.MemberPrefix)
	if err != nil {
		return nil, err
	}
	return parseMembers(r.Items, s.node.limitedLog.recordUnreadable), nil
}

// ownerCount returns the number of instances that own servers, at least 1. These
// write the durable jobs.
func (s *storeSync) ownerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[model.Instance]bool{s.node.self.Instance: true}
	for _, o := range s.owners {
		seen[o] = true
	}
	delete(seen, "")
	return len(seen)
}

// answeringContext returns the context for watches sent now.
func (s *storeSync) answeringContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answering
}

// repeatWatches sends the watches under way again.
func (s *storeSync) repeatWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatches()
	s.answering, s.endWatches = context.WithCancel(context.Background())
}

// keepMembership maintains this instance's entry in the store. It makes the most frequent
// calls that are answered at once, so it also notices first that the store is back.
func (s *storeSync) keepMembership(ctx context.Context) {
	lost := false // a renewal since the last answered one had no answer
	for ctx.Err() == nil {
		err := s.renew(ctx)
		if err != nil {
			s.node.limitedLog.callFailed("renew", "", err)
		}
		if lost && err == nil {
			s.repeatWatches()
		}
		lost = err != nil && (lost || platform.ErrorKind(err) != platform.CallRejected)
		if !wait.Sleep(ctx, renewInterval) {
			return
		}
	}
}

// renew renews the lease, or acquires one and writes the entry under it.
func (s *storeSync) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	sent := bootTime()
	if lease != 0 {
		expired, err := s.store.Renew(ctx, lease)
		if err != nil {
			return err
		}
		if !expired && s.isListed() {
			s.node.post(fleet.MembershipRenewed{SentAt: sent})
			return nil
		}
	}
	lease, err := s.store.Grant(ctx, max(memberTTL, s.node.settings.Store.MinLeaseTTL))
	if err != nil {
		return err
	}
	w, err := platform.MemberWrite(s.node.self, lease)
	if err != nil {
		return err
	}
	if _, err := s.store.Commit(ctx, platform.Txn{Writes: []platform.Write{w}}); err != nil {
		return err
	}
	s.mu.Lock()
	s.lease = lease
	s.members[s.node.self.Instance] = s.node.self // until the watch reports otherwise
	s.mu.Unlock()
	s.node.post(fleet.MembershipRenewed{SentAt: sent, Created: true})
	return nil
}

// isListed reports whether the store lists this incarnation. The key may be
// removed although its lease is valid.
func (s *storeSync) isListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[s.node.self.Instance].Incarnation == s.node.self.Incarnation
}

// claim writes ownerships. If the reply is lost, it reads them back.
func (s *storeSync) claim(ctx context.Context, c fleet.Claim) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	owners, committed, err := s.commitClaim(ctx, c)
	if err != nil {
		s.node.limitedLog.callFailed("claim", "", err)
		owners, err = s.readOwners(ctx, c)
	}
	s.node.post(fleet.ClaimReply{Owners: owners, Known: err == nil, Committed: committed})
}

func (s *storeSync) commitClaim(ctx context.Context, c fleet.Claim) (owners []fleet.Ownership, committed bool, err error) {
	txn, err := platform.OwnerTxn(c.Owner, s.node.self.Incarnation, c.Expected)
	if err != nil {
		return nil, false, err
	}
	r, err := s.store.Commit(ctx, txn)
	if err != nil {
		return nil, false, err
	}
	if !r.Committed {
		return s.parseOwners(r.Current), false, nil
	}
	out := slices.Clone(c.Expected)
	for i := range out {
		out[i].Owner, out[i].Incarnation, out[i].Revision, out[i].Rank = c.Owner, s.node.self.Incarnation, uint64(r.Revision), 0
		out[i].Absent = false
		if c.Owner == "" {
			out[i].Incarnation, out[i].Successors = "", nil
		}
	}
	return out, true, nil
}

func (s *storeSync) parseOwners(items []platform.Item) []fleet.Ownership {
	var out []fleet.Ownership
	for _, it := range items {
		out = append(out, s.parseOwner(it))
	}
	return out
}

func (s *storeSync) readOwners(ctx context.Context, c fleet.Claim) ([]fleet.Ownership, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loadTimeout)
	defer cancel()
	r, err := s.store.List(ctx, platform.OwnerPrefix)
	if err != nil {
		return nil, err
	}
	return s.parseOwners(r.Items), nil
}

// leave removes this instance's entry at once.
func (s *storeSync) leave() {
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.store.Revoke(ctx, lease); err != nil {
		s.node.limitedLog.callFailed("leave", "", err)
	}
}
