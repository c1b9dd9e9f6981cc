package table

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// maxNameBytes limits the length of each name in a key.
const maxNameBytes = 128

// Fault is one validation error of a change.
type Fault struct {
	Line   int    `json:"line,omitempty"` // line of the input file, if any
	Row    string `json:"row"`
	Column Column `json:"column"`
	What   string `json:"what"`
	Remedy string `json:"remedy"`
}

// String formats the fault on one line.
func (f Fault) String() string {
	text := "row " + f.Row + ", column " + string(f.Column) + ": " + f.What + "; " + f.Remedy
	if f.Line > 0 {
		text = "line " + strconv.Itoa(f.Line) + ": " + text
	}
	return text
}

// InvalidError reports all faults of an edit.
type InvalidError struct {
	Faults []Fault
}

// Error returns all faults, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return "the table edit is invalid:\n" + strings.Join(lines, "\n")
}

// RowConflict is a row that another edit changed first.
type RowConflict struct {
	Key     Key     `json:"key"`
	Base    uint64  `json:"base"`              // row version that the edit is based on
	Yours   *Values `json:"yours,omitempty"`   // nil: the edit removes the row
	Current *Row    `json:"current,omitempty"` // nil: the row was removed
	Actor   string  `json:"actor,omitempty"`   // author of the current version, if known
}

// String shows both versions of the row.
func (c RowConflict) String() string {
	text := fmt.Sprintf("row %v was changed since version %d: yours is %s, current is ", c.Key, c.Base, Describe(c.Yours))
	if c.Current == nil {
		return text + "removed"
	}
	text += fmt.Sprintf("%s (version %d", Describe(&c.Current.Values), c.Current.Version)
	if c.Actor != "" {
		text += " by " + c.Actor
	}
	return text + ")"
}

// Describe formats the set columns of a row; nil stands for a removed row.
func Describe(v *Values) string {
	if v == nil {
		return "removed"
	}
	var parts []string
	for _, f := range fields {
		if t := f.get(*v); t != "" {
			parts = append(parts, string(f.column)+"="+t)
		}
	}
	return strings.Join(parts, " ")
}

// ConflictError lists the rows that other edits changed first. No part of the
// edit took effect.
type ConflictError struct {
	Rows []RowConflict
}

// Error shows both versions of every conflicting row.
func (e *ConflictError) Error() string {
	lines := make([]string, 0, len(e.Rows)+1)
	for _, r := range e.Rows {
		lines = append(lines, r.String())
	}
	return strings.Join(lines, "\n") + "\nread the table again and repeat the edit on the current rows"
}

// Rules holds the validation rules that depend on the deployment.
type Rules struct {
	Domains []model.Domain // known failure domains; empty allows any name
}

// Check validates a set of changes and returns all faults.
func (r Rules) Check(changes []Change) []Fault {
	c := checker{rules: r, seen: make(map[Key]bool)}
	for _, ch := range changes {
		c.checkChange(ch)
	}
	return c.faults
}

type checker struct {
	rules  Rules
	seen   map[Key]bool
	faults []Fault
}

func (c *checker) addFault(k Key, col Column, what, remedy string) {
	c.faults = append(c.faults, Fault{Row: k.String(), Column: col, What: what, Remedy: remedy})
}

func (c *checker) checkChange(ch Change) {
	k := ch.Key
	if c.seen[k] {
		c.addFault(k, ColCustomer, "the row occurs twice", "keep one of the two")
		return
	}
	c.seen[k] = true
	c.checkKey(k)
	if ch.After == nil {
		return
	}
	v := *ch.After
	if v == (Values{}) {
		c.addFault(k, ColWeight, "no column has a value", "give a value or remove the row")
	}
	if k.Server != "" {
		c.checkServerValues(k, v)
		return
	}
	c.checkPolicyValues(k, v)
}

func (c *checker) checkKey(k Key) {
	if k.Server != "" {
		c.checkName(k, ColServer, string(k.Server))
		if k.Customer != "" || k.Domain != "" || k.Kind != "" {
			c.addFault(k, ColServer, "a backend server's row has no customer, domain or kind", "leave those columns empty")
		}
		return
	}
	c.checkName(k, ColCustomer, string(k.Customer))
	c.checkName(k, ColDomain, string(k.Domain))
	c.checkName(k, ColKind, string(k.Kind))
	known := c.rules.Domains
	if len(known) > 0 && k.Domain != Any && !slices.Contains(known, k.Domain) {
		c.addFault(k, ColDomain, fmt.Sprintf("no failure domain is named %q", k.Domain), fmt.Sprintf("use %s or one of %v", Any, known))
	}
}

func (c *checker) checkName(k Key, col Column, s string) {
	switch {
	case s == "":
		c.addFault(k, col, "the name is empty", "write a name or "+Any)
	case len(s) > maxNameBytes:
		c.addFault(k, col, "the name is too long", fmt.Sprintf("use at most %d bytes", maxNameBytes))
	case strings.TrimSpace(s) != s || strings.ContainsFunc(s, isForbiddenRune):
		c.addFault(k, col, fmt.Sprintf("the name %q has blanks at its ends, a slash or control characters", s), "remove them")
	case !strings.HasPrefix(s, Any) && strings.ContainsAny(s[:1], "=+-@"):
		c.addFault(k, col, fmt.Sprintf("a spreadsheet would take the name %q for a formula", s), "begin it with a letter or digit")
	}
}

func isForbiddenRune(r rune) bool {
	return r == '/' || r == unicode.ReplacementChar || unicode.IsControl(r)
}

func (c *checker) checkServerValues(k Key, v Values) {
	for _, f := range fields {
		if !f.forServer && f.get(v) != "" {
			c.addFault(k, f.column, "the column does not apply to a backend server", "leave it empty")
		}
	}
	if v.State != StateActive && v.State != StateDrained {
		c.addFault(k, ColState, fmt.Sprintf("unknown state %q", v.State), "use active or drained")
	}
}

func (c *checker) checkPolicyValues(k Key, v Values) {
	if v.State != "" {
		c.addFault(k, ColState, "only a backend server's row has a state", "leave it empty or name the server")
	}
	if v.Weight != nil && !(*v.Weight > 0 && *v.Weight <= MaxWeight) {
		c.addFault(k, ColWeight, floatText(v.Weight)+" is out of range", fmt.Sprintf("use a weight above 0 and up to %v", MaxWeight))
	}
	checkBound(c, k, ColConcurrency, v.Concurrency, MaxConcurrency)
	checkBound(c, k, ColRate, v.Rate, MaxRate)
	checkBound(c, k, ColQueueBound, v.QueueBound, MaxQueueBound)
	checkBound(c, k, ColDeadlineMs, v.DeadlineMs, MaxDeadlineMs)
}

func checkBound[T int | int64 | float64](c *checker, k Key, col Column, v *T, limit T) {
	if v != nil && !(*v >= 0 && *v <= limit) {
		c.addFault(k, col, fmt.Sprintf("%v is out of range", *v), fmt.Sprintf("use 0 for unlimited, or up to %v", limit))
	}
}

// Conflicts returns the changes whose base differs from the row's current
// version. A row last written by the same edit is not a conflict.
func (s *Snapshot) Conflicts(editID string, changes []Change) []RowConflict {
	var list []RowConflict
	for _, c := range changes {
		r, ok := s.rows[c.Key]
		if r.Version == c.Base || (ok && r.EditID == editID) {
			continue
		}
		conflict := RowConflict{Key: c.Key, Base: c.Base, Yours: c.After}
		if ok {
			conflict.Current = &r
		}
		list = append(list, conflict)
	}
	return list
}
