package node

import (
	"context"
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
	// cancelLeaseUse is how long new cancels are written under the same lease.
	cancelLeaseUse = time.Minute
	// maxUnstoredCancels is about how many such cancels the fleet keeps in the store, and
	// each instance in memory: some 10 MB.
	maxUnstoredCancels = 1 << 15
	// minStorableTime is the least that storableTime may be.
	minStorableTime = time.Minute
)

// errTooManyCancels reports that no further cancel can be kept for now.
var errTooManyCancels = errors.New("too many cancels of jobs that are not stored are kept")

// unstoredCancels cancels jobs that are not stored, in batched transactions, so that
// submissions still under way can't store them later. The cancels are kept under a lease,
// which removes them even if this instance is gone.
type unstoredCancels struct {
	jobs *jobStore
	rate *rate.Limiter
	wake chan struct{}

	mu    sync.Mutex
	queue []unstoredCancel

	lease      platform.LeaseID // of new cancels; used by run alone
	leaseSince time.Time        // when it was granted
}

// unstoredCancel is a cancel that waits for its transaction.
type unstoredCancel struct {
	ctx  context.Context // of the caller
	id   string
	done chan cancelOutcome // buffered
}

// cancelOutcome is the result of an unstoredCancel. cancelled is false without an error if
// the job is stored.
type cancelOutcome struct {
	cancelled bool
	err       error
}

func newUnstoredCancels(jobs *jobStore) *unstoredCancels {
	return &unstoredCancels{jobs: jobs, rate: rate.NewLimiter(rate.Inf, 0), wake: make(chan struct{}, 1)}
}

// storableTime returns how long after its submission a job may be stored.
func (s *jobStore) storableTime() time.Duration {
	longest := platform.MaxLeaseTTL - cancelLeaseUse - retentionMargin
	return min(max(s.node.settings.Bounds.StateRetention, minStorableTime), longest)
}

// ttl returns how long a cancel is kept at least: until no submission that was under way can
// be stored any more.
func (u *unstoredCancels) ttl() time.Duration { return u.jobs.storableTime() + retentionMargin }

// cancel cancels a job. cancelled is false if the job is stored.
func (u *unstoredCancels) cancel(ctx context.Context, id string) (cancelled bool, err error) {
	if !u.allow() {
		return false, errTooManyCancels
	}
	c := unstoredCancel{ctx, id, make(chan cancelOutcome, 1)}
	u.mu.Lock()
	u.queue = append(u.queue, c)
	u.mu.Unlock()
	select {
	case u.wake <- struct{}{}:
	default: // a wake-up is pending
	}
	select {
	case o := <-c.done:
		return o.cancelled, o.err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// allow limits the cancels that are kept to this instance's share.
func (u *unstoredCancels) allow() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	share := max(1, maxUnstoredCancels/u.jobs.node.store.ownerCount())
	if u.rate.Burst() != share {
		u.rate.SetBurst(share)
		u.rate.SetLimit(rate.Limit(float64(share) / u.ttl().Seconds()))
	}
	return u.rate.Allow()
}

// run commits queued cancels in batches until ctx ends.
func (u *unstoredCancels) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-u.wake:
		}
		for batch := u.nextBatch(); len(batch) > 0; batch = u.nextBatch() {
			u.commit(ctx, batch)
		}
	}
}

// nextBatch dequeues the cancels of a transaction, without those that nobody waits for.
func (u *unstoredCancels) nextBatch() (batch []unstoredCancel) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(u.queue) > 0 && len(batch) < platform.UnstoredCancelsPerTxn {
		if c := u.queue[0]; c.ctx.Err() == nil {
			batch = append(batch, c)
		}
		u.queue = u.queue[1:]
	}
	return batch
}

// commit writes a batch. A caller that gets no answer repeats its cancel.
func (u *unstoredCancels) commit(ctx context.Context, batch []unstoredCancel) {
	for len(batch) > 0 {
		if !u.jobs.throttle(ctx) {
			return
		}
		batch = slices.DeleteFunc(batch, func(c unstoredCancel) bool { return c.ctx.Err() != nil })
		if len(batch) == 0 {
			return
		}
		r, err := u.commitOnce(ctx, batch)
		stored := map[string]bool{}
		for _, it := range r.Current {
			stored[it.Key] = it.ModRevision != 0
		}
		var remaining []unstoredCancel
		for _, c := range batch {
			switch {
			case err != nil:
				c.done <- cancelOutcome{err: err}
			case r.Committed:
				u.jobs.setCancelled(c.id, true)
				u.jobs.node.post(fleet.JobCancelled{ID: c.id}) // a job that isn't durable may run here
				c.done <- cancelOutcome{cancelled: true}
			case stored[platform.JobKey(c.id)]:
				c.done <- cancelOutcome{}
			default:
				remaining = append(remaining, c)
			}
		}
		batch = remaining
	}
}

func (u *unstoredCancels) commitOnce(ctx context.Context, batch []unstoredCancel) (platform.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := u.renewLease(ctx); err != nil {
		return platform.TxnResult{}, err
	}
	ids := make([]string, len(batch))
	for i, c := range batch {
		ids[i] = c.id
	}
	r, err := u.jobs.node.store.store.Commit(ctx, platform.CancelUnstoredTxn(ids, u.lease))
	if r.LeaseExpired {
		u.lease = 0 // the next attempt acquires another one
	}
	return r, err
}

// renewLease acquires a lease for new cancels, if the last one has been used long enough.
func (u *unstoredCancels) renewLease(ctx context.Context) error {
	if u.lease != 0 && time.Since(u.leaseSince) < cancelLeaseUse {
		return nil
	}
	since := time.Now()
	lease, err := u.jobs.node.store.store.Grant(ctx, max(u.ttl()+cancelLeaseUse, u.jobs.node.settings.Store.MinLeaseTTL))
	if err != nil {
		return err
	}
	u.lease, u.leaseSince = lease, since
	return nil
}
