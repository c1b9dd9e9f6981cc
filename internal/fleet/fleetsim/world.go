// Package fleetsim simulates a fleet in virtual time: instances of package fleet,
// backend servers, the store and the links between them, with faults. It checks
// invariants during the simulation.
package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/agenda"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Delays and timeouts, as in the deployments of the project's users.
const (
	interDomainDelay  = 900 * time.Microsecond // one way
	intraDomainDelay  = 200 * time.Microsecond // one way
	storeDelay        = 4 * time.Millisecond
	memberTTL         = 1500 * time.Millisecond
	callTimeout       = 200 * time.Millisecond
	defaultNoticeTime = 500 * time.Millisecond
	// Lease is the maximum lease that servers grant.
	Lease = time.Second
	// stopTime is how long a stop takes.
	stopTime = 30 * time.Millisecond
)

// World is a simulated fleet.
type World struct {
	Rand         *rand.Rand
	Policy       fleet.Policy // of instances started from now on
	now          fleet.Time
	events       agenda.Queue[fleet.Time, func()]
	instances    []*simInstance
	servers      []*Server
	owners       map[model.ServerID]fleet.Ownership
	revision     uint64
	storeUp      bool
	listed       []fleet.ServerEntry // as of listRevision
	listRevision uint64
	listReads    int // by instances that don't watch the list
	Heartbeats   Heartbeats
	entryLog     *entryLog
	evacuations  evacuations

	jobs        map[string]*JobRecord
	submissions []*JobRecord
	Violations  []string // violated invariants

	Places Places

	LostReplyRate float64       // share of durable job writes whose replies are lost
	WakeTime      time.Duration // in which an instance takes what has arrived while it was frozen
	NoticeTime    time.Duration // in which an instance that runs notices that a caller's connection is broken

	DialListed bool // instances connect only to members that they know of

	// ProcessTiming gives instances the delays of real processes: they probe their input,
	// catch up on one tick when they wake, and take a while to replace a link.
	ProcessTiming bool

	ReplaceCrashed bool // servers that a run has crashed come back under another ID

	store   *jobStore
	crashes crashCounts

	quarantines int // number of times that an instance quarantined a server

	onLog   func(fleet.LogEntry)                              // called for each log entry, may be nil
	onStart func(*Server, fleet.RunID)                        // called for each start, may be nil
	onSend  func(model.Instance, fleet.SendPeer)              // called for each message with its sender, may be nil
	onStep  func(model.Instance, fleet.Event, []fleet.Effect) // called for each step of an instance, may be nil
	onOrder func(s *Server, order fleet.Effect, late bool)    // called for each order that a server executes, may be nil

	// resend makes callers of generated jobs submit them again that got no answer.
	resend bool

	// resubmitAt draws where a job is submitted again, may be nil.
	resubmitAt func(from *simInstance, j *JobRecord) *simInstance
}

// JobRecord is the history of a job.
type JobRecord struct {
	Spec         fleet.JobSpec
	SubmittedAt  fleet.Time
	AnsweredAt   fleet.Time // 0 until answered
	Result       fleet.Result
	Starts       int
	rack         string // of the first run of a group that should share a rack
	AlwaysFails  bool   // each of its runs fails
	AlwaysStalls bool   // each of its runs stalls
	// CrashesServers makes the first task crash each server that starts it.
	CrashesServers bool
	work           time.Duration
	domain         model.Domain // of its caller
	utility        float64      // if on time, see Class
	besideFree     bool         // rejected while servers could run it, see noteRoom
	caller         *caller      // nil if it submits the job once
	lost           bool         // its caller has lost the connection
}

// OnTime reports whether the job completed within its objective, based on the actual
// work of its tasks.
func (j *JobRecord) OnTime() bool {
	return j.Result.Kind == fleet.Completed && j.AnsweredAt <= j.due()
}

// due returns the due time of the job, based on the actual work of its tasks.
func (j *JobRecord) due() fleet.Time {
	o := j.Spec.Objective
	return j.SubmittedAt.Add(o.Allowance + time.Duration(o.Stretch*float64(j.work)))
}

