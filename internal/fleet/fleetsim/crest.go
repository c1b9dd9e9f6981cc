package fleetsim

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// Crest is a load peak with faults: normal load, a peak of crestDuration during which
// the faults occur, and normal load again.
type Crest struct {
	Site   Site
	Load   float64 // at the peak, relative to the normal rate
	Faults func(*World)
}

// Durations of a Crest.
const (
	crestWarmup   = 4 * time.Second
	crestDuration = 6 * time.Second
	crestCooldown = 6 * time.Second
	windowLength  = 2 * time.Second
)

// Window holds the results of the jobs submitted within windowLength.
type Window struct {
	Start  time.Duration // since the beginning of the peak
	Jobs   int
	OnTime int
	NotRun int
	Held   int // answered only at the caller's deadline
	Bound  int // jobs that the usable servers could complete on time, see windowBound
}

// Ratio returns the jobs on time as a share of the bound.
func (x Window) Ratio() float64 { return float64(x.OnTime) / float64(max(x.Bound, 1)) }

// Play runs the scenario and returns a window for each two seconds of the peak and of
// the normal load that follows.
func (c Crest) Play(seed uint64, p fleet.Policy) (*World, []Window) {
	w := New(seed)
	w.Policy = p
	w.Build(c.Site)
	w.Run(2 * time.Second)
	w.OfferLoad(c.Site, normalLoad, crestWarmup)
	w.Run(crestWarmup)
	start := w.Now()
	usable := map[int]float64{} // by window: lowest rate of the usable servers
	for i := range int((crestDuration + crestCooldown) / windowLength) {
		for k := range 4 {
			w.After(time.Duration(i)*windowLength+time.Duration(k)*windowLength/4+time.Millisecond, func() {
				if rate := w.usableRate(); k == 0 || rate < usable[i] {
					usable[i] = rate
				}
			})
		}
	}
	c.Faults(w)
	w.OfferLoad(c.Site, c.Load, crestDuration)
	w.Run(crestDuration)
	w.OfferLoad(c.Site, normalLoad, crestCooldown)
	w.Run(crestCooldown + 10*time.Second)
	return w, w.windows(start, usable)
}

// windows groups the jobs submitted since start.
func (w *World) windows(start fleet.Time, usable map[int]float64) []Window {
	out := make([]Window, len(usable))
	jobs := make([][]*JobRecord, len(usable))
	for _, j := range w.submissions {
		i := int(j.SubmittedAt.Sub(start) / windowLength)
		if j.SubmittedAt < start || i >= len(out) {
			continue
		}
		jobs[i] = append(jobs[i], j)
		x := &out[i]
		x.Jobs++
		switch {
		case j.OnTime():
			x.OnTime++
		case j.Result.Kind == fleet.NotRun:
			x.NotRun++
		case j.AnsweredAt == 0 || j.AnsweredAt.Sub(j.SubmittedAt) >= j.Spec.Timeout:
			x.Held++
		}
	}
	for i := range out {
		out[i].Start = time.Duration(i) * windowLength
		out[i].Bound = windowBound(jobs[i], usable[i])
	}
	return out
}

// usableRate returns the work that the responsive servers which make progress complete
// per unit of time, in milli-cores.
func (w *World) usableRate() float64 {
	rate := 0.0
	for _, s := range w.servers {
		if !s.StallsRuns && !s.Unresponsive && !s.Unlisted {
			rate += float64(s.Entry.Capacity.CPUMilli) * s.Speed
		}
	}
	return rate
}

// windowBound returns how many of the jobs of a window servers of a rate could complete
// within the window if they were a single one that is never idle and runs the smallest
// jobs first.
func windowBound(jobs []*JobRecord, rate float64) int {
	var work []float64
	for _, j := range jobs {
		st := j.Spec.Steps[0]
		work = append(work, float64(st.Count)*float64(st.Need.CPUMilli)*float64(j.work))
	}
	slices.Sort(work)
	left, n := rate*packableShare*float64(windowLength), 0
	for _, x := range work {
		if left -= x; left < 0 {
			break
		}
		n++
	}
	return n
}

// packableShare is the share of a server's capacity that tasks of a typical size can
// fill: two of 14 cores on 32.
const packableShare = 0.875
