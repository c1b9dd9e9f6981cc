package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Limits of a pool.
const (
	// outcomeRetention is how long outcomes are kept for an instance with a broken
	// link: it reconnects within that time or counts as lost.
	outcomeRetention = 3 * time.Second
	// initialTypicalMilli is the assumed CPU of a task, in milli-cores, until a job has
	// been seen: that of a wide task.
	initialTypicalMilli = 8000
	// maxObjectiveFactor is the multiple of its objective after which a job's result is
	// of no use to its caller.
	maxObjectiveFactor = 3
	// packingShare is the share of the capacity that tasks can fill, as they don't
	// divide the servers evenly.
	packingShare = 0.85
)

// jobKey identifies a job by its origin and call.
type jobKey struct {
	origin      model.Instance
	incarnation model.Incarnation
	call        CallID
}

func (j *job) key() jobKey { return jobKey{j.origin.Instance, j.origin.Incarnation, j.call} }

// recentOutcome is an outcome that its origin may not have received.
type recentOutcome struct {
	key     jobKey
	result  Result
	attempt uint32 // last attempt of an offloaded task
	at      Time
}

// pool runs jobs on the backend servers that this instance owns.
type pool struct {
	self    Member
	members *members
	owners  *owners
	lease   time.Duration
	// orphanRunTime is the time after which runs that nobody renews have certainly
	// ended.
	orphanRunTime time.Duration
	maxJobMemory  int64 // see Options
	policy        Policy
	effect        func(Effect)

	servers        map[model.ServerID]*server
	orderedServers []*server // sorted by ID
	jobs           map[jobKey]*job
	byID           map[string][]*job // those that aren't durable: the job itself, and tasks of it offloaded here
	orphans        *orphans
	queue          []*job // jobs with queued tasks
	shortage       shortage
	recent         []recentOutcome
	typicalMilli   float64 // moving mean of the CPU per task
	fastFactor     float64 // run time relative to the estimate at the fastest servers
	speeds         speedModels
	holder         *holder
	places         places
	fitting        map[fittingKey]map[memberKey]int // servers by owner, as of the last tick

	unsettled []*task  // suspects of which it isn't known whether their servers have crashed
	outages   []outage // servers lost of late

	delayed        []delayedTask
	offloads       map[CallID]offload
	lastOffload    CallID
	queueClearAt   Time // when no job that can be on time waited last
	sustained      bool // such jobs have waited for sustainedShortage since then
	queueAnnounced bool // peers have been told of queued tasks
	newlyOpened    bool // servers have opened that peers may not know of

	pendingCommands pendingCalls // and immediate polls
	pendingPolls    pendingCalls
	replies         replyTimes

	noStartsUntil Time // set after a pause of the process
}

func newPool(o Options, m *members, ow *owners, effect func(Effect)) *pool {
	return &pool{
		self: o.Self, members: m, owners: ow, lease: o.Lease, orphanRunTime: MaxOrphanRunTime(o.Lease, o.StopTimeout), maxJobMemory: o.MaxJobMemory, policy: o.Policy, effect: effect,
		orphans:      newOrphans(),
		offloads:     map[CallID]offload{},
		servers:      map[model.ServerID]*server{},
		jobs:         map[jobKey]*job{},
		byID:         map[string][]*job{},
		typicalMilli: initialTypicalMilli,
		fastFactor:   1,
		speeds:       speedModels{},
		shortage:     shortage{},
		places:       places{farFactor: o.FarFactor},
		fitting:      map[fittingKey]map[memberKey]int{},
	}
}

