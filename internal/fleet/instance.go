package fleet

import (
	"maps"
	"slices"
	"time"
)

// Options are the settings of an Instance.
type Options struct {
	Self  Member
	Lease time.Duration // of runs at backend servers
	// StopTimeout is the longest time from a stop to the end of the run.
	StopTimeout time.Duration
	// SharedWatchMinServers is the number of backend servers from which only a few members
	// of a cell follow the store; 0 means 100.
	SharedWatchMinServers int
	// Policy replaces decisions by simpler ones, for comparison.
	Policy Policy
}

// Bounds of the instance's own time.
const (
	// tickPause is the longest time between two ticks.
	tickPause = 50 * time.Millisecond
	// pauseNoted is a gap between events that tells of a suspended process.
	pauseNoted = 400 * time.Millisecond
	// wakeSettle is how long nothing starts after such a gap: what came in the
	// meantime is taken in within that time.
	wakeSettle = 100 * time.Millisecond
)

// Instance is the reducer of one instance.
type Instance struct {
	opts    Options
	members *members
	servers *listing
	owners  *owners
	pool    *pool
	home    *home
	holder  *holder

	effects []Effect
	config  *configFetch

	last    Time
	leaving bool
	stopBy  Time
}

// NewInstance returns an instance that knows of nothing yet.
func NewInstance(o Options, now Time) *Instance {
	i := &Instance{opts: o, last: now}
	emit := func(e Effect) { i.effects = append(i.effects, e) }
	i.members = newMembers(o.Self, emit)
	i.config = &configFetch{self: o.Self, members: i.members, effect: emit}
	i.servers = newListing(o, i.members, now, emit)
	i.config.list = i.servers
	i.owners = newOwners(o.Self, i.servers, now, emit)
	i.pool = newPool(o, i.members, i.owners, emit)
	i.holder = newHolder(o.Self, i.members, i.owners, i.pool, now, emit)
	i.pool.holder = i.holder
	i.home = newHome(o.Self, i.members, i.owners, i.pool, emit)
	return i
}

// Step takes an event in and returns what is to be done.
func (i *Instance) Step(now Time, e Event) []Effect {
	if gap := now.Sub(i.last); gap > pauseNoted {
		i.paused(gap, now)
	}
	i.last = now
	i.handle(now, e)
	if i.holder.inUse && !i.holder.told {
		i.holder.told = true
		i.beat(now, true)
	}
	out := i.take(now)
	for _, p := range i.pool.tellRoom(now) {
		i.sendBeat(p, now)
	}
	return append(out, i.take(now)...)
}

// take returns the effects, and routes outcomes of the own pool to the own calls.
func (i *Instance) take(now Time) []Effect {
	var out []Effect
	for len(i.effects) > 0 {
		batch := i.effects
		i.effects = nil
		for _, e := range batch {
			o, ok := e.(outcomeReady)
			switch {
			case !ok:
				out = append(out, e)
			case o.origin.Instance == i.opts.Self.Instance:
				i.home.outcome(i.opts.Self, o.outcome, now)
			default:
				out = append(out, SendPeer{To: o.origin, Message: o.outcome})
			}
		}
	}
	return out
}

