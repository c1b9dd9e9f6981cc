package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestForeignEndHeldUntilLeasesExpire lets an owner find a run of its predecessor that
// completes while it is being stopped. The next holder of its job doesn't know of that
// end, which may be acknowledged only after the leases have expired.
func TestForeignEndHeldUntilLeasesExpire(t *testing.T) {
	for _, durable := range []bool{true, false} {
		i, now := oneServer(t, 500)
		i.Step(now, JobsScanned{OK: true, Records: durableRecords(durable)})
		s := i.pool.servers["s1"]
		s.phase = phaseRecovering
		run := RunID{TaskID{"j9", 0, 0}, 1}
		i.Step(now, pollReply(now, 500, ActiveRun{Run: run}))
		now = now.Add(5 * time.Millisecond)
		reply := pollReply(now, 500)
		reply.Ended = []EndedRun{{Seq: 1, Run: run, Kind: EndDone}}
		i.Step(now, reply)
		if got := s.ackableSeq() < 1; got != durable {
			t.Errorf("durable jobs: %v; the end is held: %v", durable, got)
		}
		i.Step(now.Add(i.pool.orphanRunTime+time.Millisecond), Tick{})
		if s.ackableSeq() != 1 {
			t.Error("the end is still held after the leases have expired")
		}
	}
}

func durableRecords(some bool) []Record {
	if !some {
		return nil
	}
	return []Record{{ID: "j8", State: StateOpen, Holder: "n1", Incarnation: "01"}}
}

// TestDeclinedDurableJobMayBeStored offers a job to an owner that loses track of it. It
// may be stored there, so a rejection by the next owner isn't final.
func TestDeclinedDurableJobMayBeStored(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	spec := JobSpec{
		ID: "j1", Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: now, Durable: true,
		Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: 3000}, Estimate: time.Second}},
	}
	const offer CallID = 9
	c := &call{id: 1, offer: offer, job: spec, owner: other, allowQueue: true, tried: []model.Instance{"n2"}}
	i.router.add(c)
	i.router.offers[offer] = c
	i.members.storeUp = false // so this instance can't store it
	i.router.handleOutcome(other, Outcome{Call: offer, Declined: true}, now)
	for _, e := range i.drainEffects(now) {
		if a, ok := e.(Answer); ok {
			if a.Result.Kind != Unknown {
				t.Errorf("answered %v", a.Result)
			}
			return
		}
	}
	t.Error("the call was not answered")
}

// TestJobReleasedBeforeItsRunEnds takes its only server from a holder, whose run there may
// go on until its lease ends. The next holder starts a released job at once.
func TestJobReleasedBeforeItsRunEnds(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Addr: "b", Weight: 1}
	i.Step(now, MembersListed{Members: []Member{i.opts.Self, other}})
	i.Step(now, LinkUp{Peer: other})
	startDurable(t, i, now)
	lost := now
	i.Step(now, OwnersChanged{Owners: []Ownership{{Server: "s1", Owner: "n2", Incarnation: "01", Revision: 8}}})
	for now.Sub(lost) < 2*i.pool.orphanRunTime {
		now = now.Add(tickInterval)
		i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now, Busy: true}})
		for _, e := range i.Step(now, Tick{}) {
			x, ok := e.(SaveJob)
			if !ok {
				continue
			}
			i.Step(now, JobSaved{ID: x.Record.ID, Revision: 9 + x.Record.Version})
			if x.Record.Holder == "" {
				if after := now.Sub(lost); after < i.pool.orphanRunTime {
					t.Errorf("released %v after the server was lost, want %v", after, i.pool.orphanRunTime)
				}
				return
			}
		}
	}
	t.Error("the job is not released")
}

