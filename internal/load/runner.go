package load

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// maxRetryAfter bounds the delay before a rejected job is retried.
const maxRetryAfter = 30 * time.Second

// Target is the target of a run. All addresses are on loopback.
type Target struct {
	Entries []Entry
	Starts  []netip.AddrPort // backend stand-ins that count starts, may be empty
}

// Run offers the workload to the entry instances and returns the report. It ends
// after the workload's duration and drain time, or when ctx is done.
func Run(ctx context.Context, w *Workload, t Target) (*Report, error) {
	if len(t.Entries) == 0 {
		return nil, &AddressError{"", "is missing"}
	}
	for _, e := range t.Entries {
		if _, err := ParseLoopback(e.Addr.String()); err != nil {
			return nil, err
		}
	}
	for _, a := range t.Starts {
		if _, err := ParseLoopback(a.String()); err != nil {
			return nil, err
		}
	}
	r := newRunner(w, t)
	defer r.client.http.CloseIdleConnections()
	r.sendEvents(ctx)
	unanswered := r.explainUnanswered(ctx)
	startsErr := r.compareStarts(ctx)
	return r.report(startsErr, unanswered), nil
}

type runner struct {
	w         *Workload
	target    Target
	client    *client
	recorder  *recorder
	checker   *answerChecker
	startedAt time.Time
	took      time.Duration
	servers   []ServerStarts

	mu         sync.Mutex
	unanswered []unansweredJob
	inFlight   chan struct{} // bounds the calls in flight
	calls      sync.WaitGroup
}

type unansweredJob struct {
	job *Job
	key uuid.UUID
}

// maxUnanswered is how many unanswered jobs the report explains.
const maxUnanswered = 10

func newRunner(w *Workload, t Target) *runner {
	return &runner{
		w:        w,
		target:   t,
		client:   newClient(time.Duration(w.WaitMs) * time.Millisecond),
		recorder: newRecorder(),
		checker:  newAnswerChecker(),
		inFlight: make(chan struct{}, w.MaxInFlight),
	}
}

// sendEvents sends every event at its planned time, regardless of unanswered
// calls, and waits for the answers.
func (r *runner) sendEvents(ctx context.Context) {
	drain := time.Duration(r.w.DrainMs) * time.Millisecond
	calls, stop := context.WithTimeout(ctx, r.w.Duration()+drain)
	defer stop()
	r.startedAt = time.Now()
	gen := NewGenerator(r.w)
	for {
		ev, ok := gen.Next()
		if !ok || !sleepUntil(calls, r.startedAt.Add(ev.At)) {
			break
		}
		r.send(calls, ev)
	}
	r.calls.Wait()
	r.took = time.Since(r.startedAt)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return wait.Sleep(ctx, d)
}

func (r *runner) send(ctx context.Context, ev Event) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.recorder.withLock(func(rec *recorder) { rec.notSent++ })
		return
	}
	r.recorder.recordSendLag(time.Since(r.startedAt.Add(ev.At)))
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		defer func() { <-r.inFlight }()
		r.performEvent(ctx, ev)
	}()
}

func (r *runner) performEvent(ctx context.Context, ev Event) {
	planned := r.startedAt.Add(ev.Job.At)
	key := ev.Job.Key(planned)
	switch ev.Op {
	case OpSubmit:
		reply := r.submitWithFailover(ctx, ev.Job, key)
		r.recordJob(ev.Job, time.Since(planned), reply)
		r.recordUnanswered(ev.Job, key, reply)
		r.retryRefused(ctx, ev.Job, key, reply)
	case OpResubmit:
		reply := r.submit(ctx, ev.Job, key, 1)
		r.recorder.withLock(func(rec *recorder) { rec.resubmits.add(reply.Class) })
	case OpCancel:
		reply := r.client.cancel(ctx, r.pickEntry(ev.Job, 1), ev.Job, key)
		r.recorder.withLock(func(rec *recorder) { rec.cancels.add(reply.Class) })
	}
}

// submitWithFailover retries a failed call with the same key at other instances.
func (r *runner) submitWithFailover(ctx context.Context, j *Job, key uuid.UUID) Reply {
	reply := r.submit(ctx, j, key, 0)
	for i := 1; i <= r.w.LostResubmits && reply.Broken && ctx.Err() == nil; i++ {
		reply = r.submit(ctx, j, key, i)
	}
	return reply
}

