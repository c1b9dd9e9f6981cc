package sched

import (
	"math"
	"math/bits"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	sizeClasses   = 24   // powers of two of a job's work in milliseconds
	sizeStretch   = 10.0 // a job is passed over by later, smaller ones for this multiple of its ideal time
	defaultWeight = 1.0
	historySize   = 4096 // ended jobs that Explain still knows
)

// job is a submitted job while it has tasks to start or running.
type job struct {
	Job
	flow     *flow
	key      float64 // order within the flow, seconds
	seq      uint64
	next     int
	retry    []int
	running  int
	queued   bool // in the flow's heap
	ended    bool // cancelled or dropped, removed from the heap lazily
	class    int  // size class
	admitted model.Time
	at       int
	trace    trace
}

func (j *job) before(o *job) bool {
	if j.key != o.key {
		return j.key < o.key
	}
	return j.seq < o.seq
}

func (j *job) place() *int { return &j.at }

// waiting is the number of tasks that have to be started.
func (j *job) waiting() int {
	if j.ended {
		return 0
	}
	return j.Tasks - j.next + len(j.retry)
}

func (j *job) take() int {
	if n := len(j.retry); n > 0 {
		i := j.retry[n-1]
		j.retry = j.retry[:n-1]
		return i
	}
	j.next++
	return j.next - 1
}

type flowKey struct {
	customer model.Customer
	kind     model.Kind
	needs    model.Resources
}

// flow is the queue of one customer, kind and need of resources.
type flow struct {
	flowKey
	cust      *customer
	kindState *kindState
	weight    float64
	virtual   float64 // service received, seconds over weight
	jobs      heap[*job]
	waiting   int // tasks to start
	classWork [sizeClasses]float64
	in        *heap[*flow] // the heap it stands in: ready or parked
	at        int
	cause     WaitReason // why it is parked
	limit     *limit
	bound     int
	failures  failureRate
	idleSince model.Time
	offered   float64 // work submitted since the last tick, seconds
	demand    float64 // work submitted lately, seconds a second
}

func (f *flow) before(o *flow) bool {
	if f.cust != o.cust && f.cust.virtual != o.cust.virtual {
		return f.cust.virtual < o.cust.virtual
	}
	if f.virtual != o.virtual {
		return f.virtual < o.virtual
	}
	return f.kind < o.kind
}

func (f *flow) place() *int { return &f.at }

func (f *flow) work() float64 { return float64(f.waiting) * f.kindState.run.mean }

// kindState is what is learned about a customer's kind.
type kindState struct {
	run     runTime
	long    bool
	waiting int // tasks to start
}

// customer shares service with the other customers by weight.
type customer struct {
	name     model.Customer
	row      float64 // weight in the table
	weight   float64 // weight at this instance, by its part of the customer's work
	virtual  float64
	floor    float64 // virtual time of its flow served last
	ready    heap[*flow]
	flows    []*flow
	waiting  int
	weights  float64 // sum of the weights of its flows with waiting tasks
	offered  float64 // work submitted since the last tick, seconds
	demand   float64 // work submitted lately, seconds a second
	credit   float64 // work that may be admitted while work is shed, seconds
	promised float64 // work of refused jobs that were told when to come back, seconds
	at       int
}

func (c *customer) before(o *customer) bool {
	if c.virtual != o.virtual {
		return c.virtual < o.virtual
	}
	return c.name < o.name
}

func (c *customer) place() *int { return &c.at }

// queue holds every job and orders the flows.
type queue struct {
	jobs      map[model.JobHandle]*job
	flows     map[flowKey]*flow
	kinds     map[kindKey]*kindState
	byName    map[model.Customer]*customer
	flowList  []*flow
	customers []*customer
	ready     heap[*customer]
	floor     float64 // virtual time of the customer served last
	waiting   int     // tasks to start
	long      int     // of these, long work
	weights   float64 // sum of the weights of customers with waiting tasks
	work      float64 // expected run time of the waiting tasks, seconds
	seq       uint64
	spare     []*job
}

type kindKey struct {
	customer model.Customer
	kind     model.Kind
}

func newQueue() queue {
	return queue{
		jobs:   make(map[model.JobHandle]*job),
		flows:  make(map[flowKey]*flow),
		kinds:  make(map[kindKey]*kindState),
		byName: make(map[model.Customer]*customer),
	}
}

func (s *Scheduler) customerOf(name model.Customer) *customer {
	c := s.queue.byName[name]
	if c == nil {
		c = &customer{name: name, at: notInHeap}
		c.row = positive(s.opts.Policy.Row(name, "").Weight)
		c.weight = c.row
		s.queue.byName[name] = c
		s.queue.customers = append(s.queue.customers, c)
	}
	return c
}

