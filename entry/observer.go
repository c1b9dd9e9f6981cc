package entry

import (
	"sync"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/backend"
	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// observer turns what the runtime reports into metrics and log events.
type observer struct {
	log     *eventlog.Log
	metrics *metrics.Metrics

	mu      sync.RWMutex
	domains map[model.ServerID]string
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
	if n.Kind == core.NoteViewChanged {
		o.metrics.ViewChanges.WithLabelValues("platform").Inc()
	}
}

func eventOf(k core.NoteKind) eventlog.Event {
	switch k {
	case core.NoteSuspended:
		return eventlog.PauseDetected
	case core.NoteResumed:
		return eventlog.AdmissionResumed
	case core.NoteTakeover:
		return eventlog.ShardTakenOver
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
	domains := make(map[model.ServerID]string, len(list))
	for _, s := range list {
		domains[s.ID] = string(s.Domain)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.domains = domains
}

// TaskDone implements runtime.Observer.
func (o *observer) TaskDone(server model.ServerID, res backend.Result) {
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
