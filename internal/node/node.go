// Package node runs one instance on the platform: it feeds the reducer of
// package fleet with events and carries out its effects.
package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/mesh"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Node is one instance on the platform.
type Node struct {
	settings platform.Settings
	self     fleet.Member
	log      *eventlog.Log
	notes    *noteLog
	metrics  *metrics.Fleet

	store   *storeSide
	jobs    *jobStore
	servers *platform.Servers
	mesh    *mesh.Mesh
	config  *configBox
	callers *callers

	sharedListFrom int // servers; 0 is the usual number

	events chan fleet.Event
	done   chan struct{} // closed when the loop has ended
	ready  readiness
}

// eventQueue is how many events may wait for the reducer; senders block beyond.
const eventQueue = 1024

// New returns a node. logs takes structured logs.
func New(s platform.Settings, logs io.Writer) (*Node, error) {
	log, err := eventlog.New(logs, "info")
	if err != nil {
		return nil, err
	}
	self := fleet.Member{
		Instance: s.Instance, Incarnation: newIncarnation(time.Now()), Domain: s.Domain,
		Addr: s.AdvertisedAddr, Weight: s.CPUCores,
	}
	n := &Node{
		settings: s, self: self,
		log:     log.ForInstance(self.Instance, self.Domain, self.Incarnation),
		metrics: metrics.NewFleet(),
		servers: platform.NewServers(),
		config:  &configBox{},
		events:  make(chan fleet.Event, eventQueue),
		done:    make(chan struct{}),
	}
	n.notes = newNoteLog(n.log, n.metrics)
	n.callers = newCallers(n)
	n.store = newStoreSide(n)
	n.jobs = newJobStore(n)
	n.mesh = mesh.New(mesh.Options{
		Self:         self,
		Dial:         platform.NewDialer().DialContext,
		OnConnect:    func(e fleet.LinkUp) { n.post(e) },
		OnDisconnect: func(e fleet.LinkDown) { n.post(e) },
		OnMessage:    n.receive,
		OnError:      n.linkFault,
	})
	return n, nil
}

// newIncarnation names a life of the process; later ones sort after earlier ones.
func newIncarnation(start time.Time) model.Incarnation {
	return model.Incarnation(fmt.Sprintf("%016x", start.UnixNano()))
}

// post hands an event to the reducer.
func (n *Node) post(e fleet.Event) {
	select {
	case n.events <- e:
	case <-n.done:
	}
}

// receive takes a message of a peer in.
func (n *Node) receive(from fleet.Member, message any) {
	switch m := message.(type) {
	case fleet.Message:
		n.post(fleet.PeerMessage{From: from, ReceivedAt: bootTime(), Message: m})
	case mesh.Config:
		n.takeConfig(m.Data, "peer "+string(from.Instance))
	}
}

func (n *Node) linkFault(peer model.Instance, err error) {
	n.log.Event(eventlog.PeerLost).Str("peer", string(peer)).AnErr("cause", err).Send()
}

// Run serves until ctx ends, then finishes what is in flight. A signal on
// hangups makes it read the settings file again.
func (n *Node) Run(ctx context.Context, hangups <-chan os.Signal) error {
	n.log.Event(eventlog.InstanceStarted).Str("callers", n.settings.CallerAddr).Str("peers", n.settings.PeerAddr).
		Str("store", n.settings.Store.Addr).Dur("grace_ms", n.settings.Bounds.GracePeriod).Send()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := n.listen(running)
	if err != nil {
		return err
	}
	n.spawn(func() { n.store.run(running) })
	n.spawn(func() { n.jobs.run(running) })
	n.spawn(func() { n.reload(running, hangups) })
	loop := newLoop(n, running)
	stopped := make(chan struct{})
	go func() {
		loop.run(ctx)
		close(stopped)
	}()
	<-stopped
	close(n.done)
	n.finish(servers)
	n.store.leave()
	stop()
	n.log.Event(eventlog.InstanceStopped).Send()
	return nil
}

// reload checks the settings file at each signal. What the platform may change
// while a process runs is logged; addresses hold for the life of the process.
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

// spawn runs a goroutine that Run's end does not wait for: calls have
// deadlines, and the process ends.
func (n *Node) spawn(f func()) { go f() }

// listen opens the ports of callers, readiness, metrics and peers.
func (n *Node) listen(ctx context.Context) ([]*http.Server, error) {
	peers, err := platform.NewListenConfig().Listen(ctx, "tcp", n.settings.PeerAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers; check that the port is free")
	}
	n.spawn(func() {
		if err := n.mesh.Serve(ctx, peers); err != nil {
			n.linkFault("", err)
		}
	})
	context.AfterFunc(ctx, func() { peers.Close() })
	var out []*http.Server
	for addr, h := range n.handlers() {
		l, err := platform.NewListenConfig().Listen(ctx, "tcp", addr)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s; check that the port is free", addr)
		}
		out = append(out, n.serve(l, h))
	}
	return out, nil
}

func (n *Node) serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	n.spawn(func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Event(eventlog.CallerPortFault).AnErr("cause", err).Send()
		}
	})
	return s
}

// Bounds of the HTTP servers while no configuration is in force.
const (
	headerTimeout  = 3 * time.Second // the platform's usual limit
	idleTimeout    = 2 * time.Minute // connections of callers are dear to open
	maxHeaderBytes = 16 << 10        // the platform's usual limit
)

func (n *Node) handlers() map[string]http.Handler {
	h := map[string]http.Handler{n.settings.CallerAddr: n.callers, n.settings.ReadyAddr: &n.ready}
	if a := n.settings.MetricsAddr; a != "" {
		h[a] = n.metrics.Handler()
	}
	return h
}

// finish closes the HTTP servers; answers under way are delivered.
func (n *Node) finish(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Event(eventlog.InstanceStopForced).AnErr("cause", err).Send()
		}
	}
}

// closeTimeout is left for last answers after the reducer has ended.
const closeTimeout = 300 * time.Millisecond
