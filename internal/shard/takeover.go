package shard

import (
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// InstallView takes a view that the platform holds. Older views are ignored.
func (s *Shard) InstallView(now model.Time, v View) {
	if v.Epoch <= s.view.Epoch {
		return
	}
	old := s.view
	s.view = v
	s.floor = max(s.floor, v.Floor)
	s.fence = max(s.fence, v.Epoch)
	switch {
	case v.Owner() == s.env.Self:
		s.installOwner(now, old)
	case v.Has(s.env.Self):
		s.installReplica(now, old)
	case s.role == RoleLearner && v.Owner() == s.from:
		// The owner has lost a replica while this instance learns.
	default:
		s.leave(now)
	}
}

func (s *Shard) note(k NoteKind) {
	s.env.Out.Notes = append(s.env.Out.Notes, Note{Kind: k, ID: s.id, View: s.view})
}

func (s *Shard) installOwner(now model.Time, old View) {
	if s.role != RoleOwner {
		if !old.Has(s.env.Self) {
			s.reset()
			if old.Epoch > 0 {
				s.note(NoteFloor)
			}
		}
		open := s.beginOwning()
		// What the takeover appends has to reach the replica.
		s.keepMembers()
		s.resumeJobs(now, open)
	}
	s.keepMembers()
	s.unseal(now)
	s.notifyView()
	s.advance(now)
}

// keepMembers makes the followers match the view. A learner that the view
// does not name yet stays.
func (s *Shard) keepMembers() {
	kept := s.followers[:0]
	for _, f := range s.followers {
		inView := s.view.Has(f.member)
		if !inView && (f.required || !f.synced) {
			continue
		}
		f.required = inView
		kept = append(kept, f)
	}
	s.followers = kept
	for _, m := range s.view.Members {
		if m != s.env.Self && s.follower(m.Instance) == nil {
			s.addFollower(m)
		}
	}
}

// addFollower adds the replica that the view names. It holds what this
// instance held when the view changed hands.
func (s *Shard) addFollower(m Member) {
	s.followers = append(s.followers, &follower{
		member:   m,
		required: true,
		synced:   true,
		acked:    s.logBase,
		sent:     s.logBase,
	})
}

func (s *Shard) notifyView() {
	for _, f := range s.followers {
		s.env.send(f.member.Instance, &peerpb.Message{
			Body: &peerpb.Message_View{View: s.view.Proto(s.id)},
		})
		f.sent = f.acked
	}
	s.markUrgent()
}

// beginOwning makes a replica, or an instance without records, the owner. It
// returns the tasks that the previous owner goes on with.
func (s *Shard) beginOwning() map[key][]*peerpb.OpenTasks {
	if len(s.records) > 0 {
		s.note(NoteTakeover)
	}
	s.role = RoleOwner
	s.followers = nil
	s.log = nil
	s.logBase = s.seq
	s.waits = nil
	s.sealed = false
	open := s.remoteTasks()
	s.handOver = nil
	return open
}

// resumeJobs goes on with the jobs. Only tasks that no intent covers may start
// from here on; those that an intent covers and no result closes may have run.
func (s *Shard) resumeJobs(now model.Time, open map[key][]*peerpb.OpenTasks) {
	for _, r := range s.order {
		if r.job != nil && s.records[r.key] == r {
			s.resume(now, r, open[r.key])
		}
	}
}

// remoteTasks returns the tasks that the previous owner has announced to be
// in flight, if the view changed hands by its hand-over.
func (s *Shard) remoteTasks() map[key][]*peerpb.OpenTasks {
	s.runners = nil
	tasks := make(map[key][]*peerpb.OpenTasks)
	h := s.handOver
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

func (s *Shard) resume(now model.Time, r *record, remote []*peerpb.OpenTasks) {
	j := r.job
	j.own()
	for _, o := range remote {
		j.awaitRunner(o)
	}
	if j.failed {
		s.giveUpResumed(now, r, ProblemJobFailed)
		return
	}
	if j.openIntents() > 0 {
		s.giveUpResumed(now, r, ProblemUnknown)
		return
	}
	s.requeue(now, r)
}

// awaitRunner marks tasks that an earlier owner has in flight.
func (j *job) awaitRunner(o *peerpb.OpenTasks) {
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

// giveUpResumed fails a job whose covered tasks may have run under the
// previous owner.
func (s *Shard) giveUpResumed(now model.Time, r *record, problem string) {
	r.job.states = nil
	s.giveUp(now, r, problem)
}

func (s *Shard) requeue(now model.Time, r *record) {
	j := r.job
	if int(j.intent) >= len(j.results) {
		return
	}
	h := s.env.register(s, r)
	j.handles = append(j.handles, h)
	s.env.Queue.Submit(now, s.queueJob(h, j.spec, int(j.intent), true))
}

// installReplica follows the view's owner with the records at hand.
func (s *Shard) installReplica(now model.Time, old View) {
	if s.role == RoleOwner {
		s.demote(now)
	}
	s.role = RoleReplica
	s.from = s.view.Owner()
	s.handOver = nil
}

// demote turns an owner into a replica. Tasks in flight are reported to the
// new owner as they end. The entry instances are told to ask the new owner.
func (s *Shard) demote(now model.Time) {
	// The new owner has to know the view before the results come.
	s.sendView(s.view.Owner())
	s.releaseWaits(now)
	for _, r := range s.order {
		if r.job != nil {
			s.unqueueKeepFlight(now, r)
		}
	}
	s.followers = nil
	s.log = nil
	for _, p := range s.parked {
		s.sendAway([]Waiter{p.waiter})
	}
	s.parked = nil
	s.sealed = false
	for _, h := range s.held {
		s.forwardResult(h.rec, h.res)
	}
	s.held = nil
}

// releaseWaits gives back the slots of starts that will not leave.
func (s *Shard) releaseWaits(now model.Time) {
	for _, w := range s.waits {
		if w.rec != nil {
			s.env.Queue.Done(now, w.start, sched.OutcomeNotStarted, 0)
		}
		s.sendAway(w.waiters)
	}
	s.waits = nil
}

// sendAway tells waiters to ask the new owner.
func (s *Shard) sendAway(waiters []Waiter) {
	for _, w := range waiters {
		s.refuse(w, ProblemNotOwner, peerpb.Ran_RAN_UNKNOWN, 0)
	}
}

// unqueueKeepFlight removes a job from the queue. Its handles stay known while
// tasks are in flight, so that their results find the record.
func (s *Shard) unqueueKeepFlight(now model.Time, r *record) {
	j := r.job
	for _, h := range j.handles {
		s.env.Queue.Cancel(now, h)
		if j.started == 0 {
			delete(s.env.jobs, h)
		}
	}
	s.sendAway(j.waiters)
	j.waiters = nil
}

// leave forgets a shard that is held elsewhere.
func (s *Shard) leave(now model.Time) {
	if s.role == RoleOwner {
		s.demote(now)
	}
	s.role = RoleNone
	s.from = s.view.Owner()
	s.reset()
}

// Seal stops new claims and starts, so that the shard can be handed over to
// its replica. Intents beyond the started tasks are taken back, which only
// the owner can do.
func (s *Shard) Seal(now model.Time, target Member) {
	if s.sealed || s.role != RoleOwner {
		return
	}
	s.sealed = true
	s.target = target
	s.releaseStarts(now)
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
	// The acknowledgement of an operation that is sent after the note shows
	// that the successor has the note.
	s.sealNote = h
	s.sendSealNote()
	s.appendFloor(now)
	s.markUrgent()
}

func (s *Shard) sendSealNote() {
	s.env.send(s.target.Instance, &peerpb.Message{
		Body: &peerpb.Message_HandOver{HandOver: s.sealNote},
	})
}

func (s *Shard) releaseStarts(now model.Time) {
	kept := s.waits[:0]
	for _, w := range s.waits {
		if w.rec == nil {
			kept = append(kept, w)
			continue
		}
		s.start(now, w.rec, w.start)
	}
	s.waits = kept
}

// sealJob takes back the intents of tasks that have not started. Tasks in
// flight are listed for the successor.
func (s *Shard) sealJob(now model.Time, r *record, h *peerpb.HandOver) {
	j := r.job
	for _, hd := range j.handles {
		s.env.Queue.Cancel(now, hd)
	}
	upto := uint32(0)
	for i := range j.states {
		if !j.unstarted(i) {
			upto = uint32(i) + 1
		}
	}
	if upto < j.intent {
		j.intent = upto
		s.append(now, &peerpb.Operation{Body: &peerpb.Operation_Intent{
			Intent: &peerpb.Intent{Record: r.number, Upto: upto},
		}})
	}
	h.Open = append(h.Open, s.inFlight(j)...)
}

// inFlight lists the tasks of a job that are in flight, by who reports them.
func (s *Shard) inFlight(j *job) []*peerpb.OpenTasks {
	var list []*peerpb.OpenTasks
	for i, st := range j.states {
		var runner Member
		switch st {
		case taskStarted:
			runner = s.env.Self
		case taskRemote:
			runner = j.runners[uint32(i)]
		default:
			continue
		}
		list = addOpen(list, j.spec.Identity, runner, uint32(i))
	}
	return list
}

func addOpen(list []*peerpb.OpenTasks, id *peerpb.Identity, runner Member, i uint32) []*peerpb.OpenTasks {
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

// unseal goes on as owner after a hand-over that did not take place.
func (s *Shard) unseal(now model.Time) {
	if !s.sealed {
		return
	}
	s.sealed = false
	held := s.held
	s.held = nil
	for _, h := range held {
		switch {
		case h.rec.job == nil:
		case h.res.Ran == peerpb.Ran_RAN_NO:
			h.rec.job.states[h.res.Index] = taskQueued
		default:
			s.result(now, h.rec, h.res)
		}
	}
	for _, r := range s.order {
		if r.job != nil && s.records[r.key] == r {
			s.requeueOpen(now, r)
		}
	}
	s.unpark(now)
}

// requeueOpen queues the tasks of a job that are neither in flight nor closed.
func (s *Shard) requeueOpen(now model.Time, r *record) {
	j := r.job
	first := len(j.states)
	for i := len(j.states) - 1; i >= 0 && (j.states[i] == taskQueued || j.states[i] == taskBound); i-- {
		j.states[i] = taskQueued
		first = i
	}
	if first < len(j.states) {
		h := s.env.register(s, r)
		j.handles = append(j.handles, h)
		s.env.Queue.Submit(now, s.queueJob(h, j.spec, first, true))
	}
	for i := range first {
		if j.states[i] == taskQueued || j.states[i] == taskBound {
			s.requeueOne(now, r, i)
		}
	}
}

func (s *Shard) requeueOne(now model.Time, r *record, i int) {
	j := r.job
	j.states[i] = taskQueued
	h := s.env.register(s, r)
	j.handles = append(j.handles, h)
	q := s.queueJob(h, j.spec, i, true)
	q.Tasks = i + 1
	s.env.Queue.Submit(now, q)
}

func (s *Shard) unpark(now model.Time) {
	parked := s.parked
	s.parked = nil
	for _, p := range parked {
		s.Submit(now, p.spec, p.waiter, p.report)
	}
}

// HandleHandOver keeps the list of tasks that the owner has in flight.
func (s *Shard) HandleHandOver(from Member, m *peerpb.HandOver) {
	if s.role == RoleReplica && from == s.from && m.Epoch == s.view.Epoch {
		s.handOver = m
	}
}

// forwardResult sends the result of a task that this instance started as
// owner to the present owner.
func (s *Shard) forwardResult(r *record, res *peerpb.TaskResult) {
	owner := s.view.Owner()
	s.env.send(owner.Instance, &peerpb.Message{Body: &peerpb.Message_RemoteResult{
		RemoteResult: &peerpb.RemoteResult{
			Domain:   string(s.id.Domain),
			Shard:    s.id.Index,
			Identity: r.key.identity(s.id.Domain),
			Result:   res,
		},
	}})
}

// HandleRemoteResult takes the result of a task that an earlier owner started.
func (s *Shard) HandleRemoteResult(now model.Time, m *peerpb.RemoteResult) {
	if s.role != RoleOwner {
		s.passOn(m)
		return
	}
	r := s.openRecord(m.Identity)
	if r == nil || r.job.states[m.Result.Index] != taskRemote {
		return
	}
	s.result(now, r, m.Result)
}

// passOn sends a result to the owner that came after this one.
func (s *Shard) passOn(m *peerpb.RemoteResult) {
	owner := s.view.Owner()
	if owner == (Member{}) || owner == s.env.Self {
		return
	}
	s.sendView(owner)
	s.env.send(owner.Instance, &peerpb.Message{Body: &peerpb.Message_RemoteResult{RemoteResult: m}})
}

func (s *Shard) sendView(to Member) {
	s.env.send(to.Instance, &peerpb.Message{Body: &peerpb.Message_View{View: s.view.Proto(s.id)}})
}

// MemberDead takes the proof that a process is gone for ever. The owner leaves
// it out at once; a replica whose owner it was acts as owner. Neither needs
// the platform: the dead process held the only other copy, so nobody else can
// act for the shard with records, and without records only above a floor.
func (s *Shard) MemberDead(now model.Time, m Member) {
	if s.env.Suspended {
		return
	}
	switch s.role {
	case RoleOwner:
		s.dropFollower(now, m)
	case RoleReplica:
		if m == s.view.Owner() && s.released != s.view.Epoch {
			s.resumeJobs(now, s.beginOwning())
		}
	}
}

// CheckMembers applies what is known of the members of the view.
func (s *Shard) CheckMembers(now model.Time) {
	for _, m := range s.view.Members {
		if m != s.env.Self && s.env.Peers.Liveness(m) == Dead {
			s.MemberDead(now, m)
		}
	}
	// A learner may be needed for commits before a view names it.
	for _, f := range slices.Clone(s.followers) {
		if s.env.Peers.Liveness(f.member) == Dead {
			s.MemberDead(now, f.member)
		}
	}
	if s.env.Suspended {
		return
	}
	for _, m := range slices.Clone(s.runners) {
		if s.env.Peers.Liveness(m) == Dead {
			s.LoseRunner(now, m)
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
	s.advance(now)
	if s.sealed && s.target == m {
		s.unseal(now)
	}
}

// LoseRunner fails the jobs with tasks that an instance would have reported
// whose reports are lost.
func (s *Shard) LoseRunner(now model.Time, m Member) {
	if s.role != RoleOwner || s.sealed || !slices.Contains(s.runners, m) {
		return
	}
	s.runners = slices.DeleteFunc(s.runners, func(x Member) bool { return x == m })
	for _, r := range s.order {
		if r.job != nil && r.job.awaits(m) {
			s.giveUp(now, r, ProblemUnknown)
		}
	}
}
