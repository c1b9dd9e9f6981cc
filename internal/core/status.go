package core

import (
	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// SchedulerStats returns the gauges of the scheduler.
func (r *Reducer) SchedulerStats() sched.Stats { return r.sched.Stats() }

// Status returns the state of this instance and its view of its domain.
func (r *Reducer) Status() *api.InstanceStatus {
	s := &api.InstanceStatus{
		Instance:    string(r.opts.Self.Instance),
		Incarnation: string(r.opts.Self.Incarnation),
		Domain:      string(r.opts.Domain),
		Suspended:   r.env.Suspended,
		Stopping:    r.stopping,
		OpenJobs:    r.env.OpenJobs(),
	}
	for _, a := range r.peers.order {
		s.Peers = append(s.Peers, r.peerStatus(r.peers.links[a]))
	}
	for i, sh := range r.shards {
		s.Shards = append(s.Shards, r.shardStatus(i, sh))
		s.Jobs += sh.JobCount()
	}
	return s
}

func (r *Reducer) peerStatus(l *link) api.PeerStatus {
	p := api.PeerStatus{
		Instance: string(l.info.Member.Instance),
		Domain:   string(l.info.Domain),
		Addr:     l.info.Addr,
		State:    "connecting",
	}
	switch {
	case l.up:
		p.State = "up"
	case r.peers.Liveness(l.info.Member) == shard.Silent:
		p.State = "silent"
	}
	return p
}

func (r *Reducer) shardStatus(i int, s *shard.Shard) api.ShardStatus {
	v := s.View()
	st := api.ShardStatus{
		Shard: i,
		Epoch: v.Epoch,
		Owner: string(v.Owner().Instance),
		Role:  s.Role().String(),
		Jobs:  s.JobCount(),
	}
	if len(v.Members) > 1 && r.peers.Liveness(v.Members[1]) == shard.Alive {
		st.Replica = string(v.Members[1].Instance)
	}
	return st
}
