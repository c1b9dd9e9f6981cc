package core

import (
	"maps"
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// relay exchanges views between instances while the platform is unreachable.
//
// Views from peers only serve to route requests to an owner. They are kept
// apart from the views of the shards, so that they make this instance neither
// owner nor replica, confirm nothing and prove no process dead. An instance
// that they wrongly name as owner answers that it is not.
type relay struct {
	platformDown bool                          // the platform is unreachable
	newest       map[model.Domain]Views        // newest known views, from any source
	fromPeers    map[model.Domain][]shard.View // views from peers that were newer than the platform's on arrival
	lastPeer     int                           // index of the peer asked last
}

func newRelay() relay {
	return relay{
		platformDown: true,
		newest:       make(map[model.Domain]Views),
		fromPeers:    make(map[model.Domain][]shard.View),
	}
}

// setPlatformViews stores views read from the platform. They replace the views
// from peers unless those are newer.
func (y *relay) setPlatformViews(v Views) {
	if v.Index < y.newest[v.Domain].Index {
		return
	}
	y.newest[v.Domain] = v
	delete(y.fromPeers, v.Domain)
}

// newer returns the view of a shard that peers sent if it is newer than v, and
// v otherwise.
func (y *relay) newer(id shard.ID, v shard.View) shard.View {
	views := y.fromPeers[id.Domain]
	if int(id.Index) < len(views) && views[id.Index].Epoch > v.Epoch {
		return views[id.Index]
	}
	return v
}

// requestViewsFromNextPeer asks the peers round-robin while the platform is
// unreachable.
func (r *Reducer) requestViewsFromNextPeer() {
	up := r.schedPeers()
	if len(up) == 0 {
		return
	}
	r.relay.lastPeer = (r.relay.lastPeer + 1) % len(up)
	r.requestViews(up[r.relay.lastPeer].ID)
}

// requestViews asks one peer for newer views if the platform is unreachable.
func (r *Reducer) requestViews(peer model.Instance) {
	if !r.relay.platformDown {
		return
	}
	m := &peerpb.ViewsRequest{}
	for _, d := range slices.Sorted(maps.Keys(r.relay.newest)) {
		m.Held = append(m.Held, &peerpb.HeldViews{
			Domain: string(d),
			Index:  r.relay.newest[d].Index,
		})
	}
	r.send(peer, &peerpb.Message{Body: &peerpb.Message_ViewsRequest{ViewsRequest: m}})
}

// sendNewerViews replies with the views that are newer than those a peer holds.
func (r *Reducer) sendNewerViews(to shard.Member, m *peerpb.ViewsRequest) {
	held := make(map[model.Domain]uint64, len(m.Held))
	for _, h := range m.Held {
		held[model.Domain(h.Domain)] = h.Index
	}
	for _, d := range slices.Sorted(maps.Keys(r.relay.newest)) {
		v := r.relay.newest[d]
		if v.Index <= held[d] {
			continue
		}
		r.send(to.Instance, &peerpb.Message{
			Body: &peerpb.Message_DomainViews{DomainViews: viewsProto(v)},
		})
	}
}

// handlePeerViews stores views received from a peer.
func (r *Reducer) handlePeerViews(now model.Time, p *peerpb.DomainViews) {
	v := viewsFromProto(p)
	if v.Index <= r.relay.newest[v.Domain].Index {
		return
	}
	r.relay.newest[v.Domain] = v
	r.relay.fromPeers[v.Domain] = r.routableViews(v.Doc)
	for _, i := range v.Doc.Instances {
		if i.Addr != r.opts.Addr {
			r.peers.learn(i)
		}
	}
	for i := range v.Doc.Shards {
		r.reroute(now, shard.ID{Domain: v.Domain, Index: uint32(i)})
	}
}

// routableViews returns the views without the members that previously listened
// at this instance's address, as nothing can be sent to them.
func (r *Reducer) routableViews(doc ViewsDoc) []shard.View {
	gone := make(map[shard.Member]bool)
	for _, i := range doc.Instances {
		if i.Addr == r.opts.Addr && i.Member != r.opts.Self {
			gone[i.Member] = true
		}
	}
	views := slices.Clone(doc.Shards)
	for n, v := range views {
		views[n].Members = slices.DeleteFunc(slices.Clone(v.Members), func(m shard.Member) bool {
			return gone[m]
		})
	}
	return views
}

func viewsProto(v Views) *peerpb.DomainViews {
	p := &peerpb.DomainViews{Domain: string(v.Domain), Index: v.Index}
	for _, i := range v.Doc.Instances {
		p.Members = append(p.Members, &peerpb.MemberAddr{
			Instance:    string(i.Member.Instance),
			Incarnation: string(i.Member.Incarnation),
			Domain:      string(i.Domain),
			Addr:        i.Addr,
		})
	}
	for n, s := range v.Doc.Shards {
		p.Shards = append(p.Shards, s.Proto(shard.ID{Domain: v.Domain, Index: uint32(n)}))
	}
	return p
}

func viewsFromProto(p *peerpb.DomainViews) Views {
	v := Views{Domain: model.Domain(p.Domain), Index: p.Index}
	for _, m := range p.Members {
		v.Doc.Instances = append(v.Doc.Instances, InstanceInfo{
			Member: shard.Member{
				Instance:    model.Instance(m.Instance),
				Incarnation: model.Incarnation(m.Incarnation),
			},
			Domain: model.Domain(m.Domain),
			Addr:   m.Addr,
		})
	}
	for _, s := range p.Shards {
		v.Doc.Shards = append(v.Doc.Shards, shard.ViewFromProto(s))
	}
	return v
}
