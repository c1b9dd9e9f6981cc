package sched

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	slowServerFactor      = 1.5              // a free server is used without comparison up to this multiple of the mean slowness
	shortLoadTimeConstant = 5 * time.Second  // of the load average of short tasks
	longLoadTimeConstant  = 20 * time.Second // of the load average of long tasks
	minLoadTimeConstant   = 10 * time.Second // of both load averages when an instance starts
	shortReserveFactor    = 4.0              // slots reserved for short tasks above their mean load, in square roots of that load
	longLoadMargin        = 0.5              // without a backlog, the minimum bound on long tasks is this far below their mean load, in square roots of that load
	longDrainTime         = 60 * time.Second // queued long tasks get enough slots to finish within this time
	freeReserveFactor     = 1.0              // free slots below which no long task starts, in square roots of the load of short tasks
	freeReserveDivisor    = 8                // at most 1/freeReserveDivisor of the slots is kept free for that
	minRunsToCompact      = 1024
)

type runKey struct {
	job   model.JobHandle
	index int
}

// run is a start in flight.
type run struct {
	job     *job
	server  *server
	limit   *limit // limit that it counts against, nil if none
	started model.Time
	charged float64 // service charged so far, seconds
	long    bool    // counted as a long task
	probe   bool
}

// runs are the starts in flight.
type runs struct {
	byKey          map[runKey]run
	order          []runKey // by start time
	first          int      // index of the oldest entry in order
	stragglers     []runKey
	long           int // running long tasks
	maxLong        int // bound on long
	shortLoad      float64
	longLoad       float64
	shortSubmitted float64 // work submitted since the last tick, seconds
	longSubmitted  float64
	tickedAt       model.Time
	firstTickAt    model.Time
}

// dispatch starts tasks while there are free slots and eligible flows.
func (s *Scheduler) dispatch(now model.Time) {
	if len(s.quarantined) > 0 {
		s.probeQuarantined(now)
	}
	for s.index.free > 0 || s.opts.Mode.QueueAtServer {
		f := s.nextFlow()
		if f == nil {
			return
		}
		s.tryStart(now, f)
	}
}

// tryStart starts the flow's next task or parks the flow.
func (s *Scheduler) tryStart(now model.Time, f *flow) {
	j := s.nextJob(now, f)
	if j == nil {
		s.deactivate(f)
		return
	}
	if f.limit != nil && !f.limit.admits(now) {
		s.park(f, &f.limit.parked, WaitLimit)
		return
	}
	if s.reservedForShort(f) {
		s.park(f, &s.parkedLong, WaitReservedSlots)
		return
	}
	v, reason := s.chooseServer(f)
	if v == nil {
		s.park(f, &s.parkedForSlot, reason)
		return
	}
	s.startTask(now, j, v, false)
}

// reservedForShort reports whether the free slots are reserved for short
// tasks.
func (s *Scheduler) reservedForShort(f *flow) bool {
	if !f.kindState.long || s.opts.Mode.NoReserve {
		return false
	}
	if s.runs.long >= s.runs.maxLong {
		return true
	}
	// While short tasks are always waiting no slot stays free: the bound alone
	// divides the slots.
	return !s.overloaded() && s.index.free <= s.freeReserve()
}

// freeReserve is the number of free slots below which no long task starts. It
// is a small fraction of the held slots: an instance with few slots would
// otherwise leave them idle while its long tasks wait.
func (s *Scheduler) freeReserve() int {
	reserve := int(freeReserveFactor * math.Sqrt(s.runs.shortLoad))
	return min(reserve, s.index.held/freeReserveDivisor)
}

// chooseServer picks the server for the flow's next task: the fastest free
// one, unless waiting for a faster one is expected to finish earlier.
func (s *Scheduler) chooseServer(f *flow) (*server, WaitReason) {
	if s.opts.Mode.QueueAtServer {
		return s.randomServer(f, func(*server) bool { return true })
	}
	if s.opts.Mode.RandomServer {
		return s.randomServer(f, func(v *server) bool { return v.free() > 0 })
	}
	list, ok := s.index.fastest(f.needs)
	if !ok {
		return nil, WaitResources
	}
	v := list[s.rng.IntN(len(list))]
	if !s.opts.Mode.FIFO && s.waitingIsFaster(f, v) {
		return nil, WaitFasterServer
	}
	return v, WaitNone
}

// waitingIsFaster compares the expected completion on a free slow server with
// that on an average server after waiting in the queue.
func (s *Scheduler) waitingIsFaster(f *flow, v *server) bool {
	// With nothing in flight, waiting frees no slot and yields no run times.
	if len(s.runs.byKey) == 0 {
		return false
	}
	mean := s.averageSlowness()
	slow := v.slowness.lowerBound()
	if v.slowness.samples < minSpeedSamples || slow <= slowServerFactor*mean {
		return false
	}
	wait := (s.queue.waitingWork + f.kindState.run.mean) / math.Max(1, float64(s.index.held)) * mean
	return f.kindState.run.mean*(slow-mean) > wait
}

