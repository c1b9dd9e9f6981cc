package joblog

import (
	"cmp"
	"slices"
	"time"
)

// Grouping divides the jobs of a table of causes.
type Grouping int

// Groupings.
const (
	ByNothing Grouping = iota
	ByWindow           // of the time at which the job was received
	ByRoute
	ByDomain // of the instance that received it
)

// Row counts the jobs of a group that were not on time for one cause.
type Row struct {
	Group string `json:"group,omitempty"`
	Cause Cause  `json:"cause"`
	Jobs  int    `json:"jobs"`
	// KnownRoomMilli is the mean of Job.KnownRoomMilli.
	KnownRoomMilli uint64 `json:"known_room_milli"`
}

// Causes is a table of the jobs that were not on time.
type Causes struct {
	Jobs    int   `json:"jobs"` // answered
	OnTime  int   `json:"on_time"`
	Rows    []Row `json:"rows"`    // by group, the most frequent cause first
	Skipped int   `json:"skipped"` // lines, see Log
	Dropped int   `json:"dropped"` // lines, see Log
}

// Causes tells why jobs were not on time.
func (l *Log) Causes(by Grouping, window time.Duration) Causes {
	t := Causes{Skipped: l.Skipped, Dropped: l.Dropped}
	rows := map[[2]string]*Row{}
	for _, j := range l.Jobs() {
		t.Jobs++
		if j.OnTime() {
			t.OnTime++
			continue
		}
		group, cause := j.group(by, window), j.Cause()
		key := [2]string{group, string(cause)}
		if rows[key] == nil {
			rows[key] = &Row{Group: group, Cause: cause}
		}
		rows[key].Jobs++
		rows[key].KnownRoomMilli += j.KnownRoomMilli()
	}
	for _, r := range rows {
		r.KnownRoomMilli /= uint64(r.Jobs)
		t.Rows = append(t.Rows, *r)
	}
	slices.SortFunc(t.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Cause, b.Cause))
	})
	return t
}

func (j *Job) group(by Grouping, window time.Duration) string {
	switch by {
	case ByWindow:
		return j.ReceivedAt().UTC().Truncate(window).Format("15:04:05.0")
	case ByRoute:
		return j.Answer.Route
	case ByDomain:
		return j.Answer.Domain
	}
	return ""
}
