package shard

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Targets are the members that a shard should have, by rendezvous hashing
// over the live instances of its domain.
type Targets struct {
	Owner   Member
	Replica Member // the zero Member if there is none
}

// Proposal is a view that an instance wants the platform to hold next.
type Proposal struct {
	View View
	// NeedsPromise is set if this instance has to stop acknowledging the present
	// owner before the view is written.
	NeedsPromise bool
}

// Propose returns the next view that this instance should write, if any. It
// may begin the copy to a learner or a hand-over, which lead to a proposal
// later.
func (s *Shard) Propose(now model.Time, t Targets) (Proposal, bool) {
	if s.env.Suspended {
		return Proposal{}, false
	}
	switch {
	case s.view.Epoch == 0:
		return s.proposeFirst(now, t)
	case s.role == RoleOwner:
		return s.proposeOwner(now, t)
	case s.role == RoleReplica:
		return s.proposeReplica()
	}
	return s.proposeReplacement(now, t)
}

// proposeFirst makes the first view of a new shard. Nothing was admitted
// before it, but a caller's clock may be ahead of this one.
func (s *Shard) proposeFirst(now model.Time, t Targets) (Proposal, bool) {
	if t.Owner != s.env.Self {
		return Proposal{}, false
	}
	return s.nextView(now.Add(-s.env.Opts.MaxClockSkew), s.env.Self), true
}

func (s *Shard) nextView(floor model.Time, members ...Member) Proposal {
	return Proposal{View: View{
		Epoch:   s.view.Epoch + 1,
		Members: members,
		Floor:   max(s.floor, floor),
	}}
}

func (s *Shard) proposeOwner(now model.Time, t Targets) (Proposal, bool) {
	if s.sealed {
		return s.proposeHandover()
	}
	if s.viewOutdated() {
		return s.nextView(0, s.liveMembers()...), true
	}
	if f := s.syncedLearner(); f != nil {
		return s.proposeLearner(now, f)
	}
	s.moveToward(now, t)
	return Proposal{}, false
}

// proposeLearner makes a learner a member. It may take over as soon as the
// change has taken effect, so before it is written, commits have to wait for
// the learner, and it has to hold all that was committed without it.
func (s *Shard) proposeLearner(now model.Time, f *follower) (Proposal, bool) {
	if !f.required {
		f.required = true
		f.requiredFrom = s.seq
	}
	if f.ackedSeq < f.requiredFrom {
		return Proposal{}, false
	}
	if old, ok := s.replicaReplacedBy(f); ok && !s.obtainRelease(now, old) {
		return Proposal{}, false
	}
	return s.nextView(0, s.env.Self, f.member), true
}

// proposeHandover makes the successor the owner once it holds everything.
func (s *Shard) proposeHandover() (Proposal, bool) {
	f := s.follower(s.successor.Instance)
	if f == nil || s.env.Peers.Liveness(s.successor) != Alive {
		// An earlier write of the hand-over may still land, so the shard
		// stays sealed until this one or that one is known to have won.
		return s.nextView(0, s.env.Self), true
	}
	if !f.required || f.ackedSeq < s.seq {
		return Proposal{}, false
	}
	return s.nextView(0, s.successor, s.env.Self), true
}

// viewOutdated reports whether the view names another owner or a member
// that is gone or silent.
func (s *Shard) viewOutdated() bool {
	if s.view.Owner() != s.env.Self {
		return true
	}
	for _, m := range s.view.Members[1:] {
		if s.env.Peers.Liveness(m) != Alive || s.follower(m.Instance) == nil {
			return true
		}
	}
	return s.lostLearner()
}

// lostLearner reports whether commits wait for a learner that no view names
// yet and that does not answer. A write that names it may still land, so that
// it is left out by a view of a later epoch only.
func (s *Shard) lostLearner() bool {
	for _, f := range s.followers {
		if f.required && !s.view.Has(f.member) && s.env.Peers.Liveness(f.member) != Alive {
			return true
		}
	}
	return false
}

