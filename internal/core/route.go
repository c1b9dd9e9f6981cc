package core

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// routeTimeout is how long a request waits for a reachable owner, long enough
// for a takeover. After it, the caller gets a rejection.
const routeTimeout = 3 * time.Second

// noOwnerRetryAfter is the retry delay for callers after routeTimeout.
const noOwnerRetryAfter = 2 * time.Second

// request is a caller's request on its way to the owner of its shard.
type request struct {
	CallerRequest
	shard               shard.ID
	attempt             uint64       // number of the current attempt
	target              shard.Member // recipient of the attempt, zero if none
	unreachableSince    model.Time   // since when no recipient is reachable, 0 if one is
	maybeAdmitted       bool         // a forwarded attempt may have been admitted
	maybeAdmittedBefore bool         // value of maybeAdmitted before the current attempt
	entry               *list.Element
}

// router holds the requests of this instance's callers.
type router struct {
	byID        map[uint64]*request
	byAttempt   map[uint64]*request
	order       *list.List // of *request, by arrival
	lastAttempt uint64
}

// newRouter derives the first attempt number from the incarnation, so that an
// answer to an earlier process of this instance matches no request.
func newRouter(self shard.Member) router {
	return router{
		lastAttempt: xxhash.Sum64String(string(self.Incarnation)),
		byID:        make(map[uint64]*request),
		byAttempt:   make(map[uint64]*request),
		order:       list.New(),
	}
}

func (r *Reducer) callerRequest(now model.Time, c CallerRequest) {
	q := &request{CallerRequest: c, shard: r.ShardOf(c.identity())}
	q.entry = r.route.order.PushBack(q)
	r.route.byID[c.ID] = q
	r.forward(now, q)
}

func (r *Reducer) callerDisconnected(id uint64) {
	if q := r.route.byID[id]; q != nil {
		r.route.drop(q)
	}
}

func (rt *router) drop(q *request) {
	delete(rt.byID, q.ID)
	delete(rt.byAttempt, q.attempt)
	rt.order.Remove(q.entry)
}

// newAttempt gives the request a new attempt number. Answers to earlier
// attempts are ignored from here on, so that the rejection of one owner is
// never passed on while another may have admitted the job.
func (rt *router) newAttempt(q *request) {
	delete(rt.byAttempt, q.attempt)
	rt.lastAttempt++
	q.attempt = rt.lastAttempt
	rt.byAttempt[q.attempt] = q
}

// owner returns the acting owner of a shard: the first member of its view that
// is not dead.
func (r *Reducer) owner(id shard.ID) (shard.Member, bool) {
	v := r.viewOf(id)
	for _, m := range v.Members {
		if r.peers.Liveness(m) != shard.Dead {
			return m, true
		}
	}
	return shard.Member{}, false
}

func (r *Reducer) viewOf(id shard.ID) shard.View {
	if id.Domain == r.opts.Domain {
		return r.relay.newer(id, r.shards[id.Index].View())
	}
	views := r.views[id.Domain]
	if int(id.Index) >= len(views) {
		return r.relay.newer(id, shard.View{})
	}
	return r.relay.newer(id, views[id.Index])
}

// forward sends a request to the owner of its shard, or leaves it to a later
// tick.
func (r *Reducer) forward(now model.Time, q *request) {
	to, ok := r.owner(q.shard)
	switch {
	case !ok:
		r.waitForOwner(now, q)
	case to == r.opts.Self:
		r.serveLocally(now, q)
	case r.peers.connected(to):
		r.forwardTo(q, to)
	default:
		r.waitForOwner(now, q)
		r.backdateOutage(q, to)
	}
}

// backdateOutage counts the time for which the owner has already been
// unreachable, so that callers are answered at once during a partition.
func (r *Reducer) backdateOutage(q *request, owner shard.Member) {
	if down := r.peers.downSince(owner); down != 0 {
		q.unreachableSince = min(q.unreachableSince, down)
	}
}

func (r *Reducer) waitForOwner(now model.Time, q *request) {
	q.target = shard.Member{}
	if q.unreachableSince == 0 {
		q.unreachableSince = now
	}
}

func (r *Reducer) beginAttempt(q *request, to shard.Member) {
	r.route.newAttempt(q)
	q.target = to
	q.maybeAdmittedBefore = q.maybeAdmitted
}

func (r *Reducer) serveLocally(now model.Time, q *request) {
	s := r.shards[q.shard.Index]
	if !s.CanAdmit() {
		r.waitForOwner(now, q)
		return
	}
	r.beginAttempt(q, r.opts.Self)
	q.unreachableSince = 0
	w := shard.Waiter{Instance: r.opts.Self.Instance, Request: q.attempt}
	if q.Op == OpSubmit {
		q.maybeAdmitted = true
	}
	q.dispatch(now, s, w)
}

// dispatch passes the request to its local shard.
func (c CallerRequest) dispatch(now model.Time, s *shard.Shard, w shard.Waiter) {
	switch c.Op {
	case OpSubmit:
		s.Submit(now, c.Spec, w, c.ReportAdmission)
	case OpLookup:
		s.Lookup(now, c.Identity, w, c.Wait)
	case OpCancel:
		s.Cancel(now, c.Identity, w)
	}
}

