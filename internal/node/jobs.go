package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/wait"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Limits on store writes for durable jobs.
const (
	// maxConcurrentTxns keeps a transaction whose reply was lost from blocking
	// the others.
	maxConcurrentTxns = 3
	// durableWriteShare is the fraction of the store's write rate for durable jobs.
	durableWriteShare = 0.8
	// txnBurst is the burst size of the write limiter: about half a second of
	// an instance's usual share.
	txnBurst = 32
	// openStateTTL is how long a job's open state is cached. The holder reports
	// the job's end at once, unless the holder itself has failed.
	openStateTTL = 2 * time.Second
	// scanTimeout bounds a scan of all durable jobs, some hundred pages.
	scanTimeout = 5 * time.Second
	// retentionMargin is how long beyond the promised retention final states
	// are kept.
	retentionMargin = 10 * time.Second
	// removalInterval is the time between removals of finished jobs.
	removalInterval = time.Second
)

// jobStore writes durable jobs to the store in batched transactions and removes
// them when their state retention has passed.
type jobStore struct {
	node    *Node
	limiter *rate.Limiter
	wake    chan struct{}

	mu       sync.Mutex
	queue    []fleet.Record
	states   map[string]cachedState
	removals []pendingRemoval           // roughly ordered by due time
	waiters  map[string][]chan struct{} // by job, closed when it has finished

	cancels *cancelStore
}

// cachedState is the last known state of a job, held here or elsewhere.
type cachedState struct {
	state      fleet.JobState
	observedAt time.Time // when the state was read
}

// pendingRemoval schedules dropping a job's cached state and its store keys, if any.
type pendingRemoval struct {
	id   string
	due  time.Time
	keys []string // in the store, may be nil
}

func newJobStore(n *Node) *jobStore {
	s := &jobStore{
		node: n, limiter: rate.NewLimiter(rate.Inf, txnBurst), wake: make(chan struct{}, maxConcurrentTxns), states: map[string]cachedState{},
		waiters: map[string][]chan struct{}{},
	}
	s.cancels = newCancelStore(s)
	return s
}

// run writes and removes jobs until ctx ends.
func (s *jobStore) run(ctx context.Context) {
	var all sync.WaitGroup
	for range maxConcurrentTxns {
		all.Go(func() { s.writeLoop(ctx) })
	}
	all.Go(func() { s.removalLoop(ctx) })
	all.Go(func() { s.cancels.run(ctx) })
	all.Wait()
}

// save queues a write. The reducer sends one at a time per job.
func (s *jobStore) save(r fleet.Record) {
	s.mu.Lock()
	s.queue = append(s.queue, r)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default: // every writer has a wake-up pending
	}
}

func (s *jobStore) hasQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0
}

func (s *jobStore) nextBatch() []fleet.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for entries := 0; n < len(s.queue); n++ {
		if entries += len(platform.JobPreconditions(&s.queue[n])) + 1; entries > platform.MaxTxnEntries {
			break
		}
	}
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	return batch
}

// writeLoop commits queued records in batches.
func (s *jobStore) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for s.hasQueued() {
			if !s.throttle(ctx) {
				return
			}
			s.commit(ctx, s.nextBatch())
		}
	}
}

// throttle enforces this instance's share of the store's write rate. Records
// queued meanwhile go into the same transaction. It returns false if ctx ends.
func (s *jobStore) throttle(ctx context.Context) bool {
	if w := s.node.settings.Store.WritesPerSecond; w > 0 {
		s.limiter.SetLimit(rate.Limit(w * durableWriteShare / float64(s.node.store.ownerCount())))
	}
	return s.limiter.Wait(ctx) == nil
}

// commit writes a batch, retrying until the store replies. Records that others
// have changed are dropped from it.
func (s *jobStore) commit(ctx context.Context, batch []fleet.Record) {
	retry := s.node.store.backoff()
	for len(batch) > 0 && ctx.Err() == nil {
		var err error
		if batch, err = s.settleOutdated(ctx, batch); err != nil {
			s.node.limitedLog.callFailed("read-job", "", err)
			retry.Sleep(ctx)
			continue
		}
		txn, included := s.encode(batch)
		batch = included
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := s.node.store.store.Commit(callCtx, txn)
		cancel()
		switch {
		case err != nil:
			s.node.limitedLog.callFailed("save-jobs", "", err)
			retry.Sleep(ctx)
		case r.Committed:
			for _, x := range batch {
				s.reportSaved(x, uint64(r.Revision))
			}
			return
		default:
			batch = s.removeConflicts(batch, r.Current)
		}
	}
}

// settleOutdated drops from a batch the jobs that may no longer be stored, as a cancel that
// forbids it may have lapsed. An earlier write that wasn't answered may have stored them.
func (s *jobStore) settleOutdated(ctx context.Context, batch []fleet.Record) (remaining []fleet.Record, err error) {
	remaining = slices.DeleteFunc(batch, func(r fleet.Record) bool {
		if err != nil || r.Revision != 0 || bootTime().Sub(r.Job.ReceivedAt) < s.storableTime() {
			return false
		}
		err = s.settle(ctx, r)
		return err == nil
	})
	return remaining, err
}