// addServer takes control of a backend server. Nothing starts there before its first
// poll.
func (p *pool) addServer(e ServerEntry, o Ownership, now Time) {
	if s := p.servers[e.ID]; s != nil {
		p.renewToken(s, o, now)
		return
	}
	if o.Token() <= p.owners.fenced[e.ID] {
		return
	}
	s := newServer(e, o, p.speeds.forServer(e))
	s.evacuations = p.owners.evacuations
	s.unknownLease = p.leaseFor(0) // granted by the earlier owner
	p.servers[e.ID] = s
	p.orderedServers = append(p.orderedServers, s)
	slices.SortFunc(p.orderedServers, func(a, b *server) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	p.logOwned(o)
	if s.leaving.announced {
		p.logLeaving(s, listSource{way: wayOwned}, s.reportAge(now))
	}
	p.poll(s, now)
}

func (p *pool) logOwned(o Ownership) {
	entry := LogEntry{Kind: LogServerOwned, Server: o.Server, Value: o.Token()}
	if o.Rank > 0 {
		entry.Reason = "successor"
	}
	p.effect(entry)
}

// renewToken continues to control a server under a higher token. Another instance may
// have controlled it under a token in between, so nothing starts before the next poll.
func (p *pool) renewToken(s *server, o Ownership, now Time) {
	if o.Token() <= s.ownership.Token() {
		return
	}
	s.ownership, s.phase, s.nextPollAt = o, phaseRecovering, now
	s.unknownLease = max(s.unknownLease, p.leaseFor(0))
	p.logOwned(o)
	p.pollNow(s, now)
}

// logLeaving logs that a server of this instance is leaving; age is that of its report.
func (p *pool) logLeaving(s *server, from listSource, age time.Duration) {
	p.effect(LogEntry{Kind: LogServerLeaving, Server: s.entry.ID, Peer: from.peer, Reason: from.way, Value: from.revision, Age: age, Count: len(s.runs)})
}

// updateListed applies the store's list of servers.
func (p *pool) updateListed(list *serverList, now Time) {
	for _, s := range slices.Clone(p.orderedServers) {
		e, ok := list.entries[s.entry.ID]
		s.listed = ok
		if !ok {
			if len(s.runs) == 0 {
				p.dropServer(s, now)
			}
			continue
		}
		if s.restarted(e) {
			p.handleRestart(s, e.BootMs, now)
		}
		s.entry = e
		if s.reportEntry() {
			p.logLeaving(s, list.source, s.reportAge(now))
		}
	}
	p.rejectUnfit(now)
}

// offer accepts a job. declined reports that it should be offered elsewhere.
func (p *pool) offer(origin Member, call CallID, spec JobSpec, allowQueue bool, now Time) (declined bool) {
	key := jobKey{origin.Instance, origin.Incarnation, call}
	if p.jobs[key] != nil {
		return false
	}
	if i := slices.IndexFunc(p.recent, func(o recentOutcome) bool { return o.key == key }); i >= 0 {
		p.sendOutcome(origin, call, p.recent[i].result, p.recent[i].attempt)
		return false
	}
	if declined, rejected := p.offerToEvacuated(origin, call, &spec, now); declined || rejected {
		return declined
	}
	if spec.Durable {
		return p.holder.offer(origin, call, spec)
	}
	if p.endOtherSubmissions(&spec, origin, now) {
		p.answerOutdated(origin, call, now)
		return false
	}
	if spec.Offloaded != nil {
		return p.offerOffloaded(origin, call, spec, now)
	}
	orphansEnd := p.orphansEndAt(&spec, origin, now)
	if !p.hasMemoryFor(&spec) {
		retryAfter := max(minRetryAfter, orphansEnd.Sub(now))
		p.effect(LogEntry{
			Kind: LogJobQueued, Job: spec.ID, Reason: RefusedPrefix + string(ReasonMemory), Age: retryAfter,
			Class: &JobClass{spec.Route, spec.Priority, origin.Domain},
		})
		p.sendOutcome(origin, call, Result{Kind: NotRun, Reason: ReasonMemory, RetryAfter: retryAfter}, 0)
		return false
	}
	j := newJob(spec, origin, call)
	j.again = orphansEnd != 0
	p.updateTypicalMilli(spec)
	p.noteOffered(j, now)
	result, wait := p.admit(j, now)
	switch {
	case !allowQueue && !j.again && (result != admitNow || p.queuedAtOwner(spec.Service, now)):
		return true
	case result == admitReject || j.again && !spec.mayCompleteFrom(orphansEnd):
		reason := ReasonOverload
		if j.again {
			reason, wait = ReasonResubmitted, max(wait, orphansEnd.Sub(now))
		}
		p.logQueued(j, RefusedPrefix+string(reason), wait)
		p.sendResult(j, Result{Kind: NotRun, Reason: reason, RetryAfter: p.retryAfter(j, wait, now)}, now)
		return false
	}
	if result == admitQueue {
		p.logQueued(j, "waits", wait)
	}
	p.addJob(j)
	p.queue = append(p.queue, j)
	if j.again {
		p.delayAll(j, WaitsSubmitted, orphansEnd, now)
	}
	p.dispatch(now)
	return false
}

// addJob adds a job that isn't durable to the tables.
func (p *pool) addJob(j *job) {
	p.jobs[j.key()] = j
	p.byID[j.spec.ID] = append(p.byID[j.spec.ID], j)
}

// removeJob removes a job that is over from the tables.
func (p *pool) removeJob(j *job) {
	j.done = true
	delete(p.jobs, j.key())
	if list := slices.DeleteFunc(p.byID[j.spec.ID], func(x *job) bool { return x == j }); len(list) > 0 {
		p.byID[j.spec.ID] = list
	} else {
		delete(p.byID, j.spec.ID)
	}
}

// dispatch starts all tasks that can start now.
func (p *pool) dispatch(now Time) {
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.done || !j.waits() })
	p.updateSustained(now)
	if len(p.queue) == 0 {
		p.places.reset()
		return
	}
	if now < p.noStartsUntil {
		return
	}
	p.sortQueue(now)
	p.placeSuspects(now)
	open := p.openServers(p.minQueuedMilli(), now)
	p.beginPlaces(open, now)
	for _, j := range p.queue {
		for _, st := range j.steps {
			if st.ready && p.holder.mayStart(j) {
				st.awaitsLife = false
				p.startStep(st, open, now)
				st.atLimit = p.waitsForLimit(st, open, now)
			}
		}
	}
	p.offloadQueued(now)
	p.returnStaged(now)
	p.shedLate(now)
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.done || !j.waits() })
}

