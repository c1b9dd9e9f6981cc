package sched

import (
	"math/rand/v2"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	pcgStream           = 0x9e3779b97f4a7c15
	policyRefreshTicks  = 5  // interval between reads of the table
	speedNormalizeTicks = 50 // interval between corrections of the speed scale
	minSpeedSamples     = 8
)

// Scheduler queues tasks and assigns them to slots. It is not safe for
// concurrent use.
type Scheduler struct {
	opts     Options
	rng      *rand.Rand
	now      model.Time
	bootTime model.Time

	servers      map[model.ServerID]*server
	serverList   []*server        // in the order of SetServers
	orphaned     []orphanedDomain // failure domains with servers but no live instance
	departed     []*server        // no longer listed, but with tasks in flight or health state to keep
	index        freeIndex
	quarantined  []*server
	paused       []*server
	meanSlowness float64 // moving average over recent tasks

	queue           queue
	parkedLong      heap[*flow]
	parkedForSlot   heap[*flow]
	runs            runs
	typical         typicalRun
	expectedRetries expectedRetries
	shed            shedding
	history         history

	peers          map[model.Instance]*peer
	livePeers      []*peer    // sorted by ID
	peersChangedAt model.Time // last change of the peer list
	lending        lending
	limits         limits

	out    Output
	starts uint64
	ticks  uint64
}

// New returns a scheduler without servers or peers.
func New(o Options) *Scheduler {
	return &Scheduler{
		opts:            o,
		rng:             rand.New(rand.NewPCG(o.Seed, pcgStream)),
		servers:         make(map[model.ServerID]*server),
		meanSlowness:    1,
		queue:           newQueue(),
		runs:            runs{byKey: make(map[runKey]run)},
		expectedRetries: newExpectedRetries(),
		history:         newHistory(),
		peers:           make(map[model.Instance]*peer),
		limits:          newLimits(),
	}
}

// Cancel drops the unstarted tasks of a job. Running tasks continue and end
// with Done.
func (s *Scheduler) Cancel(now model.Time, h model.JobHandle) {
	s.now = now
	j := s.queue.jobs[h]
	if j == nil || j.ended {
		return
	}
	s.endJob(now, j)
	s.retire(j)
}

// SetServers replaces the list of backend servers.
func (s *Scheduler) SetServers(now model.Time, list []Server) {
	s.now = now
	old := append(s.departed, s.serverList...)
	for _, v := range old {
		v.known = false
	}
	for i := range s.index.classes {
		s.index.classes[i].servers = 0
	}
	s.serverList = nil
	for i := range list {
		s.setServer(&list[i])
	}
	s.removeDeparted(old)
	s.assignOwners(now)
	s.unparkAll(&s.parkedForSlot)
	s.dispatch(now)
	s.flushMessages(now)
}

func (s *Scheduler) setServer(in *Server) {
	v := s.servers[in.ID]
	if v == nil {
		v = &server{bucket: noBucket, speedLevel: middleLevel}
		s.servers[in.ID] = v
	}
	s.index.remove(v)
	v.Server = *in
	v.known = in.State != ServerGone
	v.remote = in.Domain != s.opts.Domain
	v.class = s.index.class(in.Resources)
	if v.known {
		s.index.classes[v.class].servers++
		s.serverList = append(s.serverList, v)
	}
}

// removeDeparted removes unlisted servers once they have no task in flight.
func (s *Scheduler) removeDeparted(old []*server) {
	s.departed = nil
	for _, v := range old {
		if v.known {
			continue
		}
		s.index.update(v)
		s.returnLoan(v)
		s.revokeLoans(v)
		if v.busy > 0 || v.health.quarantined || v.health.paused {
			s.departed = append(s.departed, v)
			continue
		}
		delete(s.servers, v.ID)
	}
}

// Tick advances timers. The caller calls it every TickInterval.
func (s *Scheduler) Tick(now model.Time) {
	s.now = now
	s.ticks++
	s.expirePauses(now)
	s.trackStragglers(now)
	s.updateMaxLong(now)
	s.updateShedding(TickInterval.Seconds())
	s.expireRetries(now)
	s.adoptOrphaned(now)
	if s.ticks%policyRefreshTicks == 0 {
		s.refreshPolicies(now)
	}
	if s.ticks%speedNormalizeTicks == 0 {
		s.normalizeSpeeds()
	}
	if s.ticks%sweepIntervalTicks == 0 {
		s.evictIdle(now)
	}
	s.dropExpired(now)
	s.unparkAll(&s.parkedLong)
	s.unparkAll(&s.parkedForSlot)
	s.tickLimits(now)
	s.dispatch(now)
	s.tickLending(now)
	s.flushMessages(now)
}

// dropExpired drops queued jobs whose deadline has passed.
func (s *Scheduler) dropExpired(now model.Time) {
	for _, f := range s.queue.flowList {
		if f.waiting > 0 {
			s.nextJob(now, f)
		}
	}
}

// normalizeSpeeds keeps the mean learned slowness at one, so that run times
// and slowness cannot drift against each other.
func (s *Scheduler) normalizeSpeeds() {
	sum, n := 0.0, 0.0
	for _, v := range s.serverList {
		if v.slowness.samples >= minSpeedSamples {
			sum += v.slowness.logFactor
			n++
		}
	}
	if n == 0 {
		return
	}
	for _, v := range s.serverList {
		if v.slowness.samples >= minSpeedSamples {
			v.slowness.logFactor -= sum / n
			s.updateSpeedLevel(v)
			s.index.update(v)
		}
	}
}

// Ready returns and clears the pending output. The slices are valid until the
// next call of any method.
func (s *Scheduler) Ready() Output {
	out := s.out
	s.out.Starts = s.out.Starts[:0]
	s.out.Messages = s.out.Messages[:0]
	s.out.Drops = s.out.Drops[:0]
	return out
}
