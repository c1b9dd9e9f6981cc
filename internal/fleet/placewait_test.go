package fleet

import (
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

// TestRoomWait guards against counting room that other tasks get first, or that no end
// makes.
func TestRoomWait(t *testing.T) {
	need := model.Resources{CPUMilli: 2000}
	rack := []serverRoom{
		{ends: []dueEnd{{90 * ms, need}, {30 * ms, need}}},
		{free: model.Resources{CPUMilli: 1000}, ends: []dueEnd{{10 * ms, model.Resources{CPUMilli: 500}}, {50 * ms, model.Resources{CPUMilli: 500}}}},
	}
	limited := []serverRoom{{free: model.Resources{CPUMilli: 8000}, limit: 1}}
	cases := []struct {
		name  string
		rack  []serverRoom
		n     int
		wait  time.Duration
		known bool
	}{
		{"first", rack, 1, 30 * ms, true},
		{"one task ahead, on the server where two ends make room", rack, 2, 50 * ms, true},
		{"two ahead", rack, 3, 90 * ms, true},
		{"more than the rack holds", rack, 4, 0, false},
		{"limit for each server", limited, 1, 0, true},
		{"beyond that limit", limited, 2, 0, false},
		{"no server", nil, 1, 0, false},
	}
	for _, c := range cases {
		if wait, known := roomWait(c.rack, need, c.n); wait != c.wait || known != c.known {
			t.Errorf("%s: %v, known %v", c.name, wait, known)
		}
	}
	if d := expectedRest(300*ms, 100*ms); d != 200*ms {
		t.Errorf("a run that is overdue by 200 ms is expected to last %v more", d)
	}
}
