package node

import (
	"net/http"
	"sync/atomic"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/mesh"
	"github.com/nutmegweir/nutmegweir/platform"
)

// configBox holds the newest configuration that was seen. It never goes back.
type configBox struct{ current atomic.Pointer[configInForce] }

type configInForce struct {
	*platform.Config
	data []byte // as the store holds it
}

// get returns the configuration, nil before the first.
func (b *configBox) get() *configInForce { return b.current.Load() }

// take puts a configuration in force unless a newer one is.
func (b *configBox) take(c *configInForce) bool {
	for {
		old := b.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if b.current.CompareAndSwap(old, c) {
			return true
		}
	}
}

// takeConfig puts a configuration in force unless it is older than the one that is.
func (n *Node) takeConfig(data []byte, source string) {
	c, err := platform.ParseConfig(data)
	if err != nil {
		n.log.Event(eventlog.ConfigRejected).Str("source", source).AnErr("cause", err).Send()
		return
	}
	if !n.config.take(&configInForce{Config: c, data: data}) {
		return
	}
	n.log.Event(eventlog.ConfigInForce).Uint64("version", c.Version).Str("source", source).
		Int("routes", len(c.Routes)).Send()
	n.metrics.ConfigVersion.Set(float64(c.Version))
	n.post(fleet.ConfigApplied{Version: c.Version})
}

// sendConfig passes the configuration in force on to a member that asked for it.
func (n *Node) sendConfig(to fleet.Member) {
	if c := n.config.get(); c != nil {
		n.mesh.Send(to.Instance, mesh.Config{Data: c.data})
	}
}

// readiness answers the platform's checks.
type readiness struct{ on atomic.Bool }

func (r *readiness) set(on bool) { r.on.Store(on) }

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.on.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
