package shard

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// Queue is the scheduler as the shards use it.
type Queue interface {
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
	Sends   []Send
	Replies []Reply
	Starts  []StartTask
	Notes   []Note
}

// NoteKind is the kind of a Note.
type NoteKind uint8

// Kinds of notes.
const (
	// NoteTakeover says that this instance owns the shard with its records.
	NoteTakeover NoteKind = iota
	// NoteFloor says that the records are lost and the floor was raised.
	NoteFloor
)

// Note is something that operators want to know of a shard.
type Note struct {
	Kind NoteKind
	ID   ID
	View View
}

// Options are the settings that all shards of an instance share.
type Options struct {
	Skew        time.Duration // bound on the error of each clock
	Window      time.Duration // how long records are kept, by submission time
	IntentAhead int           // most tasks that an intent covers ahead of free slots
	Resend      time.Duration // unacknowledged operations are sent again after this
	ResultDelay time.Duration // a result that nobody waits for is held this long
	ChunkBytes  int           // size of a snapshot chunk
	MaxBytes    int64         // bound on the answers kept, over all shards
	RetryBudget float64       // retries of repeatable tasks as a share of starts
}

// DefaultOptions returns the options for a deployment of today's size.
func DefaultOptions() Options {
	return Options{
		Skew:        250 * time.Millisecond,
		Window:      15 * time.Minute,
		IntentAhead: 16,
		Resend:      500 * time.Millisecond,
		ResultDelay: 20 * time.Millisecond,
		ChunkBytes:  256 << 10,
		MaxBytes:    64 << 20,
		RetryBudget: 0.1,
	}
}

// Env is what the shards of one instance share.
type Env struct {
	Self  Member
	Opts  Options
	Queue Queue
	Peers Peers
	Out   Effects

	// Deadline returns the default deadline of a customer's kind, from the
	// time of the key, 0 if there is none. It may be nil.
	Deadline func(model.Customer, model.Kind) time.Duration

	// Leaving is set while the instance stops.
	Leaving bool

	// Suspended is set after a gap in the instance's own ticks, until the
	// views have been read freshly from the platform. While it is set the
	// instance admits nothing, starts nothing and draws no conclusion from
	// the death of others.
	Suspended bool

	jobs       map[model.JobHandle]jobRef
	nextHandle model.JobHandle
	dirty      []*Shard
	flushing   []*Shard
	links      map[Member]linkState
	tokens     float64 // retries that the budget allows now
	bytes      int64   // answers kept
	unasked    unaskedResults
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
	kept := e.dirty[:0]
	for _, s := range e.dirty {
		if s.linkBusy(now) {
			kept = append(kept, s)
			continue
		}
		e.flushing = append(e.flushing, s)
	}
	e.dirty = kept
	for _, s := range e.flushing {
		s.Flush(now)
		s.urgent = false
	}
}

// linkState is what is under way to one process.
type linkState struct {
	appends int        // sent and not yet answered
	since   model.Time // when the latest was sent
}

// linkTimeout is how long a link counts as busy without an answer. Answers
// are lost when the link begins anew.
const linkTimeout = 50 * time.Millisecond

func (e *Env) linkBusy(now model.Time, m Member) bool {
	l := e.links[m]
	return l.appends > 0 && now.Sub(l.since) < linkTimeout
}

func (e *Env) sentOn(now model.Time, m Member) {
	l := e.links[m]
	if now.Sub(l.since) >= linkTimeout {
		l.appends = 0
	}
	e.links[m] = linkState{appends: l.appends + 1, since: now}
}

func (e *Env) ackedOn(m Member) {
	l := e.links[m]
	l.appends = max(0, l.appends-1)
	e.links[m] = l
}

// OpenJobs returns the number of queued jobs, of jobs with tasks in flight,
// and of results that another owner may not have received.
func (e *Env) OpenJobs() int { return len(e.jobs) + len(e.unasked.list) }

