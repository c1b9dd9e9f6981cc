package fleet

import (
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// EvacuationsChanged holds the failure domains that are evacuated as of a store revision.
// It is sent for each reply of the store, also if the set is the same.
type EvacuationsChanged struct {
	Domains  []model.Domain
	Revision uint64
}

func (EvacuationsChanged) event() {}

// evacuations is the set of failure domains whose servers take no work. The operator keeps
// it in the store. Members pass it on in heartbeats, so that it also reaches those that
// don't watch the store or have lost it.
//
// Invariant: domains is the set as of revision, the highest that this instance has heard of.
type evacuations struct {
	domains  []model.Domain // sorted
	revision uint64         // of the store, 0 if none is known
	// seen reports whether any evacuation was ever heard of, current or not. Heartbeats
	// leave the set out before that.
	seen bool
}

// has reports whether a domain is evacuated.
func (e *evacuations) has(d model.Domain) bool { return e != nil && slices.Contains(e.domains, d) }

// any reports whether some domain is evacuated.
func (e *evacuations) any() bool { return e != nil && len(e.domains) > 0 }

// update applies a set as of a revision unless a newer one is known, and returns the
// domains that were added and removed.
func (e *evacuations) update(domains []model.Domain, revision uint64) (added, removed []model.Domain) {
	domains = slices.Compact(slices.Sorted(slices.Values(domains)))
	e.seen = e.seen || len(domains) > 0
	if revision <= e.revision {
		return nil, nil
	}
	added, removed = without(domains, e.domains), without(e.domains, domains)
	e.domains, e.revision = domains, revision
	return added, removed
}

// without returns the domains of a that b doesn't contain.
func without(a, b []model.Domain) (out []model.Domain) {
	for _, d := range a {
		if !slices.Contains(b, d) {
			out = append(out, d)
		}
	}
	return out
}

// addTo adds the set to a heartbeat.
func (e *evacuations) addTo(h *Heartbeat) {
	if e.seen {
		h.Evacuated, h.EvacuationRevision = e.domains, e.revision
	}
}

// applyEvacuations applies the set of evacuated domains as reported by the store, or by a peer
// if that is not empty.
func (i *Instance) applyEvacuations(domains []model.Domain, revision uint64, peer model.Instance, now Time) {
	added, removed := i.evacuations.update(domains, revision)
	if len(added)+len(removed) == 0 {
		return
	}
	way := wayWatch
	if peer != "" {
		way = wayPeer
	}
	for _, d := range added {
		i.effects = append(i.effects, LogEntry{Kind: LogDomainEvacuated, Domain: d, Peer: peer, Reason: way, Value: revision, Count: i.pool.runsIn(d)})
	}
	for _, d := range removed {
		i.effects = append(i.effects, LogEntry{Kind: LogDomainRestored, Domain: d, Peer: peer, Reason: way, Value: revision})
	}
	i.sendHeartbeats(now, true) // before work moves to peers, so that they know why
	i.pool.moveEvacuated(now)
	i.pool.dispatch(now)
	i.router.retryDeferred(now)
}

// learnEvacuations applies the set in a peer's heartbeat, if there is one.
func (i *Instance) learnEvacuations(from model.Instance, h Heartbeat, now Time) {
	if h.EvacuationRevision == 0 {
		return
	}
	i.evacuations.seen = true // the peer may need a newer set than its own
	i.applyEvacuations(h.Evacuated, h.EvacuationRevision, from, now)
}

// EvacuatedDomains returns the number of evacuated domains known to this instance.
func (i *Instance) EvacuatedDomains() int { return len(i.evacuations.domains) }

// runsIn counts the runs at this instance's servers of a domain.
func (p *pool) runsIn(d model.Domain) int {
	n := 0
	for _, s := range p.orderedServers {
		if s.entry.Domain == d {
			n += len(s.runs)
		}
	}
	return n
}

// evacuated reports whether the server's domain is evacuated.
func (s *server) evacuated() bool { return s.evacuations.has(s.entry.Domain) }

// allEvacuated reports whether this instance has servers of a service, and all of them are
// in evacuated domains. It then takes no jobs of the service, and passes on those queued.
func (p *pool) allEvacuated(service string) bool {
	if !p.owners.evacuations.any() || p.serverCount(service) > 0 {
		return false
	}
	return slices.ContainsFunc(p.orderedServers, func(s *server) bool { return s.entry.Service == service })
}

// offerToEvacuated declines or rejects an offer that can't be served because of an
// evacuation, and reports whether it did either. A job that may have runs known only here is
// neither declined nor rejected.
func (p *pool) offerToEvacuated(origin Member, call CallID, spec *JobSpec, now Time) (declined, rejected bool) {
	switch {
	case !p.owners.evacuations.any() || p.mayHaveRuns(spec, origin, now) || p.holder.jobs[spec.ID] != nil:
	case p.allEvacuated(spec.Service):
		return true, false
	case p.owners.fit(spec) != fitsEvacuated:
	case spec.Offloaded != nil:
		return true, false
	default:
		p.sendOutcome(origin, call, evacuatedResult, 0)
		return false, true
	}
	return false, false
}

// evacuatedResult is the result of a job that fits only servers of evacuated domains.
var evacuatedResult = Result{Kind: NotRun, Reason: ReasonEvacuated, RetryAfter: minRetryAfter}

// moveEvacuated rejects the queued jobs that fit only servers of evacuated domains, and
// returns those to their instances that other owners can serve. Jobs that have started
// stay, as their ends are known here; their tasks are offloaded. Tasks of other owners are
// never offloaded again, so those return to their owners once their runs are over.
func (p *pool) moveEvacuated(now Time) {
	if !p.owners.evacuations.any() {
		return
	}
	p.rejectUnfit(now)
	for _, j := range slices.Clone(p.queue) {
		if j.done || !j.hasReadyTask() || !p.allEvacuated(j.spec.Service) {
			continue
		}
		switch {
		case j.rejectable():
			p.returnJob(j, Result{Reason: ReasonEvacuated})
		case j.offloaded != nil && j.starts > 0: // its run is over, as it is queued
			p.returnJob(j, Result{Kind: Unknown, Reason: ReasonEvacuated})
		}
	}
}

// returnJob declines a job after it was accepted. Nothing of it runs; why has the kind
// Unknown if something of it has started.
func (p *pool) returnJob(j *job, why Result) {
	p.removeJob(j)
	p.effect(outcomeReady{origin: j.origin, outcome: Outcome{Call: j.call, Declined: true, Result: why, Attempt: j.lastAttempt()}})
}

// fit tells whether the listed servers could run a job.
type fit int

const (
	fitsNone      fit = iota // some task fits on no server
	fitsEvacuated            // some task fits only on servers of evacuated domains
	fitsSome                 // each task fits on a server that isn't evacuated
)

// fit returns whether each task of a job fits on an empty listed server of the cell. It is
// fitsSome while the list is empty.
func (o *owners) fit(j *JobSpec) fit {
	best := fitsSome
	if len(o.entries) == 0 {
		return best
	}
	for _, st := range j.Steps {
		best = min(best, o.stepFit(j.Service, st))
	}
	return best
}

func (o *owners) stepFit(service string, st StepSpec) fit {
	best := fitsNone
	for d, ids := range o.byDomain {
		possible := fitsSome
		if o.evacuations.has(d) {
			possible = fitsEvacuated
		}
		if possible > best && slices.ContainsFunc(ids, func(id model.ServerID) bool {
			e := o.entries[id]
			return e.fits(service, st)
		}) {
			best = possible
		}
		if best == fitsSome {
			break
		}
	}
	return best
}

// fits reports whether a task of a step fits on the empty server.
func (e *ServerEntry) fits(service string, st StepSpec) bool {
	return e.serves(service, st) && st.Need.Fits(e.Capacity)
}

// unfitResult returns the result of a job that can't be served now, and whether it is one.
func (o *owners) unfitResult(j *JobSpec) (r Result, unfit bool) {
	switch o.fit(j) {
	case fitsNone:
		return Result{Kind: NotRun, Reason: ReasonTooLarge, RetryAfter: minRetryAfter}, true
	case fitsEvacuated:
		return evacuatedResult, true
	}
	return Result{}, false
}
