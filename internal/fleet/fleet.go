// Package fleet decides for one instance of a fleet that serves jobs on shared
// backend servers: which instances live, which of them orders at which backend
// server, where a job goes, and which task starts where and when.
//
// It is a pure core: Instance.Step takes an event with its time and returns
// effects. It has no clock, goroutine, socket or randomness. Time is that of
// the machine's boot clock, which also counts while a machine is suspended.
//
// Invariants:
//   - Exactly one instance orders at a backend server under a fencing token. The
//     token is the revision of the write that made it the owner, so it rises
//     over all owners.
//   - An owner starts nothing at a backend server before it has looked at it
//     under its own token and everything that it doesn't know there has ended.
//   - A run occupies its room until its end is listed, its absence is seen by a
//     look that was sent after its start was answered, or its lease has lapsed.
//   - A task is started again only when its earlier run no longer occupies room.
//   - A kept job is started only by the instance that the store names as its
//     holder, and the end of a run of it is acknowledged only once it is stored,
//     or after the leases at its server have lapsed.
package fleet

import (
	"cmp"
	"strings"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Time is a point in time on the boot clock.
type Time = model.Time

// RunID names one start of a task.
type RunID struct {
	Task    TaskID
	Attempt uint32 // from 1, rises with each start of the task
}

// TaskID names a task of a job.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// CallID names a submission inside the instance that took it from its caller.
type CallID uint64

// JobSpec is a job as its caller submitted it.
type JobSpec struct {
	ID      string
	Route   string
	Service string
	Spec    string
	Steps   []StepSpec

	Priority    int           // 0 comes first
	MaxAttempts int           // failed runs after which a task is hopeless
	Objective   Objective     // of the route
	Timeout     time.Duration // the caller waits no longer, from Received
	ReceivedAt  Time          // by the instance that holds the call

	Offloaded *OffloadedTask // set for a single task that another owner offers
	Durable   bool           // it is stored before it is accepted, and goes on whatever happens
}

// Objective is when a job should have ended: Allowance after its arrival, and
// Stretch times the time of its longest chain of work.
type Objective struct {
	Allowance time.Duration
	Stretch   float64
}

// StepSpec is a group of like tasks.
type StepSpec struct {
	Count        int
	Need         model.Resources
	Estimate     time.Duration // rough, of one task
	DependsOn    []int         // steps that must have ended first
	Label        string        // that the backend server must have, empty for any
	Rack         string        // where the data is, empty for anywhere
	MaxPerServer int           // 0: any number
}

// TaskCount returns the number of tasks of the job.
func (j *JobSpec) TaskCount() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// CriticalPath returns the estimated time of the longest chain of steps.
func (j *JobSpec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		start := time.Duration(0)
		for _, a := range s.DependsOn {
			start = max(start, ends[a])
		}
		ends[i] = start + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Deadline returns when the caller gives up.
func (j *JobSpec) Deadline() Time { return j.ReceivedAt.Add(j.Timeout) }

// Due returns when the job should have ended.
func (j *JobSpec) Due() Time {
	return j.ReceivedAt.Add(j.Objective.Allowance + time.Duration(j.Objective.Stretch*float64(j.CriticalPath())))
}

// Result is the final answer of a job.
type Result struct {
	Kind       ResultKind
	RetryAfter time.Duration // when to come back, for jobs that were not run
	Reason     Reason
	Count      int // of kept jobs
}

// ResultKind says how a job ended.
type ResultKind int

// Results of a job.
const (
	Completed ResultKind = iota + 1 // every task has ended well
	Failed                          // a task has failed too often
	NotRun                          // refused; no task has started or ever will
	Unknown                         // given up; tasks may have run
	Accepted                        // the store holds the job, which goes on
	Queued                          // a kept job of which nothing has started
	Running                         // a kept job of which something has started
	NotHeld                         // this instance holds no such job
	Counted                         // answer to PendingAsked
)

// Reason says why a job was not completed.
type Reason string

// Reasons of a Result.
const (
	ReasonNone             Reason = ""
	ReasonNoOwner          Reason = "no-owner"        // no live instance orders at backend servers of the service
	ReasonOverload         Reason = "overload"        // it could not be in time
	ReasonTooLarge         Reason = "too-large"       // no backend server could hold a task
	ReasonDeadline         Reason = "deadline"        // it was not done within the caller's time
	ReasonAttempts         Reason = "attempts"        // a task failed too often
	ReasonOwnerLost        Reason = "owner-lost"      // the instance that ran it is gone
	ReasonStopping         Reason = "stopping"        // the instance that held the call has ended
	ReasonCallerGone       Reason = "caller-gone"     // nobody waits for it
	ReasonResubmitted      Reason = "submitted-again" // the same job came again
	ReasonStalled          Reason = "stalled"         // a task stood still wherever it ran
	ReasonStoreUnavailable Reason = "store"           // it can't be stored now
)

// MaxOrphanRunTime returns how long runs may last at most after the instance
// that held their caller, or the one that ordered them, was lost. A lease runs
// on the backend server's clock, which may be slow.
func MaxOrphanRunTime(lease, stop time.Duration) time.Duration {
	lapse := time.Duration(float64(lease) / slowestClock)
	return max(lapse, peerTimeout+stop) + linkDelay
}

const (
	slowestClock = 0.98                   // of a backend server, against true time; from the platform's contract
	linkDelay    = 100 * time.Millisecond // bound on two crossings of a loaded link
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Compare orders runs by name.
func (r RunID) Compare(o RunID) int {
	return cmp.Or(
		strings.Compare(r.Task.Job, o.Task.Job),
		cmp.Compare(r.Task.Step, o.Task.Step),
		cmp.Compare(r.Task.Index, o.Task.Index),
		cmp.Compare(r.Attempt, o.Attempt))
}

// String implements fmt.Stringer.
func (k ResultKind) String() string {
	switch k {
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case NotRun:
		return "not-run"
	case Accepted:
		return "accepted"
	}
	return "unknown"
}
