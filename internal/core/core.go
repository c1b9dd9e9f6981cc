// Package core is the reducer of an entry instance: a single function over all
// events, with effects as data. It has no clock, goroutine or socket; package
// runtime turns I/O into events and effects into I/O.
package core

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/policy"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// Options are the settings of the reducer.
type Options struct {
	Self            shard.Member
	Domain          model.Domain
	Addr            string // own peer address, IP:port
	ShardsPerDomain int
	Replicate       bool // keep a replica of each shard
	SilenceBound    time.Duration
	Seed            uint64
	Shard           shard.Options
	Policy          *policy.Policy
}

// Reducer is the state of one entry instance.
type Reducer struct {
	opts    Options
	effects Effects
	peers   *peers
	sched   *sched.Scheduler
	env     *shard.Env
	shards  []*shard.Shard                // shards of the home domain
	views   map[model.Domain][]shard.View // views of the other domains
	relay   relay
	plan    planner
	route   router

	instances         []InstanceInfo
	listed            bool           // the platform has listed the instances
	lastInstanceCount int            // latest Effects.InstanceCount
	servers           []sched.Server // as listed by the platform
	heldStarts        []sched.Start  // bound starts, held until the suspension ends
	lastTick          model.Time
	lastSlowTick      model.Time
	lastQuarantined   []model.ServerID // backend servers in quarantine at the latest check
	healthChecking    map[model.ServerID]bool
	leaving           map[shard.Member]bool // instances that announced their shutdown
	stopping          bool
}

// slowInterval is the interval of timers that need not run at every tick.
const slowInterval = time.Second

// New returns a reducer without any peers or views.
func New(o Options) *Reducer {
	r := &Reducer{
		opts:  o,
		peers: newPeers(o.Self, o.Addr),
		sched: sched.New(sched.Options{
			Self:   o.Self.Instance,
			Domain: o.Domain,
			Seed:   o.Seed,
			Policy: o.Policy,
		}),
		env:            shard.NewEnv(o.Self, o.Shard),
		views:          make(map[model.Domain][]shard.View),
		leaving:        make(map[shard.Member]bool),
		healthChecking: make(map[model.ServerID]bool),
		relay:          newRelay(),
		route:          newRouter(o.Self),
	}
	r.env.Scheduler = r.sched
	r.env.DefaultDeadline = o.Policy.Deadline
	r.env.Peers = r.peers
	for i := range o.ShardsPerDomain {
		r.shards = append(r.shards, shard.New(r.env, shard.ID{Domain: o.Domain, Index: uint32(i)}))
	}
	// Admit nothing before the views have been read.
	r.env.Suspended = true
	return r
}

// Step handles one event. Ready returns the resulting effects, possibly of
// several steps.
func (r *Reducer) Step(now model.Time, e Event) {
	r.detectPause(now)
	r.peers.now = now
	switch e := e.(type) {
	case Tick:
		r.tick(now)
	case CallerRequest:
		r.callerRequest(now, e)
	case CallerDisconnected:
		r.callerDisconnected(e.ID)
	case PeerMessage:
		r.peerMessage(now, e.From, e.Message)
	case PeerHello:
		r.peers.learn(e.Info)
	case PeerUp:
		r.peerUp(now, e)
	case PeerDown:
		r.peerDown(now, e.Addr)
	case PeerRefused:
		r.peerRefused(now, e)
	case PeerTimeout:
		if m, ok := r.peers.handleTimeout(e, r.plan.suspendedAt); ok {
			r.notify(Notification{Kind: NotifyPeerSilent, Member: m})
		}
		r.peersChanged(now)
	case Seeds:
		for _, a := range e.Addrs {
			r.peers.ensureLink(InstanceInfo{Addr: a})
		}
	case Instances:
		r.setInstances(now, e.List)
	case Views:
		r.setViews(now, e)
	case ViewsWritten:
		r.viewsWritten(now, e)
	case WatchFailed:
		r.relay.platformDown = true
	case ViewsReadFailed:
		r.plan.readPending = false
	case Servers:
		r.servers = e.List
		r.applyServers(now)
	case ServerChecked:
		r.serverChecked(now, e)
	case Table:
		if r.opts.Policy.Set(e.Snapshot) {
			r.applyServers(now)
		}
	case TaskDone:
		r.env.HandleTaskDone(now, e.TaskDone)
	case Stop:
		r.stop(now)
	}
	r.drainEffects(now)
}

