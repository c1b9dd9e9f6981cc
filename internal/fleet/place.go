package fleet

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Policy selects how jobs are ordered and placed. Instances use the zero value; the
// others are baselines for comparison.
type Policy struct {
	Order OrderPolicy
	Place PlacePolicy
}

// OrderPolicy is the start order of queued jobs.
type OrderPolicy int

// Orders of queued jobs.
const (
	OrderLeastSlack OrderPolicy = iota
	OrderArrival                // FIFO
)

// PlacePolicy is the choice among servers with free capacity.
type PlacePolicy int

// Choices among servers.
const (
	PlaceLeastCost PlacePolicy = iota
	PlaceFirstFit              // by server ID
	PlaceRandom                // by a hash of task and server
)

// Cost weights of a server, relative to the estimated time of the task.
const (
	strandedWeight  = 0.1 // per whole server of capacity left too small for a typical task; minor next to speed
	lateWeight      = 4   // for a task that would end after its job is due
	otherRackWeight = 0.5 // for another rack than the task's data while its slowdown isn't known
	failedWeight    = 3   // for a server whose last run failed
)

// openServers returns the servers that accept work and have at least the given free
// milli-cores.
func (p *pool) openServers(least uint32, now Time) []*server {
	var out []*server
	for _, s := range p.orderedServers {
		if s.free().CPUMilli >= least && s.takesWork(now) && p.wantedAge(s, now) <= maxWantedAge {
			out = append(out, s)
		}
	}
	return out
}

// minQueuedMilli returns the smallest CPU need of a queued task, in milli-cores.
func (p *pool) minQueuedMilli() uint32 {
	least := uint32(math.MaxUint32)
	for _, j := range p.queue {
		for _, st := range j.steps {
			if st.ready && len(st.queued) > 0 {
				least = min(least, st.spec.Need.CPUMilli)
			}
		}
	}
	return least
}

// pickServer returns the cheapest open server with room for a task, nil if there is
// none.
func (p *pool) pickServer(t *task, open []*server, now Time) *server {
	var best *server
	bestCost := 0.0
	onlyOnTime := p.waitsForFaster(t, now)
	wantedAge := now.Sub(p.members.wantedAt(t.job, now))
	if len(open) == 0 || wantedAge > maxWantedAge {
		return nil
	}
	for _, s := range open {
		if !t.step.spec.Need.Fits(s.free()) || !s.takesWork(now) || !s.serves(t.job.spec.Service, t.step.spec) || p.leaseOutlasts(s, wantedAge, now) {
			continue
		}
		if s.atStepLimit(t) {
			continue
		}
		if p.barred(t, s) || onlyOnTime && now.Add(p.expect(t.step, s, now)) > t.job.due && !p.spareFor(t, s, now) {
			continue
		}
		if p.awaitsLife(s, t, now) {
			continue
		}
		if c := p.cost(t, s, now); best == nil || c < bestCost {
			best, bestCost = s, c
		}
	}
	return best
}

// waitsForFaster reports whether a task rather waits than starts on a server that makes
// its job late: fast servers can still be on time, and other jobs wait that a slow one
// may suit.
func (p *pool) waitsForFaster(t *task, now Time) bool {
	return len(p.queue)-p.places.byChoice > 1 && t.job.offloaded == nil && t.job.durable == nil && p.latestStart(t.job) >= now
}

// cost returns the cost of running a task on a server; the lowest wins.
func (p *pool) cost(t *task, s *server, now Time) float64 {
	switch p.policy.Place {
	case PlaceFirstFit:
		return 0
	case PlaceRandom:
		return float64(rank(model.Domain(t.id.Job+strconv.Itoa(t.id.Index)), model.Instance(s.entry.ID)) >> 11)
	}
	takes := s.expect(t.step.spec.Estimate, now)
	c := speedWeight(t.step.spec.Estimate) * ratio(takes, t.step.spec.Estimate)
	far := p.slowdown(t.step, s)
	c += (far - 1) * ratio(takes, t.step.spec.Estimate)
	if now.Add(stretch(takes, far)) > t.job.due {
		c += lateWeight
	}
	if r := t.step.spec.Rack; p.places.farFactor <= 1 && r != "" && !slices.Contains(s.entry.Labels, r) {
		c += otherRackWeight
	}
	if s.health.failures > 0 {
		c += failedWeight
	}
	left := float64(s.free().CPUMilli - t.step.spec.Need.CPUMilli)
	whole := float64(int(left/p.typicalMilli)) * p.typicalMilli
	stranded := (left - whole) / float64(max(s.capacity().CPUMilli, 1))
	return c + strandedWeight*stranded
}

func ratio(a, b time.Duration) float64 {
	if b <= 0 {
		return 1
	}
	return float64(a) / float64(b)
}

// speedWeight returns the weight of a server's speed for a task. Long tasks need fast
// servers, as their objective scales with their length. The fixed allowance lets short
// tasks run on slow servers, which keeps the fast ones free.
func speedWeight(estimate time.Duration) float64 {
	w := float64(estimate-shortTask) / float64(longTask-shortTask)
	return min(max(w, minSpeedWeight), maxSpeedWeight)
}

// Bounds of speedWeight.
const (
	shortTask      = 120 * time.Millisecond // twice the usual allowance: any speed will do
	longTask       = 420 * time.Millisecond // the extra time on a slow server exceeds the allowance
	minSpeedWeight = -0.2
	maxSpeedWeight = 3.0
)
