package fleet

import "github.com/nutmegweir/nutmegweir/internal/model"

// The limit of a step on its tasks per server, StepSpec.MaxPerServer. The owner of a server
// enforces it: it knows every run there, whichever instance offered the task.

// atStepLimit reports whether a server has as many runs of a task's step as that allows. A
// run counts until it is known to have ended, whatever job it belonged to here: the same
// step may come in several offers, and its runs outlast them while they are being stopped.
func (s *server) atStepLimit(t *task) bool {
	limit := t.step.spec.MaxPerServer
	if limit == 0 {
		return false
	}
	n := 0
	for id := range s.runs {
		if id.Task.Job == t.id.Job && id.Task.Step == t.id.Step {
			n++
		}
	}
	return n >= limit
}

// waitsForLimit reports whether the queued tasks of a step wait only for its limit: open
// servers have room for them.
func (p *pool) waitsForLimit(st *step, open []*server, now Time) bool {
	if st.spec.MaxPerServer == 0 || len(st.queued) == 0 {
		return false
	}
	for _, s := range open {
		if s.takesWork(now) && s.serves(st.job.spec.Service, st.spec) && st.spec.Need.Fits(s.free()) && s.atStepLimit(st.queued[0]) {
			return true
		}
	}
	return false
}

// mayOffload reports whether the limit of a step allows another task at an owner, on its
// servers on a rack if one is given.
func (p *pool) mayOffload(st *step, to Member, rack string) bool {
	limit := st.spec.MaxPerServer
	if limit == 0 {
		return true
	}
	sent := 0
	for _, off := range p.offloads {
		if off.task.step == st && off.to.sameIncarnation(to) {
			sent++
		}
	}
	return sent < limit*p.serversFor(st, to, rack)
}

// fittingKey names what the number of servers that fit a step depends on.
type fittingKey struct {
	service, label, rack string
	need                 model.Resources
}

// serversFor returns how many servers of an owner could run tasks of a step, as of the
// last tick.
func (p *pool) serversFor(st *step, owner Member, rack string) int {
	k := fittingKey{st.job.spec.Service, st.spec.Label, rack, st.spec.Need}
	counts, ok := p.fitting[k]
	if !ok {
		counts = p.owners.countFitting(k.service, st.spec, rack)
		p.fitting[k] = counts
	}
	return counts[owner.key()]
}