// startStep starts as many queued tasks of a step as fit.
func (p *pool) startStep(st *step, open []*server, now Time) {
	if p.placed(st) {
		p.startPlaced(st, open, now)
		return
	}
	for len(st.queued) > 0 {
		t := st.queued[0]
		if near := p.rackTarget(t, now); near != nil {
			st.queued = st.queued[1:]
			p.offloadTask(t, near, "", now)
			continue
		}
		s := p.pickServer(t, open, now)
		if s == nil {
			return
		}
		st.queued = st.queued[1:]
		p.startTask(t, s, now)
	}
}

func (p *pool) enqueue(j *job) {
	if !j.done && !slices.Contains(p.queue, j) {
		p.queue = append(p.queue, j)
	}
}

// requeue queues a task again.
func (p *pool) requeue(t *task) {
	if t.suspect() {
		t.step.suspects = append(t.step.suspects, t)
	} else {
		t.step.queued = append(t.step.queued, t)
	}
	p.enqueue(t.job)
}

// withdraw cancels a job that its origin no longer waits for.
func (p *pool) withdraw(key jobKey, now Time) {
	if j := p.jobs[key]; j != nil {
		p.endJob(j, Result{Kind: Unknown, Reason: ReasonCallerGone}, now)
		p.dispatch(now)
	}
}

// handleOriginLost cancels all jobs of a lost member.
func (p *pool) handleOriginLost(m Member, now Time) {
	p.dropJobs(func(k jobKey) bool { return k.origin == m.Instance && k.incarnation == m.Incarnation }, now)
}

// dropUnwanted cancels the jobs of an origin that are not among its open calls.
func (p *pool) dropUnwanted(origin Member, calls []CallID, now Time) {
	p.dropJobs(func(k jobKey) bool {
		return k.origin == origin.Instance && (k.incarnation != origin.Incarnation || !slices.Contains(calls, k.call))
	}, now)
}

func (p *pool) dropJobs(which func(jobKey) bool, now Time) {
	for _, j := range p.sortedJobs() {
		if which(j.key()) {
			p.endJob(j, Result{Kind: Unknown, Reason: ReasonCallerGone}, now)
		}
	}
	p.dispatch(now)
}

// dropOffloads cancels the tasks that an owner has offloaded here of the jobs of home,
// which has given the owner up.
func (p *pool) dropOffloads(owner, home Member, now Time) {
	for _, j := range p.sortedJobs() {
		if j.offloaded != nil && j.origin.sameIncarnation(owner) && j.home().sameIncarnation(home) {
			p.endJob(j, Result{Kind: Unknown, Reason: ReasonCallerGone}, now)
		}
	}
	p.dispatch(now)
}

func (p *pool) sortedJobs() []*job {
	out := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.origin.Instance, b.origin.Instance), cmp.Compare(a.call, b.call))
	})
	return out
}

