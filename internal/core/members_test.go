package core

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/policy"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// testStep is the time between two steps of a testCore.
const testStep = time.Millisecond

// testCore is a reducer in virtual time: instance a at testAddr in domain d,
// which has two shards.
type testCore struct {
	*Reducer
	now model.Time
}

func newTestCore(replica bool) *testCore {
	return &testCore{
		now: model.Time(time.Hour),
		Reducer: New(Options{
			Self:            shard.Member{Instance: "a", Incarnation: "a2"},
			Domain:          "d",
			Addr:            testAddr,
			ShardsPerDomain: 2,
			Replicate:       replica,
			SilenceBound:    time.Hour,
			Shard:           shard.DefaultOptions(),
			Policy:          policy.New("d"),
		}),
	}
}

// step handles events and returns the effects.
func (c *testCore) step(events ...Event) Effects {
	for _, e := range events {
		c.now = c.now.Add(testStep)
		c.Step(c.now, e)
	}
	return c.Ready()
}

func testInstance(name string) InstanceInfo {
	return InstanceInfo{
		Member: shard.Member{Instance: model.Instance(name), Incarnation: model.Incarnation(name + "1")},
		Domain: "d",
		Addr:   name + ":7000",
	}
}

// TestInstanceCount checks Effects.InstanceCount after each event; 0 means that
// the number is unchanged.
func TestInstanceCount(t *testing.T) {
	b, c, d := testInstance("b"), testInstance("c"), testInstance("d")
	up := func(i InstanceInfo) Event { return PeerUp{Addr: i.Addr, Member: i.Member, Domain: i.Domain} }
	steps := []struct {
		name string
		e    Event
		want int
	}{
		{"not listed yet", PeerHello{Info: b}, 0},
		{"listed", Instances{List: []InstanceInfo{b, c}}, 3},
		{"one answers", up(c), 0},
		{"one connects before it is listed", PeerHello{Info: d}, 4},
		{"it answers", up(d), 0},
		{"one times out", PeerTimeout{Addr: b.Addr}, 0},
		{"that one is no longer listed", Instances{List: []InstanceInfo{c, d}}, 3},
		{"nor are the connected ones", Instances{}, 0},
		{"one of those refuses connections", PeerRefused{Addr: d.Addr}, 0},
		{"the next list", Instances{}, 2},
	}
	r := newTestCore(true)
	for _, s := range steps {
		if got := r.step(s.e).InstanceCount; got != s.want {
			t.Fatalf("%s: %d instances, want %d", s.name, got, s.want)
		}
	}
}
