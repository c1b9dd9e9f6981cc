// Package shard implements the replication of job records for one shard at one
// instance. The owner admits jobs and starts their tasks; the replica holds a
// copy so that both survive the loss of the owner. A claim admits a job.
// An intent is committed before the tasks that it covers start, so after a
// takeover only tasks that no intent covers may still be started. The package is
// a pure state machine: time is an input. docs/design/01-replication.md specifies
// the protocol.
package shard

import (
	"container/heap"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// Role is the role of this instance in a shard.
type Role uint8

// Values of Role.
const (
	RoleNone Role = iota
	RoleLearner
	RoleReplica
	RoleOwner
)

// follower is the owner's state of a replica or learner.
type follower struct {
	member       Member
	ackedSeq     uint64     // acknowledged up to here
	sentSeq      uint64     // sent up to here
	sentAt       model.Time // time of the latest append
	required     bool       // commits wait for its acknowledgement
	requiredFrom uint64     // last operation before it became required
	copyID       uint64     // learner: number of the snapshot copy
	chunk        uint32     // learner: chunk in flight
	chunkSentAt  model.Time // learner: time the chunk was sent
	nextRecord   int        // learner: next record to send, index in Shard.order
	synced       bool       // has received the whole snapshot
}

// commitAction runs once an operation is committed: it starts a task if rec is
// set, otherwise it sends an answer.
type commitAction struct {
	seq     uint64
	rec     *record
	start   sched.Start
	waiters []Waiter
	answer  *peerpb.Answer
}

// Shard is the state of one shard at one instance.
type Shard struct {
	env  *Env
	id   ID
	view View
	role Role

	records  map[key]*record
	openJobs map[uint64]*record // jobs without a final answer, by record number
	order    []*record          // by arrival, for snapshots; may hold evicted records
	expiry   expiryHeap
	floor    model.Time // admission floor: identities submitted before it are not admitted

	seq           uint64 // last operation applied
	promisedEpoch uint64 // operations of lower epochs are rejected

	// State of the owner.
	log                 []*peerpb.Operation // operations after logBase that a follower lacks
	logBase             uint64
	unsentSince         model.Time // when the oldest unsent operation was appended
	flushDue            bool       // a request or a start waits for the unsent operations
	followers           []*follower
	onCommit            []commitAction
	sealed              bool   // being handed over: no new claims, starts or operations
	successor           Member // target of the handover
	handoverMessage     *peerpb.HandOver
	deferredSubmissions []deferredSubmission
	deferredResults     []deferredResult
	lastCopyID          uint64   // number of the latest snapshot copy
	runners             []Member // instances with tasks of an earlier owner in flight

	// releasedEpoch is the epoch in which the replica has promised not to act
	// on the death of its owner. It is set at both of them.
	releasedEpoch      uint64
	releaseRequestedAt model.Time // owner: time of the latest release request

	membersDeadSince model.Time // all members are known to be dead since then, 0 if not

	// State of a replica or learner.
	source    Member // owner whose operations are applied
	handover  *peerpb.HandOver
	copyID    uint64 // number of the snapshot copy
	nextChunk uint32
}

// deferredSubmission is a submission that waits for the end of a handover.
type deferredSubmission struct {
	spec   *peerpb.JobSpec
	waiter Waiter
	report bool
}

// deferredResult is a result that arrived while the shard was sealed.
type deferredResult struct {
	rec *record
	res *peerpb.TaskResult
}

// New returns a shard without a view.
func New(env *Env, id ID) *Shard {
	return &Shard{env: env, id: id, records: make(map[key]*record), openJobs: make(map[uint64]*record)}
}

// View returns the latest installed view.
func (s *Shard) View() View { return s.view }

// Role returns the role of this instance in the shard.
func (s *Shard) Role() Role { return s.role }

// JobCount returns the number of job records.
func (s *Shard) JobCount() int { return len(s.records) }

// CanAdmit reports whether this instance may admit jobs now.
func (s *Shard) CanAdmit() bool {
	return s.role == RoleOwner && !s.env.Suspended
}

func (s *Shard) addRecord(r *record) {
	s.records[r.key] = r
	s.order = append(s.order, r)
	heap.Push(&s.expiry, r)
}

// setFinal closes a record. It drops the record's job, so that a start waiting
// for its intent to commit is not executed.
func (s *Shard) setFinal(r *record, a *peerpb.Answer) {
	s.setFinalEncoded(r, encodeAnswer(a))
}

func (s *Shard) setFinalEncoded(r *record, encoded []byte) {
	r.final = encoded
	r.finalSeq = s.seq
	s.dropHandles(r)
	r.job = nil
	delete(s.openJobs, r.number)
	s.env.answerBytes += recordBytes(r)
}

// dropHandles unregisters the handles of a job that a later owner has closed
// while tasks of it are in flight here.
func (s *Shard) dropHandles(r *record) {
	if r.job == nil {
		return
	}
	for _, h := range r.job.handles {
		delete(s.env.jobs, h)
	}
}

// setNumber indexes an open job by its record number.
func (s *Shard) setNumber(r *record, number uint64) {
	r.number = number
	s.openJobs[number] = r
}

func (s *Shard) reset() {
	for _, r := range s.records {
		if r.final != nil {
			s.env.answerBytes -= recordBytes(r)
		}
	}
	s.records = make(map[key]*record)
	s.openJobs = make(map[uint64]*record)
	s.order = nil
	s.expiry = nil
	s.seq = 0
	s.handover = nil
}

// expire evicts final records that are older than the dedup window, or the
// oldest ones while the instance retains too many bytes. The admission floor
// rises past every evicted record, so that none can be admitted again.
func (s *Shard) expire(now model.Time) {
	if s.sealed {
		return
	}
	s.floor = max(s.floor, now.Add(-s.env.Opts.DedupWindow))
	evicted := false
	var unfinished []*record
	for len(s.expiry) > 0 {
		r := s.expiry[0]
		if r.submitted() >= s.floor && s.env.answerBytes <= s.env.Opts.MaxAnswerBytes {
			break
		}
		heap.Pop(&s.expiry)
		if r.final == nil {
			unfinished = append(unfinished, r)
			continue
		}
		s.floor = max(s.floor, r.submitted().Add(time.Millisecond))
		s.evict(r)
		evicted = true
	}
	for _, r := range unfinished {
		heap.Push(&s.expiry, r)
	}
	s.compact()
	// A later owner must reject the evicted identities regardless of its clock.
	if evicted && s.role == RoleOwner {
		s.appendFloor(now)
	}
}

func (s *Shard) evict(r *record) {
	delete(s.records, r.key)
	s.env.answerBytes -= recordBytes(r)
}

// compact removes evicted records from the order once they are the majority.
func (s *Shard) compact() {
	const slack = 1024
	if len(s.order) < 2*len(s.records)+slack {
		return
	}
	live := make([]*record, 0, len(s.records))
	for _, r := range s.order {
		if s.records[r.key] == r {
			live = append(live, r)
		}
	}
	s.order = live
	s.dropUnsyncedLearners()
}

// dropUnsyncedLearners abandons snapshots in progress; they are restarted
// later.
func (s *Shard) dropUnsyncedLearners() {
	kept := s.followers[:0]
	for _, f := range s.followers {
		if f.synced {
			kept = append(kept, f)
		}
	}
	s.followers = kept
}

// expiryHeap orders records by submission time.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].submitted() < h[j].submitted() }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}

// Tick handles timers.
func (s *Shard) Tick(now model.Time) {
	if s.role == RoleOwner {
		s.resend(now)
	}
	s.Flush(now)
}

// TickSlow handles timers that may run at a longer interval.
func (s *Shard) TickSlow(now model.Time) {
	s.expire(now)
	s.env.unconfirmed.expire(now)
	s.CheckMembers(now)
	s.requestAllResults(now)
}
