package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Placement by rack while the far factor is known, see placewait.go for the decision.

// places is what a pool knows of racks.
type places struct {
	farFactor float64                         // time of a task away from its data, relative to its own
	claims    map[string]int                  // tasks that wait for room on a rack, in this dispatch
	rooms     map[roomKey]rackRoom            // as of the last start
	byChoice  int                             // queued jobs that wait for a place
	waiting   float64                         // milli-cores that queued tasks wait for
	free      float64                         // milli-cores of the open servers
	owners    map[string]map[memberKey]uint32 // milli-cores by rack and owner, as of the last tick
	sent      map[rackOwnerKey]int            // tasks at other owners, by owner and rack
	rackWait  time.Duration                   // expected for the task that is being declined
}

type rackOwnerKey struct {
	owner model.Instance
	rack  string
}

const (
	// hopTime is the time that an offer to an owner nearby and its reply take, and
	// farHopTime the same to another failure domain, whose bytes also cost more. Both
	// include the time in which the instances come to process them.
	hopTime    = 2 * time.Millisecond
	farHopTime = 5 * time.Millisecond
)

// Outcomes of the decision, for the log.
const (
	placeWaits    = "waits"
	placeFar      = "far"
	placeHop      = "owner of the rack"
	placeTogether = "together"
	placeSpread   = "spread"
)

// placed reports whether a step is subject to the decision on places.
func (p *pool) placed(st *step) bool {
	return p.places.farFactor > 1 && (st.rackName() != "" || st.spec.SameRack && st.spec.Count > 1 || st.spread)
}

// rackName returns the rack where the tasks of a step run best, empty for any.
func (st *step) rackName() string {
	if st.group != "" {
		return st.group
	}
	return st.spec.Rack
}

// rackName returns the rack of a server, empty if it has none.
func (e *ServerEntry) rackName() string {
	if len(e.Labels) < 2 {
		return ""
	}
	return e.Labels[1] // the kind comes before the rack
}

// slowdown returns how many times its usual time a task of a step takes on a server.
func (p *pool) slowdown(st *step, s *server) float64 {
	if p.places.farFactor > 1 && (st.spread || st.rackName() != "" && !slices.Contains(s.entry.Labels, st.rackName())) {
		return p.places.farFactor
	}
	return 1
}

// expect returns the expected time of a task of a step that starts on a server now.
func (p *pool) expect(st *step, s *server, now Time) time.Duration {
	return stretch(s.expect(st.spec.Estimate, now), p.slowdown(st, s))
}

// stretch multiplies a time by a factor, up to maxStretched.
func stretch(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, maxStretched))
}

// maxStretched is some 70 years, so that sums with it don't overflow.
const maxStretched = 1 << 61

// barred reports whether a task must not start on a server that is far from its data:
// its owner keeps it for the rack, or its group would no longer share one.
func (p *pool) barred(t *task, s *server) bool {
	nearOnly := t.job.keptForRack() || t.step.group != ""
	return nearOnly && p.slowdown(t.step, s) > 1
}

// spareFor reports whether a late run on a server far from the data takes nothing from
// other work. placeChoice then decides between it and a wait.
func (p *pool) spareFor(t *task, s *server, now Time) bool {
	return p.slowdown(t.step, s) > 1 && p.places.waiting-p.waitingMilli(t.job, now) < p.places.free
}

// keptForRack reports whether a job is a task of another owner that runs on a rack or goes
// back. Once it has started here, it can't go back and may run anywhere.
func (j *job) keptForRack() bool { return j.offloaded != nil && j.spec.Offloaded.Near && j.starts == 0 }

// reset forgets the queued tasks that the last dispatch found, as none are left.
func (x *places) reset() {
	clear(x.claims)
	x.waiting, x.byChoice = 0, 0
}

// beginPlaces prepares the decisions of one dispatch.
func (p *pool) beginPlaces(open []*server, now Time) {
	x := &p.places
	if x.farFactor <= 1 {
		return
	}
	x.claims, x.sent, x.rooms = map[string]int{}, map[rackOwnerKey]int{}, map[roomKey]rackRoom{}
	x.waiting, x.free, x.byChoice = 0, 0, 0
	for _, off := range p.offloads {
		if off.rack != "" {
			x.sent[rackOwnerKey{off.to.Instance, off.rack}]++
		}
	}
	for _, j := range p.queue {
		x.waiting += p.waitingMilli(j, now)
		if j.waitsForPlace() {
			x.byChoice++
		}
	}
	for _, s := range open {
		x.free += float64(s.free().CPUMilli)
	}
}

