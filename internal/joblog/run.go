package joblog

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// RunFields are the fields of a line about a run, and of the runs that job-ended lists.
// Ages count back from the line's time.
type RunFields struct {
	Step    int    `json:"step,omitempty"`
	Task    int    `json:"task"`
	Attempt int    `json:"attempt"`
	Server  string `json:"server"`
	Peer    string `json:"peer"` // owner that the task was offloaded to

	BootMs     int64            `json:"boot_ms,omitempty"`
	NowBootMs  int64            `json:"now_boot_ms,omitempty"`
	LeaseEndMs int64            `json:"lease_end_ms,omitempty"`
	ClockMs    int64            `json:"clock_ms,omitempty"`
	WaitMs     int64            `json:"wait_ms,omitempty"`
	Fence      uint64           `json:"fence,omitempty"`
	Conclusion fleet.Conclusion `json:"conclusion,omitempty"`
	End        string           `json:"end,omitempty"`

	SinceSentMs *float64 `json:"since_sent_ms,omitempty"`
	SinceStopMs *float64 `json:"since_stop_ms,omitempty"`
	SinceOverMs *float64 `json:"since_over_ms,omitempty"`
}

// Run is a run of a task, put together from the lines about it. Times are those of the
// instances' clocks, zero if unknown.
type Run struct {
	RunFields
	Instance string // that ordered it, empty if only another one has seen it
	SeenBy   string // later owner of the server that found it there
	SentAt   time.Time
	SeenAt   time.Time // when that one found it running
	ListedAt time.Time // when the server listed its end to that one
	StopAt   time.Time
	OverAt   time.Time // when Conclusion was reached
}

// sameStart is the most by which the times of a start differ between lines about it.
const sameStart = 100 * time.Millisecond

// Runs returns the runs of a job by task, in the order of their starts. Ordinary starts
// are known only from job-ended, which lists a limited number.
func (l *Log) Runs(job string) []Run {
	var runs []Run
	lines := l.OfJob(job)
	for _, x := range lines {
		if x.ofRun() && x.SinceSentMs != nil && !x.ofUnknownRun() {
			runs = merge(runs, &x, x.RunFields)
		}
		for _, r := range x.Runs {
			runs = merge(runs, &x, r)
		}
	}
	for _, x := range lines {
		if x.ofUnknownRun() {
			runs = mergeSeen(runs, &x)
		}
	}
	runs = joinOffloads(runs)
	slices.SortStableFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task), a.StartAt().Compare(b.StartAt()))
	})
	return runs
}

// ofRun reports whether a line is about one run.
func (x *Line) ofRun() bool { return x.Attempt != 0 }

// ofUnknownRun reports whether a line is about a run that its instance hasn't ordered.
func (x *Line) ofUnknownRun() bool {
	return x.ofRun() && x.Fence == 0 && x.Peer == "" && (x.Event == eventlog.ForeignRun.Name || x.Event == eventlog.RunEnded.Name)
}

// merge adds what a line of the ordering instance says about a run.
func merge(runs []Run, x *Line, f RunFields) []Run {
	n := Run{RunFields: f, Instance: x.Instance, SentAt: x.ago(f.SinceSentMs), StopAt: x.ago(f.SinceStopMs)}
	if f.Conclusion != "" {
		n.OverAt = x.ago(f.SinceOverMs)
	}
	i := slices.IndexFunc(runs, func(r Run) bool {
		return r.Instance == x.Instance && r.isStart(f) && r.SentAt.Sub(n.SentAt).Abs() < sameStart
	})
	if i < 0 {
		return append(runs, n)
	}
	runs[i].update(n)
	return runs
}

