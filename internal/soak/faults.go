package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/standin/link"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/worker"
)

// fault is a fault to inject: begin starts it, and end, called after d, ends it.
type fault struct {
	name  string
	begin func(dep *deployment, r *rand.Rand, d time.Duration) (end func())
}

var faults = []fault{
	{"instance killed", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		p := dep.anyProcess(r)
		p.signal(syscall.SIGKILL, false)
		return func() { dep.restart(p) }
	}},
	{"all instances killed", func(dep *deployment, _ *rand.Rand, _ time.Duration) func() {
		for _, p := range dep.processes {
			p.signal(syscall.SIGKILL, false)
		}
		return func() { dep.restartAll() }
	}},
	{"instance paused", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		p := dep.anyProcess(r)
		p.signal(syscall.SIGSTOP, false)
		return func() { p.signal(syscall.SIGCONT, true) }
	}},
	{"instance stopped", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		p := dep.anyProcess(r)
		p.signal(syscall.SIGTERM, false)
		return func() { dep.restart(p) }
	}},
	{"rolling restart", func(dep *deployment, _ *rand.Rand, d time.Duration) func() {
		pause := d / time.Duration(len(dep.processes))
		for i, p := range dep.processes {
			dep.runAfter(time.Duration(i)*pause, func() {
				p.signal(syscall.SIGTERM, false)
				dep.runAfter(pause, func() { dep.restart(p) })
			})
		}
		return func() { dep.restartAll() }
	}},
	{"settings reloaded", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		dep.anyProcess(r).signal(syscall.SIGHUP, true)
		return func() {}
	}},
	{"links to an instance disturbed", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		return disturbLink(dep.anyProcess(r).peersLink, r)
	}},
	{"link to the store disturbed", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		return disturbLink(dep.anyProcess(r).storeLink, r)
	}},
	{"links to servers disturbed", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		return inOrder(disturbLink(dep.anyServer(r).link, r), disturbLink(dep.anyServer(r).link, r))
	}},
	{"store unavailable", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		dep.store.Faults.SetFaults(standin.Faults{Refuse: r.IntN(2) == 0, Hang: true})
		return func() { dep.store.Faults.SetFaults(standin.Faults{}) }
	}},
	{"store slow, answers lost", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		dep.store.Faults.SetFaults(standin.Faults{LatencyMs: 20 + r.Int64N(150), LoseAnswers: r.IntN(8)})
		return func() { dep.store.Faults.SetFaults(standin.Faults{}) }
	}},
	{"store history compacted", func(dep *deployment, _ *rand.Rand, _ time.Duration) func() {
		dep.store.Store.Compact()
		return func() {}
	}},
	{"server crashed", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		dep.anyServer(r).Restart()
		return func() {}
	}},
	{"server calls disturbed", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		x := dep.anyServer(r)
		x.SetMode(worker.Mode{Silent: r.IntN(3) == 0, RejectStarts: r.IntN(2) == 0, LoseAnswers: r.IntN(10)})
		return func() { x.SetMode(worker.Mode{}) }
	}},
	{"server runs hang or fail", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		x := dep.anyServer(r)
		x.health.Store(int32(hangs + r.Int32N(2)))
		return func() { x.health.Store(healthy) }
	}},
	{"configuration changed", func(dep *deployment, _ *rand.Rand, _ time.Duration) func() {
		dep.publishConfig()
		return func() {}
	}},
}

// namedFaults are injected only if they are chosen by name, so that seeds without a choice
// keep their faults.
var namedFaults = []fault{
	{"instances stalled", func(dep *deployment, r *rand.Rand, d time.Duration) func() {
		return dep.stall(r, d)
	}},
	{"instances stalled behind held messages", func(dep *deployment, r *rand.Rand, d time.Duration) func() {
		return dep.holdAndStall(r, d)
	}},
	{"domain evacuated", func(dep *deployment, r *rand.Rand, _ time.Duration) func() {
		dep.evacuate(dep.domains[r.IntN(len(dep.domains))])
		return func() {}
	}},
	{"callers cut off unnoticed", func(dep *deployment, _ *rand.Rand, _ time.Duration) func() {
		for _, p := range dep.processes {
			p.callersLink.SetMode(link.Mode{Cut: true})
		}
		return func() {}
	}},
}

