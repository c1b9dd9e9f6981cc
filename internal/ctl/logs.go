package ctl

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/joblog"
)

// LogsCmd reads the logs of instances.
type LogsCmd struct {
	Job    *LogsJobCmd    `arg:"subcommand:job" help:"show what happened to one job and its runs, over all instances"`
	Causes *LogsCausesCmd `arg:"subcommand:causes" help:"count the jobs that were not on time, by cause"`
}

// Run performs the command.
func (c *LogsCmd) Run(context.Context, *Env) error {
	return usageError("a command is missing: logs job ID or logs causes; see %s logs --help", Program)
}

// LogsJobCmd shows the lines of one job in the order of time, and its runs.
type LogsJobCmd struct {
	ID    string   `arg:"positional,required" help:"the job's ID"`
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of the instances, in any order; standard input if there is none"`
}

// Run performs the command.
func (c *LogsJobCmd) Run(_ context.Context, env *Env) error {
	log, err := readLogs(env, c.Files)
	if err != nil {
		return err
	}
	lines := log.OfJob(c.ID)
	if env.JSON {
		return env.writeJSON(lines)
	}
	if len(lines) == 0 {
		return errors.Errorf("no line names job %q; give the logs of all instances around its time", c.ID)
	}
	start := lines[0].Time
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MS\tINSTANCE\tEVENT\tDETAILS")
	for _, x := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", since(start, x.Time), x.Instance, x.Event, details(x))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write the lines")
	}
	return writeRuns(env.Stdout, log.Runs(c.ID), start)
}

// details returns the fields of a line that its event has.
func details(x joblog.Line) string {
	text := ""
	add := func(format string, v any, present bool) {
		if present {
			if text != "" {
				text += ", "
			}
			text += fmt.Sprintf(format, v)
		}
	}
	add("%s", x.Result, x.Result != "")
	add("%s", x.Reason, x.Reason != "")
	add("peer %s", x.Peer, x.Peer != "")
	add("server %s", x.Server, x.Server != "")
	add("task %d", x.Task, x.Attempt != 0)
	add("attempt %d", x.Attempt, x.Attempt != 0)
	add("count %d", x.Count, x.Count != 0)
	add("value %d", x.Value, x.Value != 0)
	add("%s", x.Conclusion, x.Conclusion != "")
	add("age %.1f ms", x.AgeMs, x.AgeMs != 0)
	add("took %.1f ms", x.TookMs, x.TookMs != 0)
	add("objective %.1f ms", x.ObjectiveMs, x.ObjectiveMs != 0)
	return text
}

// LogsCausesCmd counts the jobs that were not on time by cause.
type LogsCausesCmd struct {
	Files  []string      `arg:"positional" placeholder:"FILE" help:"logs of the instances, in any order; standard input if there is none"`
	By     string        `arg:"--by" placeholder:"GROUP" help:"one table a window, route or domain"`
	Window time.Duration `arg:"--window" default:"2s" help:"length of a window"`
}

// Run performs the command.
func (c *LogsCausesCmd) Run(_ context.Context, env *Env) error {
	groupings := map[string]joblog.Grouping{"": joblog.ByNothing, "window": joblog.ByWindow, "route": joblog.ByRoute, "domain": joblog.ByDomain}
	by, ok := groupings[c.By]
	if !ok || c.Window <= 0 {
		return usageError("--by takes window, route or domain, and --window a positive time such as 2s")
	}
	log, err := readLogs(env, c.Files)
	if err != nil {
		return err
	}
	t := log.Causes(by, c.Window)
	if env.JSON {
		return env.writeJSON(t)
	}
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tCAUSE\tJOBS\tKNOWN ROOM")
	for _, r := range t.Rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f cores\n", r.Group, r.Cause, r.Jobs, float64(r.KnownRoomMilli)/1000)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	env.print("%d of %d answered jobs were on time; %d lines were dropped by rate limits, %d are no log lines", t.OnTime, t.Jobs, t.Dropped, t.Skipped)
	return nil
}

// readLogs reads files, or standard input without any.
func readLogs(env *Env, files []string) (*joblog.Log, error) {
	log := &joblog.Log{}
	if len(files) == 0 {
		if err := log.Read(env.Stdin); err != nil {
			return nil, err
		}
	}
	for _, name := range files {
		if err := readLogFile(log, name); err != nil {
			return nil, err
		}
	}
	log.Sort()
	return log, nil
}

func readLogFile(log *joblog.Log, name string) error {
	r, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "log of an instance")
	}
	defer r.Close()
	return errors.Wrap(log.Read(r), name)
}
