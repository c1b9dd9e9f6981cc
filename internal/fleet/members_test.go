package fleet

import (
	"testing"
	"time"
)

// TestDelayedMessageIsStale feeds an instance that is behind with its events:
// what it takes in now was said long ago, and the sender may be silent since.
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
		t.Error("a member counts as heard whose last message is as old as a silence")
	}
	i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Heartbeat{}})
	if !i.members.peers["n2"].responsive(now) {
		t.Error("a member doesn't count as heard whose message has just come")
	}
}

// TestPeerReceiveAgeIncludesDelay feeds an instance that is behind with a message that
// was late to hear of it already when it was sent: both times count.
func TestPeerReceiveAgeIncludesDelay(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	i.Step(now, MembersListed{Members: []Member{other}})
	i.Step(now, LinkUp{Peer: other})
	now = now.Add(peerTimeout / 2)
	i.Step(now, PeerMessage{From: other, ReceivedAt: now.Add(-peerTimeout / 2), Message: Heartbeat{LastReceivedAge: peerTimeout/2 + time.Millisecond}})
	if i.members.peers["n2"].reachable(now) {
		t.Error("a member counts as reached that may not have heard of this instance for as long as a silence")
	}
}

// TestHeartbeatRate follows a pair of members through times with and without servers
// or jobs at either end.
func TestHeartbeatRate(t *testing.T) {
	now := Time(time.Minute)
	cases := []struct {
		name       string
		self, peer bool          // busy
		after      time.Duration // since the last case
		active     bool
		silence    time.Duration
	}{
		{"new", false, false, 0, true, peerTimeout},
		{"idle for less than the tail", false, false, busyLinger - time.Millisecond, true, peerTimeout},
		{"idle", false, false, time.Millisecond, false, idlePeerTimeout},
		{"the peer has servers; its beats are about to come", false, true, time.Second, true, idlePeerTimeout},
		{"and should have come", false, true, peerTimeout, true, peerTimeout},
		{"the peer is idle again", false, false, time.Second, true, peerTimeout},
		{"this instance has jobs before the tail ends", true, false, time.Second, true, peerTimeout},
		{"both were idle for long", false, false, busyLinger, false, idlePeerTimeout},
	}
	p := &peer{everHeard: true, busyAt: now, active: true}
	for _, c := range cases {
		now = now.Add(c.after)
		p.busy = c.peer
		p.updateActive(c.self, now)
		if p.active != c.active || p.timeout(now) != c.silence {
			t.Errorf("%s: active %v, silence %v, want %v, %v", c.name, p.active, p.timeout(now), c.active, c.silence)
		}
	}
}