// simInstance is a simulated instance.
type simInstance struct {
	member         fleet.Member
	reducer        *fleet.Instance
	alive          bool
	frozen         bool
	isolated       bool       // from the other instances
	refusesLinks   bool       // while isolated: connections are refused rather than unanswered
	storeIsolated  bool       // isolated from the store
	renewedAt      fleet.Time // last renewal of its entry in the store
	incarnation    int
	calls          map[fleet.CallID]*JobRecord
	readCalls      map[fleet.CallID]bool       // taken from its queue
	lostCalls      map[fleet.CallID]fleet.Time // when callers left that it hasn't noticed yet
	nextCall       fleet.CallID
	countRequests  map[fleet.CallID]func(fleet.Result)
	links          map[model.Instance]*simLink
	deferred       []deferred    // while frozen
	lag            time.Duration // added to messages and server calls
	slowness       time.Duration // longest time that events wait in the input queue
	awakeAt        fleet.Time    // when it has read all that arrived while it was frozen
	cutServers     map[*Server]cutPath
	cutPeers       map[*simInstance]bool // messages to them are lost
	watches        bool                  // watches the list of servers
	storeWasUp     bool                  // the store answered at the last sync
	sentRevision   uint64                // list revision up to which changes were sent
	watch          int                   // counts its watches of the entries of servers
	newestRevision uint64                // of the entries, known from other reads of the store
	overdueAt      fleet.Time            // time of the scheduled RepliesOverdue, 0 if none is
	probe          inputProbe
	openOffers     openOffers
	missedTick     bool // a tick was due while frozen
}

// New returns a world without instances. The seed determines all randomness.
func New(seed uint64) *World {
	return &World{
		Rand: rand.New(rand.NewPCG(seed, 1)), owners: map[model.ServerID]fleet.Ownership{}, jobs: map[string]*JobRecord{},
		storeUp: true, NoticeTime: defaultNoticeTime, now: fleet.Time(time.Second), store: newJobStore(), entryLog: newEntryLog(),
		crashes: crashCounts{},
	}
}

// Now returns the virtual time.
func (w *World) Now() fleet.Time { return w.now }

// After calls f after d.
func (w *World) After(d time.Duration, f func()) { w.events.Push(w.now.Add(d), f) }

// Run advances the virtual time by d.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for w.events.Len() > 0 && w.events.NextAt() <= end {
		at, f := w.events.Pop()
		w.now = at
		f()
	}
	w.now = end
}

// violated records a violated invariant.
func (w *World) violated(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%.3f s: ", float64(w.now)/1e9)+fmt.Sprintf(format, args...))
}

// AddInstance adds and starts an instance in a domain.
func (w *World) AddInstance(name model.Instance, d model.Domain, weight float64) {
	n := &simInstance{
		member: fleet.Member{Instance: name, Domain: d, Addr: string(name), Weight: weight},
		links:  map[model.Instance]*simLink{}, cutServers: map[*Server]cutPath{}, cutPeers: map[*simInstance]bool{},
	}
	w.instances = append(w.instances, n)
	w.Start(name)
}

func (w *World) instance(name model.Instance) *simInstance {
	i := slices.IndexFunc(w.instances, func(n *simInstance) bool { return n.member.Instance == name })
	return w.instances[i]
}

// Start starts an instance, killing it first if it is alive.
func (w *World) Start(name model.Instance) {
	n := w.instance(name)
	if n.alive {
		w.Kill(name)
	}
	n.incarnation++
	n.member.Incarnation = model.Incarnation(fmt.Sprintf("%08d", n.incarnation))
	n.alive, n.frozen, n.deferred, n.awakeAt = true, false, nil, 0
	n.watches, n.storeWasUp, n.sentRevision = true, true, 0
	n.overdueAt, n.probe, n.missedTick, n.openOffers = 0, inputProbe{}, false, openOffers{}
	n.renewedAt = w.now
	n.calls, n.readCalls, n.lostCalls = map[fleet.CallID]*JobRecord{}, map[fleet.CallID]bool{}, map[fleet.CallID]fleet.Time{}
	n.reducer = fleet.NewInstance(fleet.Options{Self: n.member, Lease: Lease, StopTimeout: stopTime, Policy: w.Policy, FarFactor: w.Places.toldFactor()}, w.now)
	if w.DialListed {
		for _, l := range n.links {
			l.hangUp()
		}
	}
	incarnation := n.incarnation
	w.After(storeDelay, func() { w.syncStore(n, incarnation) })
	w.After(10*time.Millisecond, func() { w.tick(n, incarnation) })
	w.watchEntries(n)
	for _, o := range w.instances {
		known := o.dials(n)
		o.linkTo(n).inbox = nil
		if o != n && o.alive && !w.DialListed {
			w.connect(n, o)
		}
		if o != n && o.alive && (known || !w.DialListed) {
			w.connect(o, n)
		}
	}
}

