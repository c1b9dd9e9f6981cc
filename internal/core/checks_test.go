package core

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// quarantineCore is an instance that owns all shards and backend servers and gets only
// work that is not repeatable. Server x fails it while broken is set.
type quarantineCore struct {
	*testCore
	jobs      uint64
	broken    bool
	startsOnX int              // starts on x
	checks    []model.ServerID // questions that have not been answered
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

// run lets time pass, with a job in each tick.
func (c *quarantineCore) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.now = c.now.Add(sched.TickInterval)
		c.jobs++
		s := submission(c.jobs, "d").(CallerRequest)
		s.Spec.Identity.Key = testKey(c.now, c.jobs)
		c.finishStarts(c.step(Tick{}, s))
	}
}

// finishStarts ends all starts at once.
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

// TestHealthCheckEndsQuarantine quarantines a server and brings it back by
// the answers of its health endpoint.
func TestHealthCheckEndsQuarantine(t *testing.T) {
	c := newQuarantineCore()
	c.run(2 * time.Second)
	if !slices.Equal(c.quarantined(), []model.ServerID{"x"}) {
		t.Fatalf("in quarantine: %v", c.quarantined())
	}
	if len(c.checks) > 0 {
		t.Fatalf("asked at once: %v", c.checks)
	}
	c.broken = false
	judged := c.startsOnX
	c.run(30 * time.Second)
	if !slices.Equal(c.checks, []model.ServerID{"x"}) || c.startsOnX != judged {
		t.Fatalf("asked %v and started %d tasks without an answer", c.checks, c.startsOnX-judged)
	}
	c.step(ServerChecked{Server: "x"})
	c.run(2 * time.Second)
	if len(c.checks) != 2 || c.startsOnX != judged {
		t.Fatalf("asked %v and started %d tasks after a bad answer", c.checks, c.startsOnX-judged)
	}
	c.finishStarts(c.step(ServerChecked{Server: "x", Healthy: true}))
	c.run(2 * time.Second)
	if c.startsOnX < judged+2 || len(c.quarantined()) > 0 {
		t.Fatalf("%d starts and quarantine %v after a good answer", c.startsOnX-judged, c.quarantined())
	}
}
