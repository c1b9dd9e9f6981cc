// Package schedbench drives several schedulers in virtual time against fake
// backend servers, to compare ways of scheduling. It models neither
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
	peerDelay   = time.Millisecond       // one way, between instances
	nearDelay   = 500 * time.Microsecond // one way, to a server of the own domain
	farDelay    = time.Millisecond       // one way, to a server of another domain
	connectWait = time.Second            // until a start to an unreachable server fails
	listLag     = time.Second            // until instances see a change of the server list
	peerLag     = 2 * time.Second        // until instances see that a peer came or went
	failTime    = 2 * time.Millisecond   // a server that fails everything answers so fast
	virtualZero = model.Time(1_800_000_000 * int64(time.Second))
	simStream   = 7
)

// fakeServer runs tasks on its slots and refuses what exceeds them.
type fakeServer struct {
	sched.Server
	slowness     float64 // run time relative to a server of speed 1
	running      int
	mostRunning  int
	failing      bool
	unreachable  bool
	starts       int
	startsBefore int
	queue        []func() // only when tasks queue at the server
}

// instance is one entry instance.
type instance struct {
	id     model.Instance
	domain model.Domain
	s      *sched.Scheduler
	dead   bool
	epoch  int // counts its processes
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
	at        model.Time // first submission
	submitted model.Time // last submission
	inst      *instance
	tasks     []task
	left      int
	attempt   int
	cancelled bool
	long      bool
	dropped   bool
}

// Sim is one run.
type Sim struct {
	Now         model.Time
	rng         *rand.Rand
	events      agenda.Queue[model.Time, func()]
	servers     []*fakeServer
	byID        map[model.ServerID]*fakeServer
	instances   []*instance
	jobs        map[model.JobHandle]*job
	handle      model.JobHandle
	mode        sched.Mode
	policy      sched.Policy
	seed        uint64
	cut         map[model.Domain]bool // domains that are cut off from the others
	lose        float64               // part of the messages lost
	double      float64               // part of the messages doubled
	extra       time.Duration         // most extra delay of a message
	obey        bool                  // callers come back after Retry-After
	hook        func(st sched.Start, j *job)
	running     map[model.Customer]int // tasks started and not answered
	mostRunning map[model.Customer]int

	Result Result
}

// Fleet says how many servers and instances there are.
type Fleet struct {
	Domains    int
	Instances  int
	Servers    int
	Slots      int
	SpeedRange float64 // fastest to slowest, 1 for equal servers
}

