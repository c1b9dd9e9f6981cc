package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Limits of cancels of jobs that are not stored.
const (
	// maxCancels is about how many such cancels the fleet keeps in the store, and each
	// instance in memory: some 10 MB.
	maxCancels = 1 << 15
	// minStorableTime is the least that storableTime may be.
	minStorableTime = time.Minute
	// cancelRemovalSpread is the time in which the instances remove cancels whose writer has
	// not, each at another moment.
	cancelRemovalSpread = time.Minute
)

// errTooManyCancels reports that no further cancel can be kept for now.
var errTooManyCancels = errors.New("too many cancels of jobs that are not stored are kept")

// cancelStore keeps cancels of jobs that are not stored, so that submissions still under way
// can't store them later. It writes and removes them in batched transactions. They have no
// lease, as the store may drop the keys of a lease while its instance can't reach it.
type cancelStore struct {
	jobs *jobStore
	rate *rate.Limiter
	wake chan struct{}

	mu    sync.Mutex
	queue []cancelRequest
	kept  map[string]keptCancel // of all instances, by job
}

// cancelRequest is a cancel that waits for its transaction.
type cancelRequest struct {
	ctx  context.Context // of the caller
	id   string
	done chan cancelResult // buffered
}

// cancelResult is the result of a cancelRequest.
type cancelResult struct {
	stored *platform.Item // the record of the job, which is then not cancelled; nil if there is none
	err    error
}

// keptCancel is a cancel in the store.
type keptCancel struct {
	revision platform.Revision
	due      time.Time // when this instance removes it
}

func newCancelStore(jobs *jobStore) *cancelStore {
	return &cancelStore{jobs: jobs, rate: rate.NewLimiter(rate.Inf, 0), wake: make(chan struct{}, 1), kept: map[string]keptCancel{}}
}

// storableTime returns how long after its submission a job may be stored.
func (s *jobStore) storableTime() time.Duration {
	return max(s.node.settings.Bounds.StateRetention, minStorableTime)
}

// ttl returns how long a cancel is kept: until no submission that was under way can be
// stored any more.
func (c *cancelStore) ttl() time.Duration { return c.jobs.storableTime() + retentionMargin }

// cancel cancels a job unless it is stored, and returns its record if it is.
func (c *cancelStore) cancel(ctx context.Context, id string) (stored *platform.Item, err error) {
	if !c.mayKeepMore() {
		return nil, errTooManyCancels
	}
	r := cancelRequest{ctx, id, make(chan cancelResult, 1)}
	c.mu.Lock()
	c.queue = append(c.queue, r)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default: // a wake-up is pending
	}
	select {
	case x := <-r.done:
		return x.stored, x.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// mayKeepMore reports whether this instance's share of the cancels isn't used up.
func (c *cancelStore) mayKeepMore() bool {
	share := max(1, maxCancels/c.jobs.node.store.ownerCount())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rate.Burst() != share {
		c.rate.SetBurst(share)
		c.rate.SetLimit(rate.Limit(float64(share) / c.ttl().Seconds()))
	}
	return c.rate.Tokens() >= 1
}

// run commits queued cancels in batches until ctx ends.
func (c *cancelStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for batch := c.nextBatch(); len(batch) > 0; batch = c.nextBatch() {
			c.commit(ctx, batch)
		}
	}
}

// nextBatch dequeues the cancels of a transaction.
func (c *cancelStore) nextBatch() []cancelRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), platform.CancelsPerTxn)
	batch := c.queue[:n:n]
	c.queue = c.queue[n:]
	return batch
}

// commit writes a batch, without cancels whose callers have left. A caller that gets no
// answer repeats its cancel.
func (c *cancelStore) commit(ctx context.Context, batch []cancelRequest) {
	for {
		batch = slices.DeleteFunc(batch, func(r cancelRequest) bool { return r.ctx.Err() != nil })
		if len(batch) == 0 || !c.jobs.throttle(ctx) {
			return
		}
		ids := make([]string, len(batch))
		for i, r := range batch {
			ids[i] = r.id
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		result, err := c.jobs.node.store.store.Commit(callCtx, platform.CancelUnstoredTxn(ids))
		cancel()
		if err != nil || result.Committed {
			for _, r := range batch {
				if err == nil {
					c.keep(r.id, result.Revision)
				}
				r.done <- cancelResult{err: err}
			}
			return
		}
		batch = answerStored(batch, result.Current)
	}
}

// answerStored answers the cancels of jobs that are stored, and returns the others.
func answerStored(batch []cancelRequest, current []platform.Item) (remaining []cancelRequest) {
	items := itemsByKey(current)
	for _, r := range batch {
		it := items[platform.JobKey(r.id)]
		if it.ModRevision == 0 {
			remaining = append(remaining, r)
			continue
		}
		r.done <- cancelResult{stored: &it}
	}
	return remaining
}

// keep records a cancel that this instance has written. The job may run here without being
// stored.
func (c *cancelStore) keep(id string, revision platform.Revision) {
	c.mu.Lock()
	c.rate.Allow()
	c.kept[id] = keptCancel{revision, time.Now().Add(c.ttl())}
	c.mu.Unlock()
	c.jobs.node.post(fleet.JobCancelled{ID: id})
}

// observe records a cancel that the store reports, or that it is gone.
func (c *cancelStore) observe(id string, it platform.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case it.Deleted:
		delete(c.kept, id)
	case c.kept[id].revision != it.ModRevision:
		c.kept[id] = keptCancel{it.ModRevision, time.Now().Add(c.ttl() + removalDelay())}
	}
}

// removalDelay returns how much later than its writer an instance removes a cancel.
func removalDelay() time.Duration { return retentionMargin + rand.N(cancelRemovalSpread) }

// dropUnlisted forgets the cancels that a complete list of fleet records doesn't hold.
func (c *cancelStore) dropUnlisted(items []platform.Item) {
	listed := map[string]bool{}
	for _, it := range items {
		if id, ok := platform.CancelledJobFromKey(it.Key); ok {
			listed[id] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.kept {
		if !listed[id] {
			delete(c.kept, id)
		}
	}
}

// has reports whether the store keeps a cancel of a job.
func (c *cancelStore) has(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.kept[id]
	return ok
}

// removeDue removes the cancels that are due, unless they were written again.
func (c *cancelStore) removeDue(ctx context.Context, now time.Time) {
	for batch := range slices.Chunk(c.dueKeys(now), platform.CancelsPerTxn) {
		if !c.jobs.throttle(ctx) {
			return
		}
		t := platform.Txn{Preconditions: batch}
		for _, p := range batch {
			t.Deletes = append(t.Deletes, p.Key)
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := c.jobs.node.store.store.Commit(callCtx, t)
		cancel()
		if err != nil {
			c.jobs.node.limitedLog.callFailed("remove-cancels", "", err)
		}
	}
}

// dueKeys returns the keys that are due, and when they were last written. They are due again
// later, in case one of a batch has changed or the store doesn't answer.
func (c *cancelStore) dueKeys(now time.Time) (out []platform.Precondition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, k := range c.kept {
		if now.Before(k.due) {
			continue
		}
		out = append(out, platform.Precondition{Key: platform.CancelKey(id), ModRevision: k.revision})
		k.due = now.Add(removalDelay())
		c.kept[id] = k
	}
	return out
}
