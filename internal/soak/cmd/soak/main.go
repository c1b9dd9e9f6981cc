// Command soak plays soaks of package soak, one for each seed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/nutmegweir/nutmegweir/internal/soak"
)

type args struct {
	Binary    string        `arg:"--binary,required" help:"the nutmegweir program" placeholder:"FILE"`
	Dir       string        `arg:"--dir,required" help:"for settings and logs, one folder a seed" placeholder:"DIR"`
	First     uint64        `arg:"--first" default:"1" help:"first seed"`
	Seeds     int           `arg:"--seeds" default:"1" help:"number of seeds"`
	Instances int           `arg:"--instances" default:"6"`
	Servers   int           `arg:"--servers" default:"12"`
	PerSecond float64       `arg:"--rate" default:"40" help:"jobs a second"`
	Length    time.Duration `arg:"--length" default:"12s" help:"of the troubles"`
	Resend    time.Duration `arg:"--resend" default:"1300ms" help:"after which a lost job comes again"`
	Held      time.Duration `arg:"--held" default:"1s" help:"past its deadline, after which a request counts as held back"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	played, failed := 0, 0
	for ; played < a.Seeds && ctx.Err() == nil; played++ {
		if !runSeed(ctx, a, a.First+uint64(played)) {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d failed\n", played, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed plays one seed and reports whether every promise was kept.
func runSeed(ctx context.Context, a args, seed uint64) bool {
	dir := filepath.Join(a.Dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	r, err := soak.Run(ctx, soak.Options{
		Binary: a.Binary, Dir: dir, Seed: seed, Instances: a.Instances, Servers: a.Servers,
		JobsPerSecond: a.PerSecond, FaultDuration: a.Length, ResubmitDelay: a.Resend, MaxLateness: a.Held,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Printf("seed %d: %d troubles, %d requests, %d completed, %d starts\n", seed, len(r.Faults), r.Requests, r.Completed, r.Starts)
	for _, b := range r.Violations {
		fmt.Println("  broken:", b)
	}
	return len(r.Violations) == 0
}
