package coretest

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// runUntil advances virtual time until a condition holds.
func (w *world) runUntil(what string, limit time.Duration, holds func() bool) {
	w.t.Helper()
	for end := w.now.Add(limit); !holds(); {
		if w.now >= end {
			w.fail("setup: no %s in time", what)
		}
		w.run(time.Millisecond)
	}
}

// submitToShard0 submits jobs of a few tasks until n of them belong to shard 0.
func submitToShard0(w *world, at *proc, n int) []*job {
	var list []*job
	for len(list) < n {
		j := w.newJob("a", 3, false, 0)
		j.submit(at)
		if at.core.ShardOf(j.spec.Identity).Index == 0 {
			list = append(list, j)
		}
	}
	return list
}

// TestResultsLostBeforeHandover hands a shard over twice while tasks of its first
// owner run. Their results are sent after the second owner has sealed the shard,
// and are lost in session resets; the third owner must still get them.
func TestResultsLostBeforeHandover(t *testing.T) {
	w := newWorld(t, 1)
	first, second, third := successiveOwners(w)
	w.maxRunMs = 9000
	jobs := submitToShard0(w, first, 3)
	w.run(100 * time.Millisecond)
	w.boot(second)
	w.runUntil("first handover", 6*time.Second, func() bool { return ownerOf(w, 0) == second.proc })
	w.boot(third)
	w.runUntil("copy to the third owner", 6*time.Second, func() bool {
		return replicaOf(w, 0) == third.proc && ownerOf(w, 0) == second.proc
	})
	w.platform.delayedWriter = second.proc
	w.runUntil("seal", time.Second, func() bool { return len(w.platform.delayedWrites) > 0 })
	w.resultLossPercent = 100
	w.run(10 * time.Second) // all tasks end meanwhile
	w.resultLossPercent = 0
	w.maxRunMs = 400 // for tasks that haven't started yet
	w.platform.delayedWriter = nil
	for _, apply := range w.platform.delayedWrites {
		apply()
	}
	w.runUntil("second handover", 6*time.Second, func() bool { return ownerOf(w, 0) == third.proc })
	w.run(3 * time.Second)
	for _, j := range jobs {
		if j.final.GetStatus() != peerpb.Status_STATUS_COMPLETE {
			w.fail("%s: answered %v, want complete", j.name, j.final)
		}
	}
	finish(w)
}

// successiveOwners leaves one instance that owns every shard of domain a. It
// returns that instance, and the hosts that own shard 0 after the second one,
// and then both, have been started.
func successiveOwners(w *world) (first *proc, second, third *host) {
	third = ownerOf(w, 0).host
	second = replicaOf(w, 0).host
	for _, h := range w.hosts[:3] {
		if h != second && h != third {
			first = h.proc
		}
	}
	second.proc.kill()
	third.proc.kill()
	w.runUntil("lone owner", 20*time.Second, func() bool { return ownerOf(w, 0) == first && ownerOf(w, 1) == first })
	w.run(4 * maxClockSkew) // past the admission floor
	return first, second, third
}