func (s *Scheduler) flowOf(now model.Time, j *Job) *flow {
	k := flowKey{j.Customer, j.Kind, j.Needs}
	if s.opts.Mode.FIFO {
		k = flowKey{needs: j.Needs}
	}
	if f := s.queue.flows[k]; f != nil {
		return f
	}
	c := s.customerOf(k.customer)
	kk := kindKey{k.customer, k.kind}
	ks := s.queue.kinds[kk]
	if ks == nil {
		ks = &kindState{run: newRunTime(j.DeclaredRunTime)}
		ks.long = ks.run.mean > longFactor*s.typical.seconds()
		s.queue.kinds[kk] = ks
	}
	f := &flow{flowKey: k, cust: c, kindState: ks, at: notInHeap, idleSince: now}
	s.applyRow(now, f)
	c.flows = append(c.flows, f)
	s.queue.flows[k] = f
	s.queue.flowList = append(s.queue.flowList, f)
	return f
}

func positive(w float64) float64 {
	if w > 0 {
		return w
	}
	return defaultWeight
}

// applyRow takes the effective row of the table over into a flow.
func (s *Scheduler) applyRow(now model.Time, f *flow) {
	row := s.opts.Policy.Row(f.customer, f.kind)
	w := positive(row.Weight)
	if f.waiting > 0 {
		f.cust.weights += w - f.weight
	}
	f.weight = w
	f.bound = row.QueueBound
	f.limit = s.limitOf(now, f, row)
}

// applyRows takes changes of the table over.
func (s *Scheduler) applyRows(now model.Time) {
	for _, c := range s.queue.customers {
		if w := positive(s.opts.Policy.Row(c.name, "").Weight); w != c.row {
			s.setWeight(c, c.weight*w/c.row)
			c.row = w
		}
	}
	for _, f := range s.queue.flowList {
		s.applyRow(now, f)
	}
}

// setWeight changes the weight of a customer at this instance.
func (s *Scheduler) setWeight(c *customer, w float64) {
	if c.waiting > 0 {
		s.queue.weights += w - c.weight
	}
	c.weight = w
}

func (s *Scheduler) newJob(now model.Time, f *flow, in *Job) *job {
	j := s.spareJob()
	*j = job{Job: *in, flow: f, next: in.FirstIndex, retry: j.retry[:0], at: notInHeap, admitted: now}
	s.queue.seq++
	j.seq = s.queue.seq
	work := float64(j.waiting()) * f.kindState.run.mean
	j.class = sizeClass(work)
	j.key = s.orderKey(now, j, work)
	j.trace.submitted = now
	s.queue.jobs[in.Handle] = j
	return j
}

func (s *Scheduler) spareJob() *job {
	n := len(s.queue.spare)
	if n == 0 {
		return &job{}
	}
	j := s.queue.spare[n-1]
	s.queue.spare = s.queue.spare[:n-1]
	return j
}

// orderKey is the time until which smaller jobs that come later pass by, or
// the last moment to start in time, whichever is earlier.
func (s *Scheduler) orderKey(now model.Time, j *job, work float64) float64 {
	at := seconds(now)
	if s.opts.Mode.FIFO {
		return at
	}
	key := at + sizeStretch*work/math.Max(1, float64(s.index.held))
	if j.Deadline != 0 {
		key = math.Min(key, seconds(j.Deadline)-j.flow.kindState.run.high())
	}
	return key
}

func seconds(t model.Time) float64 { return float64(t) / float64(time.Second) }

func sizeClass(work float64) int {
	ms := uint64(work * 1e3)
	return min(sizeClasses-1, bits.Len64(ms))
}

// enqueue makes the job's waiting tasks known to the queue.
func (s *Scheduler) enqueue(j *job, tasks int) {
	f := j.flow
	s.count(f, tasks, j.class)
	if !j.queued {
		j.queued = true
		f.jobs.push(j)
	}
	if f.in == nil {
		s.activate(f)
	}
}

// count changes the number of waiting tasks of a flow.
func (s *Scheduler) count(f *flow, tasks, class int) {
	work := float64(tasks) * f.kindState.run.mean
	f.classWork[class] = math.Max(0, f.classWork[class]+work)
	s.queue.work = math.Max(0, s.queue.work+work)
	was, had := f.waiting, f.cust.waiting
	f.waiting += tasks
	f.cust.waiting += tasks
	s.queue.waiting += tasks
	f.kindState.waiting += tasks
	if f.kindState.long {
		s.queue.long += tasks
	}
	if s.queue.waiting == 0 {
		s.queue.work = 0
	}
	if f.waiting == 0 {
		f.classWork = [sizeClasses]float64{}
	}
	s.countWeights(f, was, had)
}

