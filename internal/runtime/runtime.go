// Package runtime turns I/O into events of the reducer, and the reducer's
// effects into I/O.
package runtime

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/backend"
	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peer"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

const (
	eventQueueSize = 4096
	maxBatchEvents = 256 // events processed before their effects are applied
)

// Options configures a Runtime.
type Options struct {
	Core           core.Options
	Platform       platform.Platform
	BackendService string
	Peers          *peer.Manager
	Backends       *backend.Pool
	Observer       Observer
}

// Observer receives what is reported to operators in logs and metrics.
type Observer interface {
	Step(d time.Duration, events int)
	Notify(n core.Notification)
	PlatformError(op string, err error)
	TaskDone(server model.ServerID, kind model.Kind, res backend.Result)
	Servers(list []sched.Server)
	Peers(list []sched.Peer)
}

// Runtime runs the reducer of one instance.
type Runtime struct {
	opts    Options
	core    *core.Reducer
	events  chan core.Event
	queries chan func()
	clock   clock
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc

	requests         atomic.Uint64
	inFlight         atomic.Int64 // tasks started but not yet answered
	stopping         atomic.Bool
	openJobs         atomic.Int64 // jobs that a graceful stop waits for
	ownedShards      atomic.Int64
	pendingHandovers atomic.Int64 // shards that a graceful stop has yet to hand over

	mu              sync.Mutex
	pendingRequests map[uint64]chan *peerpb.Answer

	session platformSession
}

// New returns a runtime. Start runs it.
func New(o Options) *Runtime {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runtime{
		opts:            o,
		core:            core.New(o.Core),
		events:          make(chan core.Event, eventQueueSize),
		queries:         make(chan func()),
		pendingRequests: make(map[uint64]chan *peerpb.Answer),
		ctx:             ctx,
		cancel:          cancel,
	}
}

// SetPeers sets the peer manager, which needs the runtime's Post.
func (r *Runtime) SetPeers(m *peer.Manager) { r.opts.Peers = m }

// Post queues an event for the reducer. It blocks while the queue is full.
func (r *Runtime) Post(e core.Event) {
	select {
	case r.events <- e:
	case <-r.ctx.Done():
	}
}

// Start starts the runtime's goroutines.
func (r *Runtime) Start() {
	r.wg.Go(r.loop)
	r.wg.Go(r.runSession)
	r.wg.Go(r.watchCluster)
	r.wg.Go(r.watchServers)
}

// Close stops immediately and waits for all goroutines.
func (r *Runtime) Close() {
	r.cancel()
	r.wg.Wait()
}

// loop runs on the only goroutine that accesses the reducer.
func (r *Runtime) loop() {
	ticker := time.NewTicker(sched.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case e := <-r.events:
			r.stepBatch(e)
		case f := <-r.queries:
			f()
		case <-ticker.C:
			r.stepBatch(core.Tick{})
		}
		r.apply(r.core.Ready())
	}
}

// stepBatch processes e and the events queued behind it, up to maxBatchEvents.
func (r *Runtime) stepBatch(e core.Event) {
	began := time.Now()
	n := 0
	for {
		r.core.Step(r.clock.now(), e)
		n++
		if n == maxBatchEvents {
			break
		}
		select {
		case e = <-r.events:
			continue
		default:
		}
		break
	}
	r.opts.Observer.Step(time.Since(began), n)
}

// query runs f on the reducer's goroutine.
func (r *Runtime) query(ctx context.Context, f func()) error {
	done := make(chan struct{})
	call := func() {
		f()
		close(done)
	}
	select {
	case r.queries <- call:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return context.Canceled
	}
}

func (r *Runtime) apply(e core.Effects) {
	if e.Dial != nil {
		r.opts.Peers.Dial(e.Dial)
	}
	for _, s := range e.Sends {
		r.opts.Peers.Send(s.To, s.Message)
	}
	for _, st := range e.Starts {
		r.startTask(st)
	}
	for _, id := range e.HealthChecks {
		r.checkHealth(id)
	}
	for _, rep := range e.Replies {
		r.deliverReply(rep)
	}
	if e.WriteViews != nil {
		w := *e.WriteViews
		r.wg.Go(func() { r.writeViews(w) })
	}
	if e.ReadViews {
		startedAt := r.clock.now()
		r.wg.Go(func() { r.readViews(startedAt) })
	}
	if e.InstanceCount != 0 {
		r.opts.Backends.SetInstanceCount(e.InstanceCount)
	}
	if e.Peers != nil {
		r.opts.Observer.Peers(e.Peers)
	}
	for _, n := range e.Notifications {
		r.opts.Observer.Notify(n)
	}
	if r.stopping.Load() {
		r.openJobs.Store(int64(r.core.OpenJobs()))
		r.ownedShards.Store(int64(r.core.OwnedShards()))
		r.pendingHandovers.Store(int64(r.core.PendingHandovers()))
	}
}

func (r *Runtime) startTask(st shard.StartTask) {
	r.inFlight.Add(1)
	r.wg.Go(func() {
		defer r.inFlight.Add(-1)
		res := r.opts.Backends.Run(r.ctx, st.Start.Server, backendTask(st))
		r.opts.Observer.TaskDone(st.Start.Server, model.Kind(st.Spec.Kind), res)
		r.Post(core.TaskDone{TaskDone: shard.TaskDone{
			Start:      st.Start,
			Outcome:    res.Outcome,
			Ran:        res.Duration,
			Output:     res.Output,
			Error:      res.Error,
			ServerGone: res.ServerGone,
		}})
	})
}

// checkHealth posts the outcome of a health check of a backend server.
func (r *Runtime) checkHealth(id model.ServerID) {
	r.wg.Go(func() {
		r.Post(core.ServerChecked{
			Server:  id,
			Healthy: r.opts.Backends.Healthy(r.ctx, id),
		})
	})
}

func backendTask(st shard.StartTask) backend.Task {
	id := st.Spec.Identity
	var key model.Key
	copy(key[:], id.Key)
	name := id.Home + "/" + id.Customer + "/" + key.String() + "/" + strconv.Itoa(st.Start.Index)
	return backend.Task{
		Identity: name,
		Attempt:  st.Attempt,
		Kind:     model.Kind(st.Spec.Kind),
		Deadline: model.Time(st.Spec.DeadlineUnixMs * int64(time.Millisecond)),
		Payload:  st.Spec.Payloads[st.Start.Index],
	}
}

// clock returns wall time that never goes backwards and advances at least as
// fast as the monotonic clock.
type clock struct {
	last     model.Time
	lastRead time.Time
}

func (c *clock) now() model.Time {
	t := time.Now()
	wall := model.Time(t.UnixNano())
	if c.last != 0 {
		wall = max(wall, c.last.Add(t.Sub(c.lastRead)))
	}
	c.last = wall
	c.lastRead = t
	return wall
}

// Ready reports whether submissions can be routed.
func (r *Runtime) Ready() bool {
	ready := false
	err := r.query(r.ctx, func() { ready = r.core.Routable() })
	return err == nil && ready
}
