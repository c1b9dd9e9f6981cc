package sched

import (
	"math/rand/v2"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	secondStream  = 0x9e3779b97f4a7c15
	rowsEvery     = 5  // ticks between looks at the table
	balanceEvery  = 50 // ticks between corrections of the speed scale
	minSlowSample = 8
)

// Scheduler queues tasks and binds them to slots. It is not safe for
// concurrent use.
type Scheduler struct {
	opts Options
	rng  *rand.Rand
	now  model.Time
	boot model.Time

	servers     map[model.ServerID]*server
	list        []*server        // known servers, in the order of SetServers
	unserved    []unservedDomain // failure domains with servers and without a live instance
	leftover    []*server        // servers that left the list and still have runs or a record of health
	index       freeIndex
	quarantined []*server
	paused      []*server
	usual       float64 // mean slowness of the work done lately

	queue      queue
	parkedLong heap[*flow]
	parkedSlot heap[*flow]
	runs       runs
	typical    typicalRun
	promises   promises
	shed       shedding
	history    history

	peers   map[model.Instance]*peer
	live    []*peer    // by name
	peersAt model.Time // last change of the list of instances
	lend    lending
	limits  limits

	out    Output
	starts uint64
	ticks  uint64
}

// New returns a scheduler without servers and peers.
func New(o Options) *Scheduler {
	return &Scheduler{
		opts:     o,
		rng:      rand.New(rand.NewPCG(o.Seed, secondStream)),
		servers:  make(map[model.ServerID]*server),
		usual:    1,
		queue:    newQueue(),
		runs:     runs{byKey: make(map[runKey]run)},
		promises: newPromises(),
		history:  newHistory(),
		peers:    make(map[model.Instance]*peer),
		limits:   newLimits(),
	}
}

// Cancel gives up the unstarted tasks of a job. Tasks already started go on
// and are reported by Done.
func (s *Scheduler) Cancel(now model.Time, h model.JobHandle) {
	s.now = now
	j := s.queue.jobs[h]
	if j == nil || j.ended {
		return
	}
	s.end(now, j)
	s.retire(j)
}

// SetServers replaces the list of backend servers.
func (s *Scheduler) SetServers(now model.Time, list []Server) {
	s.now = now
	old := append(s.leftover, s.list...)
	for _, v := range old {
		v.known = false
	}
	for i := range s.index.classes {
		s.index.classes[i].servers = 0
	}
	s.list = nil
	for i := range list {
		s.setServer(&list[i])
	}
	s.forgetServers(old)
	s.assign(now)
	s.wakeAll(&s.parkedSlot)
	s.bind(now)
	s.flush(now)
}

func (s *Scheduler) setServer(in *Server) {
	v := s.servers[in.ID]
	if v == nil {
		v = &server{bucket: absent, speedRank: middleLevel}
		s.servers[in.ID] = v
	}
	s.index.take(v)
	v.Server = *in
	v.known = in.State != ServerGone
	v.remote = in.Domain != s.opts.Domain
	v.class = s.index.class(in.Resources)
	if v.known {
		s.index.classes[v.class].servers++
		s.list = append(s.list, v)
	}
}

// forgetServers drops servers that left the list, once no run is in flight.
func (s *Scheduler) forgetServers(old []*server) {
	s.leftover = nil
	for _, v := range old {
		if v.known {
			continue
		}
		s.index.update(v)
		s.dropLoan(v)
		s.forgetLoans(v)
		if v.busy > 0 || v.health.quarantined || v.health.paused {
			s.leftover = append(s.leftover, v)
			continue
		}
		delete(s.servers, v.ID)
	}
}

// Tick advances timers; it is called every TickInterval.
func (s *Scheduler) Tick(now model.Time) {
	s.now = now
	s.ticks++
	s.endPauses(now)
	s.watchRuns(now)
	s.updateReserve(now)
	s.updateShedding(TickInterval.Seconds())
	s.endPromises(now)
	s.adoptUnserved(now)
	if s.ticks%rowsEvery == 0 {
		s.applyRows(now)
	}
	if s.ticks%balanceEvery == 0 {
		s.balanceSpeeds()
	}
	if s.ticks%sweepEvery == 0 {
		s.sweep(now)
	}
	s.dropExpired(now)
	s.wakeAll(&s.parkedLong)
	s.wakeAll(&s.parkedSlot)
	s.tickLimits(now)
	s.bind(now)
	s.tickLending(now)
	s.flush(now)
}

// dropExpired answers jobs whose deadline passed while they were queued.
func (s *Scheduler) dropExpired(now model.Time) {
	for _, f := range s.queue.flowList {
		if f.waiting > 0 {
			s.head(now, f)
		}
	}
}

// balanceSpeeds keeps the mean of the learned slowness at one, so that run
// times and slowness cannot drift against each other.
func (s *Scheduler) balanceSpeeds() {
	sum, n := 0.0, 0.0
	for _, v := range s.list {
		if v.speed.samples >= minSlowSample {
			sum += v.speed.log
			n++
		}
	}
	if n == 0 {
		return
	}
	for _, v := range s.list {
		if v.speed.samples >= minSlowSample {
			v.speed.log -= sum / n
			s.rank(v)
			s.index.update(v)
		}
	}
}

// Ready returns and clears what is to be done. The slices are valid until
// the next call of any method.
func (s *Scheduler) Ready() Output {
	out := s.out
	s.out.Starts = s.out.Starts[:0]
	s.out.Messages = s.out.Messages[:0]
	s.out.Drops = s.out.Drops[:0]
	return out
}
