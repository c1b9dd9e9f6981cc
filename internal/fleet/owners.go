package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Limits for the assignment of backend servers to instances.
const (
	// serversPerCore is how many servers an owner can serve per core: starts, ends and
	// polls at peak load take about a fifth of the core.
	serversPerCore = 60
	// minServersPerOwner is the number of servers in a domain that justifies another
	// owner: fewer servers pack wide jobs badly.
	minServersPerOwner = 12
	// incumbentBonus is the factor by which another member must be stronger than an
	// owner to replace it, as servers that change owners stand idle briefly.
	incumbentBonus = 2
	// startupDelay is how long a starting instance listens for others before it claims
	// servers.
	startupDelay = 300 * time.Millisecond
	// claimTimeout is when the reducer gives up on an unanswered claim; the call times
	// out earlier.
	claimTimeout = 3 * time.Second
	// maxServersPerClaim is limited by the store's 32 entries per transaction, two for
	// each server.
	maxServersPerClaim = 16
	// maxReclaims is the number of claims in progress at once for the servers of an earlier
	// incarnation: those of an owner in a large deployment.
	maxReclaims = 3
	// maxSurplusServers is how many servers above its share an owner keeps.
	maxSurplusServers = 2
	// planIntervalPerServer limits how often ticks trigger a plan in large fleets. Plans
	// on ticks respond to members that have become silent, which causes no event.
	planIntervalPerServer = 500 * time.Microsecond
	// rebalanceInterval is the minimum time between releases of surplus servers.
	rebalanceInterval = 2 * time.Second
)

// owners decides which backend servers this instance claims and releases.
type owners struct {
	self      Member
	startedAt Time
	effect    func(Effect)

	entries  map[model.ServerID]ServerEntry    // shared with the server list
	byDomain map[model.Domain][]model.ServerID // in this cell, sorted
	domains  []model.Domain                    // with servers in this cell, sorted
	known    map[model.ServerID]Ownership
	fenced   map[model.ServerID]uint64 // highest token that a server has refused
	// evacuations of the fleet: servers of evacuated domains keep their owners, but serve no job.
	evacuations *evacuations
	loaded      bool // the store's ownerships have been read
	// stale holds the token under which a server of this instance has restarted. Orders
	// under it may still reach the new life, so it is replaced by a higher one.
	stale map[model.ServerID]uint64

	claims          int // unanswered
	claimedAt       Time
	nextRebalanceAt Time
	plannedAt       Time // last plan on a tick
}

func newOwners(self Member, list *serverList, now Time, effect func(Effect)) *owners {
	return &owners{self: self, startedAt: now, effect: effect, entries: list.entries, known: map[model.ServerID]Ownership{}, fenced: map[model.ServerID]uint64{}, stale: map[model.ServerID]uint64{}}
}

// merge applies ownerships that are not older than the known ones. One that was found
// absent has no revision of its own; whoever has written it since shows by a conflict.
func (o *owners) merge(list []Ownership) {
	for _, x := range list {
		old := o.known[x.Server]
		if x.Absent && x.Revision <= old.Revision {
			x.Revision, x.Rank = old.Revision, old.Rank
		}
		if x.Token() >= old.Token() {
			o.known[x.Server] = x
		}
	}
}

// canServe reports whether the servers of a member could run all steps of a job.
func (o *owners) canServe(m Member, j *JobSpec) bool {
	return !slices.ContainsFunc(j.Steps, func(st StepSpec) bool { return !o.ownsFitting(m, j.Service, st) })
}

// ownsFitting reports whether a member owns a server that could run a task of a step.
func (o *owners) ownsFitting(m Member, service string, st StepSpec) bool {
	for id, e := range o.entries {
		x := o.known[id]
		if x.Owner == m.Instance && x.Incarnation == m.Incarnation && e.fits(service, st) && !o.evacuations.has(e.Domain) {
			return true
		}
	}
	return false
}

// countFitting returns how many servers could run a task of a step, by owner; only those of
// a rack if one is given.
func (o *owners) countFitting(service string, st StepSpec, rack string) map[memberKey]int {
	out := map[memberKey]int{}
	for id, e := range o.entries {
		if e.fits(service, st) && !o.evacuations.has(e.Domain) && (rack == "" || slices.Contains(e.Labels, rack)) {
			x := o.known[id]
			out[memberKey{x.Owner, x.Incarnation}]++
		}
	}
	return out
}

