// Package node runs one instance on the platform: it feeds events to the reducer
// of package fleet and executes the resulting effects.
package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/ingress"
	"github.com/nutmegweir/nutmegweir/internal/mesh"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Node is one instance on the platform.
type Node struct {
	settings   platform.Settings
	self       fleet.Member
	log        *eventlog.Log
	limitedLog *limitedLog
	metrics    *metrics.Fleet

	store   *storeSync
	jobs    *jobStore
	servers *platform.Servers
	mesh    *mesh.Mesh
	config  *configHolder
	callers *callerHandler
	ingress *ingress.Guard // of the caller port

	sharedWatchMinServers int // 0 selects the reducer's default

	events chan fleet.Event
	done   chan struct{} // closed when the loop has ended
	input  *inputProbe
	ready  readiness

	resumption   resumption
	callerServer *http.Server
	identified   chan struct{} // closed when the incarnation is chosen, and the logs name it

	unrecorded *startRecord // nil if the store has recorded the start
}

// eventQueueLength is how many events may be queued for the reducer before senders block.
const eventQueueLength = 1024

// New returns a node, after it has recorded its start in the store or has given that up
// for now. It writes structured logs to logs.
func New(ctx context.Context, s platform.Settings, logs io.Writer) (*Node, error) {
	log, err := eventlog.New(logs, "info")
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: s,
		self:     fleet.Member{Instance: s.Instance, Domain: s.Domain, Addr: s.AdvertisedAddr, Weight: s.CPUCores},
		metrics:  metrics.NewFleet(),
		servers:  platform.NewServers(),
		config:   newConfigHolder(),
		events:   make(chan fleet.Event, eventQueueLength),
		done:     make(chan struct{}),

		identified: make(chan struct{}), resumption: resumption{startedAt: bootTime()},
	}
	n.callers = newCallerHandler(n)
	n.ingress = n.newGuard(s.CallerAddr)
	if n.callerServer, err = n.listenHTTP(ctx, s.CallerAddr, n.callers); err != nil {
		return nil, err
	}
	n.resumption.reach("listening_ms", bootTime())
	n.store = newStoreSync(n)
	n.store.ahead = n.store.startReadAhead(ctx)
	n.identify(ctx, log)
	close(n.identified)
	n.resumption.reach("identified_ms", bootTime())
	n.jobs = newJobStore(n)
	n.mesh = mesh.New(mesh.Options{
		Self:         n.self,
		Dial:         platform.NewDialer().DialContext,
		OnConnect:    func(e fleet.LinkUp) { n.post(e) },
		OnDisconnect: func(e fleet.LinkDown) { n.post(e) },
		OnMessage:    n.receive,
		OnError:      n.logLinkError,
	})
	return n, nil
}

// identify chooses the incarnation, which all logs name.
func (n *Node) identify(ctx context.Context, log *eventlog.Log) {
	unnamed := newLimitedLog(log.ForInstance(n.self.Instance, n.self.Domain, ""), n.metrics)
	start := &startRecord{instance: n.self.Instance, startedAt: time.Now(), store: n.store.store, log: unnamed}
	incarnation, err := start.next(ctx)
	n.self.Incarnation = incarnation
	n.log = log.ForInstance(n.self.Instance, n.self.Domain, incarnation)
	n.limitedLog = newLimitedLog(n.log, n.metrics)
	if err != nil {
		n.log.Event(eventlog.StartUnrecorded).AnErr("cause", err).Send()
		start.log = n.limitedLog
		n.unrecorded = start
	}
}

// isIdentified reports whether the logs name the instance's incarnation. The caller port
// opens before that.
func (n *Node) isIdentified() bool {
	select {
	case <-n.identified:
		return true
	default:
		return false
	}
}

// post queues an event for the reducer.
func (n *Node) post(e fleet.Event) {
	select {
	case n.events <- e:
	case <-n.done:
	}
}

// receive handles a message from a peer.
func (n *Node) receive(from fleet.Member, message any) {
	switch m := message.(type) {
	case fleet.Message:
		n.post(fleet.PeerMessage{From: from, ReceivedAt: bootTime(), Message: m})
	case mesh.Config:
		n.applyConfig(m.Data, "peer "+string(from.Instance))
	}
}

