package core

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

func (r *Reducer) checkMembers(now model.Time) {
	for _, s := range r.shards {
		s.CheckMembers(now)
	}
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
	for _, s := range r.shards {
		for _, m := range s.Runners() {
			keep[r.peers.addrOf(m)] = true
		}
	}
	r.peers.prune(keep)
	r.listed = true
	r.relay.platformDown = false
	r.replanNow(now)
}

// countInstances reports how many instances may be alive, once the platform has
// listed them. An unreachable instance counts until the platform no longer
// lists it, as it may still use backend servers.
func (r *Reducer) countInstances() {
	n := 1 + len(r.peers.order)
	if !r.listed || n == r.lastInstanceCount {
		return
	}
	r.lastInstanceCount = n
	r.effects.InstanceCount = n
}

func (r *Reducer) peerUp(now model.Time, e PeerUp) {
	if r.peers.handleUp(e) == nil {
		return
	}
	if e.SessionReset {
		for _, s := range r.shards {
			s.HandleSessionReset(now, e.Member)
		}
		r.rerouteFrom(now, e.Member)
		r.sendLinkReset(e.Member)
		r.requestViews(e.Member.Instance)
	}
	r.peersChanged(now)
}

func (r *Reducer) peerDown(now model.Time, addr string) {
	if l := r.peers.links[addr]; l != nil {
		l.markDown(now)
	}
	r.replan(now)
}

func (r *Reducer) peerRefused(now model.Time, e PeerRefused) {
	r.peers.handleRefused(e)
	r.peersChanged(now)
}

// peersChanged applies a change in the liveness of peers.
func (r *Reducer) peersChanged(now model.Time) {
	r.checkMembers(now)
	list := r.schedPeers()
	r.sched.SetPeers(now, list)
	r.effects.Peers = list
	r.rerouteDead(now)
	r.replanNow(now)
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

// OpenJobs returns the number of jobs that a stopping instance has yet to
// finish.
func (r *Reducer) OpenJobs() int { return r.env.OpenJobs() }

// OwnedShards returns the number of shards that this instance owns.
func (r *Reducer) OwnedShards() int {
	n := 0
	for _, s := range r.shards {
		if s.Role() == shard.RoleOwner {
			n++
		}
	}
	return n
}

// PendingHandovers returns the number of shards with records that a stopping
// instance has yet to hand over. A shard that is not handed over in time is not
// lost if it has a replica, which takes over when this process is gone.
func (r *Reducer) PendingHandovers() int {
	n := 0
	for _, s := range r.shards {
		if s.Role() == shard.RoleOwner && s.JobCount() > 0 {
			n++
		}
	}
	return n
}
