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
	patience     = 30 * time.Second // for what must come; no measure of speed
	pollPause    = 20 * time.Millisecond
	meanPause    = 700 * time.Millisecond  // between the beginnings of troubles
	shortTrouble = 200 * time.Millisecond  // least length of a trouble
	longTrouble  = 3500 * time.Millisecond // most
)

// Run plays a soak.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := build(ctx, o)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return Report{}, err
	}
	s.await("every instance is ready", s.allReady)
	playing, stop := context.WithCancel(ctx)
	s.tasks.Go(func() { s.load(playing, o) })
	for _, p := range s.processes {
		s.tasks.Go(func() { s.watchConfig(playing, p) })
	}
	troubles := s.trouble(playing, o)
	s.recover()
	stop()
	s.tasks.Wait()
	return s.report(troubles), nil
}

// trouble begins troubles until the soak's length has passed, and waits until
// all have ended.
func (s *site) trouble(ctx context.Context, o Options) (names []string) {
	r := rand.New(rand.NewPCG(o.Seed, 1))
	ends := make(chan struct{}, 1024)
	open := 0
	for end := time.Now().Add(o.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(meanPause)))
		f := faults[r.IntN(len(faults))]
		d := shortTrouble + time.Duration(r.Int64N(int64(longTrouble-shortTrouble)))
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

// recover checks that all is served again.
func (s *site) recover() {
	s.restartAll()
	s.await("every instance is ready after the troubles", s.allReady)
	s.await("every instance has the newest configuration", func() bool {
		for _, p := range s.processes {
			if !s.inForce(p, s.version.Load()) {
				return false
			}
		}
		return true
	})
	r := rand.New(rand.NewPCG(1, 4))
	for _, p := range s.processes {
		s.await("a job of "+string(p.name)+" is completed after the troubles", func() bool {
			ctx, cancel := context.WithTimeout(s.ctx, deadline+s.held)
			defer cancel()
			q := &request{id: jobID(r), tasks: 1, need: model.Resources{CPUMilli: 500, MemoryMB: 64}}
			s.book.submitted(q)
			a := s.try(ctx, p, q, 10)
			s.book.answered(q, a)
			return a.done
		})
	}
}

func (s *site) allReady() bool {
	for _, p := range s.processes {
		if !p.ready() {
			return false
		}
	}
	return true
}

// await notes a broken promise unless something comes true.
func (s *site) await(what string, ok func() bool) {
	for end := time.Now().Add(patience); !ok(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			s.fault("waited in vain until %s", what)
			return
		}
	}
}

func (s *site) report(troubles []string) Report {
	capacity := map[model.ServerID]model.Resources{}
	for _, x := range s.servers {
		capacity[x.id] = model.Resources{CPUMilli: serverCPU, MemoryMB: 4096}
	}
	r := Report{Faults: troubles, Violations: s.book.judge(capacity), Requests: len(s.book.requests), Starts: len(s.book.spans)}
	for _, q := range s.book.requests {
		for _, a := range q.answers {
			if a.done {
				r.Completed++
				break
			}
		}
	}
	return r
}
