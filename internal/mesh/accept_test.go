package mesh

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestSilentConnection guards against connections to the peer port that send nothing and
// hold a file descriptor indefinitely.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer client.Close()
		faults := 0
		m := New(Options{Self: fleet.Member{Instance: "n", Incarnation: "1"}, OnError: func(model.Instance, error) { faults++ }})
		m.accept(t.Context(), server) // returns when the connection is given up
		if faults != 1 {
			t.Errorf("%d faults were reported, want 1", faults)
		}
	})
}

// scriptedListener fails as often as failures says, then returns one connection and blocks
// until it is closed.
type scriptedListener struct {
	net.Listener
	failures int
	conns    chan net.Conn
	closed   chan struct{}
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
	}
}

// TestAcceptErrors guards against a peer port that accepts no connections any more after
// the process ran out of file descriptors for a moment, and against a log line per attempt.
func TestAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer client.Close()
		l := &scriptedListener{failures: 50, conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		l.conns <- server
		faults := 0
		m := New(Options{Self: fleet.Member{Instance: "n", Incarnation: "1"}, OnError: func(model.Instance, error) { faults++ }})
		ended := make(chan error, 1)
		go func() { ended <- m.Serve(t.Context(), l) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		if l.failures > 0 || len(l.conns) > 0 {
			t.Fatalf("the connection is not accepted; %d failures are left", l.failures)
		}
		if faults > 7 { // one a second for 5 s, and the silent connection
			t.Errorf("%d faults were reported", faults)
		}
		close(l.closed)
		if err := <-ended; err == nil {
			t.Error("a closed listener is not reported")
		}
	})
}

// TestAcceptErrorsEndWithContext guards against a peer port that retries after the process
// has stopped.
func TestAcceptErrorsEndWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		m := New(Options{OnError: func(model.Instance, error) {}})
		if err := m.Serve(ctx, &scriptedListener{failures: 1 << 30}); err != nil {
			t.Error(err)
		}
	})
}
