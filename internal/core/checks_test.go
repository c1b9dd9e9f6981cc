package core

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// tolls is an instance that owns all shards and backend servers and gets only
// work that is not repeatable. Server x fails it while broken is set.
type tolls struct {
	*testCore
	jobs   uint64
	broken bool
	onX    int              // starts on x
	checks []model.ServerID // questions that have not been answered
}

func newTolls() *tolls {
	c := &tolls{testCore: newTestCore(false), broken: true}
	c.step(Servers{List: []sched.Server{
		{ID: "x", Domain: "d", Slots: 2},
		{ID: "y", Domain: "d", Slots: 2},
	}})
	w := c.step(Views{Domain: "d", ReadAt: c.now.Add(time.Second)}).WriteViews
	c.step(ViewsWritten{Outcome: WriteApplied, Index: 1, Doc: w.Doc})
	return c
}

// run lets time pass, with a job in each tick.
func (c *tolls) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.now = c.now.Add(sched.TickInterval)
		c.jobs++
		s := submission(c.jobs, "d").(CallerRequest)
		s.Spec.Identity.Key = testKey(c.now, c.jobs)
		c.play(c.step(Tick{}, s))
	}
}

// play ends all starts at once.
func (c *tolls) play(e Effects) {
	c.checks = append(c.checks, e.HealthChecks...)
	for _, st := range e.Starts {
		o := sched.OutcomeOK
		if st.Start.Server == "x" {
			c.onX++
			if c.broken {
				o = sched.OutcomeFailed
			}
		}
		c.play(c.step(TaskDone{shard.TaskDone{Start: st.Start, Outcome: o, Ran: testStep}}))
	}
}

func (c *tolls) quarantined() []model.ServerID { return c.sched.Quarantined() }

// TestHealthChecksReachTheScheduler quarantines a server and brings it back by
// the answers of its health endpoint.
func TestHealthChecksReachTheScheduler(t *testing.T) {
	c := newTolls()
	c.run(2 * time.Second)
	if !slices.Equal(c.quarantined(), []model.ServerID{"x"}) {
		t.Fatalf("in quarantine: %v", c.quarantined())
	}
	if len(c.checks) > 0 {
		t.Fatalf("asked at once: %v", c.checks)
	}
	c.broken = false
	judged := c.onX
	c.run(30 * time.Second)
	if !slices.Equal(c.checks, []model.ServerID{"x"}) || c.onX != judged {
		t.Fatalf("asked %v and started %d tasks without an answer", c.checks, c.onX-judged)
	}
	c.step(ServerChecked{Server: "x"})
	c.run(2 * time.Second)
	if len(c.checks) != 2 || c.onX != judged {
		t.Fatalf("asked %v and started %d tasks after a bad answer", c.checks, c.onX-judged)
	}
	c.play(c.step(ServerChecked{Server: "x", Healthy: true}))
	c.run(2 * time.Second)
	if c.onX < judged+2 || len(c.quarantined()) > 0 {
		t.Fatalf("%d starts and quarantine %v after a good answer", c.onX-judged, c.quarantined())
	}
}
