// Package joblog reads the logs of many instances and tells what happened to jobs: the
// lines and runs of one job over all instances, which runs of one task may have
// overlapped, and why jobs were not answered on time.
package joblog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
)

// Line is a log line. Fields that its event doesn't have are zero.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Domain   string    `json:"domain"`
	Event    string    `json:"name"`
	Job      string    `json:"job"`
	Route    string    `json:"route"`
	Result   string    `json:"result"`
	Reason   string    `json:"reason"`
	Count    int       `json:"count"`
	Value    uint64    `json:"value"`
	RunFields
	Runs []RunFields `json:"runs,omitempty"` // of the job

	AgeMs       float64 `json:"age_ms"`
	TookMs      float64 `json:"took_ms"`
	ObjectiveMs float64 `json:"objective_ms"`
}

// Log holds the lines of one or more instances.
type Log struct {
	Lines   []Line // in the order of time, once sorted
	Skipped int    // lines that are no log lines of an instance
	Dropped int    // lines that the instances' rate limits have dropped
}

// maxLineBytes bounds a log line; longer ones end the reading with an error.
const maxLineBytes = 1 << 20

// Read adds the lines of a stream. Other lines are counted and skipped.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		text := bytes.TrimSpace(s.Bytes())
		if len(text) == 0 {
			continue
		}
		var x Line
		if json.Unmarshal(text, &x) != nil || x.Event == "" || x.Time.IsZero() {
			l.Skipped++
			continue
		}
		if x.Event == eventlog.LinesDropped.Name {
			l.Dropped += x.Count
		}
		l.Lines = append(l.Lines, x)
	}
	return errors.Wrap(s.Err(), "read log lines")
}

// Sort orders the lines by time. Clocks of instances differ, so that lines of two
// instances may be off by as much.
func (l *Log) Sort() {
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// OfJob returns the lines of a job.
func (l *Log) OfJob(id string) []Line {
	return slices.Collect(func(yield func(Line) bool) {
		for _, x := range l.Lines {
			if x.Job == id && !yield(x) {
				return
			}
		}
	})
}

// Job is the history of a job that was answered.
type Job struct {
	ID     string
	Answer Line
	lines  []Line
}

// Jobs returns the answered jobs in the order of their answers.
func (l *Log) Jobs() []Job {
	byID := map[string][]Line{}
	var out []Job
	for _, x := range l.Lines {
		if x.Job == "" {
			continue
		}
		byID[x.Job] = append(byID[x.Job], x)
		if x.Event == eventlog.JobAnswered.Name {
			out = append(out, Job{ID: x.Job, Answer: x})
		}
	}
	for i := range out {
		out[i].lines = byID[out[i].ID]
	}
	return out
}

// OnTime reports whether the job completed within its objective.
func (j *Job) OnTime() bool {
	return j.Answer.Result == resultCompleted && j.Answer.TookMs <= j.Answer.ObjectiveMs
}

// ReceivedAt returns when the job was received, by the clock of the instance that
// answered it.
func (j *Job) ReceivedAt() time.Time {
	return j.Answer.Time.Add(-time.Duration(j.Answer.TookMs * float64(time.Millisecond)))
}

// Results of job-answered.
const (
	resultCompleted = "completed"
	resultNotRun    = "not-run"
	resultNone      = "none"
)

// Cause is the reason for a job not being answered on time.
type Cause string

// Causes. Rejections and results other than completed also carry the reason of the
// answer, as in "rejected: overload".
const (
	CauseCallerGone Cause = "caller gone"
	CauseOwnerLost  Cause = "late: owner lost"
	CauseLostOrder  Cause = "late: order lost"
	CauseStalledRun Cause = "late: run stalled"
	CauseFailedRun  Cause = "late: run failed"
	CauseWaited     Cause = "late: waited"
	CauseSlowRun    Cause = "late: slow run" // nothing else is known
)

// waitedShare is the share of its objective from which an expected wait counts as the
// cause of a late job.
const waitedShare = 0.25

// Cause returns why a job was not on time.
func (j *Job) Cause() Cause {
	a := j.Answer
	switch a.Result {
	case resultCompleted:
		return j.lateCause()
	case resultNone:
		return CauseCallerGone
	case resultNotRun:
		return Cause("rejected: " + j.rejection())
	}
	return Cause(a.Result + ": " + a.Reason)
}

// rejection returns the reason for a rejection: that of the owner's queue, if it tells
// more than the answer.
func (j *Job) rejection() string {
	for _, x := range slices.Backward(j.lines) {
		if why, ok := strings.CutPrefix(x.Reason, "refused: "); ok && x.Event == eventlog.JobQueued.Name {
			return why
		}
	}
	return j.Answer.Reason
}

func (j *Job) lateCause() Cause {
	switch {
	case j.has(eventlog.JobTakenBack):
		return CauseOwnerLost
	case j.has(eventlog.RunLost):
		return CauseLostOrder
	case j.has(eventlog.RunOverdue):
		return CauseStalledRun
	case j.has(eventlog.RunFailed):
		return CauseFailedRun
	case j.expectedWaitMs() > waitedShare*j.Answer.ObjectiveMs:
		return CauseWaited
	}
	return CauseSlowRun
}

func (j *Job) has(e eventlog.Event) bool {
	return slices.ContainsFunc(j.lines, func(x Line) bool { return x.Event == e.Name })
}

// expectedWaitMs returns the wait that the queue expected for the job, in milliseconds.
func (j *Job) expectedWaitMs() float64 {
	wait := 0.0
	for _, x := range j.lines {
		if x.Event == eventlog.JobQueued.Name {
			wait = max(wait, x.AgeMs)
		}
	}
	return wait
}

// KnownRoomMilli returns the most free capacity of an owner that the job was offered to,
// as known when it was offered, in milli-cores.
func (j *Job) KnownRoomMilli() uint64 {
	most := uint64(0)
	for _, x := range j.lines {
		if x.Event == eventlog.JobRouted.Name {
			most = max(most, x.Value)
		}
	}
	return most
}
