package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of how a job finds its owner.
const (
	maxOffers = 2 // owners that are asked for a start at once, before the job is queued or refused
	maxQueued = 3 // offers to queues, whose owner may be leaving
	// noOwnerHold is how long a job waits for the first owner: a fleet that
	// starts has owners within that time.
	noOwnerHold = 400 * time.Millisecond
	// minRetryAfter is the least that a refused caller is told to wait: about
	// the time in which a burst is worked off.
	minRetryAfter = time.Second
)

// call is a job whose caller waits at this instance.
type call struct {
	id     CallID
	offer  CallID // of the last offer, 0 while it has no owner
	job    JobSpec
	owner  Member
	tried  []model.Instance // that could not start it at once
	final  bool             // it goes to a queue
	queued int              // offers to a queue so far
	held   bool             // there was no owner to offer it to
	ran    bool             // an owner that was lost may have run it

	resumeAt Time // it is offered again once the runs of a lost owner are gone
}

// home holds the calls of this instance and finds an owner for each.
type home struct {
	self    Member
	effect  func(Effect)
	members *members
	owners  *owners
	pool    *pool
	calls   map[CallID]*call
	// offers are the calls by their last offer. Each offer has an ID of its own,
	// so that a late answer to an earlier one changes nothing.
	offers    map[CallID]*call
	lastOffer CallID

	settleTill Time // nothing is offered before, after the process stood still
	anyHeld    bool // some calls are held
}

func newHome(self Member, m *members, o *owners, p *pool, effect func(Effect)) *home {
	return &home{self: self, effect: effect, members: m, owners: o, pool: p, calls: map[CallID]*call{}, offers: map[CallID]*call{}}
}

// option is an owner that a job may be offered to.
type option struct {
	peer *peer // nil for this instance
	load Load
	near bool
}

// options returns the owners for a job that were not tried, the best first.
func (h *home) options(c *call, now Time) []option {
	var out []option
	add := func(o option, m Member) {
		if o.load.Servers > 0 && !slices.Contains(c.tried, m.Instance) {
			o.near = m.Domain == h.self.Domain
			out = append(out, o)
		}
	}
	add(option{load: h.pool.load(c.job.Service, now)}, h.self)
	for _, p := range h.members.order {
		if p.reachable(now) && !p.leaving {
			add(option{peer: p, load: p.load(c.job.Service)}, p.member)
		}
	}
	need := c.job.firstNeed()
	slices.SortStableFunc(out, func(a, b option) int { return compareOptions(a, b, need) })
	return out
}

// compareOptions prefers owners with room for all of a job, those of the own
// domain among them, then the ones with the most room, or the shortest wait.
func compareOptions(a, b option, need float64) int {
	aFits, bFits := a.load.FreeMilli >= need, b.load.FreeMilli >= need
	switch {
	case aFits != bFits:
		return boolOrder(aFits, bFits)
	case aFits && a.near != b.near:
		return boolOrder(a.near, b.near)
	case aFits:
		return cmp.Compare(b.load.FreeMilli/b.load.CapacityMilli, a.load.FreeMilli/a.load.CapacityMilli)
	}
	return cmp.Or(
		cmp.Compare(a.load.ExpectedWait.Round(waitGrain), b.load.ExpectedWait.Round(waitGrain)),
		cmp.Compare(b.load.FreeMilli, a.load.FreeMilli))
}

// waitGrain is the difference between waits that is worth a hop to another
// domain.
const waitGrain = 5 * time.Millisecond

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// firstNeed returns the CPU of the tasks that can start at once, in milli-cores.
func (j *JobSpec) firstNeed() float64 {
	n := 0.0
	for _, s := range j.Steps {
		if len(s.DependsOn) == 0 {
			n += float64(s.Count) * float64(s.Need.CPUMilli)
		}
	}
	return n
}

// submitted takes a job in from a caller.
func (h *home) submitted(e JobSubmitted, now Time) {
	c := &call{id: e.Call, job: e.Job}
	h.calls[c.id] = c
	if !h.owners.couldHold(&c.job) {
		h.finish(c, Result{Kind: NotRun, Reason: ReasonTooLarge, RetryAfter: minRetryAfter})
		return
	}
	h.route(c, now)
}

