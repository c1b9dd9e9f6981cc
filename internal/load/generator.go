package load

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegweir/nutmegweir/internal/agenda"
)

// Op is the operation of an event.
type Op uint8

// Operations.
const (
	OpSubmit   Op = iota
	OpResubmit    // the same key at another instance
	OpCancel
)

// Event is a call of the caller API at a time after the start of the run.
type Event struct {
	At  time.Duration
	Op  Op
	Job *Job
}

// Job is a generated job.
type Job struct {
	Seq      int           // position in the run, from 0
	At       time.Duration // planned arrival after the start of the run
	Phase    int
	Customer string
	Home     string
	Kind     *Kind
	Tasks    []Task
	Declared time.Duration // declared run time, 0 if none
	Local    bool          // submitted in its home domain
	Entry    uint64        // selects the entry instance, modulo the candidates
	Random   [10]byte      // random part of the key
	Resubmit bool          // a copy is sent in parallel with the first call
}

// Task is a task of a generated job.
type Task struct {
	Run  time.Duration // run time at speed 1
	Fail bool
}

// LongestRun is the run time of the longest task.
func (j *Job) LongestRun() time.Duration {
	var d time.Duration
	for _, t := range j.Tasks {
		d = max(d, t.Run)
	}
	return d
}

// TotalRun is the sum of the run times of all tasks.
func (j *Job) TotalRun() time.Duration {
	var d time.Duration
	for _, t := range j.Tasks {
		d += t.Run
	}
	return d
}

// IdealResponse is the response time on an idle fleet without delays between
// processes.
func (j *Job) IdealResponse(f Fleet) time.Duration {
	runPerSlot := j.TotalRun() / time.Duration(f.Slots)
	return time.Duration(float64(max(j.LongestRun(), runPerSlot)) / f.Speed)
}

// Key returns the UUIDv7 of a job that is first submitted at t.
func (j *Job) Key(t time.Time) uuid.UUID {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(t.UnixMilli())<<16)
	copy(u[6:], j.Random[:])
	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80
	return u
}

// Generator yields the events of a workload in order of time. It does not read
// the clock; two generators of the same workload yield the same events.
type Generator struct {
	w             *Workload
	arrivals      *rand.Rand
	at            time.Duration // time of the last arrival
	phase         int
	phaseEnd      time.Duration
	seq           int
	exhausted     bool
	next          *Event // the next arrival, nil before it is generated
	followUpQueue agenda.Queue[time.Duration, Event]
}

// NewGenerator returns a generator at the start of the workload.
func NewGenerator(w *Workload) *Generator {
	return &Generator{
		w:        w,
		arrivals: rand.New(rand.NewPCG(w.Seed, math.MaxUint64)),
		phaseEnd: time.Duration(w.Phases[0].DurationMs) * time.Millisecond,
	}
}

// Next returns the next event, or false after the last one.
func (g *Generator) Next() (Event, bool) {
	if g.next == nil && !g.exhausted {
		g.generateArrival()
	}
	if g.followUpQueue.Len() > 0 && (g.next == nil || g.followUpQueue.NextAt() <= g.next.At) {
		_, ev := g.followUpQueue.Pop()
		return ev, true
	}
	if g.next == nil {
		return Event{}, false
	}
	ev := *g.next
	g.next = nil
	return ev, true
}

// generateArrival generates the next arrival and its follow-up events.
func (g *Generator) generateArrival() {
	if g.seq >= g.w.MaxJobs || !g.advanceToArrival() {
		g.exhausted = true
		return
	}
	rng := rand.New(rand.NewPCG(g.w.Seed, uint64(g.seq)))
	j := g.newJob(rng)
	g.seq++
	g.next = &Event{At: j.At, Op: OpSubmit, Job: j}
	g.scheduleFollowUps(rng, j)
}

// advanceToArrival advances to the next arrival of an inhomogeneous Poisson
// process, by thinning against the highest rate of the phase.
func (g *Generator) advanceToArrival() bool {
	for {
		p := g.w.Phases[g.phase]
		peak := p.peak()
		if peak > 0 {
			step := g.arrivals.ExpFloat64() / peak
			g.at += time.Duration(step * float64(time.Second))
		} else {
			g.at = g.phaseEnd
		}
		if g.at >= g.phaseEnd {
			if !g.nextPhase() {
				return false
			}
			continue
		}
		if g.arrivals.Float64()*peak < p.rate(g.at-g.phaseStart()) {
			return true
		}
	}
}

func (g *Generator) phaseStart() time.Duration {
	return g.phaseEnd - time.Duration(g.w.Phases[g.phase].DurationMs)*time.Millisecond
}

func (g *Generator) nextPhase() bool {
	if g.phase+1 >= len(g.w.Phases) {
		return false
	}
	g.at = g.phaseEnd
	g.phase++
	g.phaseEnd += time.Duration(g.w.Phases[g.phase].DurationMs) * time.Millisecond
	return true
}

