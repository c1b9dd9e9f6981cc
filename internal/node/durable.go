package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/wait"
	"github.com/nutmegweir/nutmegweir/platform"
)

// acceptTimeout bounds the wait for a job to be stored. A store that does not
// reply by then is unavailable, and the caller resubmits the job.
const acceptTimeout = 3 * time.Second

// submitDurable responds once a job has been stored.
func (c *callerHandler) submitDurable(w http.ResponseWriter, r *http.Request, j *fleet.JobSpec) {
	if known, ok := c.node.jobs.state(j.ID); ok {
		state := platform.JobQueued
		if final := finalStates[known]; final != "" {
			state = final
		}
		platform.WriteState(w, state)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(j.Timeout, acceptTimeout))
	defer cancel()
	call, res, ok := c.submitAndWait(ctx, j)
	switch {
	case !ok:
		c.reject(w, j.ID, platform.Rejection{
			Status: platform.StatusMaybeRun, Problem: "the job could not be stored in time and may still be", Remedy: "Send it again.",
		})
	case res.Kind == fleet.Accepted:
		c.node.limitedLog.jobAnswered(call, j, res)
		c.node.jobs.cacheState(j.ID, fleet.StateOpen)
		platform.WriteState(w, platform.JobQueued)
	default:
		c.writeResult(w, call, j, res)
	}
}

// writePendingCount responds with a route's number of durable jobs not yet started.
func (c *callerHandler) writePendingCount(w http.ResponseWriter, r *http.Request, route platform.Route) {
	_, res, ok := c.postAndWait(r.Context(), func(call fleet.CallID) fleet.Event {
		return fleet.PendingCountRequested{Call: call, Route: route.Name}
	})
	switch {
	case !ok: // caller disconnected
	case res.Kind == fleet.Counted:
		platform.WritePending(w, res.Count)
	default:
		c.reject(w, "", platform.Rejection{
			Status: platform.StatusNotRun, RetryAfter: res.RetryAfter,
			Problem: "the jobs that wait are not known yet: the store does not answer", Remedy: "Come back after the wait.",
		})
	}
}

// finalStates maps final job states to their names in the API.
var finalStates = map[fleet.JobState]platform.JobState{
	fleet.StateCompleted: platform.JobCompleted,
	fleet.StateFailed:    platform.JobFailed,
	fleet.StateCancelled: platform.JobCancelled,
}

// writeJobState responds with a durable job's state: from the cache, from the
// reducer if this instance holds the job, or else from the store.
func (c *callerHandler) writeJobState(w http.ResponseWriter, r *http.Request, id string) {
	known, ok := c.node.jobs.state(id)
	if ok && known == fleet.StateOpen {
		known, ok = c.awaitEnd(r, id)
	}
	if final := finalStates[known]; final != "" {
		platform.WriteState(w, final)
		return
	}
	_, res, answered := c.postAndWait(r.Context(), func(call fleet.CallID) fleet.Event { return fleet.JobStateRequested{Call: call, ID: id} })
	switch {
	case !answered:
		return // caller disconnected
	case res.Kind == fleet.Running, ok:
		platform.WriteState(w, platform.JobRunning)
	case res.Kind == fleet.Queued:
		platform.WriteState(w, platform.JobQueued)
	default:
		c.writeStoredState(w, r, id)
	}
}

// stateWait is how long a state request for an open job waits for it to finish,
// which saves callers that ask just before the end a second request.
const stateWait = 150 * time.Millisecond

// storeReadInterval is the time between store reads of an open job, for three
// reads within stateWait.
const storeReadInterval = 60 * time.Millisecond

func (c *callerHandler) awaitEnd(r *http.Request, id string) (fleet.JobState, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), stateWait)
	defer cancel()
	c.node.jobs.awaitEnd(ctx, id)
	return c.node.jobs.state(id)
}

func (c *callerHandler) writeStoredState(w http.ResponseWriter, r *http.Request, id string) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	e, ok, err := c.readUntilFinal(ctx, id)
	switch {
	case err != nil:
		c.rejectStoreError(w, id, err)
	case !ok:
		c.reject(w, id, unknownJob)
	case e.State != fleet.StateOpen:
		platform.WriteState(w, finalStates[e.State])
	case e.HasStarted():
		platform.WriteState(w, platform.JobRunning)
	default:
		platform.WriteState(w, platform.JobQueued)
	}
}

// readUntilFinal reads a job, for up to stateWait while it is open.
func (c *callerHandler) readUntilFinal(ctx context.Context, id string) (e platform.JobEntry, ok bool, err error) {
	for end := time.Now().Add(stateWait); ; {
		e, ok, err = c.node.jobs.read(ctx, id)
		if err != nil || !ok || e.State != fleet.StateOpen || time.Now().After(end) || !wait.Sleep(ctx, storeReadInterval) {
			return e, ok, err
		}
	}
}

func (c *callerHandler) rejectStoreError(w http.ResponseWriter, id string, err error) {
	c.node.limitedLog.callFailed("read-job", "", err)
	c.reject(w, id, platform.Rejection{
		Status: platform.StatusNotRun, RetryAfter: time.Second, Problem: "the store does not answer", Remedy: "Come back after the wait.",
	})
}

// unknownJob answers requests for a job that isn't stored.
var unknownJob = platform.Rejection{Status: platform.StatusJobNotFound, Problem: "no such job is kept"}

// cancel cancels a job. A finished job is left unchanged. One that isn't stored may be under
// way to the store, or run without being stored: it ends, and no later submission runs it.
func (c *callerHandler) cancel(w http.ResponseWriter, r *http.Request, id string) {
	if known, ok := c.node.jobs.state(id); ok && known != fleet.StateOpen {
		platform.WriteState(w, finalStates[known])
		return
	}
	if !platform.ValidJobID(id) {
		c.reject(w, id, unknownJob)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	known, err := c.node.jobs.cancel(ctx, id)
	switch {
	case errors.Is(err, errTooManyCancels):
		c.reject(w, id, platform.Rejection{
			Status: platform.StatusNotRun, RetryAfter: time.Second, Problem: err.Error(), Remedy: "Come back after the wait.",
		})
	case err != nil:
		c.rejectStoreError(w, id, err)
	case !known:
		c.reject(w, id, unknownJob)
	default:
		state, _ := c.node.jobs.state(id)
		platform.WriteState(w, finalStates[state])
	}
}
