package node

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

func addRun(line *zerolog.Event, r fleet.RunID) {
	line.Int("step", r.Task.Step).Int("task", r.Task.Index).Uint32("attempt", r.Attempt)
}

// addRecord adds what is known of a run to a line about it. Times are written as ages
// at the line's time, as the reducer's clock is not the time of day.
func addRecord(line *zerolog.Event, r *fleet.RunRecord, at fleet.Time) {
	addAge := func(name string, t fleet.Time) {
		if t != 0 {
			line.Dur(name, at.Sub(t))
		}
	}
	addAge("since_sent_ms", r.SentAt)
	addAge("since_stop_ms", r.StopAt)
	addAge("since_over_ms", r.OverAt)
	addMs := func(name string, ms int64) {
		if ms != 0 {
			line.Int64(name, ms)
		}
	}
	addMs("boot_ms", r.BootMs)
	addMs("now_boot_ms", r.NowBootMs)
	addMs("lease_end_ms", r.LeaseEndMs)
	addMs("clock_ms", r.ClockMs)
	addMs("wait_ms", int64(r.Wait/time.Millisecond))
	if r.Fence != 0 {
		line.Uint64("fence", r.Fence)
	}
	if end := r.End.String(); end != "" {
		line.Str("end", end)
	}
}

// runRecords writes the runs of a job as an array.
type runRecords struct {
	runs []fleet.RunRecord
	at   fleet.Time
}

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l runRecords) MarshalZerologArray(a *zerolog.Array) {
	for i := range l.runs {
		r := &l.runs[i]
		row := zerolog.Dict()
		addRun(row, r.Run)
		if r.Server != "" {
			row.Str("server", string(r.Server))
		}
		if r.Peer != "" {
			row.Str("peer", string(r.Peer))
		}
		addRecord(row, r, l.at)
		if r.Conclusion != "" {
			row.Str("conclusion", string(r.Conclusion))
		}
		a.Dict(row)
	}
}