// waitingMilli returns the CPU of the tasks of a job that wait for capacity and can be on
// time, in milli-cores. Those that wait for a place could have had capacity, and late ones
// would hold each other back.
func (p *pool) waitingMilli(j *job, now Time) float64 {
	w := 0.0
	if p.latestStart(j) < now {
		return 0
	}
	for _, st := range j.steps {
		if st.ready && st.waitsForCapacity() {
			w += float64(len(st.queued)) * float64(st.spec.Need.CPUMilli)
		}
	}
	return w
}

// waitsForCapacity reports whether the queued tasks of a step wait for capacity, not for a
// place by choice or for its limit.
func (st *step) waitsForCapacity() bool { return !st.waitsNear && !st.atLimit }

// waitsForPlace reports whether all tasks of a job that could start wait for a place by
// choice, or for the limits of their steps. Such a job doesn't wait for capacity.
func (j *job) waitsForPlace() bool {
	waits := false
	for _, st := range j.steps {
		if st.ready && len(st.queued) > 0 {
			if st.waitsForCapacity() {
				return false
			}
			waits = true
		}
	}
	return waits
}

// startPlaced starts the tasks of a step near their data, or far from it where that is
// better than to wait. Tasks that wait stay queued.
func (p *pool) startPlaced(st *step, open []*server, now Time) {
	st.waitsNear = false
	if len(open) == 0 && st.undecidedGroup() {
		return
	}
	if st.waitsNear = !p.placeGroup(st, now); st.waitsNear {
		return
	}
	queued := st.queued
	st.queued = nil
	waits := 0
	for i, t := range queued {
		s, to, wait := p.place(t, open, now)
		switch {
		case to != nil:
			p.offloadTask(t, to, st.rackName(), now)
		case s != nil:
			p.startTask(t, s, now)
		case wait:
			waits++
			st.queued = append(st.queued, t)
		default:
			st.queued = append(st.queued, queued[i:]...)
			st.waitsNear = false
			return
		}
	}
	st.waitsNear = waits > 0
}

// place decides on a task: it starts on a server, goes to an owner near its data, waits
// for a place, or waits for capacity if nothing is returned.
func (p *pool) place(t *task, open []*server, now Time) (s *server, to *peer, wait bool) {
	st := t.step
	s = p.pickServer(t, open, now)
	rack := st.rackName()
	if rack == "" || st.spread || s != nil && p.slowdown(st, s) == 1 {
		return s, nil, false
	}
	c := p.placeChoice(t, s, now)
	room, known := p.nearWait(st, p.places.claims[rack]+1, now)
	if x, hop := p.nearOwner(t, rack, now); x != nil && (!known || room > hop) && hop+c.nearRun < c.farCost() {
		c.nearWait = hop
		p.logPlace(st, placeHop, c)
		p.places.sent[rackOwnerKey{x.member.Instance, rack}]++
		return nil, x, false
	}
	if t.job.keptForRack() {
		p.places.claims[rack]++
		return nil, nil, true
	}
	if remote, ok := p.remoteWait(t, rack, now); ok && (!known || remote < room) {
		room, known = remote, true
	}
	c.nearWait = room
	if known && c.waits() && (s != nil || p.offloadTarget(st, now) != nil) {
		p.places.claims[rack]++
		p.logPlace(st, placeWaits, c)
		return nil, nil, true
	}
	if known && c.waits() {
		p.places.claims[rack]++
		return nil, nil, false
	}
	if st.group != "" {
		st.group, st.spread = "", true
		p.logPlace(st, placeSpread, c)
		return p.pickServer(t, open, now), nil, false
	}
	if s != nil && c.farRun > c.slack && c.price >= 1 {
		return nil, nil, false
	}
	if s != nil {
		p.logPlace(st, placeFar, c)
	}
	return s, nil, false
}

// placeChoice returns both sides for a task without the wait. far is the server that it
// would run on now, nil if none has room.
func (p *pool) placeChoice(t *task, far *server, now Time) placeChoice {
	st := t.step
	c := placeChoice{nearRun: stretch(st.spec.Estimate, p.nearFactor(st, now)), slack: t.job.due.Sub(now)}
	c.farRun = stretch(st.spec.Estimate, p.fastFactor*p.places.farFactor)
	if far != nil {
		c.farRun = p.expect(st, far, now)
	}
	c.price = capacityPrice(p.places.waiting-p.waitingMilli(t.job, now), p.places.free)
	return c
}

// nearFactor returns the mean slowdown of the servers near the data of a step, relative
// to the estimates.
func (p *pool) nearFactor(st *step, now Time) float64 {
	if r := p.rackRoom(st, now); r.servers > 0 {
		return r.factor
	}
	return p.fastFactor
}

// isNear reports whether a server that takes work is near the data of a step.
func (p *pool) isNear(st *step, s *server, now Time) bool {
	return slices.Contains(s.entry.Labels, st.rackName()) && s.takesWork(now) && s.serves(st.job.spec.Service, st.spec)
}

