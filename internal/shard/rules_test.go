package shard

import (
	"slices"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// A resent result must not replace the first one.
func TestDuplicateResultIsIgnored(t *testing.T) {
	a := ownerAwaitingB(2)
	a.Seal(testNow, memberC)
	deliverResult(a, memberB, &peerpb.TaskResult{Ran: peerpb.Ran_RAN_YES, Ok: true, Output: []byte("x")})
	deliverResult(a, memberB, &peerpb.TaskResult{Ran: peerpb.Ran_RAN_UNKNOWN})
	a.AbandonHandover(testNow)
	a.env.Flush(testNow)
	ackAs(a, memberC)
	if got := replies(a); len(got) > 0 {
		t.Fatalf("answered %v while a task is open", got)
	}
}

// The successor must know that it owns the shard before the results arrive.
func TestViewIsSentBeforeResults(t *testing.T) {
	a := startedOwner(1, 1)
	a.Seal(testNow, memberB)
	finishTask(a, 0, sched.OutcomeOK)
	a.env.TakeEffects()
	a.InstallView(testNow, view(4, memberB, memberA))
	for _, x := range a.env.TakeEffects().Sends {
		if x.Message.GetRemoteResult() != nil {
			t.Fatal("the result was sent before the view")
		}
		if x.Message.GetView() != nil {
			return
		}
	}
	t.Fatal("the view was not sent")
}

// A task in flight when the shard returns must be counted once. Counted twice,
// it would leave later intents short of their tasks.
func TestReturnedTaskIsCountedOnce(t *testing.T) {
	a := startedOwner(2, 1)
	handOverToB(a, 4)
	handBackToA(a, 5, 0)
	finishTask(a, 0, sched.OutcomeOK)
	a.env.TakeEffects()
	a.env.HandleBind(testNow, sched.Start{Job: 2, Index: 1})
	a.env.Flush(testNow.Add(linkTimeout))
	for _, x := range a.env.TakeEffects().Sends {
		for _, op := range x.Message.GetAppend().GetOperations() {
			if in := op.GetIntent(); in != nil && in.Upto == 2 {
				return
			}
		}
	}
	t.Fatal("no intent covers the bound task")
}

// A retried task may have run even though no start is in flight.
func TestRetriedTaskMayHaveRun(t *testing.T) {
	a := newTestShard(memberA, fakePeers{})
	a.InstallView(testNow, view(1, memberA))
	a.env.retryTokens = 1
	spec := testSpec(1, 1)
	spec.Repeatable, spec.Request = true, true
	a.Submit(testNow, spec, Waiter{Instance: "a", Request: 1}, false)
	a.env.HandleBind(testNow, sched.Start{Job: 1})
	finishTask(a, 0, sched.OutcomeFailed)
	if len(replies(a)) > 0 {
		t.Fatal("answered without a retry")
	}
	a.Cancel(testNow, spec.Identity, Waiter{Instance: "a", Request: 2})
	for _, r := range replies(a) {
		if r.Ran != peerpb.Ran_RAN_UNKNOWN || r.Results[0].Ran != peerpb.Ran_RAN_UNKNOWN {
			t.Fatalf("answered %v, want an unknown outcome", r)
		}
	}
}

// An acknowledgement of an earlier snapshot copy must not complete a later one.
func TestStaleSnapshotAckIsIgnored(t *testing.T) {
	peers := fakePeers{}
	a := newTestShard(memberA, peers)
	a.InstallView(testNow, view(3, memberA))
	a.AddLearner(testNow, memberC)
	stale := learnerAck(a)
	a.HandleSessionReset(testNow, memberC)
	a.AddLearner(testNow, memberC)
	a.HandleSnapshotAck(testNow, memberC, stale)
	if f := a.follower("c"); f == nil || f.synced {
		t.Fatal("the later copy counts as complete")
	}
	a.HandleSnapshotAck(testNow, memberC, learnerAck(a))
	if f := a.follower("c"); f == nil || !f.synced {
		t.Fatal("the later copy is not complete")
	}
}

// After its promise, a replica acknowledges nothing of the old epoch.
func TestNoAckAfterPromise(t *testing.T) {
	b := newTestShard(memberB, fakePeers{memberA: Silent})
	b.InstallView(testNow, view(3, memberA, memberB))
	p, ok := b.Propose(testNow, Targets{Owner: memberA, Replica: memberB})
	if !ok || !p.NeedsPromise {
		t.Fatalf("proposal %+v, %v", p, ok)
	}
	b.Promise(p.View.Epoch)
	b.HandleAppend(testNow, memberA, &peerpb.Append{
		Epoch: 3, FirstSeq: 1,
		Operations: []*peerpb.Operation{{Body: &peerpb.Operation_Claim{Claim: testSpec(1, 1)}}},
	})
	for _, x := range b.env.TakeEffects().Sends {
		if ack := x.Message.GetAppendAck(); ack != nil && !ack.Refused {
			t.Fatal("acknowledged an append after the promise")
		}
	}
	if b.JobCount() != 0 {
		t.Fatal("applied an operation after the promise")
	}
}

// An owner that gets the shard back records the result of its own task, even if
// it dropped the record meanwhile and received it again in a snapshot.
func TestReturnedOwnerRecordsOwnResult(t *testing.T) {
	cases := []struct {
		name string
		lose func(a *Shard)
	}{
		{"record kept as replica", func(a *Shard) { handOverToB(a, 5) }},
		{"record received in a snapshot", func(a *Shard) {
			a.InstallView(testNow, view(4, memberB, memberC))
			a.HandleSnapshot(testNow, memberB, &peerpb.Snapshot{
				Epoch: 4, Last: true, Learning: 1,
				Records: []*peerpb.JobRecord{{Spec: testSpec(1, 1), IntentUpto: 1, Record: 1}},
			})
			a.InstallView(testNow, view(5, memberB, memberA))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := startedOwner(1, 1)
			c.lose(a)
			handBackToA(a, 6, 0)
			a.Lookup(testNow, testSpec(1, 0).Identity, Waiter{Instance: "a", Request: 2}, true)
			a.env.TakeEffects()
			finishTask(a, 0, sched.OutcomeOK)
			a.env.Flush(testNow)
			ackAs(a, memberB)
			if got := replies(a); len(got) != 1 || got[0].Status != peerpb.Status_STATUS_COMPLETE {
				t.Fatalf("answered %v, want complete", got)
			}
			if n := a.env.OpenJobs(); n != 0 {
				t.Fatalf("%d jobs are open", n)
			}
		})
	}
}

// A task that its server rejected while the shard was elsewhere must be
// requeued, as its job is no longer in the scheduler.
func TestReturnedNotStartedTaskIsRequeued(t *testing.T) {
	a := startedOwner(1, 1)
	handOverToB(a, 4)
	handBackToA(a, 5, 0)
	finishTask(a, 0, sched.OutcomeNotStarted)
	a.env.TakeEffects()
	a.env.HandleBind(testNow, sched.Start{Job: 2})
	if n := len(a.env.TakeEffects().Starts); n != 1 {
		t.Fatalf("%d starts, want 1", n)
	}
}

// A task that its server rejected, followed by one that has started, is
// reported to the successor as not started, and requeued if the handover fails.
func TestNotStartedTaskSurvivesHandover(t *testing.T) {
	rejected := func() *Shard {
		a := startedOwner(2, 2)
		finishTask(a, 0, sched.OutcomeNotStarted)
		a.env.TakeEffects()
		return a
	}
	t.Run("succeeds", func(t *testing.T) {
		a := rejected()
		handOverToB(a, 4)
		var open []uint32
		sends := a.env.TakeEffects().Sends
		for _, x := range sends {
			for _, o := range x.Message.GetHandOver().GetOpen() {
				open = append(open, o.Indexes...)
			}
		}
		if !slices.Equal(open, []uint32{0, 1}) {
			t.Fatalf("tasks %v are listed as in flight, want both", open)
		}
		for _, x := range sends {
			m := x.Message.GetRemoteResult()
			if m != nil && m.Result.Index == 0 && m.Result.Ran == peerpb.Ran_RAN_NO {
				return
			}
		}
		t.Fatal("the successor was not told that task 0 has not started")
	})
	t.Run("fails", func(t *testing.T) {
		a := rejected()
		a.Seal(testNow, memberB)
		a.AbandonHandover(testNow)
		a.env.TakeEffects()
		a.env.HandleBind(testNow, sched.Start{Job: 2})
		if n := len(a.env.TakeEffects().Starts); n != 1 {
			t.Fatalf("%d starts, want 1", n)
		}
	})
}

// Operations that are acknowledged after they were scheduled for a resend must
// not be resent.
func TestAckBeforeResend(t *testing.T) {
	cases := []struct {
		name string
		mark func(a *Shard)
	}{
		{"after a session reset", func(a *Shard) { a.HandleSessionReset(testNow, memberB) }},
		{"after the resend timeout", func(a *Shard) { a.resend(testNow.Add(a.env.Opts.ResendTimeout)) }},
		{"after a rejected append", func(a *Shard) {
			a.HandleAppendAck(testNow, memberB, &peerpb.AppendAck{Epoch: 3, Refused: true})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newTestShard(memberA, fakePeers{})
			a.InstallView(testNow, view(3, memberA, memberB))
			a.Submit(testNow, testSpec(1, 1), Waiter{}, false)
			a.env.Flush(testNow)
			c.mark(a)
			ackAs(a, memberB)
			a.env.TakeEffects()
			a.Submit(testNow, testSpec(2, 1), Waiter{}, false)
			a.env.Flush(testNow.Add(linkTimeout))
			for _, x := range a.env.TakeEffects().Sends {
				if m := x.Message.GetAppend(); m != nil && (m.FirstSeq != 2 || len(m.Operations) != 1) {
					t.Fatalf("sent %d operations from %d on, want the second only", len(m.Operations), m.FirstSeq)
				}
			}
		})
	}
}
