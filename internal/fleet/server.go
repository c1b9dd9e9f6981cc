package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Timing of polls and stops at a backend server.
const (
	pollWait                = 250 * time.Millisecond // a third of the usual lease, so that a lost poll does no harm
	lossyPollWait           = 50 * time.Millisecond  // while replies are lost
	pollRetryInterval       = 150 * time.Millisecond // between polls of an unresponsive server
	missesUntilUnresponsive = 2                      // unanswered calls after which leases are left to expire
	missesUntilRare         = 40                     // unanswered calls after which a server that never answered this owner is polled rarely
	rarePollInterval        = time.Second            // between its polls: an entry may name a server that doesn't exist
	heldPollInterval        = 5 * time.Millisecond   // between polls while ends are being stored: about one store write
	recoveryPollInterval    = 60 * time.Millisecond  // slightly more than a stop takes
	stopRetryInterval       = 400 * time.Millisecond // longer than the timeout of the call
)

// serverPhase is the phase of taking control of a server.
type serverPhase int

const (
	phaseRecovering serverPhase = iota // runs of earlier owners may be active
	phaseServing
)

// runState is the state of a run as known to the owner.
type runState int

const (
	runStarting  runState = iota // start sent
	runUncertain                 // start unanswered; a poll tells whether the run exists
	runConfirmed                 // accepted by the server
	runStopping                  // stop sent
)

// run is a start of a task that occupies capacity at a server.
type run struct {
	id             RunID
	foreign        bool  // started by an earlier owner
	task           *task // nil for unknown runs and runs of finished jobs
	need           model.Resources
	bootMs         int64  // life of the server when the start was sent
	fence          uint64 // token of the start
	state          runState
	sentAt         Time    // when the start was sent
	isolated       bool    // of a suspect: nothing else starts on the server meanwhile
	cold           bool    // the server was cold at the start
	farFactor      float64 // of the time at the start, 0 for a run of an earlier owner
	answeredAt     Time    // when the start or stop was answered, 0 if it wasn't
	started        bool    // the server is known to have started it
	uncertainSince Time
	callEnded      bool // the call of the start has failed, so that nothing more is sent for it
	absentBefore   bool // a poll after the start was overdue has not listed the run
	stopSentAt     Time // when the last stop was sent
	firstStopAt    Time // when the first stop was sent
	lastWantedAt   Time // of a run being stopped: when it was last known to be wanted
	expected       time.Duration

	taskFault  bool // the stop counts as a stall of the task
	percent    int  // progress in the last poll
	progressAt Time // when percent last changed
}

// Limits for stalled runs.
const (
	minStallTime      = 300 * time.Millisecond // lower bound: slightly more than the poll interval
	stallFactor       = 4                      // multiple of the mean time per percent so far
	noProgressDivisor = 2                      // a run must show progress within expected/noProgressDivisor
)

// updateProgress records the progress of a run and reports whether it has stalled.
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

// remoteClock estimates the clock of a backend server. It is never ahead of that clock.
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

// server is the owner's state of one backend server.
type server struct {
	entry     ServerEntry
	ownership Ownership
	phase     serverPhase
	listed    bool // listed in the store
	releasing bool // to be released once it is empty
	leaving   leaving

	runs map[RunID]*run
	used model.Resources

	polledCapacity polledCapacity

	clock       remoteClock
	leaseEndMs  int64 // latest lease end sent, on the server's clock
	restartedAt Time  // when the last restart was noticed, 0 if none was
	// unknownLease is how long a lease may be that the server has granted on orders of
	// others or in a life whose clock isn't known yet, 0 if there is none.
	unknownLease time.Duration
	life         life
	seenSeq      int64          // highest end processed
	ackedSeq     int64          // highest end acknowledged by an answered poll
	heldSeqs     map[int64]bool // ends that must not be acknowledged yet
	quiesceUntil Time           // no starts and no acknowledgement of held ends until then, when all leases have expired

	polledAt    Time // when the regular poll in flight was sent, 0 if there is none
	polledNowAt Time // the same for the immediate poll
	pollAgain   bool // another immediate poll is needed after the one in flight
	nextPollAt  Time // earliest next poll
	misses      int  // unanswered calls since the last reply
	repliedAt   Time // last reply

	speed  *speedModel
	health health

	evacuations *evacuations // of the fleet

	reservedFor *task // suspect that runs or will run here alone, nil if there is none
}

