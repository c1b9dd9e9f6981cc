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
	// StopTimeout is the longest time from a stop command to the end of the run.
	StopTimeout time.Duration
	// SharedWatchMinServers is the number of backend servers from which only a few
	// members of a cell watch the store; 0 means 100.
	SharedWatchMinServers int
	// FarFactor is how many times its usual time a task takes on another rack than that
	// of its data. Up to 1, placement doesn't wait for racks.
	FarFactor float64
	// MaxJobMemory bounds the estimated memory of the durable jobs held by this instance, and
	// that of the other jobs at its servers, each in bytes; 0 means no bound.
	MaxJobMemory int64
	// Policy selects simpler scheduling decisions as baselines for comparison.
	Policy Policy
}

// Timing of ticks and pause detection.
const (
	// tickInterval is the longest time between two ticks.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between events that indicates a suspended process.
	pauseThreshold = 400 * time.Millisecond
	// resumeDelay is how long nothing starts after such a gap, so that queued events
	// are processed first.
	resumeDelay = 100 * time.Millisecond
)

// Instance is the reducer of one instance.
type Instance struct {
	opts    Options
	members *members
	servers *serverList
	owners  *owners
	pool    *pool
	router  *router
	holder  *holder

	effects []Effect
	config  *configFetch

	evacuations *evacuations

	lastEventAt  Time
	leaving      bool
	stopDeadline Time
}

// NewInstance returns an instance without any state.
func NewInstance(o Options, now Time) *Instance {
	i := &Instance{opts: o, lastEventAt: now}
	emit := func(e Effect) { i.effects = append(i.effects, e) }
	i.members = newMembers(o.Self, emit)
	i.config = &configFetch{self: o.Self, members: i.members, effect: emit}
	i.servers = newServerList(o, i.members, now, emit)
	i.config.list = i.servers
	i.evacuations = &evacuations{}
	i.owners = newOwners(o.Self, i.servers, now, emit)
	i.owners.evacuations = i.evacuations
	i.pool = newPool(o, i.members, i.owners, emit)
	i.holder = newHolder(o.Self, i.members, i.owners, i.pool, now, emit)
	i.pool.holder = i.holder
	i.router = newRouter(o.Self, i.members, i.owners, i.pool, emit)
	return i
}

// Step processes an event and returns its effects.
func (i *Instance) Step(now Time, e Event) []Effect {
	if gap := now.Sub(i.lastEventAt); gap > pauseThreshold {
		i.handlePause(gap, now)
	}
	i.lastEventAt = now
	i.handle(now, e)
	if i.holder.inUse && !i.holder.announced {
		i.holder.announced = true
		i.sendHeartbeats(now, true)
	}
	out := i.drainEffects(now)
	for _, p := range i.pool.peersToUpdate(now) {
		i.sendHeartbeat(p, now)
	}
	for _, p := range i.pool.peersToNotify(now) {
		i.sendHeartbeat(p, now)
	}
	return append(out, i.drainEffects(now)...)
}

