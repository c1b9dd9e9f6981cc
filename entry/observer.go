package entry

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/backend"
	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// observer turns what the runtime reports into metrics and log events.
type observer struct {
	log     *eventlog.Log
	metrics *metrics.Metrics

	mu            sync.RWMutex
	serverDomains map[model.ServerID]string
	servers       []sched.Server
	quarantined   map[model.ServerID]bool
	linkedPeers   map[model.Instance]bool
	platformDown  atomic.Bool // the last platform call failed

	// Set before the first event.
	onPeers func([]sched.Peer)
	trail   *audit.Trail
}

func newObserver(l *eventlog.Log, m *metrics.Metrics) *observer {
	return &observer{
		log:           l,
		metrics:       m,
		serverDomains: make(map[model.ServerID]string),
		quarantined:   make(map[model.ServerID]bool),
		linkedPeers:   make(map[model.Instance]bool),
	}
}

// Step implements runtime.Observer.
func (o *observer) Step(d time.Duration, events int) {
	o.metrics.StepDuration.Observe(d.Seconds() / float64(events))
}

// Notify implements runtime.Observer.
func (o *observer) Notify(n core.Notification) {
	o.logNotification(n)
	switch n.Kind {
	case core.NotifyTakeover:
		o.metrics.Takeovers.WithLabelValues("kept").Inc()
	case core.NotifyFloorRaised:
		o.metrics.Takeovers.WithLabelValues("lost").Inc()
		o.metrics.FloorsRaised.Inc()
	case core.NotifyViewChanged:
		o.metrics.ViewChanges.WithLabelValues("platform").Inc()
		o.audit(audit.Record{
			Action: audit.ActionView,
			Domain: n.Domain,
			Row:    "shard " + strconv.Itoa(int(n.Shard)),
			Note:   "epoch " + strconv.FormatUint(n.Epoch, 10) + ", owner " + string(n.Member.Instance),
		})
	case core.NotifyQuarantined:
		o.setQuarantine(n.Server, true)
		o.audit(audit.Record{Action: audit.ActionQuarantine, Row: string(n.Server)})
	case core.NotifyRestored:
		o.setQuarantine(n.Server, false)
		o.audit(audit.Record{Action: audit.ActionRestore, Row: string(n.Server)})
	}
}

func (o *observer) logNotification(n core.Notification) {
	e := o.log.Event(logEventFor(n.Kind))
	if n.Server != "" {
		e.Str("server", string(n.Server)).Send()
		return
	}
	e.Str("shard_domain", string(n.Domain)).
		Uint32("shard", n.Shard).
		Uint64("epoch", n.Epoch).
		Str("member", string(n.Member.Instance)).
		Send()
}

func (o *observer) setQuarantine(id model.ServerID, quarantined bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if quarantined {
		o.quarantined[id] = true
		return
	}
	delete(o.quarantined, id)
}

func logEventFor(k core.NotificationKind) eventlog.Event {
	switch k {
	case core.NotifySuspended:
		return eventlog.PauseDetected
	case core.NotifyResumed:
		return eventlog.AdmissionResumed
	case core.NotifyTakeover:
		return eventlog.ShardTakenOver
	case core.NotifyFloorRaised:
		return eventlog.FloorRaised
	case core.NotifyPeerSilent:
		return eventlog.PeerSilent
	case core.NotifyQuarantined:
		return eventlog.ServerQuarantined
	case core.NotifyRestored:
		return eventlog.ServerRestored
	}
	return eventlog.ViewChanged
}

// audit publishes a record to the trail. The reducer's goroutine doesn't wait for
// subscribers.
func (o *observer) audit(r audit.Record) {
	r.AtUnixMs = time.Now().UnixMilli()
	go func() { _ = o.trail.Publish(r) }()
}

// Peers implements runtime.Observer.
func (o *observer) Peers(list []sched.Peer) {
	current := make(map[model.Instance]bool, len(list))
	for _, p := range list {
		current[p.ID] = true
		if !o.linkedPeers[p.ID] {
			o.log.Event(eventlog.PeerLinked).Str("peer", string(p.ID)).Send()
		}
	}
	for id := range o.linkedPeers {
		if !current[id] {
			o.log.Event(eventlog.PeerLost).Str("peer", string(id)).Send()
		}
	}
	o.linkedPeers = current
	o.onPeers(list)
}

