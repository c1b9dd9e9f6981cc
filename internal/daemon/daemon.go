// Package daemon is the nutmegweir command: it runs an entry instance, a
// stand-in for tests, or a complete demo deployment in one process.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rs/zerolog"

	"github.com/nutmegweir/nutmegweir/entry"
)

// Exit codes of the command.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

type args struct {
	Serve   *serveArgs   `arg:"subcommand:serve" help:"serve as an entry instance"`
	Dev     *devArgs     `arg:"subcommand:dev" help:"run the whole path in one process"`
	Fleet   *fleetArgs   `arg:"subcommand:fleet" help:"serve as an instance on the users' platform"`
	Standin *standinArgs `arg:"subcommand:standin" help:"run a stand-in for tests"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "nutmegweir dispatches sub-second tasks to backend servers."
}

type serveArgs struct {
	Config string `arg:"--config,required" help:"settings file, JSON with comments" placeholder:"FILE"`
}

// logTimeFormat is RFC 3339 with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Main runs the command and returns its exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	zerolog.TimeFieldFormat = logTimeFormat
	var a args
	p, err := arg.NewParser(arg.Config{Program: "nutmegweir"}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	switch err := p.Parse(argv); {
	case err == arg.ErrHelp:
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return ExitOK
	case err != nil:
		fmt.Fprintln(stderr, err)
		p.WriteUsage(stderr)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, a, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "nutmegweir:", err)
		return ExitFailed
	}
	return ExitOK
}

func run(ctx context.Context, a args, stdout, stderr io.Writer) error {
	switch {
	case a.Serve != nil:
		return serve(ctx, a.Serve, stderr)
	case a.Fleet != nil:
		return serveFleet(ctx, a.Fleet, stdout)
	case a.Dev != nil:
		return dev(ctx, a.Dev, stdout, stderr)
	case a.Standin != nil:
		return runStandin(ctx, a.Standin, stdout)
	}
	return errNoCommand
}

func serve(ctx context.Context, a *serveArgs, stderr io.Writer) error {
	i, err := entry.Open(a.Config, stderr)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(i.MemoryLimit())
	return i.Run(ctx)
}

func shutdownWithin(i *entry.Instance, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return i.Shutdown(ctx)
}
