// Package platformtest provides test doubles of the platform: an in-memory fake
// with fault injection, and HTTP over in-memory pipes that works in a synctest
// bubble.
package platformtest

import (
	"context"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/platform"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// Fake implements platform.Platform directly on a store, without HTTP. Several
// fakes may share a store, each with its own faults, like instances that reach
// it over different links.
type Fake struct {
	Store      *standin.Store
	Faults     *standin.Injector
	CallCounts *platform.CallCounts
}

// NewFake returns a fake of a store without faults.
func NewFake(s *standin.Store) *Fake {
	return &Fake{Store: s, Faults: standin.NewInjector(standin.Faults{}), CallCounts: &platform.CallCounts{}}
}

// call performs one operation subject to the faults. effect returns the number
// of bytes received and the error kind.
func (f *Fake) call(ctx context.Context, op platform.Op, key string, sent int, effect func() (int, platform.Kind)) error {
	outcome, latency := f.Faults.NextOutcome(op.IsWrite())
	if latency > 0 && !wait.Sleep(ctx, latency) {
		if op.IsWrite() && outcome == standin.OutcomeServed {
			// The request is in flight and takes effect after the caller's timeout.
			time.AfterFunc(latency, func() { effect() })
		}
		return f.finish(op, key, sent, 0, interruptedKind(op), ctx.Err())
	}
	switch outcome {
	case standin.OutcomeHung:
		<-ctx.Done()
		return f.finish(op, key, sent, 0, interruptedKind(op), ctx.Err())
	case standin.OutcomeRejected:
		return f.finish(op, key, sent, 0, platform.KindUnavailable, nil)
	case standin.OutcomeRateLimited:
		return f.finish(op, key, sent, 0, platform.KindRateLimited, nil)
	}
	received, kind := effect()
	if outcome == standin.OutcomeAnswerLost {
		kind = platform.KindUnknown
	}
	return f.finish(op, key, sent, received, kind, nil)
}

func interruptedKind(op platform.Op) platform.Kind {
	if op.IsWrite() {
		return platform.KindUnknown
	}
	return platform.KindUnavailable
}

func (f *Fake) finish(op platform.Op, key string, sent, received int, k platform.Kind, cause error) error {
	f.CallCounts.Count(platform.Call{Op: op, Kind: k, Sent: sent, Received: received})
	if k == platform.KindNone {
		return nil
	}
	return &platform.Error{Kind: k, Op: op, Key: key, Cause: cause}
}

func conflictUnless(ok bool) platform.Kind {
	if ok {
		return platform.KindNone
	}
	return platform.KindConflict
}

// Get implements platform.Platform.
func (f *Fake) Get(ctx context.Context, key string) (platform.Entry, error) {
	var e platform.Entry
	err := f.call(ctx, platform.OpGet, key, 0, func() (int, platform.Kind) {
		e = f.Store.Get(key)
		return len(e.Value), platform.KindNone
	})
	return e, err
}

// List implements platform.Platform.
func (f *Fake) List(ctx context.Context, prefix string, index uint64, wait time.Duration) (platform.Listing, error) {
	var l platform.Listing
	err := f.call(ctx, platform.OpList, prefix, 0, func() (int, platform.Kind) {
		l = f.Store.List(ctx, prefix, index, wait)
		n := 0
		for _, e := range l.Entries {
			n += len(e.Value)
		}
		return n, platform.KindNone
	})
	return f.afterWait(ctx, platform.OpList, prefix, l, err)
}

// afterWait fails a blocking query if an outage began or its context was done
// while it waited.
func (f *Fake) afterWait(ctx context.Context, op platform.Op, key string, l platform.Listing, err error) (platform.Listing, error) {
	if err == nil && ctx.Err() != nil {
		return platform.Listing{}, &platform.Error{Kind: platform.KindUnavailable, Op: op, Key: key, Cause: ctx.Err()}
	}
	if faults := f.Faults.Faults(); err == nil && (faults.Refuse || faults.Hang) {
		return platform.Listing{}, &platform.Error{Kind: platform.KindUnavailable, Op: op, Key: key}
	}
	return l, err
}

// CAS implements platform.Platform.
func (f *Fake) CAS(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	var at uint64
	if len(value) > platform.MaxValueBytes {
		return 0, &platform.Error{Kind: platform.KindInvalid, Op: platform.OpCAS, Key: key}
	}
	err := f.call(ctx, platform.OpCAS, key, len(value), func() (int, platform.Kind) {
		var ok bool
		at, ok = f.Store.CAS(key, value, index)
		return 0, conflictUnless(ok)
	})
	if err != nil {
		return 0, err
	}
	return at, nil
}

// Delete implements platform.Platform.
func (f *Fake) Delete(ctx context.Context, key string, index uint64) error {
	return f.call(ctx, platform.OpDelete, key, 0, func() (int, platform.Kind) {
		return 0, conflictUnless(f.Store.Delete(key, index))
	})
}

// CreateSession implements platform.Platform.
func (f *Fake) CreateSession(ctx context.Context, name string, ttl time.Duration) (platform.SessionID, error) {
	var id platform.SessionID
	err := f.call(ctx, platform.OpCreateSession, name, 0, func() (int, platform.Kind) {
		id = f.Store.CreateSession(ttl)
		return 0, platform.KindNone
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// RenewSession implements platform.Platform.
func (f *Fake) RenewSession(ctx context.Context, id platform.SessionID) error {
	return f.call(ctx, platform.OpRenewSession, string(id), 0, func() (int, platform.Kind) {
		if !f.Store.RenewSession(id) {
			return 0, platform.KindNoSession
		}
		return 0, platform.KindNone
	})
}

// DestroySession implements platform.Platform.
func (f *Fake) DestroySession(ctx context.Context, id platform.SessionID) error {
	return f.call(ctx, platform.OpDestroySession, string(id), 0, func() (int, platform.Kind) {
		f.Store.DestroySession(id)
		return 0, platform.KindNone
	})
}

// Acquire implements platform.Platform.
func (f *Fake) Acquire(ctx context.Context, key string, value []byte, id platform.SessionID) error {
	return f.call(ctx, platform.OpAcquire, key, len(value), func() (int, platform.Kind) {
		_, exists, ok := f.Store.Acquire(key, value, id)
		if !exists {
			return 0, platform.KindNoSession
		}
		return 0, conflictUnless(ok)
	})
}

// Services implements platform.Platform.
func (f *Fake) Services(ctx context.Context, name string, index uint64, wait time.Duration) (platform.ServiceList, error) {
	var l platform.ServiceList
	err := f.call(ctx, platform.OpServices, name, 0, func() (int, platform.Kind) {
		l = f.Store.Services(ctx, name, index, wait)
		return 0, platform.KindNone
	})
	_, err = f.afterWait(ctx, platform.OpServices, name, platform.Listing{}, err)
	if err != nil {
		return platform.ServiceList{}, err
	}
	return l, nil
}
