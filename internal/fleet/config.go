package fleet

import "time"

// Timing of configuration requests between members.
const (
	// configStoreWait is how long the store watch may take to deliver a version that a
	// peer has announced: a configuration with many routes is slow to arrive on a small
	// instance's link.
	configStoreWait = 400 * time.Millisecond
	// firstConfigStoreWait is the same for the first version: callers wait for it, and the
	// store is asked for it before anything else.
	firstConfigStoreWait = 100 * time.Millisecond
	// configRequestInterval is the time between two requests, each sent to a different
	// peer.
	configRequestInterval = 500 * time.Millisecond
)

// configFetch requests the configuration from a peer if the store doesn't deliver it.
// It asks one peer at a time, as a configuration may be large.
type configFetch struct {
	self          Member
	members       *members
	list          *serverList
	effect        func(Effect)
	version       uint64 // in force here
	behindSince   Time   // when a peer was first known to have a newer version, 0 if none has
	nextRequestAt Time
	requests      int // sent so far
}

// setInForce records the version in force at this instance.
func (c *configFetch) setInForce(version uint64) {
	if version > c.version {
		c.version, c.behindSince = version, 0
	}
}

// tick requests a newer version that is overdue.
func (c *configFetch) tick(now Time) {
	var ahead []*peer
	for _, p := range c.members.orderedPeers {
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
	wait := configStoreWait
	if c.version == 0 {
		wait = firstConfigStoreWait
	}
	if c.list.watching && now.Sub(c.behindSince) < wait || now < c.nextRequestAt {
		return
	}
	c.nextRequestAt = now.Add(configRequestInterval)
	// Members start with different peers, to spread the requests.
	to := ahead[(nameHash(string(c.self.Instance))+uint64(c.requests))%uint64(len(ahead))]
	c.requests++
	c.effect(SendPeer{To: to.member, Message: ConfigRequest{HaveVersion: c.version}})
}

// handleRequest answers a peer's request.
func (c *configFetch) handleRequest(from Member, have uint64) {
	if c.version > have {
		c.effect(SendConfig{To: from})
	}
}
