package core

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// planner is the state of the changes to the home domain's views.
type planner struct {
	doc     Doc
	index   uint64
	known   bool // doc was read
	writing bool
	reading bool
	planAt  model.Time

	suspendedAt model.Time // when the latest pause was noticed
	// confirmed is the counter of the latest confirming write that was issued
	// after the latest pause, 0 if there was none. The views count again once
	// it is known to have taken effect: from then on no write that others
	// based on an earlier document can take effect any more.
	confirmed uint64
	// unknownAt is the index on which a write was based whose outcome is not
	// known. While the document has that index the write may still land.
	unknownAt uint64
	unknown   bool
}

// planInterval is the least time between two plans that nothing but the
// passing of time has caused.
const planInterval = 100 * time.Millisecond

// setViews installs a document. Views only ever go forward, whatever the
// order in which documents come.
func (r *Reducer) setViews(now model.Time, v Views) {
	if v.Domain != r.opts.Domain {
		r.installForeign(now, v)
		return
	}
	if v.ReadAt != 0 {
		r.plan.reading = false
	}
	if !r.plan.known || v.Index > r.plan.index {
		r.plan.known = true
		r.plan.index = v.Index
		r.plan.doc = v.Doc
	}
	if r.plan.unknown && r.plan.index > r.plan.unknownAt {
		r.plan.unknown = false
	}
	for _, i := range v.Doc.Instances {
		r.peers.learn(i)
	}
	r.installOwn(now, v.Doc.Shards)
	r.resume(now, v.ReadAt)
	r.replanNow(now)
}

// resume ends a suspension. An instance that the views name needs its
// confirming write in the document; one that they do not name holds nothing
// that others could have replaced, so that a read after the pause will do.
func (r *Reducer) resume(now model.Time, readAt model.Time) {
	if !r.env.Suspended || !r.confirmedBy(readAt) {
		return
	}
	r.env.Suspended = false
	r.note(Note{Kind: NoteResumed})
	r.checkMembers(now)
	r.bindHeld(now)
}

func (r *Reducer) confirmedBy(readAt model.Time) bool {
	own := r.ownInfo()
	if own == nil {
		return readAt != 0 && readAt >= r.plan.suspendedAt
	}
	return r.plan.confirmed != 0 && own.Confirm >= r.plan.confirmed
}

// ownInfo returns this instance's entry in the document, or nil.
func (r *Reducer) ownInfo() *InstanceInfo {
	for i := range r.plan.doc.Instances {
		if r.plan.doc.Instances[i].Member == r.opts.Self {
			return &r.plan.doc.Instances[i]
		}
	}
	return nil
}

// confirm writes the document with a higher counter of this instance.
func (r *Reducer) confirm() {
	own := r.ownInfo()
	if own == nil || !r.plan.known {
		r.readViews()
		return
	}
	if r.plan.writing {
		return
	}
	doc := r.plan.doc
	doc.Instances = append([]InstanceInfo(nil), doc.Instances...)
	r.plan.confirmed = max(own.Confirm, r.plan.confirmed) + 1
	for i := range doc.Instances {
		if doc.Instances[i].Member == r.opts.Self {
			doc.Instances[i].Confirm = r.plan.confirmed
		}
	}
	r.plan.writing = true
	r.out.WriteViews = &WriteViews{Index: r.plan.index, Doc: doc}
}

func (r *Reducer) checkMembers(now model.Time) {
	for _, s := range r.own {
		s.CheckMembers(now)
	}
}

func (r *Reducer) installOwn(now model.Time, views []shard.View) {
	for i, v := range views {
		if i >= len(r.own) {
			return
		}
		s := r.own[i]
		before := s.View().Epoch
		s.InstallView(now, v)
		if s.View().Epoch != before {
			r.note(Note{
				Kind:   NoteViewChanged,
				Domain: r.opts.Domain,
				Shard:  uint32(i),
				Epoch:  v.Epoch,
				Member: v.Owner(),
			})
			r.reroute(now, shard.ID{Domain: r.opts.Domain, Index: uint32(i)})
		}
	}
}

