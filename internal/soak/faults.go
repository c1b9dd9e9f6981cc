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
	{"instances stalled", func(dep *deployment, r *rand.Rand, d time.Duration) func() {
		return dep.stall(r, d)
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

// Lengths of a stall, below the gap by which an instance notices that it was paused, and
// of the time between two.
const (
	minStall      = 250 * time.Millisecond
	maxStall      = 390 * time.Millisecond
	maxStallPause = 400 * time.Millisecond
)

// stall stops instances again and again, as a busy machine does, until the returned
// function is called.
func (dep *deployment) stall(r *rand.Rand, d time.Duration) (end func()) {
	stalls := rand.New(rand.NewPCG(r.Uint64(), 5))
	over := time.Now().Add(d)
	dep.background.Go(func() {
		for time.Now().Before(over) {
			p := dep.anyProcess(stalls)
			p.signal(syscall.SIGSTOP, false)
			time.Sleep(minStall + time.Duration(stalls.Int64N(int64(maxStall-minStall))))
			p.signal(syscall.SIGCONT, true)
			time.Sleep(time.Duration(stalls.Int64N(int64(maxStallPause))))
		}
	})
	return func() {}
}

// faultsNamed returns the faults with the given names, all if there are none.
func faultsNamed(names []string) (out []fault, err error) {
	if len(names) == 0 {
		return faults, nil
	}
	for _, name := range names {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.Errorf("no fault is called %q; see internal/soak/faults.go", name)
		}
		out = append(out, faults[i])
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
