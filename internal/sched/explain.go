package sched

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// WaitReason says why a flow's next task has not started.
type WaitReason uint8

const (
	WaitNone          WaitReason = iota
	WaitFairShare                // fair queuing serves other customers and kinds first
	WaitSlot                     // every slot that this instance may use is busy
	WaitFasterServer             // the free servers are so slow that waiting for a faster one ends sooner
	WaitReservedSlots            // the free slots are reserved for short tasks
	WaitLimit                    // this instance's share of the row's limit is used up
	WaitResources                // no free server has the required resources
)

// JobState is the state of a job as reported by Explain.
type JobState uint8

const (
	JobUnknown JobState = iota
	JobWaiting
	JobRunning
	JobEnded
	JobRejected
)

// jobTrace is the part of a job's history that Explain reports.
type jobTrace struct {
	submitted  model.Time
	firstStart model.Time
	ended      model.Time
	estimate   time.Duration
	retryAfter time.Duration
	reason     Reason
	lastServer *server
	own        int
	borrowed   int
	spilled    int
	notStarted int
}

func (t *jobTrace) recordStart(now model.Time, v *server) {
	if t.firstStart == 0 {
		t.firstStart = now
	}
	t.lastServer = v
	switch {
	case v.remote:
		t.spilled++
	case v.owned:
		t.own++
	default:
		t.borrowed++
	}
}

// Explanation says why a job waits, where its tasks ran, or why it was
// rejected.
type Explanation struct {
	State           JobState
	Customer        model.Customer
	Kind            model.Kind
	Wait            WaitReason
	Waited          time.Duration // from submission to the first start, or until now if none
	Waiting         int           // tasks not yet started
	Running         int
	QueuedTasks     int           // waiting tasks of all jobs on this instance
	EstimatedDelay  time.Duration // as estimated at submission
	ExpectedRunTime time.Duration // learned run time of one task
	LongTasks       bool          // counted as long tasks
	Server          model.ServerID
	ServerSlowness  float64 // run time relative to the fleet's mean
	StartsOwn       int     // on slots owned by this instance
	StartsBorrowed  int     // on slots borrowed within the domain
	StartsSpilled   int     // in other failure domains
	NotStarted      int     // starts that were rejected or found the server unreachable
	Reason          Reason  // why it was rejected or dropped
	RetryAfter      time.Duration
}

// Explain reports on a job that is waiting, running or recently ended.
func (s *Scheduler) Explain(now model.Time, h model.JobHandle) Explanation {
	j := s.queue.jobs[h]
	if j == nil {
		j = s.history.find(h)
	}
	if j == nil {
		return Explanation{}
	}
	return s.explain(now, j)
}

func (s *Scheduler) explain(now model.Time, j *job) Explanation {
	t := &j.trace
	e := Explanation{
		Customer: j.Customer, Kind: j.Kind,
		Waiting: j.waiting(), Running: j.running,
		QueuedTasks:     s.queue.waiting,
		EstimatedDelay:  t.estimate,
		ExpectedRunTime: time.Duration(j.flow.kindState.run.mean * float64(time.Second)),
		LongTasks:       j.flow.kindState.long,
		StartsOwn:       t.own, StartsBorrowed: t.borrowed, StartsSpilled: t.spilled,
		NotStarted: t.notStarted, Reason: t.reason, RetryAfter: t.retryAfter,
	}
	if t.lastServer != nil {
		e.Server = t.lastServer.ID
		e.ServerSlowness = t.lastServer.slowness.factor()
	}
	e.State = j.state()
	e.Waited = j.waited(now)
	if e.Waiting > 0 {
		e.Wait = s.waitReason(j)
	}
	return e
}

func (j *job) state() JobState {
	switch {
	case j.trace.reason != ReasonNone && j.trace.firstStart == 0:
		return JobRejected
	case j.running > 0:
		return JobRunning
	case j.waiting() > 0:
		return JobWaiting
	}
	return JobEnded
}

func (j *job) waited(now model.Time) time.Duration {
	until := now
	if j.trace.ended != 0 {
		until = j.trace.ended
	}
	if j.trace.firstStart != 0 {
		until = j.trace.firstStart
	}
	return until.Sub(j.trace.submitted)
}

func (s *Scheduler) waitReason(j *job) WaitReason {
	switch {
	case j.flow.waitReason != WaitNone:
		return j.flow.waitReason
	case s.index.free == 0:
		return WaitSlot
	}
	return WaitFairShare
}

// history keeps ended jobs for Explain, and reuses their memory.
type history struct {
	ring     []*job
	next     int
	byHandle map[model.JobHandle]*job
}

func newHistory() history {
	return history{byHandle: make(map[model.JobHandle]*job, historySize)}
}

func (h *history) find(id model.JobHandle) *job { return h.byHandle[id] }

func (h *history) add(s *Scheduler, j *job) {
	if j.trace.ended == 0 {
		j.trace.ended = s.now
	}
	h.byHandle[j.Handle] = j
	if len(h.ring) < historySize {
		h.ring = append(h.ring, j)
		return
	}
	old := h.ring[h.next]
	h.ring[h.next] = j
	h.next = (h.next + 1) % historySize
	if h.byHandle[old.Handle] == old {
		delete(h.byHandle, old.Handle)
	}
	s.queue.freeJobs = append(s.queue.freeJobs, old)
}
