package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// busyOwner returns an owner of full servers with queued jobs of four tasks, and peers
// that also own servers.
func busyOwner(servers, jobs, peers int) (*Instance, Time) {
	self := Member{Instance: "n00", Incarnation: "01", Domain: "d", Weight: 0.8}
	now := Time(time.Second)
	i := NewInstance(Options{Self: self, Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	i.Step(now, StoreStatus{Up: true})
	var entries []ServerEntry
	var owned []Ownership
	for k := range servers {
		id := model.ServerID(fmt.Sprintf("s%04d", k))
		entries = append(entries, ServerEntry{ID: id, Service: "svc", Addr: "a", Domain: "d", State: ServerReady, Capacity: model.Resources{CPUMilli: 32000, MemoryMB: 65536}})
		owned = append(owned, Ownership{Server: id, Owner: self.Instance, Incarnation: self.Incarnation, Revision: uint64(k + 1)})
	}
	i.Step(now, ServersListed{Servers: entries, Revision: 1})
	i.Step(now, OwnersChanged{Owners: owned})
	for k, e := range entries {
		i.Step(now, PollReply{Server: e.ID, Outcome: PollOK, Poll: Poll{Fence: owned[k].Token()}, SentAt: now, ClockMs: 100, BootMs: 1})
	}
	for k := range peers {
		m := Member{Instance: model.Instance(fmt.Sprintf("n%02d", k+1)), Incarnation: "01", Domain: "d", Weight: 0.4}
		i.Step(now, LinkUp{Peer: m})
		i.Step(now, PeerMessage{From: m, ReceivedAt: now, Message: Heartbeat{Busy: true, Loads: []Load{{Service: "svc", Servers: 12, CapacityMilli: 12 * 32000, QueuedTasks: 3}}}})
	}
	for k := range 2*servers + jobs {
		spec := JobSpec{
			ID: fmt.Sprintf("j%05d", k), Service: "svc", MaxAttempts: 3, Timeout: time.Minute, ReceivedAt: now, Objective: Objective{Allowance: time.Minute, Stretch: 2},
			Steps: []StepSpec{{Count: 4, Need: model.Resources{CPUMilli: 16000, MemoryMB: 64}, Estimate: 100 * time.Millisecond}},
		}
		if k < 2*servers {
			spec.Steps[0].Count = 1
		}
		offer := PeerMessage{From: Member{Instance: "n01", Incarnation: "01", Domain: "d", Weight: 0.4}, ReceivedAt: now, Message: Offer{Call: CallID(k + 1), Job: spec, AllowQueue: true}}
		for _, e := range i.Step(now, offer) {
			if s, ok := e.(StartRun); ok {
				i.Step(now, StartReply{Server: s.Server, Run: s.Run, Outcome: StartAccepted, ClockMs: 100, SentAt: now})
			}
		}
	}
	return i, now
}

// BenchmarkBusyOwner measures the step of an owner that receives a poll reply while
// jobs are queued.
func BenchmarkBusyOwner(b *testing.B) {
	for _, c := range []struct{ servers, jobs int }{{12, 0}, {12, 100}, {48, 0}, {48, 100}, {48, 400}} {
		b.Run(fmt.Sprintf("%d servers %d jobs", c.servers, c.jobs), func(b *testing.B) {
			i, now := busyOwner(c.servers, c.jobs, 8)
			if got := i.QueuedJobs(); got < c.jobs {
				b.Fatalf("%d jobs are queued, want %d", got, c.jobs)
			}
			s := i.pool.orderedServers[0]
			for b.Loop() {
				i.Step(now, PollReply{Server: s.entry.ID, Outcome: PollOK, Poll: Poll{Wait: pollWait}, SentAt: now, ClockMs: 100, BootMs: 1, Running: activeRuns(s)})
			}
		})
	}
}

func activeRuns(s *server) (rows []ActiveRun) {
	for _, r := range s.sortedRuns() {
		rows = append(rows, ActiveRun{Run: r.id, Percent: 10})
	}
	return rows
}
