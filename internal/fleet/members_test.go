package fleet

import (
	"testing"
	"time"
)

// TestMessagesThatWaitedAreOld feeds an instance that is behind with its events:
// what it takes in now was said long ago, and the sender may be silent since.
func TestMessagesThatWaitedAreOld(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	i.Step(now, MembersListed{Members: []Member{other}})
	i.Step(now, LinkUp{Peer: other})
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		i.Step(now, PeerMessage{From: other, ReceivedAt: now.Add(-peerSilence), Message: Heartbeat{}})
	}
	if i.members.peers["n2"].heard(now) {
		t.Error("a member counts as heard whose last message is as old as a silence")
	}
	i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Heartbeat{}})
	if !i.members.peers["n2"].heard(now) {
		t.Error("a member doesn't count as heard whose message has just come")
	}
}

// TestPeerThatMayNotHear feeds an instance that is behind with a message that
// was late to hear of it already when it was sent: both times count.
func TestPeerThatMayNotHear(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	i.Step(now, MembersListed{Members: []Member{other}})
	i.Step(now, LinkUp{Peer: other})
	now = now.Add(peerSilence / 2)
	i.Step(now, PeerMessage{From: other, ReceivedAt: now.Add(-peerSilence / 2), Message: Heartbeat{LastReceivedAge: peerSilence/2 + time.Millisecond}})
	if i.members.peers["n2"].reachable(now) {
		t.Error("a member counts as reached that may not have heard of this instance for as long as a silence")
	}
}

// TestPaceOfBeats follows a pair of members through times with and without servers
// or jobs at either end.
func TestPaceOfBeats(t *testing.T) {
	now := Time(time.Minute)
	cases := []struct {
		name       string
		self, peer bool          // busy
		after      time.Duration // since the last case
		active     bool
		silence    time.Duration
	}{
		{"new", false, false, 0, true, peerSilence},
		{"idle for less than the tail", false, false, busyTail - time.Millisecond, true, peerSilence},
		{"idle", false, false, time.Millisecond, false, idleSilence},
		{"the peer has servers; its beats are about to come", false, true, time.Second, true, idleSilence},
		{"and should have come", false, true, peerSilence, true, peerSilence},
		{"the peer is idle again", false, false, time.Second, true, peerSilence},
		{"this instance has jobs before the tail ends", true, false, time.Second, true, peerSilence},
		{"both were idle for long", false, false, busyTail, false, idleSilence},
	}
	p := &peer{everHeard: true, busyAt: now, active: true}
	for _, c := range cases {
		now = now.Add(c.after)
		p.busy = c.peer
		p.setPace(c.self, now)
		if p.active != c.active || p.silence(now) != c.silence {
			t.Errorf("%s: active %v, silence %v, want %v, %v", c.name, p.active, p.silence(now), c.active, c.silence)
		}
	}
}
