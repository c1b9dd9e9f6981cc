package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// holderWorld starts an instance that holds a durable job of one task, which runs on one
// of its servers, and others beside it.
func holderWorld(others ...model.Instance) (w *World, holder model.Instance) {
	w, holder = New(1), "seeb-1"
	w.DialListed = true
	w.AddInstance(holder, "seeb", defaultWeight)
	for _, o := range others {
		w.AddInstance(o, "muttrah", defaultWeight)
	}
	for _, d := range []model.Domain{"muttrah", "seeb", "ruwi"} {
		for i := range 4 {
			w.addServers(d, model.ServerID(fmt.Sprintf("%s-s%d", d, i)))
		}
	}
	w.Run(settleTime)
	spec, _ := w.longJob(1)
	spec.Durable = true
	w.Submit(holder, spec)
	w.Run(time.Second)
	return w, holder
}

// TestNewcomerTakesJobOfHolderWithoutStore adds an instance while the store turns a holder
// away that its peers hear. The newcomer doesn't know it, and ran its job a second time.
func TestNewcomerTakesJobOfHolderWithoutStore(t *testing.T) {
	const away = 9 * time.Second
	for _, revoked := range []bool{false, true} {
		for _, domain := range []model.Domain{"ruwi", "seeb"} {
			for i := range 10 { // the names decide who would take over
				name := model.Instance(fmt.Sprintf("%s-%d", domain, i+2))
				t.Run(fmt.Sprintf("revoked %v, added %s", revoked, name), func(t *testing.T) {
					w, holder := holderWorld("muttrah-1", "muttrah-2")
					w.IsolateFromStore(holder, away)
					after := 2500 * time.Millisecond
					if revoked {
						w.RemoveEntry(holder)
						after = 300 * time.Millisecond
					}
					w.Run(after)
					w.AddInstance(name, domain, defaultWeight)
					w.Run(25 * time.Second)
					checkInvariants(t, w)
					checkDurable(t, w)
				})
			}
		}
	}
}

// TestNewcomerTakesJobThatNobodyVouchesFor adds instances that can't learn of a holder
// without the store, as it is alone or the store turns its peers away as well. It has to
// stop before they take over.
func TestNewcomerTakesJobThatNobodyVouchesFor(t *testing.T) {
	const away = 25 * time.Second
	for name, others := range map[string][]model.Instance{"alone": nil, "peers turned away": {"muttrah-1", "muttrah-2"}} {
		for _, added := range [][]model.Instance{{"ruwi-1"}, {"ruwi-1", "ruwi-2"}} {
			t.Run(fmt.Sprintf("%s, %d added", name, len(added)), func(t *testing.T) {
				w, holder := holderWorld(others...)
				w.TurnAway(away, append(others, holder)...)
				w.Run(300 * time.Millisecond)
				for _, x := range added {
					w.AddInstance(x, "ruwi", defaultWeight)
				}
				w.Run(50 * time.Second)
				checkInvariants(t, w)
				checkDurable(t, w)
			})
		}
	}
}

// TestNewcomerTakesJobOfHolderWithNewPeers replaces the peers of a holder that the store
// turns away, before an instance is added.
func TestNewcomerTakesJobOfHolderWithNewPeers(t *testing.T) {
	w, holder := holderWorld("muttrah-1", "muttrah-2")
	w.TurnAway(15*time.Second, holder)
	for _, x := range []model.Instance{"muttrah-1", "muttrah-2"} {
		w.Run(300 * time.Millisecond)
		w.Start(x)
	}
	w.Run(300 * time.Millisecond)
	w.AddInstance("ruwi-1", "ruwi", defaultWeight)
	w.Run(35 * time.Second)
	checkInvariants(t, w)
	checkDurable(t, w)
}

// TestReleasedJobStartsBesideRunOfLostHolder ends a holder while the server of its run is
// cut off. Its successor loses its servers to an added instance, and releases the job
// before that run is certainly over.
func TestReleasedJobStartsBesideRunOfLostHolder(t *testing.T) {
	w, holder := holderWorld("muttrah-1", "muttrah-2")
	w.TurnAway(time.Minute, holder)
	w.Kill(holder)
	w.AddInstance("ruwi-1", "ruwi", defaultWeight)
	w.cutServersOf("seeb", 5*time.Second, "muttrah-1", "muttrah-2", "ruwi-1")
	w.Run(25 * time.Second)
	checkInvariants(t, w)
	checkDurable(t, w)
}

// cutServersOf cuts the paths from instances to the servers of a domain for d.
func (w *World) cutServersOf(domain model.Domain, d time.Duration, names ...model.Instance) {
	for _, s := range w.servers {
		for _, x := range names {
			if s.Entry.Domain == domain {
				w.CutServer(x, s, false, d)
			}
		}
	}
}