// serverList returns the platform's list of backend servers.
func (o *observer) serverList() []operator.Server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	list := make([]operator.Server, len(o.servers))
	for n, s := range o.servers {
		list[n] = operator.Server{
			ID:     s.ID,
			Domain: s.Domain,
			Addr:   s.Addr,
			Slots:  s.Slots,
			Listed: serverState(s.State),

			Quarantined: o.quarantined[s.ID],
		}
	}
	return list
}

func serverState(s sched.ServerState) string {
	if s == sched.ServerLeaving {
		return "leaving"
	}
	return "active"
}

// PlatformError implements runtime.Observer. Only the first failure in a row
// is logged.
func (o *observer) PlatformError(op string, err error) {
	o.metrics.PlatformUp.Set(0)
	if !o.platformDown.Swap(true) {
		o.log.Event(eventlog.PlatformLost).Str("call", op).Err(err).Send()
	}
}

// Count implements platform.Counter.
func (o *observer) Count(c platform.Call) {
	o.metrics.Count(c)
	if c.Kind == platform.KindNone && o.platformDown.Swap(false) {
		o.log.Event(eventlog.PlatformBack).Send()
	}
}

// Servers implements runtime.Observer.
func (o *observer) Servers(list []sched.Server) {
	o.metrics.SetServers(list)
	domains := make(map[model.ServerID]string, len(list))
	for _, s := range list {
		domains[s.ID] = string(s.Domain)
	}
	o.mu.Lock()
	before := o.servers
	o.serverDomains = domains
	o.servers = list
	o.mu.Unlock()
	o.logServers(before, list)
}

// logServers logs changes of the list.
func (o *observer) logServers(before, after []sched.Server) {
	states := make(map[model.ServerID]sched.ServerState, len(before))
	for _, s := range before {
		states[s.ID] = s.State
	}
	for _, s := range after {
		state, known := states[s.ID]
		delete(states, s.ID)
		switch {
		case !known:
			o.log.Event(eventlog.ServerAdded).Str("server", string(s.ID)).Send()
		case state != s.State && s.State == sched.ServerLeaving:
			o.log.Event(eventlog.ServerLeaving).Str("server", string(s.ID)).Send()
		}
	}
	for id := range states {
		o.log.Event(eventlog.ServerGone).Str("server", string(id)).Send()
	}
}

// TaskDone implements runtime.Observer.
func (o *observer) TaskDone(server model.ServerID, kind model.Kind, res backend.Result) {
	o.metrics.TaskDuration.WithLabelValues(o.metrics.Kinds.Value(string(kind))).Observe(res.Duration.Seconds())
	o.mu.RLock()
	domain := o.serverDomains[server]
	o.mu.RUnlock()
	o.metrics.Starts.WithLabelValues(domain, outcomeName(res.Outcome)).Inc()
	if res.Outcome == sched.OutcomeLost {
		o.log.Event(eventlog.StartLost).Str("server", string(server)).Str("detail", res.Error).Send()
	}
}

func outcomeName(out sched.Outcome) string {
	switch out {
	case sched.OutcomeOK:
		return "ok"
	case sched.OutcomeFailed:
		return "failed"
	case sched.OutcomeNotStarted:
		return "not-started"
	case sched.OutcomeUnreachable:
		return "unreachable"
	}
	return "lost"
}

// FrameSent implements peer.Stats.
func (o *observer) FrameSent(f *peerpb.Frame, bytes int) {
	o.countFrame(metrics.DirectionOut, f, bytes)
}

// FrameReceived implements peer.Stats.
func (o *observer) FrameReceived(f *peerpb.Frame, bytes int) {
	o.countFrame(metrics.DirectionIn, f, bytes)
}

func (o *observer) countFrame(direction string, f *peerpb.Frame, bytes int) {
	o.metrics.PeerFrames.WithLabelValues(direction).Inc()
	o.metrics.PeerBytes.WithLabelValues(direction).Add(float64(bytes))
	for _, m := range f.Messages {
		o.metrics.PeerMessages.WithLabelValues(direction, messageType(m)).Inc()
	}
}

func messageType(m *peerpb.Message) string {
	switch m.Body.(type) {
	case *peerpb.Message_Submit, *peerpb.Message_Lookup, *peerpb.Message_Cancel:
		return "request"
	case *peerpb.Message_Answer:
		return "answer"
	case *peerpb.Message_Append:
		return "append"
	case *peerpb.Message_AppendAck:
		return "append-ack"
	case *peerpb.Message_Sched:
		return "sched"
	case *peerpb.Message_Table:
		return "table"
	}
	return "view"
}