// route offers a job to the owner that can start it at once. One that has to
// wait goes to the owner that keeps the queue.
func (h *home) route(c *call, now Time) {
	if now < h.settleTill {
		h.hold(c)
		return
	}
	if c.job.Durable {
		h.routeKept(c, now)
		return
	}
	service := c.job.Service
	keeper := h.members.queueKeeper(service, h.pool.serverCount(service), now)
	options := h.options(c, now)
	waiting := h.pool.waitingTasks(service)
	if keeper != nil {
		waiting = keeper.load(service).QueuedTasks
	}
	if c.final = c.final || waiting > 0 || len(c.tried) >= maxOffers; !c.final && len(options) > 0 {
		h.offer(c, options[0], now)
		return
	}
	c.final = true
	c.queued++
	switch {
	case c.queued > maxQueued:
		h.finish(c, Result{Kind: NotRun, Reason: ReasonOverload, RetryAfter: minRetryAfter})
	case keeper != nil:
		h.offer(c, option{peer: keeper, load: keeper.load(service)}, now)
	case h.pool.serverCount(service) > 0:
		h.offer(c, option{}, now)
	case now.Sub(c.job.ReceivedAt) < noOwnerHold:
		c.queued = 0
		h.hold(c)
	default:
		h.finish(c, Result{Kind: NotRun, Reason: ReasonNoOwner, RetryAfter: minRetryAfter})
	}
}

// routeKept offers a job that is to be kept to the owner whose servers can run
// all of it and are expected to begin soonest.
func (h *home) routeKept(c *call, now Time) {
	c.final = true
	for _, o := range h.options(c, now) {
		m := h.self
		if o.peer != nil {
			m = o.peer.member
		}
		if h.owners.canServe(m, &c.job) {
			h.offer(c, o, now)
			return
		}
	}
	if now.Sub(c.job.ReceivedAt) < noOwnerHold {
		c.tried = nil
		h.hold(c)
		return
	}
	h.finish(c, Result{Kind: NotRun, Reason: ReasonNoOwner, RetryAfter: minRetryAfter})
}

// retryHeld offers the jobs again for which there was no owner.
func (h *home) retryHeld(now Time) {
	if !h.anyHeld {
		return
	}
	h.anyHeld = false
	for _, c := range h.sorted() {
		if c.held {
			c.held = false
			h.route(c, now)
		}
	}
}

// hold keeps a call until an owner may be there.
func (h *home) hold(c *call) { c.held, h.anyHeld = true, true }

// tick does what is due by time. An owner that can't be reached may not answer
// in time.
func (h *home) tick(now Time) {
	h.retryHeld(now)
	for _, c := range h.sorted() {
		switch {
		case now > c.job.Deadline() && !c.job.Durable:
			h.withdraw(c, now)
			h.finish(c, Result{Kind: Unknown, Reason: ReasonDeadline})
		case c.resumeAt != 0 && now >= c.resumeAt:
			h.resume(c, now)
		}
	}
}

// giveUp answers all calls that are left when the instance ends.
func (h *home) giveUp() {
	for _, c := range h.sorted() {
		h.finish(c, Result{Kind: Unknown, Reason: ReasonStopping})
	}
}

func (h *home) offer(c *call, o option, now Time) {
	age := now.Sub(c.job.ReceivedAt)
	h.noteRouted(c, o, now)
	h.forgetOffer(c)
	h.lastOffer++
	c.offer = h.lastOffer
	h.offers[c.offer] = c
	if o.peer == nil {
		c.owner = h.self
		c.tried = append(c.tried, h.self.Instance)
		if h.pool.offer(h.self, c.offer, c.job, c.final, now) {
			h.route(c, now)
		}
		return
	}
	c.owner = o.peer.member
	c.tried = append(c.tried, c.owner.Instance)
	// Until the owner says more, its room counts as taken.
	l := o.load
	l.FreeMilli = max(0, l.FreeMilli-c.job.firstNeed())
	o.peer.setLoad(l)
	h.effect(SendPeer{To: c.owner, Message: Offer{Call: c.offer, Job: c.job, Age: age, AllowQueue: c.final}})
}

