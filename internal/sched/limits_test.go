package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const limitedTasks = 12

func newLimitCluster(t *testing.T) *testCluster {
	rows := map[model.Customer]PolicyRow{"c": {Weight: 1, Concurrency: limitedTasks, Rate: 0}}
	n := newTestCluster(t, fixedPolicy{rows}, "a1", "a2", "b1", "b2")
	n.setServers(append(testServers("a", 8, 8), testServers("b", 8, 8)...))
	n.advance(tableHandoverTimeout + time.Second)
	return n
}

// limitUsage is the number of the limited customer's tasks that all instances
// together may run.
func (n *testCluster) limitUsage() int {
	sum := 0
	for _, name := range n.names {
		if s := n.schedulers[name]; s != nil {
			for _, l := range s.limits.list {
				sum += max(l.concurrencyShare, l.running)
			}
		}
	}
	return sum
}

func TestLimitFollowsDemand(t *testing.T) {
	n := newLimitCluster(t)
	for i, name := range []model.Instance{"a1", "b2", "a2"} {
		h := model.JobHandle(i + 1)
		n.schedulers[name].Submit(n.now, testJob(int(h), 100))
		n.deliverAll()
		n.advance(time.Second)
		if got, want := len(n.starts[name]), limitedTasks*9/10; got < want {
			t.Fatalf("%s runs %d tasks one second after its submission, want at least %d of %d", name, got, want, limitedTasks)
		}
		n.schedulers[name].Cancel(n.now, h)
		n.finishStarts(name)
	}
}

func TestLimitHoldsUnderMessageFaults(t *testing.T) {
	cases := []struct {
		name         string
		lose, double float64
	}{
		{"none", 0, 0},
		{"a third lost", 0.33, 0},
		{"a third duplicated", 0, 0.33},
		{"both", 0.25, 0.25},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				rng := rand.New(rand.NewPCG(seed, 1))
				n := newLimitCluster(t)
				n.copies = func(model.Instance, OutboundMessage) int {
					switch x := rng.Float64(); {
					case x < c.lose:
						return 0
					case x < c.lose+c.double:
						return 2
					}
					return 1
				}
				for h := 1; h < 60; h++ {
					name := n.names[rng.IntN(len(n.names))]
					n.schedulers[name].Submit(n.now, testJob(h, 1+rng.IntN(8)))
					n.deliverAll()
					n.advance(60 * time.Millisecond)
					if got := n.limitUsage(); got > limitedTasks {
						t.Fatalf("seed %d, job %d: shares add up to %d of %d", seed, h, got, limitedTasks)
					}
					n.finishStarts(n.names[rng.IntN(len(n.names))])
				}
			}
		})
	}
}

func TestLimitDuringPartition(t *testing.T) {
	n := newLimitCluster(t)
	n.schedulers["a1"].Submit(n.now, testJob(1, 4))
	n.schedulers["b1"].Submit(n.now, testJob(2, 4))
	n.deliverAll()
	n.advance(time.Second)
	n.copies = func(from model.Instance, x OutboundMessage) int {
		if domainOf(from) != domainOf(x.To) {
			return 0
		}
		return 1
	}
	for _, name := range n.names {
		var list []Peer
		for _, p := range n.names {
			if p != name && domainOf(p) == domainOf(name) {
				list = append(list, Peer{ID: p, Domain: domainOf(p)})
			}
		}
		n.schedulers[name].SetPeers(n.now, list)
	}
	n.schedulers["a2"].Submit(n.now, testJob(3, 100))
	n.schedulers["b2"].Submit(n.now, testJob(4, 100))
	n.advance(20 * time.Second)
	const maxUsage = 2 * limitedTasks // documented bound: the limit for each partition
	if got := n.limitUsage(); got > maxUsage {
		t.Fatalf("shares add up to %d during the partition, want at most %d", got, maxUsage)
	}
	n.copies = func(model.Instance, OutboundMessage) int { return 1 }
	n.setPeers(n.names...)
	for h := 10; h < 60; h++ {
		n.advance(100 * time.Millisecond)
		for _, name := range n.names {
			n.finishStarts(name)
		}
	}
	if got := n.limitUsage(); got > limitedTasks {
		t.Fatalf("shares add up to %d after the partition healed, want at most %d", got, limitedTasks)
	}
}

func TestRateLimit(t *testing.T) {
	const rate = 50
	rows := map[model.Customer]PolicyRow{"c": {Weight: 1, Rate: rate}}
	s := New(Options{Self: "a1", Domain: "a", Seed: 1, Policy: fixedPolicy{rows}})
	s.SetServers(testStart, testServers("a", 50, 8))
	s.Submit(testStart, testJob(1, 1000))
	now, starts := testStart, 0
	for now.Sub(testStart) < 4*time.Second {
		now = now.Add(TickInterval)
		s.Tick(now)
		starts += len(s.Ready().Starts)
	}
	if want := 4 * rate; starts > want+rate/10 || starts < want*9/10 {
		t.Fatalf("%d starts in 4 s at %d a second", starts, rate)
	}
}

func TestSameInputsGiveSameOutputs(t *testing.T) {
	trace := func() string {
		n := clusterWithAllSlotsBorrowed(t)
		out := ""
		for range 5 {
			n.finishStarts("a1")
			n.advance(100 * time.Millisecond)
			out += fmt.Sprint(n.starts)
		}
		return out
	}
	if first := trace(); first != trace() {
		t.Fatal("two runs with the same inputs differ")
	}
}
