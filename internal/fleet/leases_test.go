package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// leaseWorld is an instance that owns a server and runs jobs of another instance.
type leaseWorld struct {
	t     *testing.T
	i     *Instance
	now   Time
	other Member
	echo  Time // last heartbeat that the other instance is known to have processed
}

func newLeaseWorld(t *testing.T) *leaseWorld {
	i, now := oneServer(t, 500)
	w := &leaseWorld{t: t, i: i, now: now, echo: now, other: Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}}
	i.Step(now, LinkUp{Peer: w.other})
	w.hear(0)
	return w
}

// hear processes a heartbeat of the other instance after d. It echoes none but the first
// one of this instance.
func (w *leaseWorld) hear(d time.Duration) {
	w.now = w.now.Add(d)
	w.i.Step(w.now, PeerMessage{From: w.other, ReceivedAt: w.now, Message: Heartbeat{SentAt: w.now, Echo: w.echo}})
}

// serverClock returns the server's clock: it is 100 at the echo, from the reply in
// oneServer.
func (w *leaseWorld) serverClock(at Time) int64 { return 100 + at.Sub(w.echo).Milliseconds() }

// limit is the end of the leases of the other instance's jobs, which may run elsewhere
// soon after.
func (w *leaseWorld) limit() int64 { return w.serverClock(w.echo.Add(time.Second)) }

// offer offers a job of the other instance and returns its start.
func (w *leaseWorld) offer(need uint32) (start StartRun, ok bool) {
	spec := JobSpec{
		ID: "j2", Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: w.now, Objective: Objective{Stretch: 2},
		Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: need}, Estimate: 5 * time.Second}},
	}
	for _, e := range w.i.Step(w.now, PeerMessage{From: w.other, ReceivedAt: w.now, Message: Offer{Call: 5, Job: spec, AllowQueue: true}}) {
		if s, isStart := e.(StartRun); isStart {
			start, ok = s, true
		}
	}
	return start, ok
}

// TestStopOfUnwantedRunRenewsItsLease loses the instance that offered a job. The stop
// of its run gets no answer, so that the run lasts until its lease expires: no poll may
// extend the lease past the time from which the lost instance runs the job elsewhere.
func TestStopOfUnwantedRunRenewsItsLease(t *testing.T) {
	w := newLeaseWorld(t)
	s, ok := w.offer(1000)
	if !ok {
		t.Fatal("nothing was started")
	}
	w.i.Step(w.now, StartReply{Server: "s1", Run: s.Run, Outcome: StartAccepted, ClockMs: w.serverClock(w.now), SentAt: w.now})
	stops := 0
	for range 20 {
		w.now = w.now.Add(50 * time.Millisecond)
		for _, e := range w.i.Step(w.now, Tick{}) {
			switch e := e.(type) {
			case StopRun:
				stops++
			case Poll:
				if e.LeaseEndMs > w.limit() {
					t.Errorf("after %d stops, a poll extends the lease to %d, want at most %d", stops, e.LeaseEndMs, w.limit())
				}
			}
			if p, isPoll := e.(Poll); isPoll && stops < 3 {
				reply := pollReply(w.now, 500, ActiveRun{Run: s.Run, Percent: 10})
				reply.ClockMs, reply.SentAt, reply.Poll = w.serverClock(w.now), w.now, p
				w.i.Step(w.now, reply)
			}
		}
	}
	if stops == 0 {
		t.Error("the run was not stopped")
	}
}

