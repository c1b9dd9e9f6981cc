// Package entry assembles an entry instance from its settings. Programs that
// embed nutmegweir use it; the daemon is a thin main around it.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/backend"
	"github.com/nutmegweir/nutmegweir/internal/caller"
	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/ingress"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peer"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/policy"
	"github.com/nutmegweir/nutmegweir/internal/runtime"
	"github.com/nutmegweir/nutmegweir/internal/settings"
	"github.com/nutmegweir/nutmegweir/internal/shard"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
	"github.com/nutmegweir/nutmegweir/internal/tablesync"
	adapter "github.com/nutmegweir/nutmegweir/platform"
)

// Options configures an Instance.
type Options struct {
	Settings *settings.Settings
	Log      *eventlog.Log     // nil discards events
	Platform platform.Platform // nil uses the HTTP adapter, configured by Settings
}

// Instance is one entry instance.
type Instance struct {
	settings *settings.Settings
	log      *eventlog.Log
	metrics  *metrics.Metrics
	self     shard.Member

	runtime *runtime.Runtime
	peers   *peer.Manager
	pool    *backend.Pool
	handler *caller.Handler

	observer         *observer
	trail            *audit.Trail
	refusalCounts    audit.RefusalCounter
	tableStore       *tablestore.Store
	tableSync        *tablesync.Runner
	cancelBackground context.CancelFunc
	stopping         atomic.Bool
	wg               sync.WaitGroup

	callerListener   net.Listener
	peerListener     net.Listener
	operatorListener net.Listener
	callerServer     *caller.Server
	operatorServer   *http.Server
	operatorGuard    *ingress.Guard
}

// operatorLimits bound the operator port. Operators and the monitoring open a few
// connections each.
var operatorLimits = ingress.Limits{Memory: 8 << 20, Conns: 128}

// runTimeout bounds a single start. A start without an answer by then counts as
// lost.
const runTimeout = 10 * time.Minute

// New opens the listeners of an instance. Start makes it serve.
func New(o Options) (*Instance, error) {
	if o.Log == nil {
		o.Log = eventlog.Discard()
	}
	id, err := uuid.NewRandom()
	if err != nil {
		return nil, errors.Wrap(err, "generate an incarnation; the system's random source must be readable")
	}
	i := &Instance{
		settings: o.Settings,
		metrics:  metrics.New(),
		self: shard.Member{
			Instance:    o.Settings.Instance,
			Incarnation: model.Incarnation(id.String()),
		},
	}
	i.log = o.Log.ForInstance(i.self.Instance, o.Settings.Domain, i.self.Incarnation)
	if err := i.listen(); err != nil {
		i.closeListeners()
		return nil, err
	}
	if err := i.assemble(o.Platform); err != nil {
		i.closeListeners()
		return nil, err
	}
	return i, nil
}

func (i *Instance) listen() error {
	var err error
	if i.callerListener, err = listen("listen.caller", i.settings.Listen.Caller); err != nil {
		return err
	}
	if i.operatorListener, err = listen("listen.operator", i.settings.Listen.Operator); err != nil {
		return err
	}
	i.peerListener, err = listen("listen.peer", i.settings.Listen.Peer)
	return err
}

func listen(field, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "open %s; choose a free address of this machine", field)
	}
	return l, nil
}

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.callerListener, i.operatorListener, i.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (i *Instance) assemble(p platform.Platform) error {
	serverTLS, err := i.settings.TLS.Peer.ServerConfig()
	if err != nil {
		return err
	}
	if serverTLS != nil {
		i.peerListener = tls.NewListener(i.peerListener, serverTLS)
	}
	clientTLS, err := i.settings.TLS.Peer.ClientConfig()
	if err != nil {
		return err
	}
	i.observer = newObserver(i.log, i.metrics)
	if p == nil {
		p = i.httpPlatform()
	}
	i.pool = backend.New(backend.Options{RunTimeout: runTimeout, Probe: backend.DefaultProbeOptions()})
	if err := i.assembleTable(p); err != nil {
		return err
	}
	i.runtime = runtime.New(runtime.Options{
		Core:           i.coreOptions(),
		Platform:       p,
		BackendService: i.settings.BackendService,
		Backends:       i.pool,
		Observer:       i.observer,
	})
	i.peers = peer.New(peer.Options{
		Self:         i.self,
		Domain:       i.settings.Domain,
		Addr:         i.advertisedAddr(),
		SourceIP:     i.peerSourceIP(),
		ClientTLS:    clientTLS,
		OnEvent:      i.onPeerEvent,
		Stats:        i.observer,
		SilenceBound: time.Duration(i.settings.Shards.SilenceBoundMs) * time.Millisecond,
		OnAcceptError: func(err error) {
			i.log.Event(eventlog.PeerPortFault).AnErr("cause", err).Send()
		},
	})
	i.runtime.SetPeers(i.peers)
	return i.assembleServers()
}

func (i *Instance) httpPlatform() platform.Platform {
	return adapter.NewStoreAdapter(adapter.StoreAdapterOptions{
		Addr:            i.settings.Platform.Addr,
		CallTimeout:     time.Duration(i.settings.Platform.TimeoutMs) * time.Millisecond,
		ReadsPerSecond:  float64(i.settings.Platform.ReadsPerSecond),
		WritesPerSecond: float64(i.settings.Platform.WritesPerSecond),
		Counter:         i.observer,
	})
}

