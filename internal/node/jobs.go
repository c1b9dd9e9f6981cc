package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/wait"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Bounds of the writes of kept jobs.
const (
	// jobsPerWrite is the most jobs in a transaction: a condition and a write each.
	jobsPerWrite = platform.MaxTxnEntries / 2
	// jobWriters is how many transactions may be under way, so that one whose
	// answer is lost doesn't hold up the others.
	jobWriters = 3
	// writeShare is the part of the store's writes that kept jobs may take.
	writeShare = 0.8
	// writeBurst is how many transactions may follow each other at once: about
	// half a second's part of the usual rate.
	writeBurst = 32
	// openFor is how long a job counts as open without the store being asked:
	// its holder tells of its end at once, unless it is gone.
	openFor = 2 * time.Second
	// scanTimeout bounds a look at all kept jobs: some hundred pages.
	scanTimeout = 5 * time.Second
	// stateMargin is how much longer than promised the state of an ended job is
	// known.
	stateMargin = 10 * time.Second
	// retirePause is the time between removals of ended jobs.
	retirePause = time.Second
)

// jobStore writes kept jobs to the store, many in a transaction, and removes
// them when their states need not be known any more.
type jobStore struct {
	node    *Node
	limiter *rate.Limiter
	wake    chan struct{}

	mu      sync.Mutex
	queue   []fleet.Record
	states  map[string]knownState
	retired []retiredJob               // about in order of time
	waiters map[string][]chan struct{} // by job, closed when it has ended
}

// knownState is what this instance knows of a job that it need not hold.
type knownState struct {
	state fleet.JobState
	at    time.Time // when that was so
}

// retiredJob is a job whose record, or only its state here, is to be forgotten.
type retiredJob struct {
	id     string
	due    time.Time
	remove []string // keys
}

func newJobStore(n *Node) *jobStore {
	return &jobStore{
		node: n, limiter: rate.NewLimiter(rate.Inf, writeBurst), wake: make(chan struct{}, jobWriters), states: map[string]knownState{},
		waiters: map[string][]chan struct{}{},
	}
}

// run writes until ctx ends.
func (s *jobStore) run(ctx context.Context) {
	var all sync.WaitGroup
	for range jobWriters {
		all.Go(func() { s.write(ctx) })
	}
	all.Go(func() { s.retireLoop(ctx) })
	all.Wait()
}

// save queues a write. The reducer sends one at a time for each job.
func (s *jobStore) save(r fleet.Record) {
	s.mu.Lock()
	s.queue = append(s.queue, r)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default: // every writer is about to look at the queue
	}
}

func (s *jobStore) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0
}

func (s *jobStore) take() []fleet.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), jobsPerWrite)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	return batch
}

// write writes batches of what is queued.
func (s *jobStore) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for s.waiting() {
			if !s.pace(ctx) {
				return
			}
			s.commit(ctx, s.take())
		}
	}
}

// pace keeps to this instance's part of the store's writes. What comes in the
// meantime goes into the same transaction.
func (s *jobStore) pace(ctx context.Context) bool {
	if w := s.node.settings.Store.WritesPerSecond; w > 0 {
		s.limiter.SetLimit(rate.Limit(w * writeShare / float64(s.node.store.holders())))
	}
	return s.limiter.Wait(ctx) == nil
}

// commit writes a batch, and tries again until the store has answered. Records
// that others have changed are taken out of it.
func (s *jobStore) commit(ctx context.Context, batch []fleet.Record) {
	retry := s.node.store.backoff()
	for len(batch) > 0 && ctx.Err() == nil {
		txn, left := s.encode(batch)
		batch = left
		call, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := s.node.store.store.Commit(call, txn)
		cancel()
		switch {
		case err != nil:
			s.node.notes.callFailed("save-jobs", "", err)
			retry.Sleep(ctx)
		case r.Committed:
			for _, x := range batch {
				s.saved(x, uint64(r.Revision))
			}
			return
		default:
			batch = s.sortOut(batch, r.Current)
		}
	}
}

// encode returns the transaction of a batch, and the records in it.
func (s *jobStore) encode(batch []fleet.Record) (t platform.Txn, in []fleet.Record) {
	now, boot := time.Now(), bootTime()
	for _, r := range batch {
		w, err := platform.JobWrite(platform.JobEntry{Record: r, Age: boot.Sub(r.Job.ReceivedAt), WrittenAt: now})
		if err != nil {
			s.node.notes.unreadable(r.ID, err)
			continue
		}
		t.Preconditions = append(t.Preconditions, platform.JobPrecondition(&r))
		t.Writes = append(t.Writes, w)
		in = append(in, r)
	}
	return t, in
}

// sortOut tells of the records of a refused transaction that are not as
// expected, and returns the others.
func (s *jobStore) sortOut(batch []fleet.Record, current []platform.Item) (left []fleet.Record) {
	items := make(map[string]platform.Item, len(current))
	for _, it := range current {
		items[it.Key] = it
	}
	for _, r := range batch {
		it := items[platform.JobKey(r.ID)]
		if uint64(it.ModRevision) == r.Revision {
			left = append(left, r)
			continue
		}
		if it.ModRevision == 0 {
			s.node.post(fleet.JobSaved{ID: r.ID, Conflict: true})
			continue
		}
		s.changed(r, it)
	}
	return left
}

