// Package model defines the basic types shared by the other packages.
package model

import (
	"time"

	"github.com/google/uuid"
)

// Domain is the name of a failure domain.
type Domain string

// Customer is the name of a client account.
type Customer string

// Kind is the kind of a request, such as "gate-pass".
type Kind string

// ServerID is the name of a backend server.
type ServerID string

// Instance is the configured name of an entry instance. A replacement of an
// instance may carry the same name; the incarnation tells them apart.
type Instance string

// Incarnation is unique to each start of an instance's process.
type Incarnation string

// Time is a point in time in nanoseconds since the Unix epoch. The pure
// packages receive it in events and never read a clock.
type Time int64

// Add returns t shifted by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// UnixMilli returns t in milliseconds since the Unix epoch.
func (t Time) UnixMilli() int64 { return int64(t) / int64(time.Millisecond) }

// Key is the caller's idempotency key, a UUIDv7 that carries the time of the
// first submission.
type Key uuid.UUID

// Submitted returns the first-submission time that the key carries, with a
// resolution of one millisecond (RFC 9562, section 5.7).
func (k Key) Submitted() Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return Time(ms * int64(time.Millisecond))
}

// String returns the key in the form of RFC 9562.
func (k Key) String() string { return uuid.UUID(k).String() }

// Identity names a job for deduplication.
type Identity struct {
	Customer Customer
	Home     Domain
	Key      Key
}

// Resources are what one task needs, or what a backend server has.
type Resources struct {
	CPUMilli     uint32
	MemoryMB     uint32
	Accelerators uint32
}

// Fits reports whether r fits within have.
func (r Resources) Fits(have Resources) bool {
	return r.CPUMilli <= have.CPUMilli &&
		r.MemoryMB <= have.MemoryMB &&
		r.Accelerators <= have.Accelerators
}

// JobHandle identifies a job within one instance.
type JobHandle uint64

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r less o, with each value at least 0.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli - min(r.CPUMilli, o.CPUMilli),
		MemoryMB:     r.MemoryMB - min(r.MemoryMB, o.MemoryMB),
		Accelerators: r.Accelerators - min(r.Accelerators, o.Accelerators),
	}
}
