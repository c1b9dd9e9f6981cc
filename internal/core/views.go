package core

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// setViews installs a document. Views never go back to an earlier epoch, in
// whatever order documents arrive.
func (r *Reducer) setViews(now model.Time, v Views) {
	r.relay.setPlatformViews(v)
	if v.Domain != r.opts.Domain {
		r.installOtherDomain(now, v)
		return
	}
	if v.ReadAt != 0 {
		r.plan.readPending = false
	}
	for _, i := range v.Doc.Instances {
		r.peers.learn(i)
	}
	if !r.plan.docKnown || v.Index > r.plan.index {
		r.plan.docKnown = true
		r.plan.index = v.Index
		r.plan.doc = v.Doc
	}
	if r.plan.outcomeUnknown && r.plan.index > r.plan.unknownIndex {
		r.plan.outcomeUnknown = false
	}
	r.installHomeViews(now, v.Doc.Shards)
	r.resume(now, v.ReadAt)
	r.replanNow(now)
}

// installView installs a view and reports whether it was new. A new view
// discards earlier evidence of silence of its members: while no view names an
// instance, it may resume after a pause without a confirming write
// (spec/replication.pml, W_SILENCE_FIRST).
func (r *Reducer) installView(now model.Time, s *shard.Shard, v shard.View) bool {
	before := s.View().Epoch
	if v.Epoch > before {
		for _, m := range v.Members {
			r.peers.resetSilence(m)
		}
	}
	s.InstallView(now, v)
	return s.View().Epoch != before
}

func (r *Reducer) installHomeViews(now model.Time, views []shard.View) {
	for i, v := range views {
		if i >= len(r.shards) {
			return
		}
		if r.installView(now, r.shards[i], v) {
			r.notify(Notification{
				Kind:   NotifyViewChanged,
				Domain: r.opts.Domain,
				Shard:  uint32(i),
				Epoch:  v.Epoch,
				Member: v.Owner(),
			})
			r.reroute(now, shard.ID{Domain: r.opts.Domain, Index: uint32(i)})
		}
	}
}

func (r *Reducer) installOtherDomain(now model.Time, v Views) {
	for _, i := range v.Doc.Instances {
		r.peers.learn(i)
	}
	views := r.views[v.Domain]
	for i, n := range v.Doc.Shards {
		if i >= len(views) {
			views = append(views, shard.View{})
		}
		if n.Epoch <= views[i].Epoch {
			continue
		}
		views[i] = n
		r.views[v.Domain] = views
		r.reroute(now, shard.ID{Domain: v.Domain, Index: uint32(i)})
	}
}

// handleOwnerView installs a view that the owner sends ahead of the platform's
// watch.
func (r *Reducer) handleOwnerView(now model.Time, p *peerpb.View) {
	s := r.shard(p.Domain, p.Shard)
	if s == nil {
		return
	}
	r.installView(now, s, shard.ViewFromProto(p))
	r.reroute(now, shard.ID{Domain: r.opts.Domain, Index: p.Shard})
}
