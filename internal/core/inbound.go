package core

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

func (r *Reducer) peerMessage(now model.Time, from shard.Member, m *peerpb.Message) {
	switch b := m.Body.(type) {
	case *peerpb.Message_Submit:
		m := b.Submit
		r.peerRequest(now, from, m.Request, CallerRequest{Op: OpSubmit, Spec: m.Spec, ReportAdmission: m.ReportAdmission})
	case *peerpb.Message_Answer:
		r.handleAnswer(now, from, b.Answer)
	case *peerpb.Message_Lookup:
		m := b.Lookup
		r.peerRequest(now, from, m.Request, CallerRequest{Op: OpLookup, Identity: m.Identity, Wait: m.Wait})
	case *peerpb.Message_Cancel:
		m := b.Cancel
		r.peerRequest(now, from, m.Request, CallerRequest{Op: OpCancel, Identity: m.Identity})
	case *peerpb.Message_ViewsRequest:
		r.sendNewerViews(from, b.ViewsRequest)
	case *peerpb.Message_DomainViews:
		r.handlePeerViews(now, b.DomainViews)
	case *peerpb.Message_Sched:
		r.sched.Receive(now, from.Instance, b.Sched)
	default:
		r.shardMessage(now, from, m)
	}
}

func (r *Reducer) shardMessage(now model.Time, from shard.Member, m *peerpb.Message) {
	switch b := m.Body.(type) {
	case *peerpb.Message_Append:
		if s := r.shard(b.Append.Domain, b.Append.Shard); s != nil {
			s.HandleAppend(now, from, b.Append)
		}
	case *peerpb.Message_AppendAck:
		if s := r.shard(b.AppendAck.Domain, b.AppendAck.Shard); s != nil {
			s.HandleAppendAck(now, from, b.AppendAck)
		}
	case *peerpb.Message_Snapshot:
		if s := r.shard(b.Snapshot.Domain, b.Snapshot.Shard); s != nil {
			s.HandleSnapshot(now, from, b.Snapshot)
		}
	case *peerpb.Message_SnapshotAck:
		if s := r.shard(b.SnapshotAck.Domain, b.SnapshotAck.Shard); s != nil {
			s.HandleSnapshotAck(now, from, b.SnapshotAck)
		}
	case *peerpb.Message_View:
		r.handleOwnerView(now, b.View)
	case *peerpb.Message_HandOver:
		if b.HandOver.Leaving {
			// The platform's list shows this only later. Until then, shards
			// would be handed back to the leaving instance.
			r.leaving[from] = true
		}
		if s := r.shard(b.HandOver.Domain, b.HandOver.Shard); s != nil {
			s.HandleHandOver(from, b.HandOver)
		}
	case *peerpb.Message_Release:
		if s := r.shard(b.Release.Domain, b.Release.Shard); s != nil {
			s.HandleRelease(now, from, b.Release)
		}
	case *peerpb.Message_RemoteResult:
		if s := r.shard(b.RemoteResult.Domain, b.RemoteResult.Shard); s != nil {
			s.HandleRemoteResult(now, b.RemoteResult)
		}
	case *peerpb.Message_RemoteAsk:
		if s := r.shard(b.RemoteAsk.Domain, b.RemoteAsk.Shard); s != nil {
			s.HandleRemoteAsk(now, from, b.RemoteAsk)
		}
	}
}