// liveMembers returns this instance and the member that is left: the present
// one if it lives, or a learner that commits wait for already. A learner that
// has not caught up is none yet, and no write names it.
func (s *Shard) liveMembers() []Member {
	for _, f := range s.followers {
		if f.required && s.view.Has(f.member) && s.env.Peers.Liveness(f.member) == Alive {
			return []Member{s.env.Self, f.member}
		}
	}
	for _, f := range s.followers {
		if f.required && f.ackedSeq >= f.requiredFrom && s.env.Peers.Liveness(f.member) == Alive {
			return []Member{s.env.Self, f.member}
		}
	}
	return []Member{s.env.Self}
}

func (s *Shard) syncedLearner() *follower {
	for _, f := range s.followers {
		if f.synced && !s.view.Has(f.member) && s.env.Peers.Liveness(f.member) == Alive {
			return f
		}
	}
	return nil
}

// moveToward begins the next step from the present members to the targets.
func (s *Shard) moveToward(now model.Time, t Targets) {
	if t.Owner != s.env.Self && s.view.Has(t.Owner) {
		s.Seal(now, t.Owner)
		return
	}
	want := t.Replica
	if t.Owner != s.env.Self {
		want = t.Owner
	}
	none := Member{}
	if want == none || want == s.env.Self || s.view.Has(want) {
		return
	}
	if s.env.Peers.Liveness(want) == Alive {
		s.AddLearner(now, want)
	}
}

// proposeReplica takes over from a silent owner. The promise not to
// acknowledge its operations comes before the change is written.
func (s *Shard) proposeReplica() (Proposal, bool) {
	switch owner := s.env.Peers.Liveness(s.view.Owner()); {
	case owner == Silent:
	case owner == Dead && s.releasedEpoch == s.view.Epoch:
		// The owner may have replaced this replica, unseen. If so the write
		// conflicts.
	default:
		return s.proposeRenewal()
	}
	p := s.nextView(0, s.env.Self)
	p.NeedsPromise = true
	return p, true
}

// proposeRenewal lets an owner that answers again go on after a promise that
// led to no takeover: only a later epoch ends the promise.
func (s *Shard) proposeRenewal() (Proposal, bool) {
	if s.promisedEpoch <= s.view.Epoch {
		return Proposal{}, false
	}
	return s.nextView(0, s.view.Members...), true
}

// Promise refuses operations of epochs before the one given, for ever.
func (s *Shard) Promise(epoch uint64) { s.promisedEpoch = max(s.promisedEpoch, epoch) }

// proposeReplacement replaces members that are all gone. Their records are lost, so
// the floor passes every submission time that they can have admitted.
func (s *Shard) proposeReplacement(now model.Time, t Targets) (Proposal, bool) {
	if s.anyMemberBelow(Silent) {
		s.membersDeadSince = 0
		return Proposal{}, false
	}
	if t.Owner != s.env.Self && !s.mayStandIn(now) {
		return Proposal{}, false
	}
	return s.nextView(now.Add(floorAfterLoss(s.env.Opts.MaxClockSkew)), s.env.Self), true
}

// standInDelay is the time that the first target has to replace members that
// are all gone.
const standInDelay = 2 * time.Second

// mayStandIn reports whether this instance, which is not the first target, has
// known for long that all members are dead. The first target may lack the
// proof: it may have heard of a member only after it had connected to the next
// process at that address.
func (s *Shard) mayStandIn(now model.Time) bool {
	if s.env.Leaving || s.anyMemberBelow(Dead) {
		s.membersDeadSince = 0
		return false
	}
	if s.membersDeadSince == 0 {
		s.membersDeadSince = now
	}
	return now.Sub(s.membersDeadSince) >= standInDelay
}

// anyMemberBelow reports whether less than that is known of any member.
func (s *Shard) anyMemberBelow(l Liveness) bool {
	for _, m := range s.view.Members {
		if s.env.Peers.Liveness(m) < l {
			return true
		}
	}
	return false
}

// floorAfterLoss is how far the floor lies past the present time once records are
// lost. The old owner admitted up to skew ahead of its clock, its clock was up
// to skew ahead of the true time, and this clock may be skew behind it; keys
// have a resolution of a millisecond, and a key at the floor is admitted.
func floorAfterLoss(skew time.Duration) time.Duration {
	return 3*skew + time.Millisecond
}

// AbandonHandover takes that a proposed hand-over was certainly not written.
func (s *Shard) AbandonHandover(now model.Time) {
	if s.role == RoleOwner {
		s.unseal(now)
	}
}
