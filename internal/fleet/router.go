package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Limits of offering a job to owners.
const (
	maxImmediateOffers = 2 // offers for an immediate start before the job is queued or rejected
	maxQueueOffers     = 3 // offers to queue owners, which may be leaving
	// noOwnerWait is how long a job waits for a first owner: a starting fleet has
	// owners within that time.
	noOwnerWait = 400 * time.Millisecond
	// minRetryAfter is the minimum retry delay for rejected callers: about the time
	// needed to work off a burst.
	minRetryAfter = time.Second
)

// call is a job whose caller waits at this instance. It either has an open offer, or is
// deferred, or waits for reofferAt.
type call struct {
	id          CallID
	offer       CallID // the open offer, 0 if there is none
	job         JobSpec
	owner       Member           // that has the open offer
	tried       []model.Instance // owners that could not start it immediately
	allowQueue  bool             // the owner may queue it
	queueOffers int              // offers to queues so far
	deferred    bool             // waits to be routed again
	deferredFor string           // reason logged for that, empty if none
	mayHaveRun  bool             // an earlier owner may have run it

	reofferAt Time // offered again then, after the runs of a lost owner have ended
	listedAt  Time // when it came into the list of open calls, 0 if it hasn't
}

// router holds the calls of this instance and finds an owner for each.
type router struct {
	self    Member
	effect  func(Effect)
	members *members
	owners  *owners
	pool    *pool
	calls   map[CallID]*call
	byJob   map[string]*call // those with jobs that aren't durable, one for each job
	// offers indexes the calls by their open offers. Each offer has its own ID, so that
	// a late or repeated outcome of an earlier one has no effect.
	offers    map[CallID]*call
	lastOffer CallID

	noOffersUntil Time // set after a pause of the process
	anyDeferred   bool // some calls are deferred
	open          openCalls
}

func newRouter(self Member, m *members, o *owners, p *pool, effect func(Effect)) *router {
	return &router{self: self, effect: effect, members: m, owners: o, pool: p, calls: map[CallID]*call{}, byJob: map[string]*call{}, offers: map[CallID]*call{}}
}

// candidate is an owner that a job may be offered to.
type candidate struct {
	peer       *peer // nil for this instance
	load       Load
	sameDomain bool
}

// candidates returns the untried owners for a job, best first.
func (rt *router) candidates(c *call, now Time) []candidate {
	var out []candidate
	add := func(o candidate, m Member) {
		if o.load.Servers > 0 && !slices.Contains(c.tried, m.Instance) {
			o.sameDomain = m.Domain == rt.self.Domain
			out = append(out, o)
		}
	}
	add(candidate{load: rt.pool.load(c.job.Service, now)}, rt.self)
	for _, p := range rt.members.orderedPeers {
		if p.reachable(now) && !p.leaving {
			add(candidate{peer: p, load: p.load(c.job.Service)}, p.member)
		}
	}
	need := c.job.initialDemand()
	slices.SortStableFunc(out, func(a, b candidate) int { return compareCandidates(a, b, need) })
	return out
}

// compareCandidates prefers owners with room for need, the job's initial demand: those
// in the local domain first, then those with the largest share of free capacity.
// Among owners without room, the shortest expected wait wins.
func compareCandidates(a, b candidate, need float64) int {
	aFits, bFits := a.load.FreeMilli >= need, b.load.FreeMilli >= need
	switch {
	case aFits != bFits:
		return trueFirst(aFits, bFits)
	case aFits && a.sameDomain != b.sameDomain:
		return trueFirst(a.sameDomain, b.sameDomain)
	case aFits:
		return cmp.Compare(b.load.FreeMilli/b.load.CapacityMilli, a.load.FreeMilli/a.load.CapacityMilli)
	}
	return cmp.Or(
		cmp.Compare(a.load.ExpectedWait.Round(waitResolution), b.load.ExpectedWait.Round(waitResolution)),
		cmp.Compare(b.load.FreeMilli, a.load.FreeMilli))
}

