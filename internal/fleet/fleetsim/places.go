package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Places are the racks of a World and what runs there.
type Places struct {
	FarFactor float64 // time of a task away from its data, relative to its own; 0 for none
	Untold    bool    // instances don't know FarFactor
	racks     []string

	NearWork, FarWork float64 // of started runs, in core-seconds
}

// Locality is how the jobs of a class choose racks.
type Locality struct {
	HotShare float64 // of the jobs that want the first rack
	AnyShare float64 // of the jobs that want some rack
	Together float64 // of the jobs whose tasks should share a rack
}

func (p *Places) toldFactor() float64 {
	if p.Untold {
		return 0
	}
	return p.FarFactor
}

// rackLabels returns the labels of a server, nil on a site without racks.
func (w *World) rackLabels(s Site, d model.Domain, kind string, i int) []string {
	if s.RackSize == 0 {
		return nil
	}
	rack := fmt.Sprintf("%s-r%d", d, i/s.RackSize)
	if !slices.Contains(w.Places.racks, rack) {
		w.Places.racks = append(w.Places.racks, rack)
	}
	return []string{kind, rack}
}

// choosePlace draws the rack of a job's data.
func (w *World) choosePlace(spec *fleet.JobSpec, l Locality) {
	if len(w.Places.racks) == 0 || l == (Locality{}) {
		return
	}
	st := &spec.Steps[0]
	switch x := w.Rand.Float64(); {
	case x < l.HotShare:
		st.Rack = w.Places.racks[0]
	case x < l.HotShare+l.AnyShare:
		st.Rack = w.Places.racks[w.Rand.IntN(len(w.Places.racks))]
	case x < l.HotShare+l.AnyShare+l.Together:
		st.SameRack = true
	}
}

// slowdown returns how many times its usual time a task takes on a server with the
// given labels. Runs of a group that started before it was spread are not slowed.
func (p *Places) slowdown(j *JobRecord, st fleet.StepSpec, labels []string) float64 {
	if p.FarFactor <= 1 || len(labels) < 2 {
		return 1
	}
	rack := labels[1]
	if st.SameRack && st.Count > 1 {
		if j.rack == "" {
			j.rack = rack
		}
		if j.rack != rack {
			return p.FarFactor
		}
	}
	if st.Rack != "" && st.Rack != rack {
		return p.FarFactor
	}
	return 1
}

// count adds a run to the work done near its data or far from it.
func (p *Places) count(need model.Resources, took time.Duration, slowdown float64) {
	work := float64(need.CPUMilli) / 1000 * took.Seconds()
	if slowdown > 1 {
		p.FarWork += work
	} else {
		p.NearWork += work
	}
}
