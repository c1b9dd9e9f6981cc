package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// Fixed parameters of a scheduler measurement.
const (
	slotsPerServer   = 8
	offeredLoad      = 0.85 // share of the slots
	minTaskRun       = 50 * time.Millisecond
	maxTaskRun       = 600 * time.Millisecond
	oneWayDelay      = time.Millisecond
	warmUpTime       = time.Second
	measuredTime     = 2 * time.Second
	idleMeasuredTime = 5 * time.Second
	kindsPerFleet    = 4
	measureSeed      = 1
)

// SchedResult is the cost at one fleet size.
type SchedResult struct {
	Sweep string `json:"sweep"`
	Fleet
	Steps            int64   `json:"steps"`
	StepNs           float64 `json:"step_ns"`
	StartNs          float64 `json:"start_ns"`   // core time of all steps divided by the starts
	CoreShare        float64 `json:"core_share"` // share of a CPU core per instance, at the offered load
	IdleShare        float64 `json:"idle_share"` // the same without jobs
	Starts           int64   `json:"starts"`
	StartsASecond    float64 `json:"starts_a_second"`
	Refusals         int64   `json:"refusals"` // starts rejected by a full server
	Rejected         int64   `json:"rejected"` // jobs not admitted
	MessagesPerStart float64 `json:"messages_per_start"`
	BytesPerStart    float64 `json:"bytes_per_start"`
	BytesASecond     float64 `json:"bytes_a_second"`      // sent per instance, at the offered load
	IdleBytesASecond float64 `json:"idle_bytes_a_second"` // sent per instance, without jobs
	HeapBytes        int64   `json:"heap_bytes"`          // per instance
}

// MeasureSched drives one scheduler for each instance at offeredLoad.
func MeasureSched(sweep string, f Fleet) SchedResult {
	return medianRun(
		func() SchedResult { return measureSched(sweep, f) },
		func(f SchedResult) float64 { return f.StepNs },
	)
}

func measureSched(sweep string, f Fleet) SchedResult {
	overhead := measureClockOverhead()
	idle := newSchedBench(f)
	idle.start()
	idle.run(0, idleMeasuredTime)
	b := newSchedBench(f)
	b.start()
	b.scheduleArrivals(warmUpTime + measuredTime)
	b.run(warmUpTime, warmUpTime+measuredTime)
	r := b.result(sweep, overhead)
	seconds := idleMeasuredTime.Seconds() * float64(f.Instances)
	r.IdleShare = idle.coreTime.netTime(overhead).Seconds() / seconds
	r.IdleBytesASecond = float64(idle.bytes) / seconds
	r.HeapBytes = b.heapPerScheduler()
	return r
}

// schedBench has schedulers, fake backend servers and a fake network.
type schedBench struct {
	fleet      Fleet
	timeline   timeline
	rng        *rand.Rand
	schedulers []*sched.Scheduler
	domains    []model.Domain // of each scheduler
	index      map[model.Instance]int
	busy       map[model.ServerID]int
	handle     model.JobHandle
	coreTime   stopwatch
	starts     int64
	refusals   int64
	rejected   int64
	messages   int64
	bytes      int64
}

type equalWeights struct{}

func (equalWeights) Row(model.Customer, model.Kind) sched.PolicyRow {
	return sched.PolicyRow{Weight: 1}
}

func newSchedBench(f Fleet) *schedBench {
	b := &schedBench{
		fleet: f,
		rng:   rand.New(rand.NewPCG(measureSeed, uint64(f.Workers))),
		index: make(map[model.Instance]int),
		busy:  make(map[model.ServerID]int),
	}
	b.timeline.now = model.Time(time.Hour)
	for i := range f.Instances {
		d := domainName(i % f.Domains)
		b.domains = append(b.domains, d)
		b.index[instanceName(i)] = i
		b.schedulers = append(b.schedulers, sched.New(sched.Options{
			Self: instanceName(i), Domain: d, Seed: uint64(i), Policy: equalWeights{},
		}))
	}
	return b
}

func (b *schedBench) servers() []sched.Server {
	var list []sched.Server
	for i := range b.fleet.Workers {
		list = append(list, sched.Server{
			ID:        model.ServerID("s" + instanceName(i)),
			Domain:    domainName(i % b.fleet.Domains),
			Addr:      "127.0.0.1:1",
			Slots:     slotsPerServer,
			Resources: model.Resources{CPUMilli: 32_000, MemoryMB: 64_000},
		})
	}
	return list
}

func (b *schedBench) start() {
	servers := b.servers()
	for i, n := range b.schedulers {
		n.SetPeers(b.timeline.now, b.peersOf(i))
		n.SetServers(b.timeline.now, servers)
		b.flush(i)
		// The ticks of the instances are spread over the interval.
		phase := sched.TickInterval * time.Duration(i) / time.Duration(len(b.schedulers))
		b.timeline.schedule(b.timeline.now.Add(phase), func() { b.tick(i) })
	}
}

func (b *schedBench) peersOf(self int) []sched.Peer {
	var list []sched.Peer
	for i := range b.schedulers {
		if i != self {
			list = append(list, sched.Peer{ID: instanceName(i), Domain: b.domains[i]})
		}
	}
	return list
}

func (b *schedBench) tick(i int) {
	b.step(i, func(n *sched.Scheduler) { n.Tick(b.timeline.now) })
	b.timeline.schedule(b.timeline.now.Add(sched.TickInterval), func() { b.tick(i) })
}