// syncStore sends the contents of the store to an instance, periodically.
func (w *World) syncStore(n *simInstance, incarnation int) {
	if n.incarnation != incarnation || !n.alive {
		return
	}
	up := w.storeUp && !n.storeIsolated
	w.step(n, fleet.StoreStatus{Up: up && n.storeWasUp}) // its watches recover later than its renewals
	n.storeWasUp = up
	if up {
		created := w.now.Sub(n.renewedAt) >= memberTTL
		n.renewedAt, n.newestRevision = w.now, w.entryLog.revision
		w.step(n, fleet.MembershipRenewed{SentAt: w.now, Created: created})
		w.step(n, fleet.MembersListed{Members: w.members()})
		w.sendServers(n)
		w.sendEvacuations(n)
		w.step(n, fleet.OwnersChanged{Owners: w.ownerList()})
	}
	w.After(200*time.Millisecond, func() { w.syncStore(n, incarnation) })
}

// members lists the instances with unexpired entries in the store, dead or alive.
func (w *World) members() []fleet.Member {
	var out []fleet.Member
	for _, n := range w.instances {
		if w.now.Sub(n.renewedAt) < memberTTL {
			out = append(out, n.member)
		}
	}
	return out
}

func (w *World) ownerList() []fleet.Ownership {
	var out []fleet.Ownership
	for _, s := range w.servers {
		if o, ok := w.owners[s.Entry.ID]; ok {
			out = append(out, o)
		}
	}
	return out
}

func (w *World) entries() []fleet.ServerEntry {
	var out []fleet.ServerEntry
	for _, s := range w.servers {
		if !s.Unlisted {
			out = append(out, s.Entry)
		}
	}
	return out
}

// sendServers sends changes in the list of servers to an instance that watches it.
func (w *World) sendServers(n *simInstance) {
	list, at := w.serverList()
	switch {
	case !n.watches || w.Heartbeats.Interval > 0:
		return
	case n.sentRevision == 0:
		w.step(n, fleet.ServersListed{Servers: list, Revision: at})
	default:
		w.step(n, fleet.ServersChanged{ServerChanges: fleet.ServerChanges{FromRevision: n.sentRevision, ToRevision: at, Servers: w.changedSince(n.sentRevision), Removed: w.removedServers()}})
	}
	n.sentRevision = at
}

// serverList returns the list of servers with its revision.
func (w *World) serverList() ([]fleet.ServerEntry, uint64) {
	list := w.entries()
	if !slices.EqualFunc(list, w.listed, fleet.ServerEntry.Equal) {
		w.listed = list
		w.listRevision++
	}
	return list, w.listRevision
}

// changedSince returns the entries that may have changed since a revision: all unless
// it is the current one.
func (w *World) changedSince(rev uint64) []fleet.ServerEntry {
	if rev == w.listRevision {
		return nil
	}
	return w.listed
}

func (w *World) removedServers() (out []model.ServerID) {
	for _, s := range w.servers {
		if s.Unlisted {
			out = append(out, s.Entry.ID)
		}
	}
	return out
}

func (w *World) tick(n *simInstance, incarnation int) {
	if n.incarnation != incarnation || !n.alive {
		return
	}
	switch {
	case n.frozen:
		n.missedTick = true
	case w.ProcessTiming:
		w.timedTick(n)
	default:
		w.stepNow(n, fleet.InputProcessed{At: n.inputProcessed(w.now)})
		w.step(n, fleet.Tick{})
	}
	w.After(n.reducer.TickInterval(), func() { w.tick(n, incarnation) })
}

// step passes an event to an instance, which may have to take it from its queue first.
// Timers have no queue.
func (w *World) step(n *simInstance, e fleet.Event) {
	switch e.(type) {
	case fleet.Tick, fleet.RepliesOverdue:
		w.stepNow(n, e)
	default:
		w.queue(n, func() { w.stepNow(n, e) })
	}
}

// stepNow passes an event to an instance and executes its effects.
func (w *World) stepNow(n *simInstance, e fleet.Event) {
	if !n.alive {
		return
	}
	if n.frozen {
		incarnation := n.incarnation
		w.whenAwake(n, false, func() {
			if n.incarnation == incarnation {
				w.step(n, e)
			}
		})
		return
	}
	switch x := e.(type) {
	case fleet.JobSubmitted:
		n.readCalls[x.Call] = true
	case fleet.InputProcessed:
		n.probe.inFlight = false
	case fleet.CallerDisconnected:
		if !n.readCalls[x.Call] { // events of a call are in order
			w.later(n, time.Millisecond, func() { w.stepNow(n, e) })
			return
		}
		delete(n.lostCalls, x.Call)
	}
	effects := n.reducer.Step(w.now, e)
	n.openOffers.observe(n.member.Instance, e, effects, func(call fleet.CallID, has, gets model.Instance) {
		w.violated("%s offers call %d to %s while %s has it", n.member.Instance, call, gets, has)
	})
	if w.onStep != nil {
		w.onStep(n.member.Instance, e, effects)
	}
	for _, x := range effects {
		w.execute(n, x)
	}
	w.scheduleOverdue(n)
}