// averageSlowness is the mean slowness of recent tasks.
func (s *Scheduler) averageSlowness() float64 { return s.meanSlowness }

func (s *Scheduler) randomServer(f *flow, ok func(*server) bool) (*server, WaitReason) {
	n := len(s.serverList)
	if n == 0 {
		return nil, WaitSlot
	}
	first := s.rng.IntN(n)
	for i := range n {
		v := s.serverList[(first+i)%n]
		if v.usable() && ok(v) && f.needs.Fits(v.Resources) {
			return v, WaitNone
		}
	}
	return nil, WaitSlot
}

func (s *Scheduler) startTask(now model.Time, j *job, v *server, probe bool) {
	f := j.flow
	i := j.takeIndex()
	cost := f.kindState.run.mean * v.slowness.factor()
	s.queue.minVirtualTime = math.Max(s.queue.minVirtualTime, f.cust.virtualTime)
	f.cust.minVirtualTime = math.Max(f.cust.minVirtualTime, f.virtualTime)
	v.busy++
	s.index.update(v)
	r := run{job: j, server: v, limit: f.limit, started: now, charged: cost, long: f.kindState.long, probe: probe}
	if r.long {
		s.runs.long++
	}
	if r.limit != nil {
		r.limit.recordStart()
	}
	k := runKey{j.Handle, i}
	s.runs.byKey[k] = r
	s.runs.order = append(s.runs.order, k)
	j.running++
	j.trace.recordStart(now, v)
	s.chargeService(f, cost)
	s.addWaiting(f, -1, j.class)
	if j.waiting() == 0 && j.queued {
		f.jobs.remove(j)
		j.queued = false
	}
	if f.waiting == 0 {
		s.flowDrained(now, f)
	}
	s.starts++
	s.out.Starts = append(s.out.Starts, Start{Job: j.Handle, Index: i, Server: v.ID})
}

// probeQuarantined starts real tasks on quarantined servers that are due for a
// probe: any task on a server whose health check has passed, otherwise only
// repeatable tasks.
func (s *Scheduler) probeQuarantined(now model.Time) {
	for s.startProbe(now) {
	}
}

func (s *Scheduler) startProbe(now model.Time) bool {
	f := s.nextFlow()
	if f == nil {
		return false
	}
	j := s.nextJob(now, f)
	if j == nil || (f.limit != nil && !f.limit.admits(now)) {
		return false
	}
	v := s.probeServer(now, f, j.Repeatable)
	if v == nil {
		return false
	}
	v.health.probing = true
	s.startTask(now, j, v, true)
	return true
}

// Done reports the outcome of a start. ran is the time from start to answer.
func (s *Scheduler) Done(now model.Time, st Start, o Outcome, ran time.Duration) {
	s.now = now
	k := runKey{st.Job, st.Index}
	r, ok := s.runs.byKey[k]
	if !ok {
		return
	}
	delete(s.runs.byKey, k)
	j, v, f := r.job, r.server, r.job.flow
	j.running--
	v.busy--
	if r.long {
		s.runs.long--
		s.unpark(&s.parkedLong)
	}
	if r.limit != nil {
		r.limit.recordEnd()
		s.unpark(&r.limit.parked)
	}
	s.learnRunTime(f, v, o, ran)
	s.chargeActual(f, r, o, ran)
	s.recordOutcome(now, v, f, o, r.probe)
	if o == OutcomeNotStarted || o == OutcomeUnreachable {
		s.pauseServer(now, v)
		s.requeue(j, st.Index)
	}
	s.slotFreed(v)
	s.retire(j)
	s.unpark(&s.parkedForSlot)
	s.dispatch(now)
	s.flushMessages(now)
}

// requeue requeues a task that was not started.
func (s *Scheduler) requeue(j *job, index int) {
	j.trace.notStarted++
	if j.ended {
		return
	}
	j.retry = append(j.retry, index)
	s.enqueue(j, 1)
}

// chargeActual replaces the expected service of a start by the measured one.
func (s *Scheduler) chargeActual(f *flow, r run, o Outcome, ran time.Duration) {
	actual := ran.Seconds()
	if o == OutcomeNotStarted || o == OutcomeUnreachable {
		actual = 0
	}
	s.chargeService(f, actual-r.charged)
}

// learnRunTime updates the run time estimates with a measured one.
func (s *Scheduler) learnRunTime(f *flow, v *server, o Outcome, ran time.Duration) {
	if o != OutcomeOK || ran <= 0 || s.opts.Mode.FIFO {
		return
	}
	v.health.rejections = 0
	t := ran.Seconds()
	ks := f.kindState
	factor := v.slowness.factor()
	if ks.run.samples >= minKindSamples {
		v.slowness.observe(t / ks.run.mean)
	}
	ks.run.observe(t / factor)
	s.typical.observe(t / factor)
	const slownessGain = 1.0 / 256
	s.meanSlowness += slownessGain * (factor - s.meanSlowness)
	s.updateSpeedLevel(v)
	s.classifyKind(ks)
}

