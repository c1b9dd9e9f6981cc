package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is a pause that doubles from Min to Max each time it is taken.
// Spread lengthens each by a random part of itself up to that fraction, so that
// processes which failed together don't try again together; 0 keeps it exact.
type Backoff struct {
	Min, Max time.Duration
	Jitter   float64

	next time.Duration
}

// Reset makes the next pause the shortest again.
func (b *Backoff) Reset() { b.next = 0 }

// Sleep takes the next pause and reports whether ctx still lasts.
func (b *Backoff) Sleep(ctx context.Context) bool {
	d := max(b.next, b.Min)
	b.next = min(2*d, b.Max)
	return Sleep(ctx, Jitter(d, b.Jitter))
}

// Jitter returns d, lengthened by a random part of itself up to a fraction.
func Jitter(d time.Duration, fraction float64) time.Duration {
	return d + time.Duration(rand.Float64()*fraction*float64(d))
}
