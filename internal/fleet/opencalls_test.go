package fleet

import (
	"slices"
	"testing"
	"time"
)

// openCallsSent returns the lists of open calls in the heartbeats to a member.
func openCallsSent(effects []Effect, to Member) (out [][]string) {
	for _, e := range effects {
		s, ok := e.(SendPeer)
		if !ok || s.To.Instance != to.Instance {
			continue
		}
		if hb, ok := s.Message.(Heartbeat); ok && hb.OpenCalls != nil {
			out = append(out, hb.OpenCalls.Jobs)
		}
	}
	return out
}

// TestOpenCallsAreListedOnce lets a call grow old and end. Members hear of it before its job
// can be submitted again, once on each link, and of its end.
func TestOpenCallsAreListedOnce(t *testing.T) {
	w := newOfferWorld(t)
	to := w.owners[0]
	submittedAt := w.now
	w.step(JobSubmitted{Call: 1, Job: oneTaskJob("j1", w.now)})
	var lists [][]string
	run := func(d time.Duration) {
		for end := w.now.Add(d); w.now < end; {
			w.now = w.now.Add(tickInterval)
			w.heartbeats()
			lists = append(lists, openCallsSent(w.i.Step(w.now, Tick{}), to)...)
		}
	}
	for len(lists) == 0 && w.now < submittedAt.Add(3*time.Second) {
		run(tickInterval)
	}
	if after := w.now.Sub(submittedAt); len(lists) != 1 || !slices.Equal(lists[0], []string{"j1"}) || after > w.i.pool.orphanRunTime-openCallsInterval {
		t.Fatalf("lists %v after %v, want the call before its job may be submitted again", lists, after)
	}
	run(time.Second)
	if len(lists) != 1 {
		t.Errorf("%d lists, want one as nothing has changed", len(lists))
	}
	if again := openCallsSent(w.i.Step(w.now, LinkUp{Peer: to}), to); len(again) != 1 || !slices.Equal(again[0], []string{"j1"}) {
		t.Errorf("lists %v on a new link, want the call", again)
	}
	lists = nil
	w.step(CallerDisconnected{Call: 1})
	run(time.Second)
	if len(lists) != 1 || len(lists[0]) != 0 {
		t.Errorf("lists %v after the end of the call, want an empty one", lists)
	}
}

// heartbeatWithCalls lets an owner list its open calls.
func (w *offerWorld) heartbeatWithCalls(from Member, jobs ...string) []Effect {
	return w.i.Step(w.now, PeerMessage{From: from, ReceivedAt: w.now, Message: Heartbeat{
		SentAt: w.now, Echo: w.now, Busy: true, Loads: []Load{{Service: "svc", Servers: 1, CapacityMilli: 4000, FreeMilli: 4000}}, OpenCalls: &OpenCalls{Jobs: jobs},
	}})
}

// TestCallStartsBesideOpenCallElsewhere submits a job that another member has a call with. It
// has that call ended, and waits until it has, and then for its runs.
func TestCallStartsBesideOpenCallElsewhere(t *testing.T) {
	const slow = 2 * time.Second // until the other member ends its call
	for _, lost := range []bool{false, true} {
		w := newOfferWorld(t)
		other := w.owners[1]
		w.heartbeatWithCalls(other, "j0", "j1")
		told := false
		for _, e := range w.i.Step(w.now, JobSubmitted{Call: 1, Job: oneTaskJob("j1", w.now)}) {
			if s, ok := e.(SendPeer); ok && s.To.Instance == other.Instance {
				m, ok := s.Message.(Withdraw)
				told = told || ok && m.Job == "j1"
			}
		}
		if !told || len(w.open) > 0 {
			t.Errorf("other member told: %v, offers: %v, want that and no offer", told, w.open)
		}
		submittedAt, endedAt := w.now, Time(0)
		for len(w.open) == 0 && w.now < submittedAt.Add(10*time.Second) {
			w.now = w.now.Add(tickInterval)
			switch {
			case endedAt != 0 && lost:
				w.heartbeat(w.owners[0], 4000)
			case w.now.Sub(submittedAt) < slow || endedAt != 0:
				w.heartbeats()
			case lost:
				endedAt = w.now
				w.step(LinkDown{Peer: other, Refused: true})
			default:
				endedAt = w.now
				w.heartbeatWithCalls(other, "j0")
			}
			w.step(Tick{})
		}
		if got := w.now.Sub(endedAt); endedAt == 0 || len(w.open) != 1 || got < w.i.pool.orphanRunTime || got > w.i.pool.orphanRunTime+slow {
			t.Errorf("member lost %v: %d offers, %v after the other call has ended, want one %v after it", lost, len(w.open), got, w.i.pool.orphanRunTime)
		}
	}
}

