package sched

import (
	"math"
	"time"
)

const (
	defaultRunTime   = 300 * time.Millisecond // prior for a kind without a declared run time
	priorSamples     = 1                      // weight of a declared run time, in samples
	maxKindSamples   = 64                     // weight of the past in a kind's mean
	minKindSamples   = 8                      // run times of a kind needed before it counts for a server's slowness
	maxServerSamples = 32                     // weight of the past in a server's slowness
	maxSlownessStep  = 1.0                    // bound on one run time's deviation from the expected one, as a logarithm
	highDeviations   = 2.0                    // mean absolute deviations above the mean that most tasks stay below
	tailDeviations   = 0.5                    // further deviations for each e-fold of the number of tasks
	longFactor       = 6                      // a kind is long when its mean exceeds the typical run time by this factor
)

// runTime is the learned run time of a customer's kind, in seconds on a server
// of slowness 1.
type runTime struct {
	mean    float64
	meanDev float64 // mean absolute deviation
	samples float64
}

func newRunTime(declared time.Duration) runTime {
	if declared <= 0 {
		declared = defaultRunTime
	}
	return runTime{mean: declared.Seconds(), meanDev: declared.Seconds() / 2, samples: priorSamples}
}

func (r *runTime) observe(seconds float64) {
	r.samples = math.Min(r.samples+1, maxKindSamples)
	gain := 1 / r.samples
	diff := seconds - r.mean
	r.mean += gain * diff
	r.meanDev += gain * (math.Abs(diff) - r.meanDev)
}

// measured reports whether any run time has been measured.
func (r *runTime) measured() bool { return r.samples > priorSamples }

// highEstimate is a run time that most tasks of the kind stay below.
func (r *runTime) highEstimate() float64 { return r.mean + highDeviations*r.meanDev }

// maxEstimate is a likely upper bound on the longest of several tasks.
func (r *runTime) maxEstimate(tasks int) float64 {
	return r.highEstimate() + tailDeviations*r.meanDev*math.Log(float64(max(1, tasks)))
}

// typicalRun is the geometric mean of all run times on this instance.
type typicalRun struct {
	logMean float64
	samples float64
}

func (t *typicalRun) observe(seconds float64) {
	const maxSamples = 1024
	t.samples = math.Min(t.samples+1, maxSamples)
	t.logMean += (math.Log(seconds) - t.logMean) / t.samples
}

func (t *typicalRun) seconds() float64 {
	if t.samples == 0 {
		return defaultRunTime.Seconds()
	}
	return math.Exp(t.logMean)
}

// slowness is a server's learned run time relative to the fleet's mean.
type slowness struct {
	logFactor float64
	samples   float64
}

func (s *slowness) factor() float64 { return math.Exp(s.logFactor) }

// lowerBound is a likely lower bound on the server's slowness factor.
func (s *slowness) lowerBound() float64 {
	return math.Exp(s.logFactor - 1/math.Sqrt(s.samples+1))
}

func (s *slowness) observe(ratio float64) {
	s.samples = math.Min(s.samples+1, maxServerSamples)
	diff := math.Log(ratio) - s.logFactor
	diff = math.Max(-maxSlownessStep, math.Min(maxSlownessStep, diff))
	s.logFactor += diff / (s.samples + 1)
}