// Lengths of a stall, below the gap by which an instance notices that it was paused, and
// of the time between two.
const (
	minStall      = 250 * time.Millisecond
	maxStall      = 390 * time.Millisecond
	maxStallPause = 400 * time.Millisecond
)

// Lengths of a hold and of the stall after it. Together they are shorter than the silence
// after which an instance gives others up.
const (
	minHold      = 150 * time.Millisecond
	maxHold      = 270 * time.Millisecond
	maxHeldStall = 300 * time.Millisecond
	// deliveryTime lets the messages reach a stalled instance.
	deliveryTime  = 10 * time.Millisecond
	minStallPause = 80 * time.Millisecond
	maxResetDelay = 20 * time.Millisecond
)

// stall stops instances again and again, as a busy machine does, until the returned
// function is called.
func (dep *deployment) stall(r *rand.Rand, d time.Duration) (end func()) {
	return dep.repeat(r, d, func(own *rand.Rand) {
		p := dep.anyProcess(own)
		p.signal(syscall.SIGSTOP, false)
		time.Sleep(between(own, minStall, maxStall))
		p.signal(syscall.SIGCONT, true)
		time.Sleep(between(own, 0, maxStallPause))
	})
}

// holdAndStall holds back the messages to some instances, stops these, and delivers the
// messages before they continue, so that they handle a backlog while they lag behind
// their input. Then it resets the links to the others. It repeats that until the returned
// function is called.
func (dep *deployment) holdAndStall(r *rand.Rand, d time.Duration) (end func()) {
	return dep.repeat(r, d, func(own *rand.Rand) {
		dep.holding.Lock()
		defer dep.holding.Unlock()
		all := slices.Clone(dep.processes)
		own.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		n := 1 + own.IntN(len(all)/2)
		stalled, others := all[:n], all[n:]
		setModes(stalled, link.Mode{Silent: true})
		time.Sleep(between(own, minHold, maxHold))
		for _, p := range stalled {
			p.signal(syscall.SIGSTOP, false)
		}
		time.Sleep(between(own, minStall, maxHeldStall))
		setModes(stalled, link.Mode{})
		time.Sleep(deliveryTime)
		for _, p := range stalled {
			p.signal(syscall.SIGCONT, true)
		}
		time.Sleep(between(own, 0, maxResetDelay))
		setModes(others, link.Mode{Reset: true})
		time.Sleep(between(own, minStallPause, maxStallPause/2))
	})
}

// setModes sets the fault of the links to some instances.
func setModes(to []*process, m link.Mode) {
	for _, p := range to {
		p.peersLink.SetMode(m)
	}
}

// repeat calls once again and again in the background for d.
func (dep *deployment) repeat(r *rand.Rand, d time.Duration, once func(own *rand.Rand)) (end func()) {
	own := rand.New(rand.NewPCG(r.Uint64(), 5))
	over := time.Now().Add(d)
	dep.background.Go(func() {
		for time.Now().Before(over) {
			once(own)
		}
	})
	return func() {}
}

// between returns a random duration from low to below high.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// faultsNamed returns the faults with the given names, those of faults if there are none.
func faultsNamed(names []string) (out []fault, err error) {
	if len(names) == 0 {
		return faults, nil
	}
	known := slices.Concat(faults, namedFaults)
	for _, name := range names {
		i := slices.IndexFunc(known, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.Errorf("no fault is called %q; see internal/soak/faults.go", name)
		}
		out = append(out, known[i])
	}
	return out, nil
}

// disturbLink injects a random fault into a link until the returned function is
// called.
func disturbLink(l *link.Link, r *rand.Rand) func() {
	modes := []link.Mode{{Silent: true}, {OneWay: true}, {Forget: true}, {Reset: true}, {DelayMs: 1 + r.Int64N(60)}}
	l.SetMode(modes[r.IntN(len(modes))])
	return func() { l.SetMode(link.Mode{}) }
}

func inOrder(fs ...func()) func() {
	return func() {
		for _, f := range fs {
			f()
		}
	}
}
