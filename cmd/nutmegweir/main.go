// Command nutmegweir runs an entry instance, the stand-ins, or the whole path
// in one process.
package main

import (
	"os"

	"github.com/nutmegweir/nutmegweir/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
