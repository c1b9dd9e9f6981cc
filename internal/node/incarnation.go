package node

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/wait"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Timing of the record of an instance's start.
const (
	startRecordTimeout  = time.Second           // after which an instance starts without it
	startRecordRetryMin = 10 * time.Millisecond // other instances that start write the same record
)

// startRecord numbers the starts of an instance in the store. Other instances take an
// incarnation that sorts before one they know for outdated, and clocks may step back.
type startRecord struct {
	instance  model.Instance
	startedAt time.Time
	store     *platform.Store
	log       *limitedLog
	number    int64 // of this start, 0 until next
}

// next chooses the incarnation of this process and records it. An error means that it
// isn't recorded; it may then sort before an earlier one.
func (r *startRecord) next(ctx context.Context) (model.Incarnation, error) {
	ctx, cancel := context.WithTimeout(ctx, startRecordTimeout)
	defer cancel()
	r.number = nextStart(0, r.startedAt)
	err := r.update(ctx, func(latest int64) int64 {
		r.number = max(r.number, nextStart(latest, r.startedAt))
		return r.number
	})
	return startIncarnation(r.number), err
}

// keep records the start if next could not, unless a later one is recorded. It retries
// until ctx ends.
func (r *startRecord) keep(ctx context.Context) {
	err := r.update(ctx, func(latest int64) int64 { return max(latest, r.number) })
	r.log.callFailed("record start", "", err)
}

// update replaces the recorded number until that succeeds or ctx ends.
func (r *startRecord) update(ctx context.Context, choose func(latest int64) int64) error {
	retry := wait.Backoff{Min: startRecordRetryMin, Max: storeRetryMax, Jitter: retryJitter}
	for {
		err := r.tryUpdate(ctx, choose)
		if err == nil || !retry.Sleep(ctx) {
			return err
		}
	}
}

func (r *startRecord) tryUpdate(ctx context.Context, choose func(latest int64) int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := platform.StartKey(r.instance)
	record, _, err := r.store.Get(ctx, key)
	if err != nil {
		return err
	}
	latest, err := platform.ParseStart(record)
	if err != nil {
		r.log.recordUnreadable(record, err) // it is replaced
	}
	txn, err := platform.StartTxn(r.instance, record, choose(latest))
	if err != nil {
		return err
	}
	result, err := r.store.Commit(ctx, txn)
	if err == nil && !result.Committed {
		err = errors.New("another instance has recorded its start first; try again")
	}
	return err
}

// nextStart returns the number of a start: higher than the latest one, 0 if there is
// none, and not lower than the time of the start.
func nextStart(latest int64, start time.Time) int64 {
	clock := start.UnixNano()
	if latest == 0 {
		return clock
	}
	// The fraction tells apart processes that have read the same record in vain.
	return max(latest+1+int64(start.Nanosecond()), clock)
}

// startIncarnation returns the incarnation of a numbered start; incarnations sort as
// their numbers.
func startIncarnation(number int64) model.Incarnation {
	return model.Incarnation(fmt.Sprintf("%016x", number))
}
