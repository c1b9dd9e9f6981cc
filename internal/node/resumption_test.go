package node

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// TestResumptionIsLoggedOnce follows a start: each phase counts when it is reached first,
// all servers count as owned, and there is one line, also if the instance stops early.
func TestResumptionIsLoggedOnce(t *testing.T) {
	for name, stopping := range map[string]bool{"running": false, "stopping": true} {
		logs := &logLines{}
		log, err := eventlog.New(logs, "info")
		if err != nil {
			t.Fatal(err)
		}
		start := fleet.Time(time.Hour)
		r := resumption{startedAt: start}
		at := func(ms int) fleet.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		owned := []fleet.Effect{fleet.LogEntry{Kind: fleet.LogServerOwned}}
		r.observe(fleet.ConfigApplied{}, nil, at(10))
		r.observe(fleet.ClaimReply{}, owned, at(30))
		r.observe(fleet.ClaimReply{}, owned, at(40))
		r.observe(fleet.PollReply{Outcome: fleet.PollUnanswered}, nil, at(45))
		r.observe(fleet.PollReply{Outcome: fleet.PollOK}, []fleet.Effect{fleet.StartRun{}}, at(50))
		r.observe(fleet.ConfigApplied{}, nil, at(60))
		r.log(log, false, at(100))
		if n := logs.count("service-resumed"); n != 0 {
			t.Errorf("%s: logged while phases may follow", name)
		}
		for range 2 {
			r.log(log, stopping, start.Add(resumptionTime))
		}
		if n := logs.count("service-resumed"); n != 1 {
			t.Fatalf("%s: %d lines, want 1", name, n)
		}
		var line map[string]any
		if err := json.Unmarshal(logs.buf.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		for field, want := range map[string]float64{"servers": 2, "config_ms": 10, "owned_ms": 30, "last_owned_ms": 40, "polled_ms": 50, "started_ms": 50} {
			if line[field] != want {
				t.Errorf("%s: %s is %v, want %v", name, field, line[field], want)
			}
		}
		if _, in := line["answered_ms"]; in {
			t.Errorf("%s: a phase that was not reached is listed", name)
		}
	}
}
