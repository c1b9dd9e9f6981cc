package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of an owner's dealings with a backend server.
const (
	pollWait             = 250 * time.Millisecond // a quarter of the usual lease, so that two lost looks do no harm
	pollRetryInterval    = 150 * time.Millisecond // between looks at a silent server
	missesUntilSilent    = 2                      // unanswered looks after which leases are left to lapse
	heldPollInterval     = 5 * time.Millisecond   // between looks while ends are being stored: about a write of the store
	recoveryPollInterval = 60 * time.Millisecond  // a little over the time that a stop may take
	stopRetryInterval    = 400 * time.Millisecond // later than the deadline of the call
)

// serverPhase says how far the owner's knowledge of a server goes.
type serverPhase int

const (
	phaseRecovering serverPhase = iota // runs of earlier owners may be there
	phaseServing
)

// runState says what is known of a run.
type runState int

const (
	runStarting  runState = iota // the start is unanswered
	runUncertain                 // the start got no answer; a look tells whether it is there
	runConfirmed                 // the server has taken it
	runStopping                  // a stop was sent
)

// run is a start of a task that occupies room at a server.
type run struct {
	id             RunID
	foreign        bool  // an earlier owner ordered it
	task           *task // nil for runs that this instance did not order, or whose job has ended
	need           model.Resources
	state          runState
	sentAt         Time // of the start
	answeredAt     Time // of the answer to the start or the stop; 0 while there is none
	uncertainSince Time
	stopSentAt     Time // last
	firstStopAt    Time // of the first stop
	expected       time.Duration

	taskFault  bool // it was stopped by the task's own fault
	percent    int  // of its work, as last listed
	progressAt Time // when that changed
}

// Bounds of a run that stands still.
const (
	minStallTime      = 300 * time.Millisecond // at least: a little more than the pause between two looks
	stallFactor       = 4                      // times as long as a percent has taken so far
	noProgressDivisor = 2                      // part of its expected time in which a run must show progress
)

// updateProgress notes how far a run has come and reports whether it stands still.
func (r *run) updateProgress(percent int, now Time) (stalled bool) {
	if r.progressAt == 0 || percent != r.percent {
		r.percent, r.progressAt = percent, now
		return false
	}
	patience := r.expected / noProgressDivisor
	if percent > 0 {
		patience = stallFactor * r.progressAt.Sub(r.sentAt) / time.Duration(percent)
	}
	return r.state == runConfirmed && percent < 100 && now.Sub(r.progressAt) > max(patience, minStallTime)
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
	entry     ServerEntry
	ownership Ownership
	phase     serverPhase
	listed    bool // the store lists it
	releasing bool // to be released once it is empty
	draining  bool

	runs map[RunID]*run
	used model.Resources

	clock        remoteClock
	leaseEndMs   int64 // latest that was ordered, on the server's clock
	bootMs       int64
	seenSeq      int64          // highest end taken in
	ackedSeq     int64          // highest end acknowledged by an answered look
	heldSeqs     map[int64]bool // ends that may not be acknowledged yet
	quiesceUntil Time           // until then held ends of unknown runs are kept back and no lease is renewed

	polling    bool
	pollingNow bool
	nextPollAt Time // earliest next look
	misses     int  // unanswered calls since the last answer
	answeredAt Time // of the last answer

	speed  *speedModel
	health health
}

func newServer(e ServerEntry, own Ownership, p *speedModel) *server {
	return &server{entry: e, ownership: own, speed: p, listed: true, runs: map[RunID]*run{}, heldSeqs: map[int64]bool{}, draining: e.State == ServerDraining}
}

// takesWork reports whether new runs may start.
func (s *server) takesWork(now Time) bool {
	return s.phase == phaseServing && s.quiesceUntil == 0 && s.listed && !s.releasing && !s.draining && s.misses == 0 && s.health.available(now)
}

// free returns what no run occupies.
func (s *server) free() model.Resources { return s.entry.Capacity.Minus(s.used) }

// addRun books a run.
func (s *server) addRun(r *run) {
	s.runs[r.id] = r
	s.used = s.used.Plus(r.need)
}

// removeRun frees the room of a run.
func (s *server) removeRun(r *run) {
	delete(s.runs, r.id)
	s.used = s.used.Minus(r.need)
}

// sortedRuns returns the runs in a fixed order.
func (s *server) sortedRuns() []*run {
	out := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return a.id.Compare(b.id) })
	return out
}

// needsPoll reports whether the server has to be looked at.
func (s *server) needsPoll() bool {
	return s.phase == phaseRecovering || len(s.runs) > 0 || s.ackedSeq < s.ackableSeq() || s.misses > 0
}

