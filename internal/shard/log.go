package shard

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// maxAppendOps limits the operations in one message.
const maxAppendOps = 512

// append appends an already applied operation to the log, without flushing it.
func (s *Shard) append(now model.Time, op *peerpb.Operation) {
	s.seq++
	if len(s.followers) == 0 {
		s.logBase = s.seq
		return
	}
	if len(s.log) == 0 || s.allSent() {
		s.unsentSince = now
	}
	s.log = append(s.log, op)
}

// requestFlush schedules the unsent operations for the next flush.
func (s *Shard) requestFlush() {
	if s.flushDue {
		return
	}
	s.flushDue = true
	s.env.flushQueue = append(s.env.flushQueue, s)
}

// appendAndFlush appends an operation and schedules it for the next flush.
func (s *Shard) appendAndFlush(now model.Time, op *peerpb.Operation) {
	s.append(now, op)
	s.requestFlush()
}

func (s *Shard) appendFloor(now model.Time) {
	s.append(now, &peerpb.Operation{
		Body: &peerpb.Operation_FloorUnixNs{FloorUnixNs: int64(s.floor)},
	})
}

func (s *Shard) allSent() bool {
	for _, f := range s.followers {
		if f.sentSeq < s.seq-1 {
			return false
		}
	}
	return true
}

// committedSeq returns the last operation that every required follower has
// acknowledged.
func (s *Shard) committedSeq() uint64 {
	c := s.seq
	for _, f := range s.followers {
		if f.required {
			c = min(c, f.ackedSeq)
		}
	}
	return c
}

// answerOnCommit sends an answer once operation seq is committed.
func (s *Shard) answerOnCommit(seq uint64, a *peerpb.Answer, waiters ...Waiter) {
	if seq <= s.committedSeq() {
		s.replyAll(a, waiters)
		return
	}
	s.addOnCommit(commitAction{seq: seq, waiters: waiters, answer: a})
}

func (s *Shard) replyAll(a *peerpb.Answer, waiters []Waiter) {
	for _, w := range waiters {
		s.env.reply(w, a)
	}
}

// startOnCommit starts a task once operation seq is committed.
func (s *Shard) startOnCommit(now model.Time, seq uint64, r *record, st sched.Start) {
	if seq <= s.committedSeq() {
		s.start(now, r, st)
		return
	}
	s.addOnCommit(commitAction{seq: seq, rec: r, start: st})
}

// addOnCommit keeps the commit actions ordered by operation.
func (s *Shard) addOnCommit(a commitAction) {
	a.seq = max(a.seq, s.lastOnCommitSeq())
	s.onCommit = append(s.onCommit, a)
	if a.seq > s.sentSeq() {
		s.requestFlush()
	}
}

// sentSeq returns the last operation that was sent to every follower.
func (s *Shard) sentSeq() uint64 {
	n := s.seq
	for _, f := range s.followers {
		n = min(n, f.sentSeq)
	}
	return n
}

func (s *Shard) lastOnCommitSeq() uint64 {
	if n := len(s.onCommit); n > 0 {
		return s.onCommit[n-1].seq
	}
	return 0
}

// runCommitted runs the actions whose operations are committed.
func (s *Shard) runCommitted(now model.Time) {
	for len(s.onCommit) > 0 && s.onCommit[0].seq <= s.committedSeq() {
		a := s.onCommit[0]
		s.onCommit[0] = commitAction{}
		s.onCommit = s.onCommit[1:]
		if a.rec != nil {
			s.start(now, a.rec, a.start)
			continue
		}
		s.replyAll(a.answer, a.waiters)
	}
	s.trim()
}

// trim drops operations that every follower has acknowledged.
func (s *Shard) trim() {
	low := s.seq
	for _, f := range s.followers {
		low = min(low, f.ackedSeq)
	}
	if low > s.logBase {
		acked := low - s.logBase
		clear(s.log[:acked])
		s.log = s.log[acked:]
		s.logBase = low
	}
}

// Flush sends the operations that are due.
func (s *Shard) Flush(now model.Time) {
	if s.role != RoleOwner || len(s.followers) == 0 {
		return
	}
	if s.flushDue || now.Sub(s.unsentSince) >= s.env.Opts.MaxResultDelay {
		s.flush(now)
	}
}

func (s *Shard) flush(now model.Time) {
	s.flushDue = false
	for _, f := range s.followers {
		s.sendLog(now, f)
	}
}

// linkBusy reports whether appends to a follower are in flight, of this shard
// or another. Operations that arrive meanwhile form the next batch.
func (s *Shard) linkBusy(now model.Time) bool {
	for _, f := range s.followers {
		if s.env.linkBusy(now, f.member) {
			return true
		}
	}
	return false
}

// sendLog sends the operations after f.sentSeq.
func (s *Shard) sendLog(now model.Time, f *follower) {
	for f.sentSeq < s.seq {
		from := f.sentSeq - s.logBase
		upto := min(from+maxAppendOps, uint64(len(s.log)))
		s.env.send(f.member.Instance, &peerpb.Message{Body: &peerpb.Message_Append{
			Append: &peerpb.Append{
				Domain:     string(s.id.Domain),
				Shard:      s.id.Index,
				Epoch:      s.view.Epoch,
				FirstSeq:   f.sentSeq + 1,
				Operations: s.log[from:upto],
			},
		}})
		f.sentSeq = s.logBase + upto
		f.sentAt = now
		s.env.appendSent(now, f.member)
	}
}

// resend retransmits unacknowledged operations after a timeout and drops
// learners that no longer acknowledge chunks.
func (s *Shard) resend(now model.Time) {
	stalled := Member{}
	for _, f := range s.followers {
		if f.ackedSeq < f.sentSeq && now.Sub(f.sentAt) >= s.env.Opts.ResendTimeout {
			f.sentSeq = f.ackedSeq
			s.requestFlush()
		}
		if !f.synced && now.Sub(f.chunkSentAt) >= learnerTimeout {
			stalled = f.member
		}
	}
	if stalled != (Member{}) {
		s.dropFollower(now, stalled)
	}
}

// learnerTimeout limits how long a learner may take to acknowledge a chunk.
const learnerTimeout = 4 * time.Second

func (s *Shard) follower(i model.Instance) *follower {
	for _, f := range s.followers {
		if f.member.Instance == i {
			return f
		}
	}
	return nil
}

// HandleAppendAck handles a follower's acknowledgement.
func (s *Shard) HandleAppendAck(now model.Time, from Member, m *peerpb.AppendAck) {
	s.env.appendAcked(from)
	f := s.follower(from.Instance)
	if s.role != RoleOwner || f == nil || f.member != from || m.Epoch != s.view.Epoch {
		return
	}
	if m.Refused {
		// The follower lacks earlier operations, or has promised a later epoch
		// and will never acknowledge this one again.
		f.sentSeq = f.ackedSeq
		return
	}
	if m.Seq > f.ackedSeq && m.Seq <= s.seq {
		f.ackedSeq = m.Seq
		// The operations may have been scheduled for a resend.
		f.sentSeq = max(f.sentSeq, f.ackedSeq)
	}
	s.runCommitted(now)
}
