package platform

import (
	"context"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// Delays between attempts to resolve an unknown outcome.
const (
	resolveMinDelay = 50 * time.Millisecond
	resolveMaxDelay = 2 * time.Second
)

// CASResolve is CAS that resolves an unknown outcome by reading the key back
// until it is known or ctx ends. carries reports whether a value that was
// read carries this write's unique id; a value that is overwritten often
// must keep the ids of recent writes. Writing again is safe, because both
// attempts name the same index and at most one of them can take effect.
func CASResolve(ctx context.Context, p Platform, key string, value []byte, index uint64, carries func([]byte) bool) (uint64, error) {
	pause := &wait.Backoff{Min: resolveMinDelay, Max: resolveMaxDelay}
	var unknown error // set once an attempt may have taken effect
	for {
		next, err := p.CAS(ctx, key, value, index)
		if KindOf(err) == KindUnknown {
			unknown = err
		}
		if err == nil || unknown == nil {
			return next, err
		}
		current, err := readBack(ctx, p, key, pause)
		if err != nil {
			return 0, unknown
		}
		if current.Exists() && carries(current.Value) {
			return current.Index, nil
		}
		if current.Index != index {
			return 0, &Error{Kind: KindConflict, Op: OpCAS, Key: key}
		}
		if !pause.Sleep(ctx) {
			return 0, unknown
		}
	}
}

func readBack(ctx context.Context, p Platform, key string, pause *wait.Backoff) (Entry, error) {
	for {
		e, err := p.Get(ctx, key)
		if err == nil {
			return e, nil
		}
		if !pause.Sleep(ctx) {
			return Entry{}, err
		}
	}
}
