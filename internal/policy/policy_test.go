package policy_test

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/policy"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

func TestPolicyFollowsTheTable(t *testing.T) {
	p := policy.New("seeb")
	if got := p.Row("a", "gate"); got != (sched.PolicyRow{Weight: 1}) {
		t.Fatalf("row of the empty table %+v", got)
	}
	rate, deadline := 5.0, int64(2000)
	rows := []table.Row{
		{Key: table.Key{Customer: "a", Domain: "seeb", Kind: "*"}, Values: table.Values{Rate: &rate, DeadlineMs: &deadline}, Version: 1},
		{Key: table.Key{Server: "b1"}, Values: table.Values{State: table.StateDrained}, Version: 1},
	}
	if !p.Set(table.NewSnapshot(1, rows)) || p.Set(table.NewSnapshot(1, nil)) {
		t.Fatal("Set must accept only a newer table")
	}
	if got := p.Row("a", ""); got.Rate != 5 || got.LimitName != p.Row("a", "gate").LimitName {
		t.Fatalf("row %+v", got)
	}
	if p.Deadline("a", "gate") != 2*time.Second || !p.Drained("b1") || p.Drained("b2") {
		t.Fatal("wrong deadline or drained state")
	}
	if n := testing.AllocsPerRun(100, func() { p.Row("a", "gate") }); n != 0 {
		t.Fatalf("Row makes %v allocations, want 0", n)
	}
}
