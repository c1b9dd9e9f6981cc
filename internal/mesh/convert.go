package mesh

import (
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/fleetpb"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Config is the operator's configuration as the store holds it, passed on to
// members that ask for it.
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

// encode returns the wire form of a message.
func encode(m any) (*fleetpb.Message, error) {
	out := &fleetpb.Message{}
	switch m := m.(type) {
	case fleet.Beat:
		out.Body = &fleetpb.Message_Beat{Beat: beatToPB(m)}
	case fleet.Offer:
		out.Body = &fleetpb.Message_Offer{Offer: &fleetpb.Offer{
			Call: uint64(m.Call), Job: fleetpb.FromJob(&m.Job), AgeNs: int64(m.Age), Final: m.Final,
		}}
	case fleet.Withdraw:
		out.Body = &fleetpb.Message_Withdraw{Withdraw: &fleetpb.Withdraw{Call: uint64(m.Call)}}
	case fleet.Outcome:
		out.Body = &fleetpb.Message_Outcome{Outcome: &fleetpb.Outcome{
			Call: uint64(m.Call), Result: int32(m.Result.Kind), Reason: string(m.Result.Reason),
			RetryAfterNs: int64(m.Result.RetryAfter), Bounced: m.Bounced, Load: loadToPB(m.Load),
			Attempt: m.Attempt, PartsMillicores: m.Parts,
		}}
	case fleet.Resync:
		r := &fleetpb.Resync{Reply: m.Reply}
		for _, c := range m.Calls {
			r.Calls = append(r.Calls, uint64(c))
		}
		out.Body = &fleetpb.Message_Resync{Resync: r}
	case fleet.JobEnded:
		out.Body = &fleetpb.Message_Ended{Ended: &fleetpb.JobEnded{Id: m.ID, State: int32(m.State)}}
	case fleet.AskConfig:
		out.Body = &fleetpb.Message_AskConfig{AskConfig: &fleetpb.AskConfig{Have: m.Have}}
	case fleet.JobsReleased:
		out.Body = &fleetpb.Message_Released{Released: &fleetpb.JobsReleased{}}
	case fleet.OwnersTold:
		out.Body = &fleetpb.Message_Owners{Owners: ownersToPB(m)}
	case fleet.ServersTold:
		out.Body = &fleetpb.Message_Servers{Servers: fleetpb.FromServerChanges(m.ServerChanges)}
	case Config:
		packed, err := pack(m.Data)
		if err != nil {
			return nil, err
		}
		out.Body = &fleetpb.Message_Config{Config: &fleetpb.Config{Packed: packed}}
	default:
		return nil, errors.Errorf("no wire form of %T", m)
	}
	return out, nil
}

// decode returns the message of a wire form: a fleet.Message or a Config.
func decode(m *fleetpb.Message) (any, error) {
	switch b := m.GetBody().(type) {
	case *fleetpb.Message_Beat:
		return beatFromPB(b.Beat), nil
	case *fleetpb.Message_Offer:
		return fleet.Offer{
			Call: fleet.CallID(b.Offer.GetCall()), Job: b.Offer.GetJob().Decode(),
			Age: time.Duration(b.Offer.GetAgeNs()), Final: b.Offer.GetFinal(),
		}, nil
	case *fleetpb.Message_Withdraw:
		return fleet.Withdraw{Call: fleet.CallID(b.Withdraw.GetCall())}, nil
	case *fleetpb.Message_Outcome:
		return outcomeFromPB(b.Outcome), nil
	case *fleetpb.Message_Resync:
		r := fleet.Resync{Reply: b.Resync.GetReply()}
		for _, c := range b.Resync.GetCalls() {
			r.Calls = append(r.Calls, fleet.CallID(c))
		}
		return r, nil
	case *fleetpb.Message_Ended:
		return fleet.JobEnded{ID: b.Ended.GetId(), State: fleet.KeptState(b.Ended.GetState())}, nil
	case *fleetpb.Message_Released:
		return fleet.JobsReleased{}, nil
	case *fleetpb.Message_Owners:
		return ownersFromPB(b.Owners), nil
	case *fleetpb.Message_Servers:
		return fleet.ServersTold{ServerChanges: b.Servers.Decode()}, nil
	case *fleetpb.Message_AskConfig:
		return fleet.AskConfig{Have: b.AskConfig.GetHave()}, nil
	case *fleetpb.Message_Config:
		data, err := unpack(b.Config.GetPacked())
		return Config{Data: data}, err
	}
	return nil, errors.New("message of an unknown type; run the same version on all instances")
}

func ownersToPB(m fleet.OwnersTold) *fleetpb.Owners {
	b := &fleetpb.Owners{}
	for _, o := range m.Owners {
		b.Owners = append(b.Owners, &fleetpb.Ownership{
			Server: string(o.Server), Owner: string(o.Owner), Incarnation: string(o.Life), Revision: o.Revision,
		})
	}
	return b
}

func ownersFromPB(b *fleetpb.Owners) fleet.OwnersTold {
	var m fleet.OwnersTold
	for _, o := range b.GetOwners() {
		m.Owners = append(m.Owners, fleet.Ownership{
			Server: model.ServerID(o.GetServer()), Owner: model.Instance(o.GetOwner()),
			Life: model.Incarnation(o.GetIncarnation()), Revision: o.GetRevision(),
		})
	}
	return m
}

func beatToPB(m fleet.Beat) *fleetpb.Beat {
	b := &fleetpb.Beat{
		Leaving: m.Leaving, ConfigVersion: m.Config, HeardNs: int64(m.Heard), PartsMillicores: m.Parts, Keeps: m.Keeps,
		SentAtNs: int64(m.SentAt), EchoNs: int64(m.Echo), Busy: m.Busy, StoreUp: m.StoreUp,
	}
	for _, c := range m.Pending {
		b.Pending = append(b.Pending, &fleetpb.RouteCount{Route: c.Route, Count: int32(c.Count)})
	}
	for _, l := range m.Loads {
		b.Loads = append(b.Loads, loadToPB(l))
	}
	return b
}

func beatFromPB(b *fleetpb.Beat) fleet.Beat {
	m := fleet.Beat{
		Leaving: b.GetLeaving(), Config: b.GetConfigVersion(), Heard: time.Duration(b.GetHeardNs()),
		Parts: b.GetPartsMillicores(), Keeps: b.GetKeeps(),
		SentAt: fleet.Time(b.GetSentAtNs()), Echo: fleet.Time(b.GetEchoNs()), Busy: b.GetBusy(), StoreUp: b.GetStoreUp(),
	}
	for _, c := range b.GetPending() {
		m.Pending = append(m.Pending, fleet.RouteCount{Route: c.GetRoute(), Count: int(c.GetCount())})
	}
	for _, l := range b.GetLoads() {
		m.Loads = append(m.Loads, loadFromPB(l))
	}
	return m
}

func loadToPB(l fleet.Load) *fleetpb.Load {
	return &fleetpb.Load{
		Service: l.Service, Servers: int32(l.Servers), CapacityMillicores: l.Capacity,
		FreeMillicores: l.Free, WaitNs: int64(l.Wait), Waiting: int32(l.Waiting), Staged: int32(l.Staged),
	}
}

func loadFromPB(l *fleetpb.Load) fleet.Load {
	return fleet.Load{
		Service: l.GetService(), Servers: int(l.GetServers()), Capacity: l.GetCapacityMillicores(),
		Free: l.GetFreeMillicores(), Wait: time.Duration(l.GetWaitNs()), Waiting: int(l.GetWaiting()), Staged: int(l.GetStaged()),
	}
}

func outcomeFromPB(o *fleetpb.Outcome) fleet.Outcome {
	return fleet.Outcome{
		Call: fleet.CallID(o.GetCall()), Bounced: o.GetBounced(), Load: loadFromPB(o.GetLoad()),
		Attempt: o.GetAttempt(), Parts: o.GetPartsMillicores(),
		Result: fleet.Result{
			Kind: fleet.ResultKind(o.GetResult()), Reason: fleet.Reason(o.GetReason()),
			RetryAfter: time.Duration(o.GetRetryAfterNs()),
		},
	}
}
