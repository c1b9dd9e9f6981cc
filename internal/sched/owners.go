package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// adoptionDelay is how long a domain is without a live instance before
// instances of other domains own its servers.
const adoptionDelay = 3 * time.Second

// orphanedDomain is a failure domain with servers but no live instance.
type orphanedDomain struct {
	domain  model.Domain
	since   model.Time
	adopted bool // its servers are owned by other domains
}

// assignOwners determines the owner of each server by rendezvous hashing over
// the live instances of its domain, or over those of all domains if its domain
// has been orphaned for adoptionDelay.
func (s *Scheduler) assignOwners(now model.Time) {
	s.updateOrphaned(now)
	for _, v := range s.serverList {
		if s.opts.Mode.EvenSplit {
			s.splitEvenly(v)
		} else {
			s.setOwner(now, v, s.ownerOf(v))
		}
		s.index.update(v)
	}
}

// updateOrphaned recomputes the orphaned domains. Those that stay orphaned keep
// their start time.
func (s *Scheduler) updateOrphaned(now model.Time) {
	previous := s.orphaned
	s.orphaned = nil
	for _, v := range s.serverList {
		if s.domainLive(v.Domain) || s.findOrphaned(v.Domain) != nil {
			continue
		}
		e := orphanedDomain{domain: v.Domain, since: now}
		for _, old := range previous {
			if old.domain == v.Domain {
				e = old
			}
		}
		s.orphaned = append(s.orphaned, e)
	}
}

func (s *Scheduler) findOrphaned(d model.Domain) *orphanedDomain {
	for i := range s.orphaned {
		if s.orphaned[i].domain == d {
			return &s.orphaned[i]
		}
	}
	return nil
}

// adoptOrphaned takes over the servers of domains that stay orphaned.
func (s *Scheduler) adoptOrphaned(now model.Time) {
	due := false
	for i := range s.orphaned {
		e := &s.orphaned[i]
		if !e.adopted && now.Sub(e.since) >= adoptionDelay {
			e.adopted = true
			due = true
		}
	}
	if due {
		s.assignOwners(now)
	}
}

func (s *Scheduler) setOwner(now model.Time, v *server, owner model.Instance) {
	owned := owner == s.opts.Self
	if owned != v.owned && v.Domain != s.opts.Domain {
		s.setAdopted(now, v, owned)
	}
	if v.owner != owner || owned {
		s.returnLoan(v)
	}
	if v.owned && !owned {
		s.revokeLoans(v)
	}
	v.owner = owner
	v.owned = owned
	v.ownedSlots = 0
	if owned {
		v.ownedSlots = v.Slots
	}
}

// setAdopted quarantines a server of an orphaned domain, since it may be
// unreachable: its first tasks are probes. The quarantine ends when an
// instance of its domain returns.
func (s *Scheduler) setAdopted(now model.Time, v *server, adopted bool) {
	if v.health.quarantined {
		s.releaseServer(v)
	}
	if !adopted {
		return
	}
	v.health.quarantined = true
	v.health.probeDelay = minProbeDelay / 2
	v.health.probeAt = now
	s.quarantined = append(s.quarantined, v)
}

func (s *Scheduler) ownerOf(v *server) model.Instance {
	e := s.findOrphaned(v.Domain)
	anyDomain := e != nil && e.adopted
	var best model.Instance
	var high uint64
	if anyDomain || v.Domain == s.opts.Domain {
		best, high = s.opts.Self, rendezvousHash(v.ID, s.opts.Self)
	}
	for _, p := range s.livePeers {
		if !anyDomain && p.Domain != v.Domain {
			continue
		}
		h := rendezvousHash(v.ID, p.ID)
		if best == "" || h > high || (h == high && p.ID < best) {
			best, high = p.ID, h
		}
	}
	return best
}

func rendezvousHash(v model.ServerID, i model.Instance) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(v))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(i))
	return mixBits(d.Sum64())
}

// mixBits spreads the bits of a hash.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// splitEvenly gives this instance an even share of a server's slots; the
// remainder goes by rank.
func (s *Scheduler) splitEvenly(v *server) {
	n := len(s.livePeers) + 1
	own := rendezvousHash(v.ID, s.opts.Self)
	rank := 0
	for _, p := range s.livePeers {
		if rendezvousHash(v.ID, p.ID) > own {
			rank++
		}
	}
	v.owned = true
	v.owner = s.opts.Self
	v.ownedSlots = v.Slots / n
	if rank < v.Slots%n {
		v.ownedSlots++
	}
}
