//go:build ignore

package main

import (
	"fmt"
	"time"
)

const secondService = "dele69a"

// service: kept jobs wait for the one minion of a service that has the label they require. A
// configuration sends their queue to another service, which has idle minions with that label;
// then the first one is emptied and taken away. The jobs have to run.
func service(record string) {
	w := newWorld(record, []string{"tayside", "carrick", "ardmore"}, 8, 32000)
	for i, m := range w.minions {
		if i == 0 || i >= 16 {
			m.kind = "b"
		}
		if i >= 16 {
			m.service = secondService
		}
	}
	w.behavior = func(string, int, string) (time.Duration, string) { return 4 * time.Second, "done" }
	w.verbose = true
	w.store.put("op/config", serviceConfig(2, firstService))
	w.startAll()
	time.Sleep(2 * time.Second) // the entries with their labels are written again with each heartbeat
	var ids []string
	for i := range 6 {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		if w.submit(id, "calibrate", []step{{"count": 1, "cpu": 32000, "memMb": 64, "estMs": 4000, "requires": "b"}}, w.nodes...) {
			ids = append(ids, id)
		}
	}
	if w.trouble {
		time.Sleep(time.Second)
		w.store.put("op/config", serviceConfig(5, secondService))
		w.record("operator: version 5 sends the queue to %s", secondService)
		time.Sleep(2 * time.Second)
		w.minions[0].drain()
	}
	// finish_s is 14, the work of all jobs takes 24 s on one minion.
	time.Sleep(40 * time.Second)
	lost := w.starved(ids)
	w.finish(len(lost) > 0, "%d of %d accepted jobs have nothing running, 40 s after the end of the traffic, with 8 idle minions of the queue's service that have the label: %v", len(lost), len(ids), lost)
}

func serviceConfig(version int, service string) map[string]any {
	c := config(version, 4)
	c["routes"].([]any)[0].(map[string]any)["service"] = service
	second := map[string]any{"name": secondService, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false}
	c["services"] = append(c["services"].([]any), second)
	return c
}
