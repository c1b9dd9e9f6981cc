package mesh

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
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