func (n *Node) logLinkError(peer model.Instance, err error) {
	n.log.Event(eventlog.PeerLost).Str("peer", string(peer)).AnErr("cause", err).Send()
}

// Run serves until ctx ends, then drains in-flight work. A signal on hangups
// makes it re-read the settings file.
func (n *Node) Run(ctx context.Context, hangups <-chan os.Signal) error {
	n.log.Event(eventlog.InstanceStarted).Str("callers", n.settings.CallerAddr).Str("peers", n.settings.PeerAddr).
		Str("store", n.settings.Store.Addr).Dur("grace_ms", n.settings.Bounds.GracePeriod).Send()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := n.listen(running)
	if err != nil {
		return err
	}
	if n.input, err = newInputProbe(n.post); err != nil {
		return err
	}
	defer n.input.close()
	n.spawn(n.input.run)
	n.spawn(func() { n.store.run(running) })
	n.spawn(func() { n.jobs.run(running) })
	if r := n.unrecorded; r != nil {
		n.spawn(func() { r.keep(running) })
	}
	n.spawn(func() { n.reload(running, hangups) })
	loop := newLoop(n, running)
	stopped := make(chan struct{})
	go func() {
		loop.run(ctx)
		close(stopped)
	}()
	<-stopped
	close(n.done)
	n.shutdownServers(servers)
	n.store.leave()
	stop()
	n.log.Event(eventlog.InstanceStopped).Send()
	return nil
}

// reload re-reads the settings file at each signal and logs whether it changed.
// The settings of a running process, such as its addresses, stay as they are.
func (n *Node) reload(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := platform.LoadSettings()
		if err != nil {
			n.log.Event(eventlog.SettingsUnchanged).AnErr("cause", err).Send()
			continue
		}
		n.log.Event(eventlog.SettingsReloaded).Bool("changed", !reflect.DeepEqual(s, n.settings)).Send()
	}
}

// spawn starts a goroutine that Run does not wait for: calls have deadlines,
// and the process exits after Run.
func (n *Node) spawn(f func()) { go f() }

// listen opens the caller, readiness, metrics and peer ports.
func (n *Node) listen(ctx context.Context) ([]*http.Server, error) {
	peers, err := platform.NewListenConfig().Listen(ctx, "tcp", n.settings.PeerAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers; check that the port is not in use")
	}
	n.spawn(func() {
		if err := n.mesh.Serve(ctx, peers); err != nil {
			n.logLinkError("", err)
		}
	})
	context.AfterFunc(ctx, func() { peers.Close() })
	out := []*http.Server{n.callerServer}
	for addr, h := range n.handlers() {
		server, err := n.listenHTTP(ctx, addr, h)
		if err != nil {
			return nil, err
		}
		out = append(out, server)
	}
	return out, nil
}

// listenHTTP opens a port and serves it.
func (n *Node) listenHTTP(ctx context.Context, addr string, h http.Handler) (*http.Server, error) {
	l, err := platform.NewListenConfig().Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s; check that the port is not in use", addr)
	}
	return n.serve(addr, l, h), nil
}

func (n *Node) serve(addr string, l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	g := n.ingress
	if addr != n.settings.CallerAddr {
		g = n.newGuard(addr)
	}
	g.Protect(s)
	n.spawn(func() { n.serveGuarded(g, s, l) })
	return s
}

// Limits of the HTTP servers.
const (
	headerTimeout  = 3 * time.Second // the platform's usual limit
	idleTimeout    = 2 * time.Minute // caller connections are expensive to open
	maxHeaderBytes = 16 << 10        // the platform's usual limit
)

func (n *Node) handlers() map[string]http.Handler {
	h := map[string]http.Handler{n.settings.ReadyAddr: &n.ready}
	if a := n.settings.MetricsAddr; a != "" {
		h[a] = n.metricsHandler()
	}
	return h
}

// shutdownServers closes the HTTP servers after in-flight responses.
func (n *Node) shutdownServers(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Event(eventlog.InstanceStopForced).AnErr("cause", err).Send()
		}
	}
}

// shutdownTimeout bounds the final responses after the reducer has stopped.
const shutdownTimeout = 300 * time.Millisecond
