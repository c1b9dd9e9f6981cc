package platform

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the faults that the stand-in shows.
type Faults struct {
	LatencyMs       int64   `json:"latency_ms"`        // added to every call
	Refuse          bool    `json:"refuse"`            // every call is refused and has no effect
	Hang            bool    `json:"hang"`              // every call stays unanswered and has no effect
	LoseAnswers     int     `json:"lose_answers"`      // answers to this many coming writes are lost after the effect
	ReadsPerSecond  float64 `json:"reads_per_second"`  // 0 means unlimited
	WritesPerSecond float64 `json:"writes_per_second"` // 0 means unlimited
}

// Outcome says what becomes of one call.
type Outcome uint8

// Fates of a call.
const (
	OutcomeServed      Outcome = iota
	OutcomeRejected            // refused without an effect
	OutcomeHung                // never answered, without an effect
	OutcomeAnswerLost          // takes effect, the answer is lost
	OutcomeRateLimited         // refused because of the rate limit
)

// Injector decides the fate of each call by the faults that are set.
type Injector struct {
	mu     sync.Mutex
	faults Faults
	reads  *rate.Limiter
	writes *rate.Limiter
	calls  Calls
}

// Calls are the numbers of calls so far, refused ones too.
type Calls struct {
	Reads  uint64 `json:"reads"` // a waiting watch is one
	Writes uint64 `json:"writes"`
}

// NewInjector returns an injector that shows f.
func NewInjector(f Faults) *Injector {
	i := &Injector{}
	i.SetFaults(f)
	return i
}

// SetFaults replaces the faults.
func (i *Injector) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.reads = limiter(f.ReadsPerSecond)
	i.writes = limiter(f.WritesPerSecond)
}

// Faults returns the faults that are set.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Calls returns the numbers of calls so far.
func (i *Injector) Calls() Calls {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.calls
}

// NextOutcome returns the fate of the next call and the latency to add to it.
func (i *Injector) NextOutcome(write bool) (Outcome, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.calls.add(write)
	latency := time.Duration(i.faults.LatencyMs) * time.Millisecond
	return i.fate(write), latency
}

func (c *Calls) add(write bool) {
	if write {
		c.Writes++
		return
	}
	c.Reads++
}

func (i *Injector) fate(write bool) Outcome {
	if i.faults.Hang {
		return OutcomeHung
	}
	if i.faults.Refuse {
		return OutcomeRejected
	}
	l := i.reads
	if write {
		l = i.writes
	}
	if !l.Allow() {
		return OutcomeRateLimited
	}
	if write && i.faults.LoseAnswers > 0 {
		i.faults.LoseAnswers--
		return OutcomeAnswerLost
	}
	return OutcomeServed
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}
