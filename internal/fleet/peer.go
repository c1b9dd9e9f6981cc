package fleet

import "time"

// peer is what is known of another member.
type peer struct {
	member           Member
	linked           bool // messages to it can be sent
	everHeard        bool
	heardAt          Time
	refusedAt        Time
	refused          bool
	inStore          bool
	missingSince     Time // since when the store doesn't list it
	dead             bool
	replaced         bool // by a later life
	deadAt           Time
	leaving          bool
	configVersion    uint64        // version in force there
	echoedAt         Time          // when the last beat was sent that the peer has taken in
	remoteSentAt     Time          // of its last beat, on its clock
	remoteReceiveAge time.Duration // since it last heard of this instance
	loads            []Load
	pending          map[string]int // kept jobs that have not begun, by route
	declinedAt       Time           // it last had no room for a task

	// Milli-cores of parts: sent on the present link, those that the peer said
	// it has received, and those received from it. What is under way counts as
	// taken of the room that the peer tells of.
	offloadSentMilli, offloadAckedMilli, offloadReceivedMilli float64
	heartbeatSentAt                                           Time   // of the last beat sent
	sentLoads                                                 []Load // in that beat
	linkedAt                                                  Time   // of the last link, or the last try to replace it
	storeUp                                                   bool   // the store answers it
	storeDownSince                                            Time   // since when not, 0 if it never did
	busy                                                      bool   // it has servers or jobs
	busyAt                                                    Time   // when either end was last busy
	active                                                    bool   // beats come and go often
	activeSince                                               Time   // since when
	lossHandled                                               bool   // its loss was handled
	expiryHandled                                             bool   // its kept jobs were seen to
}

// responsive reports whether the peer was responsive of lately.
func (p *peer) responsive(now Time) bool { return p.everHeard && now.Sub(p.heardAt) < p.timeout(now) }

// timeout returns how long the peer may be silent. Once beats come more often,
// the first of them must have had the time to come.
func (p *peer) timeout(now Time) time.Duration {
	if p.active && now.Sub(p.activeSince) >= peerTimeout {
		return peerTimeout
	}
	return idlePeerTimeout
}

// updateActive notes whether either end is busy now.
func (p *peer) updateActive(selfBusy bool, now Time) {
	if selfBusy || p.busy {
		p.busyAt = now
	}
	active := now.Sub(p.busyAt) < busyLinger
	if active && !p.active {
		p.activeSince, p.heartbeatSentAt = now, 0
	}
	p.active = active
}

// markHeard notes that the peer lives. What it says at first counts as fresh until
// beats tell more.
func (p *peer) markHeard(now Time) {
	if !p.everHeard {
		p.everHeard, p.echoedAt = true, now
	}
}

// fresh reports whether what the peer says is not too old.
func (p *peer) fresh(now Time) bool {
	if p.active && now.Sub(p.activeSince) >= echoTimeout {
		return now.Sub(p.echoedAt) < echoTimeout
	}
	return now.Sub(p.echoedAt) < idleEchoTimeout
}

// handleHeartbeat notes what a beat says of the link. A peer of an earlier version
// echoes nothing.
func (p *peer) handleHeartbeat(m Heartbeat, arrived, now Time) {
	p.remoteReceiveAge = m.LastReceivedAge + now.Sub(arrived) // it may have heard nothing since
	if p.storeUp && !m.StoreUp {
		p.storeDownSince = now
	}
	p.remoteSentAt, p.busy, p.storeUp = m.SentAt, m.Busy, m.StoreUp
	if m.SentAt == 0 {
		p.echoedAt = now
	}
	p.echoedAt = max(p.echoedAt, m.Echo)
}

// lastActiveAt returns when the peer may have acted last on what this instance asked
// of it. A peer that lives but does not hear of this instance gives its jobs up.
func (p *peer) lastActiveAt(now Time) Time {
	if p.refused || p.replaced {
		return now // it may have ended just now
	}
	return p.heardAt
}

// reachable reports whether jobs may be offered to the peer.
func (p *peer) reachable(now Time) bool {
	return !p.dead && p.linked && p.responsive(now) && p.remoteReceiveAge < p.timeout(now) && p.fresh(now)
}

// load returns what the peer said last of its servers of a service.
func (p *peer) load(service string) Load {
	for _, l := range p.loads {
		if l.Service == service {
			return l
		}
	}
	return Load{Service: service}
}

// freeMilli returns the freeMilli for tasks of a service that no part under way takes.
func (p *peer) freeMilli(service string) float64 {
	return p.load(service).FreeMilli - max(0, p.offloadSentMilli-p.offloadAckedMilli)
}

func (p *peer) setPending(counts []RouteCount) {
	p.pending = make(map[string]int, len(counts))
	for _, c := range counts {
		p.pending[c.Route] = c.Count
	}
}

func (p *peer) setLoad(l Load) {
	for i := range p.loads {
		if p.loads[i].Service == l.Service {
			p.loads[i] = l
			return
		}
	}
	p.loads = append(p.loads, l)
}
