package fleet

import (
	"reflect"
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

// TestOwnerLogsHowItLearnedOfLeavingServer checks the log entry for each way.
func TestOwnerLogsHowItLearnedOfLeavingServer(t *testing.T) {
	const bootMs = 500
	const age = 40 * time.Millisecond
	entry := ServerEntry{
		ID: "s1", Service: "svc", Addr: "a", Domain: "d", State: ServerReady, BootMs: bootMs, ReportedAtMs: 10,
		Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4000},
	}
	left := entry
	left.State, left.ReportedAtMs = ServerDraining, 60
	changes := ServerChanges{FromRevision: 3, ToRevision: 4, Servers: []ServerEntry{left}}
	poll := pollReply(Time(time.Second), bootMs)
	poll.Draining = true
	cases := []struct {
		event Event
		want  LogEntry
	}{
		{ServersChanged{changes}, LogEntry{Reason: wayWatch, Value: 4, Age: age}},
		{PeerMessage{From: Member{Instance: "n2", Incarnation: "01"}, Message: ServersUpdate{changes}}, LogEntry{Reason: wayPeer, Peer: "n2", Value: 4, Age: age}},
		{ServersListed{Servers: []ServerEntry{left}, Revision: 5}, LogEntry{Reason: wayList, Value: 5, Age: age}},
		{poll, LogEntry{Reason: wayPoll}},
	}
	for _, c := range cases {
		t.Run(c.want.Reason, func(t *testing.T) {
			i, now := oneServer(t, bootMs)
			now = now.Add(-time.Millisecond) // of the poll, at 100 on the server's clock
			i.Step(now, ServersListed{Servers: []ServerEntry{entry}, Revision: 3})
			c.want.Kind, c.want.Server = LogServerLeaving, "s1"
			var got []LogEntry
			for range 2 { // reported again, but logged once
				for _, e := range i.Step(now, c.event) {
					if l, ok := e.(LogEntry); ok && l.Kind == LogServerLeaving {
						got = append(got, l)
					}
				}
			}
			if len(got) != 1 || !reflect.DeepEqual(got[0], c.want) {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}
