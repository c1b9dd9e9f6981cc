package sched

import (
	"github.com/cespare/xxhash/v2"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// assign computes the owner of each server: the live instance of the
// server's domain that ranks first by rendezvous hashing.
func (s *Scheduler) assign(now model.Time) {
	for _, v := range s.list {
		if s.opts.Mode.EvenSplit {
			s.split(v)
		} else {
			s.setOwner(v, s.ownerOf(v))
		}
		s.index.update(v)
	}
}

func (s *Scheduler) setOwner(v *server, owner model.Instance) {
	owned := owner == s.opts.Self
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

func (s *Scheduler) ownerOf(v *server) model.Instance {
	var best model.Instance
	var high uint64
	if v.Domain == s.opts.Domain {
		best, high = s.opts.Self, rendezvous(v.ID, s.opts.Self)
	}
	for _, p := range s.live {
		if p.Domain != v.Domain {
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
