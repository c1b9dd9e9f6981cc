package node

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Limits of the log of decisions; dropped lines are counted.
const (
	maxLinesPerSecond = 200
	// reservedLines are left for events other than those that every job or rejected
	// request writes, which would take all at a load peak.
	reservedLines = 50
)

// limitedLog writes log entries of decisions, rate limited.
type limitedLog struct {
	log     *eventlog.Log
	metrics *metrics.Fleet

	mu         sync.Mutex
	second     int64
	lines      int
	dropped    int
	unreadable map[string]platform.Revision // records logged as such, by key
}

func newLimitedLog(l *eventlog.Log, m *metrics.Fleet) *limitedLog {
	return &limitedLog{log: l, metrics: m, unreadable: map[string]platform.Revision{}}
}

// maxLines returns how many lines may have been written in a second before one of an event.
func maxLines(e eventlog.Event) int {
	switch e {
	case eventlog.JobRouted, eventlog.JobQueued, eventlog.JobEnded, eventlog.OffloadDropped, eventlog.JobAnswered, eventlog.RequestRefused, eventlog.PlaceWait:
		return maxLinesPerSecond - reservedLines
	}
	return maxLinesPerSecond
}

// allow reports whether a line of an event may be written now.
func (l *limitedLog) allow(e eventlog.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := time.Now().Unix(); s != l.second {
		if l.dropped > 0 {
			l.log.Event(eventlog.LinesDropped).Int("count", l.dropped).Send()
		}
		l.second, l.lines, l.dropped = s, 0, 0
	}
	if l.lines >= maxLines(e) {
		l.dropped++
		l.metrics.LinesDropped.Inc()
		return false
	}
	l.lines++
	return true
}

var logEvents = map[fleet.LogKind]eventlog.Event{
	fleet.LogMemberLive:        eventlog.MemberLive,
	fleet.LogMemberDead:        eventlog.MemberDead,
	fleet.LogServerOwned:       eventlog.ServerOwned,
	fleet.LogServerReleased:    eventlog.ServerReleased,
	fleet.LogServerFenced:      eventlog.ServerFenced,
	fleet.LogServerSilent:      eventlog.ServerSilent,
	fleet.LogServerBack:        eventlog.ServerBack,
	fleet.LogServerReborn:      eventlog.ServerReborn,
	fleet.LogServerQuarantined: eventlog.ServerQuarantined,
	fleet.LogServerRestored:    eventlog.ServerRestored,
	fleet.LogForeignRun:        eventlog.ForeignRun,
	fleet.LogRunUnanswered:     eventlog.RunUnanswered,
	fleet.LogRunLost:           eventlog.RunLost,
	fleet.LogRunFailed:         eventlog.RunFailed,
	fleet.LogRunOverdue:        eventlog.RunOverdue,
	fleet.LogJobRouted:         eventlog.JobRouted,
	fleet.LogJobBounced:        eventlog.JobBounced,
	fleet.LogJobDeferred:       eventlog.JobDeferred,
	fleet.LogJobQueued:         eventlog.JobQueued,
	fleet.LogJobEnded:          eventlog.JobEnded,
	fleet.LogJobTakenBack:      eventlog.JobTakenBack,
	fleet.LogJobAdopted:        eventlog.JobAdopted,
	fleet.LogJobLost:           eventlog.JobLost,
	fleet.LogHoldDoubted:       eventlog.HoldDoubted,
	fleet.LogPauseDetected:     eventlog.PauseDetected,
	fleet.LogServerLeaving:     eventlog.ServerLeaving,
	fleet.LogListGap:           eventlog.ServerListGap,
	fleet.LogListRead:          eventlog.ServerListRead,
	fleet.LogRunStarted:        eventlog.RunStarted,
	fleet.LogRunEnded:          eventlog.RunEnded,
	fleet.LogTaskDelayed:       eventlog.TaskDelayed,
	fleet.LogTaskSuspected:     eventlog.TaskSuspected,
	fleet.LogCrashConfirmed:    eventlog.CrashConfirmed,
	fleet.LogTaskGivenUp:       eventlog.TaskGivenUp,
	fleet.LogDomainEvacuated:   eventlog.DomainEvacuated,
	fleet.LogDomainRestored:    eventlog.DomainRestored,
	fleet.LogPlaceWait:         eventlog.PlaceWait,
	fleet.LogOffloadDropped:    eventlog.OffloadDropped,
}

// writeEntry logs a decision of the reducer.
func (l *limitedLog) writeEntry(x fleet.LogEntry) {
	e := logEvents[x.Kind]
	l.metrics.Decisions.WithLabelValues(e.Name).Inc()
	if rule, refused := strings.CutPrefix(x.Reason, fleet.RefusedPrefix); refused && x.Class != nil {
		l.metrics.Refused.WithLabelValues(x.Class.Route, rule).Inc()
	}
	if !l.allow(e) {
		return
	}
	line := l.log.Begin(e)
	if x.Record != nil && x.Record.Conclusion != "" {
		line.Str("conclusion", string(x.Record.Conclusion))
	}
	if x.Reason != "" {
		line.Str("reason", x.Reason)
	}
	addID(line, x)
	if x.Peer != "" {
		line.Str("peer", string(x.Peer))
	}
	if x.Server != "" {
		line.Str("server", string(x.Server))
	}
	if x.Domain != "" {
		line.Str("domain", string(x.Domain))
	}
	if x.Count != 0 {
		line.Int("count", x.Count)
	}
	if x.Age != 0 {
		line.Dur("age_ms", x.Age)
	}
	if x.Near != 0 {
		line.Dur("near_ms", x.Near).Dur("far_ms", x.Far)
	}
	if x.Value != 0 {
		line.Uint64("value", x.Value)
	}
	if c := x.Class; c != nil {
		line.Str("route", c.Route).Int("priority", c.Priority).Str("caller_domain", string(c.Domain))
	}
	if x.Record != nil {
		addRecord(line, x.Record, x.At)
	}
	if len(x.Runs) > 0 {
		line.Array("runs", runRecords{x.Runs, x.At})
	}
	line.Msg(e.Text)
}

