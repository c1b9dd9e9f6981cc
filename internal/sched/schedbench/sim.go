// Package schedbench runs several schedulers in virtual time against fake
// backend servers, to compare scheduling policies. It models neither
// replication nor callers' connections.
package schedbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/agenda"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

const (
	peerDelay           = time.Millisecond       // one way, between instances
	localServerDelay    = 500 * time.Microsecond // one way, to a server of the same domain
	remoteServerDelay   = time.Millisecond       // one way, to a server of another domain
	connectTimeout      = time.Second            // for starts on an unreachable server
	serverListLag       = time.Second            // until instances see a change of the server list
	peerListLag         = 2 * time.Second        // until instances see that a peer joined or left
	failureResponseTime = 2 * time.Millisecond   // of a server that fails every task
	virtualEpoch        = model.Time(1_800_000_000 * int64(time.Second))
	pcgStream           = 7
)

// fakeServer runs tasks on its slots and rejects excess starts.
type fakeServer struct {
	sched.Server
	slowness     float64 // run time relative to a server of speed 1
	running      int
	maxRunning   int
	failing      bool
	unreachable  bool
	starts       int
	startsBefore int
	queue        []func() // only if tasks queue at the server
}

// instance is a simulated instance.
type instance struct {
	id          model.Instance
	domain      model.Domain
	s           *sched.Scheduler
	dead        bool
	incarnation int // number of processes started
}

// task is a task of the workload with its sampled run time.
type task struct {
	job  *job
	work time.Duration // on a server of slowness 1
	done bool
	runs int
}

// job is a job of the workload.
type job struct {
	sched.Job
	firstSubmittedAt model.Time
	submittedAt      model.Time // latest submission
	inst             *instance
	tasks            []task
	tasksLeft        int
	attempt          int
	cancelled        bool
	long             bool
	dropped          bool
}

// Sim is one simulation run.
type Sim struct {
	Now             model.Time
	rng             *rand.Rand
	events          agenda.Queue[model.Time, func()]
	servers         []*fakeServer
	byID            map[model.ServerID]*fakeServer
	instances       []*instance
	jobs            map[model.JobHandle]*job
	handle          model.JobHandle
	mode            sched.Mode
	policy          sched.Policy
	seed            uint64
	isolated        map[model.Domain]bool // domains isolated from the others
	lossRate        float64               // fraction of messages lost
	duplicationRate float64               // fraction of messages duplicated
	maxExtraDelay   time.Duration         // random, per message
	honorRetryAfter bool                  // callers resubmit after Retry-After
	onStart         func(st sched.Start, j *job)
	running         map[model.Customer]int // tasks started and not answered
	maxRunning      map[model.Customer]int

	Result Result
}

// Fleet is the number and kind of servers and instances.
type Fleet struct {
	Domains    int
	Instances  int
	Servers    int
	Slots      int
	SpeedRange float64 // slowest to fastest run time, 1 for equal servers
}

// NewSim builds a fleet in which every instance knows all others.
func NewSim(f Fleet, mode sched.Mode, policy sched.Policy, seed uint64) *Sim {
	m := &Sim{
		Now: virtualEpoch, rng: rand.New(rand.NewPCG(seed, pcgStream)),
		byID: make(map[model.ServerID]*fakeServer), jobs: make(map[model.JobHandle]*job),
		mode: mode, policy: policy, seed: seed, isolated: make(map[model.Domain]bool),
		running: make(map[model.Customer]int), maxRunning: make(map[model.Customer]int),
	}
	m.Result.init()
	m.addServers(f)
	for i := range f.Instances {
		d := domainName(i % f.Domains)
		in := &instance{id: model.Instance(fmt.Sprintf("%s-entry-%d", d, i)), domain: d}
		m.instances = append(m.instances, in)
	}
	for i, in := range m.instances {
		m.boot(in, uint64(i))
	}
	return m
}

func domainName(i int) model.Domain { return model.Domain(string(rune('a' + i))) }

