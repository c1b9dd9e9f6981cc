package runtime

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// Keys in the platform's key-value store.
const (
	clusterPrefix  = "nutmegweir/cluster/"
	instancePrefix = clusterPrefix + "instances/"
	viewsPrefix    = clusterPrefix + "views/"
)

const (
	sessionTTL       = 15 * time.Second
	renewInterval    = 5 * time.Second
	watchTimeout     = 30 * time.Second
	minRetryDelay    = 150 * time.Millisecond
	maxRetryDelay    = 3 * time.Second
	minWatchInterval = 100 * time.Millisecond // between watch calls, so that one call returns several changes
	delayJitter      = 1.0                    // spreads out instances that lost the platform at the same time
	callTimeout      = 2 * time.Second
	destroyTimeout   = time.Second
)

// platformSession is the instance's platform session and registration state.
type platformSession struct {
	mu      sync.Mutex
	id      platform.SessionID
	leaving bool
}

func (r *Runtime) instanceInfo() core.InstanceInfo {
	r.session.mu.Lock()
	defer r.session.mu.Unlock()
	return core.InstanceInfo{
		Member:  r.opts.Core.Self,
		Domain:  r.opts.Core.Domain,
		Addr:    r.opts.Core.Addr,
		Leaving: r.session.leaving,
	}
}

// instanceKey includes the incarnation, so that a replacement doesn't wait for
// the lease of the process it replaces.
func (r *Runtime) instanceKey() string {
	self := r.opts.Core.Self
	return instancePrefix + string(self.Instance) + "/" + string(self.Incarnation)
}

// runSession keeps this instance registered on the platform.
func (r *Runtime) runSession() {
	retry := newBackoff()
	for r.ctx.Err() == nil {
		if err := r.holdSession(&retry); err != nil {
			r.platformError("session", err)
		}
		retry.Sleep(r.ctx)
	}
	r.destroySession()
}

// newBackoff returns the backoff between failed calls.
func newBackoff() wait.Backoff {
	return wait.Backoff{Min: minRetryDelay, Max: maxRetryDelay, Jitter: delayJitter}
}

// holdSession registers the instance and renews its session until it is lost.
func (r *Runtime) holdSession(retry *wait.Backoff) error {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	id, err := r.opts.Platform.CreateSession(ctx, string(r.opts.Core.Self.Instance), sessionTTL)
	if err != nil {
		return err
	}
	r.session.mu.Lock()
	r.session.id = id
	r.session.mu.Unlock()
	if err := r.register(ctx); err != nil {
		_ = r.opts.Platform.DestroySession(ctx, id)
		return err
	}
	retry.Reset()
	for {
		r.sleep(renewInterval)
		if r.ctx.Err() != nil {
			return nil
		}
		if err := r.renewSession(id); platform.KindOf(err) == platform.KindNoSession {
			return err
		}
	}
}

func (r *Runtime) register(ctx context.Context) error {
	value, err := json.Marshal(r.instanceInfo())
	if err != nil {
		return err
	}
	r.session.mu.Lock()
	id := r.session.id
	r.session.mu.Unlock()
	return r.opts.Platform.Acquire(ctx, r.instanceKey(), value, id)
}

func (r *Runtime) renewSession(id platform.SessionID) error {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	err := r.opts.Platform.RenewSession(ctx, id)
	if err != nil {
		r.platformError("renew", err)
	}
	return err
}

func (r *Runtime) destroySession() {
	r.session.mu.Lock()
	id := r.session.id
	r.session.mu.Unlock()
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), destroyTimeout)
	defer cancel()
	if err := r.opts.Platform.DestroySession(ctx, id); err != nil {
		r.platformError("end session", err)
	}
}

func (r *Runtime) sleep(d time.Duration) { wait.Sleep(r.ctx, d) }

// watchCluster watches the list of instances and the views of all domains.
func (r *Runtime) watchCluster() {
	var index uint64
	retry := newBackoff()
	for r.ctx.Err() == nil {
		l, err := r.opts.Platform.List(r.ctx, clusterPrefix, index, watchTimeout)
		if err != nil {
			r.platformError("watch", err)
			r.Post(core.WatchFailed{})
			index = 0
			retry.Sleep(r.ctx)
			continue
		}
		retry.Reset()
		if l.Index != index {
			r.postListing(l)
			r.sleep(wait.Jitter(minWatchInterval, delayJitter))
		}
		index = l.Index
	}
}

func (r *Runtime) postListing(l platform.Listing) {
	var instances []core.InstanceInfo
	for _, e := range l.Entries {
		name, isInstance := strings.CutPrefix(e.Key, instancePrefix)
		if isInstance {
			var i core.InstanceInfo
			if r.decode(name, e.Value, &i) {
				instances = append(instances, i)
			}
			continue
		}
		if domain, ok := strings.CutPrefix(e.Key, viewsPrefix); ok {
			r.postViews(model.Domain(domain), e, 0)
		}
	}
	r.Post(core.Instances{List: instances})
}

