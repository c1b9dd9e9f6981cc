package node

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/ingress"
	"github.com/nutmegweir/nutmegweir/platform"
)

// auxiliaryLimits bound the ready and metrics ports, which only the platform uses.
var auxiliaryLimits = ingress.Limits{Memory: 4 << 20, Conns: 32, BodyTime: ingress.BodyTime}

// newGuard returns the limits of a port.
func (n *Node) newGuard(addr string) *ingress.Guard {
	o := ingress.Options{Limits: auxiliaryLimits, Observer: ingressObserver{n}}
	if addr == n.settings.CallerAddr {
		o.Limits = ingress.LimitsFor(n.settings.MemoryMB, n.settings.MaxFDs)
		o.KeepHeaders = []string{platform.HeaderDeadline}
	}
	return ingress.New(o)
}

// serveGuarded serves a listener until the server is closed.
func (n *Node) serveGuarded(g *ingress.Guard, s *http.Server, l net.Listener) {
	if err := g.Serve(s, l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		<-n.identified
		n.log.Event(eventlog.CallerPortFault).AnErr("cause", err).Send()
	}
}

// metricsHandler serves the metrics with current gauges of the caller port.
func (n *Node) metricsHandler() http.Handler {
	h := n.metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conns, memory := n.ingress.Usage()
		n.metrics.IngressConnections.Set(float64(conns))
		n.metrics.IngressMemory.Set(float64(memory))
		h.ServeHTTP(w, r)
	})
}

// ingressObserver counts and logs what the limits of a port give up.
type ingressObserver struct{ *Node }

// ConnectionClosed implements ingress.Observer.
func (o ingressObserver) ConnectionClosed(r ingress.Reason, logged bool) {
	o.count(eventlog.ConnectionClosed, r, logged)
}

// RequestShed implements ingress.Observer.
func (o ingressObserver) RequestShed(r ingress.Reason, logged bool) {
	o.count(eventlog.RequestShed, r, logged)
}

func (o ingressObserver) count(e eventlog.Event, r ingress.Reason, logged bool) {
	o.metrics.IngressRefused.WithLabelValues(string(r)).Inc()
	if logged && o.isIdentified() && o.limitedLog.allow(e) {
		o.log.Event(e).Str("reason", string(r)).Send()
	}
}

// bodyRejection returns the rejection of a request whose body could not be read.
func bodyRejection(err error) *platform.Rejection {
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		return &platform.Rejection{
			Status: platform.StatusTooLarge, Problem: "the body is larger than the operator's limit", Remedy: "Send a smaller job.", Close: true,
		}
	case errors.Is(err, ingress.ErrRefused):
		return &platform.Rejection{
			Status: platform.StatusNotRun, RetryAfter: ingress.RetryAfter, Problem: err.Error(), Remedy: "Come back after the wait.", Close: true,
		}
	}
	return &platform.Rejection{
		Status: platform.StatusBadRequest, Problem: "the body could not be read: " + err.Error(), Remedy: "Send it again.",
	}
}