func (s *Scheduler) countWeights(f *flow, was, had int) {
	c := f.cust
	if was == 0 && f.waiting > 0 {
		c.weights += f.weight
	}
	if was > 0 && f.waiting == 0 {
		c.weights -= f.weight
	}
	if had == 0 && c.waiting > 0 {
		s.queue.weights += c.weight
	}
	if had > 0 && c.waiting == 0 {
		s.queue.weights -= c.weight
	}
}

// activate puts a flow into the ready heap of its customer. A flow or
// customer that was idle starts at the current virtual time: it neither
// keeps credit nor owes anything.
func (s *Scheduler) activate(f *flow) {
	c := f.cust
	if c.ready.len() == 0 && c.at == notInHeap {
		c.virtual = math.Max(c.virtual, s.queue.floor)
	}
	if f.cause == WaitNone {
		f.virtual = math.Max(f.virtual, c.floor)
	}
	f.cause = WaitNone
	f.in = &c.ready
	c.ready.push(f)
	if c.at == notInHeap {
		s.queue.ready.push(c)
	}
}

// deactivate takes a flow out of whatever heap it stands in.
func (s *Scheduler) deactivate(f *flow) {
	if f.in == nil {
		return
	}
	f.in.remove(f)
	c := f.cust
	if f.in == &c.ready && c.ready.len() == 0 {
		s.queue.ready.remove(c)
	}
	f.in = nil
}

// park moves a ready flow to a heap of flows that wait for something else
// than a turn.
func (s *Scheduler) park(f *flow, to *heap[*flow], cause WaitReason) {
	s.deactivate(f)
	f.cause = cause
	f.in = to
	to.push(f)
}

// wake moves the first flow of a parking heap back to the ready ones.
func (s *Scheduler) wake(from *heap[*flow]) {
	if from.len() == 0 {
		return
	}
	f := from.pop()
	f.in = nil
	s.activate(f)
}

func (s *Scheduler) wakeAll(from *heap[*flow]) {
	for from.len() > 0 {
		s.wake(from)
	}
}

// head returns the flow's first job with a task to start, and forgets ended
// jobs on the way. It returns nil when the flow has run empty.
func (s *Scheduler) head(now model.Time, f *flow) *job {
	for f.jobs.len() > 0 {
		j := f.jobs.top()
		if j.waiting() > 0 && !s.expired(now, j) {
			return j
		}
		if j.waiting() > 0 {
			s.drop(now, j, ReasonExpired)
		}
		if j.queued {
			f.jobs.remove(j)
			j.queued = false
			s.retire(j)
		}
	}
	return nil
}

func (s *Scheduler) expired(now model.Time, j *job) bool {
	return j.Deadline != 0 && now >= j.Deadline
}

// drop gives up the waiting tasks of a job.
func (s *Scheduler) drop(now model.Time, j *job, r Reason) {
	s.out.Drops = append(s.out.Drops, Drop{Job: j.Handle, Reason: r})
	j.trace.reason = r
	s.end(now, j)
}

// end takes the waiting tasks of a job out of the count; the heap entry goes
// later.
func (s *Scheduler) end(now model.Time, j *job) {
	n := j.waiting()
	j.ended = true
	j.trace.ended = now
	if n == 0 {
		return
	}
	s.count(j.flow, -n, j.class)
	if j.flow.waiting == 0 {
		s.empty(now, j.flow)
	}
}

// empty is called when a flow has no task left to start.
func (s *Scheduler) empty(now model.Time, f *flow) {
	s.deactivate(f)
	f.cause = WaitNone
	f.idleSince = now
	for f.jobs.len() > 0 {
		j := f.jobs.pop()
		j.queued = false
		s.retire(j)
	}
}

// retire moves a job without waiting and running tasks to the history.
func (s *Scheduler) retire(j *job) {
	if j.running > 0 || j.queued || j.waiting() > 0 {
		return
	}
	if s.queue.jobs[j.Handle] != j {
		return
	}
	delete(s.queue.jobs, j.Handle)
	s.history.add(s, j)
}

// charge adds service to the virtual times of a flow and its customer.
func (s *Scheduler) charge(f *flow, service float64) {
	c := f.cust
	f.virtual += service / f.weight
	c.virtual += service / c.weight
	if f.in != nil {
		f.in.fix(f)
	}
	if c.at != notInHeap {
		s.queue.ready.fix(c)
	}
}

// nextFlow returns the ready flow whose turn it is.
func (s *Scheduler) nextFlow() *flow {
	if s.queue.ready.len() == 0 {
		return nil
	}
	c := s.queue.ready.top()
	return c.ready.top()
}