// drainEffects returns the pending effects and delivers outcomes of local jobs to the
// router.
func (i *Instance) drainEffects(now Time) []Effect {
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
				i.router.handleOutcome(i.opts.Self, o.outcome, now)
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
		if i.members.handleListed(e.Members, now) {
			i.owners.groupByDomain(i.members.inCell)
		}
		i.holder.handleListed(e.Members)
		i.maintainPeersAndServers(now)
	case StoreStatus:
		i.members.storeUp = e.Up
		i.holder.handleStoreStatus(e.Up, now)
	case OwnersChanged:
		i.learnOwners(e.Owners, now)
		i.owners.loaded = true
		i.maintainPeersAndServers(now)
	case ServersListed:
		changes := i.servers.replace(e.Servers, e.Revision, now)
		i.servers.broadcast(changes, now)
		i.handleServersChanged(now)
	case ServersChanged:
		i.servers.handleWatched(e.ServerChanges, now)
		if len(e.Servers)+len(e.Removed) > 0 {
			i.handleServersChanged(now)
		}
	case EvacuationsChanged:
		i.applyEvacuations(e.Domains, e.Revision, "", now)
	case ClaimReply:
		i.owners.claims = max(0, i.owners.claims-1)
		i.learnOwners(e.Owners, now)
		if e.Committed {
			i.announceOwners(e.Owners, now)
		}
		i.maintainPeersAndServers(now)
		i.router.retryDeferred(now)
	case LinkUp:
		i.handleLinkUp(e, now)
	case LinkDown:
		i.handleLinkDown(e, now)
	case PeerMessage:
		i.handleMessage(e, now)
	case JobSubmitted:
		i.router.handleSubmitted(e, now)
	case CallerDisconnected:
		i.router.handleDisconnected(e.Call, now)
	case StartReply:
		i.pool.handleStartReply(e, now)
	case StopReply:
		i.pool.handleStopReply(e, now)
	case PollReply:
		i.pool.handlePollReply(e, now)
	case JobSaved:
		i.holder.handleSaved(e, now)
	case JobsScanned:
		i.holder.handleScanned(e, now)
	case JobCancelled:
		i.holder.handleCancelled(e.ID, now)
		i.router.handleCancelled(e.ID, now)
	case MembershipRenewed:
		i.servers.handleRenewed(e.SentAt)
		i.members.renewedAt = e.SentAt
		i.holder.handleRenewed(e, now)
	case JobStateRequested:
		i.effects = append(i.effects, Answer{Call: e.Call, Result: Result{Kind: i.holder.state(e.ID)}})
	case PendingCountRequested:
		i.holder.pending.handleRequest(e.Call, e.Route, now)
	case ConfigApplied:
		i.config.setInForce(e.Version)
	case StopRequested:
		i.leaving, i.stopDeadline = true, e.Deadline
		i.sendHeartbeats(now, true)
		i.holder.startLeaving(now)
		i.maintainPeersAndServers(now)
	case InputProcessed:
		i.members.inputAt = e.At
	case RepliesOverdue:
		i.pool.settleOverdue(now)
	case Tick:
		i.pool.settleOverdue(now)
		i.maintainPeers(now)
		if i.owners.planDue(now) {
			i.balanceServers(now)
		}
		i.holder.tick(now)
		i.pool.settleLosses(i.servers, now)
		i.pool.tick(now)
		i.router.tick(now)
		i.config.tick(now)
		i.servers.tick(now)
		if i.leaving && now >= i.stopDeadline {
			i.router.abandonAll()
		}
	}
}

// handlePause handles a suspension of the process, after which all earlier information
// is stale. Other members have cancelled their jobs here or are about to, and callers
// have disconnected. The messages about this may arrive after replies that would let
// tasks start again.
func (i *Instance) handlePause(gap time.Duration, now Time) {
	i.effects = append(i.effects, LogEntry{Kind: LogPauseDetected, Age: gap})
	i.pool.noStartsUntil, i.router.noOffersUntil = now.Add(resumeDelay), now.Add(resumeDelay)
	for _, p := range i.members.orderedPeers {
		i.pool.handleOriginLost(p.member, now) // by the last echo before the pause
		if p.everHeard {
			p.heardAt = max(p.heardAt, now.Add(-p.timeout(now)/2))
			p.graceFrom = now.Add(-echoTimeout / 2)
		}
	}
	i.pool.expireJobs(now)
	i.holder.handlePause(now)
}

// maintainPeersAndServers responds to a change of members or servers without waiting
// for the next tick.
func (i *Instance) maintainPeersAndServers(now Time) {
	i.maintainPeers(now)
	i.balanceServers(now)
}

// maintainPeers handles lost members, sends due heartbeats and replaces quiet links.
func (i *Instance) maintainPeers(now Time) {
	i.members.busy, i.members.hasServers = i.busy(), len(i.pool.orderedServers) > 0
	i.members.updateInquiries(now)
	i.members.updateActive(now)
	i.handleLostMembers(now)
	i.sendHeartbeats(now, false)
	i.members.reconnectQuiet(now)
}

// busy reports whether this instance has servers or jobs, so that peers must detect its
// loss quickly, or waits for their reports.
func (i *Instance) busy() bool {
	return len(i.pool.orderedServers) > 0 || len(i.pool.jobs) > 0 || len(i.holder.jobs) > 0 || len(i.members.inquiries) > 0
}

