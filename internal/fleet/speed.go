package fleet

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// speedModel estimates how long a server takes for work relative to the estimates.
// Without samples of its own, a server is assumed to be like others of its kind.
type speedModel struct {
	logFactor float64 // natural logarithm of the slowdown factor
	samples   int
	kind      *speedModel // shared model of all servers of the kind, nil in that model itself
	cold      *speedModel // further slowdown while the server is cold, nil in that model itself
}

const (
	minSampleWeight     = 0.12 // about ten runs determine the estimate
	minKindSampleWeight = 0.03 // lower, as many servers contribute to a kind
	priorSamples        = 1    // weight of the initial estimate, in runs
	maxLogSample        = 2.0  // bound on one sample, as estimates are rough and stragglers exist
)

// learn adds the sample of a completed run.
func (m *speedModel) learn(took, estimate time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	sample := math.Log(float64(took) / float64(estimate))
	sample = min(max(sample, -maxLogSample), maxLogSample)
	m.add(sample, minSampleWeight)
	if m.kind != nil {
		m.kind.add(sample, minKindSampleWeight)
	}
}

func (m *speedModel) add(sample, weight float64) {
	m.logFactor = m.currentLog()
	m.samples++
	m.logFactor += max(weight, 1/float64(m.samples+priorSamples)) * (sample - m.logFactor)
}

func (m *speedModel) currentLog() float64 {
	if m.samples == 0 && m.kind != nil {
		return m.kind.logFactor
	}
	return m.logFactor
}

// factor returns the slowdown relative to the estimates.
func (m *speedModel) factor() float64 { return math.Exp(m.currentLog()) }

// expect returns the expected run time for an estimate.
func (m *speedModel) expect(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * m.factor())
}

// serverKind is a class of servers that share a speed model.
type serverKind struct {
	service  string
	kind     string
	capacity model.Resources
}

// speedModels holds the shared models by kind of server.
type speedModels map[serverKind]*speedModel

// forServer returns the model of a server new to this owner.
func (m speedModels) forServer(e ServerEntry) *speedModel {
	k := serverKind{e.Service, e.Kind, e.Capacity}
	if m[k] == nil {
		m[k] = &speedModel{cold: &speedModel{}}
	}
	return &speedModel{kind: m[k], cold: &speedModel{kind: m[k].cold}}
}