// updateSpeedLevel moves a server to another speed level once it is clearly
// outside its own.
func (s *Scheduler) updateSpeedLevel(v *server) {
	const hysteresis = 0.75 * speedLevelWidth
	centre := float64(v.speedLevel-middleLevel) * speedLevelWidth
	if math.Abs(v.slowness.logFactor-centre) > hysteresis {
		v.speedLevel = speedLevelOf(v.slowness.logFactor)
	}
}

func (s *Scheduler) classifyKind(ks *kindState) {
	const leave = 0.75
	bound := longFactor * s.typical.seconds()
	if !ks.long && ks.run.mean > bound {
		ks.long = true
		s.queue.waitingLong += ks.waiting
	}
	if ks.long && ks.run.mean < leave*bound {
		ks.long = false
		s.queue.waitingLong -= ks.waiting
	}
}

// trackStragglers counts starts that outlast the bound for long tasks as long,
// and charges their flows for the time beyond the expected one.
func (s *Scheduler) trackStragglers(now model.Time) {
	bound := time.Duration(longFactor * s.typical.seconds() * float64(time.Second))
	r := &s.runs
	for r.first < len(r.order) {
		k := r.order[r.first]
		x, ok := r.byKey[k]
		if ok && now.Sub(x.started) < bound {
			break
		}
		r.first++
		if ok {
			r.stragglers = append(r.stragglers, k)
		}
	}
	if r.first > minRunsToCompact && 2*r.first > len(r.order) {
		r.order = append(r.order[:0], r.order[r.first:]...)
		r.first = 0
	}
	s.chargeStragglers(now)
}

func (s *Scheduler) chargeStragglers(now model.Time) {
	keep := s.runs.stragglers[:0]
	for _, k := range s.runs.stragglers {
		x, ok := s.runs.byKey[k]
		if !ok {
			continue
		}
		if !x.long {
			x.long = true
			s.runs.long++
		}
		if overrun := now.Sub(x.started).Seconds() - x.charged; overrun > 0 {
			s.chargeService(x.job.flow, overrun)
			x.charged += overrun
		}
		s.runs.byKey[k] = x
		keep = append(keep, k)
	}
	s.runs.stragglers = keep
}

// updateMaxLong measures the loads of short and long tasks and sets the bound
// on running long tasks from them.
func (s *Scheduler) updateMaxLong(now model.Time) {
	r := &s.runs
	if r.firstTickAt == 0 {
		r.firstTickAt = now
	}
	dt := now.Sub(r.tickedAt).Seconds()
	r.tickedAt = now
	if dt <= 0 {
		return
	}
	age := now.Sub(r.firstTickAt)
	r.shortLoad += loadGain(dt, age, shortLoadTimeConstant) * (r.shortSubmitted/dt - r.shortLoad)
	r.longLoad += loadGain(dt, age, longLoadTimeConstant) * (r.longSubmitted/dt - r.longLoad)
	r.shortSubmitted, r.longSubmitted = 0, 0
	r.maxLong = s.longTaskBound(float64(s.index.held))
}

// loadGain is the weight of the newest load sample. A new instance averages
// over little more than its own age, so that the idle time before its start
// does not bias the load.
func loadGain(dt float64, age, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-dt/min(timeConstant, age+minLoadTimeConstant).Seconds())
}

// longTaskBound returns the slots that are left after the mean load of short
// tasks and a reserve for its variation. The bound is at least what keeps the
// queue of long tasks from growing. That minimum is capped at the long tasks'
// share of the slots by load, which takes effect when slots are scarce.
func (s *Scheduler) longTaskBound(held float64) int {
	r := &s.runs
	left := held - r.shortLoad - shortReserveFactor*math.Sqrt(r.shortLoad)
	minimum := r.longLoad - longLoadMargin*math.Sqrt(r.longLoad) + s.longBacklog()/longDrainTime.Seconds()
	if sum := r.shortLoad + r.longLoad; sum > 0 {
		minimum = math.Min(minimum, held*r.longLoad/sum)
	}
	return max(1, int(math.Ceil(math.Max(left, minimum))))
}

// longBacklog is the waiting work of long tasks, in seconds.
func (s *Scheduler) longBacklog() float64 {
	sum := 0.0
	for _, f := range s.queue.flowList {
		if f.kindState.long {
			sum += f.work()
		}
	}
	return sum
}

func (s *Scheduler) recordOffered(f *flow, work float64) {
	f.cust.offered += work
	f.offered += work
	if f.kindState.long {
		s.runs.longSubmitted += work
		return
	}
	s.runs.shortSubmitted += work
}