// TestOfferEchoesLikeHeartbeat offers a job that echoes a later heartbeat than the last
// heartbeat did. On large sites heartbeats are so far apart that the job would find the
// leases of most servers too long for it.
func TestOfferEchoesLikeHeartbeat(t *testing.T) {
	w := newLeaseWorld(t)
	w.hear(400 * time.Millisecond)
	run := startOne(t, w.i, w.now)
	reply := pollReply(w.now, 500, ActiveRun{Run: run})
	reply.ClockMs = w.serverClock(w.now)
	w.i.Step(w.now, reply)
	spec := shortJob(w.now)
	spec.ID, spec.Steps[0].Need.CPUMilli = "j2", 1000
	offer := Offer{Call: 5, Job: spec, AllowQueue: true, Echo: w.now.Add(-100 * time.Millisecond)}
	if n := count[StartRun](w.i.Step(w.now, PeerMessage{From: w.other, ReceivedAt: w.now, Message: offer})); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// TestStartUnderLongerLease offers a job of another instance that was last reached some
// time ago, while a local job runs on the only server. The server has one lease for all
// its runs, which never shortens: it must not outlast the time from which the other
// instance may run its job elsewhere.
func TestStartUnderLongerLease(t *testing.T) {
	w := newLeaseWorld(t)
	w.hear(300 * time.Millisecond)
	startOne(t, w.i, w.now)
	w.hear(100 * time.Millisecond)
	s, ok := w.offer(1000)
	if lease := w.i.pool.servers["s1"].leaseEndMs; ok && lease > w.limit() {
		t.Errorf("%v starts under a lease to %d, want at most %d", s.Run, lease, w.limit())
	}
}

// TestSuspectStartsUnderLongerLease leaves a server empty whose lease was renewed for a
// local job just before. A task that runs alone must not start there under it either.
func TestSuspectStartsUnderLongerLease(t *testing.T) {
	w := newLeaseWorld(t)
	w.hear(300 * time.Millisecond)
	run := startOne(t, w.i, w.now)
	w.hear(100 * time.Millisecond)
	reply := pollReply(w.now, 500, ActiveRun{Run: run})
	reply.ClockMs = w.serverClock(w.now)
	w.i.Step(w.now, reply) // renews the lease
	reply.Running, reply.Ended = nil, []EndedRun{{Seq: 1, Run: run, Kind: EndDone}}
	w.i.Step(w.now, reply)
	if _, ok := w.offer(1000); ok {
		t.Fatal("the task starts before it is a suspect")
	}
	st := w.i.pool.queue[0].steps[0]
	st.queued[0].losses = []ServerLoss{{Server: "s0", Crashed: true}}
	st.suspects, st.queued = st.queued, nil
	for range 4 {
		if n := count[StartRun](w.i.Step(w.now, Tick{})); n > 0 {
			t.Fatalf("the suspect starts under a lease to %d, want at most %d", w.i.pool.servers["s1"].leaseEndMs, w.limit())
		}
	}
}

// TestRunOutlastsReplacedHome runs an offloaded task whose owner stays well while the instance
// with the call starts again, which this instance learns before the owner does. The caller has
// lost its connection with the earlier life and counts from then: no lease may last longer than
// the longest one from the last echo of that life.
func TestRunOutlastsReplacedHome(t *testing.T) {
	for name, returns := range map[string]bool{"stays away": false, "starts again": true} {
		t.Run(name, func(t *testing.T) {
			w := newLeaseWorld(t)
			home := Member{Instance: "n3", Incarnation: "01", Domain: "d", Weight: 1}
			w.i.Step(w.now, LinkUp{Peer: home})
			hear := func(m Member) []Effect {
				return w.i.Step(w.now, PeerMessage{From: m, ReceivedAt: w.now, Message: Heartbeat{SentAt: w.now, Echo: w.now, Busy: true}})
			}
			hear(home)
			began, limit := w.now, w.serverClock(w.now.Add(time.Second)) // home ends now
			spec := oneTaskJob("j2", w.now)
			spec.Offloaded = &OffloadedTask{Home: home}
			effects := w.i.Step(w.now, PeerMessage{From: w.other, ReceivedAt: w.now, Message: Offer{Call: firstOffloadCall + 1, Job: spec, Echo: w.now}})
			run, worst := lookFor[StartRun](t, effects).Run, int64(0)
			effects = append(effects, w.i.Step(w.now, StartReply{Server: "s1", Run: run, Outcome: StartAccepted, ClockMs: w.serverClock(w.now), SentAt: w.now})...)
			for w.now.Sub(began) < 1500*time.Millisecond {
				w.now = w.now.Add(tickInterval)
				due := effects
				effects = hear(w.other)
				for _, e := range due {
					if p, ok := e.(Poll); ok {
						worst = max(worst, p.LeaseEndMs)
						reply := pollReply(w.now, 500, ActiveRun{Run: run, Percent: int(w.now.Sub(began).Milliseconds() / 20)})
						reply.ClockMs, reply.Poll = w.serverClock(w.now), p
						effects = append(effects, w.i.Step(w.now, reply)...)
					}
				}
				if again := home; returns && w.now.Sub(began) >= 300*time.Millisecond {
					again.Incarnation = "02"
					effects = append(effects, hear(again)...)
				}
				effects = append(effects, w.i.Step(w.now, Tick{})...)
			}
			if worst > limit {
				t.Errorf("a lease lasts until %d on the server's clock, want at most %d", worst, limit)
			}
		})
	}
}