func (i *Instance) handle(now Time, e Event) {
	switch e := e.(type) {
	case MembersListed:
		if i.members.seen(e.Members, now) {
			i.owners.divideBy(i.members.inCell)
		}
		i.maintain(now)
	case StoreStatus:
		i.members.storeUp = e.Up
	case OwnersChanged:
		i.learnOwners(e.Owners, now)
		i.owners.loaded = true
		i.maintain(now)
	case ServersListed:
		changes := i.servers.replace(e.Servers, e.Revision)
		i.servers.tell(changes, now)
		i.serversChanged(now)
	case ServersChanged:
		i.servers.change(e.ServerChanges)
		i.servers.tell(e.ServerChanges, now)
		if len(e.Servers)+len(e.Removed) > 0 {
			i.serversChanged(now)
		}
	case ClaimReply:
		i.owners.claiming = false
		i.learnOwners(e.Owners, now)
		if e.Committed {
			i.tellOwners(e.Owners, now)
		}
		i.maintain(now)
		i.home.retryHeld(now)
	case LinkUp:
		i.peerLinked(e, now)
	case LinkDown:
		i.peerLost(e, now)
	case PeerMessage:
		i.peerMessage(e, now)
	case JobSubmitted:
		i.home.submitted(e, now)
	case CallerDisconnected:
		i.home.gone(e.Call, now)
	case StartReply:
		i.pool.startAnswered(e, now)
	case StopReply:
		i.pool.stopAnswered(e, now)
	case PollReply:
		i.pool.lookAnswered(e, now)
	case JobSaved:
		i.holder.saved(e, now)
	case JobsScanned:
		i.holder.found(e, now)
	case JobCancelled:
		i.holder.cancelled(e.ID, now)
	case MembershipRenewed:
		i.servers.renewed(e.SentAt)
		i.holder.renewedAt = e.SentAt
		i.holder.guard(now)
	case JobStateRequested:
		i.effects = append(i.effects, Answer{Call: e.Call, Result: Result{Kind: i.holder.state(e.ID)}})
	case PendingCountRequested:
		i.effects = append(i.effects, Answer{Call: e.Call, Result: Result{Kind: Counted, Count: i.pending(e.Route, now)}})
	case ConfigApplied:
		i.config.inForce(e.Version)
	case StopRequested:
		i.leaving, i.stopBy = true, e.Deadline
		i.beat(now, true)
		i.holder.leave(now)
		i.maintain(now)
	case Tick:
		i.follow(now)
		if i.owners.planDue(now) {
			i.divide(now)
		}
		i.holder.tick(now)
		i.pool.tick(now)
		i.home.tick(now)
		i.config.tick(now)
		i.servers.tick(now)
		if i.leaving && now >= i.stopBy {
			i.home.giveUp()
		}
	}
}

// paused notes that the process stood still: nothing that was heard before is
// fresh any more. The other members have given up what they asked of this
// instance, or are about to, and callers have left; messages that say so may come
// after answers that would let tasks start again.
func (i *Instance) paused(gap time.Duration, now Time) {
	i.effects = append(i.effects, LogEntry{Kind: LogPauseDetected, Age: gap})
	i.pool.settleTill, i.home.settleTill = now.Add(wakeSettle), now.Add(wakeSettle)
	for _, p := range i.members.order {
		if p.everHeard {
			p.heardAt = max(p.heardAt, now.Add(-p.silence(now)/2))
			p.echoed = max(p.echoed, now.Add(-echoLimit/2))
		}
		i.pool.originLost(p.member, now)
	}
	i.pool.expire(now)
}

// maintain does what follows from who lives and which servers there are.
func (i *Instance) maintain(now Time) {
	i.follow(now)
	i.divide(now)
}

// follow keeps in touch with the members.
func (i *Instance) follow(now Time) {
	i.members.busy = i.busy()
	i.members.setPace(now)
	i.dropLost(now)
	i.beat(now, false)
	i.members.relink(now)
}

// busy reports whether others have to know at once what becomes of this instance:
// it has servers or jobs.
func (i *Instance) busy() bool {
	return len(i.pool.order) > 0 || len(i.pool.jobs) > 0 || len(i.holder.jobs) > 0
}

// divide claims and releases servers.
func (i *Instance) divide(now Time) {
	for _, s := range i.owners.plan(i.members, i.leaving, now) {
		if x := i.pool.servers[s]; x != nil {
			x.leaving = true
		}
	}
	i.release(now)
}

// dropLost gives up what lost members asked for, and takes back what they ran.
func (i *Instance) dropLost(now Time) {
	for _, p := range i.members.judge(now) {
		gone := p.lastSign(now).Add(i.pool.goneAfter)
		i.home.ownerLost(p.member, gone, now)
		i.pool.lenderLost(p.member, gone, now)
		i.pool.originLost(p.member, now)
	}
	for _, p := range i.members.newlyExpired(now) {
		i.holder.memberLost(p, now)
	}
}

// pending counts the kept jobs of a route of which nothing has started, over
// all instances that are heard.
func (i *Instance) pending(route string, now Time) int {
	n := i.holder.pending()[route]
	for _, p := range i.members.order {
		if p.heard(now) {
			n += p.pending[route]
		}
	}
	return n
}

