package shard

import (
	"maps"
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// taskID identifies a task within its shard.
type taskID struct {
	key   key
	index uint32
}

// forwardResult sends the result of a task that an earlier owner started to the
// current owner. The instance that ran the task retains the result until that
// owner no longer requests it, as a session reset may lose the message.
func (s *Shard) forwardResult(now model.Time, r *record, res *peerpb.TaskResult) {
	m := s.remoteResult(r.key, res)
	runner := r.job.runnerOf(res.Index, s.env.Self)
	if runner == s.env.Self {
		r.job.clearInFlight(res.Index)
		s.env.unconfirmed.add(now, s, m)
	}
	m.Runner = memberProto(runner)
	s.sendResult(s.view.Owner(), m)
}

func (s *Shard) remoteResult(k key, res *peerpb.TaskResult) *peerpb.RemoteResult {
	return &peerpb.RemoteResult{
		Domain:   string(s.id.Domain),
		Shard:    s.id.Index,
		Identity: k.identity(s.id.Domain),
		Result:   res,
		Runner:   memberProto(s.env.Self),
	}
}

func (s *Shard) sendResult(to Member, m *peerpb.RemoteResult) {
	s.env.send(to.Instance, &peerpb.Message{Body: &peerpb.Message_RemoteResult{RemoteResult: m}})
}

// HandleRemoteResult handles the result of a task that an earlier owner
// started.
func (s *Shard) HandleRemoteResult(now model.Time, m *peerpb.RemoteResult) {
	if s.role != RoleOwner {
		s.forwardToOwner(m)
		return
	}
	runner := memberFromProto(m.Runner)
	r := s.openRecord(m.Identity)
	if r != nil && r.job.awaitsTask(m.Result.Index, runner) {
		s.handleResult(now, r, m.Result)
	}
	if !s.sealed && !s.awaitsResultsFrom(runner) {
		s.sendResultRequest(now, runner)
	}
}

// awaitsResultsFrom reports whether an instance has yet to report any result.
func (s *Shard) awaitsResultsFrom(runner Member) bool {
	for _, r := range s.openJobs {
		if r.job.awaitsAnyTask(runner) {
			return true
		}
	}
	return false
}

// forwardToOwner forwards a result to the owner that succeeded this one.
func (s *Shard) forwardToOwner(m *peerpb.RemoteResult) {
	owner := s.view.Owner()
	if owner == (Member{}) || owner == s.env.Self {
		return
	}
	s.sendView(owner)
	s.sendResult(owner, m)
}

// requestAllResults requests the results that are still awaited.
func (s *Shard) requestAllResults(now model.Time) {
	for _, m := range slices.Clone(s.runners) {
		s.RequestResults(now, m)
	}
}

// RequestResults requests the results that this owner awaits from an instance.
// A sealed shard requests none; its successor will.
func (s *Shard) RequestResults(now model.Time, m Member) {
	if s.role == RoleOwner && !s.sealed && slices.Contains(s.runners, m) {
		s.sendResultRequest(now, m)
	}
}

func (s *Shard) sendResultRequest(now model.Time, m Member) {
	request := &peerpb.RemoteAsk{
		Domain: string(s.id.Domain),
		Shard:  s.id.Index,
		Epoch:  s.view.Epoch,
		Open:   s.awaitedTasks(m),
	}
	if len(request.Open) == 0 {
		s.dropRunner(m)
	}
	if m == s.env.Self {
		s.HandleRemoteAsk(now, m, request)
		return
	}
	s.env.send(m.Instance, &peerpb.Message{Body: &peerpb.Message_RemoteAsk{RemoteAsk: request}})
}

func (s *Shard) dropRunner(m Member) {
	s.runners = slices.DeleteFunc(s.runners, func(x Member) bool { return x == m })
}

// awaitedTasks lists the tasks whose results an instance has yet to report.
func (s *Shard) awaitedTasks(runner Member) []*peerpb.OpenTasks {
	var list []*peerpb.OpenTasks
	for _, number := range slices.Sorted(maps.Keys(s.openJobs)) {
		j := s.openJobs[number].job
		if indexes := j.awaitedFrom(runner); len(indexes) > 0 {
			list = append(list, &peerpb.OpenTasks{
				Identity: j.spec.Identity,
				Indexes:  indexes,
				Runner:   memberProto(runner),
			})
		}
	}
	return list
}

// HandleRemoteAsk answers an owner's request for results with those of the
// tasks that have ended. A task that this instance neither runs nor has a
// result of may have run. Owners of earlier epochs no longer wait for results.
func (s *Shard) HandleRemoteAsk(now model.Time, from Member, m *peerpb.RemoteAsk) {
	if m.Epoch < s.view.Epoch {
		return
	}
	retained := s.env.unconfirmed.retainRequested(s, requestedTasks(m.Open))
	running := s.localInFlight()
	for _, o := range m.Open {
		k := keyOf(o.Identity)
		for _, i := range o.Indexes {
			id := taskID{key: k, index: i}
			switch {
			case retained[id] != nil:
				s.resendResult(now, from, retained[id])
			case !running[id]:
				s.resendResult(now, from, s.remoteResult(k, unknownResult(i)))
			}
		}
	}
}

func (s *Shard) resendResult(now model.Time, to Member, m *peerpb.RemoteResult) {
	if to == s.env.Self {
		s.HandleRemoteResult(now, m)
		return
	}
	s.sendResult(to, m)
}

func requestedTasks(list []*peerpb.OpenTasks) map[taskID]bool {
	requested := make(map[taskID]bool)
	for _, o := range list {
		for _, i := range o.Indexes {
			requested[taskID{key: keyOf(o.Identity), index: i}] = true
		}
	}
	return requested
}

// localInFlight returns the tasks of the shard that are in flight here.
func (s *Shard) localInFlight() map[taskID]bool {
	running := make(map[taskID]bool)
	for _, ref := range s.env.jobs {
		if ref.shard != s || ref.rec.job == nil {
			continue
		}
		for i := range ref.rec.job.states {
			if ref.rec.job.inFlight(i) {
				running[taskID{key: ref.rec.key, index: uint32(i)}] = true
			}
		}
	}
	return running
}

// unknownResult reports that a task may have run.
func unknownResult(i uint32) *peerpb.TaskResult {
	return &peerpb.TaskResult{Index: i, Ran: peerpb.Ran_RAN_UNKNOWN}
}
