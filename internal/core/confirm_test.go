package core

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// confirmedViews returns a document that names this instance with a counter.
func confirmedViews(index, confirm uint64) Views {
	self := InstanceInfo{Member: shard.Member{Instance: "a", Incarnation: "a2"}, Domain: "d", Addr: testAddr, ConfirmSeq: confirm}
	v := relayViews("d", index, 1, self)
	v.ReadAt = model.Time(2 * time.Hour)
	return v
}

// pausedCore returns an instance that was paused for long after it had read the
// document, and the counter of its confirming write.
func pausedCore(t *testing.T) (*testCore, uint64) {
	t.Helper()
	c := newTestCore(false)
	c.step(confirmedViews(5, 0), Tick{})
	return c, c.pause(t)
}

// pause leaves the outcome of the write under way unknown, lets the instance
// sleep, and returns the counter of the write that it issues when it wakes.
func (c *testCore) pause(t *testing.T) uint64 {
	t.Helper()
	c.step(ViewsWritten{Outcome: WriteUnknown})
	c.now = c.now.Add(time.Hour)
	w := c.step(Tick{}, confirmedViews(c.plan.index, 0)).WriteViews
	if w == nil || !c.env.Suspended {
		t.Fatal("no confirming write after a pause")
	}
	return w.Doc.Instances[0].ConfirmSeq
}

// TestConfirmationOfEarlierPauseIsIgnored checks which counter in the document ends
// a suspension: only one of a write that was issued after the latest pause.
func TestConfirmationOfEarlierPauseIsIgnored(t *testing.T) {
	c, first := pausedCore(t)
	second := c.pause(t)
	if second <= first {
		t.Fatalf("counter %d is used after %d", second, first)
	}
	c.step(confirmedViews(6, first))
	if !c.env.Suspended {
		t.Fatal("resumed by a write from before the latest pause")
	}
	c.step(confirmedViews(7, second))
	if c.env.Suspended {
		t.Fatal("still suspended after the confirming write")
	}
}

// TestNewViewResetsSilence checks that silence from before a member's present
// view does not count, and that silence since does.
func TestNewViewResetsSilence(t *testing.T) {
	b := testInstance("b")
	c := newTestCore(true)
	c.step(Instances{List: []InstanceInfo{b}}, confirmedViews(5, 0))
	unanswered := func() Event { return PeerTimeout{Addr: b.Addr, DialedAt: c.now} }
	c.step(unanswered())
	c.step(relayViews("d", 6, 2, relaySelf, b))
	if c.peers.Liveness(b.Member) != shard.Alive {
		t.Fatal("silent by a connection from before it was named")
	}
	c.step(unanswered())
	c.step(relayViews("d", 7, 2, relaySelf, b))
	if c.peers.Liveness(b.Member) != shard.Silent {
		t.Fatal("not silent though the views are the same")
	}
	// The documents in between, which left it out, were missed.
	c.step(relayViews("d", 9, 4, relaySelf, b))
	if c.peers.Liveness(b.Member) != shard.Alive {
		t.Fatal("silent by a connection from before its present view")
	}
}
