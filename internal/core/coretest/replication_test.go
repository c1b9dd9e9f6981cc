package coretest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// fault is a row of the fault table.
type fault struct {
	name  string
	begin func(w *world)
	end   func(w *world)
}

func none(*world) {}

// ownerOf returns the process that owns a shard of domain a according to the
// platform's document, or else the first process.
func ownerOf(w *world, shard int) *proc {
	for _, p := range w.running() {
		if p.member == w.platform.viewsOf("a").Doc.Shards[shard].Owner() {
			return p
		}
	}
	return w.running()[0]
}

func replicaOf(w *world, shard int) *proc {
	members := w.platform.viewsOf("a").Doc.Shards[shard].Members
	for _, p := range w.running() {
		if len(members) > 1 && p.member == members[1] {
			return p
		}
	}
	return w.running()[0]
}

func bootAll(w *world) {
	for _, h := range w.hosts {
		if h.proc == nil {
			w.boot(h)
		}
	}
}

func resumeAll(w *world) {
	for _, p := range w.running() {
		p.resume()
	}
}

// forOwnerAndReplica applies an action to the owner and the replica of shard 0
// of domain a.
func forOwnerAndReplica(w *world, do func(*proc)) {
	first := ownerOf(w, 0)
	second := replicaOf(w, 0)
	do(first)
	do(second)
}

// faults is the fault table.
var faults = []fault{
	{"kill owner", func(w *world) { ownerOf(w, 0).kill() }, bootAll},
	{"kill replica", func(w *world) { replicaOf(w, 1).kill() }, bootAll},
	{"kill domain", func(w *world) {
		for _, p := range w.running() {
			if p.host.domain == "a" {
				p.kill()
			}
		}
	}, bootAll},
	{"stop owner", func(w *world) { ownerOf(w, 0).stop() }, bootAll},
	{"pause owner", func(w *world) { ownerOf(w, 0).pause() }, resumeAll},
	{"pause owner before its effects", func(w *world) { ownerOf(w, 1).pauseAfterStep = true }, resumeAll},
	{"pause replica", func(w *world) { replicaOf(w, 0).pause() }, resumeAll},
	{"pause domain", func(w *world) {
		for _, p := range w.running() {
			if p.host.domain == "a" {
				p.pauseAfterStep = true
			}
		}
	}, resumeAll},
	{"cut domain", func(w *world) { w.isolated["b"] = true }, func(w *world) { w.isolated["b"] = false }},
	{"platform outage", func(w *world) { w.platform.down = true }, func(w *world) { w.platform.down = false }},
	{"late writes", func(w *world) { w.platform.lateWritePercent = 60 }, func(w *world) { w.platform.lateWritePercent = 0 }},
	{"slow links", func(w *world) { w.slowLinks = true }, func(w *world) { w.slowLinks = false }},
	{"link resets", func(w *world) {
		for _, p := range w.running() {
			for _, l := range p.ordered() {
				l.resetSession()
			}
		}
	}, none},
	{"failing servers", func(w *world) { w.serverFaultPercent = 50 }, func(w *world) { w.serverFaultPercent = 0 }},
	{"lost results", func(w *world) { w.resultLossPercent = 60 }, func(w *world) { w.resultLossPercent = 0 }},
	{"kill rack", func(w *world) { forOwnerAndReplica(w, (*proc).kill) }, bootAll},
	{"pause rack", func(w *world) { forOwnerAndReplica(w, (*proc).pause) }, resumeAll},
	{"stop rack", func(w *world) { forOwnerAndReplica(w, (*proc).stop) }, bootAll},
}

// load submits jobs at random intervals, some of them twice.
func load(w *world, n int) {
	for range n {
		home := model.Domain("a")
		if w.chance(25) {
			home = "b"
		}
		j := w.newJob(home, 1+w.rng.IntN(6), w.chance(30), 0)
		if w.chance(20) {
			j.spec.Kind = boundedKind
		}
		for range 1 + w.rng.IntN(2) {
			// A caller that was told "not run" uses a new key.
			if list := w.running(); len(list) > 0 && !j.toldNotRun {
				j.submit(list[w.rng.IntN(len(list))])
			}
			w.run(w.between(0, 60))
		}
		if j.copies == 0 {
			j.retry(time.Second)
		}
	}
}

