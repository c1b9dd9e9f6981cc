package schedbench

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// ReferenceFleet has the size of a current deployment.
var ReferenceFleet = Fleet{Domains: 4, Instances: 8, Servers: 50, Slots: 8, SpeedRange: 1}

const (
	warmUp         = 5 * time.Second
	measuredPeriod = 55 * time.Second
	drainPeriod    = 30 * time.Second
)

// Metric is a measured quantity of a run.
type Metric struct {
	Name  string
	Value float64
}

// Scenario is a run that yields metrics.
type Scenario struct {
	Name string
	Run  func(mode sched.Mode, seed uint64) []Metric
}

// Baseline is a scheduling policy to compare with.
type Baseline struct {
	Name string
	Mode sched.Mode
}

// Baselines are the selectable scheduling policies; the first is the
// production one.
var Baselines = []Baseline{
	{"chosen", sched.Mode{}},
	{"fifo", sched.Mode{FIFO: true, NoReserve: true, NoAdmission: true}},
	{"fifo-no-spill", sched.Mode{FIFO: true, NoReserve: true, NoAdmission: true, NoLending: true}},
	{"random", sched.Mode{RandomServer: true}},
	{"queue-at-server", sched.Mode{QueueAtServer: true}},
	{"no-reserve", sched.Mode{NoReserve: true}},
	{"no-spill", sched.Mode{NoLending: true}},
	{"even-split", sched.Mode{EvenSplit: true}},
}

var Scenarios = []Scenario{
	{"load60", loadRun(0.6, ReferenceFleet, nil)},
	{"load90", loadRun(0.9, ReferenceFleet, nil)},
	{"load90-skew", loadRun(0.9, ReferenceFleet, []float64{4, 3, 2, 1})},
	{"load60-speeds", loadRun(0.6, heterogeneousFleet(), nil)},
	{"load90-speeds", loadRun(0.9, heterogeneousFleet(), nil)},
	{"short-behind-long60", headOfLine(0.6, 0)},
	{"short-behind-long75", headOfLine(0.75, 0)},
	{"short-behind-long85", headOfLine(0.85, 0)},
	{"slow-jobs75", headOfLine(0.75, tasksPerSlowJob)},
	{"slow-jobs85", headOfLine(0.85, tasksPerSlowJob)},
	{"big-jobs", bigJobs},
	{"crest", peakRun(false, nil, nil)},
	{"crest-retry", peakRun(true, nil, nil)},
	{"crest-skew", peakRun(false, []float64{4, 3, 2, 1}, nil)},
	{"crest-cut", peakRun(false, nil, isolateDuringPeak)},
	{"backlog", backlog},
	{"fails-everything", failsEverything},
	{"unreachable", unreachableServer},
	{"leaving", leaving},
	{"domain-lost", domainLost},
	{"cancel-wave", cancelWave},
	{"limit-concurrency", concurrencyLimitRun(nil)},
	{"limit-cut", concurrencyLimitRun(isolateMovedDemand)},
	{"limit-rate", rateLimitRun},
}

func heterogeneousFleet() Fleet {
	f := ReferenceFleet
	f.SpeedRange = 10
	return f
}

// mixedWorkload is the usual mix: short kinds, 2% of several seconds, a few
// stragglers.
func mixedWorkload(load float64) *Workload {
	return &Workload{
		Kinds: withLong(shortKinds(), 4*time.Second, 0.02), Customers: 12, Load: load,
		StragglerShare: 0.002, StragglerFactor: 20, DeclaredErrorFactor: 10, Until: warmUp + measuredPeriod,
	}
}

