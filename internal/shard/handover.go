package shard

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// Seal stops new claims and starts, so that the shard can be handed over to its
// replica. It withdraws the intents of unstarted tasks, which only the owner
// can do.
func (s *Shard) Seal(now model.Time, target Member) {
	if s.sealed || s.role != RoleOwner {
		return
	}
	s.sealed = true
	s.successor = target
	s.abortPendingStarts(now)
	h := &peerpb.HandOver{
		Domain:  string(s.id.Domain),
		Shard:   s.id.Index,
		Epoch:   s.view.Epoch,
		Leaving: s.env.Leaving,
	}
	for _, r := range s.order {
		if r.job != nil && s.records[r.key] == r {
			s.sealJob(now, r, h)
		}
	}
	// The floor operation below is sent after the handover message, so that its
	// acknowledgement shows that the successor has the message.
	s.handoverMessage = h
	s.sendHandover()
	s.appendFloor(now)
	s.requestFlush()
}

func (s *Shard) sendHandover() {
	s.env.send(s.successor.Instance, &peerpb.Message{
		Body: &peerpb.Message_HandOver{HandOver: s.handoverMessage},
	})
}

func (s *Shard) abortPendingStarts(now model.Time) {
	kept := s.onCommit[:0]
	for _, a := range s.onCommit {
		if a.rec == nil {
			kept = append(kept, a)
			continue
		}
		s.start(now, a.rec, a.start)
	}
	s.onCommit = kept
}

// sealJob withdraws the intents of unstarted tasks and lists the tasks in
// flight for the successor.
func (s *Shard) sealJob(now model.Time, r *record, h *peerpb.HandOver) {
	j := r.job
	for _, hd := range j.handles {
		s.env.Scheduler.Cancel(now, hd)
	}
	upto := uint32(0)
	for i := range j.states {
		if !j.unstarted(i) {
			upto = uint32(i) + 1
		}
	}
	if upto < j.intentUpto {
		j.intentUpto = upto
		s.append(now, &peerpb.Operation{Body: &peerpb.Operation_Intent{
			Intent: &peerpb.Intent{Record: r.number, Upto: upto},
		}})
	}
	s.deferNotStarted(r, upto)
	h.Open = append(h.Open, s.inFlightTasks(j)...)
}

// deferNotStarted defers a "not started" result for each task that a backend
// server rejected and whose intent can't be withdrawn because a later task has
// started. Such tasks count as in flight here: the successor starts them once
// it has the result (spec/replication.pml, W_HANDOVER_QUEUED_UNLISTED). Listing
// them as free to start would be unsafe, as the message may belong to a failed
// handover.
func (s *Shard) deferNotStarted(r *record, upto uint32) {
	for i := range int(upto) {
		if r.job.unstarted(i) {
			s.deferredResults = append(s.deferredResults, deferredResult{rec: r, res: notStartedResult(i)})
		}
	}
}

// inFlightTasks lists a job's tasks in flight by the instance that reports
// them.
func (s *Shard) inFlightTasks(j *job) []*peerpb.OpenTasks {
	var list []*peerpb.OpenTasks
	for i, st := range j.states {
		var runner Member
		switch st {
		case taskStarted:
			runner = s.env.Self
		case taskRemote:
			runner = j.runners[uint32(i)]
		default:
			if uint32(i) >= j.intentUpto || !j.unstarted(i) {
				continue
			}
			runner = s.env.Self // see deferNotStarted
		}
		list = addOpenTask(list, j.spec.Identity, runner, uint32(i))
	}
	return list
}

func addOpenTask(list []*peerpb.OpenTasks, id *peerpb.Identity, runner Member, i uint32) []*peerpb.OpenTasks {
	for _, o := range list {
		if memberFromProto(o.Runner) == runner {
			o.Indexes = append(o.Indexes, i)
			return list
		}
	}
	return append(list, &peerpb.OpenTasks{
		Identity: id,
		Indexes:  []uint32{i},
		Runner:   memberProto(runner),
	})
}

// unseal resumes ownership after a handover that did not take place.
func (s *Shard) unseal(now model.Time) {
	if !s.sealed {
		return
	}
	s.sealed = false
	results := s.deferredResults
	s.deferredResults = nil
	for _, d := range results {
		switch {
		case d.rec.job == nil:
		case d.res.Ran == peerpb.Ran_RAN_NO:
			d.rec.job.states[d.res.Index] = taskQueued
		default:
			s.handleResult(now, d.rec, d.res)
		}
	}
	for _, r := range s.order {
		if r.job != nil && s.records[r.key] == r {
			s.requeueUnstarted(now, r)
		}
	}
	s.resubmitDeferred(now)
}

// requeueUnstarted requeues the tasks of a job that are neither in flight nor
// closed.
func (s *Shard) requeueUnstarted(now model.Time, r *record) {
	j := r.job
	first := len(j.states)
	for i := len(j.states) - 1; i >= 0 && (j.states[i] == taskQueued || j.states[i] == taskBound); i-- {
		j.states[i] = taskQueued
		first = i
	}
	if first < len(j.states) {
		s.enqueue(now, r, first, len(j.states))
	}
	for i := range first {
		if j.states[i] == taskQueued || j.states[i] == taskBound {
			s.requeueTask(now, r, i)
		}
	}
}

func (s *Shard) requeueTask(now model.Time, r *record, i int) {
	r.job.states[i] = taskQueued
	s.enqueue(now, r, i, i+1)
}

func (s *Shard) resubmitDeferred(now model.Time) {
	submissions := s.deferredSubmissions
	s.deferredSubmissions = nil
	for _, d := range submissions {
		s.Submit(now, d.spec, d.waiter, d.report)
	}
}

// HandleHandOver stores the owner's list of tasks in flight.
func (s *Shard) HandleHandOver(from Member, m *peerpb.HandOver) {
	if s.role == RoleReplica && from == s.source && m.Epoch == s.view.Epoch {
		s.handover = m
	}
}
