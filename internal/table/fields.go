package table

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Upper bounds of the columns.
const (
	MaxWeight      = 1e6
	MaxConcurrency = 1_000_000
	MaxRate        = 1e6       // task starts per second
	MaxQueueBound  = 1_000_000 // tasks
	MaxDeadlineMs  = 24 * 60 * 60 * 1000
)

// field converts one value column to and from text.
type field struct {
	column      Column
	forServer   bool // applies to rows of backend servers
	defaultText string
	get         func(Values) string // empty if unset
	set         func(*Values, string) error
}

var fields = []field{
	{ColWeight, false, "1", func(v Values) string { return floatText(v.Weight) }, func(v *Values, s string) (err error) {
		v.Weight, err = parseFloat(s)
		return err
	}},
	{ColConcurrency, false, "0", func(v Values) string { return intText(v.Concurrency) }, func(v *Values, s string) (err error) {
		v.Concurrency, err = parseInt[int](s)
		return err
	}},
	{ColRate, false, "0", func(v Values) string { return floatText(v.Rate) }, func(v *Values, s string) (err error) {
		v.Rate, err = parseFloat(s)
		return err
	}},
	{ColQueueBound, false, "0", func(v Values) string { return intText(v.QueueBound) }, func(v *Values, s string) (err error) {
		v.QueueBound, err = parseInt[int](s)
		return err
	}},
	{ColDeadlineMs, false, "0", func(v Values) string { return intText(v.DeadlineMs) }, func(v *Values, s string) (err error) {
		v.DeadlineMs, err = parseInt[int64](s)
		return err
	}},
	{ColState, true, "", func(v Values) string { return string(v.State) }, func(v *Values, s string) error {
		v.State = ServiceState(s)
		return nil
	}},
}

// ValueColumns returns the value columns in order.
func ValueColumns() []Column {
	cols := make([]Column, 0, len(fields))
	for _, f := range fields {
		cols = append(cols, f.column)
	}
	return cols
}

// Text returns a column's value as text, empty if it is unset.
func (v Values) Text(c Column) string {
	if f, ok := fieldOf(c); ok {
		return f.get(v)
	}
	return ""
}

// SetText sets a column from text; empty text unsets it.
func (v *Values) SetText(c Column, text string) error {
	f, ok := fieldOf(c)
	if !ok {
		return errors.Errorf("no column %q; use one of %s", c, columnList())
	}
	return f.set(v, text)
}

func fieldOf(c Column) (field, bool) {
	for _, f := range fields {
		if f.column == c {
			return f, true
		}
	}
	return field{}, false
}

func columnList() string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, string(f.column))
	}
	return strings.Join(names, ", ")
}

func floatText(p *float64) string {
	if p == nil {
		return ""
	}
	return strconv.FormatFloat(*p, 'f', -1, 64)
}

func intText[T int | int64](p *T) string {
	if p == nil {
		return ""
	}
	return strconv.FormatInt(int64(*p), 10)
}

func parseFloat(s string) (*float64, error) {
	if s == "" {
		return nil, nil
	}
	if strings.Contains(s, ",") {
		return nil, errors.Errorf("%q has a comma; write the decimal separator as a point and leave out thousands separators", s)
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return nil, errors.Errorf("%q is no number; write it like 2 or 0.5", s)
	}
	return &f, nil
}

func parseInt[T int | int64](s string) (*T, error) {
	if s == "" {
		return nil, nil
	}
	if strings.Contains(s, ",") {
		return nil, errors.Errorf("%q has a comma; write a whole number without separators", s)
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return nil, errors.Errorf("%q is no whole number; write it like 20", s)
	}
	t := T(n)
	return &t, nil
}
