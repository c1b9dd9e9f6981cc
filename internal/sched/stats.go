package sched

import "github.com/nutmegweir/nutmegweir/internal/model"

// Stats are gauges of one scheduler.
type Stats struct {
	Slots           int     // slots that this instance may use
	FairShare       float64 // slots that its weighted demand entitles it to, when last computed
	Free            int     // of these, free
	Lendable        int     // of these, what peers may get
	Lent            int     // own slots that peers use
	Borrowed        int     // slots of peers that this instance may use
	Waiting         int     // tasks that are not started
	UnmetDemand     int     // of these, tasks that only lack a slot
	Running         int     // starts without an outcome
	RunningLong     int     // of these, long work
	MaxRunningLong  int     // most starts of long work at once
	Quarantined     int     // servers in quarantine
	Shedding        bool    // work is refused by weight
	FairRate        float64 // work admitted for a weight of one while shedding, seconds a second
	Flows           int     // customers and kinds known
	ExpectedRetries int     // refused jobs that are expected back
}

// Quarantined returns the backend servers in quarantine.
func (s *Scheduler) Quarantined() []model.ServerID {
	list := make([]model.ServerID, len(s.quarantined))
	for i, v := range s.quarantined {
		list[i] = v.ID
	}
	return list
}

// Stats returns the gauges.
func (s *Scheduler) Stats() Stats {
	borrowed := 0
	for _, p := range s.livePeers {
		borrowed += p.borrowed
	}
	return Stats{
		Slots: s.index.held, FairShare: s.lending.fairShare, Free: s.index.free, Lendable: s.lendable(),
		Lent: s.lending.totalLent, Borrowed: borrowed,
		Waiting: s.queue.waiting, UnmetDemand: s.unmetDemand(),
		Running: len(s.runs.byKey), RunningLong: s.runs.long, MaxRunningLong: s.runs.maxLong,
		Quarantined: len(s.quarantined), Shedding: s.shed.active, FairRate: s.shed.fairRate, Flows: len(s.queue.flowList),
		ExpectedRetries: len(s.expectedRetries.byHash),
	}
}
