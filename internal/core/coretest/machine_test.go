package coretest

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestMain fixes the seed, so that every run checks the same sequences. The
// -rapid.seed flag overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     "60",
		"rapid.steps":      "40",
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// machine draws actions of callers and faults.
type machine struct{ w *world }

func (m *machine) proc(t *rapid.T) *proc {
	list := m.w.running()
	if len(list) == 0 {
		t.Skip("no process is running")
	}
	return rapid.SampledFrom(list).Draw(t, "process")
}

func (m *machine) job(t *rapid.T) *job {
	if len(m.w.jobs) == 0 {
		t.Skip("no job submitted")
	}
	j := m.w.jobs[len(m.w.jobs)-1-rapid.IntRange(0, min(20, len(m.w.jobs)-1)).Draw(t, "job")]
	if j.toldNotRun {
		t.Skip("the caller uses a new key")
	}
	return j
}

// ages of keys: current, from clocks that are ahead, and old.
var ages = []time.Duration{
	0, 0, 0, 0,
	5 * time.Millisecond,
	-100 * time.Millisecond,
	-maxClockSkew,
	-2 * maxClockSkew,
	time.Second,
	20 * time.Second,
}

func (m *machine) submit(t *rapid.T) {
	p := m.proc(t)
	home := rapid.SampledFrom([]model.Domain{"a", "a", "a", "b"}).Draw(t, "home")
	n := rapid.IntRange(1, 6).Draw(t, "tasks")
	repeatable := rapid.IntRange(0, 3).Draw(t, "repeatable") == 0
	age := rapid.SampledFrom(ages).Draw(t, "age")
	kind := rapid.SampledFrom([]string{"k", "k", "k", boundedKind}).Draw(t, "kind")
	for range rapid.IntRange(1, 4).Draw(t, "jobs") {
		j := m.w.newJob(home, n, repeatable, age)
		j.spec.Kind = kind
		j.submit(p)
	}
}

func (m *machine) resubmit(t *rapid.T) { m.job(t).submit(m.proc(t)) }
func (m *machine) lookup(t *rapid.T)   { m.job(t).lookup(m.proc(t)) }
func (m *machine) cancel(t *rapid.T)   { m.job(t).cancel(m.proc(t)) }

func (m *machine) kill(t *rapid.T) { m.proc(t).kill() }

func (m *machine) stop(t *rapid.T) {
	if p := m.proc(t); !p.leaving {
		p.stop()
	}
}

func (m *machine) boot(t *rapid.T) {
	h := rapid.SampledFrom(m.w.hosts).Draw(t, "host")
	if h.proc != nil {
		t.Skip("a process already runs there")
	}
	m.w.boot(h)
}

func (m *machine) pause(t *rapid.T) {
	p := m.proc(t)
	if rapid.Bool().Draw(t, "between step and effects") {
		p.pauseAfterStep = true
		return
	}
	p.pause()
}

func (m *machine) resume(t *rapid.T) { m.proc(t).resume() }

func (m *machine) network(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "network") {
	case 0:
		m.w.isolated["b"] = !m.w.isolated["b"]
	case 1:
		m.w.slowLinks = !m.w.slowLinks
	case 2:
		m.w.resultLossPercent = rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "lost results")
	default:
		if list := m.proc(t).ordered(); len(list) > 0 {
			rapid.SampledFrom(list).Draw(t, "link").resetSession()
		}
	}
}

func (m *machine) platform(t *rapid.T) {
	if rapid.Bool().Draw(t, "outage") {
		m.w.platform.down = !m.w.platform.down
		return
	}
	m.w.platform.lateWritePercent = rapid.SampledFrom([]int{0, 0, 40, 80}).Draw(t, "late writes")
}

func (m *machine) servers(t *rapid.T) {
	m.w.serverFaultPercent = rapid.SampledFrom([]int{0, 0, 20, 60}).Draw(t, "server faults")
}

func (m *machine) advance(t *rapid.T) {
	m.w.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "milliseconds")) * time.Millisecond)
}

// TestMachine runs random sequences of submissions and faults.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{w: newWorld(t, rapid.Uint64().Draw(t, "seed"))}
		actions := map[string]func(*rapid.T){
			"submit": m.submit, "submit again": m.submit, "resubmit": m.resubmit,
			"lookup": m.lookup, "cancel": m.cancel,
			"kill": m.kill, "stop": m.stop, "boot": m.boot, "boot again": m.boot,
			"pause": m.pause, "resume": m.resume, "resume again": m.resume,
			"network": m.network, "platform": m.platform, "servers": m.servers,
			"pass": m.advance, "pass again": m.advance,
		}
		for name, do := range actions {
			actions[name] = func(t *rapid.T) {
				do(t)
				m.w.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "then")) * time.Millisecond)
			}
		}
		t.Repeat(actions)
		finish(m.w)
	})
}
