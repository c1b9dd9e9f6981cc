// Package core is the reducer of an entry instance: one function over all
// events, with effects as data. It has no clock, goroutine or socket; the
// runtime package turns I/O into events and effects into I/O.
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
	ShardsPerDomain int    // shards of each home domain
	Replicate       bool   // keep a replica of each shard
	SilenceBound    time.Duration
	Seed            uint64
	Shard           shard.Options
	Policy          *policy.Policy
}

// Reducer is the state of one entry instance.
type Reducer struct {
	opts  Options
	out   Effects
	peers *peers
	sched *sched.Scheduler
	env   *shard.Env
	own   []*shard.Shard                // shards of the home domain
	views map[model.Domain][]shard.View // views of all domains
	relay relay
	plan  planner
	route router

	instances []InstanceInfo
	listed    bool           // the platform has listed the instances
	counted   int            // instances that the runtime was told of last
	servers   []sched.Server // as the platform lists them
	held      []sched.Start  // starts that wait for the end of a suspension
	lastTick  model.Time
	lastSlow  model.Time
	broken    []model.ServerID // backend servers in quarantine, when last looked
	checking  map[model.ServerID]bool
	leaving   map[shard.Member]bool // instances that have said that they stop
	stopping  bool
}

// slowInterval is the time between calls of what need not happen often.
const slowInterval = time.Second

// New returns a reducer that knows nobody yet.
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
		env:      shard.NewEnv(o.Self, o.Shard),
		views:    make(map[model.Domain][]shard.View),
		leaving:  make(map[shard.Member]bool),
		checking: make(map[model.ServerID]bool),
		relay:    newRelay(),
		route:    newRouter(o.Self),
	}
	r.env.Scheduler = r.sched
	r.env.DefaultDeadline = o.Policy.Deadline
	r.env.Peers = r.peers
	for i := range o.ShardsPerDomain {
		r.own = append(r.own, shard.New(r.env, shard.ID{Domain: o.Domain, Index: uint32(i)}))
	}
	// Nothing is admitted before the views have been read.
	r.env.Suspended = true
	return r
}

// Step takes one event. What has to be done is returned by Ready, which may
// be called after several steps.
func (r *Reducer) Step(now model.Time, e Event) {
	r.watchGap(now)
	r.peers.now = now
	switch e := e.(type) {
	case Tick:
		r.tick(now)
	case CallerRequest:
		r.callerRequest(now, e)
	case CallerDisconnected:
		r.callerGone(e.ID)
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
		if m, ok := r.peers.unanswered(e, r.plan.suspendedAt); ok {
			r.note(Notification{Kind: NotifyPeerSilent, Member: m})
		}
		r.peersChanged(now)
	case Seeds:
		for _, a := range e.Addrs {
			r.peers.dialAddr(InstanceInfo{Addr: a})
		}
	case Instances:
		r.setInstances(now, e.List)
	case Views:
		r.setViews(now, e)
	case ViewsWritten:
		r.viewsWritten(now, e)
	case WatchFailed:
		r.relay.blind = true
	case ViewsReadFailed:
		r.plan.reading = false
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
	r.settle(now)
}

func (r *Reducer) tick(now model.Time) {
	r.lastTick = now
	r.sched.Tick(now)
	for _, s := range r.own {
		s.Tick(now)
	}
	r.routeTick(now)
	r.replan(now)
	if now.Sub(r.lastSlow) < slowInterval {
		return
	}
	r.lastSlow = now
	r.noteQuarantine()
	r.checkServers(now)
	r.askNextPeer()
	for _, s := range r.own {
		s.TickSlow(now)
	}
}

// settle passes between scheduler, shards and router until nothing is left.
func (r *Reducer) settle(now model.Time) {
	for {
		busy := r.settleSched(now)
		r.env.Flush(now)
		if !r.settleShards(now) && !busy {
			return
		}
	}
}

func (r *Reducer) settleSched(now model.Time) bool {
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

func (r *Reducer) settleShards(now model.Time) bool {
	out := r.env.TakeEffects()
	for _, s := range out.Sends {
		r.send(s.To, s.Message)
	}
	r.out.Starts = append(r.out.Starts, out.Starts...)
	for _, n := range out.Notifications {
		r.note(noteOf(n))
	}
	for _, rep := range out.Replies {
		r.replyTo(now, rep)
	}
	return len(out.Sends)+len(out.Starts)+len(out.Replies) > 0
}

func (r *Reducer) send(to model.Instance, m *peerpb.Message) {
	r.out.Sends = append(r.out.Sends, Send{To: to, Message: m})
}

func noteOf(n shard.Notification) Notification {
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

func (r *Reducer) note(n Notification) { r.out.Notifications = append(r.out.Notifications, n) }

// Ready returns and clears the effects.
func (r *Reducer) Ready() Effects {
	r.countInstances()
	if r.peers.changed {
		r.peers.changed = false
		r.out.Dial = r.peers.dial()
	}
	out := r.out
	r.out = Effects{}
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
	if model.Domain(domain) != r.opts.Domain || int(index) >= len(r.own) {
		return nil
	}
	return r.own[index]
}

// Routable reports whether every shard of the home domain has an owner that
// this instance can reach. An instance that owns none can route also while it
// may not serve itself.
func (r *Reducer) Routable() bool {
	for i := range r.own {
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

// Explain says where a job stands at this instance.
func (r *Reducer) Explain(now model.Time, id *peerpb.Identity) string {
	sid := r.ShardOf(id)
	owner, ok := r.owner(sid)
	if !ok {
		return "The job's shard has no owner that is known here."
	}
	if owner != r.opts.Self {
		return "The job's shard is owned by instance " + string(owner.Instance) + "; ask there."
	}
	text, handles := r.own[sid.Index].Explain(id)
	for _, h := range handles {
		text += "\n" + explainQueue(r.sched.Explain(now, h))
	}
	return text
}
