package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/standin/link"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/worker"
)

// fault is a trouble that begins at a call and ends after d.
type fault struct {
	name  string
	begin func(s *deployment, r *rand.Rand, d time.Duration) (end func())
}

var faults = []fault{
	{"instance killed", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		p := s.anyProcess(r)
		p.signal(syscall.SIGKILL, false)
		return func() { s.restart(p) }
	}},
	{"all instances killed", func(s *deployment, _ *rand.Rand, _ time.Duration) func() {
		for _, p := range s.processes {
			p.signal(syscall.SIGKILL, false)
		}
		return func() { s.restartAll() }
	}},
	{"instance paused", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		p := s.anyProcess(r)
		p.signal(syscall.SIGSTOP, false)
		return func() { p.signal(syscall.SIGCONT, true) }
	}},
	{"instance stopped", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		p := s.anyProcess(r)
		p.signal(syscall.SIGTERM, false)
		return func() { s.restart(p) }
	}},
	{"instances stopped in turn", func(s *deployment, _ *rand.Rand, d time.Duration) func() {
		pause := d / time.Duration(len(s.processes))
		for i, p := range s.processes {
			s.runAfter(time.Duration(i)*pause, func() {
				p.signal(syscall.SIGTERM, false)
				s.runAfter(pause, func() { s.restart(p) })
			})
		}
		return func() { s.restartAll() }
	}},
	{"settings changed", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		s.anyProcess(r).signal(syscall.SIGHUP, true)
		return func() {}
	}},
	{"links to an instance disturbed", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		return disturbLink(s.anyProcess(r).peersLink, r)
	}},
	{"link to the store disturbed", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		return disturbLink(s.anyProcess(r).storeLink, r)
	}},
	{"links to servers disturbed", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		return inOrder(disturbLink(s.anyServer(r).link, r), disturbLink(s.anyServer(r).link, r))
	}},
	{"store away", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		s.store.Faults.SetFaults(standin.Faults{Refuse: r.IntN(2) == 0, Hang: true})
		return func() { s.store.Faults.SetFaults(standin.Faults{}) }
	}},
	{"store slow, answers lost", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		s.store.Faults.SetFaults(standin.Faults{LatencyMs: 20 + r.Int64N(150), LoseAnswers: r.IntN(8)})
		return func() { s.store.Faults.SetFaults(standin.Faults{}) }
	}},
	{"store forgets its history", func(s *deployment, _ *rand.Rand, _ time.Duration) func() {
		s.store.Store.Compact()
		return func() {}
	}},
	{"server crashed", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		s.anyServer(r).Restart()
		return func() {}
	}},
	{"server ill", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		x := s.anyServer(r)
		x.SetMode(worker.Mode{Silent: r.IntN(3) == 0, RejectStarts: r.IntN(2) == 0, LoseAnswers: r.IntN(10)})
		return func() { x.SetMode(worker.Mode{}) }
	}},
	{"server hangs or fails", func(s *deployment, r *rand.Rand, _ time.Duration) func() {
		x := s.anyServer(r)
		x.health.Store(int32(hangs + r.Int32N(2)))
		return func() { x.health.Store(healthy) }
	}},
	{"configuration changed", func(s *deployment, _ *rand.Rand, _ time.Duration) func() {
		s.publishConfig()
		return func() {}
	}},
}

// disturbLink sets a fault of a link until the returned function is called.
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