// TestCancelBeforeFirstWriteIsAnswered guards against starts of a cancelled job whose first
// write precedes the cancel, but is answered after the news of it.
func TestCancelBeforeFirstWriteIsAnswered(t *testing.T) {
	i, now := oneServer(t, 500)
	spec := oneTaskJob("j1", now)
	spec.Durable = true
	i.Step(now, JobSubmitted{Call: 1, Job: spec})
	i.Step(now, JobCancelled{ID: "j1"})
	effects := i.Step(now, JobSaved{ID: "j1", Revision: 9})
	if n := count[StartRun](effects); n > 0 || count[SaveJob](effects) != 1 {
		t.Errorf("%d starts and %d writes, want 0 and 1", n, count[SaveJob](effects))
	}
	effects = i.Step(now, JobSaved{ID: "j1", Conflict: true, Current: &Record{ID: "j1", State: StateCancelled, Revision: 10}})
	effects = append(effects, i.Step(now.Add(time.Second), Tick{})...)
	if n := count[StartRun](effects); n > 0 || len(i.holder.jobs) > 0 {
		t.Errorf("%d starts and %d jobs held of a cancelled job", n, len(i.holder.jobs))
	}
}

// TestSubmissionOfCancelledJobIsRefused guards against a cancelled job that is held or
// answered as accepted because its submission was under way.
func TestSubmissionOfCancelledJobIsRefused(t *testing.T) {
	i, now := oneServer(t, 500)
	spec := oneTaskJob("j1", now)
	spec.Durable = true
	i.Step(now, JobSubmitted{Call: 1, Job: spec})
	r := lookFor[Answer](t, i.Step(now, JobSaved{ID: "j1", Conflict: true, Cancelled: true})).Result
	if r.Kind != NotRun || r.Reason != ReasonCancelled || len(i.holder.jobs) > 0 {
		t.Errorf("answered %v %q, and %d jobs are held", r.Kind, r.Reason, len(i.holder.jobs))
	}
}

// TestSubmissionOfFinishedJob guards against a finished job that is answered as accepted, and
// shown as running, when its submission comes again at an instance that doesn't know it.
func TestSubmissionOfFinishedJob(t *testing.T) {
	for state, want := range map[JobState]ResultKind{StateOpen: Accepted, StateCompleted: Completed, StateFailed: Failed, StateCancelled: Cancelled} {
		i, now := oneServer(t, 500)
		spec := oneTaskJob("j1", now)
		spec.Durable = true
		i.Step(now, JobSubmitted{Call: 1, Job: spec})
		stored := Record{ID: "j1", State: state, Holder: "n2", Incarnation: "01", Version: 3, Term: 1, Revision: 8}
		if r := lookFor[Answer](t, i.Step(now, JobSaved{ID: "j1", Conflict: true, Current: &stored})).Result; r.Kind != want {
			t.Errorf("a job in state %d is answered %v, want %v", state, r.Kind, want)
		}
	}
}

// TestReleaseDuringScanIsTakenOver guards against released jobs that wait for the next
// periodic scan because the news of them came while another scan was under way.
func TestReleaseDuringScanIsTakenOver(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Addr: "b", Weight: 1}
	i.Step(now, MembersListed{Members: []Member{i.opts.Self, other}})
	i.Step(now, LinkUp{Peer: other})
	lookFor[ScanJobs](t, i.Step(now, Tick{}))
	i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: JobsReleased{}})
	i.Step(now, JobsScanned{OK: true}) // read before the release
	spec := oneTaskJob("j1", now)
	spec.Durable = true
	released := Record{ID: "j1", State: StateOpen, Version: 2, Term: 1, Job: spec, Revision: 9}
	for end := now.Add(time.Second); now < end; now = now.Add(tickInterval) {
		if count[ScanJobs](i.Step(now, Tick{})) == 0 {
			continue
		}
		if n := count[SaveJob](i.Step(now, JobsScanned{OK: true, Records: []Record{released}, Members: []Member{i.opts.Self, other}})); n != 1 {
			t.Errorf("%d writes to take the job over, want 1", n)
		}
		return
	}
	t.Error("no scan follows")
}
