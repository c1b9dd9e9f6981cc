package node

import (
	"net/http"
	"sync/atomic"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/mesh"
	"github.com/nutmegweir/nutmegweir/platform"
)

// configHolder holds the newest known configuration and never reverts to an older one.
type configHolder struct {
	current atomic.Pointer[configInForce]
	first   chan struct{} // closed when there is one
}

func newConfigHolder() *configHolder { return &configHolder{first: make(chan struct{})} }

type configInForce struct {
	*platform.Config
	data []byte // encoded, as in the store
}

// get returns the configuration in force, or nil.
func (h *configHolder) get() *configInForce { return h.current.Load() }

// replace puts a configuration in force if it is newer.
func (h *configHolder) replace(c *configInForce) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			if old == nil {
				close(h.first)
			}
			return true
		}
	}
}

// applyConfig puts a configuration in force if it is newer.
func (n *Node) applyConfig(data []byte, source string) {
	c, err := platform.ParseConfig(data)
	if err != nil {
		n.log.Event(eventlog.ConfigRejected).Str("source", source).AnErr("cause", err).Send()
		return
	}
	if !n.config.replace(&configInForce{Config: c, data: data}) {
		return
	}
	n.log.Event(eventlog.ConfigInForce).Uint64("version", c.Version).Str("source", source).
		Int("routes", len(c.Routes)).Send()
	n.metrics.ConfigVersion.Set(float64(c.Version))
	n.post(fleet.ConfigApplied{Version: c.Version})
}

// sendConfig sends the configuration in force to a member that requested it.
func (n *Node) sendConfig(to fleet.Member) {
	if c := n.config.get(); c != nil {
		n.mesh.Send(to, mesh.Config{Data: c.data})
	}
}

// readiness answers the platform's readiness checks.
type readiness struct{ on atomic.Bool }

func (r *readiness) set(on bool) { r.on.Store(on) }

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.on.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
