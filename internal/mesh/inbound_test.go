package mesh

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/fleetpb"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// dialer is a peer that keeps several connections open at once.
type dialer struct {
	t    *testing.T
	addr string
}

// connect dials and sends the hello of the peer's number-th connection.
func (d dialer) connect(number uint64) *yamux.Stream {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { conn.Close() })
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		d.t.Fatal(err)
	}
	stream, err := session.OpenStream()
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := protodelim.MarshalTo(stream, &fleetpb.Member{Instance: "p", Incarnation: "1", Link: number}); err != nil {
		d.t.Logf("connection %d is rejected: %v", number, err) // closed before yamux confirms the write
		return stream
	}
	var hello fleetpb.Member
	if err := protodelim.UnmarshalFrom(bufio.NewReaderSize(stream, helloBufferBytes), &hello); err != nil {
		d.t.Logf("connection %d is rejected: %v", number, err)
	}
	return stream
}

// send sends a message, which may be lost.
func (d dialer) send(s *yamux.Stream, call fleet.CallID) {
	m, err := encode(fleet.Withdraw{Call: call})
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := protodelim.MarshalTo(s, &fleetpb.Frame{Messages: []*fleetpb.Message{m}}); err != nil {
		d.t.Logf("message %d is not sent: %v", call, err)
	}
}

// TestMessagesOnReplacedConnectionAreDropped sends on a connection that was
// replaced while it is still open.
func TestMessagesOnReplacedConnectionAreDropped(t *testing.T) {
	got := make(chan fleet.CallID, 16)
	m := New(Options{
		Self: fleet.Member{Instance: "n", Incarnation: "1"}, OnError: func(model.Instance, error) {},
		OnMessage: func(_ fleet.Member, message any) { got <- message.(fleet.Withdraw).Call },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = m.Serve(ctx, l) }() // ends with the listener
	defer l.Close()
	d := dialer{t, l.Addr().String()}
	next := func() fleet.CallID {
		select {
		case c := <-got:
			return c
		case <-time.After(30 * time.Second):
			t.Fatal("timed out waiting for a message")
			return 0
		}
	}
	first := d.connect(1)
	d.send(first, 1)
	if c := next(); c != 1 {
		t.Fatalf("message %d, want 1", c)
	}
	second := d.connect(2)
	d.send(first, 101)
	d.send(second, 2)
	if c := next(); c != 2 {
		t.Errorf("message %d was delivered from a replaced connection", c)
	}
	late := d.connect(1)
	d.send(late, 102)
	third := d.connect(3)
	d.send(third, 3)
	if c := next(); c != 3 {
		t.Errorf("message %d was delivered from a connection that arrived late", c)
	}
}