func (c CallerRequest) identity() *peerpb.Identity {
	if c.Op == OpSubmit {
		return c.Spec.GetIdentity()
	}
	return c.Identity
}

func (r *Reducer) forwardTo(q *request, to shard.Member) {
	r.beginAttempt(q, to)
	q.unreachableSince = 0
	m := &peerpb.Message{}
	switch q.Op {
	case OpSubmit:
		q.maybeAdmitted = true
		m.Body = &peerpb.Message_Submit{Submit: &peerpb.Submit{
			Request:         q.attempt,
			Spec:            q.Spec,
			ReportAdmission: q.ReportAdmission,
		}}
	case OpLookup:
		m.Body = &peerpb.Message_Lookup{Lookup: &peerpb.Lookup{
			Request:  q.attempt,
			Identity: q.Identity,
			Wait:     q.Wait,
		}}
	case OpCancel:
		m.Body = &peerpb.Message_Cancel{Cancel: &peerpb.Cancel{
			Request:  q.attempt,
			Identity: q.Identity,
		}}
	}
	r.send(to.Instance, m)
}

// retryRequests forwards requests that have no recipient and rejects those that
// timed out.
func (r *Reducer) retryRequests(now model.Time) {
	var following *list.Element
	for e := r.route.order.Front(); e != nil; e = following {
		following = e.Next()
		q := e.Value.(*request)
		r.trackReachability(now, q)
		if q.unreachableSince == 0 {
			continue
		}
		if q.target == (shard.Member{}) {
			r.forward(now, q)
		}
		if q.unreachableSince != 0 && now.Sub(q.unreachableSince) >= routeTimeout {
			r.rejectUnroutable(q)
		}
	}
}

// trackReachability records since when the recipient is unreachable. Its answer
// is still accepted if it arrives.
func (r *Reducer) trackReachability(now model.Time, q *request) {
	if q.target == (shard.Member{}) || q.target == r.opts.Self {
		return
	}
	if r.peers.connected(q.target) {
		q.unreachableSince = 0
		return
	}
	if q.unreachableSince == 0 {
		q.unreachableSince = now
	}
}

func (r *Reducer) rejectUnroutable(q *request) {
	a := &peerpb.Answer{
		Status:       peerpb.Status_STATUS_REFUSED,
		Ran:          peerpb.Ran_RAN_NO,
		Problem:      shard.ProblemNoOwner,
		RetryAfterMs: noOwnerRetryAfter.Milliseconds(),
	}
	if q.shard.Domain != r.opts.Domain {
		a.Problem = ProblemHomeUnreachable
	}
	if q.maybeAdmitted || q.Op != OpSubmit {
		a.Ran = peerpb.Ran_RAN_UNKNOWN
	}
	r.reply(q, r.withholdNotRun(q, a))
}

// ProblemHomeUnreachable is the problem kind for a missing link to the home
// domain.
const ProblemHomeUnreachable = "home-unreachable"

// reroute forwards the requests of a shard to the owner of a new view.
func (r *Reducer) reroute(now model.Time, id shard.ID) {
	owner, _ := r.owner(id)
	r.rerouteIf(now, func(q *request) bool { return q.shard == id && q.target != owner })
}

// rerouteFrom forwards the requests again that a session reset may have lost.
func (r *Reducer) rerouteFrom(now model.Time, m shard.Member) {
	r.rerouteIf(now, func(q *request) bool { return q.target == m })
}

// rerouteDead forwards the requests again that were sent to a dead process.
func (r *Reducer) rerouteDead(now model.Time) {
	r.rerouteIf(now, func(q *request) bool {
		return q.target != (shard.Member{}) && r.peers.Liveness(q.target) == shard.Dead
	})
}

func (r *Reducer) rerouteIf(now model.Time, match func(*request) bool) {
	var following *list.Element
	for e := r.route.order.Front(); e != nil; e = following {
		following = e.Next()
		q := e.Value.(*request)
		if match(q) {
			r.forward(now, q)
		}
	}
}

// peerRequest handles a request forwarded by another instance under its attempt
// number.
func (r *Reducer) peerRequest(now model.Time, from shard.Member, attempt uint64, c CallerRequest) {
	w := shard.Waiter{Instance: from.Instance, Request: attempt}
	s := r.homeShard(c.identity())
	if s == nil {
		r.replyNotOwner(w)
		return
	}
	c.dispatch(now, s, w)
}

func (r *Reducer) homeShard(id *peerpb.Identity) *shard.Shard {
	if model.Domain(id.GetHome()) != r.opts.Domain {
		return nil
	}
	return r.shards[r.ShardOf(id).Index]
}

func (r *Reducer) replyNotOwner(w shard.Waiter) {
	r.send(w.Instance, &peerpb.Message{Body: &peerpb.Message_Answer{Answer: &peerpb.Answer{
		Request: w.Request,
		Status:  peerpb.Status_STATUS_REFUSED,
		Ran:     peerpb.Ran_RAN_NO,
		Problem: shard.ProblemNotOwner,
	}}})
}
