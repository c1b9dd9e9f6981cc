package fleet

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// pace is how long a server takes for work, against the estimates. Until it has
// run something, it counts as its kind does.
type pace struct {
	log  float64 // natural logarithm of the factor
	runs int     // that were learned from
	kind *pace   // of all servers of the kind, nil for that one itself
}

const (
	paceShare = 0.12 // least weight of a new sample, so that about ten runs decide
	kindShare = 0.03 // the same for a kind, which many servers tell of
	pacePrior = 1    // runs that the first guess counts for
	paceLimit = 2.0  // bound on one sample, as estimates are rough and stragglers exist
)

// learn takes in a run that ended well.
func (p *pace) learn(took, estimate time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	sample := math.Log(float64(took) / float64(estimate))
	sample = min(max(sample, -paceLimit), paceLimit)
	p.add(sample, paceShare)
	if p.kind != nil {
		p.kind.add(sample, kindShare)
	}
}

func (p *pace) add(sample, share float64) {
	p.log = p.level()
	p.runs++
	p.log += max(share, 1/float64(p.runs+pacePrior)) * (sample - p.log)
}

func (p *pace) level() float64 {
	if p.runs == 0 && p.kind != nil {
		return p.kind.log
	}
	return p.log
}

// factor returns how many times its estimate work takes.
func (p *pace) factor() float64 { return math.Exp(p.level()) }

// expect returns how long work with an estimate will take.
func (p *pace) expect(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * p.factor())
}

// serverKind tells servers apart that may differ in speed.
type serverKind struct {
	service  string
	kind     string
	capacity model.Resources
}

// paces holds the paces of the kinds of servers.
type paces map[serverKind]*pace

// of returns the pace of a server that is new to this owner.
func (p paces) of(e ServerEntry) *pace {
	k := serverKind{e.Service, e.Kind, e.Capacity}
	if p[k] == nil {
		p[k] = &pace{}
	}
	return &pace{kind: p[k]}
}
