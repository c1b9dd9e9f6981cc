package sched

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 60 * time.Second
	retryJitter        = 0.25                   // Retry-After is drawn up to this part above its lower bound
	retryGrace         = 2 * time.Second        // a refused job is expected back until then
	retryRateShare     = 0.9                    // part of its rate at which the refused jobs of a customer are told to come back
	overloadAfter      = 300 * time.Millisecond // tasks have waited for a slot for so long without a break
	maxExpectedRetries = 1 << 16
	slackShare         = 0.5     // part of the time left that the estimated delay may take
	maxWaitingTasks    = 200_000 // waiting tasks of an instance above which work is shed by weight
	maxDelaySeconds    = 1 << 20
)

// expectedRetry is a refused job that was told when to come back.
type expectedRetry struct {
	customer *customer
	work     float64 // seconds
	due      model.Time
}

// expectedRetries are the refused jobs that are expected back.
type expectedRetries struct {
	byHash map[uint64]expectedRetry
	order  []retryExpiry
	first  int
}

type retryExpiry struct {
	hash      uint64
	expiresAt model.Time
}

func newExpectedRetries() expectedRetries {
	return expectedRetries{byHash: make(map[uint64]expectedRetry)}
}

// Submit queues a job, or refuses it.
func (s *Scheduler) Submit(now model.Time, j Job) AdmissionResult {
	s.now = now
	f := s.flowOf(now, &j)
	tasks := j.Tasks - j.FirstIndex
	work := float64(tasks) * f.kindState.run.mean
	s.recordOffered(f, work)
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
	s.dispatch(now)
	s.requestSlots(now)
	s.flushMessages(now)
	return AdmissionResult{}
}

// admit decides whether a job is taken, and estimates its delay.
func (s *Scheduler) admit(now model.Time, f *flow, j *Job, tasks int, work float64) (AdmissionResult, time.Duration) {
	if !s.index.anyFits(j.Needs) && !j.Accepted {
		return AdmissionResult{Reason: ReasonImpossible}, 0
	}
	delay := s.estimateDelay(f, work)
	if j.Accepted || s.opts.Mode.NoAdmission {
		return AdmissionResult{}, secondsToDuration(delay)
	}
	kept := s.claimRetry(now, j.IdentityHash)
	if r := s.checkQueueBounds(f, tasks); r != ReasonNone {
		return s.reject(now, f, j, r, work, delay), secondsToDuration(delay)
	}
	if j.Deadline == 0 {
		f.cust.credit -= work
		return AdmissionResult{}, secondsToDuration(delay)
	}
	if over := s.deadlineOverrun(now, f, j, tasks, delay, kept); over > 0 {
		r := ReasonDeadline
		if f.limit != nil && f.limit.rate > 0 {
			r = ReasonRate
		}
		return s.reject(now, f, j, r, work, over), secondsToDuration(delay)
	}
	if !kept && s.shed.rejects(f.cust, work) {
		return s.reject(now, f, j, ReasonShed, work, 0), secondsToDuration(delay)
	}
	f.cust.credit -= work
	return AdmissionResult{}, secondsToDuration(delay)
}

// deadlineOverrun returns by how much the estimated delay exceeds what the deadline
// allows, or 0. A job that comes back when it was told to may use all of its
// slack, others a part of it.
func (s *Scheduler) deadlineOverrun(now model.Time, f *flow, j *Job, tasks int, delay float64, kept bool) float64 {
	left := j.Deadline.Sub(now).Seconds()
	if delay == 0 && (left >= f.kindState.run.mean || !f.kindState.run.measured()) {
		return 0
	}
	slack := left
	// A declared run time alone refuses nothing: nothing would be learned.
	if f.kindState.run.measured() {
		slack -= s.makespan(f, tasks)
	}
	if !kept && !s.shed.hasCredit(f.cust, float64(tasks)*f.kindState.run.mean) {
		slack *= slackShare
	}
	return math.Max(0, delay-slack)
}

// checkQueueBounds checks the queue bound of the row and the instance's own.
func (s *Scheduler) checkQueueBounds(f *flow, tasks int) Reason {
	if f.queueBound > 0 && f.waiting+tasks > f.queueBound {
		return ReasonQueueFull
	}
	if s.queue.waiting+tasks > maxWaitingTasks {
		fair := maxWaitingTasks * f.cust.weight / math.Max(f.cust.weight, s.queue.activeWeight)
		if float64(f.cust.waiting+tasks) > fair {
			return ReasonShed
		}
	}
	return ReasonNone
}

// makespan is the time from the first start to the last answer of the job.
func (s *Scheduler) makespan(f *flow, tasks int) float64 {
	waves := float64(tasks-1) * f.kindState.run.mean / s.flowRate(f)
	return waves + f.kindState.run.maxEstimate(tasks)
}

// capacity is the number of slots that this instance can count on: those it
// holds and those that others could lend.
func (s *Scheduler) capacity() float64 {
	return math.Max(1, float64(s.index.held+s.peerFreeSlots()))
}

