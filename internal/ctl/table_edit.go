package ctl

import (
	"context"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// TableSetCmd changes or removes one row.
type TableSetCmd struct {
	OperatorPort
	EditFlags
	Row    string   `arg:"positional,required" placeholder:"ROW" help:"CUSTOMER/DOMAIN/KIND, each a name or *, or server:ID"`
	Values []string `arg:"positional" placeholder:"COLUMN=VALUE" help:"columns to change; an empty value lets the column inherit"`
	Remove bool     `arg:"--remove" help:"remove the row"`
	Base   *uint64  `arg:"--base" placeholder:"VERSION" help:"row version that the edit is based on, 0 for a new row [default: the current one]"`
	DryRun bool     `arg:"--dry-run" help:"check the edit and change nothing"`
}

// Run performs the command.
func (c *TableSetCmd) Run(ctx context.Context, env *Env) error {
	key, err := parseRow(c.Row)
	if err != nil {
		return err
	}
	if c.Remove == (len(c.Values) > 0) {
		return usageError("give either COLUMN=VALUE or --remove")
	}
	change, err := c.change(ctx, key)
	if err != nil {
		return err
	}
	req := operator.EditRequest{ID: c.id(), Note: c.Note, DryRun: c.DryRun, Changes: []table.Change{change}}
	var res operator.EditResult
	if err := c.postJSON(ctx, operator.PathEdits, req, &res); err != nil {
		return withID(err, c.ID)
	}
	return reportEdit(ctx, env, &c.OperatorPort, &c.EditFlags, &res)
}

// withID adds the edit's ID to the error if the outcome is unknown.
func withID(err error, id string) error {
	if ExitCode(err) != ExitUnknown {
		return err
	}
	return &ExitError{Code: ExitUnknown, Err: errors.WithMessagef(err, "edit %s", id)}
}

func (c *TableSetCmd) change(ctx context.Context, key table.Key) (table.Change, error) {
	var got operator.Table
	if err := c.get(ctx, operator.PathTable, nil, &got); err != nil {
		return table.Change{}, err
	}
	row := table.Row{Key: key}
	for _, r := range got.Rows {
		if r.Key == key {
			row = r
		}
	}
	change := table.Change{Key: key, Base: row.Version}
	if c.Base != nil {
		change.Base = *c.Base
	}
	if c.Remove {
		return change, nil
	}
	for _, pair := range c.Values {
		column, value, ok := strings.Cut(pair, "=")
		if !ok {
			return table.Change{}, usageError("%q is not COLUMN=VALUE", pair)
		}
		if err := row.SetText(table.Column(column), value); err != nil {
			return table.Change{}, usageError("%v", err)
		}
	}
	change.After = &row.Values
	return change, nil
}

// ImportFlags holds the arguments of commands that take a CSV file.
type ImportFlags struct {
	RemoveMissing bool `arg:"--remove-missing" help:"remove the rows that the file does not have"`
}

// importFile imports a CSV file.
func (f *ImportFlags) importFile(ctx context.Context, env *Env, p *OperatorPort, e *EditFlags, file string, dryRun bool) (operator.EditResult, error) {
	var res operator.EditResult
	body, err := readFile(file, env.Stdin)
	if err != nil {
		return res, &ExitError{Code: ExitUsage, Err: err}
	}
	query := url.Values{"id": {e.id()}, "note": {e.Note}}
	if dryRun {
		query.Set("dry_run", "true")
	}
	if f.RemoveMissing {
		query.Set("remove_missing", "true")
	}
	err = p.post(ctx, operatorCall{path: operator.PathImport, query: query, mediaType: mediaCSV, body: body}, &res)
	return res, withID(err, e.ID)
}

// TableImportCmd changes the rows that a CSV file contains.
type TableImportCmd struct {
	OperatorPort
	EditFlags
	ImportFlags
	File   string `arg:"positional,required" placeholder:"FILE" help:"CSV file, - for the standard input"`
	DryRun bool   `arg:"--dry-run" help:"check the file and change nothing"`
}

// Run performs the command.
func (c *TableImportCmd) Run(ctx context.Context, env *Env) error {
	res, err := c.importFile(ctx, env, &c.OperatorPort, &c.EditFlags, c.File, c.DryRun)
	if err != nil {
		return err
	}
	return reportEdit(ctx, env, &c.OperatorPort, &c.EditFlags, &res)
}

// TableDiffCmd shows what an import would change.
type TableDiffCmd struct {
	OperatorPort
	ImportFlags
	File string `arg:"positional,required" placeholder:"FILE" help:"CSV file, - for the standard input"`
}

// Run performs the command.
func (c *TableDiffCmd) Run(ctx context.Context, env *Env) error {
	var flags EditFlags
	res, err := c.importFile(ctx, env, &c.OperatorPort, &flags, c.File, true)
	if err != nil {
		return err
	}
	return reportEdit(ctx, env, &c.OperatorPort, &flags, &res)
}

// TableRevertCmd reverts the changes of one version.
type TableRevertCmd struct {
	OperatorPort
	EditFlags
	Version uint64 `arg:"positional,required" placeholder:"VERSION" help:"table version whose changes are taken back"`
	DryRun  bool   `arg:"--dry-run" help:"check and change nothing"`
}

// Run performs the command.
func (c *TableRevertCmd) Run(ctx context.Context, env *Env) error {
	req := operator.RevertRequest{ID: c.id(), Note: c.Note, DryRun: c.DryRun, Version: c.Version}
	var res operator.EditResult
	if err := c.postJSON(ctx, operator.PathRevert, req, &res); err != nil {
		return withID(err, c.ID)
	}
	return reportEdit(ctx, env, &c.OperatorPort, &c.EditFlags, &res)
}

// TableApplyCmd imports a CSV file and waits until it is in force, or waits for
// a given version.
type TableApplyCmd struct {
	OperatorPort
	EditFlags
	ImportFlags
	File    string `arg:"positional" placeholder:"FILE" help:"CSV file, - for the standard input"`
	Version uint64 `arg:"--version" help:"wait for this version in place of an import"`
}

// Run performs the command.
func (c *TableApplyCmd) Run(ctx context.Context, env *Env) error {
	if (c.File == "") == (c.Version == 0) {
		return usageError("give either FILE or --version")
	}
	if c.Version > 0 {
		return waitInForce(ctx, env, &c.OperatorPort, c.Timeout, c.Version, nil)
	}
	res, err := c.importFile(ctx, env, &c.OperatorPort, &c.EditFlags, c.File, false)
	if err != nil {
		return err
	}
	return reportEdit(ctx, env, &c.OperatorPort, &c.EditFlags, &res)
}
