package fleetsim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// trouble is injected again and again, each time for some seconds.
type trouble struct {
	name   string
	every  time.Duration // mean time between two
	inject func(w *World)
}

// Durations of a troubledWorld.
const (
	troubledTime = 18 * time.Second
	quietTime    = 8 * time.Second // in which the last runs and late orders end
)

// troubles are those that the contract with the servers and the platform allows.
var troubles = []trouble{
	{"late starts", 2 * time.Second, func(w *World) { w.lateOrders(0.3, 0) }},
	{"late orders", 2 * time.Second, func(w *World) { w.lateOrders(0.2, 0.3) }},
	{"servers crash", 700 * time.Millisecond, func(w *World) {
		w.someServer().Crash(300*time.Millisecond + w.upTo(2700*time.Millisecond))
	}},
	{"servers crash and start at once", 700 * time.Millisecond, func(w *World) { w.someServer().Crash(time.Millisecond + w.upTo(150*time.Millisecond)) }},
	{"servers unresponsive", 700 * time.Millisecond, func(w *World) {
		s := w.someServer()
		s.Unresponsive = true
		w.After(100*time.Millisecond+w.upTo(3*time.Second), func() { s.Unresponsive = false })
	}},
	{"callers lost", 200 * time.Millisecond, func(w *World) { w.LoseCallers(w.someInstance(), 0.3, 500*time.Millisecond) }},
	{"callers lost unnoticed", 200 * time.Millisecond, func(w *World) { w.loseCallersUnnoticed(w.someInstance(), 0.3) }},
	{"messages held", 500 * time.Millisecond, func(w *World) {
		w.DelayLinks(w.someInstance(), 1+w.upTo(270*time.Millisecond), 300*time.Millisecond)
	}},
	{"instances stalled", 300 * time.Millisecond, func(w *World) { // shorter than what they take for a pause
		w.Freeze(w.someInstance(), 200*time.Millisecond+w.upTo(190*time.Millisecond))
	}},
	{"instances slow", time.Second, func(w *World) {
		w.SlowDown(w.someInstance(), 50*time.Millisecond+w.upTo(350*time.Millisecond), 500*time.Millisecond+w.upTo(3*time.Second))
	}},
	{"instances frozen", 1200 * time.Millisecond, func(w *World) {
		name, d := w.someInstance(), 200*time.Millisecond+w.upTo(2800*time.Millisecond)
		w.Freeze(name, d)
		w.LoseCallers(name, 0.5, d)
	}},
	{"instances killed", 2 * time.Second, func(w *World) {
		name := w.someInstance()
		w.Kill(name)
		w.After(20*time.Millisecond+w.upTo(1500*time.Millisecond), func() { w.Start(name) })
	}},
	{"instances lose power", 2 * time.Second, func(w *World) {
		name := w.someInstance()
		w.PowerOff(name)
		w.After(20*time.Millisecond+w.upTo(1500*time.Millisecond), func() { w.Start(name) })
	}},
	{"instances isolated", 2 * time.Second, func(w *World) { w.Isolate(w.someInstance(), 200*time.Millisecond+w.upTo(4*time.Second)) }},
	{"links cut one way", 500 * time.Millisecond, func(w *World) {
		if a, b := w.someInstance(), w.someInstance(); a != b {
			w.CutPeer(a, b, 200*time.Millisecond+w.upTo(4*time.Second))
		}
	}},
	{"instances isolated from the store", 2 * time.Second, func(w *World) { w.IsolateFromStore(w.someInstance(), time.Second+w.upTo(4*time.Second)) }},
	{"store down", 5 * time.Second, func(w *World) { w.StoreDown(time.Second + w.upTo(4*time.Second)) }},
	{"servers cut off", 300 * time.Millisecond, func(w *World) {
		w.CutServer(w.someInstance(), w.someServer(), w.Rand.IntN(2) == 0, 200*time.Millisecond+w.upTo(4*time.Second))
	}},
	{"owners cut off from their servers", 300 * time.Millisecond, func(w *World) {
		s := w.someServer()
		if o := w.owners[s.Entry.ID].Owner; o != "" {
			w.CutServer(o, s, w.Rand.IntN(2) == 0, 200*time.Millisecond+w.upTo(4*time.Second))
		}
	}},
}

// namedTroubles returns the troubles with the given names.
func namedTroubles(names ...string) (out []trouble) {
	for _, name := range names {
		for _, x := range troubles {
			if x.name == name {
				out = append(out, x)
			}
		}
	}
	if len(out) != len(names) {
		panic("unknown trouble in " + strings.Join(names, ", "))
	}
	return out
}

func (w *World) someServer() *Server { return w.servers[w.Rand.IntN(len(w.servers))] }

// someInstance draws a live instance that isn't frozen, or the first one.
func (w *World) someInstance() model.Instance {
	for range 20 {
		if n := w.instances[w.Rand.IntN(len(w.instances))]; n.alive && !n.frozen {
			return n.member.Instance
		}
	}
	return w.instances[0].member.Instance
}

// lateOrders makes a server execute shares of its orders late, for a while.
func (w *World) lateOrders(starts, others float64) {
	s := w.someServer()
	s.LateStartRate, s.LateOtherRate = starts, others
	w.After(500*time.Millisecond+w.upTo(4*time.Second), func() { s.LateStartRate, s.LateOtherRate = 0, 0 })
}

