package metrics

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// Handler serves the metrics. Before each response it sets the gauges derived
// from the instance's status; status may return nil.
func (m *Metrics) Handler(status func(context.Context) *api.InstanceStatus) http.Handler {
	serve := promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s := status(r.Context()); s != nil {
			m.SetStatus(s)
		}
		serve.ServeHTTP(w, r)
	})
}

// Names of states and roles in an api.InstanceStatus.
const (
	peerUp    = "up"
	roleOwner = "owner"
)

// SetStatus sets the gauges of links and shards.
func (m *Metrics) SetStatus(s *api.InstanceStatus) {
	links, owned := 0, 0
	for _, p := range s.Peers {
		if p.State == peerUp {
			links++
		}
	}
	for _, sh := range s.Shards {
		if sh.Role == roleOwner {
			owned++
		}
	}
	m.PeerLinks.Set(float64(links))
	m.ShardsOwned.Set(float64(owned))
}

// SetScheduler sets the gauges of slots and queues.
func (m *Metrics) SetScheduler(s sched.Stats) {
	m.SlotsHeld.Set(float64(s.Slots))
	m.SlotsLent.Set(float64(s.Lent))
	m.SlotsBusy.Set(float64(s.Running))
	m.QueuedTasks.Set(float64(s.Waiting))
	m.Servers.WithLabelValues("quarantined").Set(float64(s.Quarantined))
}

// SetServers sets the gauges of the backend servers listed by the platform.
func (m *Metrics) SetServers(list []sched.Server) {
	active, leaving := 0, 0
	for _, s := range list {
		switch s.State {
		case sched.ServerActive:
			active++
		case sched.ServerLeaving:
			leaving++
		}
	}
	m.Servers.WithLabelValues("active").Set(float64(active))
	m.Servers.WithLabelValues("leaving").Set(float64(leaving))
}

// Count counts a call to the platform. It implements platform.Counter.
func (m *Metrics) Count(c platform.Call) {
	m.PlatformCalls.WithLabelValues(c.Op.String(), c.Kind.String()).Inc()
	if c.Kind == platform.KindNone {
		m.PlatformUp.Set(1)
	}
}