func (m *Sim) addServers(f Fleet) {
	for i := range f.Servers {
		slow := 1.0
		if f.SpeedRange > 1 {
			slow = serverSlowness(f.SpeedRange, i, f.Servers)
		}
		v := &fakeServer{slowness: slow, Server: sched.Server{
			ID: model.ServerID(fmt.Sprintf("srv-%03d", i)), Domain: domainName(i % f.Domains),
			Slots: f.Slots, Resources: model.Resources{CPUMilli: 32000, MemoryMB: 64000},
		}}
		m.servers = append(m.servers, v)
		m.byID[v.ID] = v
	}
}

// boot starts a process of an instance.
func (m *Sim) boot(in *instance, salt uint64) {
	in.incarnation++
	in.dead = false
	in.s = sched.New(sched.Options{
		Self: in.id, Domain: in.domain, Seed: m.seed*1000 + salt + uint64(in.incarnation)*100,
		Policy: m.policy, Mode: m.mode,
	})
	in.s.SetServers(m.Now, m.serverList())
	in.s.SetPeers(m.Now, m.peersOf(in))
	m.handleOutput(in)
	incarnation := in.incarnation
	m.after(time.Duration(salt)*2*time.Millisecond, func() { m.tick(in, incarnation) })
}

func (m *Sim) serverList() []sched.Server {
	list := make([]sched.Server, 0, len(m.servers))
	for _, v := range m.servers {
		list = append(list, v.Server)
	}
	return list
}

func (m *Sim) peersOf(in *instance) []sched.Peer {
	var list []sched.Peer
	for _, p := range m.instances {
		if p != in && !p.dead && m.connected(in.domain, p.domain) {
			list = append(list, sched.Peer{ID: p.id, Domain: p.domain})
		}
	}
	return list
}

func (m *Sim) connected(a, b model.Domain) bool {
	return a == b || (!m.isolated[a] && !m.isolated[b])
}

func (m *Sim) after(d time.Duration, do func()) {
	m.events.Push(m.Now.Add(d), do)
}

// At schedules do at an offset from the start.
func (m *Sim) At(d time.Duration, do func()) {
	m.events.Push(virtualEpoch.Add(d), do)
}

// Run runs the simulation until an offset from the start.
func (m *Sim) Run(until time.Duration) {
	end := virtualEpoch.Add(until)
	for m.events.Len() > 0 && m.events.NextAt() <= end {
		at, do := m.events.Pop()
		m.Now = at
		do()
	}
	m.Now = end
}

func (m *Sim) tick(in *instance, incarnation int) {
	if in.dead || in.incarnation != incarnation {
		return
	}
	in.s.Tick(m.Now)
	m.handleOutput(in)
	m.after(sched.TickInterval, func() { m.tick(in, incarnation) })
}

// handleOutput carries out a scheduler's pending output.
func (m *Sim) handleOutput(in *instance) {
	out := in.s.Ready()
	for _, x := range out.Messages {
		m.send(in, x)
	}
	for _, d := range out.Drops {
		m.recordDrop(m.jobs[d.Job])
	}
	for _, st := range out.Starts {
		m.start(in, st)
	}
}

func (m *Sim) send(in *instance, x sched.OutboundMessage) {
	m.Result.recordMessage(x.Message)
	if m.lossRate > 0 && m.rng.Float64() < m.lossRate {
		return
	}
	copies := 1
	if m.duplicationRate > 0 && m.rng.Float64() < m.duplicationRate {
		copies = 2
	}
	for range copies {
		d := peerDelay
		if m.maxExtraDelay > 0 {
			d += time.Duration(m.rng.Int64N(int64(m.maxExtraDelay)))
		}
		m.after(d, func() { m.deliver(in, x.To, x.Message) })
	}
}

func (m *Sim) deliver(from *instance, to model.Instance, msg *peerpb.SchedMessage) {
	for _, p := range m.instances {
		if p.id == to && !p.dead && m.connected(from.domain, p.domain) {
			p.s.Receive(m.Now, from.id, msg)
			m.handleOutput(p)
		}
	}
}

func (m *Sim) serverDelay(in *instance, v *fakeServer) time.Duration {
	if in.domain == v.Domain {
		return localServerDelay
	}
	return remoteServerDelay
}

