package shard

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// ID identifies a shard of a home failure domain.
type ID struct {
	Domain model.Domain
	Index  uint32
}

// Member is one incarnation of an instance.
type Member struct {
	Instance    model.Instance    `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// View is the membership of a shard in one epoch. Members[0] is the owner, the
// second member, if any, the replica. Identities submitted before Floor are not
// admitted.
type View struct {
	Epoch   uint64     `json:"epoch"`
	Members []Member   `json:"members"`
	Floor   model.Time `json:"floor"`
}

// Has reports whether m is a member.
func (v View) Has(m Member) bool {
	for _, x := range v.Members {
		if x == m {
			return true
		}
	}
	return false
}

// Owner returns the owner, or the zero Member of an empty view.
func (v View) Owner() Member {
	if len(v.Members) == 0 {
		return Member{}
	}
	return v.Members[0]
}

// Proto returns the view as a peer message.
func (v View) Proto(id ID) *peerpb.View {
	p := &peerpb.View{
		Domain:      string(id.Domain),
		Shard:       id.Index,
		Epoch:       v.Epoch,
		FloorUnixNs: int64(v.Floor),
	}
	for _, m := range v.Members {
		p.Members = append(p.Members, memberProto(m))
	}
	return p
}

// ViewFromProto is the inverse of View.Proto.
func ViewFromProto(p *peerpb.View) View {
	v := View{Epoch: p.Epoch, Floor: model.Time(p.FloorUnixNs)}
	for _, m := range p.Members {
		v.Members = append(v.Members, memberFromProto(m))
	}
	return v
}

func memberProto(m Member) *peerpb.Member {
	return &peerpb.Member{
		Instance:    string(m.Instance),
		Incarnation: string(m.Incarnation),
	}
}

func memberFromProto(p *peerpb.Member) Member {
	return Member{
		Instance:    model.Instance(p.GetInstance()),
		Incarnation: model.Incarnation(p.GetIncarnation()),
	}
}

// Liveness is the state of a member as its latest connection attempts show it.
type Liveness uint8

// Values of Liveness.
const (
	// Alive is also the state of members without evidence.
	Alive Liveness = iota
	// Silent means that a connection attempt went unanswered for the silence
	// bound. The process may only be paused.
	Silent
	// Dead is proof that the incarnation is permanently gone: its address
	// refuses connections or answers with another incarnation.
	Dead
)

// Peers reports the liveness of members.
type Peers interface {
	Liveness(m Member) Liveness
}

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"none", "learner", "replica", "owner"}[r]
}
