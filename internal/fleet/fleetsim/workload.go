package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Service is the service of all servers and jobs.
const Service = "picker"

// Class is a class of jobs.
type Class struct {
	Name        string
	PerSecond   float64 // jobs per second
	Width       int     // mean number of tasks
	MaxWidth    int
	Work        time.Duration // mean per task at speed 1
	CPU         uint32        // mean per task, in milli-cores
	MaxCPU      uint32
	Priority    int
	MaxAttempts int
	Durable     bool    // jobs are durable
	Utility     float64 // of a job on time; a late one has lateUtility of it
	Locality    Locality
	// MaxPerServer limits how many tasks of a job run on one server, 0 for no limit.
	MaxPerServer int
}

// Site is a deployment.
type Site struct {
	Domains   []model.Domain
	Instances []int  // per domain
	Servers   int    // per domain
	CPU       uint32 // per server, in milli-cores
	RackSize  int    // servers per rack, 0 for no racks
	Classes   []Class
	Weights   []float64 // of the instances of a domain, cyclically; empty if all are equal
}

// defaultWeight is the share of a core that each instance has if all are equal.
const defaultWeight = 0.4

func (s Site) weight(i int) float64 {
	if len(s.Weights) == 0 {
		return defaultWeight
	}
	return s.Weights[i%len(s.Weights)]
}

// Glenbrae returns a deployment of the size of Glenbrae's.
func Glenbrae() Site {
	return Site{
		Domains: []model.Domain{"tayside", "carrick", "ardmore", "fife"}, Instances: []int{2, 2, 1, 1}, Servers: 12, CPU: 32000,
		Classes: []Class{
			{Name: "route", PerSecond: 30.3, Width: 8, MaxWidth: 32, Work: 51 * time.Millisecond, CPU: 14000, MaxCPU: 20000, MaxAttempts: 2},
			{Name: "calib", PerSecond: 5.5, Width: 4, MaxWidth: 16, Work: 760 * time.Millisecond, CPU: 14000, MaxCPU: 20000, Priority: 2, MaxAttempts: 4},
			{Name: "quality", PerSecond: 87.9, Width: 2, MaxWidth: 8, Work: 170 * time.Millisecond, CPU: 14000, MaxCPU: 20000, Priority: 1, MaxAttempts: 4},
		},
	}
}

// Large returns a deployment of the size of Glenbrae's largest: 147 instances, one in
// eight of them strong, and 1,100 servers.
func Large() Site {
	s := Glenbrae()
	s.Domains = []model.Domain{"tayside", "carrick", "ardmore", "fife", "angus", "perth"}
	s.Instances, s.Servers = []int{28, 24, 27, 24, 22, 22}, 183
	s.Weights = []float64{0.8, 0.48, 0.144, 0.144, 0.48, 0.144, 0.144, 0.144}
	s.Classes = slices.Clone(s.Classes)
	for i, perS := range []float64{272, 49.5, 792} {
		s.Classes[i].PerSecond = perS
	}
	return s
}

// AlHadhira returns a deployment of the size of Al Hadhira's.
func AlHadhira() Site {
	s := Glenbrae()
	s.Domains, s.Instances, s.Servers, s.CPU = []model.Domain{"muttrah", "seeb", "ruwi"}, []int{3, 3, 2}, 16, 16000
	for i := range s.Classes {
		s.Classes[i].CPU, s.Classes[i].MaxCPU = 6800, 10000
	}
	return s
}

// WithDurableJobs returns the site with durable jobs.
func (s Site) WithDurableJobs() Site {
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		s.Classes[i].Durable = true
	}
	return s
}

// Build adds the instances and servers of a site. A third of the servers is half as
// large again, and speeds differ.
func (w *World) Build(s Site) {
	for d, domain := range s.Domains {
		for i := range s.Instances[d] {
			w.AddInstance(model.Instance(fmt.Sprintf("%s-%d", domain, i)), domain, s.weight(i))
		}
		for i := range s.Servers {
			cpu := s.CPU
			if i%3 == 2 {
				cpu = cpu * 3 / 2
			}
			kind := string(rune('a' + i%3))
			w.AddServer(fleet.ServerEntry{
				ID: model.ServerID(fmt.Sprintf("%s-s%02d", domain, i)), Service: Service, Domain: domain, Addr: "a",
				Kind: kind, Labels: w.rackLabels(s, domain, kind, i),
				Capacity: model.Resources{CPUMilli: cpu, MemoryMB: 65536},
			}, []float64{0.6, 1, 1.6}[i%3])
		}
	}
}

