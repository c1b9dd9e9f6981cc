// Package fleet makes the decisions of one instance in a fleet that serves jobs on
// shared backend servers: which instances are alive, which of them owns which backend
// server, where a job goes, and which task starts where and when.
//
// It is a pure core: Instance.Step takes an event with its time and returns effects. It
// has no clock, goroutines, sockets or randomness. Time is that of the boot clock,
// which also advances while the machine is suspended.
//
// Invariants:
//   - Under a fencing token, exactly one instance controls a backend server. Tokens
//     increase across all owners and their successors, see Ownership.Token.
//   - An owner starts nothing at a backend server until it has polled it under its
//     own token and every unknown run there has ended.
//   - A run occupies its capacity until its end is listed, a poll sent after its
//     start was answered shows it absent, or its lease has expired.
//   - A task is started again only when its previous run no longer occupies
//     capacity.
//   - A durable job is started only by the instance that the store names as its
//     holder. The end of one of its runs is acknowledged only after it is stored,
//     or after the leases at that server have expired.
package fleet

import (
	"cmp"
	"strings"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Time is a point in time on the boot clock.
type Time = model.Time

// RunID identifies one start of a task.
type RunID struct {
	Task    TaskID
	Attempt uint32 // from 1, increases with each start
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// CallID identifies a call within the instance that received it.
type CallID uint64

// JobSpec is a job as submitted by its caller.
type JobSpec struct {
	ID      string
	Route   string
	Service string
	Spec    string
	Steps   []StepSpec

	Priority    int           // 0 is the highest
	MaxAttempts int           // failed runs of a task after which the job fails
	Objective   Objective     // of the route
	Timeout     time.Duration // the caller stops waiting this long after ReceivedAt
	ReceivedAt  Time          // by the instance that holds the call

	Offloaded *OffloadedTask // set for a single task offloaded by another owner
	Durable   bool           // stored before it is accepted; survives the loss of its holder
}

// Objective sets the due time of a job: Allowance after its arrival, plus Stretch times
// its critical path.
type Objective struct {
	Allowance time.Duration
	Stretch   float64
}

// StepSpec is a group of identical tasks.
type StepSpec struct {
	Count        int
	Need         model.Resources
	Estimate     time.Duration // approximate, per task
	DependsOn    []int         // steps that must complete first
	Label        string        // required server label, empty for any
	Rack         string        // rack that holds the data, empty for any
	MaxPerServer int           // 0 for no limit
	// SameRack means that the tasks are slow when they run on more than one rack. In a
	// task offloaded by another owner it means that they do.
	SameRack bool
}

// TaskCount returns the number of tasks of the job.
func (j *JobSpec) TaskCount() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// CriticalPath returns the estimated run time of the longest chain of dependent steps.
func (j *JobSpec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		start := time.Duration(0)
		for _, dep := range s.DependsOn {
			start = max(start, ends[dep])
		}
		ends[i] = start + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Deadline returns the time at which the caller stops waiting.
func (j *JobSpec) Deadline() Time { return j.ReceivedAt.Add(j.Timeout) }

// mayCompleteFrom reports whether the job would complete within its caller's timeout if it
// started at t and took half the estimated time.
func (j *JobSpec) mayCompleteFrom(t Time) bool { return t.Add(j.CriticalPath()/2) <= j.Deadline() }

// Due returns the time by which the job should complete according to its objective.
func (j *JobSpec) Due() Time {
	return j.ReceivedAt.Add(j.Objective.Allowance + time.Duration(j.Objective.Stretch*float64(j.CriticalPath())))
}

// Result is the final result of a call.
type Result struct {
	Kind       ResultKind
	RetryAfter time.Duration // for jobs that were not run
	Reason     Reason
	Count      int // of durable jobs, for Counted
}

// ResultKind is the kind of a Result.
type ResultKind int

// Kinds of results.
const (
	Completed ResultKind = iota + 1 // all tasks have completed
	Failed                          // a task has failed too often
	NotRun                          // rejected; no task was or will be started
	Unknown                         // abandoned; tasks may have run
	Accepted                        // the job is stored and will run
	Queued                          // durable job, not started
	Running                         // durable job, started
	NotHeld                         // this instance holds no such job
	Counted                         // answer to PendingCountRequested
	Cancelled                       // cancelled by its caller; tasks may have run
)

// Reason is the reason for a job not being completed.
type Reason string

// Reasons of a Result.
const (
	ReasonNone             Reason = ""
	ReasonNoOwner          Reason = "no-owner"        // no live instance owns servers of the service
	ReasonOverload         Reason = "overload"        // it could not complete on time
	ReasonTooLarge         Reason = "too-large"       // a task fits on no server
	ReasonEvacuated        Reason = "evacuated"       // a task fits only on servers of evacuated failure domains
	ReasonDeadline         Reason = "deadline"        // not completed within the caller's timeout
	ReasonAttempts         Reason = "attempts"        // a task failed too often
	ReasonOwnerLost        Reason = "owner-lost"      // the owner that ran it was lost
	ReasonStopping         Reason = "stopping"        // the instance that holds the call is stopping
	ReasonCallerGone       Reason = "caller-gone"     // the caller no longer waits
	ReasonResubmitted      Reason = "submitted-again" // the same job was submitted again
	ReasonStalled          Reason = "stalled"         // a task stalled wherever it ran
	ReasonCrashes          Reason = "crashes"         // servers were lost under a task wherever it ran
	ReasonStoreUnavailable Reason = "store"           // it can't be stored at present
	ReasonMemory           Reason = "memory"          // its owner has no memory for further jobs
	ReasonCancelled        Reason = "cancelled"       // its caller has cancelled the job with this ID
)

// MaxOrphanRunTime returns how long runs can outlast the loss of the instance that
// holds their call or of their owner. A lease is measured on the backend server's
// clock, which may be slow.
func MaxOrphanRunTime(lease, stop time.Duration) time.Duration {
	expiry := time.Duration(float64(lease) / slowestClock)
	return max(expiry, peerTimeout+stop) + linkDelay
}

const (
	slowestClock = 0.98                   // minimum rate of a server clock against true time, guaranteed by the platform
	linkDelay    = 100 * time.Millisecond // bound on two message delays on a loaded link
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Compare orders runs by job, step, index and attempt.
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
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}
