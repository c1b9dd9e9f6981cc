package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Load and stalls of a stallingWorld.
const (
	stallingTime      = 10 * time.Second
	stallingQuietTime = 4 * time.Second
	stallingLoad      = 100 // jobs per second between bursts
	burstJobs         = 60
	burstTime         = 60 * time.Millisecond
	stalledShare      = 0.7 // of the instances
	// shortestStall and longestStall are too long for an instance to keep up with its input,
	// and too short for a pause.
	shortestStall = 250 * time.Millisecond
	longestStall  = 390 * time.Millisecond
	maxRelinkTime = 120 * time.Millisecond // after a stall
)

// Troubles of processes that get too little CPU time.
var (
	burstsStall  = trouble{"bursts stall instances", 600 * time.Millisecond, func(w *World) { w.burst(); w.stallMost(shortestStall, longestStall) }}
	callersLeave = trouble{"callers leave", 100 * time.Millisecond, func(w *World) {
		w.LoseCallers(w.drawInstance().member.Instance, 0.1, 300*time.Millisecond)
	}}
	longStalls = trouble{"instances pause", 1500 * time.Millisecond, func(w *World) { w.stallMost(300*time.Millisecond, 700*time.Millisecond) }}
	freezes    = trouble{"instances frozen for a lease", time.Second, func(w *World) {
		w.stall(w.drawInstance(), time.Second+w.upTo(300*time.Millisecond))
	}}
	oneWayCuts = trouble{"links cut one way", 500 * time.Millisecond, func(w *World) {
		if a, b := w.drawInstance(), w.drawInstance(); a != b {
			w.CutPeer(a.member.Instance, b.member.Instance, 200*time.Millisecond+w.upTo(1500*time.Millisecond))
		}
	}}
	restarts = trouble{"instances restart", 1500 * time.Millisecond, func(w *World) {
		name := w.someInstance()
		w.Kill(name)
		w.After(time.Second, func() { w.Start(name) })
	}}
)

// newStallingWorld returns a small deployment with the timing of real processes. Callers
// submit jobs anywhere, also at an instance that is stalled or has their job.
func newStallingWorld(seed uint64) *World {
	w := New(seed)
	w.ProcessTiming, w.WakeTime, w.NoticeTime = true, 30*time.Millisecond, 5*time.Millisecond
	w.resubmitAt = func(*simInstance, *JobRecord) *simInstance { return w.liveInstance() }
	for i := range 5 {
		w.AddInstance(model.Instance(fmt.Sprintf("edge-%d", i)), w.troubledDomain(i), defaultWeight)
	}
	for i := range 45 {
		w.AddServer(fleet.ServerEntry{
			ID: model.ServerID(fmt.Sprintf("s%02d", i)), Service: Service, Domain: w.troubledDomain(i), Addr: "a",
			Capacity: model.Resources{CPUMilli: 16000, MemoryMB: 65536},
		}, []float64{0.6, 1, 1.6}[i%3])
	}
	return w
}

// drawInstance draws an instance.
func (w *World) drawInstance() *simInstance { return w.instances[w.Rand.IntN(len(w.instances))] }

// liveInstance draws a live instance, which may be stalled, nil if it finds none.
func (w *World) liveInstance() *simInstance {
	for range 20 {
		if n := w.drawInstance(); n.alive {
			return n
		}
	}
	return nil
}

// submitShort submits a job of short tasks.
func (w *World) submitShort() {
	at := w.liveInstance()
	if at == nil {
		return
	}
	work := min(time.Duration(float64(60*time.Millisecond)*w.logNormal(0.8)), 3*time.Second)
	spec := w.Job(Class{Name: "route", Width: 2, MaxWidth: 6, CPU: 5000, MaxCPU: 10000, MaxAttempts: 4}, work)
	w.SubmitUntilAnswered(at.member.Instance, spec, work)
}

// burst submits many jobs at about the same time.
func (w *World) burst() {
	for range burstJobs {
		w.After(w.upTo(burstTime), w.submitShort)
	}
}

// stallMost stalls most instances at about the same time, as on a busy machine.
func (w *World) stallMost(shortest, longest time.Duration) {
	for _, n := range w.instances {
		if w.Rand.Float64() < stalledShare {
			w.After(w.upTo(burstTime), func() { w.stall(n, shortest+w.upTo(longest-shortest)) })
		}
	}
}

// stall stalls an instance for d. All its links are replaced soon after.
func (w *World) stall(n *simInstance, d time.Duration) {
	if !n.alive || n.frozen {
		return
	}
	w.Freeze(n.member.Instance, d)
	for _, o := range w.instances {
		if o != n {
			w.After(d+w.upTo(maxRelinkTime), func() { w.ReplaceLinks(n, o) })
		}
	}
}

// playStalls plays troubles in a stallingWorld.
func playStalls(w *World, mix ...trouble) {
	w.Run(settleTime)
	w.offerJobs(stallingLoad, stallingTime, w.submitShort)
	w.injectTroubles(stallingTime, mix)
	w.Run(stallingTime + stallingQuietTime)
}

// TestStalledInstanceOffersJobToTwoOwners stalls instances while owners decline their
// offers, and replaces their links when they catch up.
func TestStalledInstanceOffersJobToTwoOwners(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newStallingWorld(seed)
			playStalls(w, burstsStall, callersLeave)
			checkInvariants(t, w)
		})
	}
}

// TestTaskRunsOnceWithLongerStalls adds longer stalls, cuts and restarts. Callers submit lost
// jobs again where they ran.
func TestTaskRunsOnceWithLongerStalls(t *testing.T) {
	for _, x := range []trouble{longStalls, freezes, oneWayCuts, restarts} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, seed %d", x.name, seed), func(t *testing.T) {
				t.Parallel()
				w := newStallingWorld(seed)
				resubmitAtOwner(w)
				playStalls(w, burstsStall, callersLeave, x)
				checkInvariants(t, w)
			})
		}
	}
}

// resubmitAtOwner lets callers submit lost jobs again at the instance that last started
// one of their tasks.
func resubmitAtOwner(w *World) {
	owners := map[string]*simInstance{}
	w.onStep = func(name model.Instance, _ fleet.Event, effects []fleet.Effect) {
		for _, x := range effects {
			if x, ok := x.(fleet.StartRun); ok {
				owners[x.Run.Task.Job] = w.instance(name)
			}
		}
	}
	w.resubmitAt = func(_ *simInstance, j *JobRecord) *simInstance {
		if n := owners[j.Spec.ID]; n != nil && n.alive {
			return n
		}
		return w.liveInstance()
	}
}
