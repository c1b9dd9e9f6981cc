package shard

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// HandleAppend applies the owner's operations and acknowledges them.
func (s *Shard) HandleAppend(now model.Time, from Member, m *peerpb.Append) {
	if !s.follows(from, m.Epoch) || m.FirstSeq > s.seq+1 {
		s.ack(from, m.Epoch, true)
		return
	}
	for i, op := range m.Operations {
		if m.FirstSeq+uint64(i) == s.seq+1 {
			s.seq++
			s.apply(op)
		}
	}
	s.ack(from, m.Epoch, false)
}

// follows reports whether this instance accepts operations from an owner. After
// promising a takeover it accepts no operation of an older epoch, as the old
// owner may start any task whose intent is acknowledged.
func (s *Shard) follows(from Member, epoch uint64) bool {
	if s.role != RoleReplica && s.role != RoleLearner {
		return false
	}
	return from == s.source && epoch == s.view.Epoch && epoch >= s.promisedEpoch
}

func (s *Shard) ack(to Member, epoch uint64, refused bool) {
	s.env.send(to.Instance, &peerpb.Message{Body: &peerpb.Message_AppendAck{
		AppendAck: &peerpb.AppendAck{
			Domain:  string(s.id.Domain),
			Shard:   s.id.Index,
			Epoch:   epoch,
			Seq:     s.seq,
			Refused: refused,
		},
	}})
}

// apply applies one operation. A learner may lack the record that it names; the
// chunk that brings the record is built later and reflects the operation.
func (s *Shard) apply(op *peerpb.Operation) {
	switch b := op.Body.(type) {
	case *peerpb.Operation_Claim:
		s.applyClaim(b.Claim)
	case *peerpb.Operation_Intent:
		if r := s.openJobs[b.Intent.Record]; r != nil {
			r.job.intentUpto = b.Intent.Upto
		}
	case *peerpb.Operation_Result:
		if r := s.openJobs[b.Result.Record]; r != nil {
			s.applyResult(r, b.Result.Result)
		}
	case *peerpb.Operation_Final:
		if r := s.openJobs[b.Final.Record]; r != nil {
			s.setFinal(r, b.Final.Answer)
		}
	case *peerpb.Operation_Refusal:
		s.applyRefusal(b.Refusal)
	case *peerpb.Operation_FloorUnixNs:
		s.floor = max(s.floor, model.Time(b.FloorUnixNs))
	}
}

func (s *Shard) applyClaim(spec *peerpb.JobSpec) {
	k := keyOf(spec.Identity)
	if _, ok := s.records[k]; ok {
		return
	}
	r := &record{key: k, digest: digestOf(spec), job: newJob(spec)}
	s.addRecord(r)
	s.setNumber(r, s.seq)
}

func (s *Shard) applyRefusal(p *peerpb.Refusal) {
	k := keyOf(p.Identity)
	if _, ok := s.records[k]; ok {
		return
	}
	r := &record{key: k}
	copy(r.digest[:], p.Digest)
	s.addRecord(r)
	s.setFinal(r, p.Answer)
}

func (s *Shard) applyResult(r *record, res *peerpb.TaskResult) {
	r.job.recordResult(res)
	if a := r.job.completeAnswer(); a != nil {
		s.setFinal(r, a)
	}
}

// openRecord returns the record of a job without a final answer, or nil.
func (s *Shard) openRecord(id *peerpb.Identity) *record {
	r := s.records[keyOf(id)]
	if r == nil || r.job == nil {
		return nil
	}
	return r
}
