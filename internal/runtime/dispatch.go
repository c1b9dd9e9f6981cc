package runtime

import (
	"context"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// jobStateTimeout bounds the job lookup after a caller's wait has ended.
const jobStateTimeout = 500 * time.Millisecond

// Submit admits a job or finds an existing one. With wait it returns the final
// answer, or a pending one if ctx ends first and the job is known to be admitted.
func (r *Runtime) Submit(ctx context.Context, spec *peerpb.JobSpec, wait bool) (*peerpb.Answer, error) {
	a, err := r.request(ctx, core.CallerRequest{Op: core.OpSubmit, Spec: spec, ReportAdmission: !wait}, wait)
	if err == nil {
		return a, nil
	}
	return r.jobState(ctx, spec.Identity, err)
}

// Lookup returns the answer of a job without submitting it.
func (r *Runtime) Lookup(ctx context.Context, id *peerpb.Identity, wait bool) (*peerpb.Answer, error) {
	a, err := r.request(ctx, core.CallerRequest{Op: core.OpLookup, Identity: id, Wait: wait}, wait)
	if err == nil || !wait {
		return a, err
	}
	return r.jobState(ctx, id, err)
}

// Cancel cancels the unstarted tasks of a job.
func (r *Runtime) Cancel(ctx context.Context, id *peerpb.Identity) (*peerpb.Answer, error) {
	return r.request(ctx, core.CallerRequest{Op: core.OpCancel, Identity: id}, true)
}

// jobState looks a job up after the caller's wait has ended with waitErr, which
// it returns if the lookup fails too.
func (r *Runtime) jobState(ctx context.Context, id *peerpb.Identity, waitErr error) (*peerpb.Answer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), jobStateTimeout)
	defer cancel()
	a, err := r.request(ctx, core.CallerRequest{Op: core.OpLookup, Identity: id}, false)
	if err != nil || a.Status == peerpb.Status_STATUS_REFUSED {
		return nil, waitErr
	}
	return a, nil
}

// request posts a request to the reducer and waits for the reply. With final set
// it skips the pending answer to a submission.
func (r *Runtime) request(ctx context.Context, c core.CallerRequest, final bool) (*peerpb.Answer, error) {
	c.ID = r.requests.Add(1)
	replies := make(chan *peerpb.Answer, 2)
	r.mu.Lock()
	r.pendingRequests[c.ID] = replies
	r.mu.Unlock()
	defer r.dropRequest(c.ID)
	r.Post(c)
	for {
		select {
		case a := <-replies:
			if final && c.Op == core.OpSubmit && a.Status == peerpb.Status_STATUS_PENDING {
				continue
			}
			return a, nil
		case <-ctx.Done():
			r.Post(core.CallerDisconnected{ID: c.ID})
			return nil, ctx.Err()
		case <-r.ctx.Done():
			return nil, context.Canceled
		}
	}
}

func (r *Runtime) dropRequest(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pendingRequests, id)
}

func (r *Runtime) deliverReply(rep core.Reply) {
	r.mu.Lock()
	c := r.pendingRequests[rep.ID]
	r.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c <- rep.Answer:
	default:
	}
}

// Explain describes the state of a job in plain text.
func (r *Runtime) Explain(ctx context.Context, id *peerpb.Identity) (string, error) {
	var text string
	err := r.query(ctx, func() { text = r.core.Explain(r.clock.now(), id) })
	return text, err
}

// SchedulerStats returns the scheduler's statistics, or false when the instance
// is closing.
func (r *Runtime) SchedulerStats(ctx context.Context) (sched.Stats, bool) {
	var s sched.Stats
	err := r.query(ctx, func() { s = r.core.SchedulerStats() })
	return s, err == nil
}

// Status returns the status of the instance and its domain, or nil when it is
// closing.
func (r *Runtime) Status(ctx context.Context) *api.InstanceStatus {
	var s *api.InstanceStatus
	if r.query(ctx, func() { s = r.core.Status() }) != nil {
		return nil
	}
	return s
}