func (m *Sim) start(in *instance, st sched.Start) {
	j := m.jobs[st.Job]
	v := m.byID[st.Server]
	m.Result.Starts++
	m.running[j.Customer]++
	m.maxRunning[j.Customer] = max(m.maxRunning[j.Customer], m.running[j.Customer])
	if m.onStart != nil {
		m.onStart(st, j)
	}
	if j.cancelled {
		m.Result.StartsAfterCancel++
	}
	v.starts++
	d := m.serverDelay(in, v)
	if v.unreachable || !m.connected(in.domain, v.Domain) {
		m.sendOutcome(in, st, sched.OutcomeUnreachable, connectTimeout, m.Now)
		return
	}
	sent := m.Now
	m.after(d, func() { m.startArrived(in, st, v, d, sent) })
}

func (m *Sim) startArrived(in *instance, st sched.Start, v *fakeServer, back time.Duration, sent model.Time) {
	if v.running >= v.Slots {
		if m.mode.QueueAtServer {
			v.queue = append(v.queue, func() { m.runTask(in, st, v, back, sent) })
			return
		}
		m.Result.Rejected503++
		m.sendOutcome(in, st, sched.OutcomeNotStarted, back, sent)
		return
	}
	m.runTask(in, st, v, back, sent)
}

func (m *Sim) runTask(in *instance, st sched.Start, v *fakeServer, back time.Duration, sent model.Time) {
	j := m.jobs[st.Job]
	t := &j.tasks[st.Index]
	t.runs++
	if t.runs > 1 {
		m.Result.DoubleStarts++
	}
	v.running++
	v.maxRunning = max(v.maxRunning, v.running)
	d := time.Duration(float64(t.work) * v.slowness)
	o := sched.OutcomeOK
	if v.failing {
		d, o = failureResponseTime, sched.OutcomeFailed
	}
	m.after(d, func() {
		v.running--
		m.sendOutcome(in, st, o, back, sent)
		if len(v.queue) > 0 {
			next := v.queue[0]
			v.queue = v.queue[1:]
			next()
		}
	})
}

func (m *Sim) sendOutcome(in *instance, st sched.Start, o sched.Outcome, back time.Duration, sent model.Time) {
	incarnation := in.incarnation
	c := m.jobs[st.Job].Customer
	m.after(back, func() {
		m.running[c]--
		if in.dead || in.incarnation != incarnation {
			return
		}
		m.recordAnswer(st, o)
		in.s.Done(m.Now, st, o, m.Now.Sub(sent))
		m.handleOutput(in)
	})
}

func (m *Sim) recordAnswer(st sched.Start, o sched.Outcome) {
	if o == sched.OutcomeNotStarted || o == sched.OutcomeUnreachable {
		return
	}
	j := m.jobs[st.Job]
	t := &j.tasks[st.Index]
	t.done = true
	j.tasksLeft--
	m.Result.recordTask(m.Now, j, t, o)
	if j.tasksLeft == 0 {
		m.Result.recordJob(m.Now, j)
		delete(m.jobs, st.Job)
	}
}

func (m *Sim) recordDrop(j *job) {
	if j == nil || j.dropped {
		return
	}
	j.dropped = true
	m.Result.Dropped++
}

// Submit submits a job to its instance, and schedules a resubmission if it is
// rejected and callers honor Retry-After.
func (m *Sim) Submit(j *job) {
	if j.inst.dead {
		return
	}
	m.handle++
	j.Handle = m.handle
	j.submittedAt = m.Now
	m.jobs[j.Handle] = j
	deadline := j.Deadline
	if deadline != 0 && j.attempt > 0 {
		j.Deadline = m.Now.Add(j.Deadline.Sub(j.firstSubmittedAt))
		j.firstSubmittedAt = m.Now
	}
	v := j.inst.s.Submit(m.Now, j.Job)
	m.Result.recordSubmission(j, v)
	if v.Reason != sched.ReasonNone {
		delete(m.jobs, j.Handle)
		m.retry(j, v)
	}
	m.handleOutput(j.inst)
}

func (m *Sim) retry(j *job, v sched.AdmissionResult) {
	if !m.honorRetryAfter || v.RetryAfter == 0 {
		return
	}
	j.attempt++
	m.after(v.RetryAfter, func() { m.Submit(j) })
}
