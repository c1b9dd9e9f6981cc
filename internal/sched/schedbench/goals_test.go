package schedbench

import (
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/sched"
)

const goalSeeds = 3

// goal bounds a figure's median over the seeds.
type goal struct {
	figure string
	least  float64
	most   float64
}

func scenario(t *testing.T, name string) Scenario {
	for _, sc := range Scenarios {
		if sc.Name == name {
			return sc
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

type measured struct {
	name string
	mode sched.Mode
}

var known = make(map[measured]map[string]MetricSpread)

// figures runs a scenario, once for all tests.
func figures(t *testing.T, name string, mode sched.Mode) map[string]MetricSpread {
	if m, ok := known[measured{name, mode}]; ok {
		return m
	}
	m := make(map[string]MetricSpread)
	for _, s := range Measure(scenario(t, name), mode, goalSeeds) {
		m[s.Name] = s
	}
	known[measured{name, mode}] = m
	return m
}

func check(t *testing.T, name string, goals ...goal) {
	t.Helper()
	got := figures(t, name, sched.Mode{})
	for _, g := range goals {
		s, ok := got[g.figure]
		if !ok {
			t.Fatalf("%s has no figure %q", name, g.figure)
		}
		if s.Median < g.least || s.Median > g.most {
			t.Errorf("%s: %s is %.3f [%.3f, %.3f], want %.3f to %.3f", name, g.figure, s.Median, s.Min, s.Max, g.least, g.most)
		}
	}
}

const (
	mostMessages = 0.2  // between instances, a task
	mostRefused  = 0.01 // part of the starts that a full server refuses
)

func TestGoalResponseAt60(t *testing.T) {
	check(t, "load60", goal{"mean", 0, 1.05}, goal{"msg/task", 0, mostMessages}, goal{"503", 0, mostRefused})
}

func TestGoalResponseAt90(t *testing.T) {
	check(t, "load90", goal{"mean", 0, 1.3}, goal{"503", 0, mostRefused})
}

func TestGoalMessagesAt90(t *testing.T) {
	check(t, "load90", goal{"msg/task", 0, mostMessages})
}

func TestGoalShortBehindLong60(t *testing.T) {
	check(t, "short-behind-long60", goal{"ratio", 0, 1.5})
}

func TestGoalShortBehindLong75(t *testing.T) {
	check(t, "short-behind-long75", goal{"ratio", 0, 1.5})
}

func TestGoalShortBehindLong85(t *testing.T) {
	check(t, "short-behind-long85", goal{"ratio", 0, 1.5})
}

func TestGoalShortBehindSlowJobs(t *testing.T) {
	check(t, "slow-jobs75", goal{"ratio", 0, 1.5})
}

// againstFIFO compares with FIFO that lends slots as the chosen way does.
func againstFIFO(t *testing.T, name string) {
	const better = 5
	ours := figures(t, name, sched.Mode{})["short-p99"].Median
	fifo := figures(t, name, baseline(t, "fifo"))["short-p99"].Median
	if fifo < better*ours {
		t.Errorf("%s: p99 of short work %.2f, with FIFO %.2f, want at least %d times better", name, ours, fifo, better)
	}
}

func TestGoalFIFOShortBehindLong(t *testing.T) { againstFIFO(t, "short-behind-long85") }

func TestGoalFIFOSlowJobs(t *testing.T) { againstFIFO(t, "slow-jobs75") }

func baseline(t *testing.T, name string) sched.Mode {
	for _, b := range Baselines {
		if b.Name == name {
			return b.Mode
		}
	}
	t.Fatalf("no baseline %q", name)
	return sched.Mode{}
}

func TestGoalCrest(t *testing.T) {
	check(t, "crest", goal{"good/capacity", 0.95, 2}, goal{"msg/task", 0, mostMessages}, goal{"503", 0, mostRefused})
}

func TestGoalRetryAfter(t *testing.T) {
	check(t, "crest-retry", goal{"retry-admitted", 0.9, 1})
}

func TestGoalShares(t *testing.T) {
	check(t, "backlog", goal{"share-error", 0, 0.05})
}

func TestGoalSharesAtCrest(t *testing.T) {
	check(t, "crest", goal{"share-error", 0, 0.05})
}

func TestGoalBrokenServer(t *testing.T) {
	check(t, "fails-everything", goal{"bad/peer", 0, 0.005}, goal{"slow*5/peer", 0.5, 2})
}

func TestGoalLeaving(t *testing.T) {
	check(t, "leaving", goal{"starts", 0, 0})
}

func TestGoalCancelWave(t *testing.T) {
	check(t, "cancel-wave", goal{"ratio", 0, 1.2}, goal{"starts-after", 0, 0})
}

func TestGoalLimits(t *testing.T) {
	check(t, "limit-concurrency", goal{"most/limit", 0, 1}, goal{"usable", 0.9, 1})
	check(t, "limit-rate", goal{"usable", 0.9, 1.1})
}
