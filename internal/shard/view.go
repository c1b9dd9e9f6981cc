package shard

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// ID names a shard of a home failure domain.
type ID struct {
	Domain model.Domain
	Index  uint32
}

// Member is one process start of an instance.
type Member struct {
	Instance    model.Instance    `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// View names who holds a shard. Members[0] is the owner, a second member is
// its replica. Identities first submitted before Floor are not admitted.
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

// Owner returns the first member, or the zero Member of an empty view.
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

// Liveness is what fresh connections to a member have shown.
type Liveness uint8

// Values of Liveness.
const (
	// Alive also stands for members that nothing is known about.
	Alive Liveness = iota
	// Silent means unanswered for the silence bound. The process may be
	// paused and may come back.
	Silent
	// Dead is proof that the incarnation is gone for ever: its address
	// refuses connections or answers with another incarnation.
	Dead
)

// Peers tells the liveness of members.
type Peers interface {
	Liveness(m Member) Liveness
}

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"none", "learner", "replica", "owner"}[r]
}