func (r *Runtime) decode(name string, value []byte, v any) bool {
	if err := json.Unmarshal(value, v); err != nil {
		r.platformError("decode "+name, err)
		return false
	}
	return true
}

func (r *Runtime) postViews(d model.Domain, e platform.Entry, readAt model.Time) {
	var doc core.ViewsDoc
	if e.Exists() && !r.decode(e.Key, e.Value, &doc) {
		return
	}
	r.Post(core.Views{Domain: d, Index: e.Index, Doc: doc, ReadAt: readAt})
}

func (r *Runtime) viewsKey() string { return viewsPrefix + string(r.opts.Core.Domain) }

// readViews reads the home domain's views and posts the result.
func (r *Runtime) readViews(startedAt model.Time) {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	e, err := r.opts.Platform.Get(ctx, r.viewsKey())
	if err != nil {
		r.platformError("read views", err)
		r.sleep(wait.Jitter(minRetryDelay, delayJitter))
		r.Post(core.ViewsReadFailed{})
		return
	}
	r.postViews(r.opts.Core.Domain, e, startedAt)
}

func (r *Runtime) writeViews(w core.WriteViews) {
	value, err := json.Marshal(w.Doc)
	if err != nil {
		r.Post(core.ViewsWritten{Outcome: core.WriteFailed})
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	index, err := r.opts.Platform.CAS(ctx, r.viewsKey(), value, w.Index)
	if err != nil {
		r.platformError("write views", err)
	}
	r.Post(core.ViewsWritten{Outcome: writeOutcome(index, err), Index: index, Doc: w.Doc})
}

func writeOutcome(index uint64, err error) core.WriteOutcome {
	switch {
	case err == nil && index != 0:
		return core.WriteApplied
	case err == nil:
		return core.WriteConflict // the following read returns the index
	}
	switch platform.KindOf(err) {
	case platform.KindConflict:
		return core.WriteConflict
	case platform.KindRateLimited, platform.KindUnavailable:
		return core.WriteFailed
	}
	return core.WriteUnknown
}

// watchServers watches the platform's list of backend servers, which lags.
func (r *Runtime) watchServers() {
	var index uint64
	retry := newBackoff()
	for r.ctx.Err() == nil {
		l, err := r.opts.Platform.Services(r.ctx, r.opts.BackendService, index, watchTimeout)
		if err != nil {
			r.platformError("watch services", err)
			retry.Sleep(r.ctx)
			continue
		}
		retry.Reset()
		if l.Index != index {
			r.setServers(l.Instances)
		}
		index = l.Index
	}
}

func (r *Runtime) setServers(list []platform.ServiceInstance) {
	servers := make([]sched.Server, 0, len(list))
	for _, i := range list {
		servers = append(servers, serverOf(i))
	}
	r.opts.Backends.SetServers(servers)
	r.opts.Observer.Servers(servers)
	r.Post(core.Servers{List: servers})
}

func serverOf(i platform.ServiceInstance) sched.Server {
	s := sched.Server{
		ID:        model.ServerID(i.ID),
		Domain:    i.Domain,
		Addr:      i.Addr.String(),
		Slots:     i.Slots,
		Resources: i.Capacity,
	}
	if i.State == platform.StateLeaving {
		s.State = sched.ServerLeaving
	}
	return s
}

// HandOver registers the instance as leaving and hands over its shards. It waits
// until that is done, for at most handoverTimeout, even if no other instance of
// its domain is known yet. It reports whether the instance owns no shards now.
func (r *Runtime) HandOver(ctx context.Context) bool {
	r.session.mu.Lock()
	r.session.leaving = true
	r.session.mu.Unlock()
	if err := r.register(ctx); err != nil {
		r.platformError("announce leaving", err)
	}
	// Nothing counts as done before the reducer has stored its own counts.
	r.openJobs.Store(1)
	r.pendingHandovers.Store(1)
	r.ownedShards.Store(1)
	r.stopping.Store(true)
	r.Post(core.Stop{})
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	r.pollUntil(ctx, func() bool { return r.pendingHandovers.Load() == 0 })
	return r.ownedShards.Load() == 0
}

// handoverTimeout is how long a stopping instance tries to hand over its shards.
const handoverTimeout = 5 * time.Second

// WaitIdle waits until no job is open and no task is in flight, or ctx is done.
func (r *Runtime) WaitIdle(ctx context.Context) {
	r.pollUntil(ctx, func() bool { return r.openJobs.Load() == 0 && r.inFlight.Load() == 0 })
}

func (r *Runtime) pollUntil(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		r.sleep(drainPollInterval)
	}
}

// drainPollInterval is how often a stopping instance checks whether it is done.
const drainPollInterval = 20 * time.Millisecond

// platformError reports a failed call, unless the instance is closing.
func (r *Runtime) platformError(op string, err error) {
	if r.ctx.Err() == nil {
		r.opts.Observer.PlatformError(op, err)
	}
}