// TestLaterCallIsKept tells an instance with a call of another submission of its job, which is
// later, earlier, or the call's own one.
func TestLaterCallIsKept(t *testing.T) {
	const callAge = 2 * time.Second
	for age, kept := range map[time.Duration]bool{0: false, callAge: true, 2 * callAge: true} {
		w := newOfferWorld(t)
		w.step(JobSubmitted{Call: 1, Job: oneTaskJob("j1", w.now)})
		w.now = w.now.Add(callAge)
		w.heartbeats()
		told := false
		for _, e := range w.i.Step(w.now, PeerMessage{From: w.owners[0], ReceivedAt: w.now, Message: Withdraw{Job: "j1", Age: age}}) {
			s, ok := e.(SendPeer)
			told = told || ok && s.To.Instance == w.owners[0].Instance && s.Message == Withdraw{Job: "j1", Age: callAge}
		}
		if got := len(w.i.router.calls) == 1; got != kept {
			t.Errorf("other submission of age %v, call of age %v kept: %v", age, callAge, got)
		}
		if want := age > callAge; told != want {
			t.Errorf("other submission of age %v: its instance is told of the later call: %v", age, told)
		}
	}
}

// TestIdleMembersHearOfOpenCalls lets a call grow old while a member without servers and jobs
// gets heartbeats rarely.
func TestIdleMembersHearOfOpenCalls(t *testing.T) {
	w := newOfferWorld(t)
	idle := Member{Instance: "n5", Incarnation: "01", Domain: "d", Weight: 1}
	w.step(LinkUp{Peer: idle})
	var lists [][]string
	run := func(d time.Duration) {
		for end := w.now.Add(d); w.now < end && len(lists) == 0; {
			w.now = w.now.Add(tickInterval)
			w.heartbeats()
			w.step(PeerMessage{From: idle, ReceivedAt: w.now, Message: Heartbeat{SentAt: w.now, Echo: w.now}})
			lists = openCallsSent(w.i.Step(w.now, Tick{}), idle)
		}
	}
	run(2 * busyLinger)
	submittedAt := w.now
	w.step(JobSubmitted{Call: 1, Job: oneTaskJob("j1", w.now)})
	run(3 * time.Second)
	if after := w.now.Sub(submittedAt); len(lists) != 1 || after > w.i.pool.orphanRunTime-openCallsInterval {
		t.Errorf("lists %v after %v, want the call before its job may be submitted again", lists, after)
	}
}

// TestCallWaitsForUnresponsiveMember submits a job that a member has a call with which this
// instance doesn't hear any more, but others may. Its call ends with its timeout.
func TestCallWaitsForUnresponsiveMember(t *testing.T) {
	w := newOfferWorld(t)
	other, job := w.owners[1], oneTaskJob("j1", w.now)
	job.Timeout = 4 * time.Second
	w.heartbeatWithCalls(other, "j1")
	listedAt := w.now
	hear := func() {
		w.now = w.now.Add(tickInterval)
		w.heartbeat(w.owners[0], 4000)
		w.step(Tick{})
	}
	for w.now < listedAt.Add(2*time.Second) {
		hear()
	}
	job.ReceivedAt = w.now
	w.step(JobSubmitted{Call: 1, Job: job})
	for len(w.open) == 0 && w.now < listedAt.Add(10*time.Second) {
		hear()
	}
	if got, want := w.now.Sub(listedAt), job.Timeout+w.i.pool.orphanRunTime; len(w.open) != 1 || got < want || got > want+time.Second {
		t.Errorf("%d offers %v after the other call was listed, want one after %v", len(w.open), got, want)
	}
}

// TestOldCallIsOfferedOnceMembersHaveHeardOfIt lets an owner decline a call whose job may have
// been submitted again at a member that hasn't processed the list with the call yet.
func TestOldCallIsOfferedOnceMembersHaveHeardOfIt(t *testing.T) {
	w := newOfferWorld(t)
	slow := w.owners[2]
	echo := w.now
	w.step(JobSubmitted{Call: 1, Job: oneTaskJob("j1", w.now)})
	submittedAt := w.now
	hear := func() {
		w.heartbeat(w.owners[0], 4000)
		w.heartbeat(w.owners[1], 4000)
		w.step(PeerMessage{From: slow, ReceivedAt: w.now, Message: Heartbeat{SentAt: w.now, Echo: echo, Busy: true}})
		w.step(Tick{})
	}
	for w.now.Sub(submittedAt) <= w.i.pool.orphanRunTime {
		w.now = w.now.Add(tickInterval)
		echo = min(w.now, submittedAt.Add(w.i.pool.orphanRunTime/2-tickInterval))
		hear()
	}
	w.decline(NotRun)
	hear()
	if len(w.open) > 0 {
		t.Errorf("offered to %s before %s has heard of the call", w.open[0].owner.Instance, slow.Instance)
	}
	echo = w.now
	hear()
	w.checkOneOwner()
}