func (p Phase) peak() float64 {
	if p.ToPerSecond == nil {
		return p.JobsPerSecond + p.ExtraPerSecond
	}
	return max(p.JobsPerSecond, *p.ToPerSecond) + p.ExtraPerSecond
}

func (p Phase) rate(since time.Duration) float64 {
	if p.ToPerSecond == nil {
		return p.JobsPerSecond + p.ExtraPerSecond
	}
	fraction := since.Seconds() * 1000 / float64(p.DurationMs)
	return p.JobsPerSecond + (*p.ToPerSecond-p.JobsPerSecond)*fraction + p.ExtraPerSecond
}

func (g *Generator) newJob(rng *rand.Rand) *Job {
	c := g.pickCustomer(rng)
	k := &c.Kinds[pickWeighted(rng, len(c.Kinds), func(i int) float64 { return c.Kinds[i].Share })]
	h := g.w.Homes[pickWeighted(rng, len(g.w.Homes), func(i int) float64 { return g.w.Homes[i].Share })]
	j := &Job{Seq: g.seq, At: g.at, Phase: g.phase, Customer: c.Name, Home: h.Domain, Kind: k}
	j.Tasks = k.drawTasks(rng)
	j.Declared = k.drawDeclared(rng, j)
	j.Local = rng.Float64() < g.w.LocalShare
	j.Entry = rng.Uint64()
	binary.BigEndian.PutUint64(j.Random[:8], rng.Uint64())
	binary.BigEndian.PutUint16(j.Random[8:], uint16(rng.Uint32()))
	return j
}

func (g *Generator) pickCustomer(rng *rand.Rand) *Customer {
	p := g.w.Phases[g.phase]
	if p.ExtraPerSecond > 0 && rng.Float64()*p.rate(g.at-g.phaseStart()) < p.ExtraPerSecond {
		return g.w.customerNamed(p.ExtraCustomer)
	}
	return &g.w.Customers[pickWeighted(rng, len(g.w.Customers), func(i int) float64 { return g.w.Customers[i].Share })]
}

func (k *Kind) drawTasks(rng *rand.Rand) []Task {
	size := k.Sizes[pickWeighted(rng, len(k.Sizes), func(i int) float64 { return k.Sizes[i].Share })].Tasks
	class := k.drawRunClass(rng)
	tasks := make([]Task, size)
	for i := range tasks {
		r := class
		if class.PerTask {
			r = k.drawRunClass(rng)
		}
		tasks[i] = Task{Run: r.draw(rng), Fail: rng.Float64() < k.FailShare}
	}
	return tasks
}

func (k *Kind) drawRunClass(rng *rand.Rand) RunClass {
	return k.Runs[pickWeighted(rng, len(k.Runs), func(i int) float64 { return k.Runs[i].Share })]
}

// draw returns a log-uniform run time in whole milliseconds.
func (r RunClass) draw(rng *rand.Rand) time.Duration {
	lo, hi := math.Log(float64(r.MinMs)), math.Log(float64(r.MaxMs))
	ms := math.Exp(lo + rng.Float64()*(hi-lo))
	return time.Duration(math.Round(ms)) * time.Millisecond
}

func (k *Kind) drawDeclared(rng *rand.Rand, j *Job) time.Duration {
	d := k.Declared[pickWeighted(rng, len(k.Declared), func(i int) float64 { return k.Declared[i].Share })]
	mean := j.TotalRun() / time.Duration(len(j.Tasks))
	return time.Duration(d.Factor * float64(mean)).Round(time.Millisecond)
}

func (g *Generator) scheduleFollowUps(rng *rand.Rand, j *Job) {
	if rng.Float64() < j.Kind.ResubmitShare {
		j.Resubmit = true
		g.push(Event{At: j.At + drawDelay(rng, j.Kind.ResubmitMs), Op: OpResubmit, Job: j})
	}
	if rng.Float64() < j.Kind.CancelShare {
		g.push(Event{At: j.At + drawDelay(rng, j.Kind.CancelMs), Op: OpCancel, Job: j})
	}
	for _, c := range g.w.CancelWaves {
		at := time.Duration(c.AtMs) * time.Millisecond
		window := time.Duration(c.WindowMs) * time.Millisecond
		hit := rng.Float64() < c.Share
		delay := drawDelay(rng, c.OverMs)
		if hit && j.At <= at && j.At > at-window && (c.Customer == "" || c.Customer == j.Customer) {
			g.push(Event{At: at + delay, Op: OpCancel, Job: j})
		}
	}
}

func drawDelay(rng *rand.Rand, ms int64) time.Duration {
	return time.Duration(rng.Float64() * float64(ms) * float64(time.Millisecond))
}

func (g *Generator) push(ev Event) { g.followUpQueue.Push(ev.At, ev) }

// pickWeighted returns a random index, weighted by the shares.
func pickWeighted(rng *rand.Rand, n int, share func(int) float64) int {
	var sum float64
	for i := range n {
		sum += share(i)
	}
	x := rng.Float64() * sum
	for i := range n {
		x -= share(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}