// mergeSeen adds what a line says about a run that its instance hasn't ordered, or has
// taken for over before: a list that was overtaken may still name it.
func mergeSeen(runs []Run, x *Line) []Run {
	if slices.ContainsFunc(runs, func(r Run) bool {
		return r.isStart(x.RunFields) && r.Instance == x.Instance && r.BootMs == x.BootMs
	}) {
		return runs
	}
	i := slices.IndexFunc(runs, func(r Run) bool {
		return r.isStart(x.RunFields) && (r.SeenBy == x.Instance || r.SeenBy == "" && r.Instance != x.Instance)
	})
	if i < 0 {
		runs = append(runs, Run{RunFields: x.RunFields})
		i = len(runs) - 1
	}
	r := &runs[i]
	r.SeenBy = x.Instance
	switch x.Conclusion {
	case "":
		r.SeenAt = x.Time
	case fleet.ConcludedListed:
		r.ListedAt = x.Time
		fallthrough
	default:
		r.update(Run{RunFields: x.RunFields, OverAt: x.Time, StopAt: x.ago(x.SinceStopMs)})
	}
	return runs
}

// isStart reports whether fields are about the same start of a task at a server.
func (r *Run) isStart(f RunFields) bool {
	return r.Step == f.Step && r.Task == f.Task && r.Attempt == f.Attempt && r.Server == f.Server && r.Peer == f.Peer
}

// update adds what another line says. The first conclusion stands: the task may have
// been started again on it.
func (r *Run) update(n Run) {
	if r.StopAt.IsZero() {
		r.StopAt = n.StopAt
	}
	if n.Conclusion == "" || r.Conclusion != "" {
		return
	}
	r.Conclusion, r.End, r.OverAt = n.Conclusion, n.End, n.OverAt
	r.NowBootMs, r.LeaseEndMs, r.ClockMs, r.WaitMs = n.NowBootMs, n.LeaseEndMs, n.ClockMs, n.WaitMs
}

// joinOffloads drops the runs of offloaded tasks whose owner's own lines tell more, and
// keeps for these what the owner that offloaded them heard of the end.
func joinOffloads(runs []Run) []Run {
	return slices.DeleteFunc(runs, func(o Run) bool {
		if o.Peer == "" {
			return false
		}
		i := slices.IndexFunc(runs, func(r Run) bool { return r.isChoiceOf(&o) && r.Attempt == o.Attempt })
		if i >= 0 {
			runs[i].update(o)
		}
		return i >= 0
	})
}

// isChoiceOf reports whether the run is one of those of an offloaded task.
func (r *Run) isChoiceOf(o *Run) bool {
	return r.Server != "" && r.Instance == o.Peer && r.Step == o.Step && r.Task == o.Task &&
		r.SentAt.After(o.SentAt.Add(-sameStart)) && (o.OverAt.IsZero() || r.SentAt.Before(o.OverAt))
}

// ago returns the time of an age, zero for none.
func (x *Line) ago(ms *float64) time.Time {
	if ms == nil {
		return time.Time{}
	}
	return x.Time.Add(-time.Duration(*ms * float64(time.Millisecond)))
}

// StartAt returns when the run was sent or, if that isn't known, what is known to be
// after that.
func (r *Run) StartAt() time.Time {
	for _, t := range []time.Time{r.SentAt, r.SeenAt} {
		if !t.IsZero() {
			return t
		}
	}
	return r.OverAt
}

// EndAt returns the time from which the instances take the run for over, zero if none
// does.
func (r *Run) EndAt() time.Time {
	if r.OverAt.IsZero() {
		return time.Time{}
	}
	return r.OverAt.Add(time.Duration(r.WaitMs) * time.Millisecond)
}

// hadNoEffect reports whether the start is certain not to have begun a run.
func (r *Run) hadNoEffect() bool {
	switch r.Conclusion {
	case fleet.ConcludedNotSent, fleet.ConcludedRejected, fleet.ConcludedMalformed:
		return true
	}
	return false
}

// endIsReported reports whether a server or an owner has reported the end.
func (r *Run) endIsReported() bool {
	return r.Conclusion == fleet.ConcludedListed || r.Conclusion == fleet.ConcludedOutcome
}

// listedBefore reports whether the server's next owner had the end by then.
func (r *Run) listedBefore(t time.Time) bool { return !r.ListedAt.IsZero() && r.ListedAt.Before(t) }