func (r *Reducer) installForeign(now model.Time, v Views) {
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

// viewFromOwner installs a view that the owner passes on ahead of the
// platform's watch.
func (r *Reducer) viewFromOwner(now model.Time, p *peerpb.View) {
	s := r.shard(p.Domain, p.Shard)
	if s == nil {
		return
	}
	s.InstallView(now, shard.ViewFromProto(p))
	r.reroute(now, shard.ID{Domain: r.opts.Domain, Index: p.Shard})
}

func (r *Reducer) setInstances(now model.Time, list []InstanceInfo) {
	r.instances = list
	keep := make(map[string]bool)
	for _, i := range list {
		r.peers.learn(i)
		keep[i.Addr] = true
	}
	for _, i := range r.plan.doc.Instances {
		keep[i.Addr] = true
	}
	for _, s := range r.own {
		for _, m := range s.Runners() {
			keep[r.peers.addrOf(m)] = true
		}
	}
	r.peers.forget(keep)
	r.replanNow(now)
}

func (r *Reducer) peerUp(now model.Time, e PeerUp) {
	if r.peers.answered(e) == nil {
		return
	}
	if e.Reset {
		for _, s := range r.own {
			s.PeerReset(now, e.Member)
		}
		r.rerouteFrom(now, e.Member)
		r.noticeReset(e.Member)
	}
	r.peersChanged(now)
}

func (r *Reducer) peerDown(now model.Time, addr string) {
	if l := r.peers.links[addr]; l != nil {
		l.lose(now)
	}
	r.replan(now)
}

func (r *Reducer) peerRefused(now model.Time, e PeerRefused) {
	r.peers.refused(e)
	r.peersChanged(now)
}

// peersChanged applies new knowledge of who is alive.
func (r *Reducer) peersChanged(now model.Time) {
	r.checkMembers(now)
	list := r.schedPeers()
	r.sched.SetPeers(now, list)
	r.out.Peers = list
	r.rerouteDead(now)
	r.replanNow(now)
}

func (r *Reducer) replan(now model.Time) {
	if now.Sub(r.plan.planAt) >= planInterval {
		r.replanNow(now)
	}
}

// replanNow writes the views that the shards propose, all in one write.
func (r *Reducer) replanNow(now model.Time) {
	r.plan.planAt = now
	if r.env.Suspended {
		r.confirm()
		return
	}
	if r.plan.writing || !r.plan.known {
		return
	}
	doc := r.plan.doc
	doc.Shards = append([]shard.View(nil), doc.Shards...)
	for len(doc.Shards) < len(r.own) {
		doc.Shards = append(doc.Shards, shard.View{})
	}
	if !r.propose(now, &doc) {
		return
	}
	doc.Instances = r.docInstances(doc)
	r.plan.writing = true
	r.out.WriteViews = &WriteViews{Index: r.plan.index, Doc: doc}
}

// propose puts the proposals of all shards into the document and reports
// whether there were any.
func (r *Reducer) propose(now model.Time, doc *Doc) bool {
	live := r.candidates()
	changed := false
	for i, s := range r.own {
		p, ok := s.Propose(now, r.targets(live, i))
		if !ok {
			continue
		}
		if p.Promise {
			s.Promise(p.View.Epoch)
		}
		doc.Shards[i] = p.View
		changed = true
	}
	return changed
}

func (r *Reducer) readViews() {
	if r.plan.reading {
		return
	}
	r.plan.reading = true
	r.out.ReadViews = true
}

// candidates returns the instances of the home domain that can hold shards:
// those that are listed as staying and that answer.
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
	if !r.opts.Replica {
		t.Replica = shard.Member{}
	}
	return t
}

// docInstances returns the addresses of all members that the views name.
func (r *Reducer) docInstances(doc Doc) []InstanceInfo {
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
			// The counter is only ever raised.
			Confirm: r.ownConfirm(),
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

func (r *Reducer) ownConfirm() uint64 {
	if own := r.ownInfo(); own != nil {
		return own.Confirm
	}
	return 0
}

func (r *Reducer) viewsWritten(now model.Time, e ViewsWritten) {
	r.plan.writing = false
	switch e.Outcome {
	case WriteApplied:
		r.setViews(now, Views{Domain: r.opts.Domain, Index: e.Index, Doc: e.Doc})
	case WriteFailed:
		r.abandon(now)
		r.readViews()
	case WriteUnknown:
		r.plan.unknown = true
		r.plan.unknownAt = r.plan.index
		r.readViews()
	default:
		r.readViews()
	}
}

// abandon ends hand-overs that were certainly not written. An earlier write of
// unknown outcome on the same index may still land.
func (r *Reducer) abandon(now model.Time) {
	if r.plan.unknown {
		return
	}
	for _, s := range r.own {
		s.Abandon(now)
	}
}

func (r *Reducer) schedPeers() []sched.Peer {
	list := []sched.Peer{}
	for _, a := range r.peers.order {
		l := r.peers.links[a]
		if l.up {
			list = append(list, sched.Peer{ID: l.member.Instance, Domain: l.info.Domain})
		}
	}
	return list
}

func (r *Reducer) stop(now model.Time) {
	r.stopping = true
	r.env.Leaving = true
	r.replanNow(now)
}

// OpenJobs returns the number of jobs that a stopping instance has to finish.
func (r *Reducer) OpenJobs() int { return r.env.OpenJobs() }

// Unhanded returns the number of shards with records that a stopping instance
// has still to hand over. Those that it can't hand over in time are not lost
// if they have a replica, which acts once this process is gone.
func (r *Reducer) Unhanded() int {
	n := 0
	for _, s := range r.own {
		if s.Role() == shard.RoleOwner && s.Jobs() > 0 {
			n++
		}
	}
	return n
}
