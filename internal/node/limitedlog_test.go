package node

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
)

// TestRoutineLinesDropWarnings writes more lines of jobs than a second allows, then that a
// job was taken back.
func TestRoutineLinesDropWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, err := eventlog.New(&out, "info")
		if err != nil {
			t.Fatal(err)
		}
		l := newLimitedLog(log, metrics.NewFleet())
		for range 2 * maxLinesPerSecond {
			l.writeEntry(fleet.LogEntry{Kind: fleet.LogJobRouted, Job: "j1"})
		}
		l.writeEntry(fleet.LogEntry{Kind: fleet.LogJobTakenBack, Job: "j1"})
		if !strings.Contains(out.String(), eventlog.JobTakenBack.Name) {
			t.Error("the warning was dropped")
		}
	})
}

// TestRefusalsAreCounted writes more rejections than lines are allowed. Each is counted by
// route and rule; jobs that only wait are not.
func TestRefusalsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, err := eventlog.New(&out, "info")
		if err != nil {
			t.Fatal(err)
		}
		m := metrics.NewFleet()
		l := newLimitedLog(log, m)
		class := &fleet.JobClass{Route: "long", Priority: 2, Domain: "d3"}
		const n = 2 * maxLinesPerSecond
		for range n {
			l.writeEntry(fleet.LogEntry{Kind: fleet.LogJobQueued, Job: "j1", Reason: fleet.RefusedPrefix + "waited", Class: class})
			l.writeEntry(fleet.LogEntry{Kind: fleet.LogJobQueued, Job: "j2", Reason: "waits", Class: class})
		}
		page := httptest.NewRecorder()
		m.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
		want := fmt.Sprintf(`nutmegweir_fleet_refused_total{reason="waited",route="long"} %d`+"\n", n)
		if body := page.Body.String(); !strings.Contains(body, want) || strings.Count(body, "nutmegweir_fleet_refused_total{") != 1 {
			t.Errorf("want only %s", want)
		}
		if line, _, _ := strings.Cut(out.String(), "\n"); !strings.Contains(line, `"route":"long","priority":2,"caller_domain":"d3"`) {
			t.Errorf("line %s", line)
		}
	})
}
