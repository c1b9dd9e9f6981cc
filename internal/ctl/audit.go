package ctl

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// AuditCmd shows the audit trail, newest record first.
type AuditCmd struct {
	OperatorPort
	Since    string `arg:"--since" placeholder:"TIME" help:"only from this time, like 2026-01-31T08:00:00Z, or an age like 2h"`
	Until    string `arg:"--until" placeholder:"TIME" help:"only before this time"`
	Row      string `arg:"--row" help:"only rows, shards or servers whose name has this part"`
	Customer string `arg:"--customer" help:"only this customer"`
	Action   string `arg:"--action" help:"only this action: edit, refused, in-force, view, quarantine, restore or refusals"`
	Actor    string `arg:"--actor" help:"only this operator"`
	Limit    int    `arg:"--limit" default:"100" help:"most records to show"`
}

// Run performs the command.
func (c *AuditCmd) Run(ctx context.Context, env *Env) error {
	query, err := c.query(time.Now())
	if err != nil {
		return err
	}
	var got operator.Audit
	if err := c.get(ctx, operator.PathAudit, query, &got); err != nil {
		return err
	}
	if env.JSON {
		return env.writeJSON(got)
	}
	for _, r := range got.Records {
		env.print("%s", recordText(r))
	}
	if got.More {
		env.print("there are more records; narrow the filter or raise --limit")
	}
	return nil
}

func (c *AuditCmd) query(now time.Time) (url.Values, error) {
	q := url.Values{"limit": {strconv.Itoa(c.Limit)}}
	set := func(name, value string) {
		if value != "" {
			q.Set(name, value)
		}
	}
	since, err := timeText(c.Since, now)
	if err != nil {
		return nil, err
	}
	until, err := timeText(c.Until, now)
	if err != nil {
		return nil, err
	}
	set("since", since)
	set("until", until)
	set("row", c.Row)
	set("customer", c.Customer)
	set("action", c.Action)
	set("actor", c.Actor)
	return q, nil
}

// timeText converts an age to an RFC 3339 time.
func timeText(s string, now time.Time) (string, error) {
	if s == "" {
		return "", nil
	}
	if age, err := time.ParseDuration(s); err == nil {
		return now.Add(-age).UTC().Format(time.RFC3339), nil
	}
	if _, err := time.Parse(time.RFC3339, s); err != nil {
		return "", usageError("%q is not a time; write it like 2026-01-31T08:00:00Z, or an age like 2h", s)
	}
	return s, nil
}

func recordText(r audit.Record) string {
	parts := []string{time.UnixMilli(r.AtUnixMs).UTC().Format(time.RFC3339), string(r.Action)}
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("actor", r.Actor)
	add("instance", string(r.Instance))
	add("row", r.Row)
	if r.Row == "" {
		add("domain", string(r.Domain))
		add("customer", string(r.Customer))
	}
	if r.Version > 0 {
		add("version", strconv.FormatUint(r.Version, 10))
	}
	if r.Action == audit.ActionEdit {
		parts = append(parts, fmt.Sprintf("%s -> %s", beforeText(table.Change{Before: r.Before}), table.Describe(r.After)))
	}
	if r.Count > 0 {
		add("count", strconv.Itoa(r.Count))
	}
	add("note", r.Note)
	return strings.Join(parts, " ")
}
