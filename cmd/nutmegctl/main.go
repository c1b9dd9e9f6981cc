// Command nutmegctl is the command-line tool of operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/nutmegweir/nutmegweir/internal/ctl"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &ctl.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	return ctl.Main(ctx, os.Args[1:], env)
}