// NewSim builds a fleet in which every instance knows all others.
func NewSim(f Fleet, mode sched.Mode, policy sched.Policy, seed uint64) *Sim {
	m := &Sim{
		Now: virtualZero, rng: rand.New(rand.NewPCG(seed, simStream)),
		byID: make(map[model.ServerID]*fakeServer), jobs: make(map[model.JobHandle]*job),
		mode: mode, policy: policy, seed: seed, cut: make(map[model.Domain]bool),
		running: make(map[model.Customer]int), mostRunning: make(map[model.Customer]int),
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
			slow = spread(f.SpeedRange, i, f.Servers)
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
	in.epoch++
	in.dead = false
	in.s = sched.New(sched.Options{
		Self: in.id, Domain: in.domain, Seed: m.seed*1000 + salt + uint64(in.epoch)*100,
		Policy: m.policy, Mode: m.mode,
	})
	in.s.SetServers(m.Now, m.serverList())
	in.s.SetPeers(m.Now, m.peersOf(in))
	m.drain(in)
	epoch := in.epoch
	m.after(time.Duration(salt)*2*time.Millisecond, func() { m.tick(in, epoch) })
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
	return a == b || (!m.cut[a] && !m.cut[b])
}

func (m *Sim) after(d time.Duration, do func()) {
	m.events.Push(m.Now.Add(d), do)
}

// At runs do at a time after the start.
func (m *Sim) At(d time.Duration, do func()) {
	m.events.Push(virtualZero.Add(d), do)
}

// Run goes on until a time after the start.
func (m *Sim) Run(until time.Duration) {
	end := virtualZero.Add(until)
	for m.events.Len() > 0 && m.events.NextAt() <= end {
		at, do := m.events.Pop()
		m.Now = at
		do()
	}
	m.Now = end
}

func (m *Sim) tick(in *instance, epoch int) {
	if in.dead || in.epoch != epoch {
		return
	}
	in.s.Tick(m.Now)
	m.drain(in)
	m.after(sched.TickInterval, func() { m.tick(in, epoch) })
}

// drain carries out what a scheduler wants done.
func (m *Sim) drain(in *instance) {
	out := in.s.Ready()
	for _, x := range out.Messages {
		m.send(in, x)
	}
	for _, d := range out.Drops {
		m.dropped(m.jobs[d.Job])
	}
	for _, st := range out.Starts {
		m.start(in, st)
	}
}

func (m *Sim) send(in *instance, x sched.OutboundMessage) {
	m.Result.message(x.Message)
	if m.lose > 0 && m.rng.Float64() < m.lose {
		return
	}
	copies := 1
	if m.double > 0 && m.rng.Float64() < m.double {
		copies = 2
	}
	for range copies {
		d := peerDelay
		if m.extra > 0 {
			d += time.Duration(m.rng.Int64N(int64(m.extra)))
		}
		m.after(d, func() { m.deliver(in, x.To, x.Message) })
	}
}

func (m *Sim) deliver(from *instance, to model.Instance, msg *peerpb.SchedMessage) {
	for _, p := range m.instances {
		if p.id == to && !p.dead && m.connected(from.domain, p.domain) {
			p.s.Receive(m.Now, from.id, msg)
			m.drain(p)
		}
	}
}

func (m *Sim) delayTo(in *instance, v *fakeServer) time.Duration {
	if in.domain == v.Domain {
		return nearDelay
	}
	return farDelay
}

func (m *Sim) start(in *instance, st sched.Start) {
	j := m.jobs[st.Job]
	v := m.byID[st.Server]
	m.Result.Starts++
	m.running[j.Customer]++
	m.mostRunning[j.Customer] = max(m.mostRunning[j.Customer], m.running[j.Customer])
	if m.hook != nil {
		m.hook(st, j)
	}
	if j.cancelled {
		m.Result.StartsAfterCancel++
	}
	v.starts++
	d := m.delayTo(in, v)
	if v.unreachable || !m.connected(in.domain, v.Domain) {
		m.finish(in, st, sched.OutcomeUnreachable, connectWait, m.Now)
		return
	}
	sent := m.Now
	m.after(d, func() { m.arrive(in, st, v, d, sent) })
}

func (m *Sim) arrive(in *instance, st sched.Start, v *fakeServer, back time.Duration, sent model.Time) {
	if v.running >= v.Slots {
		if m.mode.QueueAtServer {
			v.queue = append(v.queue, func() { m.run(in, st, v, back, sent) })
			return
		}
		m.Result.Refused503++
		m.finish(in, st, sched.OutcomeNotStarted, back, sent)
		return
	}
	m.run(in, st, v, back, sent)
}

func (m *Sim) run(in *instance, st sched.Start, v *fakeServer, back time.Duration, sent model.Time) {
	j := m.jobs[st.Job]
	t := &j.tasks[st.Index]
	t.runs++
	if t.runs > 1 {
		m.Result.DoubleStarts++
	}
	v.running++
	v.mostRunning = max(v.mostRunning, v.running)
	d := time.Duration(float64(t.work) * v.slowness)
	o := sched.OutcomeOK
	if v.failing {
		d, o = failTime, sched.OutcomeFailed
	}
	m.after(d, func() {
		v.running--
		m.finish(in, st, o, back, sent)
		if len(v.queue) > 0 {
			next := v.queue[0]
			v.queue = v.queue[1:]
			next()
		}
	})
}

func (m *Sim) finish(in *instance, st sched.Start, o sched.Outcome, back time.Duration, sent model.Time) {
	epoch := in.epoch
	c := m.jobs[st.Job].Customer
	m.after(back, func() {
		m.running[c]--
		if in.dead || in.epoch != epoch {
			return
		}
		m.answer(st, o)
		in.s.Done(m.Now, st, o, m.Now.Sub(sent))
		m.drain(in)
	})
}

func (m *Sim) answer(st sched.Start, o sched.Outcome) {
	if o == sched.OutcomeNotStarted || o == sched.OutcomeUnreachable {
		return
	}
	j := m.jobs[st.Job]
	t := &j.tasks[st.Index]
	t.done = true
	j.left--
	m.Result.task(m.Now, j, t, o)
	if j.left == 0 {
		m.Result.job(m.Now, j)
		delete(m.jobs, st.Job)
	}
}

func (m *Sim) dropped(j *job) {
	if j == nil || j.dropped {
		return
	}
	j.dropped = true
	m.Result.Dropped++
}

// Submit hands a job to its instance and, when it is refused and callers
// obey Retry-After, comes back.
func (m *Sim) Submit(j *job) {
	if j.inst.dead {
		return
	}
	m.handle++
	j.Handle = m.handle
	j.submitted = m.Now
	m.jobs[j.Handle] = j
	rel := j.Deadline
	if rel != 0 && j.attempt > 0 {
		j.Deadline = m.Now.Add(j.Deadline.Sub(j.at))
		j.at = m.Now
	}
	v := j.inst.s.Submit(m.Now, j.Job)
	m.Result.submitted(j, v)
	if v.Reason != sched.ReasonNone {
		delete(m.jobs, j.Handle)
		m.retry(j, v)
	}
	m.drain(j.inst)
}

func (m *Sim) retry(j *job, v sched.AdmissionResult) {
	if !m.obey || v.RetryAfter == 0 {
		return
	}
	j.attempt++
	m.after(v.RetryAfter, func() { m.Submit(j) })
}
