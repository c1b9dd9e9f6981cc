package ctl

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/joblog"
)

// unknownField stands for what no line tells.
const unknownField = "?"

// writeRuns writes a table of the runs of a job, and the pairs that may overlap.
func writeRuns(out io.Writer, runs []joblog.Run, start time.Time) error {
	if len(runs) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nSTEP\tTASK\tATTEMPT\tSENT\tORDERED BY\tFENCE\tSERVER\tLIFE\tSTOPPED\tOVER\tCONCLUSION")
	for _, r := range runs {
		fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Step, r.Task, r.Attempt, since(start, r.SentAt),
			cmp.Or(r.Instance, unknownField), number(r.Fence), runPlace(r), number(uint64(r.BootMs)), since(start, r.StopAt), since(start, r.OverAt), conclusion(r))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write the runs")
	}
	for i, o := range joblog.Overlaps(runs) {
		if i == 0 {
			fmt.Fprintln(out, "\nRuns of one task that may have overlapped:")
		}
		fmt.Fprintf(out, "step %d task %d: %s; %s\n", o.Later.Step, o.Later.Task, runName(o.Later), overlapText(o))
	}
	return nil
}

// since returns the milliseconds since a time, for tables.
func since(start, at time.Time) string {
	if at.IsZero() {
		return unknownField
	}
	return fmt.Sprintf("%.1f", float64(at.Sub(start))/float64(time.Millisecond))
}

func number(n uint64) string {
	if n == 0 {
		return unknownField
	}
	return fmt.Sprint(n)
}

// runPlace returns where a run was: at a server, or at an owner that chose one.
func runPlace(r joblog.Run) string {
	if r.Peer != "" {
		return "a server of " + r.Peer
	}
	return cmp.Or(r.Server, unknownField)
}

func runName(r joblog.Run) string {
	return fmt.Sprintf("attempt %d at %s (ordered by %s)", r.Attempt, runPlace(r), cmp.Or(r.Instance, unknownField))
}

// conclusion returns how a run was found to be over, with the figures behind it.
func conclusion(r joblog.Run) string {
	text := string(r.Conclusion)
	if text == "" {
		text = "none"
	}
	if r.End != "" {
		text += ", " + r.End
	}
	if r.NowBootMs != 0 {
		text += fmt.Sprintf(", life %d", r.NowBootMs)
	}
	if r.LeaseEndMs != 0 || r.ClockMs != 0 {
		text += fmt.Sprintf(", lease end %d, clock %d", r.LeaseEndMs, r.ClockMs)
	}
	if r.WaitMs != 0 {
		text += fmt.Sprintf(", waits %d ms", r.WaitMs)
	}
	if r.SeenBy != "" {
		text += ", found by " + r.SeenBy
	}
	return text
}

func overlapText(o joblog.Overlap) string {
	ms := float64(o.Gap.Abs()) / float64(time.Millisecond)
	switch o.Kind {
	case joblog.OverlapNoEnd:
		return fmt.Sprintf("no line tells the end of %s", runName(o.Earlier))
	case joblog.OverlapSeen:
		return fmt.Sprintf("sent %.1f ms before %s found %s running", ms, o.Earlier.SeenBy, runName(o.Earlier))
	case joblog.OverlapBeforeEnd:
		return fmt.Sprintf("sent %.1f ms before the end of %s was known (%s)", ms, runName(o.Earlier), conclusion(o.Earlier))
	}
	return fmt.Sprintf("sent %.1f ms after the end of %s, which no list confirms (%s)", ms, runName(o.Earlier), conclusion(o.Earlier))
}
