package fleet

import (
	"testing"
	"time"
)

// TestDelayedMessageIsStale feeds late messages to an instance that lags behind its
// events: the sender may have been silent since.
func TestDelayedMessageIsStale(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	i.Step(now, MembersListed{Members: []Member{other}})
	i.Step(now, LinkUp{Peer: other})
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		i.Step(now, PeerMessage{From: other, ReceivedAt: now.Add(-peerTimeout), Message: Heartbeat{}})
	}
	if i.members.peers["n2"].responsive(now) {
		t.Error("a member counts as responsive though its last message is as old as the timeout")
	}
	i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Heartbeat{}})
	if !i.members.peers["n2"].responsive(now) {
		t.Error("a member doesn't count as responsive though its message has just arrived")
	}
}

// TestPeerReceiveAgeIncludesDelay feeds a late message whose sender had not heard from
// this instance for a while when it was sent: both times add up.
func TestPeerReceiveAgeIncludesDelay(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	i.Step(now, MembersListed{Members: []Member{other}})
	i.Step(now, LinkUp{Peer: other})
	now = now.Add(peerTimeout / 2)
	i.Step(now, PeerMessage{From: other, ReceivedAt: now.Add(-peerTimeout / 2), Message: Heartbeat{LastReceivedAge: peerTimeout/2 + time.Millisecond}})
	if i.members.peers["n2"].reachable(now) {
		t.Error("a member counts as reachable though it may not have heard this instance for the whole timeout")
	}
}

// TestHeartbeatRate takes a pair of members through times with and without servers or
// jobs at either end.
func TestHeartbeatRate(t *testing.T) {
	now := Time(time.Minute)
	cases := []struct {
		name       string
		self, peer bool          // busy
		after      time.Duration // since the last case
		active     bool
		timeout    time.Duration
	}{
		{"new", false, false, 0, true, peerTimeout},
		{"idle for less than the linger time", false, false, busyLinger - time.Millisecond, true, peerTimeout},
		{"idle", false, false, time.Millisecond, false, idlePeerTimeout},
		{"the peer has servers; its heartbeats are due", false, true, time.Second, true, idlePeerTimeout},
		{"and are overdue", false, true, peerTimeout, true, peerTimeout},
		{"the peer is idle again", false, false, time.Second, true, peerTimeout},
		{"this instance has jobs before the linger time ends", true, false, time.Second, true, peerTimeout},
		{"both were idle for a long time", false, false, busyLinger, false, idlePeerTimeout},
	}
	p := &peer{everHeard: true, busyAt: now, active: true}
	for _, c := range cases {
		now = now.Add(c.after)
		p.busy = c.peer
		p.updateActive(c.self, now)
		if p.active != c.active || p.timeout(now) != c.timeout {
			t.Errorf("%s: active %v, timeout %v, want %v, %v", c.name, p.active, p.timeout(now), c.active, c.timeout)
		}
	}
}