// changed tells of a record that is not as expected: it may be this instance's
// own write, whose answer was lost.
func (s *jobStore) changed(r fleet.Record, it platform.Item) {
	e, err := platform.ParseJobEntry(it, time.Now())
	switch {
	case err != nil:
		s.node.notes.unreadable(it.Key, err)
		s.node.post(fleet.JobSaved{ID: r.ID, Conflict: true})
	case e.SameWrite(r):
		s.saved(r, e.Revision)
	default:
		e.Job.ReceivedAt = bootTime().Add(-e.Age)
		s.node.post(fleet.JobSaved{ID: r.ID, Conflict: true, Current: &e.Record})
	}
}

// saved tells of a write, and remembers the state of a job that has ended.
func (s *jobStore) saved(r fleet.Record, revision uint64) {
	if r.State != fleet.StateOpen {
		s.remember(r.ID, r.State, time.Now())
	}
	s.node.post(fleet.JobSaved{ID: r.ID, Revision: revision})
}

// remember keeps the final state of a job, and sees to the removal of its record.
func (s *jobStore) remember(id string, state fleet.JobState, at time.Time) {
	remove := []string{platform.JobKey(id)}
	if state == fleet.StateCancelled {
		remove = append(remove, platform.CancelKey(id))
	}
	s.note(id, state, at, remove)
}

// learn keeps the state of a job that another instance sees to.
func (s *jobStore) learn(id string, state fleet.JobState) { s.note(id, state, time.Now(), nil) }

func (s *jobStore) note(id string, state fleet.JobState, at time.Time, remove []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.states[id]
	if known && old.state != fleet.StateOpen {
		return
	}
	s.states[id] = knownState{state, at}
	if state != fleet.StateOpen {
		for _, ch := range s.waiters[id] {
			close(ch)
		}
		delete(s.waiters, id)
	}
	if !known || remove != nil {
		due := at.Add(s.node.settings.Bounds.StateRetention + stateMargin)
		s.retired = append(s.retired, retiredJob{id, due, remove})
	}
}

// awaitEnd waits until a job has ended, as far as this instance hears of it, or
// ctx ends.
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
		s.stopWaiting(id, ch)
	}
}

func (s *jobStore) stopWaiting(id string, ch chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := slices.DeleteFunc(s.waiters[id], func(o chan struct{}) bool { return o == ch })
	if len(left) == 0 {
		delete(s.waiters, id)
		return
	}
	s.waiters[id] = left
}

// state returns what this instance knows of a job. That it is open holds for a
// while only.
func (s *jobStore) state(id string) (fleet.JobState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.states[id]
	return e.state, ok && (e.state != fleet.StateOpen || time.Since(e.at) < openFor)
}

// scan reads all kept jobs and tells the reducer of the open ones. Those that
// have ended are seen to as well: the instance that wrote them may be gone.
func (s *jobStore) scan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	r, err := s.node.store.store.List(ctx, platform.JobPrefix)
	found := fleet.JobsScanned{OK: true}
	if err == nil {
		found.Members, err = s.node.store.readMembers(ctx)
	}
	if err != nil {
		s.node.notes.callFailed("scan-jobs", "", err)
		s.node.post(fleet.JobsScanned{})
		return
	}
	now, boot := time.Now(), bootTime()
	for _, it := range r.Items {
		e, err := platform.ParseJobEntry(it, now)
		if err != nil {
			s.node.notes.unreadable(it.Key, err)
			continue
		}
		if e.State != fleet.StateOpen {
			s.remember(e.ID, e.State, e.WrittenAt)
			continue
		}
		e.Job.ReceivedAt = boot.Add(-e.Age)
		found.Records = append(found.Records, e.Record)
	}
	s.node.post(found)
}

// retireLoop removes ended jobs whose states need not be known any more.
func (s *jobStore) retireLoop(ctx context.Context) {
	for wait.Sleep(ctx, retirePause) {
		for keys := s.due(time.Now()); len(keys) > 0; keys = s.due(time.Now()) {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			_, err := s.node.store.store.Commit(call, platform.Txn{Deletes: keys})
			cancel()
			if err != nil {
				s.node.notes.callFailed("remove-jobs", "", err) // the next scan finds them again
				break
			}
		}
	}
}

// due takes the keys of jobs to remove, as many as fit in a transaction.
func (s *jobStore) due(now time.Time) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.retired) > 0 && !s.retired[0].due.After(now) && len(keys)+2 <= platform.MaxTxnEntries {
		r := s.retired[0]
		s.retired = s.retired[1:]
		delete(s.states, r.id)
		keys = append(keys, r.remove...)
	}
	return keys
}

// read returns a kept job as the store holds it; ok is false if there is none.
func (s *jobStore) read(ctx context.Context, id string) (e platform.JobEntry, ok bool, err error) {
	it, ok, err := s.node.store.store.Get(ctx, platform.JobKey(id))
	if err != nil || !ok {
		return platform.JobEntry{}, false, err
	}
	e, err = platform.ParseJobEntry(it, time.Now())
	if err != nil {
		return platform.JobEntry{}, false, err
	}
	if e.State != fleet.StateOpen {
		s.remember(id, e.State, e.WrittenAt)
	}
	return e, true, nil
}

// cancel writes that a job is cancelled. known is false if there is no such
// job. One that has ended stays as it is.
func (s *jobStore) cancel(ctx context.Context, id string) (known bool, err error) {
	for ctx.Err() == nil {
		e, ok, err := s.read(ctx, id)
		if err != nil || !ok || e.State != fleet.StateOpen {
			return ok, err
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
			s.remember(id, fleet.StateCancelled, time.Now())
			s.node.post(fleet.JobCancelled{ID: id})
			return true, nil
		}
	}
	return true, ctx.Err()
}
