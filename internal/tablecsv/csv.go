// Package tablecsv reads and writes the table as CSV, in the variants that
// spreadsheet programs produce.
package tablecsv

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Limits of input files.
const (
	MaxFileBytes = 16 << 20
	maxRows      = 100_000
	maxFaults    = 100 // reading stops after this many
)

const byteOrderMark = "\xef\xbb\xbf"

var keyColumns = []table.Column{table.ColCustomer, table.ColDomain, table.ColKind, table.ColServer}

// header returns the columns in the order that Write uses.
func header() []table.Column {
	return append(append(slices.Clone(keyColumns), table.ValueColumns()...), table.ColVersion)
}

// Write writes a header and rows with commas and CRLF line endings.
func Write(w io.Writer, rows []table.Row) error {
	cw := csv.NewWriter(w)
	cw.UseCRLF = true
	cols := header()
	record := make([]string, len(cols))
	for i, c := range cols {
		record[i] = string(c)
	}
	if err := cw.Write(record); err != nil {
		return err
	}
	for _, r := range rows {
		for i, c := range cols {
			record[i] = cellText(r, c)
		}
		if err := cw.Write(record); err != nil {
			return err
		}
	}
	cw.Flush()
	return cw.Error()
}

func cellText(r table.Row, c table.Column) string {
	switch c {
	case table.ColCustomer:
		return string(r.Customer)
	case table.ColDomain:
		return string(r.Domain)
	case table.ColKind:
		return string(r.Kind)
	case table.ColServer:
		return string(r.Server)
	case table.ColVersion:
		return strconv.FormatUint(r.Version, 10)
	}
	return r.Text(c)
}

// Read parses rows. Columns may be in any order; the delimiter is a comma, a
// semicolon or a tab, detected from the header. An empty version means a new
// row. The error is a *table.InvalidError that lists all faults by line.
func Read(in []byte) ([]table.Row, error) {
	rd, err := newReader(in)
	if err != nil {
		return nil, err
	}
	var rows []table.Row
	for {
		r, more := rd.next()
		if !more {
			break
		}
		if r != nil {
			rows = append(rows, *r)
		}
	}
	if len(rd.faults) > 0 {
		return nil, &table.InvalidError{Faults: rd.faults}
	}
	return rows, nil
}

type reader struct {
	csv    *csv.Reader
	cols   []table.Column
	seen   map[table.Key]int // line of each row
	faults []table.Fault
}

func headerError(line int, col table.Column, what, remedy string) error {
	return &table.InvalidError{Faults: []table.Fault{{Line: line, Row: "header", Column: col, What: what, Remedy: remedy}}}
}

func newReader(in []byte) (*reader, error) {
	if len(in) > MaxFileBytes {
		return nil, headerError(1, "", "the file is too large", fmt.Sprintf("split it into files of at most %d bytes", MaxFileBytes))
	}
	in = bytes.TrimPrefix(in, []byte(byteOrderMark))
	if !utf8.Valid(in) {
		return nil, headerError(1, "", "the file is not UTF-8", "save it as CSV UTF-8")
	}
	cr := csv.NewReader(bytes.NewReader(in))
	cr.FieldsPerRecord = -1
	cr.Comma = delimiter(in)
	rd := &reader{csv: cr, seen: make(map[table.Key]int)}
	names, err := cr.Read()
	if err != nil {
		return nil, headerError(1, "", "there is no header: "+err.Error(), "begin the file with the column names, as an export has them")
	}
	return rd, rd.readHeader(names)
}

// delimiter returns the delimiter used in the header.
func delimiter(in []byte) rune {
	line, _, _ := bytes.Cut(in, []byte("\n"))
	switch {
	case bytes.ContainsRune(line, ';'):
		return ';'
	case bytes.ContainsRune(line, '\t'):
		return '\t'
	}
	return ','
}

