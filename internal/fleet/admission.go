package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

func (p *pool) updateTypicalMilli(spec JobSpec) {
	const share = 0.02 // weight of a step in the moving mean
	for _, s := range spec.Steps {
		p.typicalMilli += share * (max(float64(s.Need.CPUMilli), minTypicalMilli) - p.typicalMilli)
	}
}

// minTypicalMilli is the CPU that a task counts with at least, in milli-cores: room is
// counted in units of a typical task, and some tasks need memory or accelerators alone.
const minTypicalMilli = 1

// admissionResult is the admission decision on an offered job.
type admissionResult int

const (
	admitNow    admissionResult = iota // all ready tasks can start immediately
	admitQueue                         // expected to be useful after a wait
	admitReject                        // expected to complete too late
)

// admit decides on a job by the work queued ahead of it, and returns the expected wait.
// A job that would be late is queued only while no job on time waits: it would hold
// capacity that others need to be on time.
func (p *pool) admit(j *job, now Time) (admissionResult, time.Duration) {
	contended := p.onTimeJobQueued(now)
	if !contended && p.fitsNow(j, now) {
		return admitNow, 0
	}
	wait := p.fleetExpectedWait(j.spec.Service, j, now)
	start := now.Add(wait)
	if p.opening(now) {
		return admitQueue, wait
	}
	if contended && start > p.latestFirstStart(j) && !p.fitsBesideQueue(j, now) {
		return admitReject, wait
	}
	limit := j.spec.ReceivedAt.Add(maxObjectiveFactor * j.due.Sub(j.spec.ReceivedAt))
	if start.Add(j.remainingTime()) > min(limit, j.spec.Deadline()) {
		return admitReject, wait
	}
	return admitQueue, wait
}

// shedLate rejects queued jobs that have used up their share of waiting while others
// that can be on time wait behind running work. Started jobs stay, as most of their work
// may be done. The caller learns at once that the job has not run.
func (p *pool) shedLate(now Time) {
	if p.opening(now) {
		return
	}
	onTime := 0
	for _, j := range p.queue {
		if p.waitsOnTime(j, now) {
			onTime++
		}
	}
	for _, j := range slices.Backward(slices.Clone(p.queue)) {
		if onTime == 0 {
			return
		}
		others := onTime
		if p.waitsOnTime(j, now) {
			others--
		}
		if others > 0 && j.sheddable() && p.latestFirstStart(j) < now && !p.fitsBesideQueue(j, now) {
			wait := p.expectedWait(j, now)
			p.reject(j, "waited", Result{Kind: NotRun, Reason: ReasonOverload, RetryAfter: p.retryAfter(j, wait, now)}, now)
			onTime = others
		}
	}
}

// sheddable reports whether a queued job may be rejected for its wait.
func (j *job) sheddable() bool { return j.rejectable() && !j.waitsForPlace() }

// rejectable reports whether a queued job may be rejected: none of it has started, and
// it isn't part of a job or a record elsewhere.
func (j *job) rejectable() bool {
	return j.starts == 0 && !j.done && j.offloaded == nil && j.durable == nil && j.hasReadyTask()
}

// reject ends a queued job that has not started.
func (p *pool) reject(j *job, reason string, r Result, now Time) {
	p.logQueued(j, RefusedPrefix+reason, r.RetryAfter)
	p.endJob(j, r, now)
}

// rejectUnfit rejects queued jobs with tasks that fit on no listed server any more, or only
// on servers of evacuated domains.
func (p *pool) rejectUnfit(now Time) {
	for _, j := range slices.Clone(p.queue) {
		if !j.rejectable() {
			continue
		}
		if r, unfit := p.owners.unfitResult(&j.spec); unfit {
			why := "fits no server"
			if r.Reason == ReasonEvacuated {
				why = string(r.Reason)
			}
			p.reject(j, why, r, now)
		}
	}
}

// queuedAtOwner reports whether jobs wait at the queue owner; later jobs queue behind
// them.
func (p *pool) queuedAtOwner(service string, now Time) bool {
	owner := p.members.queueOwner(service, p.serverCount(service), now)
	return owner != nil && owner.load(service).QueuedTasks > 0
}

