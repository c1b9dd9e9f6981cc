package sched

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	retrySpread   = 0.25                   // Retry-After is drawn up to this part above its lower bound
	promiseGrace  = 2 * time.Second        // a refused job is expected back until then
	promiseRate   = 0.9                    // part of its rate at which the refused jobs of a customer are told to come back
	overloadAfter = 300 * time.Millisecond // tasks have waited for a slot for so long without a break
	maxPromises   = 1 << 16
	slackPart     = 0.5     // part of the time left that the estimated delay may take
	maxWaiting    = 200_000 // waiting tasks of an instance above which work is shed by weight
	maxExpected   = 1 << 20
)

// promise is a refused job that was told when to come back.
type promise struct {
	customer *customer
	work     float64 // seconds
	due      model.Time
}

// promises are the refused jobs that are expected back.
type promises struct {
	byToken map[uint64]promise
	order   []promiseEnd
	first   int
}

type promiseEnd struct {
	token uint64
	ends  model.Time
}

func newPromises() promises {
	return promises{byToken: make(map[uint64]promise)}
}

// Submit queues a job, or refuses it.
func (s *Scheduler) Submit(now model.Time, j Job) AdmissionResult {
	s.now = now
	f := s.flowOf(now, &j)
	tasks := j.Tasks - j.FirstIndex
	work := float64(tasks) * f.kindState.run.mean
	s.offered(f, work)
	v, delay := s.admit(now, f, &j, tasks, work)
	x := s.newJob(now, f, &j)
	x.trace.estimate = delay
	if v.Reason != ReasonNone {
		x.trace.reason = v.Reason
		x.trace.retryAfter = v.RetryAfter
		x.ended = true
		s.retire(x)
		return v
	}
	if tasks <= 0 {
		s.retire(x)
		return AdmissionResult{}
	}
	s.enqueue(x, tasks)
	s.bind(now)
	s.seekSlots(now)
	s.flush(now)
	return AdmissionResult{}
}

// admit decides whether a job is taken, and estimates its delay.
func (s *Scheduler) admit(now model.Time, f *flow, j *Job, tasks int, work float64) (AdmissionResult, time.Duration) {
	if !s.index.possible(j.Needs) && !j.Accepted {
		return AdmissionResult{Reason: ReasonImpossible}, 0
	}
	delay := s.delay(f, work)
	if j.Accepted || s.opts.Mode.NoAdmission {
		return AdmissionResult{}, duration(delay)
	}
	kept := s.redeem(now, j.IdentityHash)
	if r := s.bounds(f, tasks); r != ReasonNone {
		return s.refuse(now, f, j, r, work, delay), duration(delay)
	}
	if j.Deadline == 0 {
		f.cust.credit -= work
		return AdmissionResult{}, duration(delay)
	}
	if over := s.tooLate(now, f, j, tasks, delay, kept); over > 0 {
		r := ReasonDeadline
		if f.limit != nil && f.limit.rate > 0 {
			r = ReasonRate
		}
		return s.refuse(now, f, j, r, work, over), duration(delay)
	}
	if !kept && s.shed.refuses(f.cust, work) {
		return s.refuse(now, f, j, ReasonShed, work, 0), duration(delay)
	}
	f.cust.credit -= work
	return AdmissionResult{}, duration(delay)
}

// tooLate returns by how much the estimated delay exceeds what the deadline
// allows, or 0. A job that comes back when it was told to may use all of its
// slack, others a part of it.
func (s *Scheduler) tooLate(now model.Time, f *flow, j *Job, tasks int, delay float64, kept bool) float64 {
	left := j.Deadline.Sub(now).Seconds()
	if delay == 0 && (left >= f.kindState.run.mean || !f.kindState.run.learned()) {
		return 0
	}
	slack := left
	// A declared run time alone refuses nothing: nothing would be learned.
	if f.kindState.run.learned() {
		slack -= s.ideal(f, tasks)
	}
	if !kept && !s.shed.covers(f.cust, float64(tasks)*f.kindState.run.mean) {
		slack *= slackPart
	}
	return math.Max(0, delay-slack)
}

// bounds checks the queue bound of the row and the instance's own.
func (s *Scheduler) bounds(f *flow, tasks int) Reason {
	if f.bound > 0 && f.waiting+tasks > f.bound {
		return ReasonQueueFull
	}
	if s.queue.waiting+tasks > maxWaiting {
		fair := maxWaiting * f.cust.weight / math.Max(f.cust.weight, s.queue.weights)
		if float64(f.cust.waiting+tasks) > fair {
			return ReasonShed
		}
	}
	return ReasonNone
}

// ideal is the time from the first start to the last answer of the job.
func (s *Scheduler) ideal(f *flow, tasks int) float64 {
	waves := float64(tasks-1) * f.kindState.run.mean / s.rate(f)
	return waves + f.kindState.run.highest(tasks)
}

