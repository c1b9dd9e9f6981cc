package schedbench

import (
	"fmt"
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// Kind is a kind of job with its run time distribution.
type Kind struct {
	Name  model.Kind
	Mean  time.Duration
	Share float64 // of all jobs
	Long  bool
	Sigma float64 // of the logarithm of the run time
}

// Workload describes which jobs arrive.
type Workload struct {
	Kinds               []Kind
	Customers           int
	CustomerShares      []float64 // share of each customer in demand, equal if empty
	DomainShares        []float64 // share of each domain in demand, equal if empty
	Load                float64   // offered work relative to the fleet's slots at slowness 1
	LoadFactor          func(at time.Duration) float64
	StragglerShare      float64 // fraction of tasks that run StragglerFactor times longer
	StragglerFactor     float64
	Deadline            time.Duration // after the submission, 0 for none
	DeclaredErrorFactor float64       // declared run times are off by up to this factor
	SingleTask          bool          // jobs have one task
	TasksPerJob         int           // 0 for the usual mix
	From                time.Duration
	Until               time.Duration
}

// shortKinds are the short kinds of the usual mix.
func shortKinds() []Kind {
	ms := []int{60, 120, 200, 350, 600, 900}
	kinds := make([]Kind, len(ms))
	for i, x := range ms {
		kinds[i] = Kind{Name: model.Kind(fmt.Sprintf("k%d", x)), Mean: time.Duration(x) * time.Millisecond, Share: 1, Sigma: 0.5}
	}
	return kinds
}

// withLong adds a long kind that makes up a fraction of the jobs.
func withLong(kinds []Kind, mean time.Duration, share float64) []Kind {
	sum := 0.0
	for _, k := range kinds {
		sum += k.Share
	}
	return append(kinds, Kind{Name: "long", Mean: mean, Share: sum * share / (1 - share), Long: true, Sigma: 0.5})
}

const meanTasksPerJob = 1.8 // one task, or two to eight in a fifth of the jobs

func (w *Workload) meanWork() float64 {
	sum, shares := 0.0, 0.0
	for _, k := range w.Kinds {
		sum += k.Share * k.Mean.Seconds()
		shares += k.Share
	}
	mean := sum / shares * (1 + w.StragglerShare*(w.StragglerFactor-1))
	if w.SingleTask {
		return mean
	}
	if w.TasksPerJob > 0 {
		return mean * float64(w.TasksPerJob)
	}
	return mean * meanTasksPerJob
}

// AddWorkload schedules the jobs as Poisson arrivals.
func (m *Sim) AddWorkload(w *Workload) {
	slots := 0.0
	for _, v := range m.servers {
		slots += float64(v.Slots) / v.slowness
	}
	rate := w.Load * slots / w.meanWork()
	m.At(w.From, func() { m.nextArrival(w, rate) })
}

func (m *Sim) nextArrival(w *Workload, rate float64) {
	at := m.Now.Sub(virtualEpoch)
	if at >= w.Until {
		return
	}
	r := rate
	if w.LoadFactor != nil {
		r *= w.LoadFactor(at)
	}
	m.Submit(m.sampleJob(w))
	m.after(time.Duration(m.rng.ExpFloat64()/r*float64(time.Second)), func() { m.nextArrival(w, rate) })
}

func (m *Sim) sampleJob(w *Workload) *job {
	tasks := 1
	if !w.SingleTask && m.rng.Float64() < 0.2 {
		tasks = 2 + m.rng.IntN(7)
	}
	if w.TasksPerJob > 0 {
		tasks = w.TasksPerJob
	}
	c := m.pickWeighted(w.CustomerShares, max(1, w.Customers))
	return m.newJob(w, fmt.Sprintf("c%d", c), &w.Kinds[m.pickKind(w.Kinds)], tasks)
}

func (m *Sim) pickKind(kinds []Kind) int {
	shares := make([]float64, len(kinds))
	for i, k := range kinds {
		shares[i] = k.Share
	}
	return m.pickWeighted(shares, len(kinds))
}

func (m *Sim) pickWeighted(weights []float64, n int) int {
	if len(weights) == 0 {
		return m.rng.IntN(n)
	}
	sum := 0.0
	for _, p := range weights {
		sum += p
	}
	x := m.rng.Float64() * sum
	for i, p := range weights {
		if x -= p; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (m *Sim) newJob(w *Workload, customer string, k *Kind, tasks int) *job {
	j := &job{firstSubmittedAt: m.Now, tasksLeft: tasks, long: k.Long, inst: m.pickInstance(w)}
	j.Customer = model.Customer(customer)
	j.Kind = k.Name
	j.Tasks = tasks
	j.Repeatable = true
	j.IdentityHash = m.rng.Uint64() | 1
	j.DeclaredRunTime = k.Mean
	if w.DeclaredErrorFactor > 1 {
		j.DeclaredRunTime = time.Duration(float64(k.Mean) * math.Pow(w.DeclaredErrorFactor, 2*m.rng.Float64()-1))
	}
	if w.Deadline > 0 {
		j.Deadline = m.Now.Add(w.Deadline)
	}
	j.tasks = make([]task, tasks)
	for i := range j.tasks {
		j.tasks[i] = task{job: j, work: m.sampleRunTime(w, k)}
	}
	return j
}

func (m *Sim) sampleRunTime(w *Workload, k *Kind) time.Duration {
	x := k.Mean.Seconds() * math.Exp(k.Sigma*m.rng.NormFloat64()-k.Sigma*k.Sigma/2)
	if m.rng.Float64() < w.StragglerShare {
		x *= w.StragglerFactor
	}
	return time.Duration(x * float64(time.Second))
}

func (m *Sim) pickInstance(w *Workload) *instance {
	if len(w.DomainShares) == 0 {
		return m.instances[m.rng.IntN(len(m.instances))]
	}
	d := domainName(m.pickWeighted(w.DomainShares, len(w.DomainShares)))
	var list []*instance
	for _, in := range m.instances {
		if in.domain == d {
			list = append(list, in)
		}
	}
	return list[m.rng.IntN(len(list))]
}

// serverSlowness places server i of n on a geometric scale around one.
func serverSlowness(r float64, i, n int) float64 {
	const stride = 7 // neighbours differ, so that every domain has every speed
	x := float64(i*stride%n)/float64(n-1) - 0.5
	return math.Pow(r, x)
}

// Weights is a policy with one weight per customer.
type Weights map[model.Customer]float64

// Row returns the customer's weight for a customer and 1 for a kind.
func (w Weights) Row(c model.Customer, k model.Kind) sched.PolicyRow {
	if k != "" {
		return sched.PolicyRow{Weight: 1}
	}
	return sched.PolicyRow{Weight: w[c]}
}
