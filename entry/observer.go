package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/backend"
	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// observer turns what the runtime reports into metrics and log events.
type observer struct {
	log     *eventlog.Log
	metrics *metrics.Metrics

	mu      sync.RWMutex
	domains map[model.ServerID]string
	servers []sched.Server

	// Set before the first event.
	peers func([]sched.Peer)
	trail *audit.Trail
}

func newObserver(l *eventlog.Log, m *metrics.Metrics) *observer {
	return &observer{log: l, metrics: m, domains: make(map[model.ServerID]string)}
}

// Step implements runtime.Observer.
func (o *observer) Step(d time.Duration, events int) {
	o.metrics.StepDuration.Observe(d.Seconds() / float64(events))
}

// Note implements runtime.Observer.
func (o *observer) Note(n core.Note) {
	o.log.Event(eventOf(n.Kind)).
		Str("shard_domain", string(n.Domain)).
		Uint32("shard", n.Shard).
		Uint64("epoch", n.Epoch).
		Str("member", string(n.Member.Instance)).
		Send()
	switch n.Kind {
	case core.NoteTakeover:
		o.metrics.Takeovers.WithLabelValues("kept").Inc()
	case core.NoteFloor:
		o.metrics.Takeovers.WithLabelValues("lost").Inc()
		o.metrics.FloorsRaised.Inc()
	case core.NoteViewChanged:
		o.metrics.ViewChanges.WithLabelValues("platform").Inc()
		o.audit(audit.Record{
			Action: audit.ActionView,
			Domain: n.Domain,
			Row:    "shard " + strconv.Itoa(int(n.Shard)),
			Note:   "epoch " + strconv.FormatUint(n.Epoch, 10) + ", owner " + string(n.Member.Instance),
		})
	}
}

// audit adds a record to the trail. The reducer's goroutine does not wait for
// the subscribers.
func (o *observer) audit(r audit.Record) {
	r.AtUnixMs = time.Now().UnixMilli()
	go func() { _ = o.trail.Publish(r) }()
}

// Peers implements runtime.Observer.
func (o *observer) Peers(list []sched.Peer) {
	o.metrics.PeerLinks.Set(float64(len(list)))
	o.peers(list)
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
			Listed: listed(s.State),
		}
	}
	return list
}

func listed(s sched.ServerState) string {
	if s == sched.ServerLeaving {
		return "leaving"
	}
	return "active"
}

func eventOf(k core.NoteKind) eventlog.Event {
	switch k {
	case core.NoteSuspended:
		return eventlog.PauseDetected
	case core.NoteResumed:
		return eventlog.AdmissionResumed
	case core.NoteTakeover:
		return eventlog.ShardTakenOver
	case core.NoteFloor:
		return eventlog.FloorRaised
	case core.NoteDead:
		return eventlog.PeerDead
	case core.NoteSilent:
		return eventlog.PeerSilent
	}
	return eventlog.ViewChanged
}

// PlatformError implements runtime.Observer.
func (o *observer) PlatformError(op string, err error) {
	o.log.Event(eventlog.PlatformLost).Str("call", op).Err(err).Send()
	o.metrics.PlatformUp.Set(0)
}

// Servers implements runtime.Observer.
func (o *observer) Servers(list []sched.Server) {
	o.metrics.SetServers(list)
	domains := make(map[model.ServerID]string, len(list))
	for _, s := range list {
		domains[s.ID] = string(s.Domain)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.domains = domains
	o.servers = list
}

// TaskDone implements runtime.Observer.
func (o *observer) TaskDone(server model.ServerID, kind model.Kind, res backend.Result) {
	o.metrics.TaskDuration.WithLabelValues(o.metrics.Kinds.Value(string(kind))).Observe(res.Ran.Seconds())
	o.mu.RLock()
	domain := o.domains[server]
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
	o.count(metrics.DirectionOut, f, bytes)
}

// FrameReceived implements peer.Stats.
func (o *observer) FrameReceived(f *peerpb.Frame, bytes int) {
	o.count(metrics.DirectionIn, f, bytes)
}

func (o *observer) count(direction string, f *peerpb.Frame, bytes int) {
	o.metrics.PeerFrames.WithLabelValues(direction).Inc()
	o.metrics.PeerBytes.WithLabelValues(direction).Add(float64(bytes))
	for _, m := range f.Messages {
		o.metrics.PeerMessages.WithLabelValues(direction, typeOf(m)).Inc()
	}
}

func typeOf(m *peerpb.Message) string {
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