func (r *Reducer) tick(now model.Time) {
	r.lastTick = now
	r.sched.Tick(now)
	for _, s := range r.shards {
		s.Tick(now)
	}
	r.retryRequests(now)
	r.replan(now)
	if now.Sub(r.lastSlowTick) < slowInterval {
		return
	}
	r.lastSlowTick = now
	r.notifyQuarantine()
	r.requestHealthChecks(now)
	r.requestViewsFromNextPeer()
	for _, s := range r.shards {
		s.TickSlow(now)
	}
}

// drainEffects passes effects between scheduler, shards and router until none
// are left.
func (r *Reducer) drainEffects(now model.Time) {
	for {
		busy := r.drainScheduler(now)
		r.env.Flush(now)
		if !r.drainShards(now) && !busy {
			return
		}
	}
}

func (r *Reducer) drainScheduler(now model.Time) bool {
	out := r.sched.Ready()
	for _, st := range out.Starts {
		r.bind(now, st)
	}
	for _, d := range out.Drops {
		r.env.HandleDrop(now, d)
	}
	for _, s := range out.Messages {
		r.send(s.To, &peerpb.Message{Body: &peerpb.Message_Sched{Sched: s.Message}})
	}
	return len(out.Starts)+len(out.Drops)+len(out.Messages) > 0
}

func (r *Reducer) drainShards(now model.Time) bool {
	out := r.env.TakeEffects()
	for _, s := range out.Sends {
		r.send(s.To, s.Message)
	}
	r.effects.Starts = append(r.effects.Starts, out.Starts...)
	for _, n := range out.Notifications {
		r.notify(notificationOf(n))
	}
	for _, rep := range out.Replies {
		r.replyTo(now, rep)
	}
	return len(out.Sends)+len(out.Starts)+len(out.Replies) > 0
}

func (r *Reducer) send(to model.Instance, m *peerpb.Message) {
	r.effects.Sends = append(r.effects.Sends, Send{To: to, Message: m})
}

func notificationOf(n shard.Notification) Notification {
	kind := NotifyTakeover
	if n.Kind == shard.NotifyFloorRaised {
		kind = NotifyFloorRaised
	}
	return Notification{
		Kind:   kind,
		Domain: n.ID.Domain,
		Shard:  n.ID.Index,
		Epoch:  n.View.Epoch,
		Member: n.View.Owner(),
	}
}

func (r *Reducer) notify(n Notification) {
	r.effects.Notifications = append(r.effects.Notifications, n)
}

// Ready returns and clears the effects.
func (r *Reducer) Ready() Effects {
	r.countInstances()
	if r.peers.dialChanged {
		r.peers.dialChanged = false
		r.effects.Dial = r.peers.dialList()
	}
	out := r.effects
	r.effects = Effects{}
	return out
}

// ShardOf returns the shard of an identity.
func (r *Reducer) ShardOf(id *peerpb.Identity) shard.ID {
	return shard.ID{
		Domain: model.Domain(id.GetHome()),
		Index:  uint32(shard.IdentityHash(id) % uint64(r.opts.ShardsPerDomain)),
	}
}

func (r *Reducer) shard(domain string, index uint32) *shard.Shard {
	if model.Domain(domain) != r.opts.Domain || int(index) >= len(r.shards) {
		return nil
	}
	return r.shards[index]
}

// Routable reports whether every shard of the home domain has an owner that
// this instance can reach. An instance that owns no shard can route even while
// suspended.
func (r *Reducer) Routable() bool {
	for i := range r.shards {
		to, ok := r.owner(shard.ID{Domain: r.opts.Domain, Index: uint32(i)})
		if !ok || !r.reachable(to) {
			return false
		}
	}
	return true
}

func (r *Reducer) reachable(owner shard.Member) bool {
	if owner == r.opts.Self {
		return !r.env.Suspended
	}
	return r.peers.connected(owner)
}

// Explain describes the state of a job at this instance.
func (r *Reducer) Explain(now model.Time, id *peerpb.Identity) string {
	sid := r.ShardOf(id)
	owner, ok := r.owner(sid)
	if !ok {
		return "The job's shard has no owner that is known here."
	}
	if owner != r.opts.Self {
		return "The job's shard is owned by instance " + string(owner.Instance) + "; ask there."
	}
	text, handles := r.shards[sid.Index].Explain(id)
	for _, h := range handles {
		text += "\n" + formatExplanation(r.sched.Explain(now, h))
	}
	return text
}