// settle reports a first write by what the store holds now, without writing.
func (s *jobStore) settle(ctx context.Context, r fleet.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	it, _, err := s.node.store.store.Get(ctx, platform.JobKey(r.ID))
	if err == nil {
		s.resolveConflict(r, it)
	}
	return err
}

// encode returns the transaction for a batch and the records it includes.
func (s *jobStore) encode(batch []fleet.Record) (t platform.Txn, in []fleet.Record) {
	now, boot := time.Now(), bootTime()
	for _, r := range batch {
		w, err := platform.JobWrite(platform.JobEntry{Record: r, Age: boot.Sub(r.Job.ReceivedAt), WrittenAt: now})
		if err != nil {
			s.node.limitedLog.recordUnwritable(r.ID, err)
			continue
		}
		t.Preconditions = append(t.Preconditions, platform.JobPreconditions(&r)...)
		t.Writes = append(t.Writes, w)
		in = append(in, r)
	}
	return t, in
}

func itemsByKey(items []platform.Item) map[string]platform.Item {
	out := make(map[string]platform.Item, len(items))
	for _, it := range items {
		out[it.Key] = it
	}
	return out
}

// removeConflicts reports the records that failed their precondition and
// returns the others.
func (s *jobStore) removeConflicts(batch []fleet.Record, current []platform.Item) (remaining []fleet.Record) {
	items := itemsByKey(current)
	for _, r := range batch {
		it := items[platform.JobKey(r.ID)]
		switch unchanged := uint64(it.ModRevision) == r.Revision; {
		case unchanged && r.Revision == 0 && items[platform.CancelKey(r.ID)].ModRevision != 0:
			s.node.post(fleet.JobSaved{ID: r.ID, Conflict: true, Cancelled: true})
		case unchanged:
			remaining = append(remaining, r)
		default:
			s.resolveConflict(r, it)
		}
	}
	return remaining
}

// resolveConflict handles a record that failed its precondition. It may be this
// instance's own write whose reply was lost.
func (s *jobStore) resolveConflict(r fleet.Record, it platform.Item) {
	if it.ModRevision == 0 { // nobody has stored the job, or it has been removed
		s.node.post(fleet.JobSaved{ID: r.ID, Conflict: true})
		return
	}
	e, err := platform.ParseJobEntry(it, time.Now())
	switch {
	case err != nil:
		s.node.limitedLog.recordUnreadable(it, err)
		s.node.post(fleet.JobSaved{ID: r.ID, Conflict: true})
	case e.SameWrite(r):
		s.reportSaved(r, e.Revision)
	default:
		e.Job.ReceivedAt = bootTime().Add(-e.Age)
		s.node.post(fleet.JobSaved{ID: r.ID, Conflict: true, Current: &e.Record})
	}
}

// reportSaved reports a successful write and caches the state of a finished job.
func (s *jobStore) reportSaved(r fleet.Record, revision uint64) {
	if r.State != fleet.StateOpen {
		s.recordFinal(r.ID, r.State, time.Now())
	}
	s.node.post(fleet.JobSaved{ID: r.ID, Revision: revision})
}

// recordFinal caches a job's final state and schedules the removal of its record.
func (s *jobStore) recordFinal(id string, state fleet.JobState, at time.Time) {
	keys := []string{platform.JobKey(id)}
	if state == fleet.StateCancelled {
		keys = append(keys, platform.CancelKey(id))
	}
	s.setState(id, state, at, keys)
}

// cacheState caches a job's state without scheduling the removal of its record.
func (s *jobStore) cacheState(id string, state fleet.JobState) {
	s.setState(id, state, time.Now(), nil)
}

func (s *jobStore) setState(id string, state fleet.JobState, at time.Time, keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.states[id]
	if known && old.state != fleet.StateOpen {
		return
	}
	s.states[id] = cachedState{state, at}
	if state != fleet.StateOpen {
		for _, ch := range s.waiters[id] {
			close(ch)
		}
		delete(s.waiters, id)
	}
	if !known || keys != nil {
		due := at.Add(s.node.settings.Bounds.StateRetention + retentionMargin)
		s.removals = append(s.removals, pendingRemoval{id, due, keys})
	}
}

// awaitEnd waits until this instance learns that a job has finished, or ctx ends.
func (s *jobStore) awaitEnd(ctx context.Context, id string) {
	ch := make(chan struct{})
	s.mu.Lock()
	if e, ok := s.states[id]; ok && e.state != fleet.StateOpen {
		s.mu.Unlock()
		return
	}
	s.waiters[id] = append(s.waiters[id], ch)
	s.mu.Unlock()
	select {
	case <-ch:
	case <-ctx.Done():
		s.removeWaiter(id, ch)
	}
}

