package ctl

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablesync"
)

// TableCmd reads and edits the table of weights and limits.
type TableCmd struct {
	Get     *TableGetCmd     `arg:"subcommand:get" help:"show rows, or what applies to a request"`
	Set     *TableSetCmd     `arg:"subcommand:set" help:"change or remove one row"`
	Import  *TableImportCmd  `arg:"subcommand:import" help:"change the rows that a CSV file names"`
	Export  *TableExportCmd  `arg:"subcommand:export" help:"write the table as CSV"`
	Diff    *TableDiffCmd    `arg:"subcommand:diff" help:"show what an import would change"`
	History *TableHistoryCmd `arg:"subcommand:history" help:"show the edits, the newest first"`
	Revert  *TableRevertCmd  `arg:"subcommand:revert" help:"take the changes of one version back"`
	Apply   *TableApplyCmd   `arg:"subcommand:apply" help:"import a CSV file, or take a version, and wait until it is in force"`
}

// EditFlags holds the common arguments of commands that edit.
type EditFlags struct {
	ID   string `arg:"--id" placeholder:"ID" help:"id of the edit; repeat it when the outcome was unknown [default: a new one]"`
	Note string `arg:"--note" placeholder:"TEXT" help:"note in the audit trail"`
	WaitFlags
}

// WaitFlags holds the arguments for waiting for a version.
type WaitFlags struct {
	Wait    bool          `arg:"--wait" help:"wait until the change is in force in every failure domain"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"longest wait"`
}

// id returns the edit's ID, generating one if there is none.
func (f *EditFlags) id() string {
	if f.ID == "" {
		f.ID = uuid.NewString()
	}
	return f.ID
}

// parseRow parses a row's name: CUSTOMER/DOMAIN/KIND or server:ID.
func parseRow(s string) (table.Key, error) {
	if id, ok := strings.CutPrefix(s, "server:"); ok {
		return table.Key{Server: model.ServerID(id)}, nil
	}
	parts := strings.Split(s, "/")
	if len(parts) != 3 {
		return table.Key{}, usageError("row is %q; write CUSTOMER/DOMAIN/KIND, each a name or *, or server:ID", s)
	}
	return table.Key{Customer: model.Customer(parts[0]), Domain: model.Domain(parts[1]), Kind: model.Kind(parts[2])}, nil
}

// printColumns prints lines of tab-separated cells in aligned columns.
func printColumns(env *Env, lines []string) error {
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
	return w.Flush()
}

// reportEdit prints the result of an edit and waits for it if requested.
func reportEdit(ctx context.Context, env *Env, p *OperatorPort, f *EditFlags, res *operator.EditResult) error {
	if !env.JSON {
		printEdit(env, f, res)
	}
	if !f.Wait || res.Version == 0 {
		if env.JSON {
			return env.writeJSON(res)
		}
		return nil
	}
	return waitInForce(ctx, env, p, f.Timeout, res.Version, res)
}

func printEdit(env *Env, f *EditFlags, res *operator.EditResult) {
	for _, c := range res.Changes {
		env.print("%v: %s -> %s", c.Key, beforeText(c), table.Describe(c.After))
	}
	switch {
	case res.DryRun:
		env.print("dry run: %d rows would change", len(res.Changes))
	case len(res.Changes) == 0:
		env.print("nothing to change")
	case res.Repeated:
		env.print("version %d: edit %s was applied before", res.Version, f.ID)
	default:
		env.print("version %d: edit %s applied", res.Version, f.ID)
	}
}

func beforeText(c table.Change) string {
	if c.Before == nil {
		return "none"
	}
	return table.Describe(c.Before)
}

// pollInterval is the time between queries of where a version is in force.
const pollInterval = 500 * time.Millisecond

// waitResult is the JSON result of a command that waits.
type waitResult struct {
	Edit    *operator.EditResult     `json:"edit,omitempty"`
	Version uint64                   `json:"version"`
	Domains []tablesync.DomainStatus `json:"domains"`
}

// waitInForce waits until a version is in force in every failure domain that is
// not cut off. It fails with ExitPartial if it is not in force everywhere.
func waitInForce(ctx context.Context, env *Env, p *OperatorPort, timeout time.Duration, version uint64, edit *operator.EditResult) error {
	deadline := time.Now().Add(timeout)
	for {
		var got operator.InForce
		err := p.get(ctx, operator.PathInForce, versionQuery(version), &got)
		if err != nil {
			return err
		}
		pending, cutOff := undelivered(got.Domains)
		if len(pending) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
			time.Sleep(pollInterval)
			continue
		}
		if err := reportWait(env, &waitResult{Edit: edit, Version: version, Domains: got.Domains}); err != nil {
			return err
		}
		return waitOutcome(version, pending, cutOff)
	}
}

// undelivered returns the domains where a version is pending and those that are
// cut off.
func undelivered(list []tablesync.DomainStatus) (pending, cutOff []string) {
	for _, d := range list {
		switch d.Reach {
		case tablesync.ReachPending:
			pending = append(pending, string(d.Domain))
		case tablesync.ReachCutOff:
			cutOff = append(cutOff, string(d.Domain))
		}
	}
	return pending, cutOff
}

func reportWait(env *Env, r *waitResult) error {
	if env.JSON {
		return env.writeJSON(r)
	}
	for _, d := range r.Domains {
		env.print("%s: %s (version %d, %d instances)", d.Domain, d.Reach, d.Version, len(d.Instances))
	}
	return nil
}

func waitOutcome(version uint64, pending, cutOff []string) error {
	if len(pending)+len(cutOff) == 0 {
		return nil
	}
	text := fmt.Sprintf("version %d is not in force everywhere", version)
	if len(pending) > 0 {
		text += "; pending in " + strings.Join(pending, ", ")
	}
	if len(cutOff) > 0 {
		text += "; cut off: " + strings.Join(cutOff, ", ")
	}
	return &ExitError{Code: ExitPartial, Err: fmt.Errorf("%s; it comes in force there when the links recover", text)}
}
