package ctl

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

func versionQuery(v uint64) url.Values {
	return url.Values{"version": {strconv.FormatUint(v, 10)}}
}

// TableGetCmd shows rows, or the settings that apply to a request.
type TableGetCmd struct {
	OperatorPort
	Row      string `arg:"positional" placeholder:"ROW" help:"CUSTOMER/DOMAIN/KIND or server:ID"`
	Customer string `arg:"--customer" help:"only rows of this customer"`
	Explain  bool   `arg:"--explain" help:"show what applies to requests of ROW and which row it comes from"`
}

// Run performs the command.
func (c *TableGetCmd) Run(ctx context.Context, env *Env) error {
	if c.Explain {
		return c.explain(ctx, env)
	}
	var got operator.Table
	if err := c.get(ctx, operator.PathTable, nil, &got); err != nil {
		return err
	}
	rows, err := c.filter(got.Rows)
	if err != nil {
		return err
	}
	if env.JSON {
		return env.writeJSON(operator.Table{Version: got.Version, Rows: rows})
	}
	lines := []string{"ROW\tVALUES\tVERSION"}
	for _, r := range rows {
		lines = append(lines, r.Key.String()+"\t"+table.Describe(&r.Values)+"\t"+strconv.FormatUint(r.Version, 10))
	}
	if err := printColumns(env, lines); err != nil {
		return err
	}
	env.print("table version %d", got.Version)
	return nil
}

func (c *TableGetCmd) filter(rows []table.Row) ([]table.Row, error) {
	list := []table.Row{}
	for _, r := range rows {
		if (c.Row == "" || r.Key.String() == c.Row) && (c.Customer == "" || r.Customer == model.Customer(c.Customer)) {
			list = append(list, r)
		}
	}
	if c.Row != "" && len(list) == 0 {
		return nil, errors.Errorf("the table has no row %s; use --explain to see the values that apply to it", c.Row)
	}
	return list, nil
}

func (c *TableGetCmd) explain(ctx context.Context, env *Env) error {
	key, err := parseRow(c.Row)
	if err != nil {
		return err
	}
	var got operator.Explanation
	query := url.Values{"customer": {string(key.Customer)}, "domain": {string(key.Domain)}, "kind": {string(key.Kind)}}
	if err := c.get(ctx, operator.PathExplain, query, &got); err != nil {
		return err
	}
	if env.JSON {
		return env.writeJSON(got)
	}
	lines := []string{"COLUMN\tVALUE\tROW\tVERSION"}
	for _, s := range got.Sources {
		row := "(default)"
		if s.Row != nil {
			row = s.Row.String()
		}
		lines = append(lines, string(s.Column)+"\t"+s.Value+"\t"+row+"\t"+strconv.FormatUint(s.Version, 10))
	}
	return printColumns(env, lines)
}

// TableExportCmd writes the table as CSV.
type TableExportCmd struct {
	OperatorPort
	File string `arg:"positional" placeholder:"FILE" help:"file to write [default: standard output]"`
}

// filePermissions are the permissions of an exported file.
const filePermissions = 0o644

// Run performs the command.
func (c *TableExportCmd) Run(ctx context.Context, env *Env) error {
	body, err := c.call(ctx, operatorCall{method: http.MethodGet, path: operator.PathCSV})
	if err != nil {
		return err
	}
	if c.File != "" {
		return errors.Wrap(os.WriteFile(c.File, body, filePermissions), "write the export")
	}
	_, err = env.Stdout.Write(body)
	return errors.Wrap(err, "write the export")
}

// TableHistoryCmd shows the edits, newest first.
type TableHistoryCmd struct {
	OperatorPort
	Limit int    `arg:"--limit" default:"20" help:"most edits to show"`
	Row   string `arg:"--row" placeholder:"ROW" help:"only edits of this row"`
}

// Run performs the command.
func (c *TableHistoryCmd) Run(ctx context.Context, env *Env) error {
	edits := []table.Edit{}
	query := url.Values{}
	for len(edits) < c.Limit {
		var page operator.History
		if err := c.get(ctx, operator.PathHistory, query, &page); err != nil {
			return err
		}
		for _, e := range page.Edits {
			if len(edits) < c.Limit && c.touches(e) {
				edits = append(edits, e)
			}
		}
		if !page.More {
			break
		}
		query = url.Values{"page": {strconv.FormatUint(page.Next.Page, 10)}, "below": {strconv.FormatUint(page.Next.Below, 10)}}
	}
	if env.JSON {
		return env.writeJSON(edits)
	}
	for _, e := range edits {
		env.print("version %d at %s by %s, edit %s%s", e.Version, e.At().UTC().Format(time.RFC3339), e.Actor, e.ID, noteText(e.Note))
		for _, ch := range e.Changes {
			env.print("  %v: %s -> %s", ch.Key, beforeText(ch), table.Describe(ch.After))
		}
	}
	return nil
}

func noteText(note string) string {
	if note == "" {
		return ""
	}
	return ": " + strings.ReplaceAll(note, "\n", " ")
}

func (c *TableHistoryCmd) touches(e table.Edit) bool {
	if c.Row == "" {
		return true
	}
	for _, ch := range e.Changes {
		if ch.Key.String() == c.Row {
			return true
		}
	}
	return false
}
