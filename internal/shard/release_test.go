package shard

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

const testNow = model.Time(1_800_000_000 * int64(time.Second))

var (
	memberA = Member{Instance: "a", Incarnation: "a1"}
	memberB = Member{Instance: "b", Incarnation: "b1"}
	memberC = Member{Instance: "c", Incarnation: "c1"}
)

// fakePeers sets the liveness of members; members not listed are alive.
type fakePeers map[Member]Liveness

func (p fakePeers) Liveness(m Member) Liveness { return p[m] }

// idleScheduler admits everything and starts nothing.
type idleScheduler struct{}

func (idleScheduler) Submit(model.Time, sched.Job) sched.AdmissionResult {
	return sched.AdmissionResult{}
}
func (idleScheduler) Cancel(model.Time, model.JobHandle)                         {}
func (idleScheduler) Done(model.Time, sched.Start, sched.Outcome, time.Duration) {}

func newTestShard(self Member, peers fakePeers) *Shard {
	e := NewEnv(self, DefaultOptions())
	e.Scheduler = idleScheduler{}
	e.Peers = peers
	return New(e, ID{Domain: "d"})
}

func view(epoch uint64, members ...Member) View { return View{Epoch: epoch, Members: members} }

func lastRelease(s *Shard) *peerpb.Release {
	var last *peerpb.Release
	for _, x := range s.env.TakeEffects().Sends {
		if r := x.Message.GetRelease(); r != nil {
			last = r
		}
	}
	return last
}

// A released replica must not act at once when its owner dies: the owner may
// already have written the view that replaces it.
func TestReleasedReplicaTakesOverOnlyByWrite(t *testing.T) {
	peers := fakePeers{}
	b := newTestShard(memberB, peers)
	b.InstallView(testNow, view(3, memberA, memberB))
	b.HandleRelease(testNow, memberA, &peerpb.Release{Domain: "d", Epoch: 3})
	if r := lastRelease(b); r == nil || !r.Done {
		t.Fatal("the replica did not promise")
	}
	peers[memberA] = Dead
	b.HandleMemberDead(testNow, memberA)
	if b.Role() != RoleReplica {
		t.Fatal("the released replica acted under the old view")
	}
	p, ok := b.Propose(testNow, Targets{Owner: memberB})
	if !ok || len(p.View.Members) != 1 || p.View.Owner() != memberB || p.View.Epoch != 4 {
		t.Fatalf("proposal %+v, %v", p, ok)
	}
}

// The owner writes a view without a live replica only after that replica's
// release.
func TestOwnerNeedsReleaseToReplaceLiveReplica(t *testing.T) {
	peers := fakePeers{}
	a := newTestShard(memberA, peers)
	a.InstallView(testNow, view(3, memberA, memberB))
	targets := Targets{Owner: memberA, Replica: memberC}
	a.Propose(testNow, targets)
	a.HandleSnapshotAck(testNow, memberC, learnerAck(a))
	if p, ok := a.Propose(testNow, targets); ok {
		t.Fatalf("proposed to replace a live replica without its release: %+v", p)
	}
	if r := lastRelease(a); r == nil || r.Done || r.Epoch != 3 {
		t.Fatalf("the replica got no release request: %v", r)
	}
	a.HandleRelease(testNow, memberB, &peerpb.Release{Domain: "d", Epoch: 2, Done: true})
	if _, ok := a.Propose(testNow, targets); ok {
		t.Fatal("accepted a promise of another epoch")
	}
	a.HandleRelease(testNow, memberB, &peerpb.Release{Domain: "d", Epoch: 3, Done: true})
	p, ok := a.Propose(testNow, targets)
	if !ok || len(p.View.Members) != 2 || p.View.Members[1] != memberC {
		t.Fatalf("proposal %+v, %v", p, ok)
	}
}

// learnerAck acknowledges the latest chunk.
func learnerAck(s *Shard) *peerpb.SnapshotAck {
	ack := &peerpb.SnapshotAck{}
	for _, x := range s.env.TakeEffects().Sends {
		if c := x.Message.GetSnapshot(); c != nil {
			ack = &peerpb.SnapshotAck{Domain: c.Domain, Shard: c.Shard, Epoch: c.Epoch, Chunk: c.Chunk, Learning: c.Learning}
		}
	}
	return ack
}
