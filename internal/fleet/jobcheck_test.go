package fleet

import (
	"math"
	"testing"
	"time"
)

// TestJobThatCannotBeScheduled checks that jobs which the rest of the package can't deal
// with are reported where they are decoded.
func TestJobThatCannotBeScheduled(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []StepSpec
		ok    bool
	}{
		{"none", nil, false},
		{"one", []StepSpec{{Count: 1}}, true},
		{"a chain", []StepSpec{{Count: 1, Estimate: time.Hour}, {Count: 3999, DependsOn: []int{0}}}, true},
		{"no tasks", []StepSpec{{}}, false},
		{"negative count", []StepSpec{{Count: -1}}, false},
		{"too many tasks", []StepSpec{{Count: math.MaxInt32}}, false},
		{"too many in all", []StepSpec{{Count: 4000}, {Count: 1}}, false},
		{"after itself", []StepSpec{{Count: 1, DependsOn: []int{0}}}, false},
		{"after a later one", []StepSpec{{Count: 1, DependsOn: []int{1}}, {Count: 1}}, false},
		{"after a negative one", []StepSpec{{Count: 1}, {Count: 1, DependsOn: []int{-1}}}, false},
		{"negative estimate", []StepSpec{{Count: 1, Estimate: -1}}, false},
		{"endless", []StepSpec{{Count: 1, Estimate: math.MaxInt64}}, false},
		{"endless in all", []StepSpec{{Count: 1, Estimate: 9999 * time.Hour}, {Count: 1, Estimate: 2 * time.Hour}}, false},
		{"negative limit", []StepSpec{{Count: 1, MaxPerServer: -1}}, false},
	} {
		j := JobSpec{Steps: c.steps}
		if err := j.Check(); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
