package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of how backend servers are divided among instances.
const (
	// serversPerCore is how many servers an owner serves for each core that it has:
	// starts, ends and looks of a crest take about a fifth of it.
	serversPerCore = 60
	// minServersPerOwner is the least number of servers of a domain for which
	// another owner is worth while: fewer pack wide jobs badly.
	minServersPerOwner = 12
	// incumbentBonus is how many times as strong as an owner another member must be to
	// take its place: servers that change hands stand idle for a moment.
	incumbentBonus = 2
	// startupDelay is how long an instance listens for others after its start
	// before it claims servers.
	startupDelay = 300 * time.Millisecond
	// claimTimeout is when an unanswered claim is given up by the reducer; the
	// caller's deadline ends earlier.
	claimTimeout = 3 * time.Second
	// maxServersPerClaim is the most servers of one claim: two entries each in the
	// store's transaction of 32.
	maxServersPerClaim = 16
	// maxSurplusServers is how many servers above its part an owner keeps.
	maxSurplusServers = 2
	// planIntervalPerServer bounds the work of plans at ticks, which follow the
	// silence of members, in large fleets.
	planIntervalPerServer = 500 * time.Microsecond
	// rebalanceInterval is the least time between releases of surplus servers.
	rebalanceInterval = 2 * time.Second
)

// owners decides which backend servers this instance claims and releases.
type owners struct {
	self      Member
	startedAt Time
	effect    func(Effect)

	entries  map[model.ServerID]ServerEntry    // of the listing
	byDomain map[model.Domain][]model.ServerID // of the own cell, each in order
	domains  []model.Domain                    // that have servers of the cell, in order
	known    map[model.ServerID]Ownership
	loaded   bool // the store's ownerships have been read

	claiming        bool
	claimedAt       Time
	nextRebalanceAt Time
	plannedAt       Time // last at a tick
}

func newOwners(self Member, list *serverList, now Time, effect func(Effect)) *owners {
	return &owners{self: self, startedAt: now, effect: effect, entries: list.entries, known: map[model.ServerID]Ownership{}}
}

// merge takes in ownerships; older ones than known are ignored.
func (o *owners) merge(list []Ownership) {
	for _, x := range list {
		if old := o.known[x.Server]; x.Revision >= old.Revision {
			o.known[x.Server] = x
		}
	}
}

// fitsSomeServer reports whether each task of a job would fit on a listed server of
// the cell if it were empty. Without a list nothing is known.
func (o *owners) fitsSomeServer(j *JobSpec) bool {
	for _, st := range j.Steps {
		if len(o.entries) > 0 && !o.stepFits(j.Service, st) {
			return false
		}
	}
	return true
}

func (o *owners) stepFits(service string, st StepSpec) bool {
	for _, ids := range o.byDomain {
		for _, id := range ids {
			if e := o.entries[id]; e.serves(service, st) && st.Need.Fits(e.Capacity) {
				return true
			}
		}
	}
	return false
}

// canServe reports whether the servers of a member could run every step of a job.
func (o *owners) canServe(m Member, j *JobSpec) bool {
	return !slices.ContainsFunc(j.Steps, func(st StepSpec) bool { return !o.ownsFitting(m, j.Service, st) })
}

// ownsFitting reports whether a member owns a server that could hold a task of a step.
func (o *owners) ownsFitting(m Member, service string, st StepSpec) bool {
	for id, e := range o.entries {
		x := o.known[id]
		if x.Owner == m.Instance && x.Incarnation == m.Incarnation && e.serves(service, st) && st.Need.Fits(e.Capacity) {
			return true
		}
	}
	return false
}

// labelsOf returns the labels of the servers that a member owns.
func (o *owners) labelsOf(m Member) []string {
	var out []string
	for id, e := range o.entries {
		if x := o.known[id]; x.Owner == m.Instance && x.Incarnation == m.Incarnation {
			out = append(out, e.Labels...)
		}
	}
	return out
}

// isMine reports whether this life of the instance owns a server.
func (o *owners) isMine(s model.ServerID) bool {
	x := o.known[s]
	return x.Owner == o.self.Instance && x.Incarnation == o.self.Incarnation && x.Revision != 0
}

// isOrphan reports whether nobody owns a server any more.
func (o *owners) isOrphan(s model.ServerID, m *members, now Time) bool {
	x := o.known[s]
	return x.Revision == 0 || x.Owner == "" || m.incarnationEnded(x.Owner, x.Incarnation, now)
}

// groupByDomain lists the servers of the own cell by their domains.
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