// labelsOf returns the labels of the servers outside of evacuated domains that a member owns.
func (o *owners) labelsOf(m Member) []string {
	var out []string
	for id, e := range o.entries {
		if x := o.known[id]; x.Owner == m.Instance && x.Incarnation == m.Incarnation && !o.evacuations.has(e.Domain) {
			out = append(out, e.Labels...)
		}
	}
	return out
}

// isMine reports whether this incarnation of the instance owns a server.
func (o *owners) isMine(s model.ServerID) bool {
	x := o.known[s]
	return x.Owner == o.self.Instance && x.Incarnation == o.self.Incarnation && x.Revision != 0
}

// isOrphan reports whether a server has no live owner.
func (o *owners) isOrphan(s model.ServerID, m *members, now Time) bool {
	x := o.known[s]
	return x.Revision == 0 || x.Owner == "" || m.incarnationEnded(x.Owner, x.Incarnation, now)
}

// groupByDomain groups the servers of this cell by domain.
func (o *owners) groupByDomain(inCell func(name string) bool) {
	o.byDomain = map[model.Domain][]model.ServerID{}
	for id, e := range o.entries {
		if inCell(string(id)) {
			o.byDomain[e.Domain] = append(o.byDomain[e.Domain], id)
		}
	}
	o.domains = slices.Sorted(maps.Keys(o.byDomain))
	for _, ids := range o.byDomain {
		slices.Sort(ids)
	}
}

// plan claims orphaned servers up to this instance's share, and returns those of its
// own that it should release.
func (o *owners) plan(m *members, leaving bool, now Time) (release []model.ServerID) {
	if o.claims > 0 && now.Sub(o.claimedAt) < claimTimeout {
		return nil
	}
	o.claims = 0
	if !o.loaded || !m.storeUp {
		return nil
	}
	if now.Sub(o.startedAt) < startupDelay {
		o.reclaim(m, leaving, now)
		return nil
	}
	want := append(o.unconfirmed(), o.staleTokens()...)
	for _, d := range o.domains {
		share, others := o.targetShare(d, m, leaving, now)
		owned, orphans := o.split(o.byDomain[d], m, now)
		if room := share - len(owned); room > 0 {
			want = append(want, o.pickClaims(orphans, room)...)
		} else if others && len(orphans) == 0 && len(owned) > share+maxSurplusServers && now >= o.nextRebalanceAt {
			release = append(release, owned[share:]...)
		}
	}
	if len(release) > 0 {
		o.nextRebalanceAt = now.Add(rebalanceInterval)
	}
	if len(want) > 0 && !leaving {
		o.claimServers(want[:min(len(want), maxServersPerClaim)], m, now)
	}
	return release
}

// claimServers claims servers and names successors.
func (o *owners) claimServers(want []Ownership, m *members, now Time) {
	want = slices.Clone(want)
	byDomain := map[model.Domain][]Successor{}
	for i := range want {
		d := o.entries[want[i].Server].Domain
		if _, known := byDomain[d]; !known {
			byDomain[d] = o.successors(d, m, now)
		}
		want[i].Successors = byDomain[d]
	}
	o.claim(want, o.self.Instance, now)
}

// markStale has the token of a restarted server replaced.
func (o *owners) markStale(x Ownership) { o.stale[x.Server] = x.Token() }

// hasStaleToken reports whether a server of this instance has restarted under its token.
func (o *owners) hasStaleToken(id model.ServerID) bool {
	token, ok := o.stale[id]
	return ok && o.isMine(id) && o.known[id].Token() <= token
}

// staleTokens returns the ownerships confirmed by the store whose tokens are to be
// replaced, and forgets those that are.
func (o *owners) staleTokens() (out []Ownership) {
	for _, id := range slices.Sorted(maps.Keys(o.stale)) {
		switch x := o.known[id]; {
		case !o.hasStaleToken(id):
			delete(o.stale, id)
		case x.Rank == 0:
			out = append(out, x)
		}
	}
	return out
}

// planDue reports whether to plan on this tick. Events trigger plans immediately.
func (o *owners) planDue(now Time) bool {
	if now.Sub(o.plannedAt) < time.Duration(len(o.entries))*planIntervalPerServer {
		return false
	}
	o.plannedAt = now
	return true
}