func (s *jobStore) removeWaiter(id string, ch chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := slices.DeleteFunc(s.waiters[id], func(o chan struct{}) bool { return o == ch })
	if len(remaining) == 0 {
		delete(s.waiters, id)
		return
	}
	s.waiters[id] = remaining
}

// state returns the cached state of a job. An open state expires after openStateTTL.
func (s *jobStore) state(id string) (fleet.JobState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.states[id]
	return e.state, ok && (e.state != fleet.StateOpen || time.Since(e.observedAt) < openStateTTL)
}

// scan reads all durable jobs and reports the open ones to the reducer. Unless they are only
// counted, it also schedules removal of finished ones, whose writer may have failed.
func (s *jobStore) scan(ctx context.Context, scan fleet.ScanJobs) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	r, err := s.node.store.store.List(ctx, platform.JobPrefix)
	found := fleet.JobsScanned{OK: true}
	if err == nil {
		found.Members, err = s.node.store.readMembers(ctx)
	}
	if err != nil {
		s.node.limitedLog.callFailed("scan-jobs", "", err)
		s.node.post(fleet.JobsScanned{})
		return
	}
	now, boot := time.Now(), bootTime()
	for _, it := range r.Items {
		e, err := platform.ParseJobEntry(it, now)
		if err != nil {
			s.node.limitedLog.recordUnreadable(it, err)
			continue
		}
		if e.State != fleet.StateOpen {
			if !scan.CountOnly { // else each instance that is asked would remove them
				s.recordFinal(e.ID, e.State, e.WrittenAt)
			}
			continue
		}
		e.Job.ReceivedAt = boot.Add(-e.Age)
		found.Records = append(found.Records, e.Record)
	}
	s.node.post(found)
}

// removalLoop removes finished jobs whose state retention has passed.
func (s *jobStore) removalLoop(ctx context.Context) {
	for wait.Sleep(ctx, removalInterval) {
		s.cancels.removeDue(ctx, time.Now())
		for keys := s.takeDueKeys(time.Now()); len(keys) > 0; keys = s.takeDueKeys(time.Now()) {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			_, err := s.node.store.store.Commit(callCtx, platform.Txn{Deletes: keys})
			cancel()
			if err != nil {
				s.node.limitedLog.callFailed("remove-jobs", "", err) // the next scan schedules them again
				break
			}
		}
	}
}

// takeDueKeys dequeues the keys of jobs to remove, as many as fit in a transaction.
func (s *jobStore) takeDueKeys(now time.Time) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.removals) > 0 && !s.removals[0].due.After(now) && len(keys)+2 <= platform.MaxTxnEntries {
		r := s.removals[0]
		s.removals = s.removals[1:]
		delete(s.states, r.id)
		keys = append(keys, r.keys...)
	}
	return keys
}

// read returns a durable job from the store; ok is false if there is none.
func (s *jobStore) read(ctx context.Context, id string) (e platform.JobEntry, ok bool, err error) {
	it, ok, err := s.node.store.store.Get(ctx, platform.JobKey(id))
	if err != nil || !ok {
		return platform.JobEntry{}, false, err
	}
	e, err = s.parse(it)
	return e, err == nil, err
}

// parse decodes a durable job, and caches the state of one that has finished.
func (s *jobStore) parse(it platform.Item) (platform.JobEntry, error) {
	e, err := platform.ParseJobEntry(it, time.Now())
	if err != nil {
		return platform.JobEntry{}, err
	}
	if e.State != fleet.StateOpen {
		s.recordFinal(e.ID, e.State, e.WrittenAt)
	}
	return e, nil
}

// cancelUnstored cancels a job that isn't stored, or returns its record. If no further
// cancels can be kept, jobs that are stored are still found.
func (s *jobStore) cancelUnstored(ctx context.Context, id string) (e platform.JobEntry, stored bool, err error) {
	it, err := s.cancels.cancel(ctx, id)
	switch {
	case errors.Is(err, errTooManyCancels):
		if e, stored, readErr := s.read(ctx, id); readErr != nil || stored {
			return e, stored, readErr
		}
		return e, false, err
	case err != nil || it == nil:
		return e, false, err
	}
	e, err = s.parse(*it)
	return e, true, err
}

// cancel marks a job as cancelled in the store. known is false if no such job is stored,
// nor will be: a submission may be under way. A finished job is left unchanged.
func (s *jobStore) cancel(ctx context.Context, id string) (known bool, err error) {
	for ctx.Err() == nil {
		e, stored, err := s.cancelUnstored(ctx, id)
		if err != nil || !stored || e.State != fleet.StateOpen {
			return stored, err
		}
		txn, err := platform.CancelTxn(e, time.Now())
		if err != nil {
			return true, err
		}
		r, err := s.node.store.store.Commit(ctx, txn)
		if err != nil {
			return true, err
		}
		if r.Committed {
			s.recordFinal(id, fleet.StateCancelled, time.Now())
			s.node.post(fleet.JobCancelled{ID: id})
			return true, nil
		}
	}
	return true, ctx.Err()
}