func newServer(e ServerEntry, ownership Ownership, speed *speedModel) *server {
	s := &server{entry: e, ownership: ownership, speed: speed, listed: true, runs: map[RunID]*run{}, heldSeqs: map[int64]bool{}}
	s.reportEntry()
	return s
}

// takesWork reports whether new runs may start.
func (s *server) takesWork(now Time) bool { return s.reservedFor == nil && s.available(now) }

// available reports whether new runs may start, or that of the suspect for which the
// server is reserved.
func (s *server) available(now Time) bool {
	return s.phase == phaseServing && s.quiesceUntil == 0 && s.listed && !s.releasing && !s.leaving.announced && !s.evacuated() && s.misses == 0 && s.health.available(now)
}

// opensSoon reports whether the server will take work once its first poll has been
// answered and the runs of earlier owners have been stopped.
func (s *server) opensSoon() bool {
	return s.phase == phaseRecovering && s.quiesceUntil == 0 && s.listed && !s.releasing && !s.leaving.announced && !s.evacuated() && s.misses == 0
}

// reportAge returns how long ago the server wrote its entry in the store, or somewhat
// less; 0 if its clock is unknown.
func (s *server) reportAge(now Time) time.Duration {
	if !s.clock.known || s.entry.ReportedAtMs == 0 {
		return 0
	}
	return time.Duration(max(0, s.clock.now(now)-s.entry.ReportedAtMs)) * time.Millisecond
}

// free returns the capacity that no run occupies.
func (s *server) free() model.Resources { return s.capacity().Minus(s.used) }

// addRun adds a run and allocates its resources.
func (s *server) addRun(r *run) {
	s.runs[r.id] = r
	s.used = s.used.Plus(r.need)
}

// removeRun removes a run and frees its resources.
func (s *server) removeRun(r *run) {
	delete(s.runs, r.id)
	s.used = s.used.Minus(r.need)
	if r.isolated {
		s.reservedFor = nil
	}
}

// sortedRuns returns the runs ordered by ID.
func (s *server) sortedRuns() []*run {
	out := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return a.id.Compare(b.id) })
	return out
}

// needsPoll reports whether the server has to be polled.
func (s *server) needsPoll() bool {
	return s.phase == phaseRecovering || len(s.runs) > 0 || s.ackedSeq < s.ackableSeq() || s.misses > 0 || s.capacityUnsettled()
}

// holdAck prevents the acknowledgement of an end.
func (s *server) holdAck(seq int64) { s.heldSeqs[seq] = true }

// ackableSeq returns the highest sequence number that may be acknowledged.
func (s *server) ackableSeq() int64 {
	n := s.seenSeq
	for h := range s.heldSeqs {
		n = min(n, h-1)
	}
	return n
}

// seqToAck returns the sequence number that the next poll acknowledges, 0 if the last one
// was confirmed: after a restart that nobody has noticed, ends are counted anew.
func (s *server) seqToAck() int64 {
	if n := s.ackableSeq(); n > s.ackedSeq {
		return n
	}
	return 0
}

// leasesExpired reports whether all leases sent to the server have certainly expired.
func (s *server) leasesExpired(now Time) bool {
	return s.clock.known && s.unknownLease == 0 && s.clock.now(now) >= s.leaseEndMs
}

// learnLease bounds the leases that the server may have granted before its first poll
// reply.
func (s *server) learnLease(now Time) {
	if s.unknownLease > 0 && s.clock.known {
		s.extendLease(now, s.unknownLease)
		s.unknownLease = 0
	}
}

