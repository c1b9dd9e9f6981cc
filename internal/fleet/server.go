package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of an owner's dealings with a backend server.
const (
	lookWait       = 250 * time.Millisecond // a quarter of the usual lease, so that two lost looks do no harm
	lookRetryPause = 150 * time.Millisecond // between looks at a silent server
	missesSilent   = 2                      // unanswered looks after which leases are left to lapse
	heldLookPause  = 5 * time.Millisecond   // between looks while ends are being stored: about a write of the store
	stopRetryPause = 60 * time.Millisecond  // a little over the time that a stop may take
	stopAgainAfter = 400 * time.Millisecond // later than the deadline of the call
)

// serverPhase says how far the owner's knowledge of a server goes.
type serverPhase int

const (
	phaseLooking serverPhase = iota // runs of earlier owners may be there
	phaseServing
)

// runState says what is known of a run.
type runState int

const (
	runStarting  runState = iota // the start is unanswered
	runDoubted                   // the start got no answer; a look tells whether it is there
	runConfirmed                 // the server has taken it
	runStopping                  // a stop was sent
)

// run is a start of a task that occupies room at a server.
type run struct {
	id        RunID
	foreign   bool  // an earlier owner ordered it
	task      *task // nil for runs that this instance did not order, or whose job has ended
	need      model.Resources
	state     runState
	sentAt    Time // of the start
	settledAt Time // of the answer to the start or the stop; 0 while there is none
	doubtedAt Time
	stopSent  Time // last
	stoppedAt Time // of the first stop
	expected  time.Duration

	fault      bool // it was stopped by the task's own fault
	percent    int  // of its work, as last listed
	progressAt Time // when that changed
}

// Bounds of a run that stands still.
const (
	stallAfter  = 300 * time.Millisecond // at least: a little more than the pause between two looks
	stallSteps  = 4                      // times as long as a percent has taken so far
	stallUnseen = 2                      // part of its expected time in which a run must show progress
)

// listed notes how far a run has come and reports whether it stands still.
func (r *run) listed(percent int, now Time) (stalled bool) {
	if r.progressAt == 0 || percent != r.percent {
		r.percent, r.progressAt = percent, now
		return false
	}
	patience := r.expected / stallUnseen
	if percent > 0 {
		patience = stallSteps * r.progressAt.Sub(r.sentAt) / time.Duration(percent)
	}
	return r.state == runConfirmed && percent < 100 && now.Sub(r.progressAt) > max(patience, stallAfter)
}

// remoteClock follows the clock of a backend server. Its reading is never ahead
// of the server's.
type remoteClock struct {
	ms    int64
	at    Time
	known bool
}

func (c *remoteClock) set(ms int64, at Time) {
	if ms > 0 {
		*c = remoteClock{ms: ms, at: at, known: true}
	}
}

func (c *remoteClock) now(at Time) int64 {
	return c.ms + int64(slowestClock*milliseconds(at.Sub(c.at)))
}

// server is the owner's book of one backend server.
type server struct {
	entry   ServerEntry
	own     Ownership
	phase   serverPhase
	listed  bool // the store lists it
	leaving bool // to be released once it is empty
	drains  bool

	runs map[RunID]*run
	used model.Resources

	clock       remoteClock
	leaseEnd    int64 // latest that was ordered, on the server's clock
	born        int64
	seen        int64          // highest end taken in
	acked       int64          // highest end acknowledged by an answered look
	held        map[int64]bool // ends that may not be acknowledged yet
	quiesceTill Time           // until then held ends of unknown runs are kept back and no lease is renewed

	looking    bool
	probing    bool
	lookAt     Time // earliest next look
	misses     int  // unanswered calls since the last answer
	answeredAt Time // of the last answer

	pace   *pace
	health health
}

func newServer(e ServerEntry, own Ownership, p *pace) *server {
	return &server{entry: e, own: own, pace: p, listed: true, runs: map[RunID]*run{}, held: map[int64]bool{}, drains: e.State == ServerDraining}
}

// takesWork reports whether new runs may start.
func (s *server) takesWork(now Time) bool {
	return s.phase == phaseServing && s.quiesceTill == 0 && s.listed && !s.leaving && !s.drains && s.misses == 0 && s.health.open(now)
}

// free returns what no run occupies.
func (s *server) free() model.Resources { return s.entry.Capacity.Minus(s.used) }

// add books a run.
func (s *server) add(r *run) {
	s.runs[r.id] = r
	s.used = s.used.Plus(r.need)
}

// remove frees the room of a run.
func (s *server) remove(r *run) {
	delete(s.runs, r.id)
	s.used = s.used.Minus(r.need)
}

