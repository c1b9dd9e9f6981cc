// Command capacity measures the pure cores at the sizes of docs/CAPACITY.md and
// writes the raw figures, or times table changes in a running fleet.
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

// measurement is a measurement with its own output files.
type measurement struct {
	name    string
	measure func(options) error
}

func run(o options) error {
	if o.Force != nil {
		return measureInForceDelay(*o.Force)
	}
	measurements := []measurement{
		{"table", measureTable},
		{"store", measureStore},
		{"views", measureViews},
		{"shard", measureShards},
		{"sched", measureSched},
	}
	for _, m := range measurements {
		if o.Only != "" && o.Only != m.name {
			continue
		}
		if err := m.measure(o); err != nil {
			return err
		}
	}
	return nil
}

func measureTable(o options) error {
	var results []capacity.TableResult
	for _, customers := range capacity.TableSizes() {
		result := capacity.MeasureTable(customers)
		fmt.Printf("table: %+v\n", result)
		results = append(results, result)
	}
	return capacity.Write(o.Out, "table", results)
}

func measureStore(o options) error {
	result, err := capacity.MeasureStore(capacity.TargetFleet.Customers, capacity.EditsPerDay)
	if err != nil {
		return err
	}
	fmt.Printf("store: %+v\n", result)
	return capacity.Write(o.Out, "store", []capacity.StoreResult{result})
}

func measureViews(o options) error {
	var results []capacity.ViewResult
	for _, l := range capacity.ViewLoads() {
		list, err := capacity.MeasureViews(l)
		if err != nil {
			return err
		}
		for _, result := range list {
			fmt.Printf("views: %+v\n", result)
		}
		results = append(results, list...)
	}
	return capacity.Write(o.Out, "views", results)
}

func measureShards(o options) error {
	var results []capacity.ShardResult
	for _, l := range capacity.ShardLoads() {
		result := capacity.MeasureShard(l)
		fmt.Printf("shard: %+v\n", result)
		results = append(results, result)
	}
	return capacity.Write(o.Out, "shard", results)
}

func measureSched(o options) error {
	var results []capacity.SchedResult
	for _, s := range capacity.Sweeps() {
		for _, f := range s.Fleets {
			result := capacity.MeasureSched(s.Name, f)
			fmt.Printf("sched %s: %+v\n", s.Name, result)
			results = append(results, result)
		}
	}
	return capacity.Write(o.Out, "sched", results)
}
