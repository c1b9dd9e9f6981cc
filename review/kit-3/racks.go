//go:build ignore

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// racks: kept jobs of two steps, each of which requires the label of a rack, some in one zone and
// some in two. The only instance of one of the zones is stopped with SIGTERM and started again.
// Whatever is accepted has to run to its end.
func racks(record string) {
	w := newWorld(record, []string{"tayside", "carrick", "ardmore"}, 6, 32000)
	w.behavior = func(task string, _ int, _ string) (time.Duration, string) {
		if strings.Contains(task, ".0.0.") {
			return 5 * time.Second, "done"
		}
		return time.Second, "done"
	}
	w.verbose = true
	w.startAll()
	carrick := w.nodes[1]
	var ids []string
	handed := 0
	submit := func(n *node, first, second string) {
		handed++
		id := fmt.Sprintf("5c0e7a21%08x", handed)
		r := n.call("POST", prefix+id, map[string]any{"spec": "calibrate", "steps": []step{
			{"count": 1, "cpu": 4000, "memMb": 64, "estMs": 5000, "requires": first},
			{"count": 1, "cpu": 4000, "memMb": 64, "estMs": 1000, "requires": second, "after": []int{0}},
		}}, 4*time.Second)
		w.record("client: POST job %s to %s (%s, then %s) -> %d %s", id, n.name, first, second, r.status, r.body)
		if r.status == 200 {
			ids = append(ids, id)
		}
	}
	hand := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
			submit(w.nodes[0], "r-tayside-0", "r-tayside-0")
			submit(w.nodes[0], "r-tayside-0", "r-carrick-0")
			submit(w.nodes[2], "r-ardmore-0", "r-carrick-0")
		}
	}
	if w.trouble {
		carrick.signal(syscall.SIGTERM)
		exited := carrick.exited
		go func() {
			select {
			case <-exited:
			case <-time.After(6 * time.Second):
				carrick.kill()
			}
			time.Sleep(500 * time.Millisecond)
			carrick.start()
		}()
	}
	hand(8 * time.Second)
	w.record("the traffic ends; %d jobs were accepted", len(ids))
	w.awaitReady(w.nodes...)
	// finish_s is 14, the work of a job takes 6 s.
	time.Sleep(30 * time.Second)
	lost := w.starved(ids)
	w.finish(len(lost) > 0, "%d of %d accepted jobs have nothing running, 30 s after the end of the traffic, with all minions idle: %v", len(lost), len(ids), lost)
}
