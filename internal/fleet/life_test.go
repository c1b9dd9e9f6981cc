package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestOrderOfLives tells replies of a server's later life from late ones of an earlier
// life, whatever its clock said when each life began.
func TestOrderOfLives(t *testing.T) {
	now := Time(time.Minute)
	known := life{bootMs: 600, knownAt: now, formerMs: 700}
	cases := []struct {
		name   string
		known  life
		bootMs int64
		sentAt Time
		want   lifeOrder
	}{
		{"no boot time", known, 0, now + 1, sameLife},
		{"the same", known, 600, now - 1, sameLife},
		{"first", life{}, 500, now, laterLife},
		{"lower, answers a call in flight", known, 500, now - 1, earlierLife},
		{"lower, answers a call sent in the same moment", known, 500, now, earlierLife},
		{"lower, answers a later call: clock set back", known, 500, now + 1, laterLife},
		{"higher, answers a call in flight", known, 800, now - 1, laterLife},
		{"higher, answers a later call", known, 800, now + 1, laterLife},
		{"former with a higher boot time, answers a call in flight", known, 700, now - 1, earlierLife},
	}
	for _, c := range cases {
		if got := c.known.order(c.bootMs, c.sentAt); got != c.want {
			t.Errorf("%s: order %d, want %d", c.name, got, c.want)
		}
	}
}

// TestServerRestartsWithClockSetBack restarts a server whose clock was set back. If its
// replies were ignored, its runs would never be taken for lost, nor its capacity be used.
func TestServerRestartsWithClockSetBack(t *testing.T) {
	i, now := oneServer(t, 500)
	i.Step(now, StoreStatus{Up: false}) // the token stays
	run := startOne(t, i, now)
	now = now.Add(10 * time.Millisecond)
	i.Step(now, pollReply(now, 500, ActiveRun{Run: run}))
	inFlight := pollReply(now, 500, ActiveRun{Run: run})
	s := i.pool.servers["s1"]
	for range 3 {
		now = now.Add(50 * time.Millisecond)
		reply := pollReply(now, 400)
		reply.ClockMs = 20
		i.Step(now, reply)
	}
	if s.life.bootMs != 400 || s.runs[run] != nil || s.phase != phaseServing {
		t.Fatalf("boot time %d, run %v, phase %d after the restart", s.life.bootMs, s.runs[run], s.phase)
	}
	i.Step(now, inFlight)
	if s.life.bootMs != 400 {
		t.Error("a late reply of the former life, with a higher boot time, counts as another restart")
	}
}

// TestEntryOfFormerLifeIgnored lists the entry of a server's former life, which announced
// that it leaves, after a restart with the clock set back.
func TestEntryOfFormerLifeIgnored(t *testing.T) {
	for name, polled := range map[string]bool{"owner before the restart": true, "owner since": false} {
		t.Run(name, func(t *testing.T) {
			i, now := oneServer(t, 0)
			former := ServerEntry{
				ID: "s1", Service: "svc", Addr: "a", Domain: "d", State: ServerDraining, BootMs: 500, ReportedAtMs: 900,
				Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4000},
			}
			i.Step(now, ServersListed{Revision: 1, Servers: []ServerEntry{former}})
			s := i.pool.servers["s1"]
			now = now.Add(10 * time.Millisecond)
			if polled {
				i.Step(now, pollReply(now, 500))
			}
			if !s.leaving.announced {
				t.Fatal("the server isn't leaving before its restart")
			}
			now = now.Add(10 * time.Millisecond)
			i.Step(now, pollReply(now, 400))
			i.Step(now, ServersListed{Revision: 2, Servers: []ServerEntry{former}})
			if s.life.bootMs != 400 || s.leaving.announced {
				t.Errorf("boot time %d, leaving %v after the restart", s.life.bootMs, s.leaving.announced)
			}
			later := former
			later.BootMs, later.ReportedAtMs = 400, 200
			i.Step(now, ServersListed{Revision: 3, Servers: []ServerEntry{later}})
			if !s.leaving.announced {
				t.Error("the new life leaves, and that is ignored")
			}
		})
	}
}
