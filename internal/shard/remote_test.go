package shard

import (
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// startedOwner returns owner A with replica B and a job whose first tasks are
// in flight.
func startedOwner(tasks, started int) *Shard {
	a := newTestShard(memberA, fakePeers{})
	a.InstallView(testNow, view(3, memberA, memberB))
	a.Submit(testNow, testSpec(1, tasks), Waiter{Instance: "a", Request: 1}, false)
	for i := range started {
		a.env.HandleBind(testNow, sched.Start{Job: 1, Index: i})
	}
	a.env.Flush(testNow)
	ackAs(a, memberB)
	return a
}

// handOverToB moves the shard from A to B.
func handOverToB(a *Shard, epoch uint64) {
	a.Seal(testNow, memberB)
	a.InstallView(testNow, view(epoch, memberB, memberA))
}

// handBackToA moves the shard from B to A; B still awaits the given tasks of A.
func handBackToA(a *Shard, epoch uint64, indexes ...uint32) {
	a.HandleHandOver(memberB, &peerpb.HandOver{
		Epoch: epoch - 1,
		Open:  []*peerpb.OpenTasks{{Identity: testSpec(1, 0).Identity, Indexes: indexes, Runner: memberProto(memberA)}},
	})
	a.InstallView(testNow, view(epoch, memberA, memberB))
}

func finishTask(a *Shard, index int, o sched.Outcome) {
	a.env.HandleTaskDone(testNow, TaskDone{Start: sched.Start{Job: 1, Index: index}, Outcome: o})
}

func requestResults(a *Shard, epoch uint64, indexes ...uint32) {
	request := &peerpb.RemoteAsk{Epoch: epoch}
	if len(indexes) > 0 {
		request.Open = []*peerpb.OpenTasks{{Identity: testSpec(1, 0).Identity, Indexes: indexes}}
	}
	a.HandleRemoteAsk(testNow, memberB, request)
}

// sentResults returns the results sent to B since the last call.
func sentResults(a *Shard) []peerpb.Ran {
	var list []peerpb.Ran
	for _, x := range a.env.TakeEffects().Sends {
		if m := x.Message.GetRemoteResult(); m != nil && x.To == "b" && memberFromProto(m.Runner) == memberA {
			list = append(list, m.Result.Ran)
		}
	}
	return list
}

func TestRunnerResendsResults(t *testing.T) {
	const no, yes, unknown = peerpb.Ran_RAN_NO, peerpb.Ran_RAN_YES, peerpb.Ran_RAN_UNKNOWN
	cases := []struct {
		name string
		act  func(a *Shard)
		want []peerpb.Ran
	}{
		{"in flight", func(a *Shard) { requestResults(a, 4, 0) }, nil},
		{"ended", func(a *Shard) { finishTask(a, 0, sched.OutcomeOK) }, []peerpb.Ran{yes}},
		{"requested after its end", func(a *Shard) {
			finishTask(a, 0, sched.OutcomeOK)
			requestResults(a, 4, 0)
		}, []peerpb.Ran{yes, yes}},
		{"a rejected start is not reported twice", func(a *Shard) {
			finishTask(a, 0, sched.OutcomeNotStarted)
			requestResults(a, 4, 0)
		}, []peerpb.Ran{no, unknown}},
		{"request of an owner of an earlier epoch", func(a *Shard) {
			finishTask(a, 0, sched.OutcomeOK)
			requestResults(a, 3)
			requestResults(a, 4, 0)
		}, []peerpb.Ran{yes, yes}},
		{"no longer requested", func(a *Shard) {
			finishTask(a, 0, sched.OutcomeOK)
			requestResults(a, 4)
			requestResults(a, 4, 0)
		}, []peerpb.Ran{yes, unknown}},
		{"not requested in time", func(a *Shard) {
			finishTask(a, 0, sched.OutcomeOK)
			a.TickSlow(testNow.Add(unconfirmedTTL))
			requestResults(a, 4, 0)
		}, []peerpb.Ran{yes, unknown}},
		{"never started here", func(a *Shard) { requestResults(a, 4, 2) }, []peerpb.Ran{unknown}},
		{"in flight across two handovers", func(a *Shard) {
			handBackToA(a, 5, 0, 1)
			handOverToB(a, 6)
			finishTask(a, 0, sched.OutcomeOK)
		}, []peerpb.Ran{yes}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := startedOwner(3, 2)
			handOverToB(a, 4)
			a.env.TakeEffects()
			c.act(a)
			got := sentResults(a)
			if len(got) != len(c.want) {
				t.Fatalf("sent %v, want %v", got, c.want)
			}
			for i := range got {
				if got[i] != c.want[i] {
					t.Fatalf("sent %v, want %v", got, c.want)
				}
			}
		})
	}
}

func TestUnconfirmedResultsAreBounded(t *testing.T) {
	a := startedOwner(2, 2)
	handOverToB(a, 4)
	big := TaskDone{Start: sched.Start{Job: 1}, Outcome: sched.OutcomeOK, Output: make([]byte, maxUnconfirmedBytes)}
	a.env.HandleTaskDone(testNow, big)
	finishTask(a, 1, sched.OutcomeOK)
	if u := a.env.unconfirmed; len(u.list) != 1 || u.bytes > maxUnconfirmedBytes {
		t.Fatalf("%d results of %d bytes are retained, want the latest only", len(u.list), u.bytes)
	}
}

