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

// Times of the dealings with the store.
const (
	memberTTL      = 1500 * time.Millisecond // how long a dead instance may seem alive
	renewPause     = 500 * time.Millisecond  // three renewals in a lease
	callTimeout    = 700 * time.Millisecond  // of a small answer; a slow store takes a quarter of a second
	loadTimeout    = 10 * time.Second        // of a large answer that goes on: ten times a megabyte's time on the slowest link
	configWait     = 1000 * time.Millisecond // half of the time until a configuration must be in force
	recordWait     = 2000 * time.Millisecond // peers tell of each other sooner than a silent watch is noticed
	serverPause    = 900 * time.Millisecond  // between watches of servers, so that their heartbeats come in batches
	recordPause    = 50 * time.Millisecond   // between watches of what changes seldom, for changes that come together
	storeRetryMin  = 100 * time.Millisecond
	storeRetryMax  = 500 * time.Millisecond
	retrySpread    = 0.5
	leaveTimeout   = 300 * time.Millisecond
	downAfterFails = 2 // failed reads in a row after which the store counts as away
)

// storeSide keeps the instance listed in the store and follows its contents.
type storeSide struct {
	node  *Node
	store *platform.Store

	mu      sync.Mutex
	members map[model.Instance]fleet.Member
	owners  map[model.ServerID]model.Instance
	lease   platform.LeaseID
	fails   int // reads in a row
	up      bool

	servers    *serverWatch
	stopShared context.CancelFunc // nil while the shared parts aren't followed
}

// watched is a part of the store that an instance follows.
type watched struct {
	prefix string
	wait   time.Duration // of a watch without news
	pause  time.Duration // between two watches
	whole  func(platform.Range)
	change func(after platform.Revision, changes platform.Range)
}

// shared returns what only some instances follow in a large fleet. The servers'
// heartbeats are apart from the configuration, which is heard of at once.
func (s *storeSide) shared() []watched {
	return []watched{
		{platform.OperatorPrefix, configWait, recordPause, s.applyWhole, s.applyChange},
		{platform.ServerPrefix, configWait, serverPause, s.servers.whole, s.servers.change},
	}
}

func newStoreSide(n *Node) *storeSide {
	s := &storeSide{node: n, members: map[model.Instance]fleet.Member{}, owners: map[model.ServerID]model.Instance{}}
	s.store = platform.NewStore(n.settings.Store, n.metrics.CountStoreCall)
	s.servers = &serverWatch{store: s, entries: map[model.ServerID]fleet.ServerEntry{}}
	return s
}

// run follows the store until ctx ends.
func (s *storeSide) run(ctx context.Context) {
	go s.stayListed(ctx)
	s.followShared(ctx, true)
	s.track(ctx, watched{platform.FleetPrefix, recordWait, recordPause, s.applyFleet, s.applyChange})
}

// followShared begins or ends to follow the shared parts of the store.
func (s *storeSide) followShared(ctx context.Context, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.stopShared == nil:
		ctx, s.stopShared = context.WithCancel(ctx)
		for _, w := range s.shared() {
			go s.track(ctx, w)
		}
	case !on && s.stopShared != nil:
		s.stopShared()
		s.stopShared = nil
	}
}

// track reads a part of the store and follows its changes until ctx ends.
func (s *storeSide) track(ctx context.Context, w watched) {
	retry := s.backoff()
	for ctx.Err() == nil {
		at, err := s.load(ctx, w)
		if err == nil {
			retry.Reset()
			s.reached(true, nil)
			err = s.follow(ctx, w, at)
		}
		if err != nil && ctx.Err() == nil {
			s.reached(false, err)
			retry.Sleep(ctx)
		}
	}
}

func (s *storeSide) backoff() wait.Backoff {
	return wait.Backoff{Min: storeRetryMin, Max: storeRetryMax, Jitter: retrySpread}
}

// reached notes whether the store answers.
func (s *storeSide) reached(ok bool, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.fails = 0
		if !s.up {
			s.up = true
			s.node.log.Event(eventlog.PlatformBack).Send()
			s.node.post(fleet.StoreStatus{Up: true})
		}
		return
	}
	s.fails++
	if s.up && s.fails >= downAfterFails {
		s.up = false
		s.node.log.Event(eventlog.PlatformLost).AnErr("cause", cause).Send()
		s.node.post(fleet.StoreStatus{Up: false})
	}
}

// load reads a part of the store whole.
func (s *storeSide) load(ctx context.Context, w watched) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := s.store.List(ctx, w.prefix)
	if err != nil {
		return 0, err
	}
	w.whole(r)
	return r.Revision, nil
}

// follow applies changes until the store forgets them or does not answer.
func (s *storeSide) follow(ctx context.Context, w watched, at platform.Revision) error {
	retry := s.backoff()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, w.wait+loadTimeout)
		changes, forgotten, err := s.store.Watch(call, w.prefix, at, w.wait)
		cancel()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			s.reached(false, err)
			if !retry.Sleep(ctx) {
				return ctx.Err()
			}
			continue
		case forgotten:
			return nil
		}
		retry.Reset()
		s.reached(true, nil)
		w.change(at, changes)
		at = changes.Revision
		if !wait.Sleep(ctx, w.pause) {
			return ctx.Err()
		}
	}
	return ctx.Err()
}

func (s *storeSide) applyWhole(r platform.Range) { s.apply(r.Items, false) }

func (s *storeSide) applyChange(_ platform.Revision, c platform.Range) { s.apply(c.Items, false) }

// applyFleet takes all in that instances have written.
func (s *storeSide) applyFleet(r platform.Range) {
	s.mu.Lock()
	clear(s.members)
	s.mu.Unlock()
	s.apply(r.Items, true)
}