// finish ends all faults and checks that all requests are answered and new jobs
// complete.
func finish(w *world) {
	w.heal()
	w.run(40 * time.Second)
	w.checkAnswered()
	w.checkServing()
	w.run(10 * time.Second)
	w.checkAnswered()
}

func runFaults(t *testing.T, seed uint64, list ...fault) {
	runFaultsIn(newWorld(t, seed), list...)
}

func runFaultsIn(w *world, list ...fault) {
	load(w, 8)
	for _, f := range list {
		w.tracef("begin %s", f.name)
		f.begin(w)
		load(w, 6)
	}
	// Longer than the silence bound and a lease, so that members are replaced.
	load(w, 60)
	w.run(sessionTTL / 2)
	for _, f := range list {
		w.tracef("end %s", f.name)
		f.end(w)
		load(w, 6)
	}
	finish(w)
}

// TestDeterminism checks that equal inputs produce equal traces.
func TestDeterminism(t *testing.T) {
	trace := func() []string {
		w := newWorld(t, 1)
		w.serverFaultPercent = 30
		w.platform.lateWritePercent = 30
		load(w, 20)
		ownerOf(w, 0).kill()
		load(w, 20)
		finish(w)
		return w.trace
	}
	if a, b := trace(), trace(); !slices.Equal(a, b) {
		t.Fatal("two runs with the same seed differ")
	}
}

// TestPausedLoneOwner pauses an owner without a replica until another instance
// replaces it without its records, then submits the same keys to both while the
// old owner can't learn of its successor.
func TestPausedLoneOwner(t *testing.T) {
	w, old, successor := loneOwner(t)
	w.run(sessionTTL + 2*silenceBound)
	if ownerOf(w, 0) != successor || ownerOf(w, 1) != successor {
		w.fail("setup: no takeover from a silent lone owner")
	}
	w.run(4 * maxClockSkew) // past the admission floor
	w.platform.down = true
	old.resume()
	submitToBoth(w, old, successor)
}

// TestLateWriteAfterPause applies a successor's delayed write after the old
// owner has resumed from its pause and read the views.
func TestLateWriteAfterPause(t *testing.T) {
	w, old, successor := loneOwner(t)
	w.platform.delayedWriter = successor
	w.run(sessionTTL + 2*silenceBound)
	if len(w.platform.delayedWrites) == 0 {
		w.fail("setup: no takeover write")
	}
	old.resume()
	w.run(200 * time.Millisecond)
	w.platform.isolatedProc = old
	for _, apply := range w.platform.delayedWrites {
		apply()
	}
	w.run(4 * maxClockSkew) // past the admission floor
	submitToBoth(w, old, successor)
}

// loneOwner returns a paused owner without a replica, and its successor.
func loneOwner(t *testing.T) (w *world, old, successor *proc) {
	w = newWorld(t, 1)
	for _, h := range w.hosts[1:3] {
		h.proc.kill()
	}
	w.run(time.Second)
	old = w.hosts[0].proc
	old.pause()
	w.boot(w.hosts[1])
	return w, old, w.hosts[1].proc
}

// submitToBoth submits the same keys to two instances that may both consider
// themselves the owner.
func submitToBoth(w *world, old, successor *proc) {
	var jobs []*job
	for range 2 * shardsPerDomain {
		j := w.newJob("a", 1, false, 0)
		j.submit(successor)
		j.submit(old)
		jobs = append(jobs, j)
	}
	w.run(2 * time.Second)
	for _, j := range jobs {
		if w.starts[j.task(0)] != 1 {
			w.fail("%s: %d starts, want 1", j.name, w.starts[j.task(0)])
		}
	}
	finish(w)
}

func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedsPerFault) {
				runFaults(t, seed+1, f)
			}
		})
	}
}

// TestFaultsOfFour runs four instances in domain a, so that two remain after
// the loss of two.
func TestFaultsOfFour(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedsPerFault) {
				runFaultsIn(newWorldOf(t, seed+1, "a", "a", "a", "a", "b"), f)
			}
		})
	}
}

func TestFaultPairs(t *testing.T) {
	for i, f := range faults {
		for j, g := range faults {
			if i == j {
				continue
			}
			t.Run(fmt.Sprint(f.name, ", ", g.name), func(t *testing.T) {
				t.Parallel()
				runFaults(t, uint64(100*i+j+1), f, g)
			})
		}
	}
}

const seedsPerFault = 3