// serverCount returns the number of servers of a service outside of evacuated domains.
func (p *pool) serverCount(service string) int {
	n := 0
	for _, s := range p.orderedServers {
		if s.entry.Service == service && !s.evacuated() {
			n++
		}
	}
	return n
}

// onTimeJobQueued reports whether a queued job can still complete on time.
func (p *pool) onTimeJobQueued(now Time) bool {
	return slices.ContainsFunc(p.queue, func(j *job) bool { return p.waitsOnTime(j, now) })
}

// waitsOnTime reports whether tasks of a job wait that can still be on time.
func (p *pool) waitsOnTime(j *job, now Time) bool {
	return !j.done && j.hasReadyTask() && !j.waitsForPlace() && p.latestStart(j) >= now
}

// fitsNow reports whether all ready tasks of a job can start immediately.
func (p *pool) fitsNow(j *job, now Time) bool {
	for _, st := range j.steps {
		if !st.ready {
			continue
		}
		room := 0
		for _, s := range p.orderedServers {
			if s.takesWork(now) && s.serves(j.spec.Service, st.spec) {
				room += countFits(st.spec.Need, s.free(), st.spec.MaxPerServer)
			}
		}
		if room < st.spec.Count {
			return false
		}
	}
	return true
}

// serves reports whether tasks of a step may run on the server.
func (e *ServerEntry) serves(service string, st StepSpec) bool {
	return e.Service == service && (st.Label == "" || slices.Contains(e.Labels, st.Label))
}

// countFits returns how many times need fits into room, at most limit if that is
// positive.
func countFits(need, room model.Resources, limit int) int {
	n := math.MaxInt32
	if limit > 0 {
		n = limit
	}
	for _, d := range [][2]uint32{
		{need.CPUMilli, room.CPUMilli}, {need.MemoryMB, room.MemoryMB}, {need.Accelerators, room.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, int(d[1]/d[0]))
		}
	}
	return n
}

// expectedWait estimates how long a job waits for its start: for the queued work that
// starts before it, or all that can be on time if j is nil.
func (p *pool) expectedWait(j *job, now Time) time.Duration {
	rate := p.workRate(now)
	if rate == 0 {
		return noServerWait
	}
	if j != nil && p.latestStart(j) >= now && p.prioritized(j.spec.Service) != nil {
		return time.Duration(p.queuedBefore(j, now).wait(rate) * float64(time.Millisecond))
	}
	work := 0.0
	for _, q := range p.queue {
		if j == nil && p.latestStart(q) >= now || j != nil && q != j && p.compareSlack(q, j, now) < 0 {
			work += q.queuedWork()
		}
	}
	return time.Duration(work / rate * float64(time.Millisecond))
}

// workRate returns the work that the servers complete per unit of time, in milli-cores.
func (p *pool) workRate(now Time) float64 {
	rate := 0.0
	for _, s := range p.orderedServers {
		if s.takesWork(now) || s.opensSoon() {
			rate += float64(s.capacity().CPUMilli) * packingShare / s.slowdown(now)
		}
	}
	return rate
}

// noServerWait is the expected wait while no server takes work: an unresponsive or
// quarantined server takes about that long to return.
const noServerWait = time.Second

// load returns the load of the pool for a service.
func (p *pool) load(service string, now Time) Load {
	l := Load{Service: service, ExpectedWait: p.expectedWait(nil, now), QueuedTasks: p.queuedTasks(service), StagedTasks: p.stagedTasks()}
	need := uint32(p.typicalMilli)
	for _, s := range p.orderedServers {
		if s.entry.Service != service || !s.takesWork(now) {
			continue
		}
		l.Servers++
		l.CapacityMilli += float64(s.capacity().CPUMilli)
		l.FreeMilli += float64(s.free().CPUMilli / need * need)
	}
	return l
}

// services returns the services of the pool's servers, sorted.
func (p *pool) services() []string {
	var out []string
	for _, s := range p.orderedServers {
		if !slices.Contains(out, s.entry.Service) {
			out = append(out, s.entry.Service)
		}
	}
	slices.Sort(out)
	return out
}
