package core

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// detectPause suspends this instance if it did not run for half of the silence
// bound, as others may have taken over its shards. Its views become valid again
// once a write has confirmed them.
func (r *Reducer) detectPause(now model.Time) {
	gap := now.Sub(r.lastTick)
	if r.lastTick != 0 && gap < r.opts.SilenceBound/2 {
		return
	}
	if r.lastTick != 0 {
		r.suspend(now)
	}
	r.lastTick = now
}

func (r *Reducer) suspend(now model.Time) {
	r.peers.resetAllSilence(now)
	r.plan.suspendedAt = now
	r.plan.requiredConfirmSeq = 0
	if !r.env.Suspended {
		r.notify(Notification{Kind: NotifySuspended})
	}
	r.env.Suspended = true
	r.readViews()
}

// bind passes a bound start on. While the instance is suspended, the start
// keeps its slot and waits, because the scheduler would rebind it at once.
func (r *Reducer) bind(now model.Time, st sched.Start) {
	if r.env.Suspended {
		r.heldStarts = append(r.heldStarts, st)
		return
	}
	r.env.HandleBind(now, st)
}

func (r *Reducer) bindHeld(now model.Time) {
	held := r.heldStarts
	r.heldStarts = nil
	for _, st := range held {
		r.env.HandleBind(now, st)
	}
}
