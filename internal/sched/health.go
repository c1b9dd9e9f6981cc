package sched

import (
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	brokenFailureRate     = 0.9  // failure rate assumed for a broken server
	minHealthyFailureRate = 0.01 // lower bound on the expected failure rate of a healthy server
	maxHealthyFailureRate = 0.88
	quarantineScore       = 17.0 // log likelihood ratio
	minProbeDelay         = 8 * time.Second
	maxProbeDelay         = 64 * time.Second
	healthCheckDelay      = 2 * time.Second // time that a probe has been due before the health endpoint is checked
	healthCheckTTL        = 5 * time.Second // how long a passed health check counts
	probesToRelease       = 2
	rejectionPause        = 20 * time.Millisecond
	maxRejectionPause     = time.Second
	failureWindowStarts   = 256 // weight of the past in a kind's failure rate
	failurePriorStarts    = 10  // successful starts assumed for a new kind
	maxQuarantinedPercent = 50  // of all servers
)

// health is what the outcomes of starts reveal about a server.
type health struct {
	score        float64 // log likelihood ratio of broken to healthy
	quarantined  bool
	probeAt      model.Time
	probeDelay   time.Duration
	probing      bool
	probesPassed int
	checkedAt    model.Time // last passed health check, 0 if none since the last failed probe
	paused       bool       // after a rejected start
	pausedUntil  model.Time
	rejections   int
	starts       uint64
	failures     uint64
}

// acceptsStarts reports whether the server may receive ordinary starts.
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

// updateScore updates a server's score with one outcome, relative to its
// peers' failure rate for the same kind.
func (h *health) updateScore(failed bool, peers float64) {
	if failed {
		h.score += math.Log(brokenFailureRate / peers)
		return
	}
	h.score += math.Log((1 - brokenFailureRate) / (1 - peers))
	h.score = math.Max(0, h.score)
}

// recordOutcome updates the health of a server with the outcome of a start.
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

// receiveBroken quarantines owned servers that a borrower found broken.
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

// pauseServer holds back starts from a server that has just rejected one.
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

// recentlyChecked reports whether a recent health check passed.
func (h *health) recentlyChecked(now model.Time) bool {
	return h.checkedAt != 0 && now.Sub(h.checkedAt) < healthCheckTTL
}

// probeServer returns a quarantined server that is due for a probe.
// Non-repeatable tasks may probe only a server whose health check has passed.
func (s *Scheduler) probeServer(now model.Time, f *flow, repeatable bool) *server {
	for _, v := range s.quarantined {
		if v.probeDue(now) && f.needs.Fits(v.Resources) && (repeatable || v.health.recentlyChecked(now)) {
			return v
		}
	}
	return nil
}

// probeDue reports whether a quarantined server has a slot and may be probed.
func (v *server) probeDue(now model.Time) bool {
	h := &v.health
	due := now >= h.probeAt && !h.probing && !h.paused
	return due && v.owned && v.known && v.State == ServerActive && v.held() > v.busy
}

// HealthChecksDue returns the quarantined servers whose health endpoint is to
// be checked: those whose probe has been due for healthCheckDelay, since no
// repeatable task was available for it. Each has a free slot, whose connection
// the check may use.
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

// HealthCheckPassed handles a passed health check of a quarantined server. The
// server stays in quarantine, since a server that fails all tasks may still pass
// its health check, but its next probe may be a non-repeatable task.
func (s *Scheduler) HealthCheckPassed(now model.Time, id model.ServerID) {
	v := s.servers[id]
	if v == nil || !v.health.quarantined || !v.probeDue(now) {
		return
	}
	v.health.checkedAt = now
	s.dispatch(now)
}
