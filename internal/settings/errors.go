package settings

import (
	"fmt"
	"strings"
)

// FieldError is one error in a settings file.
type FieldError struct {
	File    string // name of the file
	Line    int    // from 1, 0 if the field is missing
	Field   string // path such as "listen.caller", empty for the whole file
	Message string // what is wrong
	Remedy  string // what to do
}

// Error returns "file:line: field: message; remedy".
func (e *FieldError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(e.Message + "; " + e.Remedy)
	return b.String()
}

// Errors are all errors in a settings file, in line order.
type Errors []*FieldError

// Error returns one error per line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
