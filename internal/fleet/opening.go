package fleet

import (
	"slices"
	"time"
)

// Decisions of an instance that has just started, for the load after a restart of the
// whole fleet: callers send what they could not send before, and most servers are not
// known to be open yet. Capacity that is unknown doesn't count as full.

const (
	// openedUpdateInterval is the minimum time between two updates to a peer on servers
	// that have opened: about the time of a claim, as they open in groups.
	openedUpdateInterval = 5 * time.Millisecond
	// openedShare is the share by which the open servers must have increased since the
	// last update, so that single servers that open during normal operation cause none.
	openedShare = 0.25
	// openingTime is how long after its start an instance allows for owners that it
	// hasn't heard of: instances start within 0.2 s of each other and open their servers
	// in 0.1 s.
	openingTime = 500 * time.Millisecond
	// unknownShare is the share of the listed servers above which their state is taken
	// for unknown. Some servers never take work.
	unknownShare = 0.25
	// discoveryShare is the share of its slack for which a job waits for owners that are
	// unknown rather than in the queue of one that is full.
	discoveryShare = 0.25
)

// opened opens a server for starts.
func (p *pool) opened(s *server) {
	s.phase = phaseServing
	p.newlyOpened = true
}

// peersToNotify returns the peers that should hear at once of the servers that have opened.
// Their next regular heartbeat may be 0.2 s away, and they hold or reject jobs meanwhile.
func (p *pool) peersToNotify(now Time) (out []*peer) {
	if !p.newlyOpened {
		return nil
	}
	p.newlyOpened = false
	open := p.openByService(now)
	for _, x := range p.members.orderedPeers {
		switch {
		case !x.reachable(now) || !x.lacks(open):
		case now.Sub(x.heartbeatSentAt) < openedUpdateInterval:
			p.newlyOpened = true
		default:
			out = append(out, x)
		}
	}
	return out
}

// openByService counts the servers that take work.
func (p *pool) openByService(now Time) map[string]int {
	open := map[string]int{}
	for _, s := range p.orderedServers {
		if s.takesWork(now) {
			open[s.entry.Service]++
		}
	}
	return open
}

// lacks reports whether many more servers are open than were last reported to the peer.
func (p *peer) lacks(open map[string]int) bool {
	told := map[string]int{}
	for _, l := range p.sentLoads {
		told[l.Service] = l.Servers
	}
	for service, n := range open {
		if float64(n) > float64(told[service])*(1+openedShare) {
			return true
		}
	}
	return false
}

// opening reports whether this instance has just started and doesn't know the state of
// many of the listed servers yet.
func (p *pool) opening(now Time) bool {
	if now.Sub(p.owners.startedAt) >= openingTime {
		return false
	}
	listed, open := 0, 0
	for d, ids := range p.owners.byDomain {
		if !p.owners.evacuations.has(d) { // those of evacuated domains don't open
			listed += len(ids)
		}
	}
	for _, n := range p.openByService(now) {
		open += n
	}
	for _, x := range p.members.orderedPeers {
		if x.reachable(now) {
			for _, l := range x.loads {
				open += l.Servers
			}
		}
	}
	return float64(listed-open) > unknownShare*float64(listed)
}

// awaitsOwners reports whether a call should wait rather than queue at one of the owners
// known so far: listed members that this instance has not heard yet may have room. An
// owner doesn't wait that has tried its own servers, as it can queue the job itself.
func (rt *router) awaitsOwners(c *call, now Time) bool {
	if now.Sub(rt.owners.startedAt) >= openingTime || slices.Contains(c.tried, rt.self.Instance) {
		return false
	}
	slack := c.job.Due().Sub(c.job.ReceivedAt) - c.job.CriticalPath()
	return now.Sub(c.job.ReceivedAt) < time.Duration(discoveryShare*float64(slack)) && rt.members.unheardListed()
}

// unheardListed reports whether the store lists a member that has neither been heard nor
// found dead.
func (m *members) unheardListed() bool {
	for _, p := range m.orderedPeers {
		if p.inStore && !p.everHeard && !p.dead {
			return true
		}
	}
	return false
}
