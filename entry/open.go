package entry

import (
	"context"
	"io"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/ingress"
	"github.com/nutmegweir/nutmegweir/internal/settings"
)

// Open reads a settings file, checks it and opens the listeners of an
// instance. Log events go to log as JSON lines. The error lists every error in
// the file with its line and remedy.
func Open(file string, log io.Writer) (*Instance, error) {
	set, err := settings.Load(file)
	if err != nil {
		return nil, err
	}
	events, err := eventlog.New(log, set.LogLevel)
	if err != nil {
		return nil, err
	}
	return New(Options{Settings: set, Log: events})
}

// MemoryLimit returns the soft limit of memory that fits limits.memory_mb. The program
// sets it, as it applies to the whole process.
func (i *Instance) MemoryLimit() int64 { return ingress.MemoryLimit(i.settings.Limits.MemoryMB) }

// Run serves until ctx is done, then stops gracefully within stop_bound_s.
func (i *Instance) Run(ctx context.Context) error {
	i.Start()
	<-ctx.Done()
	bound := time.Duration(i.settings.StopBoundS) * time.Second
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), bound)
	defer cancel()
	return i.Shutdown(stopping)
}
