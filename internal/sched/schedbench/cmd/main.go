// Command cmd prints the metrics of the scheduler's virtual-time benchmark:
// the median over the seeds, and the spread.
package main

import (
	"fmt"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/nutmegweir/nutmegweir/internal/sched/schedbench"
)

type args struct {
	Scenario string `arg:"-s" help:"run only scenarios whose name contains this"`
	Baseline string `arg:"-b" help:"run only baselines whose name contains this"`
	Seeds    int    `default:"5" help:"number of seeds"`
}

// Description is printed by --help.
func (args) Description() string {
	return "Runs scenarios in virtual time and prints median [least, most] over the seeds."
}

func main() {
	var a args
	arg.MustParse(&a)
	for _, sc := range schedbench.Scenarios {
		if !strings.Contains(sc.Name, a.Scenario) {
			continue
		}
		for _, b := range schedbench.Baselines {
			if strings.Contains(b.Name, a.Baseline) {
				fmt.Printf("%-18s %-16s %s\n", sc.Name, b.Name, schedbench.Summary(sc, b.Mode, a.Seeds))
			}
		}
	}
}
