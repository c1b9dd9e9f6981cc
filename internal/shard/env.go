package shard

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// Scheduler is the scheduler as the shards use it.
type Scheduler interface {
	Submit(now model.Time, j sched.Job) sched.AdmissionResult
	Cancel(now model.Time, h model.JobHandle)
	Done(now model.Time, st sched.Start, o sched.Outcome, ran time.Duration)
}

// Waiter is a request that waits for the answer of a job.
type Waiter struct {
	Instance model.Instance // the entry instance that holds the caller
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

// StartTask asks for a committed start to be sent to a backend server.
type StartTask struct {
	Start   sched.Start
	Spec    *peerpb.JobSpec
	Attempt int
}

// Effects collects what the shards want done.
type Effects struct {
	Sends         []Send
	Replies       []Reply
	Starts        []StartTask
	Notifications []Notification
}

// NotificationKind is the kind of a Note.
type NotificationKind uint8

// Kinds of notes.
const (
	// NotifyTakeover says that this instance owns the shard with its records.
	NotifyTakeover NotificationKind = iota
	// NotifyFloorRaised says that the records are lost and the floor was raised.
	NotifyFloorRaised
)

// Notification is something that operators want to know of a shard.
type Notification struct {
	Kind NotificationKind
	ID   ID
	View View
}

// Options are the settings that all shards of an instance share.
type Options struct {
	MaxClockSkew   time.Duration // bound on the error of each clock
	DedupWindow    time.Duration // how long records are kept, by submission time
	MaxIntentAhead int           // most tasks that an intent covers ahead of free slots
	ResendTimeout  time.Duration // unacknowledged operations are sent again after this
	MaxResultDelay time.Duration // a result that nobody waits for is held this long
	ChunkBytes     int           // size of a snapshot chunk
	MaxAnswerBytes int64         // bound on the answers kept, over all shards
	RetryBudget    float64       // retries of repeatable tasks as a share of starts
}

// DefaultOptions returns the options for a deployment of today's size.
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

// Env is what the shards of one instance share.
type Env struct {
	Self      Member
	Opts      Options
	Scheduler Scheduler
	Peers     Peers
	Effects   Effects

	// DefaultDeadline returns the default deadline of a customer's kind, from the
	// time of the key, 0 if there is none. It may be nil.
	DefaultDeadline func(model.Customer, model.Kind) time.Duration

	// Leaving is set while the instance stops.
	Leaving bool

	// Suspended is set after a gap in the instance's own ticks, until the
	// views have been read freshly from the platform. While it is set the
	// instance admits nothing, starts nothing and draws no conclusion from
	// the death of others.
	Suspended bool

	jobs        map[model.JobHandle]jobRef
	nextHandle  model.JobHandle
	flushQueue  []*Shard
	flushing    []*Shard
	links       map[Member]linkState
	retryTokens float64 // retries that the budget allows now
	answerBytes int64   // answers kept
	unconfirmed unconfirmedResults
}

type jobRef struct {
	shard *Shard
	rec   *record
}

// NewEnv returns an Env. Queue and Peers are set before the first use.
func NewEnv(self Member, o Options) *Env {
	return &Env{
		Self:  self,
		Opts:  o,
		jobs:  make(map[model.JobHandle]jobRef),
		links: make(map[Member]linkState),
	}
}

// Flush sends the operations that somebody waits for, in one batch a link and
// round trip.
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

// linkState is what is under way to one process.
type linkState struct {
	inFlight int        // sent and not yet answered
	sentAt   model.Time // when the latest was sent
}

// linkTimeout is how long a link counts as busy without an answer. Answers
// are lost when the link begins anew.
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

// OpenJobs returns the number of queued jobs, of jobs with tasks in flight,
// and of results that another owner may not have received.
func (e *Env) OpenJobs() int { return len(e.jobs) + len(e.unconfirmed.list) }

// TakeEffects returns and clears what the shards want done.
func (e *Env) TakeEffects() Effects {
	out := e.Effects
	e.Effects = Effects{}
	return out
}

// HandleBind takes a task that the scheduler bound to a slot.
func (e *Env) HandleBind(now model.Time, st sched.Start) {
	ref, ok := e.jobs[st.Job]
	if !ok {
		e.Scheduler.Done(now, st, sched.OutcomeNotStarted, 0)
		return
	}
	ref.shard.bind(now, ref.rec, st)
}

// HandleDrop takes a job whose unstarted tasks the scheduler has given up.
func (e *Env) HandleDrop(now model.Time, d sched.Drop) {
	ref, ok := e.jobs[d.Job]
	if !ok {
		return
	}
	ref.shard.failJob(now, ref.rec, problemOf(d.Reason))
}

// HandleTaskDone takes the outcome of a start.
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
	ServerGone bool // the server's process is proven to be gone
}

// provenEnded reports whether the start is known to have provenEnded, so that another one
// would not run beside it.
func (d TaskDone) provenEnded() bool { return d.Outcome == sched.OutcomeFailed || d.ServerGone }

func (e *Env) register(s *Shard, r *record) model.JobHandle {
	e.nextHandle++
	e.jobs[e.nextHandle] = jobRef{shard: s, rec: r}
	return e.nextHandle
}

func (e *Env) send(to model.Instance, m *peerpb.Message) {
	e.Effects.Sends = append(e.Effects.Sends, Send{To: to, Message: m})
}

func (e *Env) reply(w Waiter, a *peerpb.Answer) {
	e.Effects.Replies = append(e.Effects.Replies, Reply{To: w, Answer: a})
}

// spendRetryToken spends one retry of the budget, if there is one.
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

// Kinds of problems in answers. Package problem gives their texts.
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
	// ProblemLinkReset tells an instance that messages to it were lost. It
	// never reaches a caller.
	ProblemLinkReset = "link-reset"
	// ProblemNotOwner tells an entry instance to ask again elsewhere. It
	// never reaches a caller.
	ProblemNotOwner = "not-owner"
)
