package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestNothingFollowsDroppedMessage overflows the queue of a link whose peer doesn't read.
// No later message is sent on that connection, and the link connects again.
func TestNothingFollowsDroppedMessage(t *testing.T) {
	dials := make(chan struct{}, 16)
	overflows := 0
	m := New(Options{
		Self:         fleet.Member{Instance: "n", Incarnation: "1"},
		OnDisconnect: func(fleet.LinkDown) {}, OnError: func(model.Instance, error) { overflows++ },
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials <- struct{}{}
			<-ctx.Done() // no answer, so that the test alone takes messages from the queue
			return nil, ctx.Err()
		},
	})
	ctx, stop := context.WithCancel(t.Context())
	defer m.Wait()
	defer stop()
	peer := fleet.Member{Instance: "p", Incarnation: "1", Addr: "a"}
	m.Connect(ctx, peer)
	select {
	case <-dials:
	case <-time.After(30 * time.Second):
		t.Fatal("no dial")
	}
	l := m.links["p"]
	l.queue.reset(peer.Incarnation)
	for call := range fleet.CallID(queueLength + 1) {
		m.Send(peer, fleet.Withdraw{Call: call})
	}
	<-l.queue.messages // the connection has sent one
	m.Send(peer, fleet.Heartbeat{})
	if n := len(l.queue.messages); n != queueLength-1 {
		t.Errorf("%d messages are queued, want %d: none follows the dropped one", n, queueLength-1)
	}
	if overflows != 1 {
		t.Errorf("%d errors reported, want 1", overflows)
	}
	select {
	case <-l.reconnect:
	default:
		t.Error("the connection is not replaced")
	}
	l.queue.reset(peer.Incarnation)
	m.Send(peer, fleet.Heartbeat{})
	if n := len(l.queue.messages); n != 1 {
		t.Errorf("%d messages are queued for the next connection, want 1", n)
	}
}

// TestMessageForEarlierIncarnationIsDropped guards against answers that reach the wrong
// caller: each incarnation of an instance numbers its calls anew.
func TestMessageForEarlierIncarnationIsDropped(t *testing.T) {
	m := New(Options{Self: fleet.Member{Instance: "n", Incarnation: "1"}})
	l := &link{queue: newSendQueue(), reconnect: make(chan struct{}, 1)}
	m.links["p"] = l
	answer := fleet.Outcome{Call: 20, Result: fleet.Result{Kind: fleet.Accepted}}
	for _, connectedTo := range []model.Incarnation{"1", "2"} {
		l.startConnection(connectedTo)
		for _, to := range []model.Incarnation{"1", "2", "3"} {
			m.Send(fleet.Member{Instance: "p", Incarnation: to}, answer)
		}
		if n := len(l.queue.messages); n != 1 {
			t.Errorf("connected to incarnation %s: %d of 3 messages for different incarnations are queued, want 1", connectedTo, n)
		}
	}
}
