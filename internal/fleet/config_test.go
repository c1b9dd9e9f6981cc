package fleet

import (
	"testing"
	"time"
)

// TestConfigRequestedFromPeers lets peers report a newer configuration than the store
// has delivered. One peer is asked after a while, then the next.
func TestConfigRequestedFromPeers(t *testing.T) {
	i, now := oneServer(t, 500)
	peers := []Member{{Instance: "n2", Incarnation: "01", Domain: "d"}, {Instance: "n3", Incarnation: "01", Domain: "d"}}
	for _, p := range peers {
		i.Step(now, LinkUp{Peer: p})
	}
	i.Step(now, ConfigApplied{Version: 4})
	requestedFrom := func(after time.Duration) (out []string) {
		now = now.Add(after)
		for _, p := range peers {
			i.Step(now, PeerMessage{From: p, ReceivedAt: now, Message: Heartbeat{ConfigVersion: 7, SentAt: now, Echo: now.Add(-time.Millisecond)}})
		}
		for _, e := range i.Step(now, Tick{}) {
			if s, ok := e.(SendPeer); ok && s.Message == (ConfigRequest{HaveVersion: 4}) {
				out = append(out, string(s.To.Instance))
			}
		}
		return out
	}
	if got := requestedFrom(100 * time.Millisecond); len(got) != 0 {
		t.Errorf("%v were asked immediately", got)
	}
	if got := requestedFrom(configStoreWait); len(got) != 1 || got[0] != "n2" {
		t.Errorf("%v were asked, want n2", got)
	}
	if got := requestedFrom(100 * time.Millisecond); len(got) != 0 {
		t.Errorf("%v were asked while a request is pending", got)
	}
	if got := requestedFrom(configRequestInterval); len(got) != 1 || got[0] != "n3" {
		t.Errorf("%v were asked, want n3", got)
	}
	i.Step(now, ConfigApplied{Version: 7})
	if got := requestedFrom(configRequestInterval); len(got) != 0 {
		t.Errorf("%v were asked though the configuration is in force", got)
	}
}

// firstConfigWaitLimit is how long the first request of a caller waits for a configuration.
const firstConfigWaitLimit = 300 * time.Millisecond

// TestFirstConfigRequestedSoon starts an instance that the store sends no configuration.
// Its callers can't wait as long as for a change.
func TestFirstConfigRequestedSoon(t *testing.T) {
	i, now := oneServer(t, 500)
	p := Member{Instance: "n2", Incarnation: "01", Domain: "d"}
	i.Step(now, LinkUp{Peer: p})
	requests := 0
	for _, after := range []time.Duration{0, firstConfigWaitLimit} {
		now = now.Add(after)
		i.Step(now, PeerMessage{From: p, ReceivedAt: now, Message: Heartbeat{ConfigVersion: 7, SentAt: now, Echo: now}})
		for _, e := range i.Step(now, Tick{}) {
			if s, ok := e.(SendPeer); ok && s.Message == (ConfigRequest{}) {
				requests++
			}
		}
	}
	if requests != 1 {
		t.Errorf("%d requests, want 1", requests)
	}
}

func TestConfigSentOnRequest(t *testing.T) {
	i, now := oneServer(t, 500)
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d"}
	i.Step(now, LinkUp{Peer: other})
	sent := func(e Event) (n int) {
		for _, x := range i.Step(now, e) {
			if s, ok := x.(SendConfig); ok && s.To.sameIncarnation(other) {
				n++
			}
		}
		return n
	}
	if sent(ConfigApplied{Version: 4}) != 0 {
		t.Error("the configuration was sent without a request")
	}
	if sent(PeerMessage{From: other, ReceivedAt: now, Message: ConfigRequest{HaveVersion: 3}}) != 1 {
		t.Error("the configuration was not sent")
	}
	if sent(PeerMessage{From: other, ReceivedAt: now, Message: ConfigRequest{HaveVersion: 4}}) != 0 {
		t.Error("the configuration was sent to a peer that has it")
	}
}