func (i *Instance) coreOptions() core.Options {
	so := shard.DefaultOptions()
	so.MaxClockSkew = time.Duration(i.settings.Shards.SkewBoundMs) * time.Millisecond
	so.DedupWindow = time.Duration(i.settings.Shards.DedupWindowS) * time.Second
	so.MaxAnswerBytes = i.settings.Shards.DedupMaxBytes
	return core.Options{
		Self:            i.self,
		Domain:          i.settings.Domain,
		Addr:            i.advertisedAddr(),
		ShardsPerDomain: i.settings.Shards.PerDomain,
		Replicate:       i.settings.Shards.Replicas > 0,
		SilenceBound:    time.Duration(i.settings.Shards.SilenceBoundMs) * time.Millisecond,
		Seed:            i.settings.Scheduler.Seed,
		Shard:           so,
		Policy:          policy.New(i.settings.Domain),
	}
}

// advertisedAddr returns the peer address that other instances connect to. With
// port 0 it is known only once the listener is open.
func (i *Instance) advertisedAddr() string {
	if i.settings.Peers.Advertise != "" {
		return i.settings.Peers.Advertise
	}
	return i.peerListener.Addr().String()
}

// peerSourceIP returns the local address to dial links from: that of the peer
// port, so that firewalls and test links can identify the dialer, or nil if the
// port listens on all addresses.
func (i *Instance) peerSourceIP() net.IP {
	addr, ok := i.peerListener.Addr().(*net.TCPAddr)
	if !ok || addr.IP.IsUnspecified() {
		return nil
	}
	return addr.IP
}

func (i *Instance) assembleServers() error {
	callerTLS, err := i.settings.TLS.Caller.ServerConfig()
	if err != nil {
		return err
	}
	i.handler = caller.New(caller.Options{
		Dispatcher: dispatcher{Runtime: i.runtime, refusals: &i.refusalCounts},
		Domains:    i.settings.Domains,
		Limits:     i.settings.Limits,
		Log:        i.log,
		Metrics:    i.metrics,
	})
	i.callerServer = caller.NewServer(i.handler, i.settings.Limits, callerTLS, i.log)
	operators, err := i.operatorHandler()
	if err != nil {
		return err
	}
	operatorTLS, err := i.settings.TLS.Operator.ServerConfig()
	if err != nil {
		return err
	}
	i.operatorServer = &http.Server{
		Handler:           i.operatorRoutes(operators),
		TLSConfig:         operatorTLS,
		ReadHeaderTimeout: 5 * time.Second,
	}
	i.operatorGuard = ingress.New(ingress.Options{Limits: operatorLimits, KeepHeaders: []string{"Authorization"}})
	i.operatorGuard.Protect(i.operatorServer)
	return nil
}

// CallerAddr returns the address of the caller port.
func (i *Instance) CallerAddr() string { return i.callerListener.Addr().String() }

// OperatorAddr returns the address of the operator port.
func (i *Instance) OperatorAddr() string { return i.operatorListener.Addr().String() }

// Start makes the instance serve.
func (i *Instance) Start() {
	go func() { _ = i.peers.Serve(i.peerListener) }()
	i.runtime.Start()
	if len(i.settings.Peers.Seeds) > 0 {
		i.runtime.Post(core.Seeds{Addrs: i.settings.Peers.Seeds})
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancelBackground = cancel
	i.wg.Go(func() { i.tableSync.Run(ctx) })
	i.wg.Go(func() { i.logReady(ctx) })
	i.wg.Go(func() { i.auditRefusals(ctx) })
	i.logPlainPorts()
	go func() { _ = i.callerServer.Serve(i.callerListener) }()                      // returns when it is closed
	go func() { _ = i.operatorGuard.Serve(i.operatorServer, i.operatorListener) }() // returns when it is closed
	i.log.Event(eventlog.InstanceStarted).
		Str("caller", i.CallerAddr()).
		Str("operator", i.OperatorAddr()).
		Str("peer", i.advertisedAddr()).
		Send()
}

// Shutdown stops gracefully: no new submissions, shards handed over, requests
// in flight answered. Whatever remains when ctx ends is aborted. The peer
// listener stays open to the end, because other instances take a refused
// connection as proof that the process has ended.
func (i *Instance) Shutdown(ctx context.Context) error {
	i.log.Event(eventlog.InstanceStopping).Send()
	i.stopping.Store(true)
	if end, ok := ctx.Deadline(); ok {
		// Waiting callers get the current state of their jobs before the deadline.
		t := time.AfterFunc(time.Until(end)-callerWaitMargin, i.handler.CancelWaits)
		defer t.Stop()
	}
	// Late submissions are forwarded to their owners; load balancers learn from
	// /readyz to send them elsewhere. An instance that could not hand over its
	// shards accepts no more, or it would never finish.
	if !i.runtime.HandOver(ctx) {
		i.handler.Stop()
	}
	i.runtime.WaitIdle(ctx)
	i.handler.Stop()
	err := i.callerServer.Shutdown(ctx)
	_ = i.operatorServer.Close()
	i.Close()
	if err != nil {
		i.log.Event(eventlog.InstanceStopForced).Err(err).Send()
	}
	i.log.Event(eventlog.InstanceStopped).Send()
	return errors.Wrap(err, "requests were in flight when the graceful stop timed out; raise stop_bound_s")
}

// callerWaitMargin is how long before the stop deadline the waits of callers end.
const callerWaitMargin = time.Second

// Close stops immediately.
func (i *Instance) Close() {
	_ = i.callerServer.Close()
	_ = i.operatorServer.Close()
	if i.cancelBackground != nil {
		i.cancelBackground()
	}
	i.wg.Wait()
	i.runtime.Close()
	i.peers.Close()
	_ = i.trail.Close()
	_ = i.peerListener.Close()
	i.pool.Close()
}

// WaitReady waits until submissions can be routed.
func (i *Instance) WaitReady(ctx context.Context) error {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for !i.runtime.Ready() {
		select {
		case <-ctx.Done():
			return errors.New("the instance did not become ready; check that the platform answers")
		case <-t.C:
		}
	}
	return nil
}
