// Package duplicate finds duplicate code in a tree of Go files.
//
// Two regions are duplicates if they have the same tokens on a minimum number of
// consecutive lines. Only lines of functions count, without comments, white space
// and lines of only punctuation. Tests and generated files are skipped.
package duplicate

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

// Region is a range of lines of a file.
type Region struct {
	File  string
	First int
	Last  int
}

// String implements fmt.Stringer.
func (r Region) String() string { return fmt.Sprintf("%s:%d-%d", r.File, r.First, r.Last) }

// Pair is two regions with the same code.
type Pair struct {
	A, B  Region
	Lines int // number of lines that count
}

// Find returns the pairs of regions below dir that share at least minLines lines.
func Find(dir string, minLines int) ([]Pair, error) {
	var all []source
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != dir && skipDir(d.Name()) {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		s, err := readSource(path)
		all = append(all, s)
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "read the Go files; correct those that do not parse")
	}
	return findPairs(all, minLines), nil
}

func skipDir(name string) bool {
	return strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_") || name == "testdata" || name == "vendor"
}

// source is a file with its lines that count.
type source struct {
	file  string
	lines []line
}

// line is a line of code. Its text consists of its tokens.
type line struct {
	number int
	text   string
}

func readSource(path string) (source, error) {
	s := source{file: path}
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	files := token.NewFileSet()
	f, err := parser.ParseFile(files, path, text, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil || ast.IsGenerated(f) {
		return s, err
	}
	lines := scanLines(text)
	for _, d := range f.Decls {
		if fn, ok := d.(*ast.FuncDecl); ok {
			s.lines = append(s.lines, linesBetween(lines, files.Position(fn.Pos()).Line, files.Position(fn.End()).Line)...)
		}
	}
	return s, nil
}

// linesBetween returns the lines that count from first to last.
func linesBetween(lines []line, first, last int) []line {
	var list []line
	for _, l := range lines {
		if l.number >= first && l.number <= last && strings.ContainsFunc(l.text, isWord) {
			list = append(list, l)
		}
	}
	return list
}

// isWord reports whether a character occurs only in names, numbers or strings.
func isWord(r rune) bool {
	return unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("_\"'`", r)
}

// scanLines returns the lines of a file that have tokens.
func scanLines(text []byte) []line {
	var lines []line
	files := token.NewFileSet()
	f := files.AddFile("", files.Base(), len(text))
	var sc scanner.Scanner
	sc.Init(f, text, nil, 0)
	for {
		pos, tok, lit := sc.Scan()
		if tok == token.EOF {
			return lines
		}
		if tok == token.SEMICOLON && lit == "\n" {
			continue
		}
		if lit == "" {
			lit = tok.String()
		}
		n := f.Line(pos)
		if len(lines) == 0 || lines[len(lines)-1].number != n {
			lines = append(lines, line{number: n})
		}
		lines[len(lines)-1].text += lit + " "
	}
}

// position is the position of a line in a source.
type position struct{ source, line int }

// findPairs compares all windows of minLines lines.
func findPairs(all []source, minLines int) []Pair {
	seen := make(map[string][]position)
	var found []Pair
	for n, s := range all {
		for i := range len(s.lines) - minLines + 1 {
			at := position{n, i}
			key := joinLines(s.lines[i : i+minLines])
			for _, earlier := range seen[key] {
				if p, ok := longestMatch(all, earlier, at, minLines); ok {
					found = append(found, p)
				}
			}
			seen[key] = append(seen[key], at)
		}
	}
	slices.SortStableFunc(found, func(a, b Pair) int { return cmp.Compare(b.Lines, a.Lines) })
	return found
}

func joinLines(lines []line) string {
	var b strings.Builder
	for _, l := range lines {
		b.WriteString(l.text)
		b.WriteByte('\n')
	}
	return b.String()
}

// longestMatch returns the longest match that starts at two positions. It is false
// if an earlier pair includes the match, or if the regions overlap.
func longestMatch(all []source, a, b position, minLines int) (Pair, bool) {
	x, y := all[a.source], all[b.source]
	if a.line > 0 && b.line > 0 && x.lines[a.line-1].text == y.lines[b.line-1].text {
		return Pair{}, false
	}
	n := 0
	for a.line+n < len(x.lines) && b.line+n < len(y.lines) && x.lines[a.line+n].text == y.lines[b.line+n].text {
		n++
	}
	if a.source == b.source {
		n = min(n, b.line-a.line)
	}
	return Pair{A: x.region(a.line, n), B: y.region(b.line, n), Lines: n}, n >= minLines
}

func (s source) region(first, n int) Region {
	return Region{File: s.file, First: s.lines[first].number, Last: s.lines[first+n-1].number}
}
