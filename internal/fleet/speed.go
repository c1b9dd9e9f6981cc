package fleet

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// speedModel is how long a server takes for work, against the estimates. Until it has
// run something, it counts as its kind does.
type speedModel struct {
	logFactor float64     // natural logarithm of the factor
	samples   int         // that were learned from
	kind      *speedModel // of all servers of the kind, nil for that one itself
}

const (
	minSampleWeight     = 0.12 // least weight of a new sample, so that about ten runs decide
	minKindSampleWeight = 0.03 // the same for a kind, which many servers tell of
	priorSamples        = 1    // runs that the first guess counts for
	maxLogSample        = 2.0  // bound on one sample, as estimates are rough and stragglers exist
)

// learn takes in a run that ended well.
func (p *speedModel) learn(took, estimate time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	sample := math.Log(float64(took) / float64(estimate))
	sample = min(max(sample, -maxLogSample), maxLogSample)
	p.add(sample, minSampleWeight)
	if p.kind != nil {
		p.kind.add(sample, minKindSampleWeight)
	}
}

func (p *speedModel) add(sample, share float64) {
	p.logFactor = p.currentLog()
	p.samples++
	p.logFactor += max(share, 1/float64(p.samples+priorSamples)) * (sample - p.logFactor)
}

func (p *speedModel) currentLog() float64 {
	if p.samples == 0 && p.kind != nil {
		return p.kind.logFactor
	}
	return p.logFactor
}

// factor returns how many times its estimate work takes.
func (p *speedModel) factor() float64 { return math.Exp(p.currentLog()) }

// expect returns how long work with an estimate will take.
func (p *speedModel) expect(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * p.factor())
}

// serverKind tells servers apart that may differ in speed.
type serverKind struct {
	service  string
	kind     string
	capacity model.Resources
}

// speedModels holds the speedModels of the kinds of servers.
type speedModels map[serverKind]*speedModel

// forServer returns the pace forServer a server that is new to this owner.
func (p speedModels) forServer(e ServerEntry) *speedModel {
	k := serverKind{e.Service, e.Kind, e.Capacity}
	if p[k] == nil {
		p[k] = &speedModel{}
	}
	return &speedModel{kind: p[k]}
}
