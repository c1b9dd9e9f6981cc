package mesh

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestEndReadEndsWatch checks that a watch of a stream ends while its session is open, so
// that it doesn't spin while the session is being closed.
func TestEndReadEndsWatch(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	server, err := yamux.Server(b, sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client, err := yamux.Client(a, sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	stream, err := client.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	broken := make(chan struct{})
	go watchClose(stream, broken)
	endRead(stream)
	select {
	case <-broken:
	case <-time.After(30 * time.Second):
		t.Fatal("the watch of the stream goes on")
	}
	if client.IsClosed() {
		t.Error("the session is closed")
	}
}

// TestLaterIncarnationIsDialedAtOnce connects to a machine that is off, so that the dial
// hangs, and then to its next incarnation at the same address.
func TestLaterIncarnationIsDialedAtOnce(t *testing.T) {
	dials := make(chan struct{}, 16)
	m := New(Options{
		Self:         fleet.Member{Instance: "n", Incarnation: "1"},
		OnDisconnect: func(fleet.LinkDown) {}, OnError: func(model.Instance, error) {},
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials <- struct{}{}
			<-ctx.Done() // no answer
			return nil, ctx.Err()
		},
	})
	ctx, stop := context.WithCancel(t.Context())
	defer m.Wait()
	defer stop()
	next := func(what string) {
		select {
		case <-dials:
		case <-time.After(30 * time.Second):
			t.Fatalf("%s: no dial", what)
		}
	}
	peer := fleet.Member{Instance: "p", Incarnation: "1", Addr: "a"}
	m.Connect(ctx, peer)
	next("first incarnation")
	m.Connect(ctx, peer) // the same again changes nothing
	peer.Incarnation = "2"
	m.Connect(ctx, peer)
	next("second incarnation")
	m.links["p"].connectedTo.Store(model.Incarnation("3"))
	peer.Incarnation = "3"
	m.Connect(ctx, peer) // already reached
	select {
	case <-dials:
		t.Error("a link that has reached the incarnation is replaced")
	default:
	}
}

// TestFrameEndsWithLargeMessage guards against frames of many megabytes, which a burst of
// large jobs made and the peer refused.
func TestFrameEndsWithLargeMessage(t *testing.T) {
	large := fleet.Offer{Job: fleet.JobSpec{ID: "j", Spec: strings.Repeat("x", largeFrameBytes), Steps: []fleet.StepSpec{{Count: 1}}}}
	queue := make(chan any, 8)
	for _, m := range []any{fleet.Withdraw{Call: 1}, large, large, fleet.Withdraw{Call: 2}} {
		queue <- m
	}
	for _, want := range []int{2, 1, 1} {
		frame, err := collectFrame(<-queue, queue)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(frame.Messages); n != want {
			t.Errorf("a frame of %d messages, want %d", n, want)
		}
	}
}
