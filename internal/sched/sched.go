// Package sched decides which task starts next and on which backend server.
// It is a pure state machine: time and seeds arrive in its inputs, and what
// is to be done is returned by Ready.
package sched

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// Job is a job as the scheduler sees it. Its tasks start in index order.
type Job struct {
	Handle     model.JobHandle
	Customer   model.Customer
	Kind       model.Kind
	Tasks      int
	Declared   time.Duration // declared run time of a task, 0 if unknown
	Deadline   model.Time    // 0 if none
	Needs      model.Resources
	Repeatable bool
	Accepted   bool // an earlier owner admitted it; admission must not refuse it
	FirstIndex int  // tasks below it are already started or closed
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
	ID     model.ServerID
	Domain model.Domain
	Addr   string // host:port, the host an IP number
	Slots  int
	Has    model.Resources
	State  ServerState
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

// Verdict is the answer to Submit.
type Verdict struct {
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

// Send is a message to another instance.
type Send struct {
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
	Starts []Start
	Sends  []Send
	Drops  []Drop // all unstarted tasks of these jobs are given up
}

// PolicyRow is the effective row of the table for a customer and kind in
// this failure domain.
type PolicyRow struct {
	Weight      float64
	Concurrency int     // tasks running at once over all instances, 0 = unlimited
	Rate        float64 // task starts a second over all instances, 0 = unlimited
	QueueBound  int     // queued tasks an instance, 0 = unlimited
}

// Policy finds the effective row.
type Policy interface {
	Row(c model.Customer, k model.Kind) PolicyRow
}

// Options are the scheduler's settings.
type Options struct {
	Self   model.Instance
	Domain model.Domain
	Seed   uint64
	Policy Policy
}

// Scheduler queues tasks and binds them to slots.
type Scheduler struct {
	opts    Options
	servers []Server
	busy    map[model.ServerID]int
	queue   []queued
	out     Output
}

type queued struct {
	job   Job
	next  int
	retry []int
}

// New returns a scheduler without servers and peers.
func New(o Options) *Scheduler {
	return &Scheduler{opts: o, busy: make(map[model.ServerID]int)}
}

// Submit queues a job, or refuses it.
func (s *Scheduler) Submit(now model.Time, j Job) Verdict {
	s.queue = append(s.queue, queued{job: j, next: j.FirstIndex})
	s.bind(now)
	return Verdict{}
}

// Cancel gives up the unstarted tasks of a job. Tasks already started go on
// and are reported by Done.
func (s *Scheduler) Cancel(now model.Time, h model.JobHandle) {
	for i := range s.queue {
		if s.queue[i].job.Handle == h {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// Done reports how a start ended. ran is the time from start to answer.
func (s *Scheduler) Done(now model.Time, st Start, o Outcome, ran time.Duration) {
	s.busy[st.Server]--
	if o == OutcomeNotStarted || o == OutcomeUnreachable {
		for i := range s.queue {
			if s.queue[i].job.Handle == st.Job {
				s.queue[i].retry = append(s.queue[i].retry, st.Index)
			}
		}
	}
	s.bind(now)
}

// SetServers replaces the list of backend servers.
func (s *Scheduler) SetServers(now model.Time, list []Server) {
	s.servers = list
	s.bind(now)
}

// SetPeers replaces the list of live instances, this one left out.
func (s *Scheduler) SetPeers(now model.Time, list []Peer) {}

// Receive takes a message from another instance.
func (s *Scheduler) Receive(now model.Time, from model.Instance, m *peerpb.SchedMessage) {}

// Tick advances timers; it is called every TickInterval.
func (s *Scheduler) Tick(now model.Time) { s.bind(now) }

// TickInterval is the time between calls of Tick.
const TickInterval = 20 * time.Millisecond

// Ready returns and clears what is to be done. The slices are valid until
// the next call of any method.
func (s *Scheduler) Ready() Output {
	out := s.out
	s.out = Output{}
	return out
}

func (s *Scheduler) bind(now model.Time) {
	for len(s.queue) > 0 {
		srv, ok := s.free()
		if !ok {
			return
		}
		q := &s.queue[0]
		idx := q.next
		if n := len(q.retry); n > 0 {
			idx = q.retry[n-1]
			q.retry = q.retry[:n-1]
		} else {
			q.next++
		}
		s.busy[srv]++
		s.out.Starts = append(s.out.Starts, Start{Job: q.job.Handle, Index: idx, Server: srv})
		if q.next >= q.job.Tasks && len(q.retry) == 0 {
			s.queue = s.queue[1:]
		}
	}
}

func (s *Scheduler) free() (model.ServerID, bool) {
	for _, srv := range s.servers {
		if srv.State == ServerActive && s.busy[srv.ID] < srv.Slots {
			return srv.ID, true
		}
	}
	return "", false
}
