package schedbench

import (
	"fmt"
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

const (
	faultAt     = 10 * time.Second
	faultRunEnd = 70 * time.Second
)

// failsEverything reports the starts on a server that fails every task
// immediately, relative to those on its peers, from two seconds after the failure.
func failsEverything(mode sched.Mode, seed uint64) []Metric {
	m := NewSim(ReferenceFleet, mode, Weights{}, seed)
	broken, slow := m.servers[0], m.servers[1]
	slow.slowness = 5
	w := mixedWorkload(0.7)
	w.Until = faultRunEnd
	brokenBefore, slowBefore := 0, 0
	m.At(faultAt, func() { broken.failing = true })
	m.At(faultAt+2*time.Second, func() {
		brokenBefore, slowBefore = broken.starts, slow.starts
		for _, v := range m.servers[2:] {
			v.startsBefore = v.starts
		}
	})
	m.AddWorkload(w)
	m.Run(faultRunEnd)
	peers := 0
	for _, v := range m.servers[2:] {
		peers += v.starts - v.startsBefore
	}
	mean := float64(peers) / float64(len(m.servers)-2)
	return []Metric{
		{"bad/peer", float64(broken.starts-brokenBefore) / mean},
		{"slow*5/peer", slow.slowness * float64(slow.starts-slowBefore) / mean},
		{"failed", float64(m.Result.Failed)},
	}
}

// unreachableServer reports the starts on a server that cannot be connected to,
// relative to the mean per server, from two seconds after the failure.
func unreachableServer(mode sched.Mode, seed uint64) []Metric {
	m := NewSim(ReferenceFleet, mode, Weights{}, seed)
	broken := m.servers[0]
	w := mixedWorkload(0.7)
	w.Until = faultRunEnd
	brokenBefore, allBefore := 0, 0
	m.At(faultAt, func() { broken.unreachable = true })
	m.At(faultAt+2*time.Second, func() { brokenBefore, allBefore = broken.starts, m.Result.Starts })
	m.AddWorkload(w)
	m.Run(faultRunEnd)
	mean := float64(m.Result.Starts-allBefore) / float64(len(m.servers))
	return []Metric{{"bad/peer", float64(broken.starts-brokenBefore) / mean}}
}

// leaving counts the starts on a server from two seconds after it began to
// leave.
func leaving(mode sched.Mode, seed uint64) []Metric {
	m := NewSim(ReferenceFleet, mode, Weights{}, seed)
	v := m.servers[0]
	w := mixedWorkload(0.9)
	at := 0
	m.At(faultAt, func() { m.MarkLeaving(v) })
	m.At(faultAt+2*time.Second, func() { at = v.starts })
	m.AddWorkload(w)
	m.Run(w.Until)
	return []Metric{{"starts", float64(v.starts - at)}, {"503", m.Result.RejectionRate()}}
}

const domainLossMeasuredFrom = faultAt + 10*time.Second // long after the loss is detected

// domainLost kills all instances of one domain while its servers stay up. The
// others are offered 82.5% of the fleet's capacity, more than the servers of
// their own domains can serve.
func domainLost(mode sched.Mode, seed uint64) []Metric {
	m := NewSim(ReferenceFleet, mode, Weights{}, seed)
	w := mixedWorkload(1.1)
	lost := domainName(1)
	m.At(faultAt, func() {
		for _, in := range m.instances {
			if in.domain == lost {
				m.Kill(in)
			}
		}
	})
	before := 0
	starts := func() int {
		n := 0
		for _, v := range m.servers {
			if v.Domain == lost {
				n += v.starts
			}
		}
		return n
	}
	m.At(domainLossMeasuredFrom, func() { before = starts() })
	m.Result.From = virtualEpoch.Add(domainLossMeasuredFrom)
	m.AddWorkload(w)
	m.Run(w.Until + drainPeriod)
	return []Metric{
		{"mean", Mean(m.Result.All())},
		{"short-p99", Quantile(m.Result.ShortSlowdowns, 0.99)},
		{"lost-starts", float64(starts() - before)},
		{"503", m.Result.RejectionRate()},
	}
}

const (
	waveJobs  = 5000
	waveDelay = 2 * time.Second // from submission to cancel
)

// cancelWave reports the p99 of the other customers' short tasks while 5,000
// jobs are cancelled within a second, relative to a run without cancels.
func cancelWave(mode sched.Mode, seed uint64) []Metric {
	with, after := waveRun(mode, seed, true)
	without, _ := waveRun(mode, seed, false)
	return []Metric{
		{"ratio", with / without},
		{"p99", with},
		{"starts-after", float64(after)},
	}
}

func waveRun(mode sched.Mode, seed uint64, cancel bool) (p99 float64, after int) {
	m := NewSim(ReferenceFleet, mode, Weights{}, seed)
	w := mixedWorkload(0.7)
	w.Until = faultAt + 10*time.Second
	k := Kind{Name: "wave", Mean: 350 * time.Millisecond, Long: true, Sigma: 0.5}
	for i := range waveJobs {
		at := faultAt + time.Duration(i)*time.Second/waveJobs
		var j *job
		m.At(at, func() {
			j = m.newJob(w, "wave", &k, 1)
			m.Submit(j)
		})
		if cancel {
			m.At(at+waveDelay, func() { m.Cancel(j) })
		}
	}
	m.Result.From = virtualEpoch.Add(faultAt + waveDelay)
	m.Result.Until = virtualEpoch.Add(faultAt + waveDelay + time.Second)
	m.AddWorkload(w)
	m.Run(w.Until + drainPeriod)
	return Quantile(m.Result.ShortSlowdowns, 0.99), m.Result.StartsAfterCancel
}

const limitedCustomer = model.Customer("lim")

// limitPolicy limits one customer.
type limitPolicy struct{ row sched.PolicyRow }

func (p limitPolicy) Row(c model.Customer, _ model.Kind) sched.PolicyRow {
	if c == limitedCustomer {
		return p.row
	}
	return sched.PolicyRow{Weight: 1}
}

const (
	demandMoveAt   = 15 * time.Second // the limited customer's demand moves to another instance
	maxConcurrency = 40
	maxStartRate   = 100 // starts a second
)

// concurrencyLimitRun reports the limited customer's peak concurrency, and its
// lowest concurrency from one second after its demand moved.
func concurrencyLimitRun(prepare func(*Sim)) func(sched.Mode, uint64) []Metric {
	return func(mode sched.Mode, seed uint64) []Metric {
		m := limitRun(mode, seed, sched.PolicyRow{Weight: 1, Concurrency: maxConcurrency}, prepare)
		lowest := math.MaxInt
		for at := demandMoveAt + time.Second; at < demandMoveAt+5*time.Second; at += 10 * time.Millisecond {
			m.At(at, func() { lowest = min(lowest, m.running[limitedCustomer]) })
		}
		m.Run(demandMoveAt + 5*time.Second)
		return []Metric{
			{"most/limit", float64(m.maxRunning[limitedCustomer]) / maxConcurrency},
			{"usable", float64(lowest) / maxConcurrency},
			{"msg/task", m.Result.MessagesPerTask()},
		}
	}
}

// rateLimitRun reports the limited customer's highest number of starts in a
// second, and its lowest after its demand moved.
func rateLimitRun(mode sched.Mode, seed uint64) []Metric {
	m := limitRun(mode, seed, sched.PolicyRow{Weight: 1, Rate: maxStartRate}, nil)
	perSecond := make(map[int]int)
	m.onStart = func(_ sched.Start, j *job) {
		if j.Customer == limitedCustomer {
			perSecond[int(m.Now.Sub(virtualEpoch)/time.Second)]++
		}
	}
	last := int((demandMoveAt + 5*time.Second) / time.Second)
	m.Run(demandMoveAt + 5*time.Second)
	highest, lowest := 0, math.MaxInt
	for s := 6; s < last; s++ {
		highest = max(highest, perSecond[s])
		if s > int(demandMoveAt/time.Second) {
			lowest = min(lowest, perSecond[s])
		}
	}
	return []Metric{
		{"most/limit", float64(highest) / maxStartRate},
		{"usable", float64(lowest) / maxStartRate},
	}
}

// limitRun saturates one instance at a time with work of the limited customer:
// first one, then another.
func limitRun(mode sched.Mode, seed uint64, row sched.PolicyRow, prepare func(*Sim)) *Sim {
	m := NewSim(ReferenceFleet, mode, limitPolicy{row}, seed)
	if prepare != nil {
		prepare(m)
	}
	w := mixedWorkload(0.5)
	m.AddWorkload(w)
	k := Kind{Name: "k200", Mean: 200 * time.Millisecond, Long: true, Sigma: 0.3}
	const every = 4 * time.Millisecond
	for at := 5 * time.Second; at < demandMoveAt+5*time.Second; at += every {
		in := m.instances[0]
		if at >= demandMoveAt {
			in = m.instances[5]
		}
		m.At(at, func() {
			j := m.newJob(w, string(limitedCustomer), &k, 1)
			j.inst = in
			m.Submit(j)
		})
	}
	m.At(demandMoveAt, func() { m.cancelAll(limitedCustomer) })
	return m
}

// cancelAll cancels the unfinished jobs of a customer.
func (m *Sim) cancelAll(c model.Customer) {
	for h := model.JobHandle(1); h <= m.handle; h++ {
		if j := m.jobs[h]; j != nil && j.Customer == c {
			j.cancelled = true
			j.inst.s.Cancel(m.Now, h)
			m.handleOutput(j.inst)
		}
	}
}

// isolateMovedDemand isolates the domain to which the limited demand moves.
func isolateMovedDemand(m *Sim) {
	m.At(demandMoveAt-3*time.Second, func() { m.IsolateDomain(m.instances[5].domain) })
}

func (f Metric) String() string { return fmt.Sprintf("%s %.3f", f.Name, f.Value) }
