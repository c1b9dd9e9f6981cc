package fleet

import (
	"cmp"
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Priorities and floors, for a capacity shortage: more work arrives for seconds than the
// servers can do, of all types, of the longest type or of one failure domain. They apply to
// services whose jobs have more than one priority; all others keep the order by slack.
//
// Jobs that can be on time start by priority, then by slack. A priority, and a domain within
// its priority, that waits while others start earns credit for its floor, a share of the
// work started, and goes first while it has any. Jobs of which tasks have started go first
// too: their work is lost if the rest is late.
//
// All jobs of a type earn the same, so that the largest earn least for the capacity: at a
// shortage they wait least before they are rejected, see sizeFactor.

const (
	// maxPriorityFloor is the share of the started work that each waiting priority keeps,
	// or an equal share with seven priorities or more. A larger one takes from the
	// highest priority, whose jobs have the least slack.
	maxPriorityFloor = 0.15
	// Jobs of more than typicalShare of the typical work of their priority may wait less,
	// by the given power of the ratio. Steeper or lower limits reject jobs beside free
	// servers, flatter ones hold more jobs that are rejected in the end.
	typicalShare = 0.7
	sizeExponent = 3
	// minSizeFactor keeps a part of the usual wait for the largest jobs, so that they
	// aren't rejected whenever others wait.
	minSizeFactor = 0.25
	// sustainedShortage is how long jobs that can be on time must have waited without a
	// break before the size of a job counts: a shorter queue drains in time.
	sustainedShortage = 300 * time.Millisecond
	// typicalWeight is the weight of a job in the moving mean of the work of its priority.
	typicalWeight = 0.02
	// domainFloor is the share of the started work of its service that each waiting
	// failure domain of callers keeps. It only guards against starvation: a larger one
	// would take from the domain with the most work, which is served worst.
	domainFloor = 0.05
	// floorWindow bounds the credit and debt of a floor, in time of the whole capacity,
	// so that it doesn't carry over from one load pattern to the next.
	floorWindow = 250 * time.Millisecond
	// priorityRetention is how long a priority counts after its last job.
	priorityRetention = time.Minute
	// maxBookedWait bounds the Retry-After of rejected callers: load peaks
	// last seconds, and later capacity is not known.
	maxBookedWait = 10 * time.Second
)

// turn is the place of a job in the order before its slack counts; the zero value where
// priorities are all equal.
type turn struct {
	priority int // claimedTurn while the floor of its priority claims a start
	domain   int // claimedTurn while the floor of its domain does
}

// claimedTurn precedes all priorities, and domains without a claim.
const claimedTurn = -1

func (t turn) compare(o turn) int {
	return cmp.Or(cmp.Compare(t.priority, o.priority), cmp.Compare(t.domain, o.domain))
}

// floor is the account of a share of the started work, in milli-core-milliseconds.
type floor struct {
	waits  bool    // work of it waits
	credit float64 // work it may start out of turn; negative if it started more than its share
	seenAt Time    // last job offered
	work   float64 // moving mean of the work of a job, in milli-core-milliseconds
	booked Time    // up to when its capacity is expected to be used by rejected callers
}

func (f *floor) claims() bool { return f != nil && f.waits && f.credit > 0 }

// charge records started work, whose share the floor keeps, of this floor or of others.
func (f *floor) charge(own bool, work, share, bound float64) {
	f.credit += share * work
	if own {
		f.credit -= work
	}
	upper := 0.0
	if f.waits {
		upper = bound
	}
	f.credit = min(max(f.credit, -bound), upper)
}

// serviceFloors are the floors of a service.
type serviceFloors struct {
	priorities map[int]*floor
	domains    map[model.Domain]*floor
	bound      float64 // of credit and debt: floorWindow of the capacity
}

// shortage holds the floors of a pool by service.
type shortage map[string]*serviceFloors

// offered records a job's priority, work and the domain of its caller.
func (s shortage) offered(service string, priority int, domain model.Domain, work float64, now Time) {
	f := s[service]
	if f == nil {
		f = &serviceFloors{priorities: map[int]*floor{}, domains: map[model.Domain]*floor{}}
		s[service] = f
	}
	seen(f.priorities, priority, now)
	seen(f.domains, domain, now)
	f.priorities[priority].recordWork(work)
}

// recordWork updates the typical work of a job.
func (f *floor) recordWork(work float64) {
	if f.work == 0 {
		f.work = work
	}
	f.work += typicalWeight * (work - f.work)
}

// seen records a job of one of the floors and drops those without jobs for long.
func seen[K comparable](floors map[K]*floor, k K, now Time) {
	for other, f := range floors {
		if now.Sub(f.seenAt) > priorityRetention {
			delete(floors, other)
		}
	}
	if floors[k] == nil {
		floors[k] = &floor{}
	}
	floors[k].seenAt = now
}

// prioritized returns the floors of a service whose jobs have several priorities, nil for
// any other.
func (s shortage) prioritized(service string) *serviceFloors {
	if f := s[service]; f != nil && len(f.priorities) > 1 {
		return f
	}
	return nil
}

// turnOf returns the turn of a job of a priority, from a domain.
func (f *serviceFloors) turnOf(priority int, domain model.Domain) turn {
	t := turn{priority: priority}
	if f.priorities[priority].claims() {
		t.priority = claimedTurn
	}
	if f.domains[domain].claims() {
		t.domain = claimedTurn
	}
	return t
}

// priorityFloor returns the share of the started work that each waiting priority keeps.
func (f *serviceFloors) priorityFloor() float64 {
	return min(maxPriorityFloor, 1/float64(len(f.priorities)))
}

// started charges the floors with started work.
func (f *serviceFloors) started(priority int, domain model.Domain, work float64) {
	bound := max(f.bound, work)
	for k, x := range f.priorities {
		x.charge(k == priority, work, f.priorityFloor(), bound)
	}
	for k, x := range f.domains {
		x.charge(k == domain, work, domainFloor, bound)
	}
}

// queuedBefore is the work that a job of some priority waits for.
type queuedBefore struct {
	higher float64 // of higher priorities
	equal  float64 // of its own, ahead of it
	lower  int     // number of lower priorities that wait, which keep their floors
	floor  float64 // share of each priority
	credit float64 // of its own floor
}

// wait returns how long the job waits at a rate of work: until all before it has started,
// or its floor has served those ahead in its own priority.
func (q queuedBefore) wait(rate float64) float64 {
	all := (q.higher + q.equal) / (rate * max(1-q.floor*float64(q.lower), q.floor))
	if q.higher == 0 {
		return all
	}
	return min(all, max(0, q.equal-q.credit)/(rate*q.floor))
}

// book returns when capacity for a rejected job is expected, after that for the callers
// rejected before it. spread in [0, 1) separates callers whose answers are rounded to the
// same second.
func (f *floor) book(wait, work time.Duration, spread float64, now Time) time.Duration {
	f.booked = min(max(f.booked, now.Add(wait)).Add(work), now.Add(maxBookedWait))
	after := max(f.booked.Sub(now), minRetryAfter)
	return after + time.Duration(spread*float64(max(after/2, time.Second)))
}

// prioritized returns the floors of a service whose jobs have several priorities, nil for
// any other, and for the baseline in order of arrival, which has no priorities.
func (p *pool) prioritized(service string) *serviceFloors {
	if p.policy.Order == OrderArrival {
		return nil
	}
	return p.shortage.prioritized(service)
}

// noteOffered records the priority of an offered job and the domain of its caller, and
// sets its turn.
func (p *pool) noteOffered(j *job, now Time) {
	domain := p.homeDomain(j)
	if j.offloaded == nil {
		p.shortage.offered(j.spec.Service, j.spec.Priority, domain, j.queuedWork(), now)
	}
	if f := p.prioritized(j.spec.Service); f != nil {
		j.turn = f.turnOf(j.spec.Priority, domain)
	}
}

// logQueued logs that a job is queued or rejected.
func (p *pool) logQueued(j *job, reason string, wait time.Duration) {
	p.effect(LogEntry{
		Kind: LogJobQueued, Job: j.spec.ID, Reason: reason, Age: wait, Count: len(p.queue),
		Class: &JobClass{j.spec.Route, j.spec.Priority, p.homeDomain(j)},
	})
}

// homeDomain returns the failure domain of a job's caller, empty if its instance is not
// known here.
func (p *pool) homeDomain(j *job) model.Domain {
	home := j.home()
	switch x := p.members.peers[home.Instance]; {
	case home.Domain != "":
		return home.Domain
	case home.Instance == p.self.Instance:
		return p.self.Domain
	case x != nil:
		return x.member.Domain
	}
	return ""
}

// updateTurns determines which floors claim a start, and the turns of the queued jobs.
func (p *pool) updateTurns(now Time) {
	bound := -1.0
	for service := range p.shortage {
		if f := p.prioritized(service); f != nil {
			if bound < 0 {
				bound = p.workRate(now) * milliseconds(floorWindow)
			}
			f.bound = bound
			f.forgetWaiting()
		}
	}
	for _, j := range p.queue {
		if f := p.prioritized(j.spec.Service); f != nil && p.waitsOnTime(j, now) {
			f.waits(j.spec.Priority, p.homeDomain(j))
		}
	}
	for _, j := range p.queue {
		j.turn = turn{}
		if f := p.prioritized(j.spec.Service); f != nil {
			j.turn = f.turnOf(j.spec.Priority, p.homeDomain(j))
			if j.starts > 0 {
				j.turn.priority = claimedTurn
			}
		}
	}
}

// forgetWaiting marks all floors as not waiting.
func (f *serviceFloors) forgetWaiting() {
	for _, x := range f.priorities {
		x.waits = false
	}
	for _, x := range f.domains {
		x.waits = false
	}
}

// waits records that work of a priority and a domain waits.
func (f *serviceFloors) waits(priority int, domain model.Domain) {
	if x := f.priorities[priority]; x != nil {
		x.waits = true
	}
	if x := f.domains[domain]; x != nil {
		x.waits = true
	}
}

// chargeStart charges the floors with the start of a task.
func (p *pool) chargeStart(t *task) {
	spec := &t.job.spec
	if f := p.prioritized(spec.Service); f != nil {
		f.started(spec.Priority, p.homeDomain(t.job), float64(t.step.spec.Need.CPUMilli)*milliseconds(t.step.spec.Estimate))
	}
}

// queuedBefore returns the queued work that a job on time waits for.
func (p *pool) queuedBefore(j *job, now Time) queuedBefore {
	var out queuedBefore
	lower := map[int]bool{}
	for _, q := range p.queue {
		switch {
		case q == j || p.latestStart(q) < now:
		case q.spec.Service != j.spec.Service || q.spec.Priority == j.spec.Priority:
			if p.latestStart(q) < p.latestStart(j) {
				out.equal += q.queuedWork()
			}
		case q.spec.Priority < j.spec.Priority:
			out.higher += q.queuedWork()
		default:
			lower[q.spec.Priority] = true
		}
	}
	f := p.shortage[j.spec.Service]
	out.lower, out.floor = len(lower), f.priorityFloor()
	if x := f.priorities[j.spec.Priority]; x != nil {
		out.credit = x.credit
	}
	return out
}

// sizeFactor returns the share of the usual wait that a job may wait for its first start,
// by its work relative to that of others of its priority. It is 1 unless the shortage is
// sustained.
func (p *pool) sizeFactor(j *job) float64 {
	f := p.prioritized(j.spec.Service)
	if f == nil || j.starts > 0 || f.priorities[j.spec.Priority] == nil || !p.sustained {
		return 1
	}
	relative := typicalShare * f.priorities[j.spec.Priority].work / max(j.queuedWork(), 1)
	return max(minSizeFactor, math.Pow(min(1, relative), sizeExponent))
}

// updateSustained determines whether jobs have waited for long without a break.
func (p *pool) updateSustained(now Time) {
	if !p.onTimeJobQueued(now) {
		p.queueClearAt = now
	}
	p.sustained = now.Sub(p.queueClearAt) > sustainedShortage
}

// fitsBesideQueue reports whether a job can start beside the jobs that wait, as its tasks
// fit where theirs don't. Other services look no further than the jobs that wait.
func (p *pool) fitsBesideQueue(j *job, now Time) bool {
	return p.prioritized(j.spec.Service) != nil && p.fitsNow(j, now)
}

// retryAfter returns when a rejected job that waits for wait should come back.
func (p *pool) retryAfter(j *job, wait time.Duration, now Time) time.Duration {
	f := p.prioritized(j.spec.Service)
	if f == nil || f.priorities[j.spec.Priority] == nil {
		return wait
	}
	work := time.Duration(0)
	if rate := p.workRate(now); rate > 0 {
		work = time.Duration(j.queuedWork() / rate * float64(time.Millisecond))
	}
	spread := float64(nameHash(j.spec.ID)>>11) / (1 << 53)
	return f.priorities[j.spec.Priority].book(wait, work, spread, now)
}
