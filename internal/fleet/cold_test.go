package fleet

import (
	"testing"
	"time"
)

// TestColdRunsDontSlowWarmServers learns from runs on a cold server that take three times as
// long. The server must be expected to be slow while cold, and only then.
func TestColdRunsDontSlowWarmServers(t *testing.T) {
	all := speedModels{}
	coldEntry := ServerEntry{Service: "svc", BootMs: 500, ReportedAtMs: 100, ColdLeftMs: 5000}
	start := Time(time.Second)
	newCold := func() *server {
		s := newServer(coldEntry, Ownership{}, all.forServer(coldEntry))
		s.life.bootMs = 500
		s.clock.set(100, start)
		return s
	}
	s := newCold()
	run := func(at Time, factor time.Duration) {
		r := &run{sentAt: at, cold: s.isCold(at)}
		s.learnSpeed(r, 100*time.Millisecond, at.Add(factor*100*time.Millisecond))
	}
	const warmAt = 6 * time.Second
	for range 40 {
		run(start, 3)
		run(start.Add(4900*time.Millisecond), 9) // ends on the warm server
		run(start.Add(warmAt), 1)
	}
	later := coldEntry
	later.BootMs = 600
	for name, c := range map[string]struct {
		server *server
		at     Time
		want   time.Duration
	}{
		"cold":                             {s, start, 300},
		"warm":                             {s, start.Add(warmAt), 100},
		"another cold one of the kind":     {newCold(), start, 300},
		"the same, warm":                   {newCold(), start.Add(warmAt), 100},
		"entry of another life than known": {&server{entry: later, life: s.life, clock: s.clock, speed: s.speed}, start, 100},
	} {
		want := c.want * time.Millisecond
		if got := c.server.expect(100*time.Millisecond, c.at); got < want*8/10 || got > want*12/10 {
			t.Errorf("%s: expected to take %v, want about %v", name, got, want)
		}
	}
}

// TestColdTimeCountingDownIsNoChange compares entries of a server as it writes them. A
// heartbeat that only counts the cold time down must not change the list of servers.
func TestColdTimeCountingDownIsNoChange(t *testing.T) {
	type entry = ServerEntry
	for name, c := range map[string]struct {
		a, b  entry
		equal bool
	}{
		"counted down":              {entry{ReportedAtMs: 1000, ColdLeftMs: 5000}, entry{ReportedAtMs: 2010, ColdLeftMs: 4000}, true},
		"run out":                   {entry{ReportedAtMs: 1000, ColdLeftMs: 500}, entry{ReportedAtMs: 2000}, true},
		"warm early":                {entry{ReportedAtMs: 1000, ColdLeftMs: 5000}, entry{ReportedAtMs: 2000}, false},
		"cold again":                {entry{ReportedAtMs: 1000}, entry{ReportedAtMs: 2000, ColdLeftMs: 5000}, false},
		"longer":                    {entry{ReportedAtMs: 1000, ColdLeftMs: 5000}, entry{ReportedAtMs: 2000, ColdLeftMs: 5000}, false},
		"warm":                      {entry{ReportedAtMs: 1000}, entry{ReportedAtMs: 2000}, true},
		"no clock, counted down":    {entry{ColdLeftMs: 5000}, entry{ColdLeftMs: 4000}, true},
		"no clock, became cold":     {entry{}, entry{ColdLeftMs: 4000}, false},
		"no clock, no longer cold":  {entry{ColdLeftMs: 4000}, entry{}, false},
		"clock in one of them only": {entry{ColdLeftMs: 4000}, entry{ReportedAtMs: 9000, ColdLeftMs: 3000}, true},
	} {
		if c.a.Equal(c.b) != c.equal || c.b.Equal(c.a) != c.equal {
			t.Errorf("%s: equal %v and %v, want %v", name, c.a.Equal(c.b), c.b.Equal(c.a), c.equal)
		}
	}
}