func (r *runner) submit(ctx context.Context, j *Job, key uuid.UUID, offset int) Reply {
	first := r.checker.recordCall(j, key)
	reply := r.client.submit(ctx, r.pickEntry(j, offset), j, key, first)
	r.checker.checkReply(j, key, reply)
	return reply
}

// retryRefused retries a rejected job after its Retry-After.
func (r *runner) retryRefused(ctx context.Context, j *Job, key uuid.UUID, reply Reply) {
	for i := 0; i < r.w.RefusedRetries && reply.Class == Refused && reply.RetryAfter > 0; i++ {
		at := time.Now().Add(min(reply.RetryAfter, maxRetryAfter))
		if !sleepUntil(ctx, at) {
			return
		}
		next, key := r.nextAttempt(j, key, at)
		reply = r.submit(ctx, next, key, i+1)
		r.recorder.withLock(func(rec *recorder) { rec.retries.add(reply.Class) })
	}
}

// nextAttempt returns the job and key of the next attempt.
func (r *runner) nextAttempt(j *Job, key uuid.UUID, at time.Time) (*Job, uuid.UUID) {
	next := *j
	if !r.w.RetrySameKey {
		// The same random half with a new time: see client.RetryKey.
		return &next, next.Key(at)
	}
	kind := *j.Kind
	if kind.DeadlineMs > 0 {
		kind.DeadlineMs += at.Sub(r.startedAt.Add(j.At)).Milliseconds()
	}
	next.Kind = &kind
	return &next, key
}

// pickEntry selects an instance: one of the home domain for local jobs, if any is
// known, otherwise any. An offset above 0 selects another one.
func (r *runner) pickEntry(j *Job, offset int) Entry {
	list := r.target.Entries
	if j.Local {
		if local := r.entriesIn(j.Home); len(local) > 0 {
			list = local
		}
	}
	first := int(j.Entry % uint64(len(list)))
	if offset == 0 {
		return list[first]
	}
	return r.pickOther(list[first], j, offset)
}

func (r *runner) pickOther(e Entry, j *Job, offset int) Entry {
	all := r.target.Entries
	if len(all) == 1 {
		return e
	}
	i := int((j.Entry>>16 + uint64(offset)) % uint64(len(all)))
	if all[i] == e {
		i = (i + 1) % len(all)
	}
	return all[i]
}

func (r *runner) entriesIn(domain string) []Entry {
	var list []Entry
	for _, e := range r.target.Entries {
		if e.Domain == domain {
			list = append(list, e)
		}
	}
	return list
}

func (r *runner) recordJob(j *Job, response time.Duration, reply Reply) {
	r.recorder.recordJob(sample{
		at:       j.At,
		response: response,
		ideal:    j.IdealResponse(r.w.Fleet),
		totalRun: j.TotalRun(),
		deadline: time.Duration(j.Kind.DeadlineMs) * time.Millisecond,
		class:    reply.Class,
		problem:  reply.Problem,
		customer: j.Customer,
		kind:     j.Kind.Name,
		phase:    r.w.Phases[j.Phase].Name,
		short:    j.LongestRun().Milliseconds() <= r.w.ShortMs,
	})
}

// recordUnanswered records up to maxUnanswered jobs without a final answer.
func (r *runner) recordUnanswered(j *Job, key uuid.UUID, reply Reply) {
	if reply.Class != Pending {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unanswered) < maxUnanswered {
		r.unanswered = append(r.unanswered, unansweredJob{j, key})
	}
}

// explainUnanswered requests an explanation of each unanswered job.
func (r *runner) explainUnanswered(ctx context.Context) []Unanswered {
	var list []Unanswered
	for _, u := range r.unanswered {
		list = append(list, Unanswered{
			Key:      u.key.String(),
			Customer: u.job.Customer,
			Home:     u.job.Home,
			Kind:     u.job.Kind.Name,
			Tasks:    len(u.job.Tasks),
			Explain:  r.client.explain(ctx, r.pickEntry(u.job, 0), u.job, u.key),
		})
	}
	return list
}

// compareStarts checks the answers against the starts counted by the backend
// stand-ins.
func (r *runner) compareStarts(ctx context.Context) error {
	if len(r.target.Starts) == 0 {
		return nil
	}
	starts, servers, err := fetchStarts(ctx, r.target.Starts)
	if err != nil {
		return err
	}
	r.servers = servers
	r.checker.compareStarts(starts)
	return nil
}
