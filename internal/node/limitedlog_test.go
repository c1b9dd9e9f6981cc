package node

import (
	"bytes"
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
