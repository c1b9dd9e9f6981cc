package shard

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// releaseRetryInterval is the interval between release requests.
const releaseRetryInterval = 500 * time.Millisecond

// replicaReplacedBy returns the live replica that a learner is about to
// replace.
func (s *Shard) replicaReplacedBy(learner *follower) (Member, bool) {
	for _, m := range s.view.Members[1:] {
		if m != learner.member && s.env.Peers.Liveness(m) == Alive {
			return m, true
		}
	}
	return Member{}, false
}

// obtainRelease reports whether a live replica has promised not to act on the
// death of this owner, and requests the promise if not. Without it, if the
// owner died before the replica learned of the new view, the replica could act
// under the old view while the new replica acts under the new one.
func (s *Shard) obtainRelease(now model.Time, m Member) bool {
	if s.releasedEpoch == s.view.Epoch {
		return true
	}
	if s.releaseRequestedAt == 0 || now.Sub(s.releaseRequestedAt) >= releaseRetryInterval {
		s.releaseRequestedAt = now
		s.sendRelease(m, false)
	}
	return false
}

func (s *Shard) sendRelease(to Member, done bool) {
	s.env.send(to.Instance, &peerpb.Message{Body: &peerpb.Message_Release{
		Release: &peerpb.Release{
			Domain: string(s.id.Domain),
			Shard:  s.id.Index,
			Epoch:  s.view.Epoch,
			Done:   done,
		},
	}})
}

// HandleRelease handles the owner's release request or the replica's promise. A
// released replica keeps acknowledging and may still take over by writing a
// view, which conflicts if the owner has written first.
func (s *Shard) HandleRelease(now model.Time, from Member, m *peerpb.Release) {
	if m.Epoch != s.view.Epoch {
		return
	}
	switch {
	case m.Done && s.role == RoleOwner && s.view.Has(from):
		s.releasedEpoch = m.Epoch
	case !m.Done && s.role == RoleReplica && from == s.source:
		s.releasedEpoch = m.Epoch
		s.sendRelease(from, true)
	}
}
