// Command kit2 runs one case of the review: kit2 CASE RECORD. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Case plays a case and returns how the rule was broken, empty if it held.
type Case func(rec *Record, trouble bool) (broken string, err error)

// limit is the longest time that a case may take.
const limit = 118 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE RECORD, in the top folder of the repository")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-time.After(limit):
		r.err = fmt.Errorf("the case took more than %v", limit)
	case <-interrupted:
		r.err = fmt.Errorf("interrupted")
	}
	stopAll()
	switch {
	case r.err != nil:
		rec.say("could not run: %v", r.err)
		return 2
	case r.broken != "":
		rec.say("broken: %s", r.broken)
		return 1
	}
	rec.say("held")
	return 0
}