// scheduleOverdue passes a RepliesOverdue event to an instance when it is due.
func (w *World) scheduleOverdue(n *simInstance) {
	at := n.reducer.NextOverdueAt()
	if at == 0 || n.overdueAt != 0 && n.overdueAt <= at {
		return
	}
	n.overdueAt = at
	w.later(n, max(0, at.Sub(w.now)), func() {
		n.overdueAt = 0
		w.step(n, fleet.RepliesOverdue{})
	})
}

func (w *World) execute(n *simInstance, x fleet.Effect) {
	switch x := x.(type) {
	case fleet.StartRun:
		w.startRun(n, x)
	case fleet.StopRun:
		w.stopRun(n, x)
	case fleet.Poll:
		w.poll(n, x)
	case fleet.Claim:
		w.claim(n, x)
	case fleet.SaveJob:
		w.saveJob(n, x.Record)
	case fleet.ScanJobs:
		w.scanJobs(n)
	case fleet.WatchStore:
		n.watches, n.sentRevision = x.Enabled, 0
		w.watchEntries(n)
	case fleet.ListServers:
		w.listServers(n)
	case fleet.SendPeer:
		w.send(n, x)
	case fleet.LogEntry:
		if w.onLog != nil {
			w.onLog(x)
		}
		if x.Kind == fleet.LogServerQuarantined {
			w.quarantines++
		}
	case fleet.Connect:
		if o := w.instance(x.Peer.Instance); w.DialListed && !n.dials(o) {
			w.connect(n, o)
		}
	case fleet.Disconnect:
		if w.DialListed {
			n.linkTo(w.instance(x.Peer.Instance)).hangUp()
		}
	case fleet.Reconnect:
		if w.ProcessTiming {
			w.replaceLink(n, w.instance(x.Peer.Instance))
			return
		}
		w.connect(n, w.instance(x.Peer.Instance))
	case fleet.Answer:
		w.answered(n, x)
	}
}

// listServers sends the list of servers to an instance once, if it reaches the store.
func (w *World) listServers(n *simInstance) {
	if !w.storeUp || n.storeIsolated {
		return
	}
	w.listReads++
	w.later(n, storeDelay, func() {
		if w.Heartbeats.Interval > 0 {
			var feed fleet.ServerFeed
			w.step(n, feed.List(w.listEntries(), w.entryLog.revision))
			return
		}
		list, at := w.serverList()
		w.step(n, fleet.ServersListed{Servers: list, Revision: at})
	})
}

func (w *World) delay(a, b model.Domain) time.Duration {
	if a == b {
		return intraDomainDelay
	}
	return interDomainDelay
}

// later calls f after d unless the instance has ended or restarted by then.
func (w *World) later(n *simInstance, d time.Duration, f func()) {
	incarnation := n.incarnation
	w.After(d, func() {
		if n.incarnation == incarnation && n.alive {
			f()
		}
	})
}

func (w *World) claim(n *simInstance, x fleet.Claim) {
	if !w.storeUp || n.storeIsolated {
		w.later(n, callTimeout, func() { w.step(n, fleet.ClaimReply{}) })
		return
	}
	member := n.member
	w.After(storeDelay/2, func() {
		for _, o := range x.Expected {
			if w.owners[o.Server].Revision != o.Revision {
				w.later(n, storeDelay/2, func() { w.step(n, fleet.ClaimReply{Known: true, Owners: w.ownerList()}) })
				return
			}
		}
		w.revision++
		var now []fleet.Ownership
		for _, o := range x.Expected {
			o.Owner, o.Incarnation, o.Revision, o.Rank = x.Owner, member.Incarnation, w.revision, 0
			w.owners[o.Server] = o
			now = append(now, o)
		}
		w.later(n, storeDelay/2, func() { w.step(n, fleet.ClaimReply{Known: true, Committed: true, Owners: now}) })
	})
}

// Kill ends an instance; connections to it are refused.
func (w *World) Kill(name model.Instance) {
	w.PowerOff(name)
	for _, o := range w.instances {
		if o.alive {
			w.step(o, fleet.LinkDown{Peer: w.instance(name).member, Refused: true})
		}
	}
}

// PowerOff ends an instance; the others only notice its silence.
func (w *World) PowerOff(name model.Instance) {
	n := w.instance(name)
	n.alive = false
	for _, j := range w.submissions {
		if j.AnsweredAt == 0 && n.holds(j) {
			j.AnsweredAt, j.Result = w.now, fleet.Result{Kind: fleet.Unknown}
			w.submitAgain(n, j)
		}
	}
}

