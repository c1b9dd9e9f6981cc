package core

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// confirmedViews returns a document that names this instance with a
// confirmation number.
func confirmedViews(index, confirm uint64) Views {
	self := InstanceInfo{Member: shard.Member{Instance: "a", Incarnation: "a2"}, Domain: "d", Addr: testAddr, ConfirmSeq: confirm}
	v := relayViews("d", index, 1, self)
	v.ReadAt = model.Time(2 * time.Hour)
	return v
}

// pausedCore returns an instance that was paused after reading the document,
// and the number of its confirming write.
func pausedCore(t *testing.T) (*testCore, uint64) {
	t.Helper()
	c := newTestCore(false)
	c.step(confirmedViews(5, 0), Tick{})
	return c, c.pause(t)
}

// pause leaves the outcome of the pending write unknown, pauses the instance,
// and returns the confirmation number of the write that it issues afterwards.
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

// TestConfirmationOfEarlierPauseIsIgnored checks that only the confirming write
// of the latest pause ends a suspension.
func TestConfirmationOfEarlierPauseIsIgnored(t *testing.T) {
	c, first := pausedCore(t)
	second := c.pause(t)
	if second <= first {
		t.Fatalf("confirmation number %d was issued after %d", second, first)
	}
	c.step(confirmedViews(6, first))
	if !c.env.Suspended {
		t.Fatal("resumed by a write issued before the latest pause")
	}
	c.step(confirmedViews(7, second))
	if c.env.Suspended {
		t.Fatal("still suspended after the confirming write")
	}
}

// TestNewViewResetsSilence checks that silence from before a member's current
// view does not count, and that silence since then does.
func TestNewViewResetsSilence(t *testing.T) {
	b := testInstance("b")
	c := newTestCore(true)
	c.step(Instances{List: []InstanceInfo{b}}, confirmedViews(5, 0))
	timeout := func() Event { return PeerTimeout{Addr: b.Addr, DialedAt: c.now} }
	c.step(timeout())
	c.step(relayViews("d", 6, 2, relaySelf, b))
	if c.peers.Liveness(b.Member) != shard.Alive {
		t.Fatal("silent because of a connection from before the view that names it")
	}
	c.step(timeout())
	c.step(relayViews("d", 7, 2, relaySelf, b))
	if c.peers.Liveness(b.Member) != shard.Silent {
		t.Fatal("not silent although the view is unchanged")
	}
	// The documents in between, which excluded the member, were missed.
	c.step(relayViews("d", 9, 4, relaySelf, b))
	if c.peers.Liveness(b.Member) != shard.Alive {
		t.Fatal("silent because of a connection from before its current view")
	}
}
