// Package soak runs the real program as processes on one machine, disturbs them
// and their links at random, and checks what callers and backend servers see:
// no task runs twice at the same time, no server is filled beyond its capacity,
// what is refused as not run has not run, what is completed has ended well, no
// request is held past its deadline, no configuration goes back, and all is
// served again once the troubles have ended.
package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Options are the settings of a soak.
type Options struct {
	Binary        string // the nutmegweir program
	Dir           string // for settings and logs
	Seed          uint64 // decides troubles and load
	Instances     int
	Servers       int
	JobsPerSecond float64       // jobs
	FaultDuration time.Duration // of the troubles
	ResubmitDelay time.Duration // after which a lost job comes again
	MaxLateness   time.Duration // past its deadline, after which a request counts as held back
}

// Report is what became of a soak.
type Report struct {
	Requests   int
	Completed  int
	Starts     int
	Faults     []string // in the order of their beginnings
	Violations []string // promises, each with what was seen
}

// Times of a soak.
const (
	awaitTimeout      = 30 * time.Second // for what must come; no measure of speed
	pollInterval      = 20 * time.Millisecond
	meanFaultInterval = 700 * time.Millisecond  // between the beginnings of troubles
	minFault          = 200 * time.Millisecond  // least length of a trouble
	maxFault          = 3500 * time.Millisecond // most
)

// Run plays a soak.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := newDeployment(ctx, o)
	if s != nil {
		defer s.killAll()
	}
	if err != nil {
		return Report{}, err
	}
	s.await("every instance is ready", s.allReady)
	playing, stop := context.WithCancel(ctx)
	s.background.Go(func() { s.generateLoad(playing, o) })
	for _, p := range s.processes {
		s.background.Go(func() { s.watchConfig(playing, p) })
	}
	troubles := s.injectFaults(playing, o)
	s.checkRecovery()
	stop()
	s.background.Wait()
	return s.report(troubles), nil
}

// injectFaults begins troubles until the soak's length has passed, and waits until
// all have ended.
func (s *deployment) injectFaults(ctx context.Context, o Options) (names []string) {
	r := rand.New(rand.NewPCG(o.Seed, 1))
	ends := make(chan struct{}, 1024)
	open := 0
	for end := time.Now().Add(o.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(meanFaultInterval)))
		f := faults[r.IntN(len(faults))]
		d := minFault + time.Duration(r.Int64N(int64(maxFault-minFault)))
		names = append(names, f.name)
		over := f.begin(s, r, d)
		open++
		time.AfterFunc(d, func() {
			over()
			ends <- struct{}{}
		})
	}
	for range open {
		<-ends
	}
	return names
}

// checkRecovery checks that all is served again.
func (s *deployment) checkRecovery() {
	s.restartAll()
	s.await("every instance is ready after the troubles", s.allReady)
	s.await("every instance has the newest configuration", func() bool {
		for _, p := range s.processes {
			if !s.hasVersion(p, s.version.Load()) {
				return false
			}
		}
		return true
	})
	r := rand.New(rand.NewPCG(1, 4))
	for _, p := range s.processes {
		s.await("a job of "+string(p.name)+" is completed after the troubles", func() bool {
			ctx, cancel := context.WithTimeout(s.ctx, jobDeadline+s.maxLateness)
			defer cancel()
			q := &request{id: jobID(r), tasks: 1, need: model.Resources{CPUMilli: 500, MemoryMB: 64}}
			s.recorder.submitted(q)
			a := s.submitOnce(ctx, p, q, 10)
			s.recorder.answered(q, a)
			return a.completed
		})
	}
}

func (s *deployment) allReady() bool {
	for _, p := range s.processes {
		if !p.ready() {
			return false
		}
	}
	return true
}

// await notes a broken promise unless something comes true.
func (s *deployment) await(what string, ok func() bool) {
	for end := time.Now().Add(awaitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			s.addViolation("waited in vain until %s", what)
			return
		}
	}
}

func (s *deployment) report(troubles []string) Report {
	capacity := map[model.ServerID]model.Resources{}
	for _, x := range s.servers {
		capacity[x.id] = model.Resources{CPUMilli: serverCPUMilli, MemoryMB: 4096}
	}
	r := Report{Faults: troubles, Violations: s.recorder.check(capacity), Requests: len(s.recorder.requests), Starts: len(s.recorder.runs)}
	for _, q := range s.recorder.requests {
		for _, a := range q.answers {
			if a.completed {
				r.Completed++
				break
			}
		}
	}
	return r
}
