//go:build ignore

// Command case plays a case of the third review: it starts instances of nutmegweir fleet
// against stand-ins of the store, the minions and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(record string){
	"crashes": crashes,
	"pending": pending,
	"racks":   racks,
	"service": service,
	"trial":   trial,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2])
}
