package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/nutmegweir/nutmegweir/internal/ingress"
	"github.com/nutmegweir/nutmegweir/internal/node"
	"github.com/nutmegweir/nutmegweir/platform"
)

// fleetArgs has no settings file flag: the platform passes the path in the
// environment.
type fleetArgs struct {
	Check     bool   `arg:"--check" help:"check the platform's settings file and exit"`
	Advertise string `arg:"--advertise" help:"where other instances reach this one, if something forwards to it" placeholder:"HOST:PORT"`
}

// gcPercent trades CPU time for memory: an instance allocates little and has a
// few hundred megabytes of memory.
const gcPercent = 50

// serveFleet runs one instance on the users' platform until ctx ends.
func serveFleet(ctx context.Context, a *fleetArgs, stdout io.Writer) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if a.Check {
		_, err := fmt.Fprintf(stdout, "settings of %s in %s can be served\n", s.Instance, s.Domain)
		return err
	}
	if a.Advertise != "" {
		s.AdvertisedAddr = a.Advertise
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(ingress.MemoryLimit(s.MemoryMB))
	logs, closeLogs := node.LogWriter(stdout)
	defer closeLogs()
	n, err := node.New(ctx, s, logs)
	if err != nil {
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	return n.Run(ctx, reloads)
}
