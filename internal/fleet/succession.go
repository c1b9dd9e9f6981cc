package fleet

import (
	"cmp"
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Succession of owners while the store is down, when it can't record a new owner: the
// servers of an owner that dies would stay idle until it is back. Each ownership names
// successors in advance, and a fencing token is reserved for each. A successor takes
// over once the owner's process has certainly ended. The servers refuse every lower
// token from its first poll on, so that the usual rules of a takeover hold whatever two
// successors or a stale record say. Once the store is back, the successor claims the
// server as usual.

const (
	// maxSuccessors is the number of successors named in an ownership.
	maxSuccessors = 3
	// tokensPerRevision is the number of tokens reserved for one write of an ownership:
	// at least one for its owner and each successor.
	tokensPerRevision = 8
)

// Successor is an incarnation of an instance that may take over a backend server. A
// later incarnation may not, as it doesn't know whether the earlier one did.
type Successor struct {
	Instance    model.Instance
	Incarnation model.Incarnation
}

// Token returns the fencing token of the ownership. It increases with each write and,
// between writes, with each takeover by a successor.
func (o Ownership) Token() uint64 { return o.Revision*tokensPerRevision + uint64(o.Rank) }

// successors returns the members that should take over a server of a domain from this
// instance, best first: members of the domain, then those with the fewest servers.
func (o *owners) successors(d model.Domain, m *members, now Time) []Successor {
	owned := map[model.Instance]int{}
	for _, x := range o.known {
		owned[x.Owner]++
	}
	candidates := m.candidates("", true, now) // without this instance
	slices.SortStableFunc(candidates, func(a, b Member) int {
		return cmp.Or(
			trueFirst(a.Domain == d, b.Domain == d),
			cmp.Compare(owned[a.Instance], owned[b.Instance]),
			cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(rank(d, a.Instance), rank(d, b.Instance)))
	})
	var out []Successor
	for _, x := range candidates[:min(maxSuccessors, len(candidates))] {
		out = append(out, Successor{x.Instance, x.Incarnation})
	}
	return out
}

// succeed returns the ownerships that this instance takes over now.
func (o *owners) succeed(m *members, leaving bool, now Time) (taken []Ownership) {
	if leaving || !o.loaded || m.storeUp || m.anyReachesStore(now) {
		return nil
	}
	for _, d := range o.domains {
		for _, id := range o.byDomain[d] {
			x := o.known[id]
			if n := o.rankToTake(x, m, now); n > 0 && m.incarnationEnded(x.Owner, x.Incarnation, now) {
				x.Owner, x.Incarnation, x.Rank = o.self.Instance, o.self.Incarnation, n
				taken = append(taken, x)
			}
		}
	}
	return taken
}

// rankToTake returns the rank under which this instance may take over a server, 0 if it
// isn't a successor or an earlier one is alive.
func (o *owners) rankToTake(x Ownership, m *members, now Time) int {
	for i, s := range x.Successors {
		rank := i + 1
		switch {
		case rank <= x.Rank:
		case s.Instance == o.self.Instance:
			if s.Incarnation != o.self.Incarnation {
				return 0
			}
			return rank
		case m.isResponsive(s, now):
			return 0
		}
	}
	return 0
}

// unconfirmed returns the servers of this instance that the store doesn't record as its
// own.
func (o *owners) unconfirmed() (out []Ownership) {
	for _, d := range o.domains {
		for _, id := range o.byDomain[d] {
			if x := o.known[id]; o.isMine(id) && x.Rank > 0 {
				out = append(out, x)
			}
		}
	}
	return out
}

// markFenced records that a server has refused a token, as another instance controls it.
func (o *owners) markFenced(x Ownership) {
	o.fenced[x.Server] = max(o.fenced[x.Server], x.Token())
}

// isFenced reports whether the token of the known ownership was refused.
func (o *owners) isFenced(id model.ServerID) bool { return o.known[id].Token() <= o.fenced[id] }

// anyReachesStore reports whether a reachable member reaches the store, so that it can
// claim servers.
func (m *members) anyReachesStore(now Time) bool {
	return slices.ContainsFunc(m.orderedPeers, func(p *peer) bool { return p.reachable(now) && p.storeUp })
}

// isResponsive reports whether an incarnation of a member was heard from recently.
func (m *members) isResponsive(s Successor, now Time) bool {
	p := m.peers[s.Instance]
	return p != nil && p.member.Incarnation == s.Incarnation && !p.dead && !p.leaving && p.responsive(now)
}
