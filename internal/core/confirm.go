package core

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// resume ends a suspension. An instance that the views name must find its
// confirming write in the document. One that they don't name holds nothing that
// others could have taken over, so a read after the pause suffices.
func (r *Reducer) resume(now model.Time, readAt model.Time) {
	if !r.env.Suspended || !r.viewsConfirmed(readAt) {
		return
	}
	r.env.Suspended = false
	r.notify(Notification{Kind: NotifyResumed})
	r.checkMembers(now)
	r.bindHeld(now)
}

func (r *Reducer) viewsConfirmed(readAt model.Time) bool {
	own := r.ownInfo()
	if own == nil {
		return readAt != 0 && readAt >= r.plan.suspendedAt
	}
	return r.plan.requiredConfirmSeq != 0 && own.ConfirmSeq >= r.plan.requiredConfirmSeq
}

// ownInfo returns this instance's entry in the document, or nil.
func (r *Reducer) ownInfo() *InstanceInfo {
	for i := range r.plan.doc.Instances {
		if r.plan.doc.Instances[i].Member == r.opts.Self {
			return &r.plan.doc.Instances[i]
		}
	}
	return nil
}

// writeConfirmation writes the document with a higher confirmation number for
// this instance.
func (r *Reducer) writeConfirmation() {
	own := r.ownInfo()
	if own == nil || !r.plan.docKnown {
		r.readViews()
		return
	}
	if r.plan.writePending {
		return
	}
	doc := r.plan.doc
	doc.Instances = append([]InstanceInfo(nil), doc.Instances...)
	r.plan.lastConfirmSeq = max(own.ConfirmSeq, r.plan.lastConfirmSeq) + 1
	if r.plan.requiredConfirmSeq == 0 {
		r.plan.requiredConfirmSeq = r.plan.lastConfirmSeq
	}
	for i := range doc.Instances {
		if doc.Instances[i].Member == r.opts.Self {
			doc.Instances[i].ConfirmSeq = r.plan.lastConfirmSeq
		}
	}
	r.plan.writePending = true
	r.effects.WriteViews = &WriteViews{Index: r.plan.index, Doc: doc}
}
