package platform

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the injected faults.
type Faults struct {
	LatencyMs       int64   `json:"latency_ms"`        // added to every call
	Refuse          bool    `json:"refuse"`            // every call is rejected and has no effect
	Hang            bool    `json:"hang"`              // no call is answered or has an effect
	LoseAnswers     int     `json:"lose_answers"`      // number of next writes that take effect but are not answered
	ReadsPerSecond  float64 `json:"reads_per_second"`  // 0 means unlimited
	WritesPerSecond float64 `json:"writes_per_second"` // 0 means unlimited
	WatchChanges    int     `json:"watch_changes"`     // most changes in one reply of a watch; 0 means unlimited
}

// Outcome is what happens to a call.
type Outcome uint8

// Outcomes of a call.
const (
	OutcomeServed      Outcome = iota
	OutcomeRejected            // rejected without an effect
	OutcomeHung                // never answered, without an effect
	OutcomeAnswerLost          // takes effect, but is not answered
	OutcomeRateLimited         // rejected because of the rate limit
)

// Injector decides the outcome of each call from the current faults.
type Injector struct {
	mu     sync.Mutex
	faults Faults
	reads  *rate.Limiter
	writes *rate.Limiter
	calls  Calls
}

// Calls counts the calls so far, including rejected ones.
type Calls struct {
	Reads  uint64 `json:"reads"` // a waiting watch counts as one
	Writes uint64 `json:"writes"`
}

// NewInjector returns an injector with the faults f.
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
	i.reads = newLimiter(f.ReadsPerSecond)
	i.writes = newLimiter(f.WritesPerSecond)
}

// Faults returns the current faults.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Calls returns the number of calls so far.
func (i *Injector) Calls() Calls {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.calls
}

// NextOutcome returns the outcome of the next call and the latency to add to it.
func (i *Injector) NextOutcome(write bool) (Outcome, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.calls.add(write)
	latency := time.Duration(i.faults.LatencyMs) * time.Millisecond
	return i.outcome(write), latency
}

func (c *Calls) add(write bool) {
	if write {
		c.Writes++
		return
	}
	c.Reads++
}

func (i *Injector) outcome(write bool) Outcome {
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

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}
