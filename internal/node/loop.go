package node

import (
	"context"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/platform"
)

// jobMemoryShare is the part of the machine's memory, as a divisor, that durable jobs may
// take, and again other jobs.
const jobMemoryShare = 16

// finalResponseMargin is reserved for final responses in the grace period.
const finalResponseMargin = 500 * time.Millisecond

// loop feeds events to the reducer one at a time.
type loop struct {
	node         *Node
	ctx          context.Context // for outgoing calls
	reducer      *fleet.Instance
	stopDeadline fleet.Time
	isReady      bool

	overdue   *time.Timer // fires when the reply to a command may be overdue
	overdueAt fleet.Time  // when it fires, 0 if it is not set
}

func newLoop(n *Node, ctx context.Context) *loop {
	overdue := time.NewTimer(time.Hour)
	overdue.Stop()
	return &loop{node: n, ctx: ctx, overdue: overdue, reducer: fleet.NewInstance(fleet.Options{
		Self: n.self, Lease: n.settings.Bounds.MaxLease, StopTimeout: n.settings.Bounds.StopTimeout, SharedWatchMinServers: n.sharedWatchMinServers,
		FarFactor: n.settings.Bounds.FarFactor, MaxJobMemory: int64(n.settings.MemoryMB) << 20 / jobMemoryShare,
	}, bootTime())}
}

// run processes events until ctx ends and in-flight work is done.
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
			l.probeInput()
			l.updateReady()
			l.node.metrics.Evacuated.Set(float64(l.reducer.EvacuatedDomains()))
			l.node.resumption.log(l.node.log, false, bootTime())
		case <-l.overdue.C:
			l.overdueAt = 0
			l.step(fleet.RepliesOverdue{})
		case <-stopping:
			stopping = nil
			l.stop()
		}
	}
}

// probeInput sends the next byte of the probe. A probe that fails lets the leases of the
// instance's own calls expire.
func (l *loop) probeInput() {
	if err := l.node.input.send(bootTime()); err != nil {
		l.node.limitedLog.callFailed("probe input", "", err)
	}
}

func (l *loop) stop() {
	n := l.node
	n.ready.set(false)
	n.resumption.log(n.log, true, bootTime())
	n.log.Event(eventlog.InstanceStopping).Int("calls", n.callers.waitingCalls()).Send()
	l.stopDeadline = bootTime().Add(n.settings.Bounds.GracePeriod - finalResponseMargin)
	n.callers.setStopDeadline(l.stopDeadline)
	l.step(fleet.StopRequested{Deadline: l.stopDeadline})
}

// finished reports whether the process may exit. New connections may arrive for
// a while after the instance has become unready.
func (l *loop) finished() bool {
	if l.stopDeadline == 0 {
		return false
	}
	now := bootTime()
	if now >= l.stopDeadline {
		l.step(fleet.Tick{}) // answers remaining calls
		l.node.log.Event(eventlog.InstanceStopForced).Int("calls", l.node.callers.waitingCalls()).Send()
		return true
	}
	trafficEnd := l.stopDeadline.Add(finalResponseMargin - l.node.settings.Bounds.GracePeriod + trafficDrainTime)
	return now >= trafficEnd && l.reducer.Idle() && l.node.callers.isQuiet(now)
}

// trafficDrainTime is how long an unready instance still gets new connections:
// two readiness checks a second apart.
const trafficDrainTime = 2300 * time.Millisecond

func (l *loop) updateReady() {
	now := bootTime()
	ready := l.node.config.get() != nil && l.reducer.Ready(now) && l.stopDeadline == 0
	if ready && !l.isReady {
		l.node.log.Event(eventlog.InstanceReady).Send()
	}
	l.isReady = ready
	l.node.ready.set(ready)
}

// step passes an event to the reducer and executes the effects.
func (l *loop) step(e fleet.Event) {
	now := bootTime()
	effects := l.reducer.Step(now, e)
	l.node.resumption.observe(e, effects, now)
	for _, x := range effects {
		l.execute(x)
	}
	if !l.isReady {
		l.updateReady() // callers may wait for it; the next tick is up to 50 ms away
	}
	l.setOverdueTimer()
}

// setOverdueTimer sets the timer for the next overdue reply. A timer that is set to an
// earlier time stays: most replies arrive in time, and resetting it for each is
// expensive.
func (l *loop) setOverdueTimer() {
	at := l.reducer.NextOverdueAt()
	if at == 0 || l.overdueAt != 0 && l.overdueAt <= at {
		return
	}
	l.overdueAt = at
	l.overdue.Reset(max(0, at.Sub(bootTime())))
}

func (l *loop) execute(x fleet.Effect) {
	n := l.node
	switch x := x.(type) {
	case fleet.StartRun:
		n.spawn(func() { l.startRun(x) })
	case fleet.StopRun:
		n.spawn(func() { l.stopRun(x) })
	case fleet.Poll:
		n.spawn(func() { l.poll(x) })
	case fleet.Claim:
		n.spawn(func() { n.store.claim(l.ctx, x) })
	case fleet.SaveJob:
		n.jobs.save(x.Record)
	case fleet.JobEnded:
		n.jobs.cacheState(x.ID, x.State)
	case fleet.ScanJobs:
		n.spawn(func() { n.jobs.scan(l.ctx, x) })
	case fleet.WatchStore:
		n.log.Event(eventlog.StoreFollowed).Bool("on", x.Enabled).Int("servers", x.Servers).Send()
		n.store.watchShared(l.ctx, x.Enabled)
	case fleet.ListServers:
		n.store.serverLister.request(l.ctx)
	case fleet.SendPeer:
		n.mesh.Send(x.To, x.Message)
	case fleet.SendConfig:
		n.sendConfig(x.To)
	case fleet.Connect:
		n.mesh.Connect(l.ctx, x.Peer)
	case fleet.Disconnect:
		n.mesh.Disconnect(x.Peer.Instance)
	case fleet.Reconnect:
		n.mesh.Reconnect(x.Peer.Instance)
	case fleet.Answer:
		n.callers.deliver(x)
	case fleet.LogEntry:
		n.limitedLog.writeEntry(x)
	}
}

func (l *loop) startRun(cmd fleet.StartRun) {
	sent := bootTime()
	ctx, cancel := context.WithTimeout(l.ctx, platform.CommandTimeout)
	defer cancel()
	outcome, clock, err := l.node.servers.Start(ctx, cmd)
	l.node.limitedLog.callFailed("start", cmd.Server, err)
	l.node.metrics.CountStart(outcome.String(), bootTime().Sub(sent))
	l.node.post(fleet.StartReply{Server: cmd.Server, Run: cmd.Run, Outcome: outcome, ClockMs: clock, SentAt: sent})
}

func (l *loop) stopRun(cmd fleet.StopRun) {
	sent := bootTime()
	ctx, cancel := context.WithTimeout(l.ctx, platform.CommandTimeout)
	defer cancel()
	ok, fenced, err := l.node.servers.Stop(ctx, cmd)
	l.node.limitedLog.callFailed("stop", cmd.Server, err)
	l.node.post(fleet.StopReply{Server: cmd.Server, Run: cmd.Run, OK: ok, Fenced: fenced, SentAt: sent})
}

func (l *loop) poll(p fleet.Poll) {
	sent := bootTime()
	ctx, cancel := context.WithTimeout(l.ctx, platform.PollTimeout+p.Wait)
	defer cancel()
	e, err := l.node.servers.Poll(ctx, p)
	l.node.limitedLog.callFailed("look", p.Server, err)
	e.SentAt, e.Poll = sent, p
	l.node.post(e)
}