// nearWait returns the time until n more tasks of a step have room near its data, by the
// runs that are due there.
func (p *pool) nearWait(st *step, n int, now Time) (wait time.Duration, known bool) {
	r := p.rackRoom(st, now)
	if len(r.openings) < n {
		return 0, false
	}
	return r.openings[n-1], true
}

// roomKey names what the room on a rack depends on besides the runs there.
type roomKey struct {
	service, label, rack string
	need                 model.Resources
	limit                int
}

// rackRoom is the room on a rack for tasks of a kind.
type rackRoom struct {
	openings []time.Duration // until there is room for each further task, in order
	factor   float64         // mean slowdown of the servers
	servers  int
}

// rackRoom returns the room near the data of a step. It is computed once until a run
// starts, as many tasks may wait for the same rack.
func (p *pool) rackRoom(st *step, now Time) rackRoom {
	k := roomKey{st.job.spec.Service, st.spec.Label, st.rackName(), st.spec.Need, st.spec.MaxPerServer}
	if r, ok := p.places.rooms[k]; ok {
		return r
	}
	var r rackRoom
	var rooms []serverRoom
	for _, s := range p.orderedServers {
		if p.isNear(st, s, now) {
			rooms = append(rooms, s.room(st.spec.MaxPerServer, now))
			r.factor += s.slowdown(now)
		}
	}
	r.servers = len(rooms)
	r.factor /= float64(max(r.servers, 1))
	r.openings = rackOpenings(rooms, st.spec.Need)
	if p.places.rooms != nil {
		p.places.rooms[k] = r
	}
	return r
}

// room returns the room of a server over time.
func (s *server) room(limit int, now Time) serverRoom {
	r := serverRoom{free: s.free(), limit: limit}
	for _, x := range s.runs {
		r.ends = append(r.ends, dueEnd{expectedRest(now.Sub(x.sentAt), x.expected), x.need})
	}
	return r
}

// nearOwner returns the owner of servers of a rack that a task is offered to, and the
// time that takes; nil if there is none. Owners don't report the room of each rack. An
// owner gets no more tasks than the rack can hold, and none for a while after it had no
// room there.
func (p *pool) nearOwner(t *task, rack string, now Time) (to *peer, hop time.Duration) {
	if t.job.offloaded != nil || t.job.durable != nil || t.step.group != "" {
		return nil, 0
	}
	owned := p.rackOwners(rack)
	best := 0
	for _, x := range p.members.orderedPeers {
		if !x.reachable(now) || x.leaving || now < x.rackOpensAt[rack] {
			continue
		}
		room := int(owned[x.member.key()]/max(t.step.spec.Need.CPUMilli, 1)) - p.places.sent[rackOwnerKey{x.member.Instance, rack}]
		if room > best && p.mayOffload(t.step, x.member, rack) {
			best, to = room, x
		}
	}
	if to != nil && to.member.Domain != p.self.Domain {
		return to, farHopTime
	}
	return to, hopTime
}

// remoteWait returns the time until a task may be offered again to an owner of the rack
// that has declined it; ok is false if there is none. Other owners wait for the same room,
// so each decline of the task makes it less likely.
func (p *pool) remoteWait(t *task, rack string, now Time) (wait time.Duration, ok bool) {
	if t.job.offloaded != nil || t.job.durable != nil || t.step.group != "" {
		return 0, false
	}
	for _, x := range p.members.orderedPeers {
		at, declined := x.rackOpensAt[rack]
		if !declined || now >= at || !x.reachable(now) || x.leaving {
			continue
		}
		if w := at.Sub(now)*time.Duration(1+t.declined) + hopTime; !ok || w < wait {
			wait, ok = w, true
		}
	}
	return wait, ok
}

// rackOwners returns the capacity of a rack by its owner.
func (p *pool) rackOwners(rack string) map[memberKey]uint32 {
	if m, ok := p.places.owners[rack]; ok {
		return m
	}
	if p.places.owners == nil {
		p.places.owners = map[string]map[memberKey]uint32{}
	}
	m := p.owners.capacityByOwner(rack)
	p.places.owners[rack] = m
	return m
}

// capacityByOwner returns the milli-cores of the servers with a label, by owner.
func (o *owners) capacityByOwner(label string) map[memberKey]uint32 {
	out := map[memberKey]uint32{}
	for id, e := range o.entries {
		if e.State == ServerReady && !o.evacuations.has(e.Domain) && slices.Contains(e.Labels, label) {
			x := o.known[id]
			out[memberKey{x.Owner, x.Incarnation}] += e.Capacity.CPUMilli
		}
	}
	return out
}

// unknownRackWait is the expected wait for a rack where the ends of runs don't make room
// for a task: others wait for all of it. It is longer than most tasks take.
const unknownRackWait = 300 * time.Millisecond

