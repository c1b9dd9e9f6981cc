// Package coretest runs several reducers under faults in virtual time, with an
// in-memory network, platform and backend servers, and checks the callers'
// answers against the starts that the servers received.
package coretest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/agenda"
	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/policy"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

const (
	silenceBound    = time.Second
	maxClockSkew    = 250 * time.Millisecond
	sessionTTL      = 4 * time.Second
	shardsPerDomain = 2
	startTime       = model.Time(1_800_000_000 * int64(time.Second))
)

// reporter is the common part of *testing.T and *rapid.T.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// host is an address at which at most one process listens at a time.
type host struct {
	name   model.Instance
	domain model.Domain
	addr   string
	starts int
	proc   *proc // nil if no process runs
}

// world simulates the environment of the reducers.
type world struct {
	t      reporter
	rng    *rand.Rand
	now    model.Time
	timers agenda.Queue[model.Time, func()]

	hosts             []*host
	platform          *platform
	isolated          map[model.Domain]bool // domains isolated from the others
	slowLinks         bool                  // messages are delayed
	resultLossPercent int                   // percentage of task results that are lost with their session
	maxRunMs          int                   // run time of the longest tasks, in milliseconds

	serverFaultPercent int // percentage of starts that fail in some way
	servers            []sched.Server

	jobs   []*job
	starts map[string]int // by job.task
	trace  []string
}

// newWorld returns a settled world with three instances in domain a and one in
// domain b.
func newWorld(t reporter, seed uint64) *world {
	return newWorldOf(t, seed, "a", "a", "a", "b")
}

// newWorldOf returns a settled world with one instance per listed domain.
func newWorldOf(t reporter, seed uint64, domains ...model.Domain) *world {
	w := &world{
		t:        t,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      startTime,
		isolated: make(map[model.Domain]bool),
		starts:   make(map[string]int),
		maxRunMs: 400,
	}
	w.platform = newPlatform(w)
	for i, d := range domains {
		w.hosts = append(w.hosts, &host{
			name:   model.Instance(fmt.Sprintf("i%d", i)),
			domain: d,
			addr:   fmt.Sprintf("10.0.0.%d:1", i),
		})
	}
	for i, d := range []model.Domain{"a", "a", "b"} {
		w.servers = append(w.servers, sched.Server{
			ID:        model.ServerID(fmt.Sprintf("s%d", i)),
			Domain:    d,
			Addr:      fmt.Sprintf("10.0.1.%d:1", i),
			Slots:     4,
			Resources: model.Resources{CPUMilli: 8000, MemoryMB: 8000},
		})
	}
	for _, h := range w.hosts {
		w.boot(h)
	}
	w.run(8 * time.Second)
	return w
}

func (w *world) tracef(format string, args ...any) {
	at := w.now.Sub(startTime).Round(time.Millisecond)
	w.trace = append(w.trace, fmt.Sprintf("%9v ", at)+fmt.Sprintf(format, args...))
}

// fail reports a violated property together with the trace.
func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	for _, l := range w.trace {
		w.t.Logf("%s", l)
	}
	w.t.Fatalf(format, args...)
}

func (w *world) after(d time.Duration, do func()) {
	w.timers.Push(w.now.Add(d), do)
}

// run advances virtual time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.timers.Len() > 0 && w.timers.NextAt() <= end {
		at, do := w.timers.Pop()
		w.now = at
		do()
	}
	w.now = end
}

// between returns a random duration; low and high are in milliseconds.
func (w *world) between(low, high int) time.Duration {
	us := low*1000 + w.rng.IntN((high-low)*1000+1)
	return time.Duration(us) * time.Microsecond
}

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *world) separated(a, b model.Domain) bool {
	return a != b && (w.isolated[a] || w.isolated[b])
}

func (w *world) hostAt(addr string) *host {
	for _, h := range w.hosts {
		if h.addr == addr {
			return h
		}
	}
	return nil
}

// running returns the live processes, including paused ones.
func (w *world) running() []*proc {
	var list []*proc
	for _, h := range w.hosts {
		if h.proc != nil {
			list = append(list, h.proc)
		}
	}
	return list
}

// boot starts a process at a host.
func (w *world) boot(h *host) {
	h.starts++
	p := &proc{
		w:    w,
		host: h,
		member: shard.Member{
			Instance:    h.name,
			Incarnation: model.Incarnation(fmt.Sprintf("%s.%d", h.name, h.starts)),
		},
		clockOffset: w.between(0, 2*int(maxClockSkew.Milliseconds())) - maxClockSkew,
		links:       make(map[string]*link),
		byName:      make(map[model.Instance]*link),
		requests:    make(map[uint64]*request),
	}
	opts := shard.DefaultOptions()
	opts.MaxClockSkew = maxClockSkew
	p.core = core.New(core.Options{
		Self:            p.member,
		Domain:          h.domain,
		Addr:            h.addr,
		ShardsPerDomain: shardsPerDomain,
		Replicate:       true,
		SilenceBound:    silenceBound,
		Seed:            uint64(h.starts),
		Shard:           opts,
		Policy:          newPolicy(h.domain),
	})
	h.proc = p
	w.tracef("boot %s", p.member.Incarnation)
	p.deliver(core.Servers{List: w.servers})
	p.tick()
	w.platform.serve(p)
}

// boundedKind is a kind with a queue bound of a few tasks.
const boundedKind = "tight"

// newPolicy returns a table that limits only boundedKind.
func newPolicy(d model.Domain) *policy.Policy {
	bound := 4
	p := policy.New(d)
	p.Set(table.NewSnapshot(1, []table.Row{{
		Key:     table.Key{Customer: "c", Domain: d, Kind: boundedKind},
		Values:  table.Values{QueueBound: &bound},
		Version: 1,
	}}))
	return p
}

// heal ends all faults.
func (w *world) heal() {
	w.tracef("heal")
	w.isolated = make(map[model.Domain]bool)
	w.slowLinks = false
	w.resultLossPercent = 0
	w.serverFaultPercent = 0
	w.platform.heal()
	for _, h := range w.hosts {
		if h.proc != nil && h.proc.leaving {
			h.proc.kill()
		}
		if h.proc == nil {
			w.boot(h)
			continue
		}
		h.proc.resume()
	}
}
