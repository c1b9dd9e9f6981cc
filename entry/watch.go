package entry

import (
	"context"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/settings"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// refusalInterval is the time between two sums of refusals in the audit trail.
const refusalInterval = 10 * time.Second

// logReady logs when the instance first takes requests.
func (i *Instance) logReady(ctx context.Context) {
	if i.WaitReady(ctx) == nil {
		i.log.Event(eventlog.InstanceReady).Send()
	}
}

// sumRefusals puts refused submissions into the audit trail, in numbers.
func (i *Instance) sumRefusals(ctx context.Context) {
	wait.Every(ctx, refusalInterval, func() {
		for _, r := range i.refusals.Flush() {
			i.observer.audit(r)
		}
	})
}

// logPlain logs which ports go without TLS.
func (i *Instance) logPlain() {
	ports := []struct {
		name string
		port *settings.Port
	}{
		{"caller", &i.set.TLS.Caller},
		{"peer", &i.set.TLS.Peer},
		{"operator", &i.set.TLS.Operator},
	}
	for _, p := range ports {
		if p.port.Plain {
			i.log.Event(eventlog.TransportPlain).Str("port", p.name).Send()
		}
	}
}