// balanceServers claims and releases servers.
func (i *Instance) balanceServers(now Time) {
	for _, s := range i.owners.plan(i.members, i.leaving, now) {
		if x := i.pool.servers[s]; x != nil {
			x.releasing = true
		}
	}
	if taken := i.owners.succeed(i.members, i.leaving, now); len(taken) > 0 {
		i.learnOwners(taken, now)
		i.announceOwners(taken, now)
	}
	i.releaseServers(now)
}

// handleLostMembers cancels the jobs that lost members offered and reclaims those that
// they ran.
func (i *Instance) handleLostMembers(now Time) {
	for _, p := range i.members.detectLost(now) {
		runsEnd := p.lastActiveAt(now).Add(i.pool.orphanRunTime)
		if i.router.handleOwnerLost(p.member, runsEnd, now) {
			i.members.gaveUpHere[p.member.Instance] = givenUpOwner{p.member, now}
			i.withdrawOffloadsOf(p.member)
		}
		i.router.handleCallsLost(p, runsEnd)
		i.pool.handleTargetLost(p.member, runsEnd, now)
		i.pool.handleOriginLost(p.member, now)
	}
	for _, p := range i.members.newlyExpired(now) {
		i.holder.handleMemberExpired(p, now)
	}
}

// withdrawOffloadsOf withdraws the tasks of this instance's jobs that a lost owner has
// offloaded. It may be alive, and the owners that run them may hear it and this instance.
func (i *Instance) withdrawOffloadsOf(owner Member) {
	for _, p := range i.members.orderedPeers {
		if p.linked && p.member.Instance != owner.Instance {
			i.effects = append(i.effects, SendPeer{To: p.member, Message: Withdraw{Owner: owner}})
		}
	}
}

