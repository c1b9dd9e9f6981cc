package fleetsim

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Shortage is a time in which the jobs need more than the capacity, between times of
// normal load.
type Shortage struct {
	Site Site
	// Offer submits the load of the shortage for a duration.
	Offer func(w *World, d time.Duration)
}

// shortageDuration is the length of a shortage: several times the longest objective, so
// that the queue reaches its steady state.
const shortageDuration = 8 * time.Second

// Prioritized returns the site of one third of the size of deployment 1 of
// docs/design/12-overload-requirements.md: its types of jobs, priorities and utilities.
func Prioritized() Site {
	s := Glenbrae()
	s.Instances = []int{2, 2, 2, 2}
	s.Classes = []Class{
		{Name: "short", PerSecond: 30, Width: 8, MaxWidth: 32, Work: 60 * time.Millisecond, CPU: 16000, MaxCPU: 20000, Priority: 0, MaxAttempts: 3, Utility: 0.00485},
		{Name: "medium", PerSecond: 87.4, Width: 2, MaxWidth: 8, Work: 200 * time.Millisecond, CPU: 16000, MaxCPU: 20000, Priority: 1, MaxAttempts: 3, Utility: 0.00167},
		{Name: "long", PerSecond: 5.46, Width: 4, MaxWidth: 16, Work: 900 * time.Millisecond, CPU: 16000, MaxCPU: 20000, Priority: 2, MaxAttempts: 4, Utility: 0.0267},
	}
	return s
}

// CapacityLoad returns the load that keeps the packable share of a site's servers busy,
// relative to the normal rate.
func (w *World) CapacityLoad(s Site) float64 {
	need := 0.0
	for _, c := range s.Classes {
		need += c.PerSecond * float64(c.Width) * c.Work.Seconds() * float64(c.CPU) * spreadOfWork
	}
	return w.usableRate() * packableShare / need
}

// spreadOfWork is the mean work of a job relative to that of its class's means: three
// log-normal factors, and one task time in 33 that is seven times as long.
const spreadOfWork = 1.41

// ShortageResult holds shares of the utility of the jobs submitted in a shortage.
type ShortageResult struct {
	Jobs         int
	Served       float64
	ByType       map[string]float64
	ByDomain     map[model.Domain]float64
	RejectedFree int // rejected while servers could have started them
	HeldUnserved int // rejected only after a quarter of their objective
}

// lateUtility is the share of its utility that a late job has, until maxLate times its
// objective.
const (
	lateUtility = 0.2
	maxLate     = 3
)

// Play plays the shortage.
func (c Shortage) Play(seed uint64, p fleet.Policy) (*World, ShortageResult) {
	w := New(seed)
	w.Policy = p
	w.Build(c.Site)
	w.Run(2 * time.Second)
	w.OfferLoad(c.Site, normalLoad, 2*time.Second)
	w.Run(2 * time.Second)
	since := w.now
	c.Offer(w, shortageDuration)
	w.Run(shortageDuration)
	until := w.now
	w.OfferLoad(c.Site, normalLoad, 2*time.Second)
	w.Run(12 * time.Second)
	return w, w.utilityServed(since, until)
}

// utilityServed sums up the jobs submitted between two times.
func (w *World) utilityServed(since, until fleet.Time) ShortageResult {
	r := ShortageResult{ByType: map[string]float64{}, ByDomain: map[model.Domain]float64{}}
	offered, byType, byDomain := 0.0, map[string]float64{}, map[model.Domain]float64{}
	for _, j := range w.submissions {
		if j.SubmittedAt < since || j.SubmittedAt >= until {
			continue
		}
		u := j.served()
		r.Jobs++
		offered, byType[j.Spec.Route], byDomain[j.domain] = offered+j.utility, byType[j.Spec.Route]+j.utility, byDomain[j.domain]+j.utility
		r.Served, r.ByType[j.Spec.Route], r.ByDomain[j.domain] = r.Served+u, r.ByType[j.Spec.Route]+u, r.ByDomain[j.domain]+u
		if j.Result.Kind != fleet.NotRun {
			continue
		}
		if j.besideFree {
			r.RejectedFree++
		}
		if j.AnsweredAt.Sub(j.SubmittedAt) > j.due().Sub(j.SubmittedAt)/4 {
			r.HeldUnserved++
		}
	}
	r.Served /= offered
	divide(r.ByType, byType)
	divide(r.ByDomain, byDomain)
	return r
}

func divide[K comparable](sums, by map[K]float64) {
	for k := range sums {
		sums[k] /= by[k]
	}
}

// served returns the utility of the job's answer.
func (j *JobRecord) served() float64 {
	switch objective := j.due().Sub(j.SubmittedAt); {
	case j.OnTime():
		return j.utility
	case j.Result.Kind == fleet.Completed && j.AnsweredAt.Sub(j.SubmittedAt) <= maxLate*objective:
		return lateUtility * j.utility
	}
	return 0
}

// noteRoom records whether servers had room for a rejected job, and still have it
// roomInTransit later: until then the capacity may be that of runs that end, or of
// tasks on their way.
func (w *World) noteRoom(j *JobRecord) {
	if j.Result.Kind == fleet.NotRun && w.hasRoom(&j.Spec) {
		w.After(roomInTransit, func() { j.besideFree = w.hasRoom(&j.Spec) })
	}
}

// roomInTransit is the time of three messages between domains, from a run's end to the
// start of a task in its place, and of the limit on load updates, and again the same for
// a task that another owner declined.
const roomInTransit = 10 * time.Millisecond

// hasRoom reports whether responsive servers have room for all first tasks of a job.
func (w *World) hasRoom(spec *fleet.JobSpec) bool {
	st := spec.Steps[0]
	room := 0
	for _, s := range w.servers {
		if s.Entry.Service != spec.Service || s.Unresponsive || s.Unlisted || s.StallsRuns || s.down {
			continue
		}
		free := float64(s.Entry.Capacity.CPUMilli)
		for _, r := range s.state.Running(w.now) {
			free -= float64(s.needs[r.Run].CPUMilli)
		}
		if free > 0 {
			room += int(free) / int(max(st.Need.CPUMilli, 1))
		}
	}
	return room >= st.Count
}
