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
	i.Step(now, MembersSeen{Members: []Member{other}})
	i.Step(now, PeerLinked{Peer: other})
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		i.Step(now, PeerMessage{From: other, At: now.Add(-peerSilence), Message: Beat{}})
	}
	if i.members.peers["n2"].heard(now) {
		t.Error("a member counts as heard whose last message is as old as a silence")
	}
	i.Step(now, PeerMessage{From: other, At: now, Message: Beat{}})
	if !i.members.peers["n2"].heard(now) {
		t.Error("a member doesn't count as heard whose message has just come")
	}
}

// TestPeerThatMayNotHear feeds an instance that is behind with a message that
// was late to hear of it already when it was sent: both times count.
func TestPeerThatMayNotHear(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Weight: 1}
	i.Step(now, MembersSeen{Members: []Member{other}})
	i.Step(now, PeerLinked{Peer: other})
	now = now.Add(peerSilence / 2)
	i.Step(now, PeerMessage{From: other, At: now.Add(-peerSilence / 2), Message: Beat{Heard: peerSilence/2 + time.Millisecond}})
	if i.members.peers["n2"].reachable(now) {
		t.Error("a member counts as reached that may not have heard of this instance for as long as a silence")
	}
}
