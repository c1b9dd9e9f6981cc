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
	m.Connect(ctx, fleet.Member{Instance: "p", Incarnation: "1", Addr: "a"})
	select {
	case <-dials:
	case <-time.After(30 * time.Second):
		t.Fatal("no dial")
	}
	l := m.links["p"]
	for call := range fleet.CallID(queueLength + 1) {
		m.Send("p", fleet.Withdraw{Call: call})
	}
	<-l.queue.messages // the connection has sent one
	m.Send("p", fleet.Heartbeat{})
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
	l.queue.reset()
	m.Send("p", fleet.Heartbeat{})
	if n := len(l.queue.messages); n != 1 {
		t.Errorf("%d messages are queued for the next connection, want 1", n)
	}
}