// TakeEffects returns and clears what the shards want done.
func (e *Env) TakeEffects() Effects {
	out := e.Out
	e.Out = Effects{}
	return out
}

// Bind takes a task that the scheduler bound to a slot.
func (e *Env) Bind(now model.Time, st sched.Start) {
	ref, ok := e.jobs[st.Job]
	if !ok {
		e.Queue.Done(now, st, sched.OutcomeNotStarted, 0)
		return
	}
	ref.shard.bind(now, ref.rec, st)
}

// Drop takes a job whose unstarted tasks the scheduler has given up.
func (e *Env) Drop(now model.Time, d sched.Drop) {
	ref, ok := e.jobs[d.Job]
	if !ok {
		return
	}
	ref.shard.giveUp(now, ref.rec, problemOf(d.Reason))
}

// TaskDone takes the outcome of a start.
func (e *Env) TaskDone(now model.Time, done TaskDone) {
	e.Queue.Done(now, done.Start, done.Outcome, done.Ran)
	ref, ok := e.jobs[done.Start.Job]
	if !ok {
		return
	}
	ref.shard.taskDone(now, ref.rec, done)
}

// TaskDone is the outcome of a start.
type TaskDone struct {
	Start   sched.Start
	Outcome sched.Outcome
	Ran     time.Duration
	Output  []byte
	Error   string
	Gone    bool // the server's process is proven to be gone
}

// ended reports whether the start is known to have ended, so that another one
// would not run beside it.
func (d TaskDone) ended() bool { return d.Outcome == sched.OutcomeFailed || d.Gone }

func (e *Env) register(s *Shard, r *record) model.JobHandle {
	e.nextHandle++
	e.jobs[e.nextHandle] = jobRef{shard: s, rec: r}
	return e.nextHandle
}

func (e *Env) send(to model.Instance, m *peerpb.Message) {
	e.Out.Sends = append(e.Out.Sends, Send{To: to, Message: m})
}

func (e *Env) reply(w Waiter, a *peerpb.Answer) {
	e.Out.Replies = append(e.Out.Replies, Reply{To: w, Answer: a})
}

// takeRetry spends one retry of the budget, if there is one.
func (e *Env) takeRetry() bool {
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// maxRetryTokens bounds a burst of retries.
const maxRetryTokens = 32

func (e *Env) earnRetry() {
	e.tokens = min(e.tokens+e.Opts.RetryBudget, maxRetryTokens)
}

func problemOf(r sched.Reason) string {
	switch r {
	case sched.ReasonImpossible:
		return ProblemImpossible
	case sched.ReasonDeadline:
		return ProblemDeadline
	case sched.ReasonQueueFull:
		return ProblemQueueFull
	case sched.ReasonShed:
		return ProblemShed
	case sched.ReasonExpired:
		return ProblemExpired
	case sched.ReasonRate:
		return ProblemRate
	}
	return ProblemInternal
}

// Kinds of problems in answers. Package problem gives their texts.
const (
	ProblemMismatch   = "content-mismatch"
	ProblemTooOld     = "key-too-old"
	ProblemAhead      = "key-ahead-of-clock"
	ProblemImpossible = "impossible"
	ProblemDeadline   = "deadline-unreachable"
	ProblemQueueFull  = "queue-full"
	ProblemShed       = "shed"
	ProblemRate       = "rate-limited"
	ProblemExpired    = "expired"
	ProblemCancelled  = "cancelled"
	ProblemJobFailed  = "job-failed"
	ProblemUnknown    = "result-unknown"
	ProblemNotFound   = "not-found"
	ProblemNoOwner    = "no-owner"
	ProblemInternal   = "internal"
	// ProblemLinkReset tells an instance that messages to it were lost. It
	// never reaches a caller.
	ProblemLinkReset = "link-reset"
	// ProblemNotOwner tells an entry instance to ask again elsewhere. It
	// never reaches a caller.
	ProblemNotOwner = "not-owner"
)