// capacity is the number of slots that this instance can count on: those it
// holds and those that others could lend.
func (s *Scheduler) capacity() float64 {
	return math.Max(1, float64(s.index.held+s.spareElsewhere()))
}

// customerRate is the service that a customer gets when everybody has waiting
// work, seconds of work a second.
func (s *Scheduler) customerRate(c *customer) float64 {
	customers := s.queue.weights
	if c.waiting == 0 {
		customers += c.weight
	}
	r := s.capacity() / math.Max(s.usual, 0.01)
	return r * c.weight / math.Max(c.weight, customers)
}

// rate is the same for a flow: its part by weight, or what the customer's
// other kinds ask for less.
func (s *Scheduler) rate(f *flow) float64 {
	kinds := f.cust.weights
	if f.waiting == 0 {
		kinds += f.weight
	}
	r := s.customerRate(f.cust)
	part := r * f.weight / math.Max(f.weight, kinds)
	left := r - (f.cust.demand - f.demand)
	return s.limitedRate(f, math.Max(part, left))
}

// delay estimates the time until a job of this flow starts, seconds. When
// slots are short, that is until the flow and its customer are due by what
// they received before, and the smaller jobs of the flow are served.
func (s *Scheduler) delay(f *flow, work float64) float64 {
	if s.queue.waiting == 0 {
		return 0
	}
	ahead := 0.0
	for _, w := range f.classWork[:sizeClass(work)+1] {
		ahead += w
	}
	if s.overloaded() {
		c := f.cust
		ahead += math.Max(0, f.virtual-c.floor) * f.weight
		all := math.Max(0, c.virtual-s.queue.floor) * c.weight
		return math.Max(ahead/s.rate(f), all/s.customerRate(c))
	}
	byShare := ahead / s.rate(f)
	if f.limit != nil {
		return byShare
	}
	return math.Min(byShare, s.queue.work*math.Max(s.usual, 0.01)/s.capacity())
}

// overloaded reports whether slots have been short for some time, so that
// every customer gets no more than its share.
func (s *Scheduler) overloaded() bool {
	return s.lend.queuedAt != 0 && s.now.Sub(s.lend.queuedAt) >= overloadAfter
}

func duration(sec float64) time.Duration {
	return time.Duration(math.Min(sec, maxExpected) * float64(time.Second))
}

// refuse computes when the job should come back, behind those of the same
// customer that were told so before.
func (s *Scheduler) refuse(now model.Time, f *flow, j *Job, r Reason, work, after float64) AdmissionResult {
	c := f.cust
	after += c.promised / (promiseRate * s.sharedRate(c))
	after *= 1 + retrySpread*s.rng.Float64()
	d := duration(after) + time.Duration(s.rng.Int64N(int64(minRetryAfter)))
	d = min(max(d, minRetryAfter), maxRetryAfter)
	s.promise(now, c, j.IdentityHash, work, now.Add(d))
	return AdmissionResult{Reason: r, RetryAfter: d}
}

// sharedRate is the service that a customer can count on from now on, seconds
// of work a second.
func (s *Scheduler) sharedRate(c *customer) float64 {
	if s.shed.on {
		return math.Max(s.shed.level*c.weight, 0.01)
	}
	return s.customerRate(c)
}

func (s *Scheduler) promise(now model.Time, c *customer, token uint64, work float64, due model.Time) {
	p := &s.promises
	if token == 0 || len(p.byToken) >= maxPromises {
		return
	}
	if old, ok := p.byToken[token]; ok {
		old.customer.promised = math.Max(0, old.customer.promised-old.work)
	}
	p.byToken[token] = promise{customer: c, work: work, due: due}
	p.order = append(p.order, promiseEnd{token, due.Add(promiseGrace)})
	c.promised += work
}

// redeem reports whether a job was refused before and comes back when told.
func (s *Scheduler) redeem(now model.Time, token uint64) bool {
	p, ok := s.promises.byToken[token]
	if !ok || token == 0 {
		return false
	}
	delete(s.promises.byToken, token)
	p.customer.promised = math.Max(0, p.customer.promised-p.work)
	return now >= p.due
}

// endPromises forgets refused jobs that did not come back.
func (s *Scheduler) endPromises(now model.Time) {
	p := &s.promises
	for p.first < len(p.order) && p.order[p.first].ends < now {
		e := p.order[p.first]
		p.first++
		if x, ok := p.byToken[e.token]; ok && x.due.Add(promiseGrace) <= e.ends {
			delete(p.byToken, e.token)
			x.customer.promised = math.Max(0, x.customer.promised-x.work)
		}
	}
	if p.first > 1024 && 2*p.first > len(p.order) {
		p.order = append(p.order[:0], p.order[p.first:]...)
		p.first = 0
	}
}
