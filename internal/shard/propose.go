package shard

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Targets are the preferred members of a shard, by rendezvous hashing over the
// live instances of its domain.
type Targets struct {
	Owner   Member
	Replica Member // zero if there is none
}

// Proposal is a view that this instance wants to write to the platform.
type Proposal struct {
	View View
	// NeedsPromise is set if this instance must stop acknowledging the current
	// owner before the view is written.
	NeedsPromise bool
}

// Propose returns the next view that this instance should write, if any. It may
// instead start a learner copy or a handover, which leads to a proposal later.
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

// proposeFirst returns the first view of a new shard. Nothing was admitted
// before, but the floor allows for this clock being ahead of the caller's.
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

// proposeLearner makes a learner a member. It may take over as soon as the view
// is in force, so before the write, commits must wait for the learner, and it
// must hold everything that was committed without it.
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

// proposeHandover makes the successor the owner once it has acknowledged
// everything.
func (s *Shard) proposeHandover() (Proposal, bool) {
	f := s.follower(s.successor.Instance)
	if f == nil || s.env.Peers.Liveness(s.successor) != Alive {
		// An earlier write of the handover may still take effect, so the shard
		// stays sealed until one of the two writes is known to have won.
		return s.nextView(0, s.env.Self), true
	}
	if !f.required || f.ackedSeq < s.seq {
		return Proposal{}, false
	}
	return s.nextView(0, s.successor, s.env.Self), true
}

// viewOutdated reports whether the view names another owner, or a member that
// is dead or silent.
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

// lostLearner reports whether commits wait for a learner that isn't in the view
// and is unresponsive. A write that adds it may still take effect, so only a
// view of a later epoch excludes it safely.
func (s *Shard) lostLearner() bool {
	for _, f := range s.followers {
		if f.required && !s.view.Has(f.member) && s.env.Peers.Liveness(f.member) != Alive {
			return true
		}
	}
	return false
}

// liveMembers returns this instance and the remaining member: the current
// replica if it is alive, otherwise a learner that commits already wait for. A
// learner that hasn't caught up is left out, so that no write names it.
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

// moveToward starts the next step from the current members to the targets.
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

// proposeReplica takes over from a silent owner. Before the write, this replica
// promises not to acknowledge the owner's operations.
func (s *Shard) proposeReplica() (Proposal, bool) {
	switch owner := s.env.Peers.Liveness(s.view.Owner()); {
	case owner == Silent:
	case owner == Dead && s.releasedEpoch == s.view.Epoch:
		// The owner may have replaced this replica without its knowledge; the
		// write conflicts in that case.
	default:
		return s.proposeRenewal()
	}
	p := s.nextView(0, s.env.Self)
	p.NeedsPromise = true
	return p, true
}

// proposeRenewal lets an owner that is responsive again continue after a
// promise that led to no takeover: only a later epoch ends the promise.
func (s *Shard) proposeRenewal() (Proposal, bool) {
	if s.promisedEpoch <= s.view.Epoch {
		return Proposal{}, false
	}
	return s.nextView(0, s.view.Members...), true
}

// Promise permanently rejects operations of epochs before the given one.
func (s *Shard) Promise(epoch uint64) { s.promisedEpoch = max(s.promisedEpoch, epoch) }

// proposeReplacement replaces members that are all lost. Their records are lost
// too, so the floor rises past every submission time that they can have
// admitted.
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

// standInDelay is how long other instances leave the replacement of dead
// members to the first target.
const standInDelay = 2 * time.Second

// mayStandIn reports whether this instance, which is not the first target, has
// known for standInDelay that all members are dead. The first target may lack
// the proof: it may have learned of a member only after connecting to the next
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

// anyMemberBelow reports whether the liveness of any member is below l.
func (s *Shard) anyMemberBelow(l Liveness) bool {
	for _, m := range s.view.Members {
		if s.env.Peers.Liveness(m) < l {
			return true
		}
	}
	return false
}

// floorAfterLoss is how far the floor lies in the future once records are lost.
// The old owner admitted up to skew ahead of its clock, its clock was up to
// skew ahead of true time, and this clock may be skew behind it; keys have
// millisecond resolution, and a key at the floor is admitted.
func floorAfterLoss(skew time.Duration) time.Duration {
	return 3*skew + time.Millisecond
}

// AbandonHandover handles a proposed handover that was certainly not written.
func (s *Shard) AbandonHandover(now model.Time) {
	if s.role == RoleOwner {
		s.unseal(now)
	}
}
