package core

import (
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// applyServers passes the listed servers to the scheduler. A server that an
// operator has drained counts as leaving.
func (r *Reducer) applyServers(now model.Time) {
	list := append([]sched.Server(nil), r.servers...)
	for i := range list {
		if list[i].State == sched.ServerActive && r.opts.Policy.Drained(list[i].ID) {
			list[i].State = sched.ServerLeaving
		}
	}
	r.sched.SetServers(now, list)
}

// notifyQuarantine reports which backend servers entered or left quarantine.
func (r *Reducer) notifyQuarantine() {
	list := r.sched.Quarantined()
	for _, id := range list {
		if !slices.Contains(r.lastQuarantined, id) {
			r.notify(Notification{Kind: NotifyQuarantined, Server: id})
		}
	}
	for _, id := range r.lastQuarantined {
		if !slices.Contains(list, id) {
			r.notify(Notification{Kind: NotifyRestored, Server: id})
		}
	}
	r.lastQuarantined = list
}

// requestHealthChecks requests the health checks that the scheduler wants, at
// most one per server at a time.
func (r *Reducer) requestHealthChecks(now model.Time) {
	for _, id := range r.sched.HealthChecksDue(now) {
		if r.healthChecking[id] {
			continue
		}
		r.healthChecking[id] = true
		r.effects.HealthChecks = append(r.effects.HealthChecks, id)
	}
}

func (r *Reducer) serverChecked(now model.Time, e ServerChecked) {
	delete(r.healthChecking, e.Server)
	if e.Healthy {
		r.sched.HealthCheckPassed(now, e.Server)
	}
}