// holdAck keeps an end from being acknowledged.
func (s *server) holdAck(number int64) { s.heldSeqs[number] = true }

// ackableSeq returns the highest end that may be acknowledged.
func (s *server) ackableSeq() int64 {
	n := s.seenSeq
	for h := range s.heldSeqs {
		n = min(n, h-1)
	}
	return n
}

// leasesExpired reports whether every lease that was ordered has run out for certain.
func (s *server) leasesExpired(now Time) bool {
	return s.clock.known && s.clock.now(now) >= s.leaseEndMs
}

// nextPoll returns the look that is due, if any.
func (s *server) nextPoll(now Time, lease, wantedAge time.Duration) (Poll, bool) {
	if s.polling || !s.needsPoll() || now < s.nextPollAt {
		return Poll{}, false
	}
	l := s.newPoll(now, lease, wantedAge)
	if len(s.heldSeqs) > 0 {
		s.nextPollAt = now.Add(heldPollInterval) // the server answers at once while it lists an end
	}
	if s.phase == phaseServing && s.misses == 0 && len(s.runs) > 0 {
		l.Wait = pollWait
	}
	s.polling = true
	return l, true
}

// immediatePoll returns a look beside the waiting one, unless one is under way.
func (s *server) immediatePoll(now Time, lease, wantedAge time.Duration) (Poll, bool) {
	if s.pollingNow || now < s.nextPollAt {
		return Poll{}, false
	}
	l := s.newPoll(now, lease, wantedAge)
	l.Immediate, s.pollingNow = true, true
	return l, true
}

// newPoll returns a newPoll that renews the leases, unless the server is silent:
// then they are left to lapse. wantedAge is how long ago all runs there were known
// to be wanted.
func (s *server) newPoll(now Time, lease, wantedAge time.Duration) Poll {
	l := Poll{Server: s.entry.ID, Addr: s.entry.Addr, Fence: s.ownership.Revision, AckedSeq: s.ackableSeq()}
	if s.phase == phaseServing && s.misses < missesUntilSilent && len(s.runs) > 0 {
		l.LeaseEndMs = s.extendLease(now, lease-wantedAge)
	}
	return l
}

// extendLease returns the end of a lease from now, on the server's clock.
func (s *server) extendLease(now Time, lease time.Duration) int64 {
	end := s.clock.now(now) + lease.Milliseconds()
	s.leaseEndMs = max(s.leaseEndMs, end)
	return end
}

// markAnswered notes that the server has markAnswered a call.
func (s *server) markAnswered(clockMs int64, now Time) (back bool) {
	s.clock.set(clockMs, now)
	back = s.misses >= missesUntilSilent
	s.misses, s.answeredAt = 0, now
	return back
}

// markMissed notes that the server has not answered a call. A call counts only if
// nothing that was heard since it was sent says otherwise.
func (s *server) markMissed(sentAt, now Time) (silent bool) {
	if s.answeredAt > sentAt {
		return false
	}
	s.misses++
	s.nextPollAt = now
	if s.misses > 1 {
		s.nextPollAt = now.Add(pollRetryInterval)
	}
	return s.misses == missesUntilSilent
}

// health watches for servers that fail what they start.
type health struct {
	failures         int    // of other jobs in a row
	lastJob          string // that failed here
	quarantinedUntil Time   // no starts until then
	onTrial          bool   // one run decides whether it opens again
}

const (
	failuresToQuarantine = 4               // in a row; single tasks fail by their own fault
	quarantineTime       = 2 * time.Second // then one run is tried
)

func (h *health) available(now Time) bool { return now >= h.quarantinedUntil && !h.onTrial }

// done notes a run that ended well and reports whether the server is restored.
func (h *health) done() (restored bool) {
	restored = h.onTrial
	*h = health{}
	return restored
}

// failed notes a failed run of a job and reports whether the server gets no more
// work. The tasks of one job may all fail by its own fault, and count once.
func (h *health) failed(job string, now Time) (closed bool) {
	if h.onTrial || job != h.lastJob {
		h.failures++
	}
	h.lastJob = job
	if h.failures < failuresToQuarantine {
		return false
	}
	h.onTrial = false
	h.quarantinedUntil = now.Add(quarantineTime)
	return true
}

// stalled notes a run that stood still: the server gets no more work.
func (h *health) stalled(now Time) {
	h.failures, h.onTrial = failuresToQuarantine, false
	h.quarantinedUntil = now.Add(quarantineTime)
}

// started notes that a run was sent.
func (h *health) started() {
	if h.failures >= failuresToQuarantine {
		h.onTrial = true
	}
}