func (rd *reader) readHeader(names []string) error {
	known := header()
	for _, n := range names {
		c := table.Column(strings.ToLower(strings.TrimSpace(n)))
		if !slices.Contains(known, c) {
			return headerError(1, c, "unknown column", fmt.Sprintf("use the columns %v", known))
		}
		if slices.Contains(rd.cols, c) {
			return headerError(1, c, "the column occurs twice", "remove one of the two")
		}
		rd.cols = append(rd.cols, c)
	}
	for _, c := range append(slices.Clone(keyColumns), table.ColVersion) {
		if c != table.ColServer && !slices.Contains(rd.cols, c) {
			return headerError(1, c, "the column is missing", "begin from a fresh export, which has every column")
		}
	}
	return nil
}

// next reads one row. It returns nil for an empty or invalid row.
func (rd *reader) next() (*table.Row, bool) {
	record, err := rd.csv.Read()
	if err == io.EOF || len(rd.faults) >= maxFaults {
		return nil, false
	}
	if err != nil {
		rd.addParseFault(err)
		return nil, false
	}
	line, _ := rd.csv.FieldPos(0)
	if !slices.ContainsFunc(record, func(s string) bool { return strings.TrimSpace(s) != "" }) {
		return nil, true
	}
	row, ok := rd.parseRow(line, record)
	if !ok {
		return nil, true
	}
	if first, twice := rd.seen[row.Key]; twice {
		rd.addFault(line, row, table.ColCustomer, fmt.Sprintf("the row stands already in line %d", first), "keep one of the two")
		return nil, true
	}
	rd.seen[row.Key] = line
	if len(rd.seen) > maxRows {
		rd.addFault(line, row, "", "the file has too many rows", fmt.Sprintf("split it into files of at most %d rows", maxRows))
		return nil, false
	}
	return &row, true
}

func (rd *reader) addParseFault(err error) {
	f := table.Fault{Row: "unknown", What: err.Error(), Remedy: "quote fields that hold quotes or line breaks, and double the quotes in them"}
	var pe *csv.ParseError
	if errors.As(err, &pe) {
		f.Line, f.What = pe.Line, pe.Err.Error()
	}
	rd.faults = append(rd.faults, f)
}

func (rd *reader) addFault(line int, r table.Row, c table.Column, what, remedy string) {
	rd.faults = append(rd.faults, table.Fault{Line: line, Row: r.Key.String(), Column: c, What: what, Remedy: remedy})
}

func (rd *reader) parseRow(line int, record []string) (table.Row, bool) {
	var r table.Row
	before := len(rd.faults)
	if len(record) != len(rd.cols) {
		what := fmt.Sprintf("the line has %d fields, the header %d", len(record), len(rd.cols))
		rd.addFault(line, r, "", what, "write one field a column; a decimal comma also splits a field, use a point")
		return r, false
	}
	for i, c := range rd.cols {
		setKey(&r.Key, c, strings.TrimSpace(record[i]))
	}
	for i, c := range rd.cols {
		rd.parseValue(line, &r, c, strings.TrimSpace(record[i]))
	}
	return r, len(rd.faults) == before
}

func setKey(k *table.Key, c table.Column, s string) {
	switch c {
	case table.ColCustomer:
		k.Customer = model.Customer(s)
	case table.ColDomain:
		k.Domain = model.Domain(s)
	case table.ColKind:
		k.Kind = model.Kind(s)
	case table.ColServer:
		k.Server = model.ServerID(s)
	}
}

func (rd *reader) parseValue(line int, r *table.Row, c table.Column, s string) {
	if slices.Contains(keyColumns, c) {
		return
	}
	if c != table.ColVersion {
		if err := r.SetText(c, s); err != nil {
			rd.addFault(line, *r, c, err.Error(), "correct the field")
		}
		return
	}
	if s == "" {
		return
	}
	version, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		rd.addFault(line, *r, c, fmt.Sprintf("%q is no version", s), "take the version from a fresh export, or leave it empty for a new row")
		return
	}
	r.Version = version
}