// OfferLoad submits the jobs of a site at live instances for d, at load times the
// normal rate.
func (w *World) OfferLoad(s Site, load float64, d time.Duration) {
	for _, c := range s.Classes {
		w.offerClass(c, load, w.now.Add(d))
	}
}

// OfferLoadAt is OfferLoad at the instances of one failure domain.
func (w *World) OfferLoadAt(domain model.Domain, s Site, load float64, d time.Duration) {
	for _, c := range s.Classes {
		w.offerClassAt(domain, c, load, w.now.Add(d))
	}
}

func (w *World) offerClass(c Class, load float64, end fleet.Time) {
	w.offerClassAt("", c, load, end)
}

// offerClassAt submits the jobs of a class until end, in any domain if none is given.
func (w *World) offerClassAt(domain model.Domain, c Class, load float64, end fleet.Time) {
	gap := time.Duration(w.Rand.ExpFloat64() / (c.PerSecond * load) * float64(time.Second))
	if w.now.Add(gap) > end {
		return
	}
	w.After(gap, func() {
		w.submitOne(domain, c)
		w.offerClassAt(domain, c, load, end)
	})
}

func (w *World) submitOne(domain model.Domain, c Class) {
	var alive []*simInstance
	for _, n := range w.instances {
		if n.alive && !n.frozen && (domain == "" || n.member.Domain == domain) {
			alive = append(alive, n)
		}
	}
	if len(alive) == 0 {
		if w.resend {
			w.After(resubmitDelay, func() { w.submitOne(domain, c) })
		}
		return
	}
	work := time.Duration(float64(c.Work) * w.logNormal(0.4))
	if w.Rand.Float64() < 0.03 {
		work *= 7
	}
	spec := w.Job(c, min(work, 12*c.Work))
	w.choosePlace(&spec, c.Locality)
	at := alive[w.Rand.IntN(len(alive))].member
	if w.resend {
		w.SubmitUntilAnswered(at.Instance, spec, min(work, 12*c.Work))
		return
	}
	j := w.Submit(at.Instance, spec)
	j.work, j.domain, j.utility = min(work, 12*c.Work), at.Domain, c.Utility
}

// Job generates a job of a class with tasks of about the given work.
func (w *World) Job(c Class, work time.Duration) fleet.JobSpec {
	width := int(math.Round(float64(c.Width) * w.logNormal(0.4)))
	return fleet.JobSpec{
		ID: fmt.Sprintf("%016x", w.Rand.Uint64()), Route: c.Name, Service: Service, Spec: "work",
		Priority: c.Priority, MaxAttempts: c.MaxAttempts, Durable: c.Durable,
		Objective: fleet.Objective{Allowance: 60 * time.Millisecond, Stretch: 1.6},
		Timeout:   1500*time.Millisecond + 3*(60*time.Millisecond+time.Duration(1.6*float64(work))),
		Steps: []fleet.StepSpec{{
			Count:    min(max(width, 1), c.MaxWidth),
			Need:     model.Resources{CPUMilli: min(uint32(float64(c.CPU)*w.logNormal(0.2)), c.MaxCPU), MemoryMB: 64},
			Estimate: time.Duration(float64(work) * w.logNormal(0.4)), MaxPerServer: c.MaxPerServer,
		}},
	}
}

// logNormal draws a log-normal factor with median 1.
func (w *World) logNormal(spread float64) float64 { return math.Exp(spread * w.Rand.NormFloat64()) }

// Tally counts jobs by their results.
type Tally struct{ Jobs, OnTime, Completed, Failed, NotRun, Unknown, Open int }

// Tally counts the jobs submitted since a time.
func (w *World) Tally(since fleet.Time) Tally {
	var t Tally
	for _, j := range w.submissions {
		if j.SubmittedAt < since {
			continue
		}
		t.Jobs++
		switch {
		case j.AnsweredAt == 0:
			t.Open++
		case j.OnTime():
			t.OnTime++
			t.Completed++
		case j.Result.Kind == fleet.Completed:
			t.Completed++
		case j.Result.Kind == fleet.Failed:
			t.Failed++
		case j.Result.Kind == fleet.NotRun:
			t.NotRun++
		default:
			t.Unknown++
		}
	}
	return t
}
