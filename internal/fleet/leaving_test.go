package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

func TestLatestReportOfLeavingCounts(t *testing.T) {
	type report struct {
		announced       bool
		bootMs, clockMs int64
		want            bool
	}
	cases := []struct {
		name    string
		reports []report
	}{
		{"announced", []report{{false, 5, 10, false}, {true, 5, 20, true}}},
		{"list behind a poll", []report{{true, 5, 30, true}, {false, 5, 20, true}}},
		{"an earlier incarnation", []report{{false, 6, 10, false}, {true, 5, 900, false}}},
		{"restarted", []report{{true, 5, 900, true}, {false, 6, 10, false}}},
		{"announced again after a restart", []report{{true, 5, 900, true}, {false, 6, 10, false}, {true, 6, 20, true}}},
		{"withdrawn", []report{{true, 5, 20, true}, {false, 5, 30, false}}},
		{"unknown time after a restart", []report{{false, 6, 0, false}, {true, 0, 0, true}}},
		{"unknown time doesn't withdraw", []report{{true, 6, 30, true}, {false, 0, 0, true}}},
		{"no clocks", []report{{true, 0, 0, true}, {false, 0, 0, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l leaving
			for i, r := range c.reports {
				l.report(r.announced, r.bootMs, r.clockMs)
				if l.announced != r.want {
					t.Errorf("report %d: leaving %v, want %v", i, l.announced, r.want)
				}
			}
		})
	}
}

// TestStartOnLeavingServerAfterOlderList changes another server in a list that is behind
// a poll, in which a server has announced that it leaves.
func TestStartOnLeavingServerAfterOlderList(t *testing.T) {
	const bootMs = 500
	i, now := oneServer(t, bootMs)
	i.Step(now, ServersListed{Revision: 1, Servers: []ServerEntry{{
		ID: "s1", Service: "svc", Addr: "a", Domain: "d", State: ServerReady, BootMs: bootMs, ReportedAtMs: 50,
		Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4000},
	}}})
	poll := pollReply(now, bootMs)
	poll.Draining = true
	i.Step(now, poll)
	now = now.Add(time.Millisecond)
	other := ServerEntry{ID: "s2", Service: "svc", Addr: "b", Domain: "d", State: ServerReady}
	i.Step(now, ServersChanged{ServerChanges{FromRevision: 1, ToRevision: 2, Servers: []ServerEntry{other}}})
	if i.pool.servers["s1"].takesWork(now) {
		t.Error("the leaving server takes work again")
	}
}
