package fleet

import "time"

// Bounds of how a configuration passes from member to member.
const (
	// configStoreWait is how long the store may take to bring a version that a peer
	// has told of, if this instance follows the store: a configuration of many routes
	// takes a while on a small instance's link.
	configStoreWait = 400 * time.Millisecond
	// configRequestInterval is the time between two requests, each to another peer.
	configRequestInterval = 500 * time.Millisecond
)

// configFetch asks a peer for the configuration if the store doesn't bring it. One
// peer is asked at a time, as a configuration may be large.
type configFetch struct {
	self          Member
	members       *members
	list          *serverList
	effect        func(Effect)
	version       uint64 // in force here
	behindSince   Time   // since when a peer is known to have a newer one, 0 if none
	nextRequestAt Time   // earliest next request
	requests      int    // requests so far
}

// setInForce notes the version in force at this instance.
func (c *configFetch) setInForce(version uint64) {
	if version > c.version {
		c.version, c.behindSince = version, 0
	}
}

// tick asks for a newer version that is overdue.
func (c *configFetch) tick(now Time) {
	var ahead []*peer
	for _, p := range c.members.order {
		if p.configVersion > c.version && p.reachable(now) {
			ahead = append(ahead, p)
		}
	}
	switch {
	case len(ahead) == 0:
		c.behindSince = 0
		return
	case c.behindSince == 0:
		c.behindSince = now
	}
	if c.list.watching && now.Sub(c.behindSince) < configStoreWait || now < c.nextRequestAt {
		return
	}
	c.nextRequestAt = now.Add(configRequestInterval)
	// Members begin at different peers, so that not all ask the same one.
	to := ahead[(nameHash(string(c.self.Instance))+uint64(c.requests))%uint64(len(ahead))]
	c.requests++
	c.effect(SendPeer{To: to.member, Message: ConfigRequest{HaveVersion: c.version}})
}

// handleRequest answers the request of a peer.
func (c *configFetch) handleRequest(from Member, have uint64) {
	if c.version > have {
		c.effect(SendConfig{To: from})
	}
}
