package schedbench

import (
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/sched"
)

const goalSeeds = 3

// goal bounds a metric's median over the seeds.
type goal struct {
	metric  string
	atLeast float64
	atMost  float64
}

func findScenario(t *testing.T, name string) Scenario {
	for _, sc := range Scenarios {
		if sc.Name == name {
			return sc
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

type runKey struct {
	name string
	mode sched.Mode
}

var results = make(map[runKey]map[string]MetricSpread)

// measureScenario runs a scenario once for all tests.
func measureScenario(t *testing.T, name string, mode sched.Mode) map[string]MetricSpread {
	if m, ok := results[runKey{name, mode}]; ok {
		return m
	}
	m := make(map[string]MetricSpread)
	for _, s := range Measure(findScenario(t, name), mode, goalSeeds) {
		m[s.Name] = s
	}
	results[runKey{name, mode}] = m
	return m
}

func checkGoals(t *testing.T, name string, goals ...goal) {
	t.Helper()
	got := measureScenario(t, name, sched.Mode{})
	for _, g := range goals {
		s, ok := got[g.metric]
		if !ok {
			t.Fatalf("%s has no metric %q", name, g.metric)
		}
		if s.Median < g.atLeast || s.Median > g.atMost {
			t.Errorf("%s: %s is %.3f [%.3f, %.3f], want %.3f to %.3f", name, g.metric, s.Median, s.Min, s.Max, g.atLeast, g.atMost)
		}
	}
}

const (
	maxMessagesPerTask = 0.2  // between instances
	maxRejectionRate   = 0.01 // of starts, by full servers
)

func TestGoalResponseAt60(t *testing.T) {
	checkGoals(t, "load60", goal{"mean", 0, 1.05}, goal{"msg/task", 0, maxMessagesPerTask}, goal{"503", 0, maxRejectionRate})
}

func TestGoalResponseAt90(t *testing.T) {
	checkGoals(t, "load90", goal{"mean", 0, 1.3}, goal{"503", 0, maxRejectionRate})
}

func TestGoalMessagesAt90(t *testing.T) {
	checkGoals(t, "load90", goal{"msg/task", 0, maxMessagesPerTask})
}

func TestGoalShortBehindLong60(t *testing.T) {
	checkGoals(t, "short-behind-long60", goal{"ratio", 0, 1.5})
}

func TestGoalShortBehindLong75(t *testing.T) {
	checkGoals(t, "short-behind-long75", goal{"ratio", 0, 1.5})
}

func TestGoalShortBehindLong85(t *testing.T) {
	checkGoals(t, "short-behind-long85", goal{"ratio", 0, 1.5})
}

func TestGoalShortBehindSlowJobs(t *testing.T) {
	checkGoals(t, "slow-jobs75", goal{"ratio", 0, 1.5})
}

// compareWithFIFO requires a p99 of short tasks at least five times lower than
// that of FIFO, which also lends slots here.
func compareWithFIFO(t *testing.T, name string) {
	const better = 5
	ours := measureScenario(t, name, sched.Mode{})["short-p99"].Median
	fifo := measureScenario(t, name, findBaseline(t, "fifo"))["short-p99"].Median
	if fifo < better*ours {
		t.Errorf("%s: p99 of short tasks %.2f, with FIFO %.2f, want at least %d times better", name, ours, fifo, better)
	}
}

func TestGoalFIFOShortBehindLong(t *testing.T) { compareWithFIFO(t, "short-behind-long85") }

func TestGoalFIFOSlowJobs(t *testing.T) { compareWithFIFO(t, "slow-jobs75") }

func findBaseline(t *testing.T, name string) sched.Mode {
	for _, b := range Baselines {
		if b.Name == name {
			return b.Mode
		}
	}
	t.Fatalf("no baseline %q", name)
	return sched.Mode{}
}

func TestGoalPeak(t *testing.T) {
	checkGoals(t, "crest", goal{"good/capacity", 0.95, 2}, goal{"msg/task", 0, maxMessagesPerTask}, goal{"503", 0, maxRejectionRate})
}

func TestGoalRetryAfter(t *testing.T) {
	checkGoals(t, "crest-retry", goal{"retry-admitted", 0.9, 1})
}

func TestGoalShares(t *testing.T) {
	checkGoals(t, "backlog", goal{"share-error", 0, 0.05})
}

func TestGoalSharesAtPeak(t *testing.T) {
	checkGoals(t, "crest", goal{"share-error", 0, 0.05})
}

func TestGoalBrokenServer(t *testing.T) {
	checkGoals(t, "fails-everything", goal{"bad/peer", 0, 0.005}, goal{"slow*5/peer", 0.5, 2})
}

func TestGoalLeaving(t *testing.T) {
	checkGoals(t, "leaving", goal{"starts", 0, 0})
}

func TestGoalCancelWave(t *testing.T) {
	checkGoals(t, "cancel-wave", goal{"ratio", 0, 1.2}, goal{"starts-after", 0, 0})
}

func TestGoalLimits(t *testing.T) {
	checkGoals(t, "limit-concurrency", goal{"most/limit", 0, 1}, goal{"usable", 0.9, 1})
	checkGoals(t, "limit-rate", goal{"usable", 0.9, 1.1})
}