// release gives up servers that are to be released and run nothing.
func (i *Instance) release(now Time) {
	if i.owners.claiming || !i.members.storeUp {
		return
	}
	var empty []Ownership
	for _, s := range i.pool.order {
		s.leaving = s.leaving || i.leaving
		if s.leaving && len(s.runs) == 0 && s.acked >= s.seen && len(empty) < claimBatch {
			empty = append(empty, s.own)
		}
	}
	if len(empty) == 0 {
		return
	}
	for _, o := range empty {
		i.effects = append(i.effects, LogEntry{Kind: LogServerReleased, Server: o.Server, Value: o.Revision})
	}
	i.owners.claim(empty, "", now)
}

// tellOwners passes ownerships on that were just written.
func (i *Instance) tellOwners(list []Ownership, now Time) {
	for _, p := range i.members.order {
		if p.reachable(now) {
			i.effects = append(i.effects, SendPeer{To: p.member, Message: OwnersUpdate{Owners: list}})
		}
	}
}

// learnOwners takes in ownerships and follows them in the pool.
func (i *Instance) learnOwners(list []Ownership, now Time) {
	i.owners.learn(list)
	for _, x := range list {
		known := i.owners.known[x.Server]
		s := i.pool.servers[x.Server]
		entry, listed := i.owners.entries[x.Server]
		switch {
		case i.owners.mine(x.Server) && listed:
			i.pool.own(entry, known, now)
		case s != nil && known.Revision > s.own.Revision:
			i.pool.drop(s, now)
		}
	}
}

// serversChanged does what follows from a change of the list of servers.
func (i *Instance) serversChanged(now Time) {
	entries := i.servers.entries
	i.owners.divideBy(i.members.inCell)
	i.pool.listed(entries, now)
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		if i.owners.mine(id) && i.pool.servers[id] == nil {
			i.pool.own(entries[id], i.owners.known[id], now)
		}
	}
	i.maintain(now)
}

func (i *Instance) peerLinked(e LinkUp, now Time) {
	p := i.members.meet(e.Peer, now)
	if p == nil {
		return
	}
	i.dropLost(now) // before the new life is told which calls are open
	p.linked, p.refused, p.dead = true, false, false
	p.noteHeard(now)
	p.linkedAt, p.heardAt, p.hearsMe = now, now, 0
	p.partsSent, p.partsHeard = 0, 0
	i.resync(p, false)
	for _, f := range i.pool.recent {
		if f.key.origin == p.member.Instance && f.key.life == p.member.Incarnation {
			i.effects = append(i.effects, SendPeer{To: p.member, Message: Outcome{Call: f.key.call, Result: f.result, Attempt: f.attempt}})
		}
	}
	i.sendBeat(p, now)
}

// resync tells a peer which of its offers this instance still waits for.
func (i *Instance) resync(p *peer, reply bool) {
	open := i.home.resync(p.member)
	open.Calls = append(open.Calls, i.pool.lentTo(p.member)...)
	open.Reply = reply
	i.effects = append(i.effects, SendPeer{To: p.member, Message: open})
}

func (i *Instance) peerLost(e LinkDown, now Time) {
	p := i.members.peers[e.Peer.Instance]
	if p == nil || p.member.Incarnation != e.Peer.Incarnation {
		return
	}
	p.linked = false
	if e.Refused {
		p.refused, p.refusedAt = true, now
	}
	i.maintain(now)
}

func (i *Instance) peerMessage(e PeerMessage, now Time) {
	p := i.members.meet(e.From, now)
	if p == nil {
		return
	}
	i.dropLost(now)
	p.noteHeard(now)
	p.heardAt, p.dead, p.refused = max(p.heardAt, e.ReceivedAt), false, false
	switch m := e.Message.(type) {
	case Heartbeat:
		p.leaving, p.loads, p.partsHeard, p.config = m.Leaving, m.Loads, m.OffloadedMilli, m.ConfigVersion
		p.takeBeat(m, e.ReceivedAt, now)
		p.setPace(i.members.busy, now)
		p.takePending(m.Pending)
		i.holder.inUse = i.holder.inUse || m.DurableInUse
		p.bouncedAt = 0
		i.pool.dispatch(now)
		i.home.retryHeld(now)
	case Offer:
		i.offered(p, m, now)
	case Withdraw:
		i.pool.withdraw(jobKey{p.member.Instance, p.member.Incarnation, m.Call}, now)
	case Outcome:
		if m.Load.Service != "" {
			p.setLoad(m.Load)
			p.partsHeard = m.OffloadedMilli
		}
		if m.Call >= partCalls {
			i.pool.lentOutcome(p, m, now)
			return
		}
		i.home.outcome(p.member, m, now)
	case OwnersUpdate:
		i.learnOwners(m.Owners, now)
		i.maintain(now)
	case ServersUpdate:
		if i.servers.told(m.ServerChanges, now) {
			i.serversChanged(now)
		}
	case JobEnded:
		i.effects = append(i.effects, m)
	case ConfigRequest:
		i.config.askedBy(p.member, m.HaveVersion)
	case JobsReleased:
		i.holder.scan(now.Add(releasedScanAfter), true)
	case Resync:
		p.partsCame = 0
		i.resynced(p, m, now)
	}
}