func addID(line *zerolog.Event, x fleet.LogEntry) {
	if x.Job != "" {
		line.Str("job", x.Job)
	}
	if x.Call != 0 {
		line.Uint64("call", uint64(x.Call))
	}
	if x.Offer != 0 {
		line.Uint64("offer", uint64(x.Offer))
	}
	if x.Run.Attempt != 0 {
		line.Str("job", x.Run.Task.Job)
		addRun(line, x.Run)
	}
}

// callFailed logs a failed call.
func (l *limitedLog) callFailed(call string, server model.ServerID, err error) {
	if err == nil || !l.allow(eventlog.CallFailed) {
		return
	}
	l.log.Event(eventlog.CallFailed).Str("call", call).Str("server", string(server)).AnErr("cause", err).Send()
}

// watchBehind logs a reply of a watch that is far from the store's newest known revision.
func (l *limitedLog) watchBehind(w watchSpec, r platform.Range) {
	if l.allow(eventlog.WatchBehind) {
		l.log.Event(eventlog.WatchBehind).Str("watch", w.name).Int("count", len(r.Items)).Uint64("value", uint64(r.Revision)).
			Uint64("behind", uint64(r.Behind)).Send()
	}
}

// Limits of log lines about records that can't be read.
const (
	// maxUnreadableKeys bounds the records that are remembered as logged.
	maxUnreadableKeys = 1000
	// maxCauseBytes shortens causes that repeat what the record says.
	maxCauseBytes = 300
)

// recordUnreadable logs a store record that can't be decoded, once for each revision.
func (l *limitedLog) recordUnreadable(it platform.Item, err error) {
	if !l.firstUnreadable(it) || !l.allow(eventlog.RecordUnreadable) {
		return
	}
	l.log.Event(eventlog.RecordUnreadable).Str("key", it.Key).Uint64("value", uint64(it.ModRevision)).Str("cause", shorten(err.Error(), maxCauseBytes)).Send()
}

// firstUnreadable remembers a record, and reports whether its revision is new.
func (l *limitedLog) firstUnreadable(it platform.Item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, known := l.unreadable[it.Key]; known && at == it.ModRevision {
		return false
	}
	if len(l.unreadable) >= maxUnreadableKeys {
		clear(l.unreadable)
	}
	l.unreadable[it.Key] = it.ModRevision
	return true
}

// shorten returns a text, cut off after a number of bytes.
func shorten(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}

// recordUnwritable logs a record that can't be encoded.
func (l *limitedLog) recordUnwritable(key string, err error) {
	if l.allow(eventlog.RecordUnreadable) {
		l.log.Event(eventlog.RecordUnreadable).Str("key", key).AnErr("cause", err).Send()
	}
}

// jobAnswered logs the response to a job.
func (l *limitedLog) jobAnswered(c fleet.CallID, j *fleet.JobSpec, r fleet.Result) {
	took := bootTime().Sub(j.ReceivedAt)
	l.metrics.Answers.WithLabelValues(r.Kind.String(), string(r.Reason)).Inc()
	l.metrics.AnswerTime.WithLabelValues(j.Route).Observe(took.Seconds())
	if l.allow(eventlog.JobAnswered) {
		l.log.Event(eventlog.JobAnswered).Str("job", j.ID).Uint64("call", uint64(c)).Str("route", j.Route).
			Str("result", r.Kind.String()).Str("reason", string(r.Reason)).Dur("took_ms", took).
			Dur("objective_ms", j.Due().Sub(j.ReceivedAt)).Dur("retry_after_ms", r.RetryAfter).Send()
	}
}

// callerDisconnected logs a caller that left before its response.
func (l *limitedLog) callerDisconnected(c fleet.CallID, j *fleet.JobSpec) {
	l.metrics.Answers.WithLabelValues("none", string(fleet.ReasonCallerGone)).Inc()
	if l.allow(eventlog.JobAnswered) {
		l.log.Event(eventlog.JobAnswered).Str("job", j.ID).Uint64("call", uint64(c)).Str("route", j.Route).
			Str("result", "none").Str("reason", string(fleet.ReasonCallerGone)).Dur("took_ms", bootTime().Sub(j.ReceivedAt)).Send()
	}
}

// requestRejected logs a request rejected before it became a job.
func (l *limitedLog) requestRejected(id string, r platform.Rejection) {
	if l.allow(eventlog.RequestRefused) {
		l.log.Event(eventlog.RequestRefused).Str("job", id).Int("status", r.Status).Str("reason", r.Problem).Send()
	}
}
