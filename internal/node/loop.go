package node

import (
	"context"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/platform"
)

// graceMargin is left of the platform's grace for last answers.
const graceMargin = 500 * time.Millisecond

// loop feeds the reducer, one event after the other.
type loop struct {
	node    *Node
	ctx     context.Context // of the calls
	reducer *fleet.Instance
	stopBy  fleet.Time
	isReady bool
}

func newLoop(n *Node, ctx context.Context) *loop {
	return &loop{node: n, ctx: ctx, reducer: fleet.NewInstance(fleet.Options{
		Self: n.self, Lease: n.settings.Bounds.MaxLease, StopTimeout: n.settings.Bounds.StopTimeout, SharedWatchMinServers: n.sharedListFrom,
	}, bootTime())}
}

// run steps until ctx has ended and the work in flight is done.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(l.reducer.TickInterval())
	defer ticker.Stop()
	stopping := ctx.Done()
	for !l.finished() {
		select {
		case e := <-l.node.events:
			l.step(e)
		case <-ticker.C:
			l.step(fleet.Tick{})
			l.updateReady()
		case <-stopping:
			stopping = nil
			l.stop()
		}
	}
}

func (l *loop) stop() {
	n := l.node
	n.ready.set(false)
	n.log.Event(eventlog.InstanceStopping).Int("calls", n.callers.waiting()).Send()
	l.stopBy = bootTime().Add(n.settings.Bounds.GracePeriod - graceMargin)
	n.callers.stopBy(l.stopBy)
	l.step(fleet.StopRequested{Deadline: l.stopBy})
}

// finished reports whether the process may end: connections may still come for
// a while after the platform was told that the instance is not ready.
func (l *loop) finished() bool {
	if l.stopBy == 0 {
		return false
	}
	now := bootTime()
	if now >= l.stopBy {
		l.step(fleet.Tick{}) // answers what is left
		l.node.log.Event(eventlog.InstanceStopForced).Int("calls", l.node.callers.waiting()).Send()
		return true
	}
	quietFrom := l.stopBy.Add(graceMargin - l.node.settings.Bounds.GracePeriod + stillRouted)
	return now >= quietFrom && l.reducer.Idle() && l.node.callers.quiet(now)
}

// stillRouted is how long new connections come after an instance is no longer
// ready: two checks a second apart.
const stillRouted = 2300 * time.Millisecond

func (l *loop) updateReady() {
	now := bootTime()
	ready := l.node.config.get() != nil && l.reducer.Ready(now) && l.stopBy == 0
	if ready && !l.isReady {
		l.node.log.Event(eventlog.InstanceReady).Send()
	}
	l.isReady = ready
	l.node.ready.set(ready)
}

// step hands one event to the reducer and carries out what follows.
func (l *loop) step(e fleet.Event) {
	for _, x := range l.reducer.Step(bootTime(), e) {
		l.carryOut(x)
	}
}

func (l *loop) carryOut(x fleet.Effect) {
	n := l.node
	switch x := x.(type) {
	case fleet.StartRun:
		n.spawn(func() { l.startRun(x) })
	case fleet.StopRun:
		n.spawn(func() { l.stopRun(x) })
	case fleet.Poll:
		n.spawn(func() { l.look(x) })
	case fleet.Claim:
		n.spawn(func() { n.store.claim(l.ctx, x) })
	case fleet.SaveJob:
		n.jobs.save(x.Record)
	case fleet.JobEnded:
		n.jobs.learn(x.ID, x.State)
	case fleet.ScanJobs:
		n.spawn(func() { n.jobs.scan(l.ctx) })
	case fleet.WatchStore:
		n.log.Event(eventlog.StoreFollowed).Bool("on", x.Enabled).Int("servers", x.Servers).Send()
		n.store.followShared(l.ctx, x.Enabled)
	case fleet.ListServers:
		n.spawn(func() { n.store.servers.list(l.ctx) })
	case fleet.SendPeer:
		n.mesh.Send(x.To.Instance, x.Message)
	case fleet.SendConfig:
		n.sendConfig(x.To)
	case fleet.Connect:
		n.mesh.Connect(l.ctx, x.Peer)
	case fleet.Disconnect:
		n.mesh.Disconnect(x.Peer.Instance)
	case fleet.Reconnect:
		n.mesh.Reconnect(x.Peer.Instance)
	case fleet.Answer:
		n.callers.answer(x)
	case fleet.LogEntry:
		n.notes.write(x)
	}
}

func (l *loop) startRun(o fleet.StartRun) {
	sent := bootTime()
	ctx, cancel := context.WithTimeout(l.ctx, platform.CommandTimeout)
	defer cancel()
	outcome, clock, err := l.node.servers.Start(ctx, o)
	l.node.notes.callFailed("start", o.Server, err)
	l.node.metrics.CountStart(outcome.String(), bootTime().Sub(sent))
	l.node.post(fleet.StartReply{Server: o.Server, Run: o.Run, Outcome: outcome, ClockMs: clock, SentAt: sent})
}

func (l *loop) stopRun(o fleet.StopRun) {
	sent := bootTime()
	ctx, cancel := context.WithTimeout(l.ctx, platform.CommandTimeout)
	defer cancel()
	ok, fenced, err := l.node.servers.Stop(ctx, o)
	l.node.notes.callFailed("stop", o.Server, err)
	l.node.post(fleet.StopReply{Server: o.Server, Run: o.Run, OK: ok, Fenced: fenced, SentAt: sent})
}

func (l *loop) look(o fleet.Poll) {
	sent := bootTime()
	ctx, cancel := context.WithTimeout(l.ctx, platform.PollTimeout+o.Wait)
	defer cancel()
	e, err := l.node.servers.Poll(ctx, o)
	l.node.notes.callFailed("look", o.Server, err)
	e.SentAt, e.Poll = sent, o
	l.node.post(e)
}
