package node

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// TestInputProbeReportsEarlierByte checks that a byte vouches only for input older than
// the byte before it.
func TestInputProbeReportsEarlierByte(t *testing.T) {
	events := make(chan fleet.Event, 8)
	p, err := newInputProbe(func(e fleet.Event) { events <- e })
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		p.run()
		close(ended)
	}()
	for at := fleet.Time(1); at <= 3; at++ {
		if err := p.send(at); err != nil {
			t.Fatal(err)
		}
		if at == 1 {
			waitUntil(t, func() bool { return !p.inFlight.Load() })
			continue // nothing was sent before it
		}
		select {
		case e := <-events:
			if got := e.(fleet.InputProcessed).At; got != at-1 {
				t.Errorf("byte %d reports %d", at, got)
			}
		case <-time.After(30 * time.Second):
			t.Fatal("no report")
		}
	}
	p.close()
	<-ended
	if len(events) != 0 {
		t.Errorf("%d reports too many", len(events))
	}
}

func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out")
		}
	}
}
