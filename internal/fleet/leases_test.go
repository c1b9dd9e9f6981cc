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
