// Command duplicate fails if a tree of Go files has duplicate code.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/nutmegweir/nutmegweir/internal/duplicate"
)

type options struct {
	Dir   string `arg:"positional" default:"." help:"top of the tree"`
	Lines int    `arg:"--lines" default:"6" help:"lines of functions that two places have to share, without comments and lone punctuation"`
}

func main() {
	var o options
	arg.MustParse(&o)
	pairs, err := duplicate.Find(o.Dir, o.Lines)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, p := range pairs {
		fmt.Printf("%s and %s share %d lines; extract the shared code\n", p.A, p.B, p.Lines)
	}
	if len(pairs) > 0 {
		os.Exit(1)
	}
}
