package sched

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// limit is this instance's share of a row's concurrency and rate.
type limit struct {
	parked  heap[*flow]
	running int
}

// limits are the rows with limits that this instance has seen.
type limits struct {
	blocked []*limit // every limit
}

func newLimits() limits { return limits{} }

func (s *Scheduler) limitOf(now model.Time, f *flow, row PolicyRow) *limit { return nil }

func (l *limit) admits(now model.Time) bool { return true }

func (l *limit) take() { l.running++ }

func (l *limit) release() { l.running-- }

func (s *Scheduler) limitedRate(f *flow, r float64) float64 { return r }

func (s *Scheduler) tickLimits(now model.Time) {}

func (s *Scheduler) receiveLimits(now model.Time, p *peer, m *peerpb.SchedMessage) {}

func (l *limits) peersChanged(s *Scheduler, now model.Time) {}

func (l *limits) gone(s *Scheduler, now model.Time, p *peer) {}

func (l *limits) restarted(s *Scheduler, p *peer) {}
