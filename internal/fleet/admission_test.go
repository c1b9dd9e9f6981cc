package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestUnpolledServersAreNotFull submits a job to an instance that has just claimed its
// only server, as after a restart of all instances. The job waits for the first poll.
func TestUnpolledServersAreNotFull(t *testing.T) {
	self := Member{Instance: "n1", Incarnation: "01", Domain: "d", Weight: 1}
	now := Time(time.Second)
	i := NewInstance(Options{Self: self, Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	entry := ServerEntry{ID: "s1", Service: "svc", Addr: "a", Domain: "d", State: ServerReady, Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4000}}
	i.Step(now, StoreStatus{Up: true})
	i.Step(now, ServersListed{Servers: []ServerEntry{entry}})
	i.Step(now, OwnersChanged{Owners: []Ownership{{Server: "s1", Owner: "n1", Incarnation: "01", Revision: 7}}})
	for _, e := range i.Step(now, JobSubmitted{Call: 1, Job: shortJob(now)}) {
		if a, ok := e.(Answer); ok {
			t.Fatalf("answered %v %s before the first poll", a.Result.Kind, a.Result.Reason)
		}
	}
	now = now.Add(2 * time.Millisecond)
	starts := 0
	for _, e := range i.Step(now, pollReply(now, 500)) {
		if _, ok := e.(StartRun); ok {
			starts++
		}
	}
	if starts != 1 {
		t.Errorf("%d starts after the first poll, want 1", starts)
	}
}

// TestWaitingJobsAreShed fills a server and queues jobs. One that waits alone keeps its
// place until it can't be on time; beside another, it is rejected after its share of
// the slack, and told truthfully that it has not run.
func TestWaitingJobsAreShed(t *testing.T) {
	for name, c := range map[string]struct {
		queued int
		want   int // rejected
	}{"alone": {1, 0}, "two": {2, 1}, "three": {3, 2}} {
		i, now := oneServer(t, 500)
		startOne(t, i, now)
		for k := range c.queued {
			spec := shortJob(now)
			spec.ID += string(rune('a' + k))
			spec.Steps[0].Estimate = 20 * time.Millisecond
			i.Step(now, JobSubmitted{Call: CallID(10 + k), Job: spec})
		}
		j := i.pool.queue[0]
		now = i.pool.latestFirstStart(j).Add(time.Millisecond)
		if now > i.pool.latestStart(j) {
			t.Fatal("the share of the slack ends after the slack")
		}
		rejected := 0
		for _, e := range i.Step(now, Tick{}) {
			if a, ok := e.(Answer); ok && a.Result.Kind == NotRun && a.Result.RetryAfter >= minRetryAfter {
				rejected++
			}
		}
		if rejected != c.want {
			t.Errorf("%s: %d rejected, want %d", name, rejected, c.want)
		}
	}
}

// shortJob returns a job of one short task that fits on the server of oneServer.
func shortJob(now Time) JobSpec {
	return JobSpec{
		ID: "j1", Service: "svc", MaxAttempts: 3, Timeout: time.Second, ReceivedAt: now, Objective: Objective{Allowance: 60 * time.Millisecond, Stretch: 1.6},
		Steps: []StepSpec{{Count: 1, Need: model.Resources{CPUMilli: 3000}, Estimate: 60 * time.Millisecond}},
	}
}

// TestLoadAfterJobsWithoutCPU asks for the load after many jobs that need memory alone,
// which ended the process.
func TestLoadAfterJobsWithoutCPU(t *testing.T) {
	i, now := oneServer(t, 500)
	for range 2000 {
		i.pool.updateTypicalMilli(JobSpec{Steps: []StepSpec{{Count: 1, Need: model.Resources{MemoryMB: 64}}}})
	}
	if l := i.pool.load("svc", now); l.Servers != 1 || l.FreeMilli != 4000 {
		t.Errorf("%+v", l)
	}
	startOne(t, i, now)
}
