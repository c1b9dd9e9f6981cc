package core

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// replyTo passes an answer of a local shard to its waiter, here or at another
// instance.
func (r *Reducer) replyTo(now model.Time, rep shard.Reply) {
	if rep.To.Instance == r.opts.Self.Instance {
		r.deliver(now, rep.To.Request, rep.Answer)
		return
	}
	a := &peerpb.Answer{
		Request:      rep.To.Request,
		Status:       rep.Answer.Status,
		Ran:          rep.Answer.Ran,
		Problem:      rep.Answer.Problem,
		Detail:       rep.Answer.Detail,
		RetryAfterMs: rep.Answer.RetryAfterMs,
		Recorded:     rep.Answer.Recorded,
		Results:      rep.Answer.Results,
	}
	r.send(rep.To.Instance, &peerpb.Message{Body: &peerpb.Message_Answer{Answer: a}})
}

func (r *Reducer) handleAnswer(now model.Time, from shard.Member, a *peerpb.Answer) {
	if a.Problem == shard.ProblemLinkReset {
		r.handleLinkReset(now, from)
		return
	}
	r.deliver(now, a.Request, a)
}

// sendLinkReset tells a peer that messages to it were lost, or could not be
// sent before the link was up.
func (r *Reducer) sendLinkReset(to shard.Member) {
	r.send(to.Instance, &peerpb.Message{Body: &peerpb.Message_Answer{Answer: &peerpb.Answer{
		Problem: shard.ProblemLinkReset,
	}}})
}

// handleLinkReset requests the answers and task results again that a peer may
// have sent.
func (r *Reducer) handleLinkReset(now model.Time, from shard.Member) {
	r.rerouteFrom(now, from)
	for _, s := range r.shards {
		s.RequestResults(now, from)
	}
}

// deliver passes an answer to the caller. Answers to superseded attempts and
// duplicate answers match no request and are dropped.
func (r *Reducer) deliver(now model.Time, attempt uint64, a *peerpb.Answer) {
	q := r.route.byAttempt[attempt]
	if q == nil {
		return
	}
	if a.Problem == shard.ProblemNotOwner {
		if a.Ran == peerpb.Ran_RAN_NO {
			// This attempt was certainly not admitted: an owner that had
			// admitted it and was replaced would answer RAN_UNKNOWN.
			q.maybeAdmitted = q.maybeAdmittedBefore
		}
		r.waitForOwner(now, q)
		return
	}
	r.reply(q, r.withholdNotRun(q, a))
}

// withholdNotRun changes an unrecorded rejection from "not run" to "unknown"
// while another copy of the submission may be admitted: an earlier attempt of
// this request, or a copy that the caller sent before.
func (r *Reducer) withholdNotRun(q *request, a *peerpb.Answer) *peerpb.Answer {
	refused := a.Status == peerpb.Status_STATUS_REFUSED && a.Ran == peerpb.Ran_RAN_NO
	if !refused || a.Recorded || q.Op != OpSubmit || !q.maybeAdmittedBefore && q.Spec.FirstAttempt {
		return a
	}
	return &peerpb.Answer{
		Status:       a.Status,
		Ran:          peerpb.Ran_RAN_UNKNOWN,
		Problem:      a.Problem,
		Detail:       a.Detail,
		RetryAfterMs: a.RetryAfterMs,
	}
}

func (r *Reducer) reply(q *request, a *peerpb.Answer) {
	r.effects.Replies = append(r.effects.Replies, Reply{ID: q.ID, Answer: a})
	if a.Status == peerpb.Status_STATUS_PENDING && q.Op == OpSubmit {
		return
	}
	r.route.drop(q)
}
