package fleetsim

import (
	"fmt"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Outage is a loss of power of all instances at the same time. Callers send a job again
// that got no answer.
type Outage struct {
	Site   Site
	Load   float64                          // relative to the normal rate
	Dark   time.Duration                    // from the loss to the start of the first instance
	Spread time.Duration                    // from then to the start of the last one
	Log    func(fleet.Time, fleet.LogEntry) // called for each log entry from the first start on
}

// Durations of an Outage.
const (
	outageWarmup = 3 * time.Second
	outageWindow = 2 * time.Second // from the first start; results of jobs submitted within it are counted
	outageRest   = 4 * time.Second // for the answers
)

// Recovery counts the submissions of a class after the first start.
type Recovery struct{ Jobs, OnTime, Late, NotRun, Lost int }

// Play runs the scenario and returns what became of the jobs by class.
func (o Outage) Play(seed uint64) (*World, map[string]Recovery) {
	w := New(seed)
	w.DialListed, w.resend = true, true
	w.Build(o.Site)
	w.Run(time.Second)
	w.OfferLoad(o.Site, o.Load, outageWarmup+o.Dark+outageWindow)
	w.Run(outageWarmup)
	for _, n := range w.instances {
		w.PowerOff(n.member.Instance)
	}
	for _, n := range w.instances {
		w.After(o.Dark+w.upTo(o.Spread), func() { w.Start(n.member.Instance) })
	}
	w.Run(o.Dark)
	start := w.now
	w.onLog = func(e fleet.LogEntry) { o.Log(w.now, e) }
	w.Run(outageWindow + outageRest)
	return w, w.recovery(start)
}

// recovery counts what became of the jobs submitted within outageWindow.
func (w *World) recovery(start fleet.Time) map[string]Recovery {
	out := map[string]Recovery{}
	for _, j := range w.submissions {
		if j.SubmittedAt < start || j.SubmittedAt >= start.Add(outageWindow) {
			continue
		}
		x := out[j.Spec.Route]
		x.Jobs++
		late := j.SubmittedAt.Add(3 * j.due().Sub(j.SubmittedAt))
		switch {
		case j.OnTime():
			x.OnTime++
		case j.Result.Kind == fleet.Completed && j.AnsweredAt < late:
			x.Late++
		case j.Result.Kind == fleet.NotRun:
			x.NotRun++
		default:
			x.Lost++
		}
		out[j.Spec.Route] = x
	}
	return out
}

// Regional returns a deployment with 41 instances and 324 servers.
func Regional() Site {
	return Site{
		Domains: []model.Domain{"quay", "moor", "dale", "fell"}, Instances: []int{10, 12, 9, 10}, Servers: 81, CPU: 32000,
		Weights: []float64{0.8, 0.8, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144},
		Classes: []Class{
			{Name: "short", PerSecond: 206, Width: 8, MaxWidth: 32, Work: 60 * time.Millisecond, CPU: 16000, MaxCPU: 20000, MaxAttempts: 3},
			{Name: "long", PerSecond: 37.5, Width: 4, MaxWidth: 16, Work: 900 * time.Millisecond, CPU: 16000, MaxCPU: 20000, Priority: 2, MaxAttempts: 3},
			{Name: "medium", PerSecond: 600, Width: 2, MaxWidth: 8, Work: 200 * time.Millisecond, CPU: 16000, MaxCPU: 20000, Priority: 1, MaxAttempts: 3},
		},
	}
}

// String lists the counts.
func (r Recovery) String() string {
	return fmt.Sprintf("%d jobs: %d on time, %d late, %d rejected, %d lost", r.Jobs, r.OnTime, r.Late, r.NotRun, r.Lost)
}
