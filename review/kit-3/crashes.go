//go:build ignore

package main

import "time"

// crashes: the minion that runs the only task of a kept job crashes, three times, and comes back
// 4.5 s later. The route allows four attempts, and no run has ended `failed`.
func crashes(record string) {
	w := newWorld(record, []string{"tayside", "carrick", "ardmore"}, 8, 32000)
	w.behavior = func(string, int, string) (time.Duration, string) { return 7 * time.Second, "done" }
	w.verbose = true
	w.startAll()
	const id = "5c0e7a21d94b0000"
	if !w.submit(id, "calibrate", []step{{"count": 1, "cpu": 14000, "memMb": 64, "estMs": 7000}}, w.nodes...) {
		w.finish(false, "the job was not accepted")
	}
	crashed, state := 0, ""
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		w.mu.Lock()
		last := (*taskRun)(nil)
		for _, r := range w.runs {
			if r.how == "" && time.Since(r.startedAt) > 2*time.Second {
				last = r
			}
		}
		w.mu.Unlock()
		if w.trouble && last != nil && crashed < 3 {
			crashed++
			m := last.minion
			m.crash()
			time.AfterFunc(4500*time.Millisecond, m.start)
		}
		state = w.get(id, w.nodes[0]).state
		if state == "failed" || state == "completed" {
			break
		}
	}
	failed := 0
	for _, r := range w.runs {
		if r.how == "failed" {
			failed++
		}
	}
	w.finish(state == "failed" && failed < 4, "after %d crashes of minions and %d ends `failed`, of which the route allows 4, the job is shown as %s", crashed, failed, state)
}
