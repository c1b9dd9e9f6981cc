package shard

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// InstallView takes a view that the platform holds. Older views are ignored.
func (s *Shard) InstallView(now model.Time, v View) {
	if v.Epoch <= s.view.Epoch {
		return
	}
	old := s.view
	s.view = v
	s.floor = max(s.floor, v.Floor)
	s.fence = max(s.fence, v.Epoch)
	switch {
	case v.Owner() == s.env.Self:
		s.installOwner(now, old)
	case v.Has(s.env.Self):
		s.installReplica(now, old)
	case s.role == RoleLearner && v.Owner() == s.from:
		// The owner has lost a replica while this instance learns.
	default:
		s.leave(now)
	}
}

func (s *Shard) note(k NotificationKind) {
	s.env.Effects.Notifications = append(s.env.Effects.Notifications, Notification{Kind: k, ID: s.id, View: s.view})
}

func (s *Shard) installOwner(now model.Time, old View) {
	if s.role != RoleOwner {
		if !old.Has(s.env.Self) {
			s.reset()
			if old.Epoch > 0 {
				s.note(NotifyFloorRaised)
			}
		}
		open := s.beginOwning()
		// What the takeover appends has to reach the replica.
		s.keepMembers()
		s.resumeJobs(now, open)
	}
	s.keepMembers()
	s.unseal(now)
	s.notifyView()
	s.advance(now)
}

// keepMembers makes the followers match the view. A learner that the view
// does not name yet stays.
func (s *Shard) keepMembers() {
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

// addFollower adds the replica that the view names. It holds what this
// instance held when the view changed hands.
func (s *Shard) addFollower(m Member) {
	s.followers = append(s.followers, &follower{
		member:   m,
		required: true,
		synced:   true,
		acked:    s.logBase,
		sent:     s.logBase,
	})
}

func (s *Shard) notifyView() {
	for _, f := range s.followers {
		s.env.send(f.member.Instance, &peerpb.Message{
			Body: &peerpb.Message_View{View: s.view.Proto(s.id)},
		})
		f.sent = f.acked
	}
	s.markUrgent()
}

// installReplica follows the view's owner with the records at hand.
func (s *Shard) installReplica(now model.Time, old View) {
	if s.role == RoleOwner {
		s.demote(now)
	}
	s.role = RoleReplica
	s.from = s.view.Owner()
	s.handOver = nil
}

// demote turns an owner into a replica. Tasks in flight are reported to the
// new owner as they end. The entry instances are told to ask the new owner.
func (s *Shard) demote(now model.Time) {
	// The new owner has to know the view before the results come.
	s.sendView(s.view.Owner())
	s.releaseWaits(now)
	for _, r := range s.order {
		if r.job != nil {
			s.unqueueKeepFlight(now, r)
		}
	}
	s.followers = nil
	s.log = nil
	for _, p := range s.parked {
		s.sendAway([]Waiter{p.waiter})
	}
	s.parked = nil
	s.sealed = false
	for _, h := range s.held {
		s.forwardResult(now, h.rec, h.res)
	}
	s.held = nil
}

// releaseWaits gives back the slots of starts that will not leave.
func (s *Shard) releaseWaits(now model.Time) {
	for _, w := range s.waits {
		if w.rec != nil {
			s.env.Scheduler.Done(now, w.start, sched.OutcomeNotStarted, 0)
		}
		s.sendAway(w.waiters)
	}
	s.waits = nil
}

// sendAway tells waiters to ask the new owner.
func (s *Shard) sendAway(waiters []Waiter) {
	for _, w := range waiters {
		s.refuse(w, ProblemNotOwner, peerpb.Ran_RAN_UNKNOWN, 0)
	}
}

// unqueueKeepFlight removes a job from the queue. Its handles stay known while
// tasks are in flight, so that their results find the record.
func (s *Shard) unqueueKeepFlight(now model.Time, r *record) {
	j := r.job
	for _, h := range j.handles {
		s.env.Scheduler.Cancel(now, h)
		if j.started == 0 {
			delete(s.env.jobs, h)
		}
	}
	s.sendAway(j.waiters)
	j.waiters = nil
}

// leave forgets a shard that is held elsewhere.
func (s *Shard) leave(now model.Time) {
	if s.role == RoleOwner {
		s.demote(now)
	}
	s.role = RoleNone
	s.from = s.view.Owner()
	s.reset()
}

func (s *Shard) sendView(to Member) {
	s.env.send(to.Instance, &peerpb.Message{Body: &peerpb.Message_View{View: s.view.Proto(s.id)}})
}