// A stopping instance must not wait for tasks of a job that a later owner has
// closed, nor exit before its results are confirmed.
func TestOpenJobsOfRunner(t *testing.T) {
	cases := []struct {
		name string
		act  func(a *Shard)
		want int
	}{
		{"in flight", func(*Shard) {}, 1},
		{"ended", func(a *Shard) { finishTask(a, 0, sched.OutcomeOK) }, 1},
		{"result confirmed", func(a *Shard) {
			finishTask(a, 0, sched.OutcomeOK)
			requestResults(a, 4)
		}, 0},
		{"job closed", func(a *Shard) {
			a.HandleAppend(testNow, memberB, &peerpb.Append{
				Epoch: 4, FirstSeq: a.seq + 1,
				Operations: []*peerpb.Operation{{Body: &peerpb.Operation_Final{Final: &peerpb.Final{
					Record: 1, Answer: &peerpb.Answer{Status: peerpb.Status_STATUS_FAILED},
				}}}},
			})
			finishTask(a, 0, sched.OutcomeOK)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := startedOwner(1, 1)
			handOverToB(a, 4)
			c.act(a)
			if got := a.env.OpenJobs(); got != c.want {
				t.Fatalf("%d open, want %d", got, c.want)
			}
		})
	}
}

// ownerAwaitingB returns owner A with replica C that awaits the result of a
// task from B.
func ownerAwaitingB(tasks int) *Shard {
	a := newTestShard(memberA, fakePeers{})
	a.InstallView(testNow, view(3, memberB, memberA))
	a.HandleAppend(testNow, memberB, &peerpb.Append{
		Epoch: 3, FirstSeq: 1,
		Operations: []*peerpb.Operation{
			{Body: &peerpb.Operation_Claim{Claim: testSpec(1, tasks)}},
			{Body: &peerpb.Operation_Intent{Intent: &peerpb.Intent{Record: 1, Upto: 1}}},
		},
	})
	a.HandleHandOver(memberB, &peerpb.HandOver{
		Epoch: 3,
		Open:  []*peerpb.OpenTasks{{Identity: testSpec(1, 0).Identity, Indexes: []uint32{0}, Runner: memberProto(memberB)}},
	})
	a.InstallView(testNow, view(4, memberA, memberC))
	a.Submit(testNow, testSpec(1, tasks), Waiter{Instance: "a", Request: 1}, false)
	a.env.TakeEffects()
	return a
}

func deliverResult(a *Shard, runner Member, res *peerpb.TaskResult) {
	a.HandleRemoteResult(testNow, &peerpb.RemoteResult{
		Identity: testSpec(1, 0).Identity, Result: res, Runner: memberProto(runner),
	})
}

// requestedCounts returns the number of tasks in each result request sent to B
// since the last call.
func requestedCounts(a *Shard) []int {
	var list []int
	for _, x := range a.env.TakeEffects().Sends {
		if m := x.Message.GetRemoteAsk(); m != nil && x.To == "b" {
			n := 0
			for _, o := range m.Open {
				n += len(o.Indexes)
			}
			list = append(list, n)
		}
	}
	return list
}

func TestOwnerRequestsAwaitedResults(t *testing.T) {
	ok := &peerpb.TaskResult{Ran: peerpb.Ran_RAN_YES, Ok: true}
	cases := []struct {
		name string
		act  func(a *Shard)
		want []int
	}{
		{"initially", func(*Shard) {}, nil},
		{"on a timer", func(a *Shard) { a.TickSlow(testNow) }, []int{1}},
		{"after a session reset with the runner", func(a *Shard) { a.RequestResults(testNow, memberB) }, []int{1}},
		{"after a session reset with another instance", func(a *Shard) { a.RequestResults(testNow, memberC) }, nil},
		{"the result arrives", func(a *Shard) { deliverResult(a, memberB, ok) }, []int{0}},
		{"the result arrives, then a timer", func(a *Shard) {
			deliverResult(a, memberB, ok)
			a.TickSlow(testNow)
		}, []int{0}},
		{"result from another runner", func(a *Shard) {
			deliverResult(a, memberC, ok)
			a.TickSlow(testNow)
		}, []int{1}},
		{"sealed", func(a *Shard) {
			a.Seal(testNow, memberC)
			deliverResult(a, memberB, ok)
			a.TickSlow(testNow)
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := ownerAwaitingB(1)
			c.act(a)
			got := requestedCounts(a)
			if len(got) != len(c.want) || len(got) > 0 && got[0] != c.want[0] {
				t.Fatalf("requested %v tasks, want %v", got, c.want)
			}
		})
	}
}

func replies(s *Shard) []*peerpb.Answer {
	var list []*peerpb.Answer
	for _, r := range s.env.TakeEffects().Replies {
		list = append(list, r.Answer)
	}
	return list
}
