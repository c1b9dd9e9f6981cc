package shard

import (
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// becomeOwner makes a replica, or an instance without records, the owner. It
// returns the tasks that an earlier owner's instance continues to run.
func (s *Shard) becomeOwner() map[key][]*peerpb.OpenTasks {
	if len(s.records) > 0 {
		s.notify(NotifyTakeover)
	}
	s.role = RoleOwner
	s.followers = nil
	s.log = nil
	s.logBase = s.seq
	s.onCommit = nil
	s.sealed = false
	remote := s.remoteTasks()
	if !slices.Contains(s.runners, s.env.Self) {
		s.env.unconfirmed.retainRequested(s, nil)
	}
	s.handover = nil
	return remote
}

// resumeJobs resumes the jobs after a takeover. Only tasks that no intent
// covers may still be started; those that an intent covers and that have no
// result may have run.
func (s *Shard) resumeJobs(now model.Time, remote map[key][]*peerpb.OpenTasks) {
	for _, r := range s.order {
		if r.job != nil && s.records[r.key] == r {
			s.resumeJob(now, r, remote[r.key])
		}
	}
}

// remoteTasks returns the tasks that the previous owner listed as in flight, if
// the view change was its handover.
func (s *Shard) remoteTasks() map[key][]*peerpb.OpenTasks {
	s.runners = nil
	tasks := make(map[key][]*peerpb.OpenTasks)
	h := s.handover
	if h == nil || h.Epoch+1 != s.view.Epoch {
		return tasks
	}
	for _, o := range h.Open {
		runner := memberFromProto(o.Runner)
		if s.env.Peers.Liveness(runner) == Dead {
			continue
		}
		k := keyOf(o.Identity)
		tasks[k] = append(tasks[k], o)
		if !slices.Contains(s.runners, runner) {
			s.runners = append(s.runners, runner)
		}
	}
	return tasks
}

// Runners returns the instances that have tasks of an earlier owner in flight.
func (s *Shard) Runners() []Member { return s.runners }

func (s *Shard) resumeJob(now model.Time, r *record, remote []*peerpb.OpenTasks) {
	j := r.job
	j.initOwner()
	for _, o := range remote {
		j.markRemote(o)
	}
	if j.failed {
		s.failResumedJob(now, r, ProblemJobFailed)
		return
	}
	if j.unresolvedIntents() > 0 {
		s.failResumedJob(now, r, ProblemResultUnknown)
		return
	}
	s.requeueUncovered(now, r)
}

// markRemote marks tasks that an earlier owner has in flight.
func (j *job) markRemote(o *peerpb.OpenTasks) {
	if j.runners == nil {
		j.runners = make(map[uint32]Member)
	}
	for _, i := range o.Indexes {
		if j.results[i] == nil {
			j.states[i] = taskRemote
			j.runners[i] = memberFromProto(o.Runner)
		}
	}
}

// failResumedJob fails a job that has a failed task, or whose covered tasks may
// have run under the previous owner.
func (s *Shard) failResumedJob(now model.Time, r *record, problem string) {
	r.job.states = nil
	s.failJob(now, r, problem)
}

func (s *Shard) requeueUncovered(now model.Time, r *record) {
	j := r.job
	if int(j.intentUpto) >= len(j.results) {
		return
	}
	s.enqueue(now, r, int(j.intentUpto), len(j.results))
}

// HandleMemberDead handles proof that a process is permanently gone. The owner
// excludes it at once; the replica of a dead owner acts as owner. Neither needs
// the platform: the dead process held the only other copy of the records, and an
// instance without them can become the owner only with a raised admission floor.
func (s *Shard) HandleMemberDead(now model.Time, m Member) {
	if s.env.Suspended {
		return
	}
	switch s.role {
	case RoleOwner:
		s.dropFollower(now, m)
	case RoleReplica:
		if m == s.view.Owner() && s.releasedEpoch != s.view.Epoch {
			s.resumeJobs(now, s.becomeOwner())
		}
	}
}

// CheckMembers applies the known liveness of the view's members, followers and
// runners.
func (s *Shard) CheckMembers(now model.Time) {
	for _, m := range s.view.Members {
		if m != s.env.Self && s.env.Peers.Liveness(m) == Dead {
			s.HandleMemberDead(now, m)
		}
	}
	// Commits may wait for a learner before a view names it.
	for _, f := range slices.Clone(s.followers) {
		if s.env.Peers.Liveness(f.member) == Dead {
			s.HandleMemberDead(now, f.member)
		}
	}
	if s.env.Suspended {
		return
	}
	for _, m := range slices.Clone(s.runners) {
		if s.env.Peers.Liveness(m) == Dead {
			s.HandleRunnerDead(now, m)
		}
	}
}

func (s *Shard) dropFollower(now model.Time, m Member) {
	kept := s.followers[:0]
	for _, f := range s.followers {
		if f.member != m {
			kept = append(kept, f)
		}
	}
	s.followers = kept
	s.runCommitted(now)
	if s.sealed && s.successor == m {
		s.unseal(now)
	}
}

// HandleRunnerDead fails the jobs with tasks in flight at a dead instance.
func (s *Shard) HandleRunnerDead(now model.Time, m Member) {
	if s.role != RoleOwner || s.sealed || !slices.Contains(s.runners, m) {
		return
	}
	s.dropRunner(m)
	for _, r := range s.order {
		if r.job != nil && r.job.awaitsAnyTask(m) {
			s.failJob(now, r, ProblemResultUnknown)
		}
	}
}
