package ingress

import (
	"testing"
	"time"
)

const second = time.Second

// progressing marks a body that has just made progress.
const progressing = phaseServing + 1

// testLedger returns a ledger with entries in the given phases and with the given bytes
// held; the nth made its last progress at n seconds.
func testLedger(l Limits, phases []phase, held []int64) (*ledger, []*entry) {
	led := newLedger(l)
	var list []*entry
	for n, p := range phases {
		e, _ := led.admit(0)
		e.enter(p, time.Duration(n)*second)
		led.hold(e, held[n])
		list = append(list, e)
	}
	return led, list
}

// TestVictims guards against a budget or a limit of connections that ordinary requests
// can't get past, and against giving up requests that run or still arrive.
func TestVictims(t *testing.T) {
	const budget, large = 400_000, 100_000
	cases := []struct {
		name   string
		phases []phase
		held   []int64
		now    time.Duration
		need   int64 // 0: a connection
		victim int   // -1: none
		ok     bool
	}{
		{"fits", []phase{phaseBody}, []int64{large}, 9 * second, large, -1, true},
		{"longest silent body", []phase{phaseHeader, phaseBody, phaseBody}, []int64{large, large, large}, 9 * second, large, 0, true},
		{"a served request is kept", []phase{phaseServing, phaseBody, phaseBody}, []int64{large, large, large}, 9 * second, large, 1, true},
		{"one that just made progress is kept", []phase{phaseBody, phaseBody, phaseBody}, []int64{large, large, large}, minSilence - 1, large, -1, false},
		{"a small request may use the rest", []phase{phaseBody, phaseBody, phaseBody}, []int64{large, large, large}, 0, smallRequest, -1, true},
		{"one that holds nothing is no help", []phase{phaseBody, phaseServing}, []int64{0, 3 * large}, 9 * second, large, -1, false},
		{"connection: new before silent", []phase{phaseIdle, phaseHeader, phaseNew}, []int64{0, 0, 0}, 9 * second, 0, 2, true},
		{"connection: silent before idle", []phase{phaseIdle, phaseServing, phaseBody}, []int64{0, 0, 0}, 9 * second, 0, 2, true},
		{"connection: idle in the end", []phase{phaseServing, phaseIdle, phaseIdle}, []int64{0, 0, 0}, 9 * second, 0, 1, true},
		{"connection: all served", []phase{phaseServing, phaseServing, phaseServing}, []int64{0, 0, 0}, 9 * second, 0, -1, false},
		{"connection: all progress", []phase{phaseServing, phaseServing, progressing}, []int64{0, 0, 0}, minSilence + 2*second, 0, 2, true},
		{"a large request takes nothing from those that progress", []phase{progressing, progressing}, []int64{3 * large, large}, 9 * second, large, -1, false},
		{"a small one does", []phase{progressing, progressing}, []int64{3 * large, large}, 9 * second, smallRequest, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, list := testLedger(Limits{Memory: budget, Conns: max(len(c.phases), 3)}, c.phases, c.held)
			for _, e := range list {
				if e.phase == progressing {
					e.phase = phaseBody
					e.received(progressBytes, c.now)
				}
			}
			var victims []*entry
			var ok bool
			if c.need > 0 {
				l.limits.Conns++
				e, _ := l.admit(c.now)
				victims, ok = l.reserve(e, c.need, c.now)
			} else {
				e, v := l.admit(c.now)
				if ok = e != nil; v != nil {
					victims = append(victims, v)
				}
			}
			got := -1
			for n, e := range list {
				if len(victims) > 0 && e == victims[0] {
					got = n
				}
			}
			if ok != c.ok || got != c.victim || len(victims) > 1 {
				t.Errorf("ok %v, victim %d of %d, want %v and %d", ok, got, len(victims), c.ok, c.victim)
			}
		})
	}
}

// TestLimitsFor guards against limits that refuse a legal request or that the memory and
// the descriptors of the machines don't bear.
func TestLimitsFor(t *testing.T) {
	const largestHeader = (16_384 + 4096) / 3 * lineCost // three bytes a line
	for _, m := range []struct{ memoryMB, maxFDs int }{{144, 3075}, {284, 3075}, {536, 10250}, {144, 600}, {0, 0}} {
		l := LimitsFor(m.memoryMB, m.maxFDs)
		if usable := l.Memory - l.Memory/ordinaryShare; usable < largestHeader || usable < 3*262_144 {
			t.Errorf("%+v: a budget of %d doesn't serve the largest request", m, l.Memory)
		}
		if m.memoryMB == 0 {
			continue
		}
		half := int64(m.memoryMB) << 20 / 2
		sockets := int64(l.Conns) * socketBytes
		if MemoryLimit(m.memoryMB)+sockets+textMB<<20 > half {
			t.Errorf("%+v: %d connections and the limit of the collector exceed half of the memory", m, l.Conns)
		}
		if l.Conns < 100 || l.Conns > m.maxFDs-reservedFDs {
			t.Errorf("%+v: %d connections", m, l.Conns)
		}
	}
}

// TestSlowProgress guards against clients that hold memory by sending single bytes.
func TestSlowProgress(t *testing.T) {
	e := &entry{}
	for n := range 10 {
		e.received(1, time.Duration(n)*second)
	}
	if e.progressAt != 0 {
		t.Error("ten bytes counted as progress")
	}
	if e.received(progressBytes, 10*second); e.progressAt != 10*second {
		t.Error("a kilobyte did not count as progress")
	}
}
