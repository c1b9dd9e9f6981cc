package sched

import (
	"math"
	"math/bits"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	sizeClasses     = 24   // powers of two of a job's work in milliseconds
	sizeOrderFactor = 10.0 // smaller jobs may overtake a job for this multiple of the time that it needs on all held slots
	defaultWeight   = 1.0
	historySize     = 4096 // ended jobs kept for Explain
)

// job is a submitted job with tasks waiting or running.
type job struct {
	Job
	flow      *flow
	order     float64 // order within the flow, in seconds
	seq       uint64
	nextIndex int
	retry     []int
	running   int
	queued    bool // in the flow's heap
	ended     bool // cancelled or dropped; removed from the heap lazily
	class     int  // size class
	admitted  model.Time
	heapPos   int
	trace     jobTrace
}

func (j *job) before(o *job) bool {
	if j.order != o.order {
		return j.order < o.order
	}
	return j.seq < o.seq
}

func (j *job) position() *int { return &j.heapPos }

// waiting is the number of tasks that still have to be started.
func (j *job) waiting() int {
	if j.ended {
		return 0
	}
	return j.Tasks - j.nextIndex + len(j.retry)
}

func (j *job) takeIndex() int {
	if n := len(j.retry); n > 0 {
		i := j.retry[n-1]
		j.retry = j.retry[:n-1]
		return i
	}
	j.nextIndex++
	return j.nextIndex - 1
}

type flowKey struct {
	customer model.Customer
	kind     model.Kind
	needs    model.Resources
}

// flow is the queue of one customer, kind and resource requirement.
type flow struct {
	flowKey
	cust        *customer
	kindState   *kindState
	weight      float64
	virtualTime float64 // service received in seconds, divided by weight
	jobs        heap[*job]
	waiting     int // tasks to start
	classWork   [sizeClasses]float64
	heap        *heap[*flow] // heap that contains it: ready or parked
	heapPos     int
	waitReason  WaitReason // why it is parked
	limit       *limit
	queueBound  int
	failures    failureRate
	idleSince   model.Time
	offered     float64 // work submitted since the last tick, in seconds
	demand      float64 // moving average of submitted work, in seconds a second
}

func (f *flow) before(o *flow) bool {
	if f.cust != o.cust && f.cust.virtualTime != o.cust.virtualTime {
		return f.cust.virtualTime < o.cust.virtualTime
	}
	if f.virtualTime != o.virtualTime {
		return f.virtualTime < o.virtualTime
	}
	return f.kind < o.kind
}

func (f *flow) position() *int { return &f.heapPos }

func (f *flow) work() float64 { return float64(f.waiting) * f.kindState.run.mean }

// kindState is what has been learned about a customer's kind.
type kindState struct {
	run     runTime
	long    bool
	waiting int // tasks to start
}

// customer receives service in proportion to its weight.
type customer struct {
	name              model.Customer
	tableWeight       float64 // weight in the table
	weight            float64 // weight at this instance, by its share of the customer's work
	virtualTime       float64
	minVirtualTime    float64 // virtual time of its flow served last
	ready             heap[*flow]
	flows             []*flow
	waiting           int
	activeWeight      float64 // sum of the weights of its flows with waiting tasks
	offered           float64 // work submitted since the last tick, in seconds
	demand            float64 // moving average of submitted work, in seconds a second
	credit            float64 // work that may be admitted while shedding, in seconds
	expectedRetryWork float64 // work of rejected jobs that were given a Retry-After, in seconds
	heapPos           int
}

func (c *customer) before(o *customer) bool {
	if c.virtualTime != o.virtualTime {
		return c.virtualTime < o.virtualTime
	}
	return c.name < o.name
}

func (c *customer) position() *int { return &c.heapPos }

// queue holds all jobs and orders the flows.
type queue struct {
	jobs            map[model.JobHandle]*job
	flows           map[flowKey]*flow
	kinds           map[kindKey]*kindState
	customersByName map[model.Customer]*customer
	flowList        []*flow
	customers       []*customer
	ready           heap[*customer]
	minVirtualTime  float64 // virtual time of the customer served last
	waiting         int     // tasks to start
	waitingLong     int     // of these, long tasks
	activeWeight    float64 // sum of the weights of customers with waiting tasks
	waitingWork     float64 // expected run time of the waiting tasks, in seconds
	seq             uint64
	freeJobs        []*job
}

type kindKey struct {
	customer model.Customer
	kind     model.Kind
}

func newQueue() queue {
	return queue{
		jobs:            make(map[model.JobHandle]*job),
		flows:           make(map[flowKey]*flow),
		kinds:           make(map[kindKey]*kindState),
		customersByName: make(map[model.Customer]*customer),
	}
}