// waitResolution is the smallest difference in expected wait that justifies a hop to
// another domain.
const waitResolution = 5 * time.Millisecond

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// initialDemand returns the CPU of the tasks without dependencies, in milli-cores.
func (j *JobSpec) initialDemand() float64 {
	n := 0.0
	for _, s := range j.Steps {
		if len(s.DependsOn) == 0 {
			n += float64(s.Count) * float64(s.Need.CPUMilli)
		}
	}
	return n
}

// handleSubmitted accepts a job from a caller. Earlier submissions have lost their caller
// without this instance having noticed; the new one waits for their runs.
func (rt *router) handleSubmitted(e JobSubmitted, now Time) {
	c := &call{id: e.Call, job: e.Job}
	if !c.job.Durable {
		outdated := rt.endOtherCall(&c.job, now) || rt.pool.endOtherSubmissions(&c.job, rt.self, now)
		if outdated {
			rt.finish(c, outdatedResult)
			return
		}
		rt.endCallsElsewhere(&c.job, now)
		c.reofferAt = rt.earlierRunsEndAt(c, now)
	}
	rt.add(c)
	r, unfit := rt.owners.unfitResult(&c.job)
	switch {
	case unfit:
		rt.refuse(c, r.Reason, max(r.RetryAfter, c.reofferAt.Sub(now)))
	case c.reofferAt == 0:
		rt.route(c, now)
	case !c.job.mayCompleteFrom(c.reofferAt):
		rt.refuse(c, ReasonResubmitted, c.reofferAt.Sub(now))
	default:
		rt.effect(LogEntry{Kind: LogTaskDelayed, Call: c.id, Job: c.job.ID, Count: c.job.TaskCount(), Reason: string(WaitsSubmitted), Age: c.reofferAt.Sub(now)})
	}
}

// add adds a call to the tables.
func (rt *router) add(c *call) {
	rt.calls[c.id] = c
	if !c.job.Durable {
		rt.byJob[c.job.ID] = c
	}
}

// remove removes a call from the tables.
func (rt *router) remove(c *call) {
	delete(rt.calls, c.id)
	if rt.byJob[c.job.ID] == c {
		delete(rt.byJob, c.job.ID)
	}
}

// endOtherCall ends the call of an earlier submission of a job. It reports whether a later
// one has a call, which outdates the job.
func (rt *router) endOtherCall(spec *JobSpec, now Time) (outdated bool) {
	c, ownTask := rt.byJob[spec.ID], false
	if o := spec.Offloaded; o != nil { // owners of an earlier version don't name the home
		ownTask = o.Home.Instance == "" || o.Home.sameIncarnation(rt.self)
	}
	switch {
	case c == nil || ownTask:
	case rt.pool.laterSubmission(&c.job, spec):
		return true
	default:
		rt.end(c, outdatedResult, now)
	}
	return false
}

// endEarlierCall ends the call with a job of which a member knows another submission of the
// given age, if the call is the earlier one. If it is the later one, the member is told.
func (rt *router) endEarlierCall(from Member, job string, age time.Duration, now Time) {
	c, other := rt.byJob[job], &JobSpec{ReceivedAt: now.Add(-age)}
	switch {
	case c == nil:
	case rt.pool.laterSubmission(other, &c.job):
		rt.end(c, outdatedResult, now)
	case rt.pool.laterSubmission(&c.job, other):
		rt.pool.endCall(from, &c.job, now)
	}
}

// end answers a call before its job is over, and withdraws the job.
func (rt *router) end(c *call, r Result, now Time) {
	rt.recordOrphans(c, now)
	rt.withdraw(c, now)
	rt.finish(c, r)
}

