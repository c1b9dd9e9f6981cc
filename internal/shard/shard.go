// Package shard keeps the records of one shard of jobs at one instance: as
// owner it admits jobs and lets their tasks start, as replica it holds the
// copy that makes both safe. It is a pure state machine in which time arrives
// with every input. docs/design/01-replication.md states the protocol.
package shard

import (
	"container/heap"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// Role is what an instance is to a shard.
type Role uint8

// Roles of an instance.
const (
	RoleNone Role = iota
	RoleLearner
	RoleReplica
	RoleOwner
)

// follower is a replica or learner as its owner sees it.
type follower struct {
	member       Member
	ackedSeq     uint64     // operations that it holds
	sentSeq      uint64     // operations sent to it
	sentAt       model.Time // time of the latest send
	required     bool       // commits wait for it
	requiredFrom uint64     // last operation before commits waited for it
	copyID       uint64     // learner: number of the copy
	chunk        uint32     // learner: chunk in flight
	chunkSentAt  model.Time // learner: when the chunk was sent
	nextRecord   int        // learner: next record to send
	synced       bool       // it has the whole snapshot
}

// commitAction is something that happens once an operation is committed: a start if
// rec is set, or else an answer.
type commitAction struct {
	seq     uint64
	rec     *record
	start   sched.Start
	waiters []Waiter
	answer  *peerpb.Answer
}

// Shard is one shard at one instance.
type Shard struct {
	env  *Env
	id   ID
	view View
	role Role

	records  map[key]*record
	openJobs map[uint64]*record // jobs without a final answer, by record number
	order    []*record          // by arrival, for snapshots
	expiry   expiryHeap
	floor    model.Time

	seq           uint64 // last operation applied
	promisedEpoch uint64 // operations of lower epochs are refused

	// owner
	log                 []*peerpb.Operation // operations after logBase that a follower lacks
	logBase             uint64
	unsentSince         model.Time // when the oldest unsent operation was appended
	flushDue            bool       // somebody waits for the unsent operations
	followers           []*follower
	onCommit            []commitAction
	sealed              bool   // being handed over: no new claims, starts and operations
	successor           Member // whom it is handed over to
	handoverMessage     *peerpb.HandOver
	deferredSubmissions []deferredSubmission
	deferredResults     []deferredResult
	lastCopyID          uint64   // copies to learners begun
	runners             []Member // they have tasks of an earlier owner in flight

	// releasedEpoch is the epoch in which this replica has promised not to act on
	// the death of its owner, or, at the owner, the epoch in which its replica
	// has promised that.
	releasedEpoch  uint64
	releaseAskedAt model.Time // owner: when the replica was asked for it

	membersDeadSince model.Time // since when all members are known to be dead, 0 if they are not

	// replica
	source    Member // the owner whose operations are applied
	handover  *peerpb.HandOver
	copyID    uint64 // number of the copy
	nextChunk uint32
}

// deferredSubmission is a submission that waits for the end of a hand-over.
type deferredSubmission struct {
	spec   *peerpb.JobSpec
	waiter Waiter
	report bool
}

// deferredResult is a result that came while the shard was sealed.
type deferredResult struct {
	rec *record
	res *peerpb.TaskResult
}

// New returns a shard that nobody holds yet.
func New(env *Env, id ID) *Shard {
	return &Shard{env: env, id: id, records: make(map[key]*record), openJobs: make(map[uint64]*record)}
}

// View returns the latest view that the shard has seen.
func (s *Shard) View() View { return s.view }

// Role returns what this instance is to the shard.
func (s *Shard) Role() Role { return s.role }

// JobCount returns the number of remembered jobs.
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

// setFinal closes a record. The job's part is dropped, so that a start that
// still waits for its intent finds nothing to start.
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

// dropHandles forgets the handles of a job that a later owner has closed while
// tasks of it are in flight here.
func (s *Shard) dropHandles(r *record) {
	if r.job == nil {
		return
	}
	for _, h := range r.job.handles {
		delete(s.env.jobs, h)
	}
}

// setNumber makes an open job known by its record number.
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

// expire forgets final records that are older than the window, or the oldest
// ones while the instance keeps too many bytes. The floor passes every record
// that is forgotten, so that none of them is ever admitted again.
func (s *Shard) expire(now model.Time) {
	if s.sealed {
		return
	}
	s.floor = max(s.floor, now.Add(-s.env.Opts.DedupWindow))
	forgot := false
	var open []*record
	for len(s.expiry) > 0 {
		r := s.expiry[0]
		if r.submitted() >= s.floor && s.env.answerBytes <= s.env.Opts.MaxAnswerBytes {
			break
		}
		heap.Pop(&s.expiry)
		if r.final == nil {
			open = append(open, r)
			continue
		}
		s.floor = max(s.floor, r.submitted().Add(time.Millisecond))
		s.evict(r)
		forgot = true
	}
	for _, r := range open {
		heap.Push(&s.expiry, r)
	}
	s.compact()
	// A later owner has to refuse what this one forgot, whatever its clock says.
	if forgot && s.role == RoleOwner {
		s.appendFloor(now)
	}
}

func (s *Shard) evict(r *record) {
	delete(s.records, r.key)
	s.env.answerBytes -= recordBytes(r)
}

// compact drops forgotten records from the order once they are the majority.
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

// dropUnsyncedLearners gives up snapshots in progress; they begin again later.
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

// Tick advances timers.
func (s *Shard) Tick(now model.Time) {
	if s.role == RoleOwner {
		s.resend(now)
	}
	s.Flush(now)
}

// TickSlow does what need not happen often.
func (s *Shard) TickSlow(now model.Time) {
	s.expire(now)
	s.env.unconfirmed.expire(now)
	s.CheckMembers(now)
	s.requestAllResults(now)
}
