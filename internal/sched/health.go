package sched

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	brokenFailureRate     = 0.9  // failure rate of a server that is taken for broken
	minHealthyFailureRate = 0.01 // failure rate that is always expected of a healthy server
	maxHealthyFailureRate = 0.88
	quarantineScore       = 17.0 // log likelihood ratio at which a server is quarantined
	minProbeDelay         = 8 * time.Second
	maxProbeDelay         = 64 * time.Second
	healthCheckDelay      = 2 * time.Second // a probe is due so long before the health endpoint is asked
	healthCheckTTL        = 5 * time.Second // a good answer of the health endpoint holds so long
	probesToRelease       = 2
	rejectionPause        = 20 * time.Millisecond
	maxRejectionPause     = time.Second
	failureWindowStarts   = 256 // starts that the failure rate of a kind remembers
	failurePriorStarts    = 10  // starts without failure that a new kind is taken to have had
	maxQuarantinedPercent = 50  // share of servers that may be in quarantine at once
)

// health is what the outcomes of starts say about a server.
type health struct {
	score        float64 // log likelihood ratio of broken to healthy
	quarantined  bool
	probeAt      model.Time
	probeDelay   time.Duration
	probing      bool
	probesPassed int
	checkedAt    model.Time // latest good answer of the health endpoint, 0 if none since the latest failed probe
	paused       bool       // refused a start a moment ago
	pausedUntil  model.Time
	rejections   int
	starts       uint64
	failures     uint64
}

// acceptsStarts reports whether ordinary starts may go to the server.
func (h *health) acceptsStarts() bool { return !h.quarantined && !h.paused }

// failureRate is the decayed failure rate of a customer's kind over all
// servers.
type failureRate struct {
	rate    float64
	samples float64
}

func (f *failureRate) observe(failed bool) {
	f.samples = math.Min(f.samples+1, failureWindowStarts)
	x := 0.0
	if failed {
		x = 1
	}
	f.rate += (x - f.rate) / (f.samples + failurePriorStarts)
}

func (f *failureRate) expected() float64 {
	return math.Min(maxHealthyFailureRate, math.Max(minHealthyFailureRate, f.rate))
}

// updateScore updates a server's score by one outcome against what its peers show
// for the same kind of work.
func (h *health) updateScore(failed bool, peers float64) {
	if failed {
		h.score += math.Log(brokenFailureRate / peers)
		return
	}
	h.score += math.Log((1 - brokenFailureRate) / (1 - peers))
	h.score = math.Max(0, h.score)
}

// recordOutcome takes the outcome of a start into account.
func (s *Scheduler) recordOutcome(now model.Time, v *server, f *flow, o Outcome, probe bool) {
	h := &v.health
	if probe {
		h.probing = false
	}
	if s.opts.Mode.NoQuarantine || o == OutcomeNotStarted {
		return
	}
	failed := o != OutcomeOK
	h.starts++
	if failed {
		h.failures++
	}
	if h.quarantined {
		if probe {
			s.recordProbe(now, v, failed)
		}
		return
	}
	h.updateScore(failed, f.failures.expected())
	f.failures.observe(failed)
	if h.score >= quarantineScore && s.canQuarantine() {
		s.quarantine(now, v)
	}
}

func (s *Scheduler) recordProbe(now model.Time, v *server, failed bool) {
	h := &v.health
	if failed {
		h.probesPassed = 0
		h.checkedAt = 0
		h.probeDelay = min(2*h.probeDelay, maxProbeDelay)
		h.probeAt = now.Add(h.probeDelay)
		return
	}
	h.probesPassed++
	h.probeAt = now
	if h.checkedAt != 0 {
		h.checkedAt = now
	}
	if h.probesPassed >= probesToRelease {
		s.releaseServer(v)
	}
}

func (s *Scheduler) canQuarantine() bool {
	return (len(s.quarantined)+1)*100 <= len(s.servers)*maxQuarantinedPercent
}

