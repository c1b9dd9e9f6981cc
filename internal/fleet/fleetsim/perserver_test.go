package fleetsim

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// withMaxPerServer returns a site whose jobs have wide steps and a limit per server.
func withMaxPerServer(s Site, limit int) Site {
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		c := &s.Classes[i]
		c.MaxPerServer = limit
		c.PerSecond *= float64(c.Width) / 12
		c.Width, c.MaxWidth = 12, 24
	}
	return s
}

// newThreeOwners returns a world of three owners with eight servers each, all of one speed.
func newThreeOwners(seed uint64) (*World, Site) {
	s := Glenbrae()
	s.Domains, s.Instances, s.Servers = []model.Domain{"tayside", "carrick", "ardmore"}, []int{1, 1, 1}, 8
	w := New(seed)
	w.Build(s)
	for _, x := range w.servers {
		x.Speed = 1
	}
	return w, s
}

// TestStepsWiderThanAnyOwner guards against tasks of a step beside each other on a server,
// against its limit, once some of them are offloaded, and against steps that are rejected
// or late although all servers together have room for them.
func TestStepsWiderThanAnyOwner(t *testing.T) {
	for _, limit := range []int{1, 2} {
		w, site := newThreeOwners(uint64(limit))
		w.Run(settleTime)
		for n := range 30 {
			spec := w.Job(site.Classes[0], 400*time.Millisecond)
			spec.Steps = []fleet.StepSpec{{
				Count: 12 * limit, Need: model.Resources{CPUMilli: 8000, MemoryMB: 64}, Estimate: 400 * time.Millisecond, MaxPerServer: limit,
			}}
			w.Submit(w.instances[n%len(w.instances)].member.Instance, spec).work = 400 * time.Millisecond
			if n%2 == 1 {
				w.Run(500 * time.Millisecond) // two jobs share the servers
			}
		}
		w.Run(5 * time.Second)
		checkInvariants(t, w)
		if got := w.Tally(0); got.OnTime != got.Jobs {
			t.Errorf("limit %d: %+v, want all on time", limit, got)
		}
	}
}

// TestLimitPerServerUnderFaults injects each fault, alone and with another, while steps
// with a limit per server are spread over several owners.
func TestLimitPerServerUnderFaults(t *testing.T) {
	for name, site := range map[string]Site{
		"best effort": withMaxPerServer(Glenbrae(), 1), "durable": withMaxPerServer(Glenbrae(), 2).WithDurableJobs(),
	} {
		t.Run(name, func(t *testing.T) {
			eachFault(t, func(t *testing.T, w *World, inject func()) {
				w.Build(site)
				w.Run(settleTime)
				w.OfferLoad(site, 0.6, 8*time.Second)
				w.Run(3 * time.Second)
				inject()
				w.Run(20 * time.Second)
				checkInvariants(t, w)
			})
		})
	}
}

// TestJobsBesideLimitedStep guards against jobs that are rejected because a step waits for
// servers without a task of its own, while there is room for all others.
func TestJobsBesideLimitedStep(t *testing.T) {
	w, site := newThreeOwners(4)
	w.Run(settleTime)
	job := func(count int, milli uint32, estimate time.Duration, stretch float64, limit int) *JobRecord {
		spec := w.Job(site.Classes[0], estimate)
		spec.Timeout, spec.Objective.Stretch = 60*time.Second, stretch
		spec.Steps = []fleet.StepSpec{{Count: count, Need: model.Resources{CPUMilli: milli, MemoryMB: 64}, Estimate: estimate, MaxPerServer: limit}}
		j := w.Submit("tayside-0", spec)
		j.work = estimate
		return j
	}
	wide := job(960, 14000, time.Second, 3, 1) // 40 rounds on all servers
	w.Run(200 * time.Millisecond)
	beside := make([]*JobRecord, 0, 5)
	for range 5 {
		beside = append(beside, job(8, 2000, 3*time.Second, 2, 0))
		w.Run(100 * time.Millisecond)
	}
	w.Run(60 * time.Second)
	checkInvariants(t, w)
	if wide.Result.Kind != fleet.Completed {
		t.Errorf("the wide job is %v", wide.Result)
	}
	for _, j := range beside {
		if took := j.AnsweredAt.Sub(j.SubmittedAt); j.Result.Kind != fleet.Completed || took > 3100*time.Millisecond {
			t.Errorf("a job beside it is %v after %v, want completed without a wait", j.Result, took)
		}
	}
}

// TestLimitedStepOfferedOnce guards against tasks that go back and forth because they are
// offered to the owner with most room, whose servers are all at the limit of the step.
func TestLimitedStepOfferedOnce(t *testing.T) {
	w, site := newThreeOwners(5)
	for _, s := range w.servers {
		if s.Entry.Domain == "ardmore" {
			s.Entry.Capacity.CPUMilli = 9000
		}
	}
	w.Run(settleTime)
	offers := map[model.Instance]int{}
	w.onSend = func(from model.Instance, m fleet.SendPeer) {
		if o, ok := m.Message.(fleet.Offer); ok && o.Job.Offloaded != nil {
			offers[m.To.Instance]++
		}
	}
	spec := w.Job(site.Classes[0], 400*time.Millisecond)
	spec.Steps = []fleet.StepSpec{{Count: 24, Need: model.Resources{CPUMilli: 4000, MemoryMB: 64}, Estimate: 400 * time.Millisecond, MaxPerServer: 1}}
	j := w.Submit("tayside-0", spec)
	j.work = 400 * time.Millisecond
	w.Run(3 * time.Second)
	checkInvariants(t, w)
	total := 0
	for _, n := range offers {
		total += n
	}
	if total != 16 || !j.OnTime() {
		t.Errorf("%d offers %v of 16 tasks that don't fit at their owner; the job is on time: %v", total, offers, j.OnTime())
	}
}
