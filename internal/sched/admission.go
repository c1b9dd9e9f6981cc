package sched

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 60 * time.Second
	retryJitter        = 0.25                   // Retry-After is increased by up to this fraction, at random
	retryGrace         = 2 * time.Second        // how long a rejected job is expected after its Retry-After
	retryRateShare     = 0.9                    // fraction of a customer's rate that is planned for its rejected jobs
	overloadAfter      = 300 * time.Millisecond // overloaded once tasks have waited for a slot this long without a break
	maxExpectedRetries = 1 << 16
	slackShare         = 0.5     // fraction of the slack before the deadline that the estimated delay may use
	maxWaitingTasks    = 200_000 // per instance; above this, jobs are shed by weight
	maxDelaySeconds    = 1 << 20
)

// expectedRetry is a rejected job that was given a Retry-After.
type expectedRetry struct {
	customer *customer
	work     float64 // seconds
	due      model.Time
}

// expectedRetries are the rejected jobs that are expected to be resubmitted.
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

// Submit queues or rejects a job.
func (s *Scheduler) Submit(now model.Time, j Job) AdmissionResult {
	s.now = now
	f := s.flowOf(now, &j)
	tasks := j.Tasks - j.FirstIndex
	work := float64(tasks) * f.kindState.run.mean
	s.recordOffered(f, work)
	res, delay := s.admit(now, f, &j, tasks, work)
	x := s.newJob(now, f, &j)
	x.trace.estimate = delay
	if res.Reason != ReasonNone {
		x.trace.reason = res.Reason
		x.trace.retryAfter = res.RetryAfter
		x.ended = true
		s.retire(x)
		return res
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

// admit decides whether to accept a job, and estimates its delay.
func (s *Scheduler) admit(now model.Time, f *flow, j *Job, tasks int, work float64) (AdmissionResult, time.Duration) {
	if !s.index.anyFits(j.Needs) && !j.Accepted {
		return AdmissionResult{Reason: ReasonImpossible}, 0
	}
	delay := s.estimateDelay(f, work)
	if j.Accepted || s.opts.Mode.NoAdmission {
		return AdmissionResult{}, secondsToDuration(delay)
	}
	onSchedule := s.claimRetry(now, j.IdentityHash)
	if r := s.checkQueueBounds(f, tasks); r != ReasonNone {
		return s.reject(now, f, j, r, work, delay), secondsToDuration(delay)
	}
	if j.Deadline == 0 {
		f.cust.credit -= work
		return AdmissionResult{}, secondsToDuration(delay)
	}
	if overrun := s.deadlineOverrun(now, f, j, tasks, delay, onSchedule); overrun > 0 {
		r := ReasonDeadline
		if f.limit != nil && f.limit.rate > 0 {
			r = ReasonRate
		}
		return s.reject(now, f, j, r, work, overrun), secondsToDuration(delay)
	}
	if !onSchedule && s.shed.rejects(f.cust, work) {
		return s.reject(now, f, j, ReasonShed, work, 0), secondsToDuration(delay)
	}
	f.cust.credit -= work
	return AdmissionResult{}, secondsToDuration(delay)
}

// deadlineOverrun returns by how much the estimated delay exceeds the slack
// that the deadline leaves, or 0. A job resubmitted on schedule may use all of
// its slack, others only a fraction.
func (s *Scheduler) deadlineOverrun(now model.Time, f *flow, j *Job, tasks int, delay float64, onSchedule bool) float64 {
	left := j.Deadline.Sub(now).Seconds()
	if delay == 0 && (left >= f.kindState.run.mean || !f.kindState.run.measured()) {
		return 0
	}
	slack := left
	// Never reject on a declared run time alone: no actual one would be
	// learned.
	if f.kindState.run.measured() {
		slack -= s.makespan(f, tasks)
	}
	if !onSchedule && !s.shed.hasCredit(f.cust, float64(tasks)*f.kindState.run.mean) {
		slack *= slackShare
	}
	return math.Max(0, delay-slack)
}

// checkQueueBounds checks the row's queue bound and the instance's own.
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

// makespan is the expected time from the job's first start to its last result.
func (s *Scheduler) makespan(f *flow, tasks int) float64 {
	waves := float64(tasks-1) * f.kindState.run.mean / s.flowRate(f)
	return waves + f.kindState.run.maxEstimate(tasks)
}

// capacity is the number of slots this instance can count on: those it holds
// and those that peers could lend.
func (s *Scheduler) capacity() float64 {
	return math.Max(1, float64(s.index.held+s.peerFreeSlots()))
}

// customerRate is the customer's service rate while all customers have waiting
// work, in seconds of work a second.
func (s *Scheduler) customerRate(c *customer) float64 {
	weights := s.queue.activeWeight
	if c.waiting == 0 {
		weights += c.weight
	}
	r := s.capacity() / math.Max(s.meanSlowness, 0.01)
	return r * c.weight / math.Max(c.weight, weights)
}

// flowRate is the service rate of a flow within its customer's rate: its share by
// weight, or what the customer's other kinds leave unused if that is more.
func (s *Scheduler) flowRate(f *flow) float64 {
	weights := f.cust.activeWeight
	if f.waiting == 0 {
		weights += f.weight
	}
	r := s.customerRate(f.cust)
	share := r * f.weight / math.Max(f.weight, weights)
	left := r - (f.cust.demand - f.demand)
	return s.limitedRate(f, math.Max(share, left))
}

// estimateDelay estimates the seconds until a job of this flow starts. Under
// overload this is the time until fair queuing reaches the flow and its
// customer, given the service they have received, and the flow's smaller jobs
// have been served.
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

// overloaded reports whether slots have been scarce for some time, so that
// every customer gets only its fair share.
func (s *Scheduler) overloaded() bool {
	return s.lending.blockedSince != 0 && s.now.Sub(s.lending.blockedSince) >= overloadAfter
}

func secondsToDuration(sec float64) time.Duration {
	return time.Duration(math.Min(sec, maxDelaySeconds) * float64(time.Second))
}

// reject computes the Retry-After, which queues the job behind the customer's
// earlier rejected jobs.
func (s *Scheduler) reject(now model.Time, f *flow, j *Job, r Reason, work, after float64) AdmissionResult {
	c := f.cust
	after += c.expectedRetryWork / (retryRateShare * s.guaranteedRate(c))
	after *= 1 + retryJitter*s.rng.Float64()
	d := secondsToDuration(after) + time.Duration(s.rng.Int64N(int64(minRetryAfter)))
	d = min(max(d, minRetryAfter), maxRetryAfter)
	s.expectRetry(now, c, j.IdentityHash, work, now.Add(d))
	return AdmissionResult{Reason: r, RetryAfter: d}
}

// guaranteedRate is the service rate that a customer can count on from now on,
// in seconds of work a second.
func (s *Scheduler) guaranteedRate(c *customer) float64 {
	if s.shed.active {
		return math.Max(s.shed.fairRate*c.weight, 0.01)
	}
	return s.customerRate(c)
}

func (s *Scheduler) expectRetry(now model.Time, c *customer, hash uint64, work float64, due model.Time) {
	retries := &s.expectedRetries
	if hash == 0 || len(retries.byHash) >= maxExpectedRetries {
		return
	}
	if old, ok := retries.byHash[hash]; ok {
		old.customer.expectedRetryWork = math.Max(0, old.customer.expectedRetryWork-old.work)
	}
	retries.byHash[hash] = expectedRetry{customer: c, work: work, due: due}
	retries.order = append(retries.order, retryExpiry{hash, due.Add(retryGrace)})
	c.expectedRetryWork += work
}

// claimRetry reports whether a job was rejected before and is resubmitted on
// schedule.
func (s *Scheduler) claimRetry(now model.Time, hash uint64) bool {
	retry, ok := s.expectedRetries.byHash[hash]
	if !ok || hash == 0 {
		return false
	}
	delete(s.expectedRetries.byHash, hash)
	retry.customer.expectedRetryWork = math.Max(0, retry.customer.expectedRetryWork-retry.work)
	return now >= retry.due
}

// expireRetries removes rejected jobs that were not resubmitted.
func (s *Scheduler) expireRetries(now model.Time) {
	retries := &s.expectedRetries
	for retries.first < len(retries.order) && retries.order[retries.first].expiresAt < now {
		e := retries.order[retries.first]
		retries.first++
		if x, ok := retries.byHash[e.hash]; ok && x.due.Add(retryGrace) <= e.expiresAt {
			delete(retries.byHash, e.hash)
			x.customer.expectedRetryWork = math.Max(0, x.customer.expectedRetryWork-x.work)
		}
	}
	if retries.first > 1024 && 2*retries.first > len(retries.order) {
		retries.order = append(retries.order[:0], retries.order[retries.first:]...)
		retries.first = 0
	}
}
