package sched

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	retrySpread   = 0.25            // Retry-After is drawn up to this part above its lower bound
	promiseGrace  = 2 * time.Second // a refused job is expected back until then
	promisePart   = 0.5             // part of a job's slack that promises to others may not take
	maxPromises   = 1 << 16
	maxWaiting    = 200_000 // waiting tasks of an instance above which work is shed by weight
	maxExpected   = 1 << 20
)

// promise is a refused job that was told when to come back.
type promise struct {
	flow *flow
	work float64 // seconds
	due  model.Time
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
func (s *Scheduler) Submit(now model.Time, j Job) Verdict {
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
		return Verdict{}
	}
	s.enqueue(x, tasks)
	s.bind(now)
	s.seekSlots(now)
	s.flush(now)
	return Verdict{}
}

// admit decides whether a job is taken, and estimates its delay.
func (s *Scheduler) admit(now model.Time, f *flow, j *Job, tasks int, work float64) (Verdict, time.Duration) {
	if !s.index.possible(j.Needs) && !j.Accepted {
		return Verdict{Reason: ReasonImpossible}, 0
	}
	delay := s.delay(f, work)
	if j.Accepted || s.opts.Mode.NoAdmission {
		return Verdict{}, duration(delay)
	}
	kept := s.redeem(now, j.Token)
	if r := s.bounds(f, tasks); r != ReasonNone {
		return s.refuse(now, f, j, r, work, delay), duration(delay)
	}
	if j.Deadline == 0 {
		return Verdict{}, duration(delay)
	}
	slack := j.Deadline.Sub(now).Seconds() - s.ideal(f, tasks)
	over := delay - slack
	if over > 0 {
		return s.refuse(now, f, j, ReasonDeadline, work, over), duration(delay)
	}
	owed := f.promised / s.rate(f)
	if !kept && delay > promisePart*slack && delay+owed > slack {
		return s.refuse(now, f, j, ReasonDeadline, work, delay+owed-slack), duration(delay)
	}
	return Verdict{}, duration(delay)
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
	return waves + f.kindState.run.high()
}

// capacity is the number of slots that this instance can count on: those it
// holds and those that others could lend.
func (s *Scheduler) capacity() float64 {
	return math.Max(1, float64(s.index.held+s.spareElsewhere()))
}

// rate is the service that a flow gets when everybody has waiting work,
// seconds of work a second.
func (s *Scheduler) rate(f *flow) float64 {
	c := f.cust
	customers := s.queue.weights
	if c.waiting == 0 {
		customers += c.weight
	}
	kinds := c.weights
	if f.waiting == 0 {
		kinds += f.weight
	}
	r := s.capacity() / math.Max(s.usual, 0.01)
	r *= c.weight / math.Max(c.weight, customers)
	r *= f.weight / math.Max(f.weight, kinds)
	return s.limitedRate(f, r)
}

// delay estimates the time until a job of this flow starts, seconds.
func (s *Scheduler) delay(f *flow, work float64) float64 {
	if s.queue.waiting == 0 {
		return 0
	}
	ahead := 0.0
	for _, w := range f.classWork[:sizeClass(work)+1] {
		ahead += w
	}
	byShare := ahead / s.rate(f)
	all := s.queue.work * math.Max(s.usual, 0.01) / s.capacity()
	if f.limit != nil {
		return byShare
	}
	return math.Min(byShare, all)
}

func duration(sec float64) time.Duration {
	return time.Duration(math.Min(sec, maxExpected) * float64(time.Second))
}

// refuse computes when the job should come back and keeps room for it.
func (s *Scheduler) refuse(now model.Time, f *flow, j *Job, r Reason, work, after float64) Verdict {
	after *= 1 + retrySpread*s.rng.Float64()
	d := duration(after) + time.Duration(s.rng.Int64N(int64(minRetryAfter)))
	d = min(max(d, minRetryAfter), maxRetryAfter)
	s.promise(now, f, j.Token, work, now.Add(d))
	return Verdict{Reason: r, RetryAfter: d}
}

func (s *Scheduler) promise(now model.Time, f *flow, token uint64, work float64, due model.Time) {
	p := &s.promises
	if token == 0 || len(p.byToken) >= maxPromises {
		return
	}
	if old, ok := p.byToken[token]; ok {
		old.flow.promised = math.Max(0, old.flow.promised-old.work)
	}
	p.byToken[token] = promise{flow: f, work: work, due: due}
	p.order = append(p.order, promiseEnd{token, due.Add(promiseGrace)})
	f.promised += work
}

// redeem reports whether a job was refused before and comes back when told.
func (s *Scheduler) redeem(now model.Time, token uint64) bool {
	p, ok := s.promises.byToken[token]
	if !ok || token == 0 {
		return false
	}
	delete(s.promises.byToken, token)
	p.flow.promised = math.Max(0, p.flow.promised-p.work)
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
			x.flow.promised = math.Max(0, x.flow.promised-x.work)
		}
	}
	if p.first > 1024 && 2*p.first > len(p.order) {
		p.order = append(p.order[:0], p.order[p.first:]...)
		p.first = 0
	}
}
