package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/nutmegweir/nutmegweir/internal/node"
	"github.com/nutmegweir/nutmegweir/platform"
)

// fleetArgs has no flags: the platform names the settings file in the
// environment.
type fleetArgs struct{}

// serveFleet runs one instance on the users' platform until ctx ends.
func serveFleet(ctx context.Context, stdout io.Writer) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	logs, closeLogs := node.LogWriter(stdout)
	defer closeLogs()
	n, err := node.New(s, logs)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	return n.Run(ctx, hangups)
}
