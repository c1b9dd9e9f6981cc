package schedbench

import (
	"fmt"
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

const (
	peakStart   = 20 * time.Second
	peakEnd     = 35 * time.Second
	peakMargin  = 3 * time.Second // excluded at the start of the peak
	arrivalsEnd = 50 * time.Second
	jobDeadline = 3 * time.Second
)

func peakWeights() Weights {
	w := Weights{}
	for i := range 4 {
		w[customerName(i)] = float64(i + 1)
	}
	return w
}

func customerName(i int) model.Customer { return model.Customer(fmt.Sprintf("c%d", i)) }

func peakLoadFactor(at time.Duration) float64 {
	if at >= peakStart && at < peakEnd {
		return 3
	}
	return 1
}

// peakRun varies demand from 0.6 to 1.8 times the capacity. Four customers of
// weights 1 to 4 have equal demand.
func peakRun(honorRetryAfter bool, domainShares []float64, prepare func(*Sim)) func(sched.Mode, uint64) []Metric {
	return func(mode sched.Mode, seed uint64) []Metric {
		weights := peakWeights()
		m := NewSim(ReferenceFleet, mode, weights, seed)
		m.honorRetryAfter = honorRetryAfter
		w := &Workload{
			Kinds: shortKinds(), Customers: len(weights), Load: 0.6, LoadFactor: peakLoadFactor,
			Deadline: jobDeadline, Until: arrivalsEnd, DomainShares: domainShares,
		}
		m.Result.From = virtualEpoch.Add(peakStart + peakMargin)
		m.Result.Until = virtualEpoch.Add(peakEnd)
		if prepare != nil {
			prepare(m)
		}
		m.AddWorkload(w)
		m.Run(arrivalsEnd + drainPeriod)
		return m.peakMetrics(weights)
	}
}

func (m *Sim) peakMetrics(weights Weights) []Metric {
	slots := 0
	for _, v := range m.servers {
		slots += v.Slots
	}
	capacity := float64(slots) * (peakEnd - peakStart - peakMargin).Seconds()
	return []Metric{
		{"good/capacity", m.Result.WorkOnTime / capacity},
		{"done/capacity", m.totalService() / capacity},
		{"share-error", m.shareError(weights)},
		{"late", float64(m.Result.Late) / float64(m.Result.Admitted)},
		{"dropped", float64(m.Result.Dropped) / float64(m.Result.Submitted)},
		{"retry-admitted", ratio(m.Result.RetriesAdmitted, m.Result.Retries)},
		{"msg/task", m.Result.MessagesPerTask()},
		{"503", m.Result.RejectionRate()},
	}
}

func (m *Sim) totalService() float64 {
	sum := 0.0
	for i := range 4 {
		sum += m.Result.Service[customerName(i)]
	}
	return sum
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// shareError is the largest relative deviation of a customer's share of
// service from its share by weight.
func (m *Sim) shareError(weights Weights) float64 {
	sum, all := 0.0, 0.0
	for i := range len(weights) {
		sum += weights[customerName(i)]
		all += m.Result.Service[customerName(i)]
	}
	worst := 0.0
	for i := range len(weights) {
		c := customerName(i)
		worst = math.Max(worst, math.Abs(m.Result.Service[c]/all*sum/weights[c]-1))
	}
	return worst
}

// backlog is a peak without deadlines: the customers of weights 1 to 4 all have
// waiting work, and each submits mainly through a different domain.
func backlog(mode sched.Mode, seed uint64) []Metric {
	weights := peakWeights()
	m := NewSim(ReferenceFleet, mode, weights, seed)
	for i := range 4 {
		domainShares := []float64{1, 1, 1, 1}
		domainShares[i] = 5
		m.AddWorkload(&Workload{
			Kinds: shortKinds(), Customers: 4, CustomerShares: onlyCustomer(i), Load: 0.6,
			DomainShares: domainShares, Until: peakEnd,
		})
	}
	m.Result.From = virtualEpoch.Add(10 * time.Second)
	m.Result.Until = virtualEpoch.Add(peakEnd)
	m.Run(peakEnd)
	return []Metric{
		{"share-error", m.shareError(weights)},
		{"msg/task", m.Result.MessagesPerTask()},
		{"503", m.Result.RejectionRate()},
	}
}

func onlyCustomer(i int) []float64 {
	d := make([]float64, 4)
	d[i] = 1
	return d
}

// isolateDuringPeak isolates one domain during the peak.
func isolateDuringPeak(m *Sim) {
	m.At(peakStart+5*time.Second, func() { m.IsolateDomain("b") })
	m.At(peakStart+10*time.Second, func() { m.RejoinDomain("b") })
}
