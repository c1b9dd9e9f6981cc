package core

import (
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

const (
	testAddr  = "10.0.0.1:7000"
	testStart = model.Time(1000)
)

func testMember(incarnation string) shard.Member {
	return shard.Member{Instance: "b", Incarnation: model.Incarnation(incarnation)}
}

// TestLiveness checks what each kind of evidence proves about two processes:
// b1, learned at time 1000, and b2, learned at 2000.
func TestLiveness(t *testing.T) {
	b1, b2 := testMember("b1"), testMember("b2")
	cases := []struct {
		name   string
		act    func(p *peers)
		b1, b2 shard.Liveness
	}{
		{"no evidence", func(*peers) {}, shard.Alive, shard.Alive},
		{"refused before both were learned", func(p *peers) {
			p.handleRefused(PeerRefused{Addr: testAddr, DialedAt: 500})
		}, shard.Alive, shard.Alive},
		{"refused after b1 was learned", func(p *peers) {
			p.handleRefused(PeerRefused{Addr: testAddr, DialedAt: 1500})
		}, shard.Dead, shard.Alive},
		{"refused after both were learned", func(p *peers) {
			p.handleRefused(PeerRefused{Addr: testAddr, DialedAt: 2500})
		}, shard.Dead, shard.Dead},
		{"refused at another address", func(p *peers) {
			p.handleRefused(PeerRefused{Addr: "10.0.0.2:7000", DialedAt: 2500})
		}, shard.Alive, shard.Alive},
		{"b2 answers", func(p *peers) {
			p.handleUp(PeerUp{Addr: testAddr, Member: b2, DialedAt: 2500})
		}, shard.Dead, shard.Alive},
		{"late answer of an earlier attempt", func(p *peers) {
			p.handleUp(PeerUp{Addr: testAddr, Member: b1, DialedAt: 1500})
		}, shard.Alive, shard.Alive},
		{"timed out", func(p *peers) {
			p.handleTimeout(PeerTimeout{Addr: testAddr, DialedAt: 2500}, 0)
		}, shard.Silent, shard.Silent},
		{"timed out, then answered", func(p *peers) {
			p.handleTimeout(PeerTimeout{Addr: testAddr, DialedAt: 2500}, 0)
			p.handleUp(PeerUp{Addr: testAddr, Member: b1, DialedAt: 2600})
		}, shard.Alive, shard.Dead},
		{"timed out before its confirmation number was learned", func(p *peers) {
			p.handleTimeout(PeerTimeout{Addr: testAddr, DialedAt: 2500}, 0)
			p.now = 3000
			p.learnProcess(b1, testAddr, 1)
		}, shard.Alive, shard.Silent},
		{"timed out before a new view named it", func(p *peers) {
			p.handleTimeout(PeerTimeout{Addr: testAddr, DialedAt: 2500}, 0)
			p.now = 3000
			p.resetSilence(b1)
		}, shard.Alive, shard.Silent},
		{"timed out during a pause of this instance", func(p *peers) {
			p.handleTimeout(PeerTimeout{Addr: testAddr, DialedAt: 2500}, 2700)
		}, shard.Alive, shard.Alive},
		{"timed out, then a pause of this instance", func(p *peers) {
			p.handleTimeout(PeerTimeout{Addr: testAddr, DialedAt: 2500}, 0)
			p.resetAllSilence(2600)
		}, shard.Alive, shard.Alive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPeers(shard.Member{Instance: "a", Incarnation: "a1"}, "10.0.0.9:7000")
			p.now = testStart
			p.learn(InstanceInfo{Member: b1, Addr: testAddr})
			p.now = 2 * testStart
			p.learn(InstanceInfo{Member: b2, Addr: testAddr})
			c.act(p)
			if got := p.Liveness(b1); got != c.b1 {
				t.Errorf("b1 is %d, want %d", got, c.b1)
			}
			if got := p.Liveness(b2); got != c.b2 {
				t.Errorf("b2 is %d, want %d", got, c.b2)
			}
		})
	}
}

func TestEarlierProcessAtOwnAddressIsDead(t *testing.T) {
	p := newPeers(shard.Member{Instance: "b", Incarnation: "b2"}, testAddr)
	p.learn(InstanceInfo{Member: testMember("b1"), Addr: testAddr})
	if p.Liveness(testMember("b1")) != shard.Dead || len(p.dialList()) != 0 {
		t.Fatal("an earlier process at this instance's own address is not dead")
	}
}

func TestDownSince(t *testing.T) {
	b := testMember("b1")
	p := newPeers(shard.Member{Instance: "a", Incarnation: "a1"}, "10.0.0.9:7000")
	p.now = testStart
	p.learn(InstanceInfo{Member: b, Addr: testAddr})
	if got := p.downSince(b); got != 0 {
		t.Fatalf("down since %d before the first attempt", got)
	}
	p.handleUp(PeerUp{Addr: testAddr, Member: b, DialedAt: 1100})
	p.now = 2000
	p.links[testAddr].markDown(p.now)
	p.now = 3000
	p.handleTimeout(PeerTimeout{Addr: testAddr, DialedAt: 2100}, 0)
	if got := p.downSince(b); got != 2000 {
		t.Fatalf("down since %d, want 2000", got)
	}
	p.handleUp(PeerUp{Addr: testAddr, Member: b, DialedAt: 3100})
	if got := p.downSince(b); got != 0 {
		t.Fatalf("down since %d after an answer", got)
	}
}
