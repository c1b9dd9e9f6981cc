package fleet

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Conclusion is how an owner came to hold that a run is over, or why a task waits for
// runs that may exist.
type Conclusion string

// Conclusions on a run that was started, by how much they prove.
const (
	ConcludedListed    Conclusion = "listed"           // the server lists the end
	ConcludedAbsent    Conclusion = "absent"           // a poll sent after the reply to the start or stop doesn't list it
	ConcludedRestarted Conclusion = "server-restarted" // the same, in a later life of the server than the start was meant for
	ConcludedExpired   Conclusion = "lease-expired"    // the lease has ended by the estimate of the server's clock
	ConcludedOutcome   Conclusion = "outcome"          // the owner that the task was offloaded to says so
)

// Conclusions on a start that had no effect.
const (
	ConcludedNotSent   Conclusion = "not-sent"
	ConcludedRejected  Conclusion = "rejected"
	ConcludedOutdated  Conclusion = "outdated" // the server has seen this or a later attempt
	ConcludedReplaced  Conclusion = "server-replaced"
	ConcludedMalformed Conclusion = "malformed"
)

// Reasons to wait until runs have certainly ended, as nobody can tell whether they exist.
const (
	WaitsServerLost Conclusion = "server-lost"     // the owner no longer controls their server
	WaitsOwnerLost  Conclusion = "owner-lost"      // their owner is gone or unresponsive
	WaitsSubmitted  Conclusion = "submitted-again" // those of an earlier submission of the job
	WaitsTakeover   Conclusion = "taken-over"      // those of the previous holder of a durable job
)

// startConclusions are the conclusions from the outcomes of starts without effect.
var startConclusions = map[StartOutcome]Conclusion{
	StartNotSent: ConcludedNotSent, StartRejected: ConcludedRejected, StartOutdated: ConcludedOutdated,
	StartServerReplaced: ConcludedReplaced, StartMalformed: ConcludedMalformed,
}

// RunRecord is what an instance knows of a run that it has ordered, for the log. Times
// are 0 if the step hasn't happened.
type RunRecord struct {
	Run    RunID
	Server model.ServerID
	Peer   model.Instance // owner that the task was offloaded to, in place of the server
	BootMs int64          // life of the server that the start was meant for
	Fence  uint64         // token of the start
	SentAt Time
	StopAt Time // when the first stop was sent
	OverAt Time // when the conclusion was reached

	Conclusion Conclusion
	End        EndKind // if Conclusion is ConcludedListed or ConcludedOutcome

	NowBootMs  int64         // life of the server by then, if another one
	LeaseEndMs int64         // latest lease end sent, for ConcludedExpired
	ClockMs    int64         // estimate of the server's clock then
	Wait       time.Duration // until the task may start again
}

// maxRunRecords limits the runs of a job that job-ended lists.
const maxRunRecords = 32

// keepRecord adds a run to those that job-ended lists.
func (j *job) keepRecord(r RunRecord) {
	if len(j.records) < maxRunRecords {
		j.records = append(j.records, r)
	}
}

// record returns what is known of a run.
func (r *run) record(s *server) RunRecord {
	return RunRecord{Run: r.id, Server: s.entry.ID, BootMs: r.bootMs, Fence: r.fence, SentAt: r.sentAt, StopAt: r.firstStopAt}
}

// logRun logs a decision on a run.
func (p *pool) logRun(kind LogKind, s *server, r *run, now Time) {
	rec := r.record(s)
	p.effect(LogEntry{Kind: kind, Server: s.entry.ID, Run: r.id, Age: now.Sub(r.sentAt), Record: &rec, At: now})
}

// logOver logs the conclusion on a run, unless another line or job-ended tells it.
func (p *pool) logOver(rec RunRecord, taskWaits bool) {
	e := LogEntry{Kind: LogRunEnded, Server: rec.Server, Peer: rec.Peer, Run: rec.Run, Record: &rec, At: rec.OverAt, Age: rec.OverAt.Sub(rec.SentAt)}
	switch rec.Conclusion {
	case ConcludedNotSent, ConcludedRejected, ConcludedMalformed:
		return
	case ConcludedListed:
		if rec.End == EndDone || rec.End == EndFailed {
			return
		}
	default:
		if taskWaits {
			e.Kind = LogRunLost
		}
	}
	p.effect(e)
}

// logDelayed logs that tasks of a job wait for runs that may exist.
func (p *pool) logDelayed(j *job, count int, why Conclusion, until, now Time) {
	p.effect(LogEntry{Kind: LogTaskDelayed, Job: j.spec.ID, Count: count, Reason: string(why), Age: until.Sub(now)})
}

// offloadRecord returns what is known of an offloaded task's run.
func (o *offload) record() RunRecord {
	return RunRecord{Run: RunID{o.task.id, o.task.attempt + 1}, Peer: o.to.Instance, SentAt: o.sentAt}
}

// concludeOffload records the outcome of an offloaded task that may have run.
func (o *offload) concludeOffload(out Outcome, now Time) {
	if out.Declined && out.Result.Kind != Unknown {
		return
	}
	rec := o.record()
	rec.Run.Attempt = max(rec.Run.Attempt, out.Attempt)
	rec.OverAt, rec.Conclusion = now, ConcludedOutcome
	switch out.Result.Kind {
	case Completed:
		rec.End = EndDone
	case Failed:
		rec.End = EndFailed
	default:
		rec.End = EndOther
	}
	o.task.job.keepRecord(rec)
}

// String implements fmt.Stringer.
func (k EndKind) String() string {
	names := [...]string{"", "done", "failed", "stopped", "expired", "other"}
	if k <= 0 || int(k) >= len(names) {
		return ""
	}
	return names[k]
}