func loadRun(load float64, f Fleet, domainShares []float64) func(sched.Mode, uint64) []Metric {
	return func(mode sched.Mode, seed uint64) []Metric {
		m := NewSim(f, mode, Weights{}, seed)
		w := mixedWorkload(load)
		w.DomainShares = domainShares
		m.Result.From = virtualEpoch.Add(warmUp)
		m.AddWorkload(w)
		m.Run(w.Until + drainPeriod)
		return []Metric{
			{"mean", Mean(m.Result.All())},
			{"p50", Quantile(m.Result.All(), 0.5)},
			{"p99", Quantile(m.Result.All(), 0.99)},
			{"short-p99", Quantile(m.Result.ShortSlowdowns, 0.99)},
			{"msg/task", m.Result.MessagesPerTask()},
			{"asks", float64(m.Result.SlotRequests) / float64(m.Result.Starts)},
			{"grants", float64(m.Result.Grants) / float64(m.Result.Starts)},
			{"recalls", float64(m.Result.Recalls) / float64(m.Result.Starts)},
			{"per-ask", float64(m.Result.SlotsRequested) / float64(m.Result.SlotRequests)},
			{"per-grant", float64(m.Result.SlotsLent) / float64(m.Result.Grants)},
			{"503", m.Result.RejectionRate()},
		}
	}
}

const tasksPerSlowJob = 100

// headOfLine reports the p99 slowdown of short tasks with and without long jobs,
// under the same short load. load is the total with the long jobs, which are a
// tenth of all jobs. Each long job has the given number of tasks, or a number
// from the usual mix if tasks is 0.
func headOfLine(load float64, tasks int) func(sched.Mode, uint64) []Metric {
	return func(mode sched.Mode, seed uint64) []Metric {
		with := shortRun(mode, seed, load, true, tasks)
		without := shortRun(mode, seed, load, false, tasks)
		a, b := Quantile(with.ShortSlowdowns, 0.99), Quantile(without.ShortSlowdowns, 0.99)
		return []Metric{
			{"short-p99", a},
			{"alone-p99", b},
			{"ratio", a / b},
			{"long-mean", Mean(with.LongSlowdowns)},
			{"msg/task", with.MessagesPerTask()},
		}
	}
}

func shortRun(mode sched.Mode, seed uint64, load float64, long bool, tasks int) *Result {
	m := NewSim(ReferenceFleet, mode, Weights{}, seed)
	all := &Workload{Kinds: withLong(shortKinds(), 4*time.Second, 0.1)}
	short := &Workload{Kinds: shortKinds(), Customers: 12, Until: warmUp + measuredPeriod}
	shortShare := 0.9 * short.meanWork() / all.meanWork()
	short.Load = load * shortShare
	m.AddWorkload(short)
	if long {
		m.AddWorkload(&Workload{Kinds: all.Kinds[len(all.Kinds)-1:], Customers: 12, Load: load * (1 - shortShare), Until: warmUp + measuredPeriod, TasksPerJob: tasks})
	}
	m.Result.From = virtualEpoch.Add(warmUp)
	m.Run(warmUp + measuredPeriod + drainPeriod)
	return &m.Result
}

// bigJobs submits jobs of 630 tasks alongside single-task jobs.
func bigJobs(mode sched.Mode, seed uint64) []Metric {
	m := NewSim(ReferenceFleet, mode, Weights{}, seed)
	w := mixedWorkload(0.5)
	w.SingleTask = true
	m.Result.From = virtualEpoch.Add(warmUp)
	m.AddWorkload(w)
	k := Kind{Name: "k350", Mean: 350 * time.Millisecond, Long: true, Sigma: 0.5}
	for i := range 10 {
		m.At(warmUp+time.Duration(i)*2*time.Second, func() { m.Submit(m.newJob(w, "c0", &k, 630)) })
	}
	m.Run(w.Until + drainPeriod)
	return []Metric{
		{"single-mean", Mean(m.Result.ShortSlowdowns)},
		{"single-p99", Quantile(m.Result.ShortSlowdowns, 0.99)},
		{"big-task-mean", Mean(m.Result.LongSlowdowns)},
		{"msg/task", m.Result.MessagesPerTask()},
		{"503", m.Result.RejectionRate()},
	}
}