// endJob sends the result of a job and stops its remaining runs.
func (p *pool) endJob(j *job, result Result, now Time) {
	if j.done {
		return
	}
	p.removeJob(j)
	if result.Kind != Completed {
		offloads := p.offloadsOf(j)
		p.recordOrphans(j, len(offloads) > 0, now)
		p.stopJob(j, now)
		p.withdrawOffloads(j, offloads)
	}
	if result.Kind == Unknown && j.starts == 0 {
		result.Kind = NotRun
	}
	if kind := j.endEvent(result); kind != 0 {
		p.effect(LogEntry{
			Kind: kind, Offer: j.call, Job: j.spec.ID, Peer: j.origin.Instance, Count: j.starts,
			Age: now.Sub(j.spec.ReceivedAt), Reason: result.Kind.String() + " " + string(result.Reason),
			At: now, Runs: j.records,
		})
	}
	if j.durable != nil {
		p.holder.recordResult(j.durable, result)
		return
	}
	p.sendResult(j, result, now)
}

// stopJob stops the runs of a job.
func (p *pool) stopJob(j *job, now Time) {
	if j.activeRuns == 0 {
		return
	}
	p.stopRuns(j, func(s *server, r *run) {
		j.keepRecord(r.record(s))
		r.task = nil
	}, now)
	j.activeRuns = 0
}

// stopRuns stops the runs of a job not yet being stopped, and passes every run to each.
func (p *pool) stopRuns(j *job, each func(*server, *run), now Time) {
	for _, s := range p.orderedServers {
		for _, r := range s.sortedRuns() {
			if r.task == nil || r.task.job != j {
				continue
			}
			if r.state != runStopping {
				p.stopRun(s, r, now)
			}
			each(s, r)
			p.poll(s, now)
		}
	}
}

// sendResult sends the result of a job.
func (p *pool) sendResult(j *job, result Result, now Time) {
	p.sendFinal(j.origin, j.call, result, j.lastAttempt(), now)
}

// answerOutdated ends an offer that a later submission of its job has outdated. It isn't
// declined, nor may it be taken for unknown on the next link: its sender would offer it to
// another owner.
func (p *pool) answerOutdated(origin Member, call CallID, now Time) {
	p.sendFinal(origin, call, outdatedResult, 0, now)
}

// sendFinal sends the final outcome of an offer and retains it for reconnects.
func (p *pool) sendFinal(origin Member, call CallID, result Result, attempt uint32, now Time) {
	if origin.Instance != p.self.Instance {
		p.recent = append(p.recent, recentOutcome{jobKey{origin.Instance, origin.Incarnation, call}, result, attempt, now})
	}
	p.sendOutcome(origin, call, result, attempt)
}

func (p *pool) sendOutcome(origin Member, call CallID, result Result, attempt uint32) {
	p.effect(outcomeReady{origin: origin, outcome: Outcome{Call: call, Result: result, Attempt: attempt}})
}

// outcomeReady is an outcome for the instance that holds the call. Instance.Step sends
// it to the peer or delivers it to the local router.
type outcomeReady struct {
	origin  Member
	outcome Outcome
}

func (outcomeReady) effect() {}

// tick runs everything that is due.
func (p *pool) tick(now Time) {
	p.recent = slices.DeleteFunc(p.recent, func(o recentOutcome) bool { return now.Sub(o.at) > outcomeRetention })
	for _, s := range p.orderedServers {
		p.tickServer(s, now)
	}
	p.orphans.prune(now)
	p.updateFastFactor(now)
	p.places.owners = nil
	clear(p.fitting)
	p.requeueDelayed(now)
	p.expireJobs(now)
	p.moveEvacuated(now)
	p.dispatch(now)
}

// expireJobs ends jobs past their callers' deadlines, and queued ones that would miss
// them even if they took half the estimated time.
func (p *pool) expireJobs(now Time) {
	for _, j := range slices.Clone(p.queue) {
		if j.done || !j.waits() {
			continue
		}
		if now.Add(j.remainingTime()/2) > j.spec.Deadline() {
			p.endJob(j, Result{Kind: Unknown, Reason: ReasonDeadline, RetryAfter: p.expectedWait(nil, now)}, now)
		}
	}
	for _, j := range p.sortedJobs() {
		if now > j.spec.Deadline() {
			p.endJob(j, Result{Kind: Unknown, Reason: ReasonDeadline}, now)
		}
	}
}
