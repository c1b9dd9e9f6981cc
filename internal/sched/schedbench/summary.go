package schedbench

import (
	"fmt"
	"strings"

	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// MetricSpread is a metric's spread over several seeds.
type MetricSpread struct {
	Name   string
	Median float64
	Min    float64
	Max    float64
}

// Measure runs a scenario with several seeds.
func Measure(sc Scenario, mode sched.Mode, seeds int) []MetricSpread {
	var values [][]float64
	var names []string
	for seed := range seeds {
		for i, f := range sc.Run(mode, uint64(seed)+1) {
			if seed == 0 {
				values = append(values, nil)
				names = append(names, f.Name)
			}
			values[i] = append(values[i], f.Value)
		}
	}
	out := make([]MetricSpread, len(names))
	for i, v := range values {
		out[i] = MetricSpread{names[i], Quantile(v, 0.5), Quantile(v, 0), Quantile(v, 1)}
	}
	return out
}

// Summary formats the metrics of a scenario on one line.
func Summary(sc Scenario, mode sched.Mode, seeds int) string {
	var b strings.Builder
	for _, s := range Measure(sc, mode, seeds) {
		fmt.Fprintf(&b, "%s %.3f [%.3f, %.3f]  ", s.Name, s.Median, s.Min, s.Max)
	}
	return b.String()
}
