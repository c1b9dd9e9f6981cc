package joblog

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// line returns a log line of job j1 at a time in milliseconds.
func line(ms int, event, rest string) string {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	return fmt.Sprintf(`{"time":%q,"instance":"n1","domain":"d","name":%q,"job":"j1"%s}`, at.Format(time.RFC3339Nano), event, rest)
}

func read(t *testing.T, lines ...string) *Log {
	t.Helper()
	l := &Log{}
	if err := l.Read(strings.NewReader(strings.Join(lines, "\n"))); err != nil {
		t.Fatal(err)
	}
	l.Sort()
	return l
}

func TestCauses(t *testing.T) {
	late := line(900, "job-answered", `,"result":"completed","took_ms":900,"objective_ms":200`)
	notRun := line(900, "job-answered", `,"result":"not-run","reason":"overload"`)
	for name, c := range map[string]struct {
		lines []string
		want  Cause
	}{
		"owner lost before order": {[]string{line(1, "run-lost", ""), line(2, "job-taken-back", ""), late}, CauseOwnerLost},
		"order lost":              {[]string{line(1, "run-unanswered", ""), line(2, "run-lost", ""), late}, CauseLostOrder},
		"order only overdue":      {[]string{line(1, "run-unanswered", ""), late}, CauseSlowRun},
		"stalled":                 {[]string{line(1, "run-overdue", ""), late}, CauseStalledRun},
		"failed run":              {[]string{line(1, "run-failed", ""), late}, CauseFailedRun},
		"long wait":               {[]string{line(1, "job-queued", `,"reason":"waits","age_ms":60`), late}, CauseWaited},
		"short wait":              {[]string{line(1, "job-queued", `,"reason":"waits","age_ms":40`), late}, CauseSlowRun},
		"rejected at admission":   {[]string{line(1, "job-queued", `,"reason":"refused: overload"`), notRun}, "rejected: overload"},
		"rejected in the queue":   {[]string{line(1, "job-queued", `,"reason":"waits"`), line(2, "job-queued", `,"reason":"refused: waited"`), notRun}, "rejected: waited"},
		"rejected without owner":  {[]string{line(900, "job-answered", `,"result":"not-run","reason":"no-owner"`)}, "rejected: no-owner"},
		"caller gone":             {[]string{line(900, "job-answered", `,"result":"none","reason":"caller-gone"`)}, CauseCallerGone},
		"may have run":            {[]string{line(900, "job-answered", `,"result":"unknown","reason":"deadline"`)}, "unknown: deadline"},
	} {
		got := read(t, c.lines...).Causes(ByNothing, 0)
		if len(got.Rows) != 1 || got.Rows[0].Cause != c.want || got.Jobs != 1 || got.OnTime != 0 {
			t.Errorf("%s: %+v, want %s", name, got, c.want)
		}
	}
}

func TestGroups(t *testing.T) {
	l := read(t, line(2500, "job-answered", `,"route":"r","result":"completed","took_ms":900,"objective_ms":200`))
	for by, want := range map[Grouping]string{ByNothing: "", ByWindow: "03:04:06.0", ByRoute: "r", ByDomain: "d"} {
		if got := l.Causes(by, 2*time.Second).Rows[0].Group; got != want {
			t.Errorf("grouping %d: %q, want %q", by, got, want)
		}
	}
}

// TestReadInAnyOrder reads lines of two instances out of order, among others.
func TestReadInAnyOrder(t *testing.T) {
	l := read(t, line(5, "job-ended", ""), "panic: not a log line", "", line(1, "job-routed", ""), `{"name":"lines-dropped","time":"2026-01-02T03:04:05Z","count":7}`, `{"a":1}`)
	lines := l.OfJob("j1")
	if len(lines) != 2 || lines[0].Event != "job-routed" || l.Skipped != 2 || l.Dropped != 7 {
		t.Errorf("%+v, %d skipped, %d dropped", lines, l.Skipped, l.Dropped)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(line(1, "job-answered", `,"result":"completed","took_ms":-1e300`))
	f.Add(`{"time":"2026-01-02T03:04:05Z","name":"lines-dropped","count":-1}`)
	f.Fuzz(func(t *testing.T, text string) {
		l := &Log{}
		if err := l.Read(strings.NewReader(text)); err != nil {
			t.Skip()
		}
		l.Sort()
		l.Causes(ByWindow, time.Second)
	})
}
