package sched

import "github.com/nutmegweir/nutmegweir/internal/model"

// Stats are gauges of one scheduler.
type Stats struct {
	Slots           int     // slots that this instance may use
	FairShare       float64 // slots that its weighted demand entitles it to, when last computed
	Free            int     // of Slots, those that are free
	Lendable        int     // of Free, those available to peers
	Lent            int     // slots lent to peers
	Borrowed        int     // slots borrowed from peers
	Waiting         int     // tasks not yet started
	UnmetDemand     int     // of these, tasks that lack only a slot
	Running         int     // starts without an outcome
	RunningLong     int     // of these, long tasks
	MaxRunningLong  int     // bound on running long tasks
	Quarantined     int     // servers in quarantine
	Shedding        bool    // work is shed by weight
	FairRate        float64 // work admitted per unit of weight while shedding, in seconds a second
	Flows           int     // known combinations of customer, kind and needs
	ExpectedRetries int     // rejected jobs that are expected to be resubmitted
}

// Quarantined returns the backend servers in quarantine.
func (s *Scheduler) Quarantined() []model.ServerID {
	list := make([]model.ServerID, len(s.quarantined))
	for i, v := range s.quarantined {
		list[i] = v.ID
	}
	return list
}

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