// sorted returns the runs in a fixed order.
func (s *server) sorted() []*run {
	out := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return a.id.Compare(b.id) })
	return out
}

// busy reports whether the server has to be looked at.
func (s *server) busy() bool {
	return s.phase == phaseLooking || len(s.runs) > 0 || s.acked < s.ackable() || s.misses > 0
}

// hold keeps an end from being acknowledged.
func (s *server) hold(number int64) { s.held[number] = true }

// ackable returns the highest end that may be acknowledged.
func (s *server) ackable() int64 {
	n := s.seen
	for h := range s.held {
		n = min(n, h-1)
	}
	return n
}

// lapsed reports whether every lease that was ordered has run out for certain.
func (s *server) lapsed(now Time) bool {
	return s.clock.known && s.clock.now(now) >= s.leaseEnd
}

// nextLook returns the look that is due, if any.
func (s *server) nextLook(now Time, lease, wantedAge time.Duration) (Poll, bool) {
	if s.looking || !s.busy() || now < s.lookAt {
		return Poll{}, false
	}
	l := s.look(now, lease, wantedAge)
	if len(s.held) > 0 {
		s.lookAt = now.Add(heldLookPause) // the server answers at once while it lists an end
	}
	if s.phase == phaseServing && s.misses == 0 && len(s.runs) > 0 {
		l.Wait = lookWait
	}
	s.looking = true
	return l, true
}

// probe returns a look beside the waiting one, unless one is under way.
func (s *server) probe(now Time, lease, wantedAge time.Duration) (Poll, bool) {
	if s.probing || now < s.lookAt {
		return Poll{}, false
	}
	l := s.look(now, lease, wantedAge)
	l.Probe, s.probing = true, true
	return l, true
}

// look returns a look that renews the leases, unless the server is silent:
// then they are left to lapse. wantedAge is how long ago all runs there were known
// to be wanted.
func (s *server) look(now Time, lease, wantedAge time.Duration) Poll {
	l := Poll{Server: s.entry.ID, Addr: s.entry.Addr, Fence: s.own.Revision, AckedSeq: s.ackable()}
	if s.phase == phaseServing && s.misses < missesSilent && len(s.runs) > 0 {
		l.LeaseEndMs = s.extendLease(now, lease-wantedAge)
	}
	return l
}

// extendLease returns the end of a lease from now, on the server's clock.
func (s *server) extendLease(now Time, lease time.Duration) int64 {
	end := s.clock.now(now) + lease.Milliseconds()
	s.leaseEnd = max(s.leaseEnd, end)
	return end
}

// answered notes that the server has answered a call.
func (s *server) answered(clockMs int64, now Time) (back bool) {
	s.clock.set(clockMs, now)
	back = s.misses >= missesSilent
	s.misses, s.answeredAt = 0, now
	return back
}

// missed notes that the server has not answered a call. A call counts only if
// nothing that was heard since it was sent says otherwise.
func (s *server) missed(sentAt, now Time) (silent bool) {
	if s.answeredAt > sentAt {
		return false
	}
	s.misses++
	s.lookAt = now
	if s.misses > 1 {
		s.lookAt = now.Add(lookRetryPause)
	}
	return s.misses == missesSilent
}

// health watches for servers that fail what they start.
type health struct {
	failures   int    // of other jobs in a row
	lastJob    string // that failed here
	closedTill Time   // no starts until then
	probing    bool   // one run decides whether it opens again
}

const (
	failuresToClose = 4               // in a row; single tasks fail by their own fault
	closedFor       = 2 * time.Second // then one run is tried
)

func (h *health) open(now Time) bool { return now >= h.closedTill && !h.probing }

// done notes a run that ended well and reports whether the server is restored.
func (h *health) done() (restored bool) {
	restored = h.probing
	*h = health{}
	return restored
}

// failed notes a failed run of a job and reports whether the server gets no more
// work. The tasks of one job may all fail by its own fault, and count once.
func (h *health) failed(job string, now Time) (closed bool) {
	if h.probing || job != h.lastJob {
		h.failures++
	}
	h.lastJob = job
	if h.failures < failuresToClose {
		return false
	}
	h.probing = false
	h.closedTill = now.Add(closedFor)
	return true
}

// stalled notes a run that stood still: the server gets no more work.
func (h *health) stalled(now Time) {
	h.failures, h.probing = failuresToClose, false
	h.closedTill = now.Add(closedFor)
}

// started notes that a run was sent.
func (h *health) started() {
	if h.failures >= failuresToClose {
		h.probing = true
	}
}
