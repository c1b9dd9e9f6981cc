// Package capacity measures how the cost of the pure cores grows with the size
// of the fleet. It drives the cores in virtual time with fakes at their
// interfaces and writes the raw figures that docs/CAPACITY.md is based on.
package capacity

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Fleet is the fleet size of a measurement.
type Fleet struct {
	Workers   int `json:"workers"`
	Customers int `json:"customers"`
	Instances int `json:"instances"`
	Domains   int `json:"domains"`
	JobTasks  int `json:"job_tasks"`
}

// BaseFleet is the current fleet size, from which the sweeps start.
var BaseFleet = Fleet{Workers: 50, Customers: 10, Instances: 8, Domains: 4, JobTasks: 1}

// TargetFleet is the target fleet size, limited to what fits in one process.
var TargetFleet = Fleet{Workers: 1200, Customers: 120, Instances: 48, Domains: 6, JobTasks: 10}

// Sweep is a list of fleet sizes that differ in one dimension.
type Sweep struct {
	Name   string
	Fleets []Fleet
}

// Sweeps returns the fleet sizes to measure: BaseFleet varied in one dimension at
// a time, then TargetFleet.
func Sweeps() []Sweep {
	vary := func(name string, set func(*Fleet, int), values ...int) Sweep {
		s := Sweep{Name: name}
		for _, v := range values {
			f := BaseFleet
			set(&f, v)
			s.Fleets = append(s.Fleets, f)
		}
		return s
	}
	return []Sweep{
		vary("workers", func(f *Fleet, v int) { f.Workers = v }, 50, 200, 400, 1200),
		vary("customers", func(f *Fleet, v int) { f.Customers = v }, 10, 40, 120),
		vary("instances", func(f *Fleet, v int) { f.Instances, f.Domains = v, min(v, BaseFleet.Domains) }, 2, 4, 8, 16, 32, 48),
		vary("domains", func(f *Fleet, v int) { f.Domains, f.Instances = v, 12 }, 1, 2, 3, 4, 6),
		vary("job-tasks", func(f *Fleet, v int) { f.JobTasks = v }, 1, 10, 100, 630),
		{Name: "target", Fleets: []Fleet{TargetFleet}},
	}
}

func domainName(i int) model.Domain { return model.Domain(fmt.Sprintf("d%d", i)) }

func instanceName(i int) model.Instance { return model.Instance(fmt.Sprintf("i%02d", i)) }

func customerName(i int) model.Customer { return model.Customer(fmt.Sprintf("c%03d", i)) }

// heapBytes returns the live heap after a collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// repetitions is how often a measurement is repeated; the one with the median
// time is used, because other processes share the machine.
const repetitions = 3

// medianRun repeats a measurement and returns the one with the median time.
func medianRun[F any](measure func() F, time func(F) float64) F {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var results []F
	for range repetitions {
		results = append(results, measure())
	}
	slices.SortFunc(results, func(a, b F) int { return cmp.Compare(time(a), time(b)) })
	return results[repetitions/2]
}

// stopwatch sums the CPU time of the thread spent in calls of a core, without the
// cost of reading the clock and without time in which the thread was preempted.
type stopwatch struct {
	calls int64
	total time.Duration
}

func (s *stopwatch) measure(f func()) {
	begin := threadTime()
	f()
	s.total += threadTime() - begin
	s.calls++
}

// threadTime returns the CPU time used by this thread.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err) // Linux always has this clock
	}
	return time.Duration(t.Nano())
}

// measureClockOverhead returns the measured time of an empty call.
func measureClockOverhead() time.Duration {
	const calls = 100_000
	var s stopwatch
	for range calls {
		s.measure(func() {})
	}
	return s.total / calls
}

// netTime returns the time spent in the core, without the clock overhead.
func (s *stopwatch) netTime(overhead time.Duration) time.Duration {
	return max(0, s.total-time.Duration(s.calls)*overhead)
}