func (h *home) forgetOffer(c *call) {
	delete(h.offers, c.offer)
	c.offer = 0
}

// noteRouted tells on which figures an owner was chosen.
func (h *home) noteRouted(c *call, o option, now Time) {
	n := LogEntry{Kind: LogJobRouted, Call: c.id, Job: c.job.ID, Peer: h.self.Instance, Value: uint64(o.load.FreeMilli), Reason: "start"}
	if c.final {
		n.Reason = "queue"
	}
	if o.peer != nil {
		n.Peer, n.Age = o.peer.member.Instance, now.Sub(o.peer.heardAt)
	}
	h.effect(n)
}

// outcome takes in what an owner says of an offer.
func (h *home) outcome(from Member, o Outcome, now Time) {
	c := h.offers[o.Call]
	if c == nil || !c.owner.same(from) {
		return
	}
	if o.Declined {
		// A job to be kept may have been stored before its owner lost sight of the
		// call; another may have run if the owner no longer knows.
		c.ran = c.ran || c.job.Durable || o.Result.Kind == Unknown
		h.effect(LogEntry{Kind: LogJobBounced, Call: c.id, Job: c.job.ID, Peer: from.Instance})
		h.route(c, now)
		return
	}
	h.finish(c, o.Result)
}

// finish answers the caller.
func (h *home) finish(c *call, r Result) {
	delete(h.calls, c.id)
	h.forgetOffer(c)
	if c.ran && r.Kind == NotRun {
		r.Kind = Unknown
	}
	if r.Kind == NotRun {
		r.RetryAfter = max(r.RetryAfter, minRetryAfter)
	}
	h.effect(Answer{Call: c.id, Result: r})
}

// gone gives a call up whose caller has left.
func (h *home) gone(id CallID, now Time) {
	c := h.calls[id]
	if c == nil {
		return
	}
	delete(h.calls, id)
	h.withdraw(c, now)
}

// withdraw tells the owner of a call, if any, that nobody waits for it.
func (h *home) withdraw(c *call, now Time) {
	offer := c.offer
	h.forgetOffer(c)
	switch c.owner.Instance {
	case "":
	case h.self.Instance:
		h.pool.withdraw(jobKey{h.self.Instance, h.self.Incarnation, offer}, now)
	default:
		h.effect(SendPeer{To: c.owner, Message: Withdraw{Call: offer}})
	}
}

// sorted returns the calls in order.
func (h *home) sorted() []*call {
	out := make([]*call, 0, len(h.calls))
	for _, c := range h.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return out
}

// ownerLost takes the calls back whose owner is gone or silent. Their runs may
// go on until a time, after which they are offered again; calls whose callers
// don't wait that long are answered.
func (h *home) ownerLost(owner Member, gone, now Time) {
	for _, c := range h.sorted() {
		if !c.owner.same(owner) || c.resumeAt != 0 {
			continue
		}
		if c.job.Durable || gone.Add(c.job.CriticalPath()) > c.job.Deadline() {
			h.finish(c, Result{Kind: Unknown, Reason: ReasonOwnerLost})
			continue
		}
		h.withdraw(c, now)
		h.effect(LogEntry{Kind: LogJobTakenBack, Call: c.id, Job: c.job.ID, Peer: owner.Instance, Age: gone.Sub(now)})
		c.owner, c.resumeAt = Member{}, max(gone, now)
	}
}

// resume offers a call again whose runs are gone by now.
func (h *home) resume(c *call, now Time) {
	c.resumeAt, c.tried, c.final, c.queued = 0, nil, false, 0
	c.ran = true
	h.route(c, now)
}

// resync returns the calls that an owner should still have.
func (h *home) resync(owner Member) Resync {
	var out Resync
	for _, c := range h.sorted() {
		if c.owner.same(owner) {
			out.Calls = append(out.Calls, c.offer)
		}
	}
	return out
}
