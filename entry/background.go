package entry

import (
	"context"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/settings"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// refusalFlushInterval is how often rejection counts go to the audit trail.
const refusalFlushInterval = 10 * time.Second

// logReady logs when the instance first accepts requests.
func (i *Instance) logReady(ctx context.Context) {
	if i.WaitReady(ctx) == nil {
		i.log.Event(eventlog.InstanceReady).Send()
	}
}

// auditRefusals records counts of rejected submissions in the audit trail.
func (i *Instance) auditRefusals(ctx context.Context) {
	wait.Every(ctx, refusalFlushInterval, func() {
		for _, r := range i.refusalCounts.Flush() {
			i.observer.audit(r)
		}
	})
}

// logPlainPorts logs which ports run without TLS.
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
