package core

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// planner is the state of pending changes to the home domain's views.
type planner struct {
	doc          ViewsDoc
	index        uint64
	docKnown     bool // doc has been read
	writePending bool
	readPending  bool
	plannedAt    model.Time

	suspendedAt model.Time // when the latest pause was detected
	// requiredConfirmSeq is the confirmation number of the first confirming
	// write issued after the latest pause, 0 if there was none. The views are
	// valid again once that write or a later one has taken effect: from then
	// on, no write that others based on an earlier document can take effect.
	requiredConfirmSeq uint64
	// lastConfirmSeq is the highest confirmation number of all confirming
	// writes. None is used twice: a write issued before the latest pause may
	// take effect after it and proves nothing about the time since
	// (spec/replication.pml, W_CONFIRM_OLD_WRITE).
	lastConfirmSeq uint64
	// unknownIndex is the index on which a write of unknown outcome was based.
	// While the document is at that index, the write may still take effect.
	unknownIndex   uint64
	outcomeUnknown bool
}

// planInterval is the minimum time between plans that only the passing of time
// triggers.
const planInterval = 100 * time.Millisecond

func (r *Reducer) replan(now model.Time) {
	if now.Sub(r.plan.plannedAt) >= planInterval {
		r.replanNow(now)
	}
}

// replanNow writes the views that the shards propose, in a single write.
func (r *Reducer) replanNow(now model.Time) {
	r.plan.plannedAt = now
	if r.env.Suspended {
		r.writeConfirmation()
		return
	}
	if r.plan.writePending || !r.plan.docKnown {
		return
	}
	doc := r.plan.doc
	doc.Shards = append([]shard.View(nil), doc.Shards...)
	for len(doc.Shards) < len(r.shards) {
		doc.Shards = append(doc.Shards, shard.View{})
	}
	if !r.propose(now, &doc) {
		return
	}
	doc.Instances = r.docInstances(doc)
	r.plan.writePending = true
	r.effects.WriteViews = &WriteViews{Index: r.plan.index, Doc: doc}
}

// propose adds the proposals of all shards to the document and reports whether
// there were any.
func (r *Reducer) propose(now model.Time, doc *ViewsDoc) bool {
	live := r.candidates()
	changed := false
	for i, s := range r.shards {
		p, ok := s.Propose(now, r.targets(live, i))
		if !ok {
			continue
		}
		if p.NeedsPromise {
			s.Promise(p.View.Epoch)
		}
		doc.Shards[i] = p.View
		changed = true
	}
	return changed
}

func (r *Reducer) readViews() {
	if r.plan.readPending {
		return
	}
	r.plan.readPending = true
	r.effects.ReadViews = true
}

// candidates returns the instances of the home domain that can hold shards: this
// one unless it is stopping, and the listed ones that are connected and not
// leaving.
func (r *Reducer) candidates() []shard.Member {
	var list []shard.Member
	if !r.stopping {
		list = append(list, r.opts.Self)
	}
	for _, i := range r.instances {
		stays := i.Domain == r.opts.Domain && !i.Leaving && !r.leaving[i.Member] && i.Member != r.opts.Self
		if stays && r.peers.connected(i.Member) {
			list = append(list, i.Member)
		}
	}
	return list
}

// targets ranks the candidates for a shard by rendezvous hashing (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998).
func (r *Reducer) targets(live []shard.Member, index int) shard.Targets {
	var t shard.Targets
	var first, second uint64
	for _, m := range live {
		w := xxhash.Sum64String(string(m.Instance) + "/" + strconv.Itoa(index))
		switch {
		case t.Owner == (shard.Member{}) || w > first:
			t.Replica, second = t.Owner, first
			t.Owner, first = m, w
		case t.Replica == (shard.Member{}) || w > second:
			t.Replica, second = m, w
		}
	}
	if !r.opts.Replicate {
		t.Replica = shard.Member{}
	}
	return t
}

// docInstances returns the addresses of all members that the views name.
func (r *Reducer) docInstances(doc ViewsDoc) []InstanceInfo {
	named := make(map[shard.Member]bool)
	for _, v := range doc.Shards {
		for _, m := range v.Members {
			named[m] = true
		}
	}
	var list []InstanceInfo
	if named[r.opts.Self] {
		list = append(list, InstanceInfo{
			Member: r.opts.Self,
			Domain: r.opts.Domain,
			Addr:   r.opts.Addr,
			// Never lowered.
			ConfirmSeq: r.ownConfirmSeq(),
		})
		named[r.opts.Self] = false
	}
	for _, known := range [][]InstanceInfo{r.plan.doc.Instances, r.instances} {
		for _, i := range known {
			if named[i.Member] {
				list = append(list, i)
				named[i.Member] = false
			}
		}
	}
	return list
}

func (r *Reducer) ownConfirmSeq() uint64 {
	if own := r.ownInfo(); own != nil {
		return own.ConfirmSeq
	}
	return 0
}

func (r *Reducer) viewsWritten(now model.Time, e ViewsWritten) {
	r.plan.writePending = false
	switch e.Outcome {
	case WriteApplied:
		r.setViews(now, Views{Domain: r.opts.Domain, Index: e.Index, Doc: e.Doc})
	case WriteFailed:
		r.abandonHandovers(now)
		r.readViews()
	case WriteUnknown:
		r.plan.outcomeUnknown = true
		r.plan.unknownIndex = r.plan.index
		r.readViews()
	default:
		r.readViews()
	}
}

// abandonHandovers ends handovers that were certainly not written. An earlier
// write of unknown outcome on the same index may still take effect.
func (r *Reducer) abandonHandovers(now model.Time) {
	if r.plan.outcomeUnknown {
		return
	}
	for _, s := range r.shards {
		s.AbandonHandover(now)
	}
}
