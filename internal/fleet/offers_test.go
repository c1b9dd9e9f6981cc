package fleet

import (
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
		w.step(PeerMessage{From: m, ReceivedAt: w.now, Message: Heartbeat{
			SentAt: w.now, Echo: w.now, Busy: true, Loads: []Load{{Service: "svc", Servers: 1, CapacityMilli: 4000, FreeMilli: 4000}},
		}})
	}
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

// TestDeferredCallOfferedToTwoOwners repeats the decline of an offer, as after a replaced
// link, while the call is deferred.
func TestDeferredCallOfferedToTwoOwners(t *testing.T) {
	w := newOfferWorld(t)
	w.step(InputProcessed{At: w.now})
	w.step(JobSubmitted{Call: 1, Job: oneTaskJob("j1", w.now)})
	w.now = w.now.Add(maxInputAge + 50*time.Millisecond)
	declined := w.decline(NotRun)
	w.step(LinkUp{Peer: declined.owner})
	w.step(InputProcessed{At: w.now})
	w.declineAgain(declined, Unknown)
	w.heartbeats()
	w.step(Tick{})
	if len(w.open) != 1 {
		t.Errorf("%d owners have the job, want 1", len(w.open))
	}
}

// TestDeferredCallOfferedAgainForLostOwner loses the owner that has declined a call while
// the call is deferred.
func TestDeferredCallOfferedAgainForLostOwner(t *testing.T) {
	w := newOfferWorld(t)
	w.step(InputProcessed{At: w.now})
	w.step(JobSubmitted{Call: 1, Job: oneTaskJob("j1", w.now)})
	w.now = w.now.Add(maxInputAge + 50*time.Millisecond)
	declined := w.decline(NotRun)
	w.step(LinkDown{Peer: declined.owner, Refused: true})
	w.step(InputProcessed{At: w.now})
	w.heartbeats()
	for range 30 {
		w.now = w.now.Add(tickInterval)
		w.heartbeats()
		w.step(InputProcessed{At: w.now})
		w.step(Tick{})
	}
	if len(w.open) != 1 {
		t.Errorf("%d owners have the job, want 1", len(w.open))
	}
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