// nextPoll returns the poll that is due, if any.
func (s *server) nextPoll(now Time, wait, lease time.Duration) (Poll, bool) {
	if s.polledAt != 0 || !s.needsPoll() || now < s.nextPollAt {
		return Poll{}, false
	}
	poll := s.newPoll(now, lease)
	if len(s.heldSeqs) > 0 {
		s.nextPollAt = now.Add(heldPollInterval) // the server replies immediately while it lists an end
	}
	if s.phase == phaseServing && s.misses == 0 && (len(s.runs) > 0 || s.capacityUnsettled()) {
		poll.Wait = wait
	}
	s.polledAt = now
	return poll, true
}

// immediatePoll returns a poll alongside the long poll, unless one is already pending.
func (s *server) immediatePoll(now Time, lease time.Duration) (Poll, bool) {
	if s.polledNowAt != 0 || now < s.nextPollAt {
		s.pollAgain = true
		return Poll{}, false
	}
	s.pollAgain = false
	poll := s.newPoll(now, lease)
	poll.Immediate, s.polledNowAt = true, now
	return poll, true
}

// newPoll returns a poll that renews the leases, unless the server is unresponsive:
// then they are left to expire.
func (s *server) newPoll(now Time, lease time.Duration) Poll {
	poll := Poll{Server: s.entry.ID, Addr: s.entry.Addr, Fence: s.ownership.Token(), AckedSeq: s.seqToAck()}
	if s.phase == phaseServing && s.misses < missesUntilUnresponsive && len(s.runs) > 0 {
		poll.LeaseEndMs = s.extendLease(now, lease)
	}
	return poll
}

// extendLease returns the end of a lease that starts now, on the server's clock.
func (s *server) extendLease(now Time, lease time.Duration) int64 {
	end := s.clock.now(now) + lease.Milliseconds()
	s.leaseEndMs = max(s.leaseEndMs, end)
	return end
}

// markReplied records a reply and reports whether the server was unresponsive before.
func (s *server) markReplied(clockMs int64, now Time) (back bool) {
	s.clock.set(clockMs, now)
	back = s.misses >= missesUntilUnresponsive
	s.misses, s.repliedAt = 0, now
	return back
}

// markMissed records an unanswered call and reports whether the server has become
// unresponsive. The call doesn't count if the server has replied since it was sent.
func (s *server) markMissed(sentAt, now Time) (unresponsive bool) {
	if s.repliedAt > sentAt {
		return false
	}
	s.misses++
	switch {
	case s.misses == 1:
		s.nextPollAt = now
	case s.repliedAt == 0 && s.misses > missesUntilRare:
		s.nextPollAt = now.Add(rarePollInterval)
	default:
		s.nextPollAt = now.Add(pollRetryInterval)
	}
	return s.misses == missesUntilUnresponsive
}

// health quarantines servers whose runs fail.
type health struct {
	failures         int    // of different jobs in a row
	lastJob          string // last job that failed here
	quarantinedUntil Time   // no starts until then
	onTrial          bool   // one run decides whether the quarantine ends
}

const (
	failuresToQuarantine = 4               // in a row; a single task may fail through its own fault
	quarantineTime       = 2 * time.Second // followed by one trial run
)

func (h *health) available(now Time) bool { return now >= h.quarantinedUntil && !h.onTrial }

// done records a completed run and reports whether it ends a quarantine.
func (h *health) done() (restored bool) {
	restored = h.onTrial
	*h = health{}
	return restored
}

// failed records a failed run and reports whether the server is quarantined. Failures
// of one job in a row count once, as they may be the job's own fault.
func (h *health) failed(job string, now Time) (quarantined bool) {
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

// stalled quarantines the server after a stalled run.
func (h *health) stalled(now Time) {
	h.failures, h.onTrial = failuresToQuarantine, false
	h.quarantinedUntil = now.Add(quarantineTime)
}

// started records the start of a run.
func (h *health) started() {
	if h.failures >= failuresToQuarantine {
		h.onTrial = true
	}
}
