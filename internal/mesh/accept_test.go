package mesh

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestSilentConnection guards against connections to the peer port that send nothing and
// hold a file descriptor for good.
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
