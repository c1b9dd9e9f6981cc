package entry

import (
	"context"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/settings"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// refusalFlushInterval is the time between two sums of refusals in the audit trail.
const refusalFlushInterval = 10 * time.Second

// logReady logs when the instance first takes requests.
func (i *Instance) logReady(ctx context.Context) {
	if i.WaitReady(ctx) == nil {
		i.log.Event(eventlog.InstanceReady).Send()
	}
}

// auditRefusals puts refused submissions into the audit trail, in numbers.
func (i *Instance) auditRefusals(ctx context.Context) {
	wait.Every(ctx, refusalFlushInterval, func() {
		for _, r := range i.refusalCounts.Flush() {
			i.observer.audit(r)
		}
	})
}

// logPlainPorts logs which ports go without TLS.
func (i *Instance) logPlainPorts() {
	ports := []struct {
		name string
		port *settings.Port
	}{
		{"caller", &i.settings.TLS.Caller},
		{"peer", &i.settings.TLS.Peer},
		{"operator", &i.settings.TLS.Operator},
	}
	for _, p := range ports {
		if p.port.Plain {
			i.log.Event(eventlog.TransportPlain).Str("port", p.name).Send()
		}
	}
}
