package tablesync

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Reach is how far a version has propagated in one failure domain.
type Reach string

// Values of Reach.
const (
	ReachInForce Reach = "in force" // at every live instance
	ReachPending Reach = "pending"  // not yet at every live instance
	ReachCutOff  Reach = "cut off"  // no instance announced itself recently
)

// InstanceStatus is the last known state of one instance.
type InstanceStatus struct {
	ID       model.Instance `json:"id"`
	Version  uint64         `json:"version"` // in force there at its last announcement
	Silent   bool           `json:"silent"`
	Watching bool           `json:"watching"`
}

// DomainStatus is the last known state of one failure domain.
type DomainStatus struct {
	Domain    model.Domain     `json:"domain"`
	Reach     Reach            `json:"reach"`
	Version   uint64           `json:"version"` // in force at every instance that is not silent
	Instances []InstanceStatus `json:"instances"`
}

// Status returns, for each failure domain in the order of the settings, how far
// a version has propagated as far as this instance knows.
func (c *Core) Status(now model.Time, version uint64) []DomainStatus {
	list := make([]DomainStatus, 0, len(c.opts.Domains))
	for _, d := range c.opts.Domains {
		list = append(list, c.domainStatus(now, d, version))
	}
	return list
}

func (c *Core) domainStatus(now model.Time, d model.Domain, version uint64) DomainStatus {
	s := DomainStatus{Domain: d, Reach: ReachCutOff}
	if d == c.opts.Domain {
		s.add(InstanceStatus{ID: c.opts.Self, Version: c.snap.Version(), Watching: c.watchOK})
	}
	for _, p := range c.peers {
		if p.Domain == d {
			s.add(InstanceStatus{ID: p.ID, Version: p.version, Silent: p.silent(now), Watching: p.watching})
		}
	}
	if s.Reach == ReachPending && s.Version >= version {
		s.Reach = ReachInForce
	}
	return s
}

// silent reports whether a peer has not announced itself for too long. A new
// peer gets the same time, because its first announcement may be lost while the
// link comes up; it must not count as cut off then.
func (p peer) silent(now model.Time) bool {
	return now.Sub(p.heardAt) >= silentAfter
}

func (s *DomainStatus) add(i InstanceStatus) {
	s.Instances = append(s.Instances, i)
	if i.Silent {
		return
	}
	if s.Reach == ReachCutOff {
		s.Reach = ReachPending
		s.Version = i.Version
	}
	s.Version = min(s.Version, i.Version)
}
