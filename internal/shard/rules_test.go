package shard

import (
	"slices"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// A result that was sent again must not replace the first.
func TestDuplicateResultIsIgnored(t *testing.T) {
	a := ownerAwaitingB(2)
	a.Seal(testNow, memberC)
	deliverResult(a, memberB, &peerpb.TaskResult{Ran: peerpb.Ran_RAN_YES, Ok: true, Output: []byte("x")})
	deliverResult(a, memberB, &peerpb.TaskResult{Ran: peerpb.Ran_RAN_UNKNOWN})
	a.AbandonHandover(testNow)
	a.env.Flush(testNow)
	ackAs(a, memberC)
	if got := replies(a); len(got) > 0 {
		t.Fatalf("answered %v with a task open", got)
	}
}

// The successor has to know that it owns the shard before the results come.
func TestViewIsSentBeforeResults(t *testing.T) {
	a := startedOwner(1, 1)
	a.Seal(testNow, memberB)
	finishTask(a, 0, sched.OutcomeOK)
	a.env.TakeEffects()
	a.InstallView(testNow, view(4, memberB, memberA))
	for _, x := range a.env.TakeEffects().Sends {
		if x.Message.GetRemoteResult() != nil {
			t.Fatal("the result is sent first")
		}
		if x.Message.GetView() != nil {
			return
		}
	}
	t.Fatal("the view is not sent")
}

// A task that is in flight when the shard comes back counts once, or later
// intents would not cover their tasks.
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
	t.Fatal("no intent covers the task that got a slot")
}

// A task that was started again may have run, though no start is in flight.
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
			t.Fatalf("answered %v, want may have run", r)
		}
	}
}

// The acknowledgement of an earlier copy must not end a later one.
func TestStaleSnapshotAckIsIgnored(t *testing.T) {
	peers := fakePeers{}
	a := newTestShard(memberA, peers)
	a.InstallView(testNow, view(3, memberA))
	a.AddLearner(testNow, memberC)
	early := learnerAck(a)
	a.HandleLinkReset(testNow, memberC)
	a.AddLearner(testNow, memberC)
	a.HandleSnapshotAck(testNow, memberC, early)
	if f := a.follower("c"); f == nil || f.synced {
		t.Fatal("the later copy counts as whole")
	}
	a.HandleSnapshotAck(testNow, memberC, learnerAck(a))
	if f := a.follower("c"); f == nil || !f.synced {
		t.Fatal("the later copy is not whole")
	}
}

// After its promise a replica acknowledges nothing of the old epoch.
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
			t.Fatal("acknowledged after the promise")
		}
	}
	if b.JobCount() != 0 {
		t.Fatal("applied after the promise")
	}
}

// An earlier owner that owns the shard again takes the result of its own task,
// also if it has forgotten the record and learned it anew.
func TestReturnedOwnerRecordsOwnResult(t *testing.T) {
	cases := []struct {
		name   string
		leaves func(a *Shard)
	}{
		{"with the record", func(a *Shard) { handOverToB(a, 5) }},
		{"with a copy of the record", func(a *Shard) {
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
			c.leaves(a)
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

// A task that its server refused while the shard was away is queued anew, for
// its job has left the queue.
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

// A task that its server refused, below one that has started, is reported to
// the successor as not started, and queued again if the hand-over fails.
func TestNotStartedTaskSurvivesHandover(t *testing.T) {
	refused := func() *Shard {
		a := startedOwner(2, 2)
		finishTask(a, 0, sched.OutcomeNotStarted)
		a.env.TakeEffects()
		return a
	}
	t.Run("succeeds", func(t *testing.T) {
		a := refused()
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
		t.Fatal("the successor is not told that task 0 has not started")
	})
	t.Run("fails", func(t *testing.T) {
		a := refused()
		a.Seal(testNow, memberB)
		a.AbandonHandover(testNow)
		a.env.TakeEffects()
		a.env.HandleBind(testNow, sched.Start{Job: 2})
		if n := len(a.env.TakeEffects().Starts); n != 1 {
			t.Fatalf("%d starts, want 1", n)
		}
	})
}

// An acknowledgement that arrives after operations were marked to be sent again
// shows that they need not be.
func TestAckBeforeResend(t *testing.T) {
	cases := []struct {
		name string
		mark func(a *Shard)
	}{
		{"after a lost session", func(a *Shard) { a.HandleLinkReset(testNow, memberB) }},
		{"after a time", func(a *Shard) { a.resend(testNow.Add(a.env.Opts.ResendTimeout)) }},
		{"after a refusal", func(a *Shard) {
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
					t.Fatalf("sends %d operations from %d on, want the second alone", len(m.Operations), m.FirstSeq)
				}
			}
		})
	}
}
