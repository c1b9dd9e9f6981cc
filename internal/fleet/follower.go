package fleet

import "time"

// Bounds of how a configuration passes from member to member.
const (
	// configPatience is how long the store may take to bring a version that a peer
	// has told of: a configuration of many routes takes a while on a small
	// instance's link.
	configPatience = 400 * time.Millisecond
	// configRetry is the time between two requests, each to another peer.
	configRetry = 500 * time.Millisecond
)

// follower asks a peer for the configuration if the store doesn't bring it. One
// peer is asked at a time, as a configuration may be large.
type follower struct {
	members *members
	effect  func(Effect)
	version uint64 // in force here
	behind  Time   // since when a peer is known to have a newer one, 0 if none
	askAt   Time   // earliest next request
	asked   int    // requests so far
}

// inForce notes the version in force at this instance.
func (f *follower) inForce(version uint64) {
	if version > f.version {
		f.version, f.behind = version, 0
	}
}

// tick asks for a newer version that is overdue.
func (f *follower) tick(now Time) {
	var ahead []*peer
	for _, p := range f.members.order {
		if p.config > f.version && p.reachable(now) {
			ahead = append(ahead, p)
		}
	}
	switch {
	case len(ahead) == 0:
		f.behind = 0
		return
	case f.behind == 0:
		f.behind = now
	}
	if now.Sub(f.behind) < configPatience || now < f.askAt {
		return
	}
	f.askAt = now.Add(configRetry)
	to := ahead[f.asked%len(ahead)]
	f.asked++
	f.effect(SendPeer{To: to.member, Message: AskConfig{Have: f.version}})
}

// askedBy answers the request of a peer.
func (f *follower) askedBy(from Member, have uint64) {
	if f.version > have {
		f.effect(SendConfig{To: from})
	}
}
