// Package sched decides which task starts next and on which backend server. It
// is a pure state machine: time and seeds are inputs, and Ready returns the
// actions to take. It holds no clock, goroutine or socket, and the same inputs
// always give the same output.
package sched

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// Job is a job as submitted to the scheduler. Its tasks start in index order.
type Job struct {
	Handle          model.JobHandle
	Customer        model.Customer
	Kind            model.Kind
	Tasks           int
	DeclaredRunTime time.Duration // of one task, 0 if unknown
	Deadline        model.Time    // 0 if none
	Needs           model.Resources
	Repeatable      bool
	Accepted        bool   // admitted by an earlier owner; admission must not reject it
	FirstIndex      int    // tasks below it have already started or are closed
	IdentityHash    uint64 // 0 if unknown; recognizes a rejected job that is resubmitted
}

// ServerState says whether a backend server may receive new work.
type ServerState uint8

// States of a backend server.
const (
	ServerActive ServerState = iota
	ServerLeaving
	ServerGone
)

// Server is a backend server as announced by its failure domain.
type Server struct {
	ID        model.ServerID
	Domain    model.Domain
	Addr      string // host:port, host is an IP address
	Slots     int
	Resources model.Resources
	State     ServerState
}

// Peer is another live instance.
type Peer struct {
	ID     model.Instance
	Domain model.Domain
}

// Reason says why a job was rejected or dropped.
type Reason uint8

// Reasons for rejecting or dropping a job.
const (
	ReasonNone       Reason = iota
	ReasonImpossible        // no backend server has the resources
	ReasonDeadline          // it cannot meet its deadline
	ReasonQueueFull         // the row's queue bound is reached
	ReasonShed              // shed under overload, by customer weight
	ReasonExpired           // its deadline passed while it was queued
	ReasonRate              // the row's rate limit is reached
)

// AdmissionResult is the result of Submit.
type AdmissionResult struct {
	Reason     Reason // ReasonNone when admitted
	RetryAfter time.Duration
}

// Outcome is the result of a start.
type Outcome uint8

const (
	OutcomeOK          Outcome = iota // the task ran and succeeded
	OutcomeFailed                     // the task ran and failed
	OutcomeNotStarted                 // the server rejected the start; the task is requeued
	OutcomeUnreachable                // no connection was established; the task is requeued
	OutcomeLost                       // the connection broke after the first byte was sent
)

// Start is a request to start one task on a server.
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

// Drop is a queued job that is given up.
type Drop struct {
	Job    model.JobHandle
	Reason Reason
}

// Output is the work for the caller since the last call of Ready.
type Output struct {
	Starts   []Start
	Messages []OutboundMessage
	Drops    []Drop // all unstarted tasks of these jobs are dropped
}

// PolicyRow is the table row in force for a customer and kind in this failure
// domain.
type PolicyRow struct {
	Weight      float64
	Concurrency int     // max. running tasks over all instances, 0 = unlimited
	Rate        float64 // max. task starts a second over all instances, 0 = unlimited
	QueueBound  int     // max. queued tasks per instance, 0 = unlimited
	LimitName   string  // row that sets Concurrency and Rate; kinds with the same name share one limit
}

// Policy finds the row in force. Kind "" is the customer as a whole, with the
// customer's weight; the weights of kinds divide the customer's share.
type Policy interface {
	Row(c model.Customer, k model.Kind) PolicyRow
}

type Options struct {
	Self   model.Instance
	Domain model.Domain
	Seed   uint64
	Policy Policy
	Mode   Mode // for benchmarks; the zero value is used in production
}

// Mode turns off parts of the scheduler, to compare scheduling policies.
type Mode struct {
	FIFO          bool // tasks start in submission order
	RandomServer  bool // a random free server instead of the fastest one
	QueueAtServer bool // no late binding: each task goes to a random server at once
	NoReserve     bool // no slots reserved for short tasks
	NoLending     bool // slots stay with their owner
	EvenSplit     bool // each server's slots are divided evenly among all instances, without lending
	NoAdmission   bool // no job is rejected because of its deadline
	NoQuarantine  bool
}

// TickInterval is the time between calls of Tick.
const TickInterval = 20 * time.Millisecond
