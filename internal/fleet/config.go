package fleet

import "time"

// Bounds of how a configuration passes from member to member.
const (
	// configPatience is how long the store may take to bring a version that a peer
	// has told of, if this instance follows the store: a configuration of many routes
	// takes a while on a small instance's link.
	configPatience = 400 * time.Millisecond
	// configRetry is the time between two requests, each to another peer.
	configRetry = 500 * time.Millisecond
)

// configFetch asks a peer for the configuration if the store doesn't bring it. One
// peer is asked at a time, as a configuration may be large.
type configFetch struct {
	self    Member
	members *members
	list    *listing
	effect  func(Effect)
	version uint64 // in force here
	behind  Time   // since when a peer is known to have a newer one, 0 if none
	askAt   Time   // earliest next request
	asked   int    // requests so far
}

// inForce notes the version in force at this instance.
func (c *configFetch) inForce(version uint64) {
	if version > c.version {
		c.version, c.behind = version, 0
	}
}

// tick asks for a newer version that is overdue.
func (c *configFetch) tick(now Time) {
	var ahead []*peer
	for _, p := range c.members.order {
		if p.config > c.version && p.reachable(now) {
			ahead = append(ahead, p)
		}
	}
	switch {
	case len(ahead) == 0:
		c.behind = 0
		return
	case c.behind == 0:
		c.behind = now
	}
	if c.list.following && now.Sub(c.behind) < configPatience || now < c.askAt {
		return
	}
	c.askAt = now.Add(configRetry)
	// Members begin at different peers, so that not all ask the same one.
	to := ahead[(nameHash(string(c.self.Instance))+uint64(c.asked))%uint64(len(ahead))]
	c.asked++
	c.effect(SendPeer{To: to.member, Message: ConfigRequest{HaveVersion: c.version}})
}

// askedBy answers the request of a peer.
func (c *configFetch) askedBy(from Member, have uint64) {
	if c.version > have {
		c.effect(SendConfig{To: from})
	}
}