// recordOrphans records the runs that may go on elsewhere when a call ends, before its offer is
// withdrawn. The pool records those of its own jobs.
func (rt *router) recordOrphans(c *call, now Time) {
	elsewhere := c.owner.Instance != "" && c.owner.Instance != rt.self.Instance
	switch {
	case c.job.Durable:
	case elsewhere || c.mayHaveRun:
		rt.pool.orphans.addJob(c.job.ID, now.Add(rt.pool.orphanRunTime))
	case c.reofferAt != 0:
		rt.pool.orphans.addJob(c.job.ID, c.reofferAt)
	}
}

// route offers a job to the owner that can start it immediately, else to the queue
// owner.
func (rt *router) route(c *call, now Time) {
	if now < rt.noOffersUntil || rt.members.inputLags(now) || rt.mayBeResubmitted(c, now) {
		rt.deferCall(c, now)
		return
	}
	if rt.owners.evacuations.any() && rt.owners.fit(&c.job) == fitsEvacuated {
		rt.refuse(c, evacuatedResult.Reason, evacuatedResult.RetryAfter) // the set has changed since the job was submitted
		return
	}
	if c.job.Durable {
		rt.routeDurable(c, now)
		return
	}
	service := c.job.Service
	owner := rt.members.queueOwner(service, rt.pool.serverCount(service), now)
	candidates := rt.candidates(c, now)
	queued := rt.pool.queuedTasks(service)
	if owner != nil {
		queued = owner.load(service).QueuedTasks
	}
	if c.allowQueue = c.allowQueue || queued > 0 || len(c.tried) >= maxImmediateOffers; !c.allowQueue && len(candidates) > 0 {
		rt.offer(c, candidates[0], now)
		return
	}
	if rt.awaitsOwners(c, now) {
		rt.deferCall(c, now)
		return
	}
	c.allowQueue = true
	c.queueOffers++
	switch {
	case c.queueOffers > maxQueueOffers:
		rt.refuse(c, ReasonOverload, minRetryAfter)
	case owner != nil:
		rt.offer(c, candidate{peer: owner, load: owner.load(service)}, now)
	case rt.pool.serverCount(service) > 0:
		rt.offer(c, candidate{}, now)
	case now.Sub(c.job.ReceivedAt) < noOwnerWait:
		c.queueOffers = 0
		rt.deferCall(c, now)
	default:
		rt.refuse(c, ReasonNoOwner, minRetryAfter)
	}
}

// routeDurable offers a durable job to the owner whose servers can run all of it and
// are expected to start it soonest.
func (rt *router) routeDurable(c *call, now Time) {
	c.allowQueue = true
	for _, o := range rt.candidates(c, now) {
		m := rt.self
		if o.peer != nil {
			m = o.peer.member
		}
		if rt.owners.canServe(m, &c.job) {
			rt.offer(c, o, now)
			return
		}
	}
	if now.Sub(c.job.ReceivedAt) < noOwnerWait {
		c.tried = nil
		rt.deferCall(c, now)
		return
	}
	rt.refuse(c, ReasonNoOwner, minRetryAfter)
}

// retryDeferred routes the deferred calls again.
func (rt *router) retryDeferred(now Time) {
	if !rt.anyDeferred {
		return
	}
	rt.anyDeferred = false
	for _, c := range rt.sortedCalls() {
		if c.deferred {
			c.deferred = false
			rt.route(c, now)
		}
	}
}

// deferCall keeps a call until an owner may be available.
func (rt *router) deferCall(c *call, now Time) {
	c.deferred, rt.anyDeferred = true, true
	entry := LogEntry{Kind: LogJobDeferred, Call: c.id, Job: c.job.ID, Reason: "no owner"}
	switch {
	case now < rt.noOffersUntil:
		entry.Reason = "paused"
	case rt.members.inputLags(now):
		entry.Reason, entry.Age = "input lags", now.Sub(rt.members.inputAt)
	case rt.mayBeResubmitted(c, now):
		entry.Reason = "call not heard of"
	case rt.awaitsOwners(c, now):
		entry.Reason = "owners unknown"
	}
	if c.deferredFor != entry.Reason {
		c.deferredFor = entry.Reason
		rt.effect(entry)
	}
}

