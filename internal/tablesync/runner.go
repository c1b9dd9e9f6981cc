package tablesync

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// Timing of the platform watch.
const (
	watchQueryWait    = 5 * time.Second
	watchInterval     = time.Second // pause between reads, so that a burst of edits costs few
	minRetryDelay     = 500 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
	idleCheckInterval = time.Second
)

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Core      Options
	Store     *tablestore.Store
	Send      func(to model.Instance, m *peerpb.TableMessage) // must not block; may drop
	OnChange  func(*table.Snapshot)                           // may be nil; versions only increase
	OnInForce func(DomainInForce)                             // may be nil
	OnError   func(error)                                     // failures of the platform; may be nil
}

// Runner drives a Core. Its methods are safe for concurrent use.
type Runner struct {
	opts RunnerOptions
	mu   sync.Mutex
	core *Core
}

// NewRunner returns a runner. Run starts it.
func NewRunner(o RunnerOptions) *Runner { return &Runner{opts: o, core: New(o.Core)} }

// withCore runs a step of the core and executes its output. Holding the lock
// keeps messages and changes in order.
func (r *Runner) withCore(step func(now model.Time, c *Core)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	step(model.Time(time.Now().UnixNano()), r.core)
	out := r.core.Ready()
	if out.Changed && r.opts.OnChange != nil {
		r.opts.OnChange(r.core.Snapshot())
	}
	for _, domain := range out.InForce {
		if r.opts.OnInForce != nil {
			r.opts.OnInForce(domain)
		}
	}
	for _, s := range out.Messages {
		r.opts.Send(s.To, s.Message)
	}
}

// SetPeers replaces the list of live peers, which excludes this instance.
func (r *Runner) SetPeers(list []Peer) {
	r.withCore(func(now model.Time, c *Core) { c.SetPeers(now, list) })
}

// Receive handles a message from another instance.
func (r *Runner) Receive(from model.Instance, m *peerpb.TableMessage) {
	r.withCore(func(now model.Time, c *Core) { c.Receive(now, from, m) })
}

// AddLocalEdit applies an edit that this instance wrote to the platform without
// waiting for the watch. An edit that does not directly follow the table in
// force is left to the watch.
func (r *Runner) AddLocalEdit(e table.Edit) {
	r.withCore(func(_ model.Time, c *Core) {
		if next, ok := c.Snapshot().Apply([]table.Edit{e}); ok {
			c.Install(next, []table.Edit{e})
		}
	})
}

// Snapshot returns the table in force.
func (r *Runner) Snapshot() *table.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Snapshot()
}

// Status returns how far a version has propagated in each failure domain.
func (r *Runner) Status(version uint64) []DomainStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Status(model.Time(time.Now().UnixNano()), version)
}

// Run ticks, and watches the platform when this instance should, until ctx is
// done.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.tick(ctx) })
	wg.Go(func() { r.watch(ctx) })
	wg.Wait()
}

func (r *Runner) tick(ctx context.Context) {
	wait.Every(ctx, TickInterval, func() {
		r.withCore(func(now model.Time, c *Core) { c.Tick(now) })
	})
}

func (r *Runner) watch(ctx context.Context) {
	var index uint64
	retry := wait.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		if !r.shouldWatch() {
			wait.Sleep(ctx, idleCheckInterval)
			continue
		}
		next, err := r.watchOnce(ctx, index)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.watchFailed(err)
			index = 0
			retry.Sleep(ctx)
			continue
		}
		index = next
		retry.Reset()
		wait.Sleep(ctx, watchInterval)
	}
}

func (r *Runner) shouldWatch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.ShouldWatch(model.Time(time.Now().UnixNano()))
}

// watchOnce makes one blocking query and installs the table it returns.
func (r *Runner) watchOnce(ctx context.Context, index uint64) (uint64, error) {
	ch, err := r.opts.Store.Watch(ctx, index, watchQueryWait)
	if err != nil {
		return 0, err
	}
	update, err := r.opts.Store.Advance(ctx, r.Snapshot(), ch.Log)
	if err != nil {
		return 0, err
	}
	r.withCore(func(_ model.Time, c *Core) { c.WatchSucceeded(update.Table, update.Edits) })
	return ch.Index, nil
}

func (r *Runner) watchFailed(err error) {
	if r.opts.OnError != nil {
		r.opts.OnError(err)
	}
	r.withCore(func(_ model.Time, c *Core) { c.WatchFailed() })
}
