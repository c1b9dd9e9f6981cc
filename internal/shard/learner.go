package shard

import (
	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// AddLearner starts copying the shard to an instance. Operations are streamed
// to it meanwhile, so that it is caught up with the last chunk.
func (s *Shard) AddLearner(now model.Time, m Member) {
	if s.role != RoleOwner || s.sealed || s.follower(m.Instance) != nil {
		return
	}
	s.lastCopyID++
	s.followers = append(s.followers, &follower{member: m, ackedSeq: s.seq, sentSeq: s.seq, copyID: s.lastCopyID})
	s.env.send(m.Instance, &peerpb.Message{Body: &peerpb.Message_View{View: s.view.Proto(s.id)}})
	s.sendChunk(now, s.followers[len(s.followers)-1])
}

// sendChunk sends the next chunk of the snapshot. A chunk reflects every
// operation sent before it on the same link.
func (s *Shard) sendChunk(now model.Time, f *follower) {
	f.chunkSentAt = now
	c := &peerpb.Snapshot{
		Domain:      string(s.id.Domain),
		Shard:       s.id.Index,
		Epoch:       s.view.Epoch,
		Seq:         s.seq,
		FloorUnixNs: int64(s.floor),
		Chunk:       f.chunk,
		Learning:    f.copyID,
	}
	size := 0
	for f.nextRecord < len(s.order) && size < s.env.Opts.ChunkBytes {
		r := s.order[f.nextRecord]
		f.nextRecord++
		if s.records[r.key] != r {
			continue
		}
		p := s.recordProto(r)
		size += proto.Size(p)
		c.Records = append(c.Records, p)
	}
	c.Last = f.nextRecord >= len(s.order)
	s.env.send(f.member.Instance, &peerpb.Message{Body: &peerpb.Message_Snapshot{Snapshot: c}})
}

func (s *Shard) recordProto(r *record) *peerpb.JobRecord {
	p := &peerpb.JobRecord{
		Digest: append([]byte(nil), r.digest[:]...),
		Record: r.number,
	}
	if r.job == nil {
		p.Spec = &peerpb.JobSpec{Identity: r.key.identity(s.id.Domain)}
		p.Final = r.final
		return p
	}
	p.Spec = r.job.spec
	p.IntentUpto = r.job.intentUpto
	for _, res := range r.job.results {
		if res != nil {
			p.Results = append(p.Results, res)
		}
	}
	return p
}

// HandleSnapshot applies a chunk at the learner.
func (s *Shard) HandleSnapshot(now model.Time, from Member, m *peerpb.Snapshot) {
	if m.Chunk == 0 {
		s.beginLearning(from, m)
	}
	if s.role != RoleLearner || from != s.source || m.Learning != s.copyID || m.Chunk != s.nextChunk {
		return
	}
	s.nextChunk++
	s.floor = max(s.floor, model.Time(m.FloorUnixNs))
	for _, p := range m.Records {
		s.installRecord(p)
	}
	s.env.send(from.Instance, &peerpb.Message{Body: &peerpb.Message_SnapshotAck{
		SnapshotAck: &peerpb.SnapshotAck{
			Domain: m.Domain,
			Shard:  m.Shard,
			Epoch:  m.Epoch,
			Chunk:  m.Chunk,
			// Tells this copy's acknowledgements from those of an earlier copy.
			Learning: m.Learning,
		},
	}})
}

// beginLearning starts an empty copy. A member never does so: the view relies
// on its records.
func (s *Shard) beginLearning(from Member, m *peerpb.Snapshot) {
	if s.view.Has(s.env.Self) || m.Epoch != s.view.Epoch || from != s.source {
		return
	}
	s.reset()
	s.role = RoleLearner
	s.seq = m.Seq
	s.copyID = m.Learning
	s.nextChunk = 0
}

func (s *Shard) installRecord(p *peerpb.JobRecord) {
	k := keyOf(p.Spec.Identity)
	r := s.records[k]
	if r == nil {
		r = &record{key: k}
		copy(r.digest[:], p.Digest)
		s.addRecord(r)
	}
	if r.final != nil {
		return
	}
	if p.Final != nil {
		s.setFinalEncoded(r, p.Final)
		return
	}
	s.setNumber(r, p.Record)
	r.job = newJob(p.Spec)
	r.job.intentUpto = p.IntentUpto
	for _, res := range p.Results {
		r.job.recordResult(res)
	}
}

// HandleSnapshotAck sends the next chunk or marks the learner as synced.
func (s *Shard) HandleSnapshotAck(now model.Time, from Member, m *peerpb.SnapshotAck) {
	f := s.follower(from.Instance)
	if s.role != RoleOwner || f == nil || f.member != from || f.synced {
		return
	}
	if m.Learning != f.copyID || m.Chunk != f.chunk {
		return
	}
	f.chunk++
	if f.nextRecord >= len(s.order) {
		f.synced = true
		return
	}
	s.sendLog(now, f)
	s.sendChunk(now, f)
}

// HandleSessionReset handles a session reset, in which messages in flight to an
// instance were lost.
func (s *Shard) HandleSessionReset(now model.Time, m Member) {
	f := s.follower(m.Instance)
	if s.role != RoleOwner || f == nil || f.member != m {
		return
	}
	f.sentSeq = f.ackedSeq
	s.requestFlush()
	if s.sealed && s.successor == m {
		s.sendHandover()
	}
	if !f.synced {
		s.dropFollower(now, m)
	}
}
