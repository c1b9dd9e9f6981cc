package fleet

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// openOffer is an offer that its owner has neither declined nor been told to drop.
type openOffer struct {
	owner Member
	call  CallID
}

// offerWorld is an instance with a call and several owners elsewhere.
type offerWorld struct {
	t      *testing.T
	i      *Instance
	now    Time
	owners []Member
	open   []openOffer
}

func newOfferWorld(t *testing.T) *offerWorld {
	t.Helper()
	now := Time(time.Second)
	self := Member{Instance: "n1", Incarnation: "01", Domain: "d", Weight: 1}
	w := &offerWorld{t: t, now: now, i: NewInstance(Options{Self: self, Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)}
	for _, name := range []string{"n2", "n3", "n4"} {
		m := self
		m.Instance = model.Instance(name)
		w.owners = append(w.owners, m)
		w.step(LinkUp{Peer: m})
	}
	w.heartbeats()
	return w
}

// step passes an event to the instance and follows which owners have an open offer.
func (w *offerWorld) step(e Event) {
	w.t.Helper()
	for _, x := range w.i.Step(w.now, e) {
		s, ok := x.(SendPeer)
		if !ok {
			continue
		}
		switch m := s.Message.(type) {
		case Offer:
			w.open = append(w.open, openOffer{s.To, m.Call})
			if len(w.open) > 1 {
				w.t.Errorf("at %v the job is offered to %s while %s has it", w.now, s.To.Instance, w.open[0].owner.Instance)
			}
		case Withdraw:
			w.open = slices.DeleteFunc(w.open, func(o openOffer) bool { return o.call == m.Call })
		}
	}
}

// heartbeats lets all owners report room.
func (w *offerWorld) heartbeats() {
	w.t.Helper()
	for _, m := range w.owners {
		w.heartbeat(m, 4000)
	}
}

func (w *offerWorld) heartbeat(from Member, freeMilli float64) {
	w.t.Helper()
	w.step(PeerMessage{From: from, ReceivedAt: w.now, Message: Heartbeat{
		SentAt: w.now, Echo: w.now, Busy: true, Loads: []Load{{Service: "svc", Servers: 1, CapacityMilli: 4000, FreeMilli: freeMilli}},
	}})
}

// decline lets the owner of the first open offer decline it.
func (w *offerWorld) decline(kind ResultKind) openOffer {
	w.t.Helper()
	if len(w.open) == 0 {
		w.t.Fatal("no owner has the job")
	}
	o := w.open[0]
	w.open = w.open[1:]
	w.declineAgain(o, kind)
	return o
}

func (w *offerWorld) declineAgain(o openOffer, kind ResultKind) {
	w.t.Helper()
	w.step(PeerMessage{From: o.owner, ReceivedAt: w.now, Message: Outcome{Call: o.call, Declined: true, Result: Result{Kind: kind}}})
}

// newDeferredCall returns an instance with a call that an owner has declined while the
// instance lagged behind its input, and the declined offer.
func newDeferredCall(t *testing.T) (*offerWorld, openOffer) {
	t.Helper()
	w := newOfferWorld(t)
	w.step(InputProcessed{At: w.now})
	w.step(JobSubmitted{Call: 1, Job: oneTaskJob("j1", w.now)})
	w.now = w.now.Add(maxInputAge + 50*time.Millisecond)
	return w, w.decline(NotRun)
}

// checkOneOwner checks that exactly one owner has the job.
func (w *offerWorld) checkOneOwner() {
	w.t.Helper()
	if len(w.open) != 1 {
		w.t.Errorf("%d owners have the job, want 1", len(w.open))
	}
}

// TestDeferredCallOfferedToTwoOwners repeats the decline of an offer, as after a replaced
// link, while the call is deferred.
func TestDeferredCallOfferedToTwoOwners(t *testing.T) {
	w, declined := newDeferredCall(t)
	w.step(LinkUp{Peer: declined.owner})
	w.step(InputProcessed{At: w.now})
	w.declineAgain(declined, Unknown)
	w.heartbeats()
	w.step(Tick{})
	w.checkOneOwner()
}

// TestDeferredCallOfferedAgainForLostOwner loses the owner that has declined a call while
// the call is deferred.
func TestDeferredCallOfferedAgainForLostOwner(t *testing.T) {
	w, declined := newDeferredCall(t)
	w.step(LinkDown{Peer: declined.owner, Refused: true})
	w.step(InputProcessed{At: w.now})
	w.heartbeats()
	for range 30 {
		w.now = w.now.Add(tickInterval)
		w.heartbeats()
		w.step(InputProcessed{At: w.now})
		w.step(Tick{})
	}
	w.checkOneOwner()
}

// TestJobSubmittedAgainStartsBesideRunsOfLostOwner submits a job again at an instance whose
// earlier call waits for the runs of a lost owner.
func TestJobSubmittedAgainStartsBesideRunsOfLostOwner(t *testing.T) {
	w := newOfferWorld(t)
	job := oneTaskJob("j1", w.now)
	w.step(JobSubmitted{Call: 1, Job: job})
	w.step(LinkDown{Peer: w.open[0].owner, Refused: true})
	lostAt := w.now
	w.step(JobSubmitted{Call: 2, Job: job})
	for len(w.open) == 0 && w.now < lostAt.Add(3*time.Second) {
		w.now = w.now.Add(tickInterval)
		w.heartbeats()
		w.step(Tick{})
	}
	if got := w.now.Sub(lostAt); got < w.i.pool.orphanRunTime {
		t.Errorf("offered %v after its owner was lost, want %v at least", got, w.i.pool.orphanRunTime)
	}
}

// TestUnfitJobLeavesItsEarlierRun submits a running job again when no server is large enough
// for it any more. Its earlier run is stopped, and its caller comes back after that.
func TestUnfitJobLeavesItsEarlierRun(t *testing.T) {
	i, now := oneServer(t, 500)
	startOne(t, i, now)
	entry := i.servers.entries["s1"]
	entry.Capacity.CPUMilli = 1000
	i.Step(now, ServersListed{Servers: []ServerEntry{entry}, Revision: 9})
	spec := oneTaskJob("j1", now)
	spec.Steps[0].Need.CPUMilli = 3000
	effects := i.Step(now, JobSubmitted{Call: 2, Job: spec})
	lookFor[StopRun](t, effects)
	for _, e := range effects {
		if a, ok := e.(Answer); ok && a.Call == 2 && a.Result.RetryAfter < i.pool.orphanRunTime {
			t.Errorf("the caller may come back after %v, want %v at least", a.Result.RetryAfter, i.pool.orphanRunTime)
		}
	}
}

// TestLinksReplacedBesideDeclineOfferJobTwice replaces all links of an instance, one after
// the other, while an owner declines.
func TestLinksReplacedBesideDeclineOfferJobTwice(t *testing.T) {
	w := newOfferWorld(t)
	w.step(JobSubmitted{Call: 1, Job: oneTaskJob("j1", w.now)})
	for _, m := range w.owners {
		w.step(LinkDown{Peer: m})
	}
	w.now = w.now.Add(10 * time.Millisecond)
	declined := w.decline(NotRun)
	w.now = w.now.Add(40 * time.Millisecond)
	w.step(LinkUp{Peer: declined.owner})
	w.now = w.now.Add(5 * time.Millisecond)
	w.declineAgain(declined, Unknown)
	for _, m := range w.owners {
		if m.Instance != declined.owner.Instance {
			w.step(LinkUp{Peer: m})
		}
	}
	w.now = w.now.Add(8 * time.Millisecond)
	w.heartbeats()
	w.step(Tick{})
	w.checkOneOwner()
}

// TestCallOfferedToTwoOwners passes random events to an instance with a call: links that
// come and go, declines and repeated ones, lags, and further submissions.
func TestCallOfferedToTwoOwners(t *testing.T) {
	for seed := range uint64(2000) {
		w := newOfferWorld(t)
		w.step(InputProcessed{At: w.now})
		w.step(JobSubmitted{Call: 1, Job: oneTaskJob("j1", w.now)})
		w.randomEvents(rand.New(rand.NewPCG(seed, 1)))
		w.checkCalls()
		if t.Failed() {
			t.Fatalf("with seed %d", seed)
		}
	}
}

// randomEvents passes 60 events to the instance.
func (w *offerWorld) randomEvents(r *rand.Rand) {
	w.t.Helper()
	var declined []openOffer
	lastCall := CallID(1)
	for range 60 {
		w.now = w.now.Add(time.Duration(r.IntN(60)) * time.Millisecond)
		peer := w.owners[r.IntN(len(w.owners))]
		switch r.IntN(12) {
		case 0:
			w.step(LinkDown{Peer: peer, Refused: r.IntN(4) == 0})
		case 1, 2:
			w.step(LinkUp{Peer: peer})
		case 3, 4:
			if len(w.open) > 0 {
				declined = append(declined, w.decline([]ResultKind{NotRun, Unknown}[r.IntN(2)]))
			}
		case 5:
			if len(declined) > 0 {
				w.declineAgain(declined[r.IntN(len(declined))], Unknown)
			}
		case 6:
			w.step(InputProcessed{At: w.now})
		case 7:
			w.step(Tick{})
		case 8:
			if r.IntN(10) == 0 {
				lastCall++
				w.step(JobSubmitted{Call: lastCall, Job: oneTaskJob("j1", w.now)})
			}
		default:
			w.heartbeat(peer, 1000*float64(r.IntN(5)))
		}
	}
}

// checkCalls checks that each call waits for exactly one thing.
func (w *offerWorld) checkCalls() {
	w.t.Helper()
	for _, c := range w.i.router.calls {
		n := 0
		for _, waits := range []bool{c.offer != 0, c.deferred, c.reofferAt != 0} {
			if waits {
				n++
			}
		}
		if n != 1 {
			w.t.Errorf("call %d has offer %d, deferred %v, reofferAt %v", c.id, c.offer, c.deferred, c.reofferAt)
		}
	}
}