// TestJobTakenOverFromHolderCutOff cuts a holder off from the others with its servers, and
// from the store, which drops its entry at once. The holder goes on as if its entry lasted,
// while the others find it silent and not listed.
func TestJobTakenOverFromHolderCutOff(t *testing.T) {
	cuts := map[string]func(w *World, holder model.Instance, cut time.Duration){
		"silent":  func(w *World, holder model.Instance, cut time.Duration) { w.Isolate(holder, cut) },
		"refused": func(w *World, holder model.Instance, cut time.Duration) { w.IsolateRefusing(holder, cut) },
		"one way": func(w *World, holder model.Instance, cut time.Duration) {
			w.CutPeer(holder, "muttrah-1", cut)
			w.CutPeer(holder, "muttrah-2", cut)
		},
	}
	for name, apply := range cuts {
		for cut := 100 * time.Millisecond; cut < 4*time.Second; cut += 50 * time.Millisecond {
			w, holder := holderWorld("muttrah-1", "muttrah-2")
			w.TurnAway(8*time.Second, holder)
			w.cutServersOf("seeb", cut, "muttrah-1", "muttrah-2")
			apply(w, holder, cut)
			w.Run(30 * time.Second)
			if len(w.Violations) > 0 {
				t.Errorf("%s for %v:", name, cut)
			}
			checkInvariants(t, w)
			checkDurable(t, w)
		}
	}
}

// recoveryBound is the time in which the users' deployments have to recover.
const recoveryBound = 12 * time.Second

// checkRestarted checks that the job of holderWorld starts again in time after its holder
// has ended now, and completes.
func checkRestarted(t *testing.T, w *World) {
	t.Helper()
	var ended, restarted = w.Now(), fleet.Time(0)
	w.onStart = func(*Server, fleet.RunID) { restarted = w.Now() }
	w.Run(35 * time.Second)
	t.Logf("started again %v after the loss", restarted.Sub(ended))
	if restarted == 0 || restarted.Sub(ended) > recoveryBound {
		t.Errorf("started again %v after the loss, want %v", restarted.Sub(ended), recoveryBound)
	}
	checkInvariants(t, w)
	checkDurable(t, w)
}

// TestNewcomerClaimsServersOfLiveOwner lets newcomers claim the servers of a live owner,
// which the store turns away and nobody else hears. Two owners of a server, or two
// instances with the calls of a job that isn't durable, must not run a task twice.
func TestNewcomerClaimsServersOfLiveOwner(t *testing.T) {
	claims := 0
	for seed := range uint64(40) {
		w := New(seed)
		w.DialListed, w.WakeTime = true, 50*time.Millisecond
		names := []model.Instance{"seeb-1", "muttrah-1"}
		for _, n := range names {
			w.AddInstance(n, model.Domain(n[:len(n)-2]), defaultWeight)
		}
		for _, d := range []model.Domain{"muttrah", "seeb"} {
			for i := range 4 {
				w.addServers(d, model.ServerID(fmt.Sprintf("%s-s%d", d, i)))
			}
		}
		w.Run(settleTime)
		for range 6 {
			spec, work := w.longJob(1)
			spec.Steps[0].Estimate /= 4
			w.SubmitUntilAnswered(names[w.Rand.IntN(2)], spec, work/4)
		}
		w.Run(300 * time.Millisecond)
		w.TurnAway(8*time.Second, names...)
		for _, n := range names {
			w.Isolate(n, w.upTo(2*time.Second))
			w.cutServersOf(model.Domain(n[:len(n)-2]), w.upTo(2*time.Second), n)
		}
		w.onLog = func(e fleet.LogEntry) {
			if e.Kind == fleet.LogServerOwned {
				claims++
			}
		}
		for i := range 2 {
			w.Run(w.upTo(time.Second))
			w.AddInstance(model.Instance(fmt.Sprintf("seeb-%d", i+2)), "seeb", defaultWeight)
		}
		w.Run(20 * time.Second)
		if len(w.Violations) > 0 {
			t.Errorf("seed %d:", seed)
		}
		checkInvariants(t, w)
	}
	if claims < 40 {
		t.Errorf("%d claims, want newcomers to claim servers in each world", claims)
	}
}

// TestJobTakenOverDespiteNewcomer ends a holder around the time at which an instance is
// added. Its job must start again in time.
func TestJobTakenOverDespiteNewcomer(t *testing.T) {
	for name, end := range map[string]func(*World, model.Instance){"killed": (*World).Kill, "without power": (*World).PowerOff} {
		for _, turnedAway := range []bool{false, true} {
			for _, after := range []time.Duration{-time.Second, 0, 2 * time.Second} {
				t.Run(fmt.Sprintf("%s, turned away %v, added after %v", name, turnedAway, after), func(t *testing.T) {
					w, holder := holderWorld("muttrah-1", "muttrah-2")
					if turnedAway {
						w.TurnAway(time.Minute, holder)
					}
					add := func() { w.AddInstance("ruwi-1", "ruwi", defaultWeight) }
					if after < 0 {
						add()
						w.Run(-after)
					} else {
						w.After(after, add)
					}
					end(w, holder)
					checkRestarted(t, w)
				})
			}
		}
	}
}

// TestJobOfHolderThatNobodyKnows takes the power of a holder while all others are killed
// and restart, which have never heard it then. Its job must start again in time.
func TestJobOfHolderThatNobodyKnows(t *testing.T) {
	for _, turnedAway := range []bool{false, true} {
		t.Run(fmt.Sprintf("turned away %v", turnedAway), func(t *testing.T) {
			w, holder := holderWorld("muttrah-1", "muttrah-2")
			if turnedAway {
				w.TurnAway(time.Minute, holder)
			}
			w.PowerOff(holder)
			for _, x := range []model.Instance{"muttrah-1", "muttrah-2"} {
				w.Kill(x)
				w.After(200*time.Millisecond, func() { w.Start(x) })
			}
			checkRestarted(t, w)
		})
	}
}
