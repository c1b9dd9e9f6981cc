package shard

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// InstallView installs a view that the platform holds. Older views are ignored.
func (s *Shard) InstallView(now model.Time, v View) {
	if v.Epoch <= s.view.Epoch {
		return
	}
	old := s.view
	s.view = v
	s.floor = max(s.floor, v.Floor)
	s.promisedEpoch = max(s.promisedEpoch, v.Epoch)
	switch {
	case v.Owner() == s.env.Self:
		s.installOwner(now, old)
	case v.Has(s.env.Self):
		s.installReplica(now, old)
	case s.role == RoleLearner && v.Owner() == s.source:
		// The owner lost a replica while this instance was learning.
	default:
		s.dropShard(now)
	}
}

func (s *Shard) notify(k NotificationKind) {
	s.env.Effects.Notifications = append(s.env.Effects.Notifications, Notification{Kind: k, ID: s.id, View: s.view})
}

func (s *Shard) installOwner(now model.Time, old View) {
	if s.role != RoleOwner {
		if !old.Has(s.env.Self) {
			s.reset()
			if old.Epoch > 0 {
				s.notify(NotifyFloorRaised)
			}
		}
		remote := s.becomeOwner()
		// The takeover's operations must reach the replica.
		s.syncFollowers()
		s.resumeJobs(now, remote)
	}
	s.syncFollowers()
	s.unseal(now)
	s.broadcastView()
	s.runCommitted(now)
}

// syncFollowers makes the followers match the view. A synced learner that isn't
// in the view is kept unless commits already waited for it.
func (s *Shard) syncFollowers() {
	kept := s.followers[:0]
	for _, f := range s.followers {
		inView := s.view.Has(f.member)
		if !inView && (f.required || !f.synced) {
			continue
		}
		f.required = inView
		kept = append(kept, f)
	}
	s.followers = kept
	for _, m := range s.view.Members {
		if m != s.env.Self && s.follower(m.Instance) == nil {
			s.addFollower(m)
		}
	}
}

// addFollower adds the replica that the view names. It holds what this instance
// held at the view change.
func (s *Shard) addFollower(m Member) {
	s.followers = append(s.followers, &follower{
		member:   m,
		required: true,
		synced:   true,
		ackedSeq: s.logBase,
		sentSeq:  s.logBase,
	})
}

func (s *Shard) broadcastView() {
	for _, f := range s.followers {
		s.env.send(f.member.Instance, &peerpb.Message{
			Body: &peerpb.Message_View{View: s.view.Proto(s.id)},
		})
		f.sentSeq = f.ackedSeq
	}
	s.requestFlush()
}

// installReplica follows the view's owner, keeping the existing records.
func (s *Shard) installReplica(now model.Time, old View) {
	if s.role == RoleOwner {
		s.demote(now)
	}
	s.role = RoleReplica
	s.source = s.view.Owner()
	s.handover = nil
}

// demote turns an owner into a replica. Results of tasks in flight are
// forwarded to the new owner, and waiting requests are redirected to it.
func (s *Shard) demote(now model.Time) {
	// The new owner must have the view before the results arrive.
	s.sendView(s.view.Owner())
	s.abortOnCommit(now)
	for _, r := range s.order {
		if r.job != nil {
			s.dequeueKeepInFlight(now, r)
		}
	}
	s.followers = nil
	s.log = nil
	for _, d := range s.deferredSubmissions {
		s.redirect([]Waiter{d.waiter})
	}
	s.deferredSubmissions = nil
	s.sealed = false
	for _, d := range s.deferredResults {
		s.forwardResult(now, d.rec, d.res)
	}
	s.deferredResults = nil
}

// abortOnCommit drops the pending commit actions and releases the slots of
// starts that will not be sent.
func (s *Shard) abortOnCommit(now model.Time) {
	for _, a := range s.onCommit {
		if a.rec != nil {
			s.env.Scheduler.Done(now, a.start, sched.OutcomeNotStarted, 0)
		}
		s.redirect(a.waiters)
	}
	s.onCommit = nil
}

// redirect tells waiters to retry at the new owner.
func (s *Shard) redirect(waiters []Waiter) {
	for _, w := range waiters {
		s.reject(w, ProblemNotOwner, peerpb.Ran_RAN_UNKNOWN, 0)
	}
}

// dequeueKeepInFlight removes a job from the scheduler. Its handles stay
// registered while tasks are in flight, so that their results find the record.
func (s *Shard) dequeueKeepInFlight(now model.Time, r *record) {
	j := r.job
	for _, h := range j.handles {
		s.env.Scheduler.Cancel(now, h)
		if j.inFlightCount == 0 {
			delete(s.env.jobs, h)
		}
	}
	s.redirect(j.waiters)
	j.waiters = nil
}

// dropShard drops a shard that other instances hold.
func (s *Shard) dropShard(now model.Time) {
	if s.role == RoleOwner {
		s.demote(now)
	}
	s.role = RoleNone
	s.source = s.view.Owner()
	s.reset()
}

func (s *Shard) sendView(to Member) {
	s.env.send(to.Instance, &peerpb.Message{Body: &peerpb.Message_View{View: s.view.Proto(s.id)}})
}