// apply takes records in and tells the reducer. whole means that they are all of
// the fleet's own.
func (s *storeSide) apply(items []platform.Item, whole bool) {
	var owners []fleet.Ownership
	members := whole
	var config []byte
	s.mu.Lock()
	for _, it := range items {
		switch platform.KindOf(it.Key) {
		case platform.RecordMember:
			members = true
			s.applyMember(it)
		case platform.RecordOwner:
			o := s.ownership(it)
			s.owners[o.Server] = o.Owner
			owners = append(owners, o)
		case platform.RecordCancel:
			if id, ok := platform.CancelledJobFromKey(it.Key); ok && !it.Deleted {
				s.node.post(fleet.JobCancelled{ID: id})
			}
		case platform.RecordConfig:
			if !it.Deleted {
				config = it.Value
			}
		}
	}
	list := s.memberList()
	s.mu.Unlock()
	if config != nil {
		s.node.takeConfig(config, "store")
	}
	if members {
		s.node.post(fleet.MembersListed{Members: list})
	}
	if whole || len(owners) > 0 {
		s.node.post(fleet.OwnersChanged{Owners: owners})
	}
}

func (s *storeSide) applyMember(it platform.Item) {
	if it.Deleted {
		delete(s.members, platform.MemberFromKey(it.Key))
		return
	}
	m, err := platform.ParseMember(it)
	if err != nil {
		s.node.notes.unreadable(it.Key, err)
		return
	}
	s.members[m.Instance] = m
}

// ownership decodes who orders at a server.
func (s *storeSide) ownership(it platform.Item) fleet.Ownership {
	o, err := platform.ParseOwner(it)
	if err != nil {
		// Another writer's bytes name no owner; a claim overwrites them.
		s.node.notes.unreadable(it.Key, err)
	}
	return o
}

func (s *storeSide) memberList() []fleet.Member {
	out := make([]fleet.Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	return out
}

// readMembers reads which members the store lists now.
func (s *storeSide) readMembers(ctx context.Context) ([]fleet.Member, error) {
	r, err := s.store.List(ctx, platform.MemberPrefix)
	if err != nil {
		return nil, err
	}
	var out []fleet.Member
	for _, it := range r.Items {
		m, err := platform.ParseMember(it)
		if err != nil {
			s.node.notes.unreadable(it.Key, err)
			continue
		}
		out = append(out, m)
	}
	return out, nil
}

// holders returns the number of instances that own servers, 1 at least; kept
// jobs are written by these.
func (s *storeSide) holders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[model.Instance]bool{s.node.self.Instance: true}
	for _, o := range s.owners {
		seen[o] = true
	}
	delete(seen, "")
	return len(seen)
}

// stayListed keeps this instance's entry in the store.
func (s *storeSide) stayListed(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.renew(ctx); err != nil {
			s.node.notes.callFailed("renew", "", err)
		}
		if !wait.Sleep(ctx, renewPause) {
			return
		}
	}
}

// renew renews the lease, or opens one and writes the entry under it.
func (s *storeSide) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	sent := bootTime()
	if lease != 0 {
		ended, err := s.store.Renew(ctx, lease)
		if err != nil {
			return err
		}
		if !ended && s.isListed() {
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
	s.members[s.node.self.Instance] = s.node.self // until the watch says otherwise
	s.mu.Unlock()
	s.node.post(fleet.MembershipRenewed{SentAt: sent})
	return nil
}

// isListed reports whether the store lists this life of the instance; a key
// may vanish though its lease lasts.
func (s *storeSide) isListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[s.node.self.Instance].Incarnation == s.node.self.Incarnation
}

// claim writes ownerships. An answer that is lost is made up for by reading.
func (s *storeSide) claim(ctx context.Context, c fleet.Claim) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	owners, done, err := s.commitClaim(ctx, c)
	if err != nil {
		s.node.notes.callFailed("claim", "", err)
		owners, err = s.readOwners(ctx, c)
	}
	s.node.post(fleet.ClaimReply{Owners: owners, Known: err == nil, Committed: done})
}

func (s *storeSide) commitClaim(ctx context.Context, c fleet.Claim) (owners []fleet.Ownership, done bool, err error) {
	txn, err := platform.OwnerTxn(c.Owner, s.node.self.Incarnation, c.Expected)
	if err != nil {
		return nil, false, err
	}
	r, err := s.store.Commit(ctx, txn)
	if err != nil {
		return nil, false, err
	}
	if !r.Committed {
		return s.ownerships(r.Current), false, nil
	}
	out := slices.Clone(c.Expected)
	for i := range out {
		out[i].Owner, out[i].Incarnation, out[i].Revision = c.Owner, s.node.self.Incarnation, uint64(r.Revision)
		if c.Owner == "" {
			out[i].Incarnation = ""
		}
	}
	return out, true, nil
}

func (s *storeSide) ownerships(items []platform.Item) []fleet.Ownership {
	var out []fleet.Ownership
	for _, it := range items {
		out = append(out, s.ownership(it))
	}
	return out
}

func (s *storeSide) readOwners(ctx context.Context, c fleet.Claim) ([]fleet.Ownership, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loadTimeout)
	defer cancel()
	r, err := s.store.List(ctx, platform.OwnerPrefix)
	if err != nil {
		return nil, err
	}
	return s.ownerships(r.Items), nil
}

// leave takes this instance off the list at once.
func (s *storeSide) leave() {
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.store.Revoke(ctx, lease); err != nil {
		s.node.notes.callFailed("leave", "", err)
	}
}
