package node

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/wait"
	"github.com/nutmegweir/nutmegweir/platform"
)

// acceptWait bounds the wait for a job to be stored: a store that doesn't answer
// for so long is away, and the caller sends the job again.
const acceptWait = 3 * time.Second

// keep stores a job and answers once that is done.
func (c *callers) keep(w http.ResponseWriter, r *http.Request, j *fleet.JobSpec) {
	if _, known := c.node.jobs.state(j.ID); known {
		platform.WriteState(w, platform.JobQueued)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(j.Timeout, acceptWait))
	defer cancel()
	call, res, ok := c.handIn(ctx, j)
	switch {
	case !ok:
		c.refuse(w, j.ID, platform.Rejection{
			Status: platform.StatusMaybeRun, Problem: "the job could not be stored in time and may still be", Remedy: "Send it again.",
		})
	case res.Kind == fleet.Accepted:
		c.node.notes.answered(call, j, res)
		c.node.jobs.learn(j.ID, fleet.StateOpen)
		platform.WriteState(w, platform.JobQueued)
	default:
		c.reply(w, call, j, res)
	}
}

// pending answers how many kept jobs of a route have not begun.
func (c *callers) pending(w http.ResponseWriter, r *http.Request, route platform.Route) {
	_, res, ok := c.ask(r.Context(), func(call fleet.CallID) fleet.Event {
		return fleet.PendingCountRequested{Call: call, Route: route.Name}
	})
	if ok {
		platform.WritePending(w, res.Count)
	}
}

// states are the words for how a kept job has ended.
var states = map[fleet.JobState]platform.JobState{
	fleet.StateCompleted: platform.JobCompleted,
	fleet.StateFailed:    platform.JobFailed,
	fleet.StateCancelled: platform.JobCancelled,
}

// state answers how far a kept job is: from what is known here, from the holder
// if that is this instance, and else from the store.
func (c *callers) state(w http.ResponseWriter, r *http.Request, id string) {
	known, ok := c.node.jobs.state(id)
	if ok && known == fleet.StateOpen {
		known, ok = c.awaitEnd(r, id)
	}
	if final := states[known]; final != "" {
		platform.WriteState(w, final)
		return
	}
	_, res, answered := c.ask(r.Context(), func(call fleet.CallID) fleet.Event { return fleet.JobStateRequested{Call: call, ID: id} })
	switch {
	case !answered:
		return // the caller has left
	case res.Kind == fleet.Running, ok:
		platform.WriteState(w, platform.JobRunning)
	case res.Kind == fleet.Queued:
		platform.WriteState(w, platform.JobQueued)
	default:
		c.storedState(w, r, id)
	}
}

// endWait is how long a question for the state of an open job waits for its end,
// so that a caller that asks just before it need not ask again.
const endWait = 150 * time.Millisecond

// rereadPause is the time between reads of a job that an instance asks the store
// for: three in the time that a question waits.
const rereadPause = 60 * time.Millisecond

func (c *callers) awaitEnd(r *http.Request, id string) (fleet.JobState, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), endWait)
	defer cancel()
	c.node.jobs.awaitEnd(ctx, id)
	return c.node.jobs.state(id)
}

func (c *callers) storedState(w http.ResponseWriter, r *http.Request, id string) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	e, ok, err := c.readSettled(ctx, id)
	switch {
	case err != nil:
		c.refuseStore(w, id, err)
	case !ok:
		c.refuse(w, id, platform.Rejection{Status: platform.StatusJobNotFound, Problem: "no such job is kept"})
	case e.State != fleet.StateOpen:
		platform.WriteState(w, states[e.State])
	case len(e.Progress) > 0:
		platform.WriteState(w, platform.JobRunning)
	default:
		platform.WriteState(w, platform.JobQueued)
	}
}

// readSettled reads a job, and again for a while if it is open.
func (c *callers) readSettled(ctx context.Context, id string) (e platform.JobEntry, ok bool, err error) {
	for end := time.Now().Add(endWait); ; {
		e, ok, err = c.node.jobs.read(ctx, id)
		if err != nil || !ok || e.State != fleet.StateOpen || time.Now().After(end) || !wait.Sleep(ctx, rereadPause) {
			return e, ok, err
		}
	}
}

func (c *callers) refuseStore(w http.ResponseWriter, id string, err error) {
	c.node.notes.callFailed("read-job", "", err)
	c.refuse(w, id, platform.Rejection{
		Status: platform.StatusNotRun, RetryAfter: time.Second, Problem: "the store does not answer", Remedy: "Come back after the wait.",
	})
}

// cancel cancels a kept job. One that has ended stays as it is.
func (c *callers) cancel(w http.ResponseWriter, r *http.Request, id string) {
	if known, ok := c.node.jobs.state(id); ok && known != fleet.StateOpen {
		platform.WriteState(w, states[known])
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	known, err := c.node.jobs.cancel(ctx, id)
	switch {
	case err != nil:
		c.refuseStore(w, id, err)
	case !known:
		c.refuse(w, id, platform.Rejection{Status: platform.StatusJobNotFound, Problem: "no such job is kept"})
	default:
		state, _ := c.node.jobs.state(id)
		platform.WriteState(w, states[state])
	}
}
