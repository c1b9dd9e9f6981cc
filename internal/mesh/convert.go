package mesh

import (
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/fleetpb"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Config is the operator's encoded configuration, sent to members that request it.
type Config struct{ Data []byte }

func memberToPB(m fleet.Member) *fleetpb.Member {
	return &fleetpb.Member{
		Instance: string(m.Instance), Incarnation: string(m.Incarnation), Domain: string(m.Domain),
		Addr: m.Addr, Weight: m.Weight,
	}
}

func memberFromPB(m *fleetpb.Member) fleet.Member {
	return fleet.Member{
		Instance: model.Instance(m.GetInstance()), Incarnation: model.Incarnation(m.GetIncarnation()),
		Domain: model.Domain(m.GetDomain()), Addr: m.GetAddr(), Weight: m.GetWeight(),
	}
}

// encode converts a message to its wire form.
func encode(m any) (*fleetpb.Message, error) {
	out := &fleetpb.Message{}
	switch m := m.(type) {
	case fleet.Heartbeat:
		out.Body = &fleetpb.Message_Beat{Beat: heartbeatToPB(m)}
	case fleet.Offer:
		out.Body = &fleetpb.Message_Offer{Offer: &fleetpb.Offer{
			Call: uint64(m.Call), Job: fleetpb.FromJob(&m.Job), AgeNs: int64(m.Age), Final: m.AllowQueue, EchoNs: int64(m.Echo),
		}}
	case fleet.Withdraw:
		out.Body = &fleetpb.Message_Withdraw{Withdraw: &fleetpb.Withdraw{
			Call: uint64(m.Call), OwnerInstance: string(m.Owner.Instance), OwnerIncarnation: string(m.Owner.Incarnation),
			Job: m.Job, AgeNs: int64(m.Age),
		}}
	case fleet.Outcome:
		out.Body = &fleetpb.Message_Outcome{Outcome: &fleetpb.Outcome{
			Call: uint64(m.Call), Result: int32(m.Result.Kind), Reason: string(m.Result.Reason),
			RetryAfterNs: int64(m.Result.RetryAfter), Bounced: m.Declined, Load: loadToPB(m.Load),
			Attempt: m.Attempt, PartsMillicores: m.OffloadedMilli,
		}}
	case fleet.Resync:
		r := &fleetpb.Resync{Reply: m.Reply}
		for _, c := range m.Calls {
			r.Calls = append(r.Calls, uint64(c))
		}
		out.Body = &fleetpb.Message_Resync{Resync: r}
	case fleet.JobEnded:
		out.Body = &fleetpb.Message_Ended{Ended: &fleetpb.JobEnded{Id: m.ID, State: int32(m.State)}}
	case fleet.ConfigRequest:
		out.Body = &fleetpb.Message_AskConfig{AskConfig: &fleetpb.AskConfig{Have: m.HaveVersion}}
	case fleet.JobsReleased:
		out.Body = &fleetpb.Message_Released{Released: &fleetpb.JobsReleased{}}
	case fleet.OwnersUpdate:
		out.Body = &fleetpb.Message_Owners{Owners: ownersToPB(m)}
	case fleet.ServersUpdate:
		out.Body = &fleetpb.Message_Servers{Servers: fleetpb.FromServerChanges(m.ServerChanges)}
	case Config:
		packed, err := compress(m.Data)
		if err != nil {
			return nil, err
		}
		out.Body = &fleetpb.Message_Config{Config: &fleetpb.Config{Packed: packed}}
	default:
		return nil, errors.Errorf("no wire encoding for %T", m)
	}
	return out, nil
}

// decode converts a wire message to a fleet.Message or a Config.
func decode(m *fleetpb.Message) (any, error) {
	switch b := m.GetBody().(type) {
	case *fleetpb.Message_Beat:
		return heartbeatFromPB(b.Beat), nil
	case *fleetpb.Message_Offer:
		o := fleet.Offer{
			Call: fleet.CallID(b.Offer.GetCall()), Job: b.Offer.GetJob().Decode(),
			Age: time.Duration(b.Offer.GetAgeNs()), AllowQueue: b.Offer.GetFinal(), Echo: fleet.Time(b.Offer.GetEchoNs()),
		}
		return o, errors.Wrap(o.Job.Check(), "offer")
	case *fleetpb.Message_Withdraw:
		return fleet.Withdraw{
			Call:  fleet.CallID(b.Withdraw.GetCall()),
			Owner: fleet.Member{Instance: model.Instance(b.Withdraw.GetOwnerInstance()), Incarnation: model.Incarnation(b.Withdraw.GetOwnerIncarnation())},
			Job:   b.Withdraw.GetJob(), Age: time.Duration(b.Withdraw.GetAgeNs()),
		}, nil
	case *fleetpb.Message_Outcome:
		return outcomeFromPB(b.Outcome), nil
	case *fleetpb.Message_Resync:
		r := fleet.Resync{Reply: b.Resync.GetReply()}
		for _, c := range b.Resync.GetCalls() {
			r.Calls = append(r.Calls, fleet.CallID(c))
		}
		return r, nil
	case *fleetpb.Message_Ended:
		return fleet.JobEnded{ID: b.Ended.GetId(), State: fleet.JobState(b.Ended.GetState())}, nil
	case *fleetpb.Message_Released:
		return fleet.JobsReleased{}, nil
	case *fleetpb.Message_Owners:
		return ownersFromPB(b.Owners), nil
	case *fleetpb.Message_Servers:
		return fleet.ServersUpdate{ServerChanges: b.Servers.Decode()}, nil
	case *fleetpb.Message_AskConfig:
		return fleet.ConfigRequest{HaveVersion: b.AskConfig.GetHave()}, nil
	case *fleetpb.Message_Config:
		data, err := decompress(b.Config.GetPacked())
		return Config{Data: data}, err
	}
	return nil, errors.New("unknown message type; run the same version on all instances")
}

func ownersToPB(m fleet.OwnersUpdate) *fleetpb.Owners {
	b := &fleetpb.Owners{}
	for _, o := range m.Owners {
		x := &fleetpb.Ownership{
			Server: string(o.Server), Owner: string(o.Owner), Incarnation: string(o.Incarnation), Revision: o.Revision, Rank: int32(o.Rank),
		}
		for _, s := range o.Successors {
			x.Successors = append(x.Successors, &fleetpb.Successor{Instance: string(s.Instance), Incarnation: string(s.Incarnation)})
		}
		b.Owners = append(b.Owners, x)
	}
	return b
}

func ownersFromPB(b *fleetpb.Owners) fleet.OwnersUpdate {
	var m fleet.OwnersUpdate
	for _, o := range b.GetOwners() {
		x := fleet.Ownership{
			Server: model.ServerID(o.GetServer()), Owner: model.Instance(o.GetOwner()),
			Incarnation: model.Incarnation(o.GetIncarnation()), Revision: o.GetRevision(), Rank: int(o.GetRank()),
		}
		for _, s := range o.GetSuccessors() {
			x.Successors = append(x.Successors, fleet.Successor{Instance: model.Instance(s.GetInstance()), Incarnation: model.Incarnation(s.GetIncarnation())})
		}
		m.Owners = append(m.Owners, x)
	}
	return m
}

func heartbeatToPB(m fleet.Heartbeat) *fleetpb.Beat {
	b := &fleetpb.Beat{
		Leaving: m.Leaving, ConfigVersion: m.ConfigVersion, HeardNs: int64(m.LastReceivedAge), PartsMillicores: m.OffloadedMilli, Keeps: m.DurableInUse,
		SentAtNs: int64(m.SentAt), EchoNs: int64(m.Echo), Busy: m.Busy, StoreUp: m.StoreUp,
		RenewedAtNs: int64(m.RenewedAt), EvacuationRevision: m.EvacuationRevision,
	}
	for _, d := range m.Evacuated {
		b.Evacuated = append(b.Evacuated, string(d))
	}
	for _, x := range m.Inquiries {
		b.Inquiries = append(b.Inquiries, memberToPB(x))
	}
	for _, r := range m.Reports {
		b.Reports = append(b.Reports, &fleetpb.MemberReport{Subject: memberToPB(r.Subject), Presence: int32(r.Presence)})
	}
	for _, c := range m.Pending {
		b.Pending = append(b.Pending, &fleetpb.RouteCount{Route: c.Route, Count: int32(c.Count)})
	}
	for _, l := range m.Loads {
		b.Loads = append(b.Loads, loadToPB(l))
	}
	if m.OpenCalls != nil {
		b.OpenCalls = &fleetpb.OpenCalls{Jobs: m.OpenCalls.Jobs}
	}
	return b
}

func heartbeatFromPB(b *fleetpb.Beat) fleet.Heartbeat {
	m := fleet.Heartbeat{
		Leaving: b.GetLeaving(), ConfigVersion: b.GetConfigVersion(), LastReceivedAge: time.Duration(b.GetHeardNs()),
		OffloadedMilli: b.GetPartsMillicores(), DurableInUse: b.GetKeeps(),
		SentAt: fleet.Time(b.GetSentAtNs()), Echo: fleet.Time(b.GetEchoNs()), Busy: b.GetBusy(), StoreUp: b.GetStoreUp(),
		RenewedAt: fleet.Time(b.GetRenewedAtNs()), EvacuationRevision: b.GetEvacuationRevision(),
	}
	for _, d := range b.GetEvacuated() {
		m.Evacuated = append(m.Evacuated, model.Domain(d))
	}
	for _, x := range b.GetInquiries() {
		m.Inquiries = append(m.Inquiries, memberFromPB(x))
	}
	for _, r := range b.GetReports() {
		m.Reports = append(m.Reports, fleet.MemberReport{Subject: memberFromPB(r.GetSubject()), Presence: fleet.Presence(r.GetPresence())})
	}
	for _, c := range b.GetPending() {
		m.Pending = append(m.Pending, fleet.RouteCount{Route: c.GetRoute(), Count: int(c.GetCount())})
	}
	for _, l := range b.GetLoads() {
		m.Loads = append(m.Loads, loadFromPB(l))
	}
	if b.OpenCalls != nil {
		m.OpenCalls = &fleet.OpenCalls{Jobs: b.GetOpenCalls().GetJobs()}
	}
	return m
}

func loadToPB(l fleet.Load) *fleetpb.Load {
	return &fleetpb.Load{
		Service: l.Service, Servers: int32(l.Servers), CapacityMillicores: l.CapacityMilli,
		FreeMillicores: l.FreeMilli, WaitNs: int64(l.ExpectedWait), Waiting: int32(l.QueuedTasks), Staged: int32(l.StagedTasks),
	}
}

func loadFromPB(l *fleetpb.Load) fleet.Load {
	return fleet.Load{
		Service: l.GetService(), Servers: int(l.GetServers()), CapacityMilli: l.GetCapacityMillicores(),
		FreeMilli: l.GetFreeMillicores(), ExpectedWait: time.Duration(l.GetWaitNs()), QueuedTasks: int(l.GetWaiting()), StagedTasks: int(l.GetStaged()),
	}
}

func outcomeFromPB(o *fleetpb.Outcome) fleet.Outcome {
	return fleet.Outcome{
		Call: fleet.CallID(o.GetCall()), Declined: o.GetBounced(), Load: loadFromPB(o.GetLoad()),
		Attempt: o.GetAttempt(), OffloadedMilli: o.GetPartsMillicores(),
		Result: fleet.Result{
			Kind: fleet.ResultKind(o.GetResult()), Reason: fleet.Reason(o.GetReason()),
			RetryAfter: time.Duration(o.GetRetryAfterNs()),
		},
	}
}
