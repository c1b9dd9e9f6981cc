package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/load"
)

// Load sends a workload to entry instances on loopback and reports the results.
type Load struct {
	Workload string   `arg:"positional,required" help:"workload file, see docs/LOAD.md"`
	Entry    []string `arg:"--entry,separate" placeholder:"[DOMAIN=]IP:PORT" help:"entry instance on loopback; repeat for more"`
	Starts   []string `arg:"--starts,separate" placeholder:"IP:PORT" help:"backend stand-in whose counted starts the answers are checked against; repeat for more"`
	Seed     *uint64  `arg:"--seed" help:"takes the place of the file's seed"`
	Scale    float64  `arg:"--scale" default:"1" help:"multiplies every arrival rate"`
	Out      string   `arg:"--out" placeholder:"DIR" help:"directory for report.json and the plots"`
	Cluster  bool     `arg:"--print-cluster" help:"print the processes that the workload is meant for, and end"`
}

// ViolationsError is returned when the report counts untrue answers.
type ViolationsError struct{ Count int }

// Error returns the count and the remedy.
func (e *ViolationsError) Error() string {
	return fmt.Sprintf("load: %d untrue answers; see the findings in the report and the log of the instances named", e.Count)
}

// Run performs the command and writes the report to standard output.
func (c *Load) Run(ctx context.Context) error { return c.run(ctx, os.Stdout) }

func (c *Load) run(ctx context.Context, out io.Writer) error {
	w, err := load.ReadFile(c.Workload)
	if err != nil {
		return err
	}
	if c.Cluster {
		return w.Cluster.Print(out)
	}
	if err := c.applyOverrides(w); err != nil {
		return err
	}
	target, err := c.target()
	if err != nil {
		return err
	}
	rep, err := load.Run(ctx, w, target)
	if err != nil {
		return err
	}
	return c.finish(rep, out)
}

func (c *Load) applyOverrides(w *load.Workload) error {
	if c.Seed != nil {
		w.Seed = *c.Seed
	}
	if c.Scale <= 0 {
		return errors.New("load: --scale is not positive; give a factor above 0")
	}
	w.Scale(c.Scale)
	return nil
}

func (c *Load) target() (load.Target, error) {
	var t load.Target
	for _, s := range c.Entry {
		e, err := load.ParseEntry(s)
		if err != nil {
			return t, err
		}
		t.Entries = append(t.Entries, e)
	}
	for _, s := range c.Starts {
		a, err := load.ParseLoopback(s)
		if err != nil {
			return t, err
		}
		t.Starts = append(t.Starts, a)
	}
	return t, nil
}

func (c *Load) finish(rep *load.Report, out io.Writer) error {
	if err := rep.WriteTable(out); err != nil {
		return err
	}
	if c.Out != "" {
		if err := rep.WriteFiles(c.Out); err != nil {
			return err
		}
	}
	if n := rep.ViolationCount(); n > 0 {
		return &ViolationsError{n}
	}
	return nil
}
