package core

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// quarantineCore is an instance that owns all shards and backend servers and
// gets only non-repeatable jobs. Server x fails every task while broken is set.
type quarantineCore struct {
	*testCore
	jobs      uint64
	broken    bool
	startsOnX int              // starts on x
	checks    []model.ServerID // requested health checks
}

func newQuarantineCore() *quarantineCore {
	c := &quarantineCore{testCore: newTestCore(false), broken: true}
	c.step(Servers{List: []sched.Server{
		{ID: "x", Domain: "d", Slots: 2},
		{ID: "y", Domain: "d", Slots: 2},
	}})
	w := c.step(Views{Domain: "d", ReadAt: c.now.Add(time.Second)}).WriteViews
	c.step(ViewsWritten{Outcome: WriteApplied, Index: 1, Doc: w.Doc})
	return c
}

// run advances time and submits a job in each tick.
func (c *quarantineCore) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.now = c.now.Add(sched.TickInterval)
		c.jobs++
		s := submission(c.jobs, "d").(CallerRequest)
		s.Spec.Identity.Key = testKey(c.now, c.jobs)
		c.finishStarts(c.step(Tick{}, s))
	}
}

// finishStarts finishes all starts immediately.
func (c *quarantineCore) finishStarts(e Effects) {
	c.checks = append(c.checks, e.HealthChecks...)
	for _, st := range e.Starts {
		o := sched.OutcomeOK
		if st.Start.Server == "x" {
			c.startsOnX++
			if c.broken {
				o = sched.OutcomeFailed
			}
		}
		c.finishStarts(c.step(TaskDone{shard.TaskDone{Start: st.Start, Outcome: o, Ran: testStep}}))
	}
}

func (c *quarantineCore) quarantined() []model.ServerID { return c.sched.Quarantined() }

// TestHealthCheckEndsQuarantine quarantines a server and restores it after a
// passed health check.
func TestHealthCheckEndsQuarantine(t *testing.T) {
	c := newQuarantineCore()
	c.run(2 * time.Second)
	if !slices.Equal(c.quarantined(), []model.ServerID{"x"}) {
		t.Fatalf("in quarantine: %v", c.quarantined())
	}
	if len(c.checks) > 0 {
		t.Fatalf("checked before the first delay: %v", c.checks)
	}
	c.broken = false
	startsBefore := c.startsOnX
	c.run(30 * time.Second)
	if !slices.Equal(c.checks, []model.ServerID{"x"}) || c.startsOnX != startsBefore {
		t.Fatalf("checked %v and started %d tasks without a reply", c.checks, c.startsOnX-startsBefore)
	}
	c.step(ServerChecked{Server: "x"})
	c.run(2 * time.Second)
	if len(c.checks) != 2 || c.startsOnX != startsBefore {
		t.Fatalf("checked %v and started %d tasks after a failed check", c.checks, c.startsOnX-startsBefore)
	}
	c.finishStarts(c.step(ServerChecked{Server: "x", Healthy: true}))
	c.run(2 * time.Second)
	if c.startsOnX < startsBefore+2 || len(c.quarantined()) > 0 {
		t.Fatalf("%d starts and quarantine %v after a passed check", c.startsOnX-startsBefore, c.quarantined())
	}
}
