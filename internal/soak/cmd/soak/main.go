// Command soak runs the soak of package soak for a range of seeds.
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
	Binary        string        `arg:"--binary,required" help:"the nutmegweir program" placeholder:"FILE"`
	Dir           string        `arg:"--dir,required" help:"for settings and logs, one folder a seed" placeholder:"DIR"`
	FirstSeed     uint64        `arg:"--first" default:"1" help:"first seed"`
	Seeds         int           `arg:"--seeds" default:"1" help:"number of seeds"`
	Instances     int           `arg:"--instances" default:"6"`
	Servers       int           `arg:"--servers" default:"12"`
	JobsPerSecond float64       `arg:"--rate" default:"40" help:"jobs a second"`
	JobDeadline   time.Duration `arg:"--deadline" help:"of callers (default: 3s)"`
	LongestTask   time.Duration `arg:"--longest-task" help:"run time of the longest task (default: 210ms)"`
	VanishShare   float64       `arg:"--vanish" help:"share of the submissions whose callers are cut off unnoticed 0.15 to 0.3 s later"`
	FaultDuration time.Duration `arg:"--length" default:"12s" help:"of the troubles"`
	ResubmitDelay time.Duration `arg:"--resend" default:"1300ms" help:"after which a lost job comes again"`
	Faults        []string      `arg:"--fault,separate" help:"inject only this fault; may be repeated" placeholder:"NAME"`
	MaxLateness   time.Duration `arg:"--held" default:"1s" help:"past its deadline, after which a request counts as held back"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	runs, failed := 0, 0
	for ; runs < a.Seeds && ctx.Err() == nil; runs++ {
		if !runSeed(ctx, a, a.FirstSeed+uint64(runs)) {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d failed\n", runs, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed and reports whether there were no violations.
func runSeed(ctx context.Context, a args, seed uint64) bool {
	dir := filepath.Join(a.Dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	r, err := soak.Run(ctx, soak.Options{
		Binary: a.Binary, Dir: dir, Seed: seed, Instances: a.Instances, Servers: a.Servers,
		JobsPerSecond: a.JobsPerSecond, JobDeadline: a.JobDeadline, LongestTask: a.LongestTask, VanishShare: a.VanishShare,
		FaultDuration: a.FaultDuration, ResubmitDelay: a.ResubmitDelay, MaxLateness: a.MaxLateness,
		Faults: a.Faults,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d completed, %d starts\n", seed, len(r.Faults), r.Requests, r.Completed, r.Starts)
	for _, v := range r.Violations {
		fmt.Println("  violation:", v)
	}
	return len(r.Violations) == 0
}