// releaseServers releases servers that are marked for release and run nothing.
func (i *Instance) releaseServers(now Time) {
	if i.owners.claims > 0 || !i.members.storeUp {
		return
	}
	var empty []Ownership
	for _, s := range i.pool.orderedServers {
		s.releasing = s.releasing || i.leaving
		if s.releasing && len(s.runs) == 0 && s.ackedSeq >= s.seenSeq && len(empty) < maxServersPerClaim {
			empty = append(empty, s.ownership)
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

// announceOwners sends ownerships that were just written to the peers.
func (i *Instance) announceOwners(list []Ownership, now Time) {
	for _, p := range i.members.orderedPeers {
		if p.reachable(now) {
			i.effects = append(i.effects, SendPeer{To: p.member, Message: OwnersUpdate{Owners: list}})
		}
	}
}

// learnOwners merges ownerships and updates the pool accordingly.
func (i *Instance) learnOwners(list []Ownership, now Time) {
	i.owners.merge(list)
	for _, x := range list {
		known := i.owners.known[x.Server]
		s := i.pool.servers[x.Server]
		entry, listed := i.owners.entries[x.Server]
		switch {
		case i.owners.isMine(x.Server) && listed:
			i.pool.addServer(entry, known, now)
		case s != nil && known.Token() > s.ownership.Token():
			i.pool.dropServer(s, now)
		}
	}
}

// handleServersChanged applies a changed list of servers.
func (i *Instance) handleServersChanged(now Time) {
	entries := i.servers.entries
	i.owners.groupByDomain(i.members.inCell)
	i.pool.updateListed(i.servers, now)
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		if i.owners.isMine(id) && i.pool.servers[id] == nil {
			i.pool.addServer(entries[id], i.owners.known[id], now)
		}
	}
	i.maintainPeersAndServers(now)
}

func (i *Instance) handleLinkUp(e LinkUp, now Time) {
	p := i.members.addPeer(e.Peer, now)
	if p == nil {
		return
	}
	i.handleLostMembers(now) // before the new incarnation receives the open calls
	p.linked, p.refused, p.dead = true, false, false
	p.markHeard(now)
	p.linkedAt, p.heardAt, p.remoteReceiveAge = now, now, 0
	p.offloadSentMilli, p.offloadAckedMilli, p.listForwarded, p.openCallsSent = 0, 0, 0, 0
	i.sendResync(p, false)
	for _, owner := range i.members.recentlyGivenUp(now) { // the message may be lost with the previous link
		i.effects = append(i.effects, SendPeer{To: p.member, Message: Withdraw{Owner: owner}})
	}
	for _, o := range i.pool.recent {
		if o.key.origin == p.member.Instance && o.key.incarnation == p.member.Incarnation {
			i.effects = append(i.effects, SendPeer{To: p.member, Message: Outcome{Call: o.key.call, Result: o.result, Attempt: o.attempt}})
		}
	}
	if list := i.owners.unconfirmed(); len(list) > 0 {
		i.effects = append(i.effects, SendPeer{To: p.member, Message: OwnersUpdate{Owners: list}})
	}
	i.sendHeartbeat(p, now)
}

// sendResync sends a peer the offers that this instance still waits for.
func (i *Instance) sendResync(p *peer, reply bool) {
	open := i.router.openOffers(p.member)
	open.Calls = append(open.Calls, i.pool.offloadsTo(p.member)...)
	open.Reply = reply
	i.effects = append(i.effects, SendPeer{To: p.member, Message: open})
}

func (i *Instance) handleLinkDown(e LinkDown, now Time) {
	p := i.members.peers[e.Peer.Instance]
	if p == nil || p.member.Incarnation != e.Peer.Incarnation {
		return
	}
	p.linked = false
	if e.Refused {
		p.refused, p.refusedAt = true, now
	}
	i.maintainPeersAndServers(now)
}

func (i *Instance) handleMessage(e PeerMessage, now Time) {
	p := i.members.addPeer(e.From, now)
	if p == nil {
		return
	}
	i.handleLostMembers(now)
	p.markHeard(now)
	p.heardAt, p.dead, p.refused = max(p.heardAt, e.ReceivedAt), false, false
	switch m := e.Message.(type) {
	case Heartbeat:
		p.leaving, p.loads, p.offloadAckedMilli, p.configVersion = m.Leaving, m.Loads, m.OffloadedMilli, m.ConfigVersion
		p.handleHeartbeat(m, e.ReceivedAt, now)
		i.members.handleReports(p, m.Reports, m.Echo, now)
		p.updateActive(i.members.busy, now)
		i.holder.pending.handleReport(p.member, m.Pending, now)
		i.holder.inUse = i.holder.inUse || m.DurableInUse
		p.declinedAt = 0
		i.learnEvacuations(p.member.Instance, m, now)
		i.router.handleOpenCalls(p, m.OpenCalls, now)
		i.pool.dispatch(now)
		i.router.retryDeferred(now)
	case Offer:
		i.handleOffer(p, m, now)
	case Withdraw:
		if m.Owner.Instance != "" {
			p.giveUp(m.Owner, now)
			i.pool.dropOffloads(m.Owner, p.member, now)
			return
		}
		if m.Job != "" {
			i.router.endEarlierCall(p.member, m.Job, m.Age, now)
			return
		}
		i.pool.withdraw(jobKey{p.member.Instance, p.member.Incarnation, m.Call}, now)
	case Outcome:
		if m.Load.Service != "" {
			p.setLoad(m.Load)
			p.offloadAckedMilli = m.OffloadedMilli
		}
		if m.Call >= firstOffloadCall {
			i.pool.handleOffloadOutcome(p, m, now)
			return
		}
		i.router.handleOutcome(p.member, m, now)
	case OwnersUpdate:
		i.learnOwners(m.Owners, now)
		i.maintainPeersAndServers(now)
	case ServersUpdate:
		if i.servers.handleUpdate(p.member.Instance, m.ServerChanges, now) {
			i.handleServersChanged(now)
		}
	case JobEnded:
		i.effects = append(i.effects, m)
	case ConfigRequest:
		i.config.handleRequest(p.member, m.HaveVersion)
	case JobsReleased:
		i.holder.scheduleScan(now.Add(releaseScanDelay), true)
	case Resync:
		p.offloadReceivedMilli = 0
		i.handleResync(p, m, now)
	}
}

func (i *Instance) handleOffer(p *peer, m Offer, now Time) {
	m.Job.ReceivedAt = now.Add(-m.Age)
	p.echoedAt = max(p.echoedAt, m.Echo)
	if m.Job.Offloaded != nil {
		p.offloadReceivedMilli += float64(m.Job.Steps[0].Need.CPUMilli)
	}
	if !m.Job.Durable && i.router.endOtherCall(&m.Job, now) {
		i.pool.answerOutdated(p.member, m.Call, now)
		return
	}
	leaving := i.leaving && !i.pool.mayHaveRuns(&m.Job, p.member, now)
	if leaving || i.members.gaveUp(m.Job.Offloaded, p.member, now) || i.pool.offer(p.member, m.Call, m.Job, m.AllowQueue, now) {
		i.decline(p, m.Call, m.Job.Service, now)
	}
}

func (i *Instance) decline(p *peer, c CallID, service string, now Time) {
	o := Outcome{Call: c, Declined: true, Result: Result{RetryAfter: i.pool.takeRackWait()}}
	if !i.leaving {
		o.Load, o.OffloadedMilli = i.pool.load(service, now), p.offloadReceivedMilli
	}
	i.effects = append(i.effects, SendPeer{To: p.member, Message: o})
}

// handleResync cancels jobs that the origin no longer waits for, and declines its calls
// that are unknown here because they never arrived or ended too long ago.
func (i *Instance) handleResync(p *peer, m Resync, now Time) {
	i.pool.dropUnwanted(p.member, m.Calls, now)
	for _, c := range m.Calls {
		key := jobKey{p.member.Instance, p.member.Incarnation, c}
		ended := slices.ContainsFunc(i.pool.recent, func(o recentOutcome) bool { return o.key == key })
		if i.pool.jobs[key] == nil && !ended {
			i.effects = append(i.effects, SendPeer{To: p.member, Message: Outcome{Call: c, Declined: true, Result: Result{Kind: Unknown}}})
		}
	}
	if !m.Reply && p.linked {
		i.sendResync(p, true) // messages of the peer on its previous link may be lost
	}
}

// sendHeartbeats sends the heartbeats that are due, or to all peers.
func (i *Instance) sendHeartbeats(now Time, all bool) {
	for _, p := range i.members.orderedPeers {
		every := i.members.heartbeatEvery(p)
		if i.router.open.lacksCalls(p) {
			every = i.members.activeHeartbeatInterval()
		}
		if p.linked && (all || now.Sub(p.heartbeatSentAt) >= every) {
			i.sendHeartbeat(p, now)
		}
	}
}

func (i *Instance) sendHeartbeat(p *peer, now Time) {
	p.heartbeatSentAt = now
	hb := Heartbeat{
		Leaving: i.leaving, Busy: i.busy(), StoreUp: i.members.storeUp, ConfigVersion: i.config.version, OffloadedMilli: p.offloadReceivedMilli, SentAt: now, Echo: i.members.echoFor(p, now),
		DurableInUse: i.holder.inUse, Pending: i.holder.pendingRoutes(now),
		RenewedAt: i.members.renewedAt, Inquiries: i.members.subjectsFor(p, now), Reports: i.members.takeReports(p, now),
		OpenCalls: i.router.open.newsFor(p),
	}
	if p.everHeard {
		hb.LastReceivedAge = now.Sub(p.heardAt)
	}
	for _, s := range i.pool.services() {
		hb.Loads = append(hb.Loads, i.pool.load(s, now))
	}
	i.evacuations.addTo(&hb)
	p.sentLoads = hb.Loads
	i.effects = append(i.effects, SendPeer{To: p.member, Message: hb})
}

// TickInterval returns the longest time to the next Tick.
func (i *Instance) TickInterval() time.Duration { return tickInterval }

// NextOverdueAt returns when to pass a RepliesOverdue event, 0 if no reply is expected.
func (i *Instance) NextOverdueAt() Time { return i.pool.nextOverdueAt() }

// Ready reports whether the instance can reach at least one owner, itself included.
func (i *Instance) Ready(now Time) bool {
	if i.leaving {
		return false
	}
	if len(i.pool.orderedServers) > 0 {
		return true
	}
	return slices.ContainsFunc(i.members.orderedPeers, func(p *peer) bool { return p.reachable(now) && len(p.loads) > 0 })
}

// QueuedJobs returns the number of jobs queued at this instance.
func (i *Instance) QueuedJobs() int { return len(i.pool.queue) }

// Idle reports whether the instance has no work left, so that the process may end.
func (i *Instance) Idle() bool {
	return len(i.router.calls) == 0 && len(i.pool.jobs) == 0 && len(i.pool.orderedServers) == 0 && len(i.holder.jobs) == 0
}