// tick runs everything that is due. It times calls out itself, as an unreachable owner
// may not answer in time.
func (rt *router) tick(now Time) {
	rt.retryDeferred(now)
	rt.updateOpenCalls(now)
	for _, c := range rt.sortedCalls() {
		switch {
		case now > c.job.Deadline() && !c.job.Durable:
			rt.end(c, Result{Kind: Unknown, Reason: ReasonDeadline}, now)
		case c.reofferAt != 0 && now >= c.reofferAt:
			rt.reoffer(c, now)
		}
	}
}

// abandonAll answers all remaining calls when the instance stops.
func (rt *router) abandonAll() {
	for _, c := range rt.sortedCalls() {
		rt.finish(c, Result{Kind: Unknown, Reason: ReasonStopping})
	}
}

func (rt *router) offer(c *call, o candidate, now Time) {
	age := now.Sub(c.job.ReceivedAt)
	rt.lastOffer++
	c.offer, c.deferredFor = rt.lastOffer, ""
	rt.logRouted(c, o, now)
	rt.offers[c.offer] = c
	if o.peer == nil {
		c.owner = rt.self
		c.tried = append(c.tried, rt.self.Instance)
		if rt.pool.offer(rt.self, c.offer, c.job, c.allowQueue, now) {
			rt.closeOffer(c)
			rt.route(c, now)
		}
		return
	}
	c.owner = o.peer.member
	c.tried = append(c.tried, c.owner.Instance)
	// Counts the offered work as occupying the owner until it reports its load.
	l := o.load
	l.FreeMilli = max(0, l.FreeMilli-c.job.initialDemand())
	o.peer.setLoad(l)
	rt.effect(SendPeer{To: c.owner, Message: Offer{Call: c.offer, Job: c.job, Age: age, AllowQueue: c.allowQueue, Echo: rt.members.echoFor(o.peer, now)}})
}

// closeOffer ends the open offer of a call, if any.
func (rt *router) closeOffer(c *call) {
	delete(rt.offers, c.offer)
	c.offer, c.owner = 0, Member{}
}

// logRouted logs the choice of an owner and the figures behind it.
func (rt *router) logRouted(c *call, o candidate, now Time) {
	entry := LogEntry{Kind: LogJobRouted, Call: c.id, Offer: c.offer, Job: c.job.ID, Peer: rt.self.Instance, Value: uint64(o.load.FreeMilli), Reason: "start"}
	if c.allowQueue {
		entry.Reason = "queue"
	}
	if o.peer != nil {
		entry.Peer, entry.Age = o.peer.member.Instance, now.Sub(o.peer.heardAt)
	}
	rt.effect(entry)
}

// handleOutcome processes an owner's response to an offer.
func (rt *router) handleOutcome(from Member, o Outcome, now Time) {
	c := rt.offers[o.Call]
	if c == nil || !c.owner.sameIncarnation(from) {
		return
	}
	if o.Declined {
		// A durable job may have been stored before its owner lost the call; any other
		// may have run if the owner no longer knows it.
		c.mayHaveRun = c.mayHaveRun || c.job.Durable || o.Result.Kind == Unknown
		rt.closeOffer(c)
		if o.Result.Reason == ReasonEvacuated { // another owner may start it at once
			c.tried, c.allowQueue, c.queueOffers = []model.Instance{from.Instance}, false, 0
		}
		rt.effect(LogEntry{Kind: LogJobBounced, Call: c.id, Offer: o.Call, Job: c.job.ID, Peer: from.Instance, Reason: declineReason(o)})
		rt.route(c, now)
		return
	}
	if o.Result.Kind != Completed && o.Result.Kind != NotRun {
		rt.recordOrphans(c, now)
	}
	rt.finish(c, o.Result)
}

// declineReason names why an owner declined, for the log.
func declineReason(o Outcome) string {
	if o.Result.Kind == Unknown {
		return "unknown"
	}
	return "refused"
}

