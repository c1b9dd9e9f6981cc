package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff from Min to Max that doubles with each delay.
// Jitter lengthens each delay by a random part of itself up to that fraction, so
// that processes that failed together don't retry together; 0 keeps it exact.
type Backoff struct {
	Min, Max time.Duration
	Jitter   float64

	next time.Duration
}

// Reset makes the next delay Min again.
func (b *Backoff) Reset() { b.next = 0 }

// Sleep waits for the next delay. It returns false if ctx is done first.
func (b *Backoff) Sleep(ctx context.Context) bool {
	d := max(b.next, b.Min)
	b.next = min(2*d, b.Max)
	return Sleep(ctx, Jitter(d, b.Jitter))
}

// Jitter returns d plus a random part of it, up to the given fraction.
func Jitter(d time.Duration, fraction float64) time.Duration {
	return d + time.Duration(rand.Float64()*fraction*float64(d))
}