func (s *Scheduler) customerOf(name model.Customer) *customer {
	c := s.queue.customersByName[name]
	if c == nil {
		c = &customer{name: name, heapPos: notInHeap}
		c.tableWeight = weightOrDefault(s.opts.Policy.Row(name, "").Weight)
		c.weight = c.tableWeight
		s.queue.customersByName[name] = c
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
	f := &flow{flowKey: k, cust: c, kindState: ks, heapPos: notInHeap, idleSince: now}
	s.applyPolicy(now, f)
	c.flows = append(c.flows, f)
	s.queue.flows[k] = f
	s.queue.flowList = append(s.queue.flowList, f)
	return f
}

func weightOrDefault(w float64) float64 {
	if w > 0 {
		return w
	}
	return defaultWeight
}

// applyPolicy applies the table row in force to a flow.
func (s *Scheduler) applyPolicy(now model.Time, f *flow) {
	row := s.opts.Policy.Row(f.customer, f.kind)
	w := weightOrDefault(row.Weight)
	if f.waiting > 0 {
		f.cust.activeWeight += w - f.weight
	}
	f.weight = w
	f.queueBound = row.QueueBound
	f.limit = s.limitOf(now, f, row)
}

// refreshPolicies applies changes of the table.
func (s *Scheduler) refreshPolicies(now model.Time) {
	for _, c := range s.queue.customers {
		if w := weightOrDefault(s.opts.Policy.Row(c.name, "").Weight); w != c.tableWeight {
			s.setWeight(c, c.weight*w/c.tableWeight)
			c.tableWeight = w
		}
	}
	for _, f := range s.queue.flowList {
		s.applyPolicy(now, f)
	}
}

// setWeight changes the weight of a customer at this instance.
func (s *Scheduler) setWeight(c *customer, w float64) {
	if c.waiting > 0 {
		s.queue.activeWeight += w - c.weight
	}
	c.weight = w
}

func (s *Scheduler) newJob(now model.Time, f *flow, in *Job) *job {
	j := s.allocJob()
	*j = job{Job: *in, flow: f, nextIndex: in.FirstIndex, retry: j.retry[:0], heapPos: notInHeap, admitted: now}
	s.queue.seq++
	j.seq = s.queue.seq
	work := float64(j.waiting()) * f.kindState.run.mean
	j.class = sizeClass(work)
	j.order = s.orderKey(now, j, work)
	j.trace.submitted = now
	s.queue.jobs[in.Handle] = j
	return j
}

func (s *Scheduler) allocJob() *job {
	n := len(s.queue.freeJobs)
	if n == 0 {
		return &job{}
	}
	j := s.queue.freeJobs[n-1]
	s.queue.freeJobs = s.queue.freeJobs[:n-1]
	return j
}

// orderKey is the time until which later, smaller jobs may overtake the job,
// or the latest start that meets its deadline, whichever is earlier.
func (s *Scheduler) orderKey(now model.Time, j *job, work float64) float64 {
	at := unixSeconds(now)
	if s.opts.Mode.FIFO {
		return at
	}
	key := at + sizeOrderFactor*work/math.Max(1, float64(s.index.held))
	if j.Deadline != 0 {
		key = math.Min(key, unixSeconds(j.Deadline)-j.flow.kindState.run.highEstimate())
	}
	return key
}

func unixSeconds(t model.Time) float64 { return float64(t) / float64(time.Second) }

func sizeClass(work float64) int {
	ms := uint64(work * 1e3)
	return min(sizeClasses-1, bits.Len64(ms))
}

// enqueue adds waiting tasks of a job to the queue.
func (s *Scheduler) enqueue(j *job, tasks int) {
	f := j.flow
	s.addWaiting(f, tasks, j.class)
	if !j.queued {
		j.queued = true
		f.jobs.push(j)
	}
	if f.heap == nil {
		s.activate(f)
	}
}

// addWaiting changes the number of waiting tasks of a flow.
func (s *Scheduler) addWaiting(f *flow, tasks, class int) {
	work := float64(tasks) * f.kindState.run.mean
	f.classWork[class] = math.Max(0, f.classWork[class]+work)
	s.queue.waitingWork = math.Max(0, s.queue.waitingWork+work)
	flowBefore, customerBefore := f.waiting, f.cust.waiting
	f.waiting += tasks
	f.cust.waiting += tasks
	s.queue.waiting += tasks
	f.kindState.waiting += tasks
	if f.kindState.long {
		s.queue.waitingLong += tasks
	}
	if s.queue.waiting == 0 {
		s.queue.waitingWork = 0
	}
	if f.waiting == 0 {
		f.classWork = [sizeClasses]float64{}
	}
	s.updateActiveWeights(f, flowBefore, customerBefore)
}

func (s *Scheduler) updateActiveWeights(f *flow, flowBefore, customerBefore int) {
	c := f.cust
	if flowBefore == 0 && f.waiting > 0 {
		c.activeWeight += f.weight
	}
	if flowBefore > 0 && f.waiting == 0 {
		c.activeWeight -= f.weight
	}
	if customerBefore == 0 && c.waiting > 0 {
		s.queue.activeWeight += c.weight
	}
	if customerBefore > 0 && c.waiting == 0 {
		s.queue.activeWeight -= c.weight
	}
}

// activate adds a flow to the ready heap of its customer. A flow or customer
// that was idle starts at the current virtual time, with neither credit nor
// debt.
func (s *Scheduler) activate(f *flow) {
	c := f.cust
	if c.ready.len() == 0 && c.heapPos == notInHeap {
		c.virtualTime = math.Max(c.virtualTime, s.queue.minVirtualTime)
	}
	if f.waitReason == WaitNone {
		f.virtualTime = math.Max(f.virtualTime, c.minVirtualTime)
	}
	f.waitReason = WaitNone
	f.heap = &c.ready
	c.ready.push(f)
	if c.heapPos == notInHeap {
		s.queue.ready.push(c)
	}
}

// deactivate removes a flow from the heap that contains it.
func (s *Scheduler) deactivate(f *flow) {
	if f.heap == nil {
		return
	}
	f.heap.remove(f)
	c := f.cust
	if f.heap == &c.ready && c.ready.len() == 0 {
		s.queue.ready.remove(c)
	}
	f.heap = nil
}

// park moves a ready flow to a heap of flows that wait for something other
// than their turn.
func (s *Scheduler) park(f *flow, to *heap[*flow], reason WaitReason) {
	s.deactivate(f)
	f.waitReason = reason
	f.heap = to
	to.push(f)
}

// unpark moves the first flow of a parking heap back to the ready heap.
func (s *Scheduler) unpark(from *heap[*flow]) {
	if from.len() == 0 {
		return
	}
	f := from.pop()
	f.heap = nil
	s.activate(f)
}

func (s *Scheduler) unparkAll(from *heap[*flow]) {
	for from.len() > 0 {
		s.unpark(from)
	}
}

// nextJob returns the flow's first job with a task to start, removing ended
// jobs on the way, or nil if the flow is empty.
func (s *Scheduler) nextJob(now model.Time, f *flow) *job {
	for f.jobs.len() > 0 {
		j := f.jobs.top()
		if j.waiting() > 0 && !s.expired(now, j) {
			return j
		}
		if j.waiting() > 0 {
			s.dropJob(now, j, ReasonExpired)
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

// dropJob drops the waiting tasks of a job.
func (s *Scheduler) dropJob(now model.Time, j *job, r Reason) {
	s.out.Drops = append(s.out.Drops, Drop{Job: j.Handle, Reason: r})
	j.trace.reason = r
	s.endJob(now, j)
}

// endJob removes a job's waiting tasks from the counts; its heap entry is
// removed lazily.
func (s *Scheduler) endJob(now model.Time, j *job) {
	n := j.waiting()
	j.ended = true
	j.trace.ended = now
	if n == 0 {
		return
	}
	s.addWaiting(j.flow, -n, j.class)
	if j.flow.waiting == 0 {
		s.flowDrained(now, j.flow)
	}
}

// flowDrained handles a flow that has no task left to start.
func (s *Scheduler) flowDrained(now model.Time, f *flow) {
	s.deactivate(f)
	f.waitReason = WaitNone
	f.idleSince = now
	for f.jobs.len() > 0 {
		j := f.jobs.pop()
		j.queued = false
		s.retire(j)
	}
}

// retire moves a job without waiting or running tasks to the history.
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

// chargeService adds service to the virtual times of a flow and its customer.
func (s *Scheduler) chargeService(f *flow, service float64) {
	c := f.cust
	f.virtualTime += service / f.weight
	c.virtualTime += service / c.weight
	if f.heap != nil {
		f.heap.fix(f)
	}
	if c.heapPos != notInHeap {
		s.queue.ready.fix(c)
	}
}

// nextFlow returns the ready flow with the lowest virtual time.
func (s *Scheduler) nextFlow() *flow {
	if s.queue.ready.len() == 0 {
		return nil
	}
	c := s.queue.ready.top()
	return c.ready.top()
}
