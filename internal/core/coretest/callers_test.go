package coretest

import (
	"encoding/binary"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// job is a submission from its caller's point of view.
type job struct {
	w            *world
	name         string
	spec         *peerpb.JobSpec
	copies       int
	final        *peerpb.Answer // first final answer
	toldNotRun   bool           // the caller was told that no task ran or will run
	toldUnknown  bool           // the caller was told that it may have run
	toldNeverRan map[int]bool   // tasks that the caller was told never ran
}

// request is a copy of a submission, a lookup or a cancellation.
type request struct {
	job          *job
	op           core.Op
	firstAttempt bool // sent with FirstAttempt
	at           *proc
	id           uint64
}

// newKey returns a key with timestamp t and counter n.
func newKey(t model.Time, n int) []byte {
	var k [16]byte
	binary.BigEndian.PutUint64(k[:8], uint64(t.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(k[8:], 1<<63|uint64(n))
	return k[:]
}

// newJob creates a submission of n tasks.
func (w *world) newJob(home model.Domain, n int, repeatable bool, age time.Duration) *job {
	j := &job{w: w, name: fmt.Sprintf("job%d", len(w.jobs)), toldNeverRan: make(map[int]bool)}
	j.spec = &peerpb.JobSpec{
		Identity: &peerpb.Identity{
			Customer: "c",
			Home:     string(home),
			Key:      newKey(w.now.Add(-age), len(w.jobs)),
		},
		Kind:       "k",
		Repeatable: repeatable,
		Request:    n == 1,
	}
	for i := range n {
		j.spec.Payloads = append(j.spec.Payloads, []byte(fmt.Sprint(j.name, "/", i)))
	}
	w.jobs = append(w.jobs, j)
	return j
}

func (j *job) key() string { return string(j.spec.Identity.Key) }

// submit sends a copy through an instance. Once a caller has sent another copy,
// it ignores an unrecorded "not run" answer to the first one.
func (j *job) submit(p *proc) {
	spec := proto.Clone(j.spec).(*peerpb.JobSpec)
	spec.FirstAttempt = j.copies == 0
	j.copies++
	j.w.tracef("submit %s copy %d to %s", j.name, j.copies, p.member.Incarnation)
	j.send(p, &request{job: j, op: core.OpSubmit, firstAttempt: spec.FirstAttempt}, core.CallerRequest{Spec: spec})
}

func (j *job) send(p *proc, q *request, c core.CallerRequest) {
	p.nextID++
	q.at = p
	q.id = p.nextID
	p.requests[q.id] = q
	c.ID = q.id
	c.Op = q.op
	p.deliver(c)
}

func (j *job) lookup(p *proc) {
	j.send(p, &request{job: j, op: core.OpLookup}, core.CallerRequest{Identity: j.spec.Identity, Wait: true})
}

func (j *job) cancel(p *proc) {
	j.w.tracef("cancel %s at %s", j.name, p.member.Incarnation)
	j.send(p, &request{job: j, op: core.OpCancel}, core.CallerRequest{Identity: j.spec.Identity})
}

// pendingSubmissions returns the copies that wait for an answer.
func (j *job) pendingSubmissions() []*request {
	var list []*request
	for _, p := range j.w.running() {
		for id := uint64(1); id <= p.nextID; id++ {
			if q := p.requests[id]; q != nil && q.job == j && q.op == core.OpSubmit {
				list = append(list, q)
			}
		}
	}
	return list
}

// settled reports whether the caller needs no further answer.
func (j *job) settled() bool { return j.final != nil || j.toldNotRun || j.toldUnknown }

// retryElsewhere resubmits through another instance.
func (q *request) retryElsewhere() {
	if q.op == core.OpSubmit {
		q.job.retry(time.Second)
	}
}

func (j *job) retry(d time.Duration) {
	j.w.after(d, func() {
		list := j.w.running()
		if j.settled() {
			return
		}
		if len(list) == 0 {
			j.retry(d)
			return
		}
		j.submit(list[j.w.rng.IntN(len(list))])
	})
}

// reply passes an answer to the caller.
func (p *proc) reply(r core.Reply) {
	q := p.requests[r.ID]
	if q == nil || r.Answer.Status == peerpb.Status_STATUS_PENDING {
		return
	}
	delete(p.requests, r.ID)
	q.job.answered(q, r.Answer)
}

func (j *job) answered(q *request, a *peerpb.Answer) {
	j.w.tracef("answer %s to %s: %v %v %s", j.name, q.at.member.Incarnation, a.Status, a.Ran, a.Problem)
	switch {
	case a.Status != peerpb.Status_STATUS_REFUSED || a.Recorded:
		j.checkFinal(a)
	case a.Ran == peerpb.Ran_RAN_NO && (!q.firstAttempt || j.copies == 1):
		j.toldNotRun = true
		j.checkNotRun()
	case a.Problem == shard.ProblemKeyTooOld:
		j.toldUnknown = true
	case q.op == core.OpSubmit && len(j.pendingSubmissions()) == 0:
		j.retry(2 * time.Second)
	}
}

// checkFinal checks a final answer against the job and earlier answers.
func (j *job) checkFinal(a *peerpb.Answer) {
	a = proto.Clone(a).(*peerpb.Answer)
	a.Request = 0
	if j.final != nil && !proto.Equal(a, j.final) {
		j.w.fail("%s: the final answer changed from %v to %v", j.name, j.final, a)
	}
	j.final = a
	switch a.Status {
	case peerpb.Status_STATUS_COMPLETE:
		j.checkComplete(a)
	case peerpb.Status_STATUS_FAILED:
		j.checkFailed(a)
	case peerpb.Status_STATUS_REFUSED:
		j.toldNotRun = a.Ran == peerpb.Ran_RAN_NO
	}
	j.checkNotRun()
}

func (j *job) checkComplete(a *peerpb.Answer) {
	if len(a.Results) != len(j.spec.Payloads) {
		j.w.fail("%s: complete with %d of %d results", j.name, len(a.Results), len(j.spec.Payloads))
	}
	for i, r := range a.Results {
		if int(r.Index) != i || string(r.Output) != string(j.spec.Payloads[i]) {
			j.w.fail("%s: complete with a wrong result for task %d: %v", j.name, i, r)
		}
		if j.w.starts[j.task(i)] == 0 {
			j.w.fail("%s: complete, but task %d never started", j.name, i)
		}
	}
}

func (j *job) checkFailed(a *peerpb.Answer) {
	if a.Ran == peerpb.Ran_RAN_NO {
		j.toldNotRun = true
	}
	for _, r := range a.Results {
		if r.Ran == peerpb.Ran_RAN_NO {
			j.toldNeverRan[int(r.Index)] = true
		}
		if len(r.Output) > 0 {
			j.w.fail("%s: failed, but with output of task %d", j.name, r.Index)
		}
	}
}

func (j *job) task(i int) string { return fmt.Sprintf("%x/%d", j.key(), i) }

// checkNotRun checks the caller's answers against the recorded starts.
func (j *job) checkNotRun() {
	for i := range j.spec.Payloads {
		n := j.w.starts[j.task(i)]
		if n > 0 && (j.toldNotRun || j.toldNeverRan[i]) {
			j.w.fail("%s: task %d was answered \"not run\" but has started", j.name, i)
		}
		if n > 1 && (!j.spec.Repeatable || len(j.spec.Payloads) > 1) {
			j.w.fail("%s: task %d has started %d times", j.name, i, n)
		}
	}
}

func (w *world) jobOf(spec *peerpb.JobSpec) *job {
	for _, j := range w.jobs {
		if j.key() == string(spec.Identity.Key) {
			return j
		}
	}
	return nil
}

// start sends a task to its backend server. Once sent, neither a pause nor the
// death of the sender stops it.
func (p *proc) start(st shard.StartTask) {
	w := p.w
	j := w.jobOf(st.Spec)
	d := shard.TaskDone{Start: st.Start, Ran: w.between(50, w.maxRunMs)}
	done := func(after time.Duration, o sched.Outcome) {
		d.Outcome = o
		w.after(after, func() { p.deliver(core.TaskDone{TaskDone: d}) })
	}
	arrives := w.between(0, 2)
	if !w.chance(w.serverFaultPercent) {
		d.Output = st.Spec.Payloads[st.Start.Index]
		w.after(arrives, func() { w.started(j, st) })
		done(arrives+d.Ran, sched.OutcomeOK)
		return
	}
	switch w.rng.IntN(6) {
	case 0:
		done(arrives, sched.OutcomeNotStarted)
	case 1:
		done(arrives, sched.OutcomeUnreachable)
	case 2:
		w.after(arrives, func() { w.started(j, st) })
		d.Error = "failed"
		done(arrives+d.Ran, sched.OutcomeFailed)
	case 3: // never arrives
		done(arrives+d.Ran, sched.OutcomeLost)
	case 4: // arrives after the sender has given up
		w.after(w.between(1000, 4000), func() { w.started(j, st) })
		done(arrives+d.Ran, sched.OutcomeLost)
	case 5: // slow response
		d.Output = st.Spec.Payloads[st.Start.Index]
		w.after(arrives, func() { w.started(j, st) })
		done(w.between(2000, 6000), sched.OutcomeOK)
	}
}

func (w *world) started(j *job, st shard.StartTask) {
	w.tracef("start %s/%d", j.name, st.Start.Index)
	w.starts[j.task(st.Start.Index)]++
	j.checkNotRun()
}

// checkAnswered checks that every request has been answered.
func (w *world) checkAnswered() {
	for _, p := range w.running() {
		for id := uint64(1); id <= p.nextID; id++ {
			if q := p.requests[id]; q != nil {
				w.traceState(q.job)
				w.fail("%s: request %d (operation %d) at %s was never answered", q.job.name, id, q.op, p.member.Incarnation)
			}
		}
	}
	for _, j := range w.jobs {
		if !j.settled() {
			w.fail("%s: the caller has no answer", j.name)
		}
		j.checkNotRun()
	}
}

// traceState adds each instance's state of a job to the trace.
func (w *world) traceState(j *job) {
	for _, p := range w.running() {
		s := p.core.Status()
		w.tracef("%s suspended %v open %d: %s", p.member.Incarnation, s.Suspended, s.OpenJobs, p.core.Explain(p.clock(), j.spec.Identity))
	}
}

// checkServing checks that new jobs complete through every instance.
func (w *world) checkServing() {
	var list []*job
	for _, p := range w.running() {
		for _, home := range []model.Domain{"a", "b"} {
			for range 2 * shardsPerDomain {
				j := w.newJob(home, 2, false, 0)
				j.submit(p)
				list = append(list, j)
			}
		}
	}
	w.run(20 * time.Second)
	for _, j := range list {
		if j.final == nil || j.final.Status != peerpb.Status_STATUS_COMPLETE {
			w.fail("%s: a new job did not complete after the faults: %v", j.name, j.final)
		}
	}
}