// customerRate is the service that a customer gets when everybody has waiting
// work, seconds of work a second.
func (s *Scheduler) customerRate(c *customer) float64 {
	customers := s.queue.activeWeight
	if c.waiting == 0 {
		customers += c.weight
	}
	r := s.capacity() / math.Max(s.meanSlowness, 0.01)
	return r * c.weight / math.Max(c.weight, customers)
}

// flowRate is the same for a flow: its part by weight, or what the customer's
// other kinds ask for less.
func (s *Scheduler) flowRate(f *flow) float64 {
	kinds := f.cust.activeWeight
	if f.waiting == 0 {
		kinds += f.weight
	}
	r := s.customerRate(f.cust)
	part := r * f.weight / math.Max(f.weight, kinds)
	left := r - (f.cust.demand - f.demand)
	return s.limitedRate(f, math.Max(part, left))
}

// estimateDelay estimates the time until a job of this flow starts, seconds. When
// slots are short, that is until the flow and its customer are due by what
// they received before, and the smaller jobs of the flow are served.
func (s *Scheduler) estimateDelay(f *flow, work float64) float64 {
	if s.queue.waiting == 0 {
		return 0
	}
	ahead := 0.0
	for _, w := range f.classWork[:sizeClass(work)+1] {
		ahead += w
	}
	if s.overloaded() {
		c := f.cust
		ahead += math.Max(0, f.virtualTime-c.minVirtualTime) * f.weight
		all := math.Max(0, c.virtualTime-s.queue.minVirtualTime) * c.weight
		return math.Max(ahead/s.flowRate(f), all/s.customerRate(c))
	}
	byShare := ahead / s.flowRate(f)
	if f.limit != nil {
		return byShare
	}
	return math.Min(byShare, s.queue.waitingWork*math.Max(s.meanSlowness, 0.01)/s.capacity())
}

// overloaded reports whether slots have been short for some time, so that
// every customer gets no more than its share.
func (s *Scheduler) overloaded() bool {
	return s.lending.blockedSince != 0 && s.now.Sub(s.lending.blockedSince) >= overloadAfter
}

func secondsToDuration(sec float64) time.Duration {
	return time.Duration(math.Min(sec, maxDelaySeconds) * float64(time.Second))
}

// reject computes when the job should come back, behind those of the same
// customer that were told so before.
func (s *Scheduler) reject(now model.Time, f *flow, j *Job, r Reason, work, after float64) AdmissionResult {
	c := f.cust
	after += c.expectedRetryWork / (retryRateShare * s.guaranteedRate(c))
	after *= 1 + retryJitter*s.rng.Float64()
	d := secondsToDuration(after) + time.Duration(s.rng.Int64N(int64(minRetryAfter)))
	d = min(max(d, minRetryAfter), maxRetryAfter)
	s.expectRetry(now, c, j.IdentityHash, work, now.Add(d))
	return AdmissionResult{Reason: r, RetryAfter: d}
}

// guaranteedRate is the service that a customer can count on from now on, seconds
// of work a second.
func (s *Scheduler) guaranteedRate(c *customer) float64 {
	if s.shed.active {
		return math.Max(s.shed.fairRate*c.weight, 0.01)
	}
	return s.customerRate(c)
}

func (s *Scheduler) expectRetry(now model.Time, c *customer, token uint64, work float64, due model.Time) {
	p := &s.expectedRetries
	if token == 0 || len(p.byHash) >= maxExpectedRetries {
		return
	}
	if old, ok := p.byHash[token]; ok {
		old.customer.expectedRetryWork = math.Max(0, old.customer.expectedRetryWork-old.work)
	}
	p.byHash[token] = expectedRetry{customer: c, work: work, due: due}
	p.order = append(p.order, retryExpiry{token, due.Add(retryGrace)})
	c.expectedRetryWork += work
}

// claimRetry reports whether a job was refused before and comes back when told.
func (s *Scheduler) claimRetry(now model.Time, token uint64) bool {
	p, ok := s.expectedRetries.byHash[token]
	if !ok || token == 0 {
		return false
	}
	delete(s.expectedRetries.byHash, token)
	p.customer.expectedRetryWork = math.Max(0, p.customer.expectedRetryWork-p.work)
	return now >= p.due
}

// expireRetries forgets refused jobs that did not come back.
func (s *Scheduler) expireRetries(now model.Time) {
	p := &s.expectedRetries
	for p.first < len(p.order) && p.order[p.first].expiresAt < now {
		e := p.order[p.first]
		p.first++
		if x, ok := p.byHash[e.hash]; ok && x.due.Add(retryGrace) <= e.expiresAt {
			delete(p.byHash, e.hash)
			x.customer.expectedRetryWork = math.Max(0, x.customer.expectedRetryWork-x.work)
		}
	}
	if p.first > 1024 && 2*p.first > len(p.order) {
		p.order = append(p.order[:0], p.order[p.first:]...)
		p.first = 0
	}
}
