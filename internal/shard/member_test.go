package shard

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

func testSpec(n byte, tasks int) *peerpb.JobSpec {
	key := make([]byte, 16)
	ms := testNow.UnixMilli()
	for i := range 6 {
		key[i] = byte(ms >> (8 * (5 - i)))
	}
	key[6], key[15] = 0x70, n
	return &peerpb.JobSpec{
		Identity: &peerpb.Identity{Customer: "c", Home: "d", Key: key},
		Kind:     "k",
		Payloads: make([][]byte, tasks),
	}
}

// ownerWithLearner returns owner A whose learner C has received the whole
// snapshot but has yet to acknowledge one operation.
func ownerWithLearner(peers fakePeers, members ...Member) *Shard {
	a := newTestShard(memberA, peers)
	a.InstallView(testNow, view(3, members...))
	a.AddLearner(testNow, memberC)
	a.HandleSnapshotAck(testNow, memberC, learnerAck(a))
	a.Submit(testNow, testSpec(1, 1), Waiter{Instance: "a", Request: 1}, false)
	a.env.Flush(testNow)
	return a
}

func ackAs(a *Shard, m Member) {
	a.HandleAppendAck(testNow, m, &peerpb.AppendAck{Domain: "d", Epoch: a.View().Epoch, Seq: a.seq})
}

// If a view named a learner that lacks operations committed without it, the
// loss of the owner would lose them.
func TestLearnerJoinsViewOnlyWhenCaughtUp(t *testing.T) {
	a := ownerWithLearner(fakePeers{}, memberA)
	targets := Targets{Owner: memberA, Replica: memberC}
	if p, ok := a.Propose(testNow, targets); ok {
		t.Fatalf("proposed a learner that lacks an operation: %+v", p)
	}
	ackAs(a, memberC)
	p, ok := a.Propose(testNow, targets)
	if !ok || !p.View.Has(memberC) {
		t.Fatalf("proposal %+v, %v", p, ok)
	}
}

// The same holds for a learner that replaces a lost replica.
func TestLearnerReplacesLostReplicaOnlyWhenCaughtUp(t *testing.T) {
	peers := fakePeers{}
	a := ownerWithLearner(peers, memberA, memberB)
	targets := Targets{Owner: memberA, Replica: memberC}
	a.Propose(testNow, targets) // from here on, commits wait for the learner
	peers[memberB] = Silent
	p, ok := a.Propose(testNow, targets)
	if !ok || p.View.Has(memberC) {
		t.Fatalf("proposal %+v, %v, want the owner only", p, ok)
	}
	ackAs(a, memberC)
	if p, ok = a.Propose(testNow, targets); !ok || !p.View.Has(memberC) {
		t.Fatalf("proposal %+v, %v, want the owner and the learner", p, ok)
	}
}

// The death of a learner that commits wait for must not block them forever.
func TestDeadLearnerIsDropped(t *testing.T) {
	peers := fakePeers{}
	a := ownerWithLearner(peers, memberA)
	a.Propose(testNow, Targets{Owner: memberA, Replica: memberC})
	if a.committedSeq() == a.seq {
		t.Fatal("commits do not wait for the learner")
	}
	peers[memberC] = Dead
	a.CheckMembers(testNow)
	if a.committedSeq() != a.seq {
		t.Fatal("commits wait for a dead learner")
	}
}

// The operations appended by a takeover must reach the replica of the new view.
func TestTakeoverOperationsReachReplica(t *testing.T) {
	b := newTestShard(memberB, fakePeers{})
	b.InstallView(testNow, view(3, memberA, memberB))
	b.HandleAppend(testNow, memberA, &peerpb.Append{
		Domain: "d", Epoch: 3, FirstSeq: 1,
		Operations: []*peerpb.Operation{
			{Body: &peerpb.Operation_Claim{Claim: testSpec(1, 2)}},
			{Body: &peerpb.Operation_Intent{Intent: &peerpb.Intent{Record: 1, Upto: 1}}},
		},
	})
	b.env.TakeEffects()
	b.InstallView(testNow, view(4, memberB, memberA))
	b.env.Flush(testNow)
	if a := sentFinal(b); a.GetProblem() != ProblemResultUnknown || len(a.Results) != 2 {
		t.Fatalf("the replica received the final answer %v", a)
	}
	if b.committedSeq() == b.seq {
		t.Fatal("the answer counts as acknowledged by the replica")
	}
}

func sentFinal(s *Shard) *peerpb.Answer {
	var last *peerpb.Answer
	for _, x := range s.env.TakeEffects().Sends {
		for _, op := range x.Message.GetAppend().GetOperations() {
			if f := op.GetFinal(); f != nil {
				last = f.Answer
			}
		}
	}
	return last
}

// Lost members are replaced by the first target, or after a delay by any
// instance with proof of their death, as the first target may have none.
func TestReplacementOfLostMembers(t *testing.T) {
	cases := []struct {
		name    string
		members Liveness
		target  Member
		after   time.Duration
		leaving bool
		want    bool
	}{
		{"first target", Dead, memberC, 0, false, true},
		{"first target, members silent", Silent, memberC, 0, false, true},
		{"first target, members alive", Alive, memberC, standInDelay, false, false},
		{"other instance, immediately", Dead, memberB, 0, false, false},
		{"other instance, after the delay", Dead, memberB, standInDelay, false, true},
		{"other instance, members silent", Silent, memberB, standInDelay, false, false},
		{"other instance, members alive", Alive, memberB, standInDelay, false, false},
		{"other instance, leaving", Dead, memberB, standInDelay, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestShard(memberC, fakePeers{memberA: c.members})
			s.env.Leaving = c.leaving
			s.InstallView(testNow, view(3, memberA))
			targets := Targets{Owner: c.target}
			s.Propose(testNow, targets)
			p, ok := s.Propose(testNow.Add(c.after), targets)
			if ok != c.want {
				t.Fatalf("proposal %+v, %v", p, ok)
			}
			if ok && (p.View.Owner() != memberC || p.View.Floor <= testNow.Add(c.after)) {
				t.Fatalf("proposal %+v", p)
			}
		})
	}
}
