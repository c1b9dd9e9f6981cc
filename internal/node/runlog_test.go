package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/joblog"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
)

// TestRunsAreReadFromLines checks that what an instance writes of a run is what the
// reader of logs finds, in a line of its own and in the list of a job.
func TestRunsAreReadFromLines(t *testing.T) {
	format := zerolog.TimeFieldFormat
	zerolog.TimeFieldFormat = time.RFC3339Nano
	t.Cleanup(func() { zerolog.TimeFieldFormat = format })
	var out bytes.Buffer
	base, err := eventlog.New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	l := newLimitedLog(base.ForInstance("n1", "d", "01"), metrics.NewFleet())
	at := fleet.Time(time.Minute)
	lost := fleet.RunRecord{
		Run: fleet.RunID{Task: fleet.TaskID{Job: "j1", Step: 1, Index: 2}, Attempt: 3}, Server: "s1", BootMs: 500, Fence: 72,
		SentAt: at.Add(-80 * time.Millisecond), OverAt: at, Conclusion: fleet.ConcludedExpired, LeaseEndMs: 900, ClockMs: 910,
	}
	later := lost
	later.Run.Attempt, later.SentAt, later.StopAt = 4, at, at
	later.OverAt, later.Conclusion, later.LeaseEndMs, later.ClockMs = 0, "", 0, 0
	l.writeEntry(fleet.LogEntry{Kind: fleet.LogRunLost, Server: "s1", Run: lost.Run, Record: &lost, At: at})
	l.writeEntry(fleet.LogEntry{Kind: fleet.LogJobEnded, Job: "j1", Runs: []fleet.RunRecord{lost, later}, At: at})

	log := &joblog.Log{}
	if err := log.Read(&out); err != nil {
		t.Fatal(err)
	}
	runs := log.Runs("j1")
	if len(runs) != 2 || log.Skipped != 0 {
		t.Fatalf("%+v, %d lines skipped", runs, log.Skipped)
	}
	r := runs[0]
	if r.Step != 1 || r.Task != 2 || r.Attempt != 3 || r.Instance != "n1" || r.Server != "s1" || r.BootMs != 500 || r.Fence != 72 ||
		r.OverAt.Sub(r.SentAt) != 80*time.Millisecond || r.Conclusion != fleet.ConcludedExpired || r.LeaseEndMs != 900 || r.ClockMs != 910 {
		t.Errorf("%+v", r)
	}
	if r := runs[1]; r.Attempt != 4 || r.SentAt.IsZero() || !r.StopAt.Equal(r.SentAt) || !r.OverAt.IsZero() {
		t.Errorf("%+v", r)
	}
}

// TestCutLineKeepsConclusion checks that the start of a line tells how a run was found to be
// over, and for which job: readers cut long lines.
func TestCutLineKeepsConclusion(t *testing.T) {
	var out bytes.Buffer
	base, err := eventlog.New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	l := newLimitedLog(base.ForInstance("edge-muttrah-1", "muttrah", "18ef0969af2b0051"), metrics.NewFleet())
	run := fleet.RunID{Task: fleet.TaskID{Job: "c619a0b1c2d3e4f5"}, Attempt: 1}
	l.writeEntry(fleet.LogEntry{Kind: fleet.LogRunLost, Server: "i-265e6041", Run: run, Record: &fleet.RunRecord{Run: run, Conclusion: fleet.ConcludedExpired}})
	const cut = 200
	head := out.String()[:min(cut, out.Len())]
	for _, want := range []string{eventlog.RunLost.Name, string(fleet.ConcludedExpired), run.Task.Job} {
		if !strings.Contains(head, want) {
			t.Errorf("the first %d bytes lack %q: %s", cut, want, head)
		}
	}
}