func (n *simInstance) holds(j *JobRecord) bool {
	for _, c := range n.calls {
		if c == j {
			return true
		}
	}
	return false
}

// Freeze suspends an instance for d.
func (w *World) Freeze(name model.Instance, d time.Duration) {
	n := w.instance(name)
	n.frozen = true
	incarnation := n.incarnation
	w.After(d, func() {
		if n.incarnation == incarnation {
			w.wake(n)
		}
	})
}

// Isolate separates an instance from the others for d.
func (w *World) Isolate(name model.Instance, d time.Duration) {
	n := w.instance(name)
	n.isolated = true
	w.After(d, func() { n.isolated = false; w.reconnectAll(n) })
}

// IsolateRefusing separates an instance from the others for d; connections between them
// are refused, as if no process were there.
func (w *World) IsolateRefusing(name model.Instance, d time.Duration) {
	n := w.instance(name)
	n.refusesLinks = true
	w.Isolate(name, d)
	w.reconnectAll(n)
	w.After(d, func() { n.refusesLinks = false })
}

func (w *World) reconnectAll(n *simInstance) {
	for _, o := range w.instances {
		if o != n {
			w.connect(n, o)
			w.connect(o, n)
		}
	}
}

// IsolateFromStore separates an instance from the store for d.
func (w *World) IsolateFromStore(name model.Instance, d time.Duration) {
	n := w.instance(name)
	n.storeIsolated = true
	w.After(d, func() { n.storeIsolated = false })
}

// TurnAway separates instances from the store for d, which drops their entries at once.
func (w *World) TurnAway(d time.Duration, names ...model.Instance) {
	for _, name := range names {
		w.IsolateFromStore(name, d)
		w.RemoveEntry(name)
	}
}

// RemoveEntry removes the entry of an instance from the store.
func (w *World) RemoveEntry(name model.Instance) {
	w.instance(name).renewedAt = w.now.Add(-memberTTL)
}

// StoreDown makes the store unavailable for d.
func (w *World) StoreDown(d time.Duration) {
	w.storeUp = false
	w.After(d, func() { w.storeUp = true })
}

// Stop requests a graceful stop of an instance.
func (w *World) Stop(name model.Instance) {
	w.step(w.instance(name), fleet.StopRequested{Deadline: w.now.Add(5 * time.Second)})
}

// Idle reports whether an instance has no work left.
func (w *World) Idle(name model.Instance) bool { return w.instance(name).reducer.Idle() }

// Submit submits a job at an instance.
func (w *World) Submit(at model.Instance, spec fleet.JobSpec) *JobRecord {
	j := w.newRecord(spec)
	w.submit(w.instance(at), j)
	return j
}

func (w *World) newRecord(spec fleet.JobSpec) *JobRecord {
	spec.ReceivedAt = w.now
	j := &JobRecord{Spec: spec, SubmittedAt: w.now}
	w.jobs[spec.ID] = j
	w.submissions = append(w.submissions, j)
	return j
}

func (w *World) submit(n *simInstance, j *JobRecord) {
	n.nextCall++
	n.calls[n.nextCall] = j
	w.step(n, fleet.JobSubmitted{Call: n.nextCall, Job: j.Spec})
}

// Disconnect disconnects the caller of a job.
func (w *World) Disconnect(at model.Instance, j *JobRecord) {
	n := w.instance(at)
	for id, c := range n.calls {
		if c == j {
			j.AnsweredAt = w.now
			w.step(n, fleet.CallerDisconnected{Call: id})
		}
	}
}

func (w *World) answered(n *simInstance, x fleet.Answer) {
	if got := n.countRequests[x.Call]; got != nil {
		delete(n.countRequests, x.Call)
		got(x.Result)
		return
	}
	j := n.calls[x.Call]
	if j != nil && j.lost {
		return
	}
	if j == nil || j.AnsweredAt != 0 {
		w.violated("call %d was answered twice or never submitted", x.Call)
		return
	}
	delete(n.calls, x.Call)
	j.AnsweredAt, j.Result = w.now, x.Result
	w.noteRoom(j)
	if x.Result.Kind == fleet.NotRun && j.Starts > 0 && !j.mayHaveRun() {
		w.violated("job %s was reported as not run after %d starts", j.Spec.ID, j.Starts)
	}
	w.submitAgain(n, j)
}

// Jobs returns all jobs in submission order.
func (w *World) Jobs() []*JobRecord { return w.submissions }
