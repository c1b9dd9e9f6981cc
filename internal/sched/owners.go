package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// adoptAfter is the time for which a domain has been without a live instance
// before the instances of other domains own its servers.
const adoptAfter = 3 * time.Second

// unservedDomain is a failure domain with servers and without a live instance.
type unservedDomain struct {
	domain  model.Domain
	since   model.Time
	adopted bool // other domains own its servers
}

// assign computes the owner of each server: the live instance of the
// server's domain that ranks first by rendezvous hashing, or the one of all
// domains for a domain that has been unserved for some time.
func (s *Scheduler) assign(now model.Time) {
	s.findUnserved(now)
	for _, v := range s.list {
		if s.opts.Mode.EvenSplit {
			s.split(v)
		} else {
			s.setOwner(now, v, s.ownerOf(v))
		}
		s.index.update(v)
	}
}

// findUnserved lists the unserved domains, and keeps since when they are.
func (s *Scheduler) findUnserved(now model.Time) {
	was := s.unserved
	s.unserved = nil
	for _, v := range s.list {
		if s.domainLive(v.Domain) || s.unservedOf(v.Domain) != nil {
			continue
		}
		e := unservedDomain{domain: v.Domain, since: now}
		for _, old := range was {
			if old.domain == v.Domain {
				e = old
			}
		}
		s.unserved = append(s.unserved, e)
	}
}

func (s *Scheduler) unservedOf(d model.Domain) *unservedDomain {
	for i := range s.unserved {
		if s.unserved[i].domain == d {
			return &s.unserved[i]
		}
	}
	return nil
}

// adoptUnserved takes over the servers of domains that stay unserved.
func (s *Scheduler) adoptUnserved(now model.Time) {
	due := false
	for i := range s.unserved {
		e := &s.unserved[i]
		if !e.adopted && now.Sub(e.since) >= adoptAfter {
			e.adopted = true
			due = true
		}
	}
	if due {
		s.assign(now)
	}
}

func (s *Scheduler) setOwner(now model.Time, v *server, owner model.Instance) {
	owned := owner == s.opts.Self
	if owned != v.owned && v.Domain != s.opts.Domain {
		s.setAdopted(now, v, owned)
	}
	if v.owner != owner || owned {
		s.dropLoan(v)
	}
	if v.owned && !owned {
		s.forgetLoans(v)
	}
	v.owner = owner
	v.owned = owned
	v.share = 0
	if owned {
		v.share = v.Slots
	}
}

// setAdopted puts a server of an unserved domain into quarantine, as it may be out
// of reach: the first tasks on it are probes. It leaves quarantine when an
// instance of its domain is back.
func (s *Scheduler) setAdopted(now model.Time, v *server, adopted bool) {
	if v.health.quarantined {
		s.release(v)
	}
	if !adopted {
		return
	}
	v.health.quarantined = true
	v.health.wait = probeAfter / 2
	v.health.probeAt = now
	s.quarantined = append(s.quarantined, v)
}

func (s *Scheduler) ownerOf(v *server) model.Instance {
	e := s.unservedOf(v.Domain)
	anyDomain := e != nil && e.adopted
	var best model.Instance
	var high uint64
	if anyDomain || v.Domain == s.opts.Domain {
		best, high = s.opts.Self, rendezvous(v.ID, s.opts.Self)
	}
	for _, p := range s.live {
		if !anyDomain && p.Domain != v.Domain {
			continue
		}
		h := rendezvous(v.ID, p.ID)
		if best == "" || h > high || (h == high && p.ID < best) {
			best, high = p.ID, h
		}
	}
	return best
}

func rendezvous(v model.ServerID, i model.Instance) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(v))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(i))
	return mix(d.Sum64())
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// split gives this instance its part of a server's slots: an even part of
// all, the rest by rank.
func (s *Scheduler) split(v *server) {
	n := len(s.live) + 1
	own := rendezvous(v.ID, s.opts.Self)
	rank := 0
	for _, p := range s.live {
		if rendezvous(v.ID, p.ID) > own {
			rank++
		}
	}
	v.owned = true
	v.owner = s.opts.Self
	v.share = v.Slots / n
	if rank < v.Slots%n {
		v.share++
	}
}