// plan claims servers that nobody owns, as far as they are this instance's
// part, and returns those of its own that it should release.
func (o *owners) plan(m *members, leaving bool, now Time) (release []model.ServerID) {
	if o.claiming && now.Sub(o.claimedAt) < claimTimeout {
		return nil
	}
	if !o.loaded || !m.storeUp {
		return nil
	}
	if now.Sub(o.startedAt) < startupDelay {
		o.reclaim(leaving, now)
		return nil
	}
	var want []Ownership
	for _, d := range o.domains {
		part, others := o.targetShare(d, m, leaving, now)
		owned, orphans := o.split(o.byDomain[d], m, now)
		if room := part - len(owned); room > 0 {
			want = append(want, o.pickClaims(orphans, room)...)
		} else if others && len(orphans) == 0 && len(owned) > part+maxSurplusServers && now >= o.nextRebalanceAt {
			release = append(release, owned[part:]...)
		}
	}
	if len(release) > 0 {
		o.nextRebalanceAt = now.Add(rebalanceInterval)
	}
	if len(want) > 0 && !leaving {
		o.claim(want[:min(len(want), maxServersPerClaim)], o.self.Instance, now)
	}
	return release
}

// planDue reports whether a tick is to make a plan. What changes by events leads
// to a plan at once.
func (o *owners) planDue(now Time) bool {
	if now.Sub(o.plannedAt) < time.Duration(len(o.entries))*planIntervalPerServer {
		return false
	}
	o.plannedAt = now
	return true
}

// reclaim claims the servers that an earlier life of this instance owned. Others
// may not do so before they know that it has ended.
func (o *owners) reclaim(leaving bool, now Time) {
	var want []Ownership
	for _, d := range o.domains {
		for _, id := range o.byDomain[d] {
			if x := o.known[id]; x.Owner == o.self.Instance && x.Incarnation != o.self.Incarnation {
				want = append(want, x)
			}
		}
	}
	if len(want) > 0 && !leaving {
		o.claim(want[:min(len(want), maxServersPerClaim)], o.self.Instance, now)
	}
}

func (o *owners) split(servers []model.ServerID, m *members, now Time) (owned []model.ServerID, orphans []model.ServerID) {
	for _, id := range servers {
		switch {
		case o.isMine(id):
			owned = append(owned, id)
		case o.isOrphan(id, m, now):
			orphans = append(orphans, id)
		}
	}
	return owned, orphans
}

// targetShare returns how many servers of a domain this instance should own, and
// whether other members take servers there too.
func (o *owners) targetShare(d model.Domain, m *members, leaving bool, now Time) (n int, others bool) {
	who := m.candidates(d, leaving, now)
	if len(who) == 0 {
		who = m.candidates("", leaving, now)
	}
	servers := o.byDomain[d]
	owned := map[model.Instance]int{}
	for _, id := range servers {
		owned[o.known[id].Owner]++
	}
	who = chooseOwners(d, who, owned, len(servers))
	total, mine := 0.0, 0.0
	for _, x := range who {
		total += x.Weight
		if x.Instance == o.self.Instance {
			mine = x.Weight
		}
	}
	if mine == 0 {
		return 0, len(who) > 0
	}
	return int(float64(len(servers))*mine/total + 0.999), len(who) > 1
}

// chooseOwners returns the members that should own the servers of a domain: the
// strongest, as few as have the processors for it, as wide jobs find room at one
// owner sooner than at several. owned counts the servers that each has now.
func chooseOwners(d model.Domain, who []Member, owned map[model.Instance]int, servers int) []Member {
	strength := func(m Member) float64 {
		if owned[m.Instance] > 0 {
			return m.Weight * incumbentBonus
		}
		return m.Weight
	}
	slices.SortStableFunc(who, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(strength(b), strength(a)),
			cmp.Compare(owned[b.Instance], owned[a.Instance]),
			cmp.Compare(rank(d, a.Instance), rank(d, b.Instance)))
	})
	most := min(max(servers/minServersPerOwner, 1), len(who))
	n, carried := 0, 0.0
	for n < most && (n == 0 || carried < float64(servers)) {
		carried += who[n].Weight * serversPerCore
		n++
	}
	return who[:n]
}

// rank orders the members of a domain alike on every instance, and otherwise
// in different domains.
func rank(d model.Domain, i model.Instance) uint64 {
	return nameHash(string(d) + "\x00" + string(i))
}

// pickClaims picks servers to claim, other ones first on every instance, so that
// claims at the same time seldom clash.
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
	o.claiming, o.claimedAt = true, now
	o.effect(Claim{Owner: owner, Expected: current})
}
