package shard

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// Scheduler is the interface of the task scheduler that the shards use.
type Scheduler interface {
	Submit(now model.Time, j sched.Job) sched.AdmissionResult
	Cancel(now model.Time, h model.JobHandle)
	Done(now model.Time, st sched.Start, o sched.Outcome, ran time.Duration)
}

// Waiter is a request that waits for the answer of a job.
type Waiter struct {
	Instance model.Instance // entry instance that holds the caller's connection
	Request  uint64
}

// Send is a message to another instance.
type Send struct {
	To      model.Instance
	Message *peerpb.Message
}

// Reply is an answer to a waiter.
type Reply struct {
	To     Waiter
	Answer *peerpb.Answer
}

// StartTask asks for a task to be sent to a backend server. The intent that
// covers it is committed.
type StartTask struct {
	Start   sched.Start
	Spec    *peerpb.JobSpec
	Attempt int
}

// Effects collects the outputs of the shards.
type Effects struct {
	Sends         []Send
	Replies       []Reply
	Starts        []StartTask
	Notifications []Notification
}

// NotificationKind is the kind of a Notification.
type NotificationKind uint8

// Kinds of notifications.
const (
	// NotifyTakeover: this instance took over the shard with its records.
	NotifyTakeover NotificationKind = iota
	// NotifyFloorRaised: the records are lost and the admission floor was
	// raised.
	NotifyFloorRaised
)

// Notification reports a change of a shard to operators.
type Notification struct {
	Kind NotificationKind
	ID   ID
	View View
}

// Options are the settings that all shards of an instance share.
type Options struct {
	MaxClockSkew   time.Duration // bound on the error of each instance's clock
	DedupWindow    time.Duration // retention of records, counted from the submission time
	MaxIntentAhead int           // limit on the tasks that an intent covers beyond the one being started
	ResendTimeout  time.Duration // unacknowledged operations are resent after this
	MaxResultDelay time.Duration // limit on the replication delay of a result that no request waits for
	ChunkBytes     int           // target size of a snapshot chunk
	MaxAnswerBytes int64         // limit on the retained answers, over all shards
	RetryBudget    float64       // retries of repeatable tasks as a fraction of starts
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		MaxClockSkew:   250 * time.Millisecond,
		DedupWindow:    15 * time.Minute,
		MaxIntentAhead: 16,
		ResendTimeout:  500 * time.Millisecond,
		MaxResultDelay: 20 * time.Millisecond,
		ChunkBytes:     256 << 10,
		MaxAnswerBytes: 64 << 20,
		RetryBudget:    0.1,
	}
}

// Env is the state that the shards of one instance share.
type Env struct {
	Self      Member
	Opts      Options
	Scheduler Scheduler
	Peers     Peers
	Effects   Effects

	// DefaultDeadline returns the default deadline of a customer's kind,
	// relative to the key's timestamp, or 0 if there is none. It may be nil.
	DefaultDeadline func(model.Customer, model.Kind) time.Duration

	// Leaving is set while the instance shuts down.
	Leaving bool

	// Suspended is set at startup and when a gap between the instance's own
	// ticks shows that it was paused, and cleared once its views are confirmed
	// with the platform. While set, the instance admits and starts nothing and
	// doesn't act on the death of others.
	Suspended bool

	jobs        map[model.JobHandle]jobRef
	lastHandle  model.JobHandle
	flushQueue  []*Shard
	flushing    []*Shard
	links       map[Member]linkState
	retryTokens float64 // token bucket of the retry budget
	answerBytes int64   // size of the retained answers
	unconfirmed unconfirmedResults
}

type jobRef struct {
	shard *Shard
	rec   *record
}

// NewEnv returns an Env. The caller sets Scheduler and Peers before first use.
func NewEnv(self Member, o Options) *Env {
	return &Env{
		Self:  self,
		Opts:  o,
		jobs:  make(map[model.JobHandle]jobRef),
		links: make(map[Member]linkState),
	}
}

// Flush sends the operations that a request or a start waits for, in one batch
// per link and round trip.
func (e *Env) Flush(now model.Time) {
	e.flushing = e.flushing[:0]
	kept := e.flushQueue[:0]
	for _, s := range e.flushQueue {
		if s.linkBusy(now) {
			kept = append(kept, s)
			continue
		}
		e.flushing = append(e.flushing, s)
	}
	e.flushQueue = kept
	for _, s := range e.flushing {
		s.Flush(now)
		s.flushDue = false
	}
}

// linkState tracks the appends in flight to one process.
type linkState struct {
	inFlight int        // sent and not acknowledged
	sentAt   model.Time // time of the latest append
}

// linkTimeout is how long a link counts as busy without an acknowledgement. A
// session reset loses acknowledgements.
const linkTimeout = 50 * time.Millisecond

func (e *Env) linkBusy(now model.Time, m Member) bool {
	l := e.links[m]
	return l.inFlight > 0 && now.Sub(l.sentAt) < linkTimeout
}

