package fleet

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// peer is the state of another member as known here.
type peer struct {
	member           Member
	linked           bool // messages can be sent
	everHeard        bool
	heardAt          Time
	refusedAt        Time
	refused          bool
	inStore          bool
	missingSince     Time // when it was first found missing from the store's list
	dead             bool
	replaced         bool // by a later incarnation
	deadAt           Time
	deathEvidence    endEvidence
	renewedAt        Time     // last renewal of its entry in the store or before, on this instance's clock; 0 if unknown
	asks             []Member // incarnations that it has asked about and that aren't reported yet
	leaving          bool
	configVersion    uint64        // in force at the peer
	echoedAt         Time          // send time of the last heartbeat that the peer has processed
	earlierEchoedAt  Time          // echoedAt of the incarnation before, 0 if none was known
	graceFrom        Time          // counts as such a time for its loss, after a pause of this instance; not for leases
	remoteSentAt     Time          // send time of its last heartbeat, on its clock
	echoSent         Time          // last echo sent to it
	remoteReceiveAge time.Duration // time since it last heard from this instance
	loads            []Load
	declinedAt       Time            // when it last declined a task
	rackOpensAt      map[string]Time // by rack: when it expects room there after it had none

	// Milli-cores of offloaded tasks on the current link: sent, acknowledged by the
	// peer, and received from it. Those in transit are subtracted from the free
	// capacity that the peer reports.
	offloadSentMilli, offloadAckedMilli, offloadReceivedMilli float64
	heartbeatSentAt                                           Time
	sentLoads                                                 []Load // in the last heartbeat
	linkedAt                                                  Time   // when the link was established, or last replaced
	storeUp                                                   bool   // it reaches the store
	storeDownSince                                            Time   // when it last lost the store, 0 if never
	listForwarded                                             uint64 // revision of the list of servers that it was sent since then, 0 if none
	busy                                                      bool   // it has servers or jobs
	busyAt                                                    Time   // when either end was last busy
	active                                                    bool   // frequent heartbeats in both directions
	activeSince                                               Time
	gaveUp                                                    map[model.Instance]givenUpOwner
	openCalls                                                 map[string]Time // jobs of its calls that have been open for a while, and when it first listed them
	openCallsSent                                             uint64          // version of this instance's list that it was sent on the current link
	lossHandled                                               bool
	expiryHandled                                             bool
}

// givenUpOwner is an owner on whose runs an instance no longer counts.
type givenUpOwner struct {
	owner Member
	at    Time // when the peer told
}

// giveUp records that the peer has given up an owner.
func (p *peer) giveUp(owner Member, now Time) {
	if p.gaveUp == nil {
		p.gaveUp = map[model.Instance]givenUpOwner{}
	}
	p.gaveUp[owner.Instance] = givenUpOwner{owner, now}
}

// responsive reports whether the peer was heard from recently.
func (p *peer) responsive(now Time) bool { return p.everHeard && now.Sub(p.heardAt) < p.timeout(now) }

// timeout returns how long the peer may be silent. After a change to frequent
// heartbeats, the first of them gets time to arrive.
func (p *peer) timeout(now Time) time.Duration {
	if p.active && now.Sub(p.activeSince) >= peerTimeout {
		return peerTimeout
	}
	return idlePeerTimeout
}

// updateActive decides whether the link needs frequent heartbeats: while either end is
// busy, and for busyLinger after.
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

// markHeard records that the peer is alive. On the first call, its information counts
// as fresh until its heartbeats arrive.
func (p *peer) markHeard(now Time) {
	if !p.everHeard {
		p.everHeard, p.echoedAt = true, now
	}
}

// fresh reports whether the information from the peer is recent enough.
func (p *peer) fresh(now Time) bool {
	age := now.Sub(max(p.echoedAt, p.graceFrom))
	if p.active && now.Sub(p.activeSince) >= echoTimeout {
		return age < echoTimeout
	}
	return age < idleEchoTimeout
}

// handleHeartbeat records the link state from a heartbeat. Peers of an earlier version
// don't echo.
func (p *peer) handleHeartbeat(m Heartbeat, arrived, now Time) {
	p.remoteReceiveAge = m.LastReceivedAge + now.Sub(arrived) // it may have received nothing since
	if p.storeUp && !m.StoreUp {
		p.storeDownSince = now
	}
	p.remoteSentAt, p.busy, p.storeUp = m.SentAt, m.Busy, m.StoreUp
	if len(m.Inquiries) > 0 {
		p.asks = m.Inquiries
	}
	if m.RenewedAt != 0 { // the heartbeat was sent after its echo
		p.renewedAt = m.Echo.Add(-m.SentAt.Sub(m.RenewedAt))
	}
	if m.SentAt == 0 {
		p.echoedAt = now
	}
	p.echoedAt = max(p.echoedAt, m.Echo)
}

// lastActiveAt returns when the peer may last have acted on requests of this instance.
// A live peer that doesn't hear this instance cancels its jobs.
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

// load returns the last reported load of the peer for a service.
func (p *peer) load(service string) Load {
	for _, l := range p.loads {
		if l.Service == service {
			return l
		}
	}
	return Load{Service: service}
}

// freeMilli returns the peer's free milli-cores for a service, less offloads in
// transit.
func (p *peer) freeMilli(service string) float64 {
	return p.load(service).FreeMilli - max(0, p.offloadSentMilli-p.offloadAckedMilli)
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
