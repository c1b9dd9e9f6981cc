// Package sched decides which task starts next and on which backend server.
// It is a pure state machine: time and seeds arrive in its inputs, and what
// is to be done is returned by Ready. It holds no clock, goroutine or socket,
// and the same inputs always give the same output.
package sched

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// Job is a job as the scheduler sees it. Its tasks start in index order.
type Job struct {
	Handle          model.JobHandle
	Customer        model.Customer
	Kind            model.Kind
	Tasks           int
	DeclaredRunTime time.Duration // declared run time of a task, 0 if unknown
	Deadline        model.Time    // 0 if none
	Needs           model.Resources
	Repeatable      bool
	Accepted        bool   // an earlier owner admitted it; admission must not refuse it
	FirstIndex      int    // tasks below it are already started or closed
	IdentityHash    uint64 // hash of the job's identity, 0 if unknown; a refused job is known again by it
}

// ServerState says whether a backend server may get new work.
type ServerState uint8

// States of a backend server.
const (
	ServerActive ServerState = iota
	ServerLeaving
	ServerGone
)

// Server is a backend server as its failure domain announces it.
type Server struct {
	ID        model.ServerID
	Domain    model.Domain
	Addr      string // host:port, the host an IP number
	Slots     int
	Resources model.Resources
	State     ServerState
}

// Peer is another live entry instance.
type Peer struct {
	ID     model.Instance
	Domain model.Domain
}

// Reason says why a job was refused or a task dropped.
type Reason uint8

// Reasons of refusals and drops.
const (
	ReasonNone       Reason = iota
	ReasonImpossible        // no backend server could hold it
	ReasonDeadline          // cannot meet its deadline
	ReasonQueueFull         // the row's queue bound is reached
	ReasonShed              // shed by weight under overload
	ReasonExpired           // its deadline passed while it was queued
	ReasonRate              // the row's rate limit is reached
)

// AdmissionResult is the answer to Submit.
type AdmissionResult struct {
	Reason     Reason // ReasonNone when admitted
	RetryAfter time.Duration
}

// Outcome is how a start ended.
type Outcome uint8

// Outcomes of a start.
const (
	OutcomeOK          Outcome = iota // the task ran and succeeded
	OutcomeFailed                     // the task ran and failed
	OutcomeNotStarted                 // the server refused before the start; the task is queued again
	OutcomeUnreachable                // no connection was made; the task is queued again
	OutcomeLost                       // the connection broke after the first byte
)

// Start asks for one task to be started on a server.
type Start struct {
	Job    model.JobHandle
	Index  int
	Server model.ServerID
}

// OutboundMessage is a message to another instance.
type OutboundMessage struct {
	To      model.Instance
	Message *peerpb.SchedMessage
}

// Drop is a queued task that will not be started.
type Drop struct {
	Job    model.JobHandle
	Reason Reason
}

// Output is what the caller has to do since the last call of Ready.
type Output struct {
	Starts   []Start
	Messages []OutboundMessage
	Drops    []Drop // all unstarted tasks of these jobs are given up
}

// PolicyRow is the effective row of the table for a customer and kind in
// this failure domain.
type PolicyRow struct {
	Weight      float64
	Concurrency int     // tasks running at once over all instances, 0 = unlimited
	Rate        float64 // task starts a second over all instances, 0 = unlimited
	QueueBound  int     // queued tasks an instance, 0 = unlimited
	LimitName   string  // name of the row that sets Concurrency and Rate; kinds with the same name share them
}

// Policy finds the effective row. The kind "" stands for the customer as a
// whole: its weight is the customer's, the weights of kinds divide what the
// customer gets.
type Policy interface {
	Row(c model.Customer, k model.Kind) PolicyRow
}

// Options are the scheduler's settings.
type Options struct {
	Self   model.Instance
	Domain model.Domain
	Seed   uint64
	Policy Policy
	Mode   Mode // for comparison; the zero value is what ships
}

// Mode turns parts of the scheduler off, to compare ways of scheduling.
type Mode struct {
	FIFO          bool // tasks start in the order of submission
	RandomServer  bool // a random free server instead of the best one
	QueueAtServer bool // no late binding: a start goes out at once to a random server
	NoReserve     bool // no slots are kept for short work
	NoLending     bool // slots stay with the instance that owns them
	EvenSplit     bool // each server's slots are split over all instances, without lending
	NoAdmission   bool // nothing is refused for its deadline
	NoQuarantine  bool // no quarantine
}

// TickInterval is the time between calls of Tick.
const TickInterval = 20 * time.Millisecond