// refuse rejects a call that no owner has queued.
func (rt *router) refuse(c *call, reason Reason, retryAfter time.Duration) {
	if !c.mayHaveRun {
		rt.effect(LogEntry{
			Kind: LogJobQueued, Call: c.id, Job: c.job.ID, Reason: RefusedPrefix + string(reason), Age: retryAfter,
			Class: &JobClass{c.job.Route, c.job.Priority, rt.self.Domain},
		})
	}
	rt.finish(c, Result{Kind: NotRun, Reason: reason, RetryAfter: retryAfter})
}

// finish answers the caller.
func (rt *router) finish(c *call, r Result) {
	rt.remove(c)
	rt.closeOffer(c)
	if c.mayHaveRun && r.Kind == NotRun {
		r.Kind = Unknown
	}
	if r.Kind == NotRun {
		r.RetryAfter = max(r.RetryAfter, minRetryAfter)
	}
	rt.effect(Answer{Call: c.id, Result: r})
}

// handleDisconnected cancels a call whose caller has disconnected.
func (rt *router) handleDisconnected(id CallID, now Time) {
	c := rt.calls[id]
	if c == nil {
		return
	}
	rt.remove(c)
	rt.recordOrphans(c, now)
	rt.withdraw(c, now)
}

// handleCancelled ends the call with a job that is cancelled. A durable job is left to its
// holder, which learns from the store whether the job had been stored.
func (rt *router) handleCancelled(job string, now Time) {
	if c := rt.byJob[job]; c != nil {
		rt.end(c, Result{Kind: Cancelled, Reason: ReasonCancelled}, now)
	}
}

// withdraw cancels the open offer of a call, if any.
func (rt *router) withdraw(c *call, now Time) {
	offer, owner := c.offer, c.owner
	rt.closeOffer(c)
	switch owner.Instance {
	case "":
	case rt.self.Instance:
		rt.pool.withdraw(jobKey{rt.self.Instance, rt.self.Incarnation, offer}, now)
	default:
		rt.effect(SendPeer{To: owner, Message: Withdraw{Call: offer}})
	}
}

// sortedCalls returns the calls in order.
func (rt *router) sortedCalls() []*call {
	out := make([]*call, 0, len(rt.calls))
	for _, c := range rt.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return out
}

// handleOwnerLost reclaims the calls of a lost owner. Their runs may continue until
// runsEnd, after which they are offered again; calls that couldn't complete in time
// then are answered. It reports whether there were any.
func (rt *router) handleOwnerLost(owner Member, runsEnd, now Time) (had bool) {
	for _, c := range rt.sortedCalls() {
		if !c.owner.sameIncarnation(owner) {
			continue
		}
		had = true
		rt.withdraw(c, now)
		c.reofferAt = max(runsEnd, now)
		if c.job.Durable || runsEnd.Add(c.job.CriticalPath()) > c.job.Deadline() {
			rt.end(c, Result{Kind: Unknown, Reason: ReasonOwnerLost}, now)
			continue
		}
		rt.effect(LogEntry{Kind: LogJobTakenBack, Call: c.id, Job: c.job.ID, Peer: owner.Instance, Age: runsEnd.Sub(now)})
	}
	return had
}

// reoffer routes a call again whose earlier runs have ended.
func (rt *router) reoffer(c *call, now Time) {
	c.mayHaveRun = true
	if c.reofferAt = rt.earlierRunsEndAt(c, now); c.reofferAt != 0 {
		if !c.job.mayCompleteFrom(c.reofferAt) {
			rt.refuse(c, ReasonResubmitted, c.reofferAt.Sub(now))
		}
		return
	}
	c.tried, c.allowQueue, c.queueOffers = nil, false, 0
	rt.route(c, now)
}

// openOffers returns the offers that an owner should still have.
func (rt *router) openOffers(owner Member) Resync {
	var out Resync
	for _, c := range rt.sortedCalls() {
		if c.owner.sameIncarnation(owner) {
			out.Calls = append(out.Calls, c.offer)
		}
	}
	return out
}
