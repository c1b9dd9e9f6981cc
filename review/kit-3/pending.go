//go:build ignore

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// pending: the three large minions of 24 lose power for good. Three kept jobs whose tasks fit only
// on such a minion are handed in right after; none of them ever starts. Each instance is asked for the queue's
// number of accepted jobs that have not begun, from visible_ms and 2 s after their acceptance on.
func pending(record string) {
	w := newWorld(record, []string{"tayside", "carrick", "ardmore"}, 8, 32000)
	for i, m := range w.minions {
		if i < 3 {
			m.cpu = 48000
		}
	}
	w.behavior = func(string, int, string) (time.Duration, string) { return 500 * time.Millisecond, "done" }
	w.verbose = true
	w.startAll()
	time.Sleep(2 * time.Second)
	if w.trouble {
		for _, m := range w.minions[:3] {
			m.powerOff()
		}
	}
	accepted := 0
	for k := range 3 {
		if w.submit(fmt.Sprintf("5c0e7a21d94b%04x", k), "calibrate", []step{{"count": 1, "cpu": 40000, "memMb": 64, "estMs": 500}}, w.nodes...) {
			accepted++
		}
	}
	time.Sleep(6 * time.Second)
	wrong := []string{}
	for range 5 {
		begun := map[string]bool{}
		w.mu.Lock()
		for _, r := range w.runs {
			begun[r.task[:16]] = true
		}
		w.mu.Unlock()
		waiting := accepted - len(begun)
		for _, n := range w.nodes {
			r := n.call("GET", prefix, nil, 3*time.Second)
			var b struct {
				Pending int `json:"pending"`
			}
			w.record("client: GET the queue at %s -> %d %s; %d accepted jobs have not begun", n.name, r.status, r.body, waiting)
			if r.status == 200 && json.Unmarshal([]byte(r.body), &b) == nil && 2*b.Pending < waiting {
				wrong = append(wrong, fmt.Sprintf("%s: %d of %d", n.name, b.Pending, waiting))
			}
		}
		w.get("5c0e7a21d94b0000", w.nodes[0])
		time.Sleep(time.Second)
	}
	w.finish(len(wrong) > 0, "%d jobs accepted; answers that give under half of those that have not begun: %v", accepted, wrong)
}
