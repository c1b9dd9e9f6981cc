// Command kit plays the scripted cases of the review: it starts instances of the system as
// processes of their own, and stand-ins of the platform's store, the minions and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(*test){
	"two-holders": twoHolders,
	"scale-in":    scaleIn,
	"trial":       trial,
	"suspect":     suspect,
	"pending":     pending,
	"kind":        kind,
	"restart":     restart,
}

// limit is the longest that a case may take.
const limit = 110 * time.Second

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the repository, with target/ built")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Println("no such case:", *name)
		os.Exit(2)
	}
	if _, err := os.Stat(*root + "/target/nutmegweir"); err != nil {
		fmt.Println("couldn't run:", err)
		os.Exit(2)
	}
	t := newTest(*root, *record, os.Getenv("TROUBLE") != "0")
	time.AfterFunc(limit, func() { t.broken("it took longer than %v", limit) })
	play(t)
}
