// Command nutmegweir runs an entry instance, a stand-in for tests, or a complete
// demo deployment in one process.
package main

import (
	"os"

	"github.com/nutmegweir/nutmegweir/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