func (e *Env) appendSent(now model.Time, m Member) {
	l := e.links[m]
	if now.Sub(l.sentAt) >= linkTimeout {
		l.inFlight = 0
	}
	e.links[m] = linkState{inFlight: l.inFlight + 1, sentAt: now}
}

func (e *Env) appendAcked(m Member) {
	l := e.links[m]
	l.inFlight = max(0, l.inFlight-1)
	e.links[m] = l
}

// OpenJobs returns the number of queued jobs, of jobs with tasks in flight and
// of results whose receipt another owner hasn't confirmed.
func (e *Env) OpenJobs() int { return len(e.jobs) + len(e.unconfirmed.list) }

// TakeEffects returns and clears the collected effects.
func (e *Env) TakeEffects() Effects {
	out := e.Effects
	e.Effects = Effects{}
	return out
}

// HandleBind handles a task that the scheduler bound to a slot.
func (e *Env) HandleBind(now model.Time, st sched.Start) {
	ref, ok := e.jobs[st.Job]
	if !ok {
		e.Scheduler.Done(now, st, sched.OutcomeNotStarted, 0)
		return
	}
	ref.shard.bind(now, ref.rec, st)
}

// HandleDrop handles a job whose unstarted tasks the scheduler dropped.
func (e *Env) HandleDrop(now model.Time, d sched.Drop) {
	ref, ok := e.jobs[d.Job]
	if !ok {
		return
	}
	ref.shard.failJob(now, ref.rec, problemOf(d.Reason))
}

// HandleTaskDone handles the outcome of a start.
func (e *Env) HandleTaskDone(now model.Time, done TaskDone) {
	e.Scheduler.Done(now, done.Start, done.Outcome, done.Ran)
	ref, ok := e.jobs[done.Start.Job]
	if !ok {
		return
	}
	ref.shard.handleTaskDone(now, ref.rec, done)
}

// TaskDone is the outcome of a start.
type TaskDone struct {
	Start      sched.Start
	Outcome    sched.Outcome
	Ran        time.Duration
	Output     []byte
	Error      string
	ServerGone bool // the server process is proven to be gone
}

// provenEnded reports whether the run is known to have ended, so that a retry
// can't run concurrently with it.
func (d TaskDone) provenEnded() bool { return d.Outcome == sched.OutcomeFailed || d.ServerGone }

func (e *Env) register(s *Shard, r *record) model.JobHandle {
	e.lastHandle++
	e.jobs[e.lastHandle] = jobRef{shard: s, rec: r}
	return e.lastHandle
}

func (e *Env) send(to model.Instance, m *peerpb.Message) {
	e.Effects.Sends = append(e.Effects.Sends, Send{To: to, Message: m})
}

func (e *Env) reply(w Waiter, a *peerpb.Answer) {
	e.Effects.Replies = append(e.Effects.Replies, Reply{To: w, Answer: a})
}

// spendRetryToken takes a retry from the budget and reports whether one was
// left.
func (e *Env) spendRetryToken() bool {
	if e.retryTokens < 1 {
		return false
	}
	e.retryTokens--
	return true
}

// maxRetryTokens bounds a burst of retries.
const maxRetryTokens = 32

func (e *Env) earnRetryToken() {
	e.retryTokens = min(e.retryTokens+e.Opts.RetryBudget, maxRetryTokens)
}

func problemOf(r sched.Reason) string {
	switch r {
	case sched.ReasonImpossible:
		return ProblemImpossible
	case sched.ReasonDeadline:
		return ProblemDeadlineUnreachable
	case sched.ReasonQueueFull:
		return ProblemQueueFull
	case sched.ReasonShed:
		return ProblemShed
	case sched.ReasonExpired:
		return ProblemExpired
	case sched.ReasonRate:
		return ProblemRateLimited
	}
	return ProblemInternal
}

// Problem kinds in answers. Package problem holds their texts.
const (
	ProblemContentMismatch     = "content-mismatch"
	ProblemKeyTooOld           = "key-too-old"
	ProblemKeyAheadOfClock     = "key-ahead-of-clock"
	ProblemImpossible          = "impossible"
	ProblemDeadlineUnreachable = "deadline-unreachable"
	ProblemQueueFull           = "queue-full"
	ProblemShed                = "shed"
	ProblemRateLimited         = "rate-limited"
	ProblemExpired             = "expired"
	ProblemCancelled           = "cancelled"
	ProblemJobFailed           = "job-failed"
	ProblemResultUnknown       = "result-unknown"
	ProblemNotFound            = "not-found"
	ProblemNoOwner             = "no-owner"
	ProblemInternal            = "internal"
	// ProblemLinkReset tells an instance that a session reset may have lost
	// messages to it. Callers never see it.
	ProblemLinkReset = "link-reset"
	// ProblemNotOwner tells an entry instance to retry at another instance.
	// Callers never see it.
	ProblemNotOwner = "not-owner"
)
