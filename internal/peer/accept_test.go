package peer

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// failingListener fails as often as failures says, then blocks until it is closed.
type failingListener struct {
	net.Listener
	failures int
	closed   chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	<-l.closed
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
}

// TestAcceptErrors guards against a peer port that accepts no connections any more after
// the process ran out of file descriptors for a moment, and against a log line per attempt.
func TestAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &failingListener{failures: 50, closed: make(chan struct{})}
		reports := 0
		m := New(Options{OnAcceptError: func(error) { reports++ }})
		defer m.Close()
		ended := make(chan error, 1)
		go func() { ended <- m.Serve(l) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		if l.failures > 0 {
			t.Fatalf("accepting has ended; %d failures are left", l.failures)
		}
		if reports < 1 || reports > 6 { // one a second for 5 s
			t.Errorf("%d reports", reports)
		}
		close(l.closed)
		if err := <-ended; err == nil {
			t.Error("a closed listener is not reported")
		}
	})
}
