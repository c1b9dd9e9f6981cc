package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestJobsBeyondMemoryAreRefused guards against an owner that runs out of memory because of
// the jobs that it holds, and against stored jobs that keep all others out.
func TestJobsBeyondMemoryAreRefused(t *testing.T) {
	i, now := oneServer(t, 500)
	i.Step(now, JobsScanned{OK: true})
	job := func(n int, durable bool) JobSpec {
		return JobSpec{
			ID: fmt.Sprint("j", durable, n), Service: "svc", MaxAttempts: 3, Timeout: time.Hour, ReceivedAt: now, Durable: durable,
			Objective: Objective{Allowance: time.Hour},
			Steps:     []StepSpec{{Count: 1000, Need: model.Resources{MemoryMB: 4000}, Estimate: time.Second}},
		}
	}
	spec := job(0, true)
	const held = 5
	i.pool.maxJobMemory = held*spec.memory() + spec.memory()/2
	call := CallID(0)
	submit := func(spec JobSpec) (answer Result, effects []Effect) {
		call++
		effects = i.Step(now, JobSubmitted{Call: call, Job: spec})
		for _, e := range effects {
			if s, ok := e.(SaveJob); ok {
				effects = append(effects, i.Step(now, JobSaved{ID: s.Record.ID, Revision: uint64(call)})...)
			}
		}
		for _, e := range effects {
			if a, ok := e.(Answer); ok {
				answer = a.Result
			}
		}
		return answer, effects
	}
	for n := range 2 * held {
		want := Result{Kind: Accepted}
		if n >= held {
			want = Result{Kind: NotRun, Reason: ReasonMemory, RetryAfter: minRetryAfter}
		}
		if got, _ := submit(job(n, true)); got != want {
			t.Errorf("stored job %d: %+v, want %+v", n, got, want)
		}
	}
	if got, _ := submit(job(0, true)); got.Kind != Accepted {
		t.Errorf("a job that is held, submitted again: %+v", got)
	}
	for n := range 2 * held {
		got, _ := submit(job(n, false))
		if n < held && got.Kind != 0 || n >= held && got.Reason != ReasonMemory {
			t.Errorf("other job %d: %+v, want it to wait if there are fewer than %d", n, got, held)
		}
	}
	orphan := Record{ID: "j9", State: StateOpen, Term: 1, Job: job(9, true), Revision: 1}
	i.holder.scanningAll = true
	i.Step(now, JobsScanned{OK: true, Records: []Record{orphan}})
	if i.holder.jobs["j9"] != nil || i.holder.nextScanAt == 0 {
		t.Errorf("a job is taken over without memory for it, or won't be later: %v", i.holder.nextScanAt)
	}
	i.Step(now, JobCancelled{ID: job(0, true).ID})
	i.Step(now, JobSaved{ID: job(0, true).ID, Conflict: true, Current: &Record{ID: job(0, true).ID, State: StateCancelled}})
	if got, _ := submit(job(held, true)); got.Kind != Accepted {
		t.Errorf("a job after another one has left: %+v", got)
	}
}
