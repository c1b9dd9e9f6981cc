// Command capacity measures the pure cores over the sizes of
// docs/CAPACITY.md and writes the raw figures, or times changes of the table of
// a running fleet.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/nutmegweir/nutmegweir/internal/capacity"
)

type options struct {
	Out   string          `arg:"--out" default:"docs/capacity" help:"directory of the raw figures"`
	Only  string          `arg:"--only" help:"part to measure: table, store, views, shard or sched; all if not given"`
	Force *inForceOptions `arg:"subcommand:force" help:"time changes of the table of a running fleet"`
}

func main() {
	var o options
	arg.MustParse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measurement is one table of figures.
type measurement struct {
	name    string
	measure func(options) error
}

func run(o options) error {
	if o.Force != nil {
		return measureInForceDelay(*o.Force)
	}
	parts := []measurement{
		{"table", measureTable},
		{"store", measureStore},
		{"views", measureViews},
		{"shard", measureShards},
		{"sched", measureSched},
	}
	for _, p := range parts {
		if o.Only != "" && o.Only != p.name {
			continue
		}
		if err := p.measure(o); err != nil {
			return err
		}
	}
	return nil
}

func measureTable(o options) error {
	var figures []capacity.TableResult
	for _, customers := range capacity.TableSizes() {
		fig := capacity.MeasureTable(customers)
		fmt.Printf("table: %+v\n", fig)
		figures = append(figures, fig)
	}
	return capacity.Write(o.Out, "table", figures)
}

func measureStore(o options) error {
	fig, err := capacity.MeasureStore(capacity.TargetFleet.Customers, capacity.EditsPerDay)
	if err != nil {
		return err
	}
	fmt.Printf("store: %+v\n", fig)
	return capacity.Write(o.Out, "store", []capacity.StoreResult{fig})
}

func measureViews(o options) error {
	var figures []capacity.ViewResult
	for _, l := range capacity.ViewLoads() {
		list, err := capacity.MeasureViews(l)
		if err != nil {
			return err
		}
		for _, fig := range list {
			fmt.Printf("views: %+v\n", fig)
		}
		figures = append(figures, list...)
	}
	return capacity.Write(o.Out, "views", figures)
}

func measureShards(o options) error {
	var figures []capacity.ShardResult
	for _, l := range capacity.ShardLoads() {
		fig := capacity.MeasureShard(l)
		fmt.Printf("shard: %+v\n", fig)
		figures = append(figures, fig)
	}
	return capacity.Write(o.Out, "shard", figures)
}

func measureSched(o options) error {
	var figures []capacity.SchedResult
	for _, s := range capacity.Sweeps() {
		for _, f := range s.Fleets {
			fig := capacity.MeasureSched(s.Name, f)
			fmt.Printf("sched %s: %+v\n", s.Name, fig)
			figures = append(figures, fig)
		}
	}
	return capacity.Write(o.Out, "sched", figures)
}