// newTroubledWorld returns a small deployment whose jobs' tasks last from 0.05 to 8 s on
// servers of different speeds and clocks.
func newTroubledWorld(seed uint64) *World {
	w := New(seed)
	w.WakeTime = w.upTo(300*time.Millisecond) + 1
	instances, servers := 4+w.Rand.IntN(5), 10+w.Rand.IntN(11)
	for i := range instances {
		w.AddInstance(model.Instance(fmt.Sprintf("edge-%d", i)), w.troubledDomain(i), defaultWeight)
	}
	for i := range servers {
		s := w.AddServer(fleet.ServerEntry{
			ID: model.ServerID(fmt.Sprintf("s%02d", i)), Service: Service, Domain: w.troubledDomain(i), Addr: "a",
			Capacity: model.Resources{CPUMilli: 16000, MemoryMB: 65536},
		}, []float64{0.3, 1, 1.6}[i%3])
		s.ClockRate = []float64{0.98, 1, 0.98 + 0.02*w.Rand.Float64()}[w.Rand.IntN(3)]
		s.Uptime = w.upTo(10 * time.Minute)
		s.Restart()
	}
	return w
}

func (w *World) troubledDomain(i int) model.Domain { return []model.Domain{"muttrah", "seeb"}[i%2] }

// offerTroubledLoad submits jobs for d whose callers submit them again.
func (w *World) offerTroubledLoad(perSecond float64, d time.Duration) {
	w.offerJobs(perSecond, d, w.submitTroubled)
}

// offerJobs calls submit perSecond times a second for d.
func (w *World) offerJobs(perSecond float64, d time.Duration, submit func()) {
	end := w.now.Add(d)
	var next func()
	next = func() {
		if w.now > end {
			return
		}
		submit()
		w.After(time.Duration(w.Rand.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

func (w *World) submitTroubled() {
	work := time.Duration(float64(400*time.Millisecond) * w.logNormal(1.2))
	work = min(max(work, 50*time.Millisecond), 8*time.Second)
	at := w.anotherInstance(w.instances[w.Rand.IntN(len(w.instances))])
	if at == nil {
		return
	}
	spec := w.Job(Class{Name: "route", Width: 2, MaxWidth: 6, CPU: 5000, MaxCPU: 10000, MaxAttempts: 4}, work)
	spec.Timeout = 10 * time.Second
	w.SubmitUntilAnswered(at.member.Instance, spec, work)
}

// playTroubles plays troubles in a world of their own, and returns it.
func playTroubles(seed uint64, mix ...trouble) *World {
	return playTroublesIn(newTroubledWorld(seed), mix...)
}

// playTroublesIn plays troubles in a new world.
func playTroublesIn(w *World, mix ...trouble) *World {
	w.Run(settleTime)
	w.offerTroubledLoad(12, troubledTime)
	w.injectTroubles(troubledTime, mix)
	w.Run(troubledTime + quietTime)
	return w
}

// injectTroubles lets troubles happen for d.
func (w *World) injectTroubles(d time.Duration, mix []trouble) {
	end := w.now.Add(d)
	for _, x := range mix {
		var next func()
		next = func() {
			if w.now > end {
				return
			}
			x.inject(w)
			w.After(time.Duration(w.Rand.ExpFloat64()*float64(x.every)), next)
		}
		w.After(time.Duration(w.Rand.ExpFloat64()*float64(x.every)), next)
	}
}

// TestTaskRunsOnceUnderMixedTroubles plays mixes of troubles that the contract with the
// servers and the platform allows.
func TestTaskRunsOnceUnderMixedTroubles(t *testing.T) {
	playMixes(t, 3, [][]string{
		{"callers lost", "late orders"},
		{"callers lost", "servers unresponsive", "instances slow"},
		{"callers lost", "servers crash", "servers cut off"},
		{"callers lost", "servers crash and start at once", "instances killed"},
		{"instances killed", "late orders", "instances isolated from the store"},
		{"instances lose power", "owners cut off from their servers", "store down"},
		{"instances isolated", "instances slow"},
	})
}

// TestTaskRunsOnceWhenCallersLeaveUnnoticed plays mixes in which instances aren't told that
// callers have left, which submit their jobs again.
func TestTaskRunsOnceWhenCallersLeaveUnnoticed(t *testing.T) {
	playMixes(t, 6, [][]string{
		{"callers lost unnoticed"},
		{"callers lost unnoticed", "messages held"},
		{"callers lost unnoticed", "instances stalled"},
		{"callers lost unnoticed", "instances slow"},
		{"callers lost unnoticed", "servers unresponsive", "late orders"},
		{"callers lost unnoticed", "instances killed"},
	})
}

// TestTaskRunsOnceAfterFreezesAndCuts plays mixes with instances that resume after a
// pause or whose messages don't arrive.
func TestTaskRunsOnceAfterFreezesAndCuts(t *testing.T) {
	playMixes(t, 24, [][]string{
		{"instances frozen"},
		{"callers lost", "instances frozen"},
		{"instances frozen", "instances slow"},
		{"links cut one way", "servers unresponsive"},
	})
}

// TestTaskRunsOnceAfterCrashesWithLateOrders plays mixes with orders that the next life
// of a server carries out.
func TestTaskRunsOnceAfterCrashesWithLateOrders(t *testing.T) {
	playMixes(t, 8, [][]string{
		{"servers crash", "late starts"},
		{"servers crash and start at once", "late orders"},
	})
}

// playMixes plays each mix of troubles with several seeds.
func playMixes(t *testing.T, seeds uint64, mixes [][]string) {
	for _, names := range mixes {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%s, seed %d", strings.Join(names, ", "), seed), func(t *testing.T) {
				t.Parallel()
				checkInvariants(t, playTroubles(seed, namedTroubles(names...)...))
			})
		}
	}
}
