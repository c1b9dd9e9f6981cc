// Package soak runs the real program as processes on one machine, injects random
// faults into them and their links, and checks what callers and backend servers
// see: no task runs twice at the same time, no server exceeds its capacity, jobs
// rejected as not run have not run, completed jobs have succeeded, no request is
// answered past its deadline, no configuration is reverted, and every instance
// completes jobs again once the faults have ended.
package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Options are the settings of a soak.
type Options struct {
	Binary        string // the nutmegweir program
	Dir           string // for settings and logs
	Seed          uint64 // determines faults and load
	Instances     int
	Servers       int
	JobsPerSecond float64
	JobDeadline   time.Duration // of callers; defaultJobDeadline if 0
	LongestTask   time.Duration // defaultLongestTask if 0
	VanishShare   float64       // share of the submissions whose callers' paths break soon, unnoticed by the instances
	FaultDuration time.Duration // how long new faults are injected
	ResubmitDelay time.Duration // delay before a lost job is resubmitted
	MaxLateness   time.Duration // lateness past its deadline from which an answer is a violation
	Faults        []string      // names of the faults to inject; the usual ones if empty
}

// Defaults of options.
const (
	defaultJobDeadline = 3 * time.Second
	defaultLongestTask = 210 * time.Millisecond
)

// Report is the result of a soak.
type Report struct {
	Requests   int
	Completed  int
	Starts     int
	Faults     []string // in the order of their starts
	Violations []string // each with the observation
}

// Times of a soak.
const (
	awaitTimeout      = 30 * time.Second // timeout of conditions that must come true; not a performance bound
	pollInterval      = 20 * time.Millisecond
	meanFaultInterval = 700 * time.Millisecond  // mean time between the starts of two faults
	minFault          = 200 * time.Millisecond  // shortest duration of a fault
	maxFault          = 3500 * time.Millisecond // longest duration of a fault
)

// Run runs a soak.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chosen, err := faultsNamed(o.Faults)
	if err != nil {
		return Report{}, err
	}
	o.JobDeadline = cmp.Or(o.JobDeadline, defaultJobDeadline)
	o.LongestTask = cmp.Or(o.LongestTask, defaultLongestTask)
	if o.LongestTask.Milliseconds() <= shortestTaskMs {
		return Report{}, errors.Errorf("the longest task must take more than %d ms", shortestTaskMs)
	}
	dep, err := newDeployment(ctx, o)
	if dep != nil {
		defer dep.killAll()
	}
	if err != nil {
		return Report{}, err
	}
	dep.await("every instance is ready", dep.allReady)
	running, stop := context.WithCancel(ctx)
	dep.background.Go(func() { dep.generateLoad(running, o) })
	for _, p := range dep.processes {
		dep.background.Go(func() { dep.watchConfig(running, p) })
	}
	names := dep.injectFaults(running, o, chosen)
	dep.recover()
	stop()
	dep.background.Wait()
	return dep.report(names), nil
}

// injectFaults starts the chosen faults at random until FaultDuration has elapsed, and
// waits until all have ended.
func (dep *deployment) injectFaults(ctx context.Context, o Options, chosen []fault) (names []string) {
	r := rand.New(rand.NewPCG(o.Seed, 1))
	ends := make(chan struct{}, 1024)
	open := 0
	for end := time.Now().Add(o.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(meanFaultInterval)))
		f := chosen[r.IntN(len(chosen))]
		d := between(r, minFault, maxFault)
		names = append(names, f.name)
		endFault := f.begin(dep, r, d)
		open++
		time.AfterFunc(d, func() {
			endFault()
			ends <- struct{}{}
		})
	}
	for range open {
		<-ends
	}
	return names
}

// recover starts stopped instances again and checks that every instance becomes
// ready, has the newest configuration and completes a job.
func (dep *deployment) recover() {
	dep.restartAll()
	dep.await("every instance is ready after the faults", dep.allReady)
	dep.await("every instance has the newest configuration", func() bool {
		for _, p := range dep.processes {
			if !dep.hasVersion(p, dep.version.Load()) {
				return false
			}
		}
		return true
	})
	r := rand.New(rand.NewPCG(1, 4))
	for _, p := range dep.processes {
		dep.await("a job of "+string(p.name)+" is completed after the faults", func() bool {
			ctx, cancel := context.WithTimeout(dep.ctx, dep.jobDeadline+dep.maxLateness)
			defer cancel()
			q := &request{id: jobID(r), tasks: 1, need: model.Resources{CPUMilli: 500, MemoryMB: 64}}
			dep.recorder.submitted(q)
			a := dep.submitOnce(ctx, p, q, 10)
			dep.recorder.answered(q, a)
			return a.completed
		})
	}
}

func (dep *deployment) allReady() bool {
	for _, p := range dep.processes {
		if !p.ready() {
			return false
		}
	}
	return true
}

// await records a violation unless a condition becomes true in time.
func (dep *deployment) await(what string, ok func() bool) {
	for end := time.Now().Add(awaitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			dep.addViolation("timed out waiting until %s", what)
			return
		}
	}
}

func (dep *deployment) report(faultNames []string) Report {
	capacity, domains := map[model.ServerID]model.Resources{}, map[model.ServerID]model.Domain{}
	for i, x := range dep.servers {
		domains[x.id] = dep.domains[i%numDomains]
		capacity[x.id] = model.Resources{CPUMilli: serverCPUMilli, MemoryMB: 4096}
	}
	r := Report{Faults: faultNames, Violations: dep.recorder.check(capacity, domains), Requests: len(dep.recorder.requests), Starts: len(dep.recorder.runs)}
	for _, q := range dep.recorder.requests {
		for _, a := range q.answers {
			if a.completed {
				r.Completed++
				break
			}
		}
	}
	return r
}
