package platform

import (
	"context"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// Backoff between attempts to resolve an unknown outcome.
const (
	resolveMinDelay = 50 * time.Millisecond
	resolveMaxDelay = 2 * time.Second
)

// CASResolve is CAS that resolves an unknown outcome by reading the key back
// until the outcome is known or ctx is done. isOwnWrite reports whether a value
// contains this write's unique ID; a frequently overwritten value must keep the
// IDs of recent writes. Retrying the write is safe: all attempts use the same
// index, so at most one of them can take effect.
func CASResolve(ctx context.Context, p Platform, key string, value []byte, index uint64, isOwnWrite func([]byte) bool) (uint64, error) {
	backoff := &wait.Backoff{Min: resolveMinDelay, Max: resolveMaxDelay}
	var unknown error // set once an attempt may have taken effect
	for {
		next, err := p.CAS(ctx, key, value, index)
		if KindOf(err) == KindUnknown {
			unknown = err
		}
		if err == nil || unknown == nil {
			return next, err
		}
		current, err := readBack(ctx, p, key, backoff)
		if err != nil {
			return 0, unknown
		}
		if current.Exists() && isOwnWrite(current.Value) {
			return current.Index, nil
		}
		if current.Index != index {
			return 0, &Error{Kind: KindConflict, Op: OpCAS, Key: key}
		}
		if !backoff.Sleep(ctx) {
			return 0, unknown
		}
	}
}

func readBack(ctx context.Context, p Platform, key string, backoff *wait.Backoff) (Entry, error) {
	for {
		e, err := p.Get(ctx, key)
		if err == nil {
			return e, nil
		}
		if !backoff.Sleep(ctx) {
			return Entry{}, err
		}
	}
}