// reclaim claims the servers of an earlier incarnation of this instance. Others may not
// do so before they know that it has ended.
func (o *owners) reclaim(m *members, leaving bool, now Time) {
	var want []Ownership
	for _, d := range o.domains {
		for _, id := range o.byDomain[d] {
			x := o.known[id]
			switch {
			case x.Owner == o.self.Instance && x.Incarnation != o.self.Incarnation:
				want = append(want, x)
			case x.Owner != "":
				m.incarnationEnded(x.Owner, x.Incarnation, now) // starts the inquiry about an unknown owner
			}
		}
	}
	if leaving {
		return
	}
	// The claims are for different servers, so that they don't conflict with each other. A
	// member that knows of this incarnation may claim some of them first.
	for claim := range slices.Chunk(want[:min(len(want), maxReclaims*maxServersPerClaim)], maxServersPerClaim) {
		o.claimServers(claim, m, now)
	}
}

func (o *owners) split(servers []model.ServerID, m *members, now Time) (owned []model.ServerID, orphans []model.ServerID) {
	for _, id := range servers {
		switch {
		case o.isMine(id) && !o.isFenced(id):
			owned = append(owned, id)
		case o.isMine(id) || o.isOrphan(id, m, now):
			orphans = append(orphans, id)
		}
	}
	return owned, orphans
}

// targetShare returns how many servers of a domain this instance should own, and
// whether other members should own servers there too.
func (o *owners) targetShare(d model.Domain, m *members, leaving bool, now Time) (n int, others bool) {
	candidates := m.candidates(d, leaving, now)
	if len(candidates) == 0 {
		candidates = m.candidates("", leaving, now)
	}
	servers := o.byDomain[d]
	owned := map[model.Instance]int{}
	for _, id := range servers {
		owned[o.known[id].Owner]++
	}
	candidates = chooseOwners(d, candidates, owned, len(servers))
	total, mine := 0.0, 0.0
	for _, x := range candidates {
		total += x.Weight
		if x.Instance == o.self.Instance {
			mine = x.Weight
		}
	}
	if mine == 0 {
		return 0, len(candidates) > 0
	}
	return int(float64(len(servers))*mine/total + 0.999), len(candidates) > 1
}

// chooseOwners returns the members that should own the servers of a domain: the
// strongest, and as few as have the CPU for it, as wide jobs find room more easily at
// one owner than at several. owned counts each member's current servers.
func chooseOwners(d model.Domain, candidates []Member, owned map[model.Instance]int, servers int) []Member {
	strength := func(m Member) float64 {
		if owned[m.Instance] > 0 {
			return m.Weight * incumbentBonus
		}
		return m.Weight
	}
	slices.SortStableFunc(candidates, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(strength(b), strength(a)),
			cmp.Compare(owned[b.Instance], owned[a.Instance]),
			cmp.Compare(rank(d, a.Instance), rank(d, b.Instance)))
	})
	limit := min(max(servers/minServersPerOwner, 1), len(candidates))
	n, capacity := 0, 0.0
	for n < limit && (n == 0 || capacity < float64(servers)) {
		capacity += candidates[n].Weight * serversPerCore
		n++
	}
	return candidates[:n]
}

// rank orders the members of a domain identically on all instances, but differently for
// each domain.
func rank(d model.Domain, i model.Instance) uint64 {
	return nameHash(string(d) + "\x00" + string(i))
}

// pickClaims picks servers to claim, in a different order on each instance, so that
// concurrent claims rarely conflict.
func (o *owners) pickClaims(orphans []model.ServerID, room int) []Ownership {
	slices.SortStableFunc(orphans, func(a, b model.ServerID) int {
		return cmp.Compare(rank(model.Domain(a), o.self.Instance), rank(model.Domain(b), o.self.Instance))
	})
	var out []Ownership
	for _, s := range orphans[:min(room, len(orphans))] {
		x := o.known[s]
		x.Server = s
		out = append(out, x)
	}
	return out
}

func (o *owners) claim(current []Ownership, owner model.Instance, now Time) {
	o.claims++
	o.claimedAt = now
	o.effect(Claim{Owner: owner, Expected: current})
}