func (s *Scheduler) quarantine(now model.Time, v *server) {
	h := &v.health
	h.quarantined = true
	h.probeDelay = max(minProbeDelay, h.probeDelay)
	h.probeAt = now.Add(h.probeDelay)
	h.probesPassed = 0
	s.quarantined = append(s.quarantined, v)
	if p := v.lender; p != nil {
		p.brokenServers = append(p.brokenServers, v.ID)
		s.returnLoan(v)
	}
	s.index.update(v)
}

// receiveBroken quarantines own servers that a borrower found broken.
func (s *Scheduler) receiveBroken(now model.Time, ids []string) {
	for _, id := range ids {
		v := s.servers[model.ServerID(id)]
		if v != nil && v.owned && !v.health.quarantined && s.canQuarantine() {
			s.quarantine(now, v)
		}
	}
}

func (s *Scheduler) releaseServer(v *server) {
	wait := v.health.probeDelay
	v.health = health{probeDelay: wait / 2, starts: v.health.starts, failures: v.health.failures}
	for i, q := range s.quarantined {
		if q == v {
			s.quarantined = append(s.quarantined[:i], s.quarantined[i+1:]...)
			break
		}
	}
	s.index.update(v)
}

// pauseServer keeps starts from a server that has just refused one.
func (s *Scheduler) pauseServer(now model.Time, v *server) {
	h := &v.health
	d := min(rejectionPause<<min(h.rejections, 10), maxRejectionPause)
	h.rejections++
	h.pausedUntil = now.Add(d)
	if !h.paused {
		h.paused = true
		s.paused = append(s.paused, v)
	}
	s.index.update(v)
}

func (s *Scheduler) expirePauses(now model.Time) {
	keep := s.paused[:0]
	for _, v := range s.paused {
		if now < v.health.pausedUntil {
			keep = append(keep, v)
			continue
		}
		v.health.paused = false
		s.index.update(v)
	}
	s.paused = keep
}

// recentlyChecked reports whether the health endpoint has answered well of late.
func (h *health) recentlyChecked(now model.Time) bool {
	return h.checkedAt != 0 && now.Sub(h.checkedAt) < healthCheckTTL
}

// probeServer returns a quarantined server that is due for a probe. One whose
// health endpoint has answered well may be probed by work that is not
// repeatable.
func (s *Scheduler) probeServer(now model.Time, f *flow, repeatable bool) *server {
	for _, v := range s.quarantined {
		if v.probeDue(now) && f.needs.Fits(v.Resources) && (repeatable || v.health.recentlyChecked(now)) {
			return v
		}
	}
	return nil
}

// probeDue reports whether a slot of a quarantined server may take a probe.
func (v *server) probeDue(now model.Time) bool {
	h := &v.health
	due := now >= h.probeAt && !h.probing && !h.paused
	return due && v.owned && v.known && v.State == ServerActive && v.held() > v.busy
}

// HealthChecksDue returns the quarantined servers whose health endpoint is to be
// asked: those for which no repeatable work has come since a probe was due.
// Each has a free slot, whose connection the question may take.
func (s *Scheduler) HealthChecksDue(now model.Time) []model.ServerID {
	var list []model.ServerID
	for _, v := range s.quarantined {
		waited := now.Sub(v.health.probeAt) >= healthCheckDelay
		if waited && v.probeDue(now) && !v.health.recentlyChecked(now) {
			list = append(list, v.ID)
		}
	}
	return list
}

// HealthCheckPassed tells that the health endpoint of a quarantined server has
// answered well. The server stays in quarantine, for one that fails all work
// may answer well; but the next probe may be work that is not repeatable.
func (s *Scheduler) HealthCheckPassed(now model.Time, id model.ServerID) {
	v := s.servers[id]
	if v == nil || !v.health.quarantined || !v.probeDue(now) {
		return
	}
	v.health.checkedAt = now
	s.dispatch(now)
}
