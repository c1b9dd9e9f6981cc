package fleetsim

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Callers of jobs that aren't durable submit a job again whose answer they have lost.
const (
	resubmitDelay  = 1300 * time.Millisecond
	maxSubmissions = 4
)

// caller is the caller of a job that submits it again if its answer is lost or doesn't
// tell whether the job has run.
type caller struct {
	submissions int
	mayHaveRun  bool // an earlier submission may have run
}

// mayHaveRun reports whether an earlier submission of the job may have run.
func (j *JobRecord) mayHaveRun() bool { return j.caller != nil && j.caller.mayHaveRun }

// SubmitUntilAnswered submits a job at an instance, and again at others if its answer is
// lost.
func (w *World) SubmitUntilAnswered(at model.Instance, spec fleet.JobSpec, work time.Duration) *JobRecord {
	return w.submitFor(&caller{}, at, spec, work)
}

func (w *World) submitFor(c *caller, at model.Instance, spec fleet.JobSpec, work time.Duration) *JobRecord {
	c.submissions++
	j := w.newRecord(spec)
	j.caller, j.work = c, work
	w.submit(w.instance(at), j)
	return j
}

// submitAgain submits a job again later if its answer was lost or leaves open whether it
// has run.
func (w *World) submitAgain(from *simInstance, j *JobRecord) {
	c := j.caller
	if c == nil || j.Result.Kind != fleet.Unknown || c.submissions == maxSubmissions {
		return
	}
	c.mayHaveRun = true
	draw := w.anotherInstance
	if w.resubmitAt != nil {
		draw = func(from *simInstance) *simInstance { return w.resubmitAt(from, j) }
	}
	w.After(resubmitDelay, func() {
		if at := draw(from); at != nil {
			w.submitFor(c, at.member.Instance, j.Spec, j.work)
		}
	})
}

// anotherInstance draws an instance that accepts connections, preferably another one
// than from. It returns nil if there is none.
func (w *World) anotherInstance(from *simInstance) *simInstance {
	var open []*simInstance
	for _, n := range w.instances {
		if n != from && n.alive && !n.frozen {
			open = append(open, n)
		}
	}
	switch {
	case len(open) > 0:
		return open[w.Rand.IntN(len(open))]
	case from.alive && !from.frozen:
		return from
	}
	return nil
}

// LoseCaller breaks the connection of the caller of a job, which submits it again. The
// instance notices after noticeDelay, or after it has woken.
func (w *World) LoseCaller(j *JobRecord, noticeDelay time.Duration) {
	for _, n := range w.instances {
		for id, c := range n.calls {
			if c != j || j.AnsweredAt != 0 {
				continue
			}
			j.AnsweredAt, j.Result, j.lost = w.now, fleet.Result{Kind: fleet.Unknown}, true
			w.submitAgain(n, j)
			n.lostCalls[id] = w.now
			w.later(n, noticeDelay, func() { w.step(n, fleet.CallerDisconnected{Call: id}) })
		}
	}
}

// LoseCallerUnnoticed breaks the connection of the caller of a job, which submits it again.
// The instance isn't told, as when the path to the caller is cut at that moment.
func (w *World) LoseCallerUnnoticed(j *JobRecord) {
	for _, n := range w.instances {
		if j.AnsweredAt == 0 && n.holds(j) {
			j.AnsweredAt, j.Result, j.lost = w.now, fleet.Result{Kind: fleet.Unknown}, true
			w.submitAgain(n, j)
		}
	}
}

// inputProcessed returns up to when an instance has noticed which callers left.
func (n *simInstance) inputProcessed(now fleet.Time) fleet.Time {
	at := now
	for _, lost := range n.lostCalls {
		at = min(at, lost)
	}
	return at
}

// LoseCallers breaks the connections of a share of the callers at an instance, each at
// some time within d.
func (w *World) LoseCallers(at model.Instance, share float64, d time.Duration) {
	n := w.instance(at)
	var open []*JobRecord
	for _, j := range w.submissions {
		if j.AnsweredAt == 0 && n.holds(j) && w.Rand.Float64() < share {
			open = append(open, j)
		}
	}
	for _, j := range open {
		w.After(w.upTo(d), func() { w.LoseCaller(j, w.upTo(w.NoticeTime)) })
	}
}

// loseCallersUnnoticed breaks the connections of a share of the callers at an instance, which
// isn't told.
func (w *World) loseCallersUnnoticed(at model.Instance, share float64) {
	n := w.instance(at)
	for _, j := range w.submissions {
		if j.AnsweredAt == 0 && n.holds(j) && w.Rand.Float64() < share {
			w.LoseCallerUnnoticed(j)
		}
	}
}