// scheduleArrivals schedules Poisson arrivals of jobs at random instances.
func (b *schedBench) scheduleArrivals(duration time.Duration) {
	mean := (maxTaskRun - minTaskRun).Seconds() / math.Log(maxTaskRun.Seconds()/minTaskRun.Seconds())
	slots := float64(b.fleet.Workers * slotsPerServer)
	rate := offeredLoad * slots / mean / float64(b.fleet.JobTasks)
	end := b.timeline.now.Add(duration)
	var next func()
	next = func() {
		b.submit(b.rng.IntN(len(b.schedulers)))
		gap := time.Duration(b.rng.ExpFloat64() / rate * float64(time.Second))
		if at := b.timeline.now.Add(gap); at < end {
			b.timeline.schedule(at, next)
		}
	}
	b.timeline.schedule(b.timeline.now, next)
}

func (b *schedBench) submit(i int) {
	b.handle++
	j := sched.Job{
		Handle:   b.handle,
		Customer: customerName(b.rng.IntN(b.fleet.Customers)),
		Kind:     model.Kind([]string{"k0", "k1", "k2", "k3"}[b.rng.IntN(kindsPerFleet)]),
		Tasks:    b.fleet.JobTasks,
		Needs:    model.Resources{CPUMilli: 1000, MemoryMB: 1000},
	}
	b.step(i, func(n *sched.Scheduler) {
		if n.Submit(b.timeline.now, j).Reason != sched.ReasonNone {
			b.rejected++
		}
	})
}

// step makes one timed call and applies the output of the core.
func (b *schedBench) step(i int, f func(*sched.Scheduler)) {
	n := b.schedulers[i]
	var out sched.Output
	b.coreTime.measure(func() {
		f(n)
		out = n.Ready()
	})
	b.applyOutput(i, out)
}

func (b *schedBench) flush(i int) { b.applyOutput(i, b.schedulers[i].Ready()) }

func (b *schedBench) applyOutput(i int, out sched.Output) {
	for _, st := range out.Starts {
		b.startTask(i, st)
	}
	for _, s := range out.Messages {
		b.send(i, s)
	}
}

func (b *schedBench) startTask(i int, st sched.Start) {
	if b.busy[st.Server] >= slotsPerServer {
		b.refusals++
		b.scheduleDone(i, st, sched.OutcomeNotStarted, 2*oneWayDelay)
		return
	}
	b.busy[st.Server]++
	b.starts++
	run := time.Duration(float64(minTaskRun) * math.Exp(b.rng.Float64()*math.Log(float64(maxTaskRun)/float64(minTaskRun))))
	b.timeline.schedule(b.timeline.now.Add(oneWayDelay+run), func() { b.busy[st.Server]-- })
	b.scheduleDone(i, st, sched.OutcomeOK, 2*oneWayDelay+run)
}

func (b *schedBench) scheduleDone(i int, st sched.Start, o sched.Outcome, after time.Duration) {
	b.timeline.schedule(b.timeline.now.Add(after), func() {
		b.step(i, func(n *sched.Scheduler) { n.Done(b.timeline.now, st, o, after) })
	})
}

func (b *schedBench) send(from int, s sched.OutboundMessage) {
	b.messages++
	b.bytes += int64(proto.Size(frameOf(s.Message)))
	to := b.index[s.To]
	message := proto.Clone(s.Message).(*peerpb.SchedMessage)
	b.timeline.schedule(b.timeline.now.Add(oneWayDelay), func() {
		b.step(to, func(n *sched.Scheduler) { n.Receive(b.timeline.now, instanceName(from), message) })
	})
}

// frameOf wraps a message in a frame of its own.
func frameOf(m *peerpb.SchedMessage) *peerpb.Frame {
	return &peerpb.Frame{Messages: []*peerpb.Message{{Body: &peerpb.Message_Sched{Sched: m}}}}
}

// run advances to the end and counts from the end of the warm-up.
func (b *schedBench) run(from, to time.Duration) {
	begin := b.timeline.now
	b.timeline.runUntil(begin.Add(from))
	b.coreTime = stopwatch{}
	b.starts, b.refusals, b.rejected, b.messages, b.bytes = 0, 0, 0, 0, 0
	b.timeline.runUntil(begin.Add(to))
}

func (b *schedBench) result(sweep string, overhead time.Duration) SchedResult {
	core := b.coreTime.netTime(overhead)
	instanceSeconds := measuredTime.Seconds() * float64(len(b.schedulers))
	starts := math.Max(1, float64(b.starts))
	return SchedResult{
		Sweep:            sweep,
		Fleet:            b.fleet,
		Steps:            b.coreTime.calls,
		StepNs:           float64(core.Nanoseconds()) / float64(b.coreTime.calls),
		StartNs:          float64(core.Nanoseconds()) / starts,
		CoreShare:        core.Seconds() / instanceSeconds,
		Starts:           b.starts,
		StartsASecond:    float64(b.starts) / measuredTime.Seconds(),
		Refusals:         b.refusals,
		Rejected:         b.rejected,
		MessagesPerStart: float64(b.messages) / starts,
		BytesPerStart:    float64(b.bytes) / starts,
		BytesASecond:     float64(b.bytes) / instanceSeconds,
	}
}

// heapPerScheduler returns the heap of one scheduler at the end of the run.
func (b *schedBench) heapPerScheduler() int64 {
	b.timeline = timeline{}
	with := heapBytes()
	n := int64(len(b.schedulers))
	b.schedulers = nil
	return (with - heapBytes()) / n
}
