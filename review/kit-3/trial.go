//go:build ignore

package main

import (
	"fmt"
	"sync"
	"time"
)

// trial: two of 24 minions, those of a kind, fail all that they start for 6 s, and are sound again.
// Then the client cancels two of the six jobs that it had handed in, while they run. All else that
// it has handed in, and one job more 8 s later, has to run: both minions are idle and sound.
func trial(record string) {
	w := newWorld(record, []string{"tayside", "carrick", "ardmore"}, 8, 32000)
	for _, m := range w.minions {
		if m.id == "i-tayside00" || m.id == "i-tayside01" {
			m.kind = "b"
		}
	}
	var mu sync.Mutex
	grey := false
	w.behavior = func(string, int, string) (time.Duration, string) {
		mu.Lock()
		defer mu.Unlock()
		if grey {
			return 50 * time.Millisecond, "failed"
		}
		return 3 * time.Second, "done"
	}
	setGrey := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		grey = on
	}
	w.verbose = true
	w.startAll()
	steps := []step{{"count": 1, "cpu": 14000, "memMb": 64, "estMs": 3000, "requires": "b"}}
	var open []string
	hand := func() {
		id := fmt.Sprintf("5c0e7a21d94b%04x", len(open))
		if !w.submit(id, "calibrate", steps, w.nodes...) {
			check(fmt.Errorf("job %s was not accepted", id))
		}
		open = append(open, id)
	}
	if w.trouble {
		setGrey(true)
		w.record("the minions of kind b fail all that they start")
	}
	for range 6 {
		hand()
	}
	time.Sleep(6 * time.Second)
	setGrey(false)
	sound := time.Now()
	w.record("the minions of kind b are sound")
	cancelled := 0
	for cancelled < 2 && time.Since(sound) < 6*time.Second {
		time.Sleep(100 * time.Millisecond)
		for _, id := range w.running(sound, time.Second) {
			if cancelled < 2 {
				r := w.nodes[0].call("DELETE", prefix+id, nil, 3*time.Second)
				w.record("client: DELETE job %s at %s -> %d %s", id, w.nodes[0].name, r.status, r.body)
				cancelled++
			}
		}
	}
	time.Sleep(8 * time.Second)
	hand()
	// finish_s is 14, the work of a job takes 3 s.
	time.Sleep(30 * time.Second)
	lost := w.starved(open)
	w.finish(len(lost) > 0, "%d of %d accepted jobs have nothing running, 30 s after the end of the traffic, though both minions that can run them are sound and idle: %v", len(lost), len(open), lost)
}