func (i *Instance) offered(p *peer, m Offer, now Time) {
	m.Job.ReceivedAt = now.Add(-m.Age)
	if m.Job.Offloaded != nil {
		p.partsCame += float64(m.Job.Steps[0].Need.CPUMilli)
	}
	if i.leaving || i.pool.offer(p.member, m.Call, m.Job, m.AllowQueue, now) {
		i.bounce(p, m.Call, m.Job.Service, now)
	}
}

func (i *Instance) bounce(p *peer, c CallID, service string, now Time) {
	o := Outcome{Call: c, Declined: true}
	if !i.leaving {
		o.Load, o.OffloadedMilli = i.pool.load(service, now), p.partsCame
	}
	i.effects = append(i.effects, SendPeer{To: p.member, Message: o})
}

// resynced gives up what the origin no longer waits for, and tells it which
// calls are not here: they never arrived, or ended too long ago.
func (i *Instance) resynced(p *peer, m Resync, now Time) {
	i.pool.resync(p.member, m.Calls, now)
	for _, c := range m.Calls {
		key := jobKey{p.member.Instance, p.member.Incarnation, c}
		ended := slices.ContainsFunc(i.pool.recent, func(f finished) bool { return f.key == key })
		if i.pool.jobs[key] == nil && !ended {
			i.effects = append(i.effects, SendPeer{To: p.member, Message: Outcome{Call: c, Declined: true, Result: Result{Kind: Unknown}}})
		}
	}
	if !m.Reply && p.linked {
		i.resync(p, true) // what the peer sent on its last link may be lost
	}
}

// beat sends the beats that are due, or all.
func (i *Instance) beat(now Time, all bool) {
	for _, p := range i.members.order {
		if p.linked && (all || now.Sub(p.beatAt) >= i.members.beatEvery(p)) {
			i.sendBeat(p, now)
		}
	}
}

func (i *Instance) sendBeat(p *peer, now Time) {
	p.beatAt = now
	b := Heartbeat{
		Leaving: i.leaving, Busy: i.busy(), StoreUp: i.members.storeUp, ConfigVersion: i.config.version, OffloadedMilli: p.partsCame, SentAt: now, Echo: p.sentAt,
		DurableInUse: i.holder.inUse, Pending: i.holder.pendingRoutes(),
	}
	if p.everHeard {
		b.LastReceivedAge = now.Sub(p.heardAt)
	}
	for _, s := range i.pool.services() {
		b.Loads = append(b.Loads, i.pool.load(s, now))
	}
	p.told = b.Loads
	i.effects = append(i.effects, SendPeer{To: p.member, Message: b})
}

// TickInterval returns how long the caller may wait for the next Tick.
func (i *Instance) TickInterval() time.Duration { return tickPause }

// Ready reports whether the instance can send jobs to at least one owner.
func (i *Instance) Ready(now Time) bool {
	if i.leaving {
		return false
	}
	if len(i.pool.order) > 0 {
		return true
	}
	return slices.ContainsFunc(i.members.order, func(p *peer) bool { return p.reachable(now) && len(p.loads) > 0 })
}

// QueuedJobs returns the number of jobs that wait at this instance's servers.
func (i *Instance) QueuedJobs() int { return len(i.pool.queue) }

// Idle reports whether nothing is left to finish before the process may end.
func (i *Instance) Idle() bool {
	return len(i.home.calls) == 0 && len(i.pool.jobs) == 0 && len(i.pool.order) == 0 && len(i.holder.jobs) == 0
}