// takeRackWait returns the expected wait for the rack of a task that is being declined,
// 0 for other tasks.
func (p *pool) takeRackWait() time.Duration {
	wait := p.places.rackWait
	p.places.rackWait = 0
	return wait
}

// noteDeclined records that the peer has declined a task for lack of room, on a rack if
// the task was offered for one.
func (p *peer) noteDeclined(off offload, opensIn time.Duration, now Time) {
	if off.rack == "" {
		p.declinedAt = now
		return
	}
	if p.rackOpensAt == nil {
		p.rackOpensAt = map[string]Time{}
	}
	off.task.declined++
	p.rackOpensAt[off.rack] = now.Add(min(max(opensIn, declinedBackoff), unknownRackWait))
}

// stageNear accepts a task that another owner has offered for a rack if it has room
// there soon. The other owner decides again if the room doesn't come.
func (p *pool) stageNear(j *job, now Time) (declined bool) {
	rack := j.steps[0].rackName()
	clear(p.places.rooms) // they are those of the last dispatch
	c := p.placeChoice(j.offloaded, nil, now)
	wait, known := p.nearWait(j.steps[0], p.places.claims[rack]+1, now)
	c.nearWait = wait
	if !known || !c.waits() || wait > maxNearStaging {
		p.places.rackWait = unknownRackWait
		if known {
			p.places.rackWait = wait
		}
		return true
	}
	p.stage(j, now.Add(wait+stagedTimeout))
	p.dispatch(now)
	return false
}

// maxNearStaging limits how far ahead an owner promises room on a rack: the estimates of
// the runs that must end first are inexact.
const maxNearStaging = 60 * time.Millisecond

// placeGroup decides where the tasks of a step run that should share a rack, before the
// first of them starts. It reports false while the group waits for a rack.
func (p *pool) placeGroup(st *step, now Time) bool {
	if !st.undecidedGroup() {
		return true
	}
	if len(st.queued) < st.spec.Count {
		st.spread = true // a task waits for an earlier run, or alone
		return true
	}
	rack, wait, known := p.groupRack(st, now)
	c := p.placeChoice(st.queued[0], nil, now)
	c.nearWait = wait
	switch {
	case known && wait == 0:
		st.group = rack
		p.logPlace(st, placeTogether, c)
	case known && c.waits():
		p.places.claims[rack] += len(st.queued)
		p.logPlace(st, placeWaits, c)
		return false
	default:
		st.spread = true
		p.logPlace(st, placeSpread, c)
	}
	return true
}

// undecidedGroup reports whether the tasks should share a rack that isn't chosen yet.
func (st *step) undecidedGroup() bool {
	return st.spec.SameRack && st.spec.Count > 1 && !st.spread && st.group == ""
}

// reopenGroup opens the decision on a spread group again if none of its tasks has started:
// those that were offered to another owner have been declined.
func (st *step) reopenGroup() {
	whole := st.spec.SameRack && len(st.queued) == st.spec.Count
	if whole && !slices.ContainsFunc(st.queued, func(t *task) bool { return t.attempt > 0 }) {
		st.spread = false
	}
}

// leaveRack records that a task of a group goes to an owner that may run it on any rack.
func (st *step) leaveRack() {
	if st.spec.SameRack && st.spec.Count > 1 {
		st.group, st.spread = "", true
	}
}

// groupRack returns the rack that has room for all tasks of a step first; known is false
// if none will. Among racks with room the fastest wins.
func (p *pool) groupRack(st *step, now Time) (rack string, wait time.Duration, known bool) {
	fastest := 0.0
	for _, r := range p.racksFor(st) {
		st.group = r
		w, ok := p.nearWait(st, p.places.claims[r]+len(st.queued), now)
		factor := p.nearFactor(st, now)
		st.group = ""
		if ok && (!known || w < wait || w == wait && factor < fastest) {
			rack, wait, known, fastest = r, w, true, factor
		}
	}
	return rack, wait, known
}

// racksFor returns the racks of this instance where a group may run, in order.
func (p *pool) racksFor(st *step) []string {
	if st.spec.Rack != "" {
		return []string{st.spec.Rack}
	}
	var out []string
	for _, s := range p.orderedServers {
		if r := s.entry.rackName(); r != "" && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	slices.Sort(out)
	return out
}

// logPlace logs a decision with both sides, unless it is the last one of the step again.
func (p *pool) logPlace(st *step, what string, c placeChoice) {
	if st.lastPlace == what {
		return
	}
	st.lastPlace = what
	p.effect(LogEntry{
		Kind: LogPlaceWait, Job: st.job.spec.ID, Count: len(st.queued), Reason: what, Age: c.nearWait,
		Near: c.nearCost(), Far: c.farCost(),
	})
}
