package shard

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// maxAppendOps bounds the operations in one message.
const maxAppendOps = 512

// append adds an operation that nobody waits for. It is applied already.
func (s *Shard) append(now model.Time, op *peerpb.Operation) {
	s.seq++
	if len(s.followers) == 0 {
		s.logBase = s.seq
		return
	}
	if len(s.log) == 0 || s.allSent() {
		s.logSince = now
	}
	s.log = append(s.log, op)
}

// markUrgent has the operations sent with the next flush.
func (s *Shard) markUrgent() {
	if s.urgent {
		return
	}
	s.urgent = true
	s.env.dirty = append(s.env.dirty, s)
}

// appendUrgent adds an operation that is sent with the next flush.
func (s *Shard) appendUrgent(now model.Time, op *peerpb.Operation) {
	s.append(now, op)
	s.markUrgent()
}

func (s *Shard) appendFloor(now model.Time) {
	s.append(now, &peerpb.Operation{
		Body: &peerpb.Operation_FloorUnixNs{FloorUnixNs: int64(s.floor)},
	})
}

func (s *Shard) allSent() bool {
	for _, f := range s.followers {
		if f.sent < s.seq-1 {
			return false
		}
	}
	return true
}

// committed returns the last operation that every required follower holds.
func (s *Shard) committed() uint64 {
	c := s.seq
	for _, f := range s.followers {
		if f.required {
			c = min(c, f.acked)
		}
	}
	return c
}

// answerAfter gives an answer once operation seq is committed.
func (s *Shard) answerAfter(seq uint64, a *peerpb.Answer, waiters ...Waiter) {
	if seq <= s.committed() {
		s.answer(a, waiters)
		return
	}
	s.addWait(wait{seq: seq, waiters: waiters, answer: a})
}

func (s *Shard) answer(a *peerpb.Answer, waiters []Waiter) {
	for _, w := range waiters {
		s.env.reply(w, a)
	}
}

// startAfter starts a task once operation seq is committed.
func (s *Shard) startAfter(now model.Time, seq uint64, r *record, st sched.Start) {
	if seq <= s.committed() {
		s.start(now, r, st)
		return
	}
	s.addWait(wait{seq: seq, rec: r, start: st})
}

// addWait keeps the waits in the order of their operations.
func (s *Shard) addWait(w wait) {
	w.seq = max(w.seq, s.lastWait())
	s.waits = append(s.waits, w)
	if w.seq > s.sent() {
		s.markUrgent()
	}
}

// sent returns the last operation that was sent to every follower.
func (s *Shard) sent() uint64 {
	n := s.seq
	for _, f := range s.followers {
		n = min(n, f.sent)
	}
	return n
}

func (s *Shard) lastWait() uint64 {
	if n := len(s.waits); n > 0 {
		return s.waits[n-1].seq
	}
	return 0
}

// advance runs what has become committed.
func (s *Shard) advance(now model.Time) {
	for len(s.waits) > 0 && s.waits[0].seq <= s.committed() {
		w := s.waits[0]
		s.waits[0] = wait{}
		s.waits = s.waits[1:]
		if w.rec != nil {
			s.start(now, w.rec, w.start)
			continue
		}
		s.answer(w.answer, w.waiters)
	}
	s.trim()
}

// trim drops operations that every follower holds.
func (s *Shard) trim() {
	low := s.seq
	for _, f := range s.followers {
		low = min(low, f.acked)
	}
	if low > s.logBase {
		held := low - s.logBase
		clear(s.log[:held])
		s.log = s.log[held:]
		s.logBase = low
	}
}

// Flush sends operations that are due.
func (s *Shard) Flush(now model.Time) {
	if s.role != RoleOwner || len(s.followers) == 0 {
		return
	}
	if s.urgent || now.Sub(s.logSince) >= s.env.Opts.MaxResultDelay {
		s.flush(now)
	}
}

func (s *Shard) flush(now model.Time) {
	s.urgent = false
	for _, f := range s.followers {
		s.sendLog(now, f)
	}
}

// linkBusy reports whether operations to a follower are under way, of this
// shard or another. Those that come meanwhile make the next batch.
func (s *Shard) linkBusy(now model.Time) bool {
	for _, f := range s.followers {
		if s.env.linkBusy(now, f.member) {
			return true
		}
	}
	return false
}

// sendLog sends the operations after f.sent.
func (s *Shard) sendLog(now model.Time, f *follower) {
	for f.sent < s.seq {
		from := f.sent - s.logBase
		upto := min(from+maxAppendOps, uint64(len(s.log)))
		s.env.send(f.member.Instance, &peerpb.Message{Body: &peerpb.Message_Append{
			Append: &peerpb.Append{
				Domain:     string(s.id.Domain),
				Shard:      s.id.Index,
				Epoch:      s.view.Epoch,
				FirstSeq:   f.sent + 1,
				Operations: s.log[from:upto],
			},
		}})
		f.sent = s.logBase + upto
		f.sentAt = now
		s.env.sentOn(now, f.member)
	}
}

// resend sends unacknowledged operations again after a time, and gives up
// learners that have stopped asking for chunks.
func (s *Shard) resend(now model.Time) {
	stalled := Member{}
	for _, f := range s.followers {
		if f.acked < f.sent && now.Sub(f.sentAt) >= s.env.Opts.ResendTimeout {
			f.sent = f.acked
			s.markUrgent()
		}
		if !f.synced && now.Sub(f.chunkAt) >= learnerTimeout {
			stalled = f.member
		}
	}
	if stalled != (Member{}) {
		s.dropFollower(now, stalled)
	}
}

// learnerTimeout is how long a learner may take to ask for the next chunk.
const learnerTimeout = 4 * time.Second

func (s *Shard) follower(i model.Instance) *follower {
	for _, f := range s.followers {
		if f.member.Instance == i {
			return f
		}
	}
	return nil
}

// HandleAppendAck takes a follower's acknowledgement.
func (s *Shard) HandleAppendAck(now model.Time, from Member, m *peerpb.AppendAck) {
	s.env.ackedOn(from)
	f := s.follower(from.Instance)
	if s.role != RoleOwner || f == nil || f.member != from || m.Epoch != s.view.Epoch {
		return
	}
	if m.Refused {
		// The follower lacks earlier operations, or has promised a later
		// epoch and never acknowledges this one again.
		f.sent = f.acked
		return
	}
	if m.Seq > f.acked && m.Seq <= s.seq {
		f.acked = m.Seq
		// It may have been marked to be sent again.
		f.sent = max(f.sent, f.acked)
	}
	s.advance(now)
}
