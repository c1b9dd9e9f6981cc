package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const ms = time.Millisecond

// TestPlaceChoice guards against waits that make a job late, against waits that cost more
// than a far run, and against far runs that are late where a wait isn't.
func TestPlaceChoice(t *testing.T) {
	cases := []struct {
		name  string
		c     placeChoice
		waits bool
	}{
		{"room soon", placeChoice{nearWait: 20 * ms, nearRun: 60 * ms, farRun: 120 * ms, slack: 156 * ms}, true},
		{"room later than a far run takes", placeChoice{nearWait: 70 * ms, nearRun: 60 * ms, farRun: 120 * ms, slack: 156 * ms}, false},
		{"the same while others wait for capacity", placeChoice{nearWait: 70 * ms, nearRun: 60 * ms, farRun: 120 * ms, slack: 156 * ms, price: 1}, true},
		{"others wait, but the wait makes it late", placeChoice{nearWait: 100 * ms, nearRun: 60 * ms, farRun: 120 * ms, slack: 156 * ms, price: 1}, false},
		{"a far run is late from its start", placeChoice{nearWait: 500 * ms, nearRun: 900 * ms, farRun: 1800 * ms, slack: 1500 * ms}, true},
		{"both are late, near ends first", placeChoice{nearWait: 700 * ms, nearRun: 900 * ms, farRun: 1800 * ms, slack: 1500 * ms}, true},
		{"both are late, far ends first", placeChoice{nearWait: 1000 * ms, nearRun: 900 * ms, farRun: 1800 * ms, slack: 1500 * ms}, false},
	}
	for _, c := range cases {
		if c.c.waits() != c.waits {
			t.Errorf("%s: waits %v", c.name, !c.waits)
		}
	}
}

// TestRackOpenings guards against counting room twice, or room that no end makes.
func TestRackOpenings(t *testing.T) {
	need := model.Resources{CPUMilli: 2000}
	cases := []struct {
		name string
		rack []serverRoom
		want []time.Duration
	}{
		{"ends of one server, and two that make room together", []serverRoom{
			{ends: []dueEnd{{90 * ms, need}, {30 * ms, need}}},
			{free: model.Resources{CPUMilli: 1000}, ends: []dueEnd{{10 * ms, model.Resources{CPUMilli: 500}}, {50 * ms, model.Resources{CPUMilli: 500}}}},
		}, []time.Duration{30 * ms, 50 * ms, 90 * ms}},
		{"limit for each server", []serverRoom{{free: model.Resources{CPUMilli: 8000}, limit: 1}}, []time.Duration{0}},
		{"no server", nil, nil},
	}
	for _, c := range cases {
		if got := rackOpenings(c.rack, need); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if d := expectedRest(300*ms, 100*ms); d != 200*ms {
		t.Errorf("a run that is overdue by 200 ms is expected to last %v more", d)
	}
}
