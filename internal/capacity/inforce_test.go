package capacity

import (
	"strings"
	"testing"
	"time"
)

func TestInForceDelayFromLogs(t *testing.T) {
	begin := time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	first := `{"time":"2026-12-04T04:00:00.010Z","event":7001,"version":1}
not an event
{"time":"2026-12-04T04:00:00.015Z","event":7002,"version":9}
{"time":"2026-12-04T04:00:00.030Z","event":7001,"version":3}
`
	second := `{"time":"2026-12-04T04:00:00.025Z","event":7001,"version":2}
{"time":"2026-12-04T04:00:00.040Z","event":7001,"version":3}
`
	var logs [][]AppliedVersion
	for _, text := range []string{first, second} {
		log, err := ReadApplied(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		logs = append(logs, log)
	}
	edits := []SentEdit{{at(0), 1}, {at(10), 2}, {at(20), 3}, {at(30), 4}}
	got := InForceDelay("all", edits, logs)
	want := InForceResult{Load: "all", Instances: 2, Edits: 4, Missing: 1, MedianMs: 20, LongestMs: 25}
	if got != want {
		t.Fatalf("%+v, want %+v", got, want)
	}
}
