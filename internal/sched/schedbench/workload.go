package schedbench

import (
	"fmt"
	"math"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// Kind is a kind of request with its run time.
type Kind struct {
	Name  model.Kind
	Mean  time.Duration
	Share float64 // of the jobs
	Long  bool
	Sigma float64 // of the logarithm of the run time
}

// Workload says which jobs arrive.
type Workload struct {
	Kinds               []Kind
	Customers           int
	CustomerShares      []float64 // part of each customer's demand, even if empty
	DomainShares        []float64 // part of each domain, even if empty
	Load                float64   // offered work over the fleet's slots at slowness 1
	LoadFactor          func(at time.Duration) float64
	StragglerShare      float64 // part of the tasks that run StraggleBy times longer
	StragglerFactor     float64
	Deadline            time.Duration // after the submission, 0 for none
	DeclaredErrorFactor float64       // declared run times are off by up to this factor
	SingleTask          bool          // jobs have one task
	TasksPerJob         int           // tasks of every job, 0 for the usual mix
	From                time.Duration
	Until               time.Duration
}

// shortKinds are the kinds of a usual mix; long work is added by the caller.
func shortKinds() []Kind {
	ms := []int{60, 120, 200, 350, 600, 900}
	kinds := make([]Kind, len(ms))
	for i, x := range ms {
		kinds[i] = Kind{Name: model.Kind(fmt.Sprintf("k%d", x)), Mean: time.Duration(x) * time.Millisecond, Share: 1, Sigma: 0.5}
	}
	return kinds
}

// withLong adds a long kind that makes up a part of the jobs.
func withLong(kinds []Kind, mean time.Duration, part float64) []Kind {
	sum := 0.0
	for _, k := range kinds {
		sum += k.Share
	}
	return append(kinds, Kind{Name: "long", Mean: mean, Share: sum * part / (1 - part), Long: true, Sigma: 0.5})
}

const meanTasksPerJob = 1.8 // of a job: one, or in a fifth of the cases two to eight

func (w *Workload) meanWork() float64 {
	sum, parts := 0.0, 0.0
	for _, k := range w.Kinds {
		sum += k.Share * k.Mean.Seconds()
		parts += k.Share
	}
	mean := sum / parts * (1 + w.StragglerShare*(w.StragglerFactor-1))
	if w.SingleTask {
		return mean
	}
	if w.TasksPerJob > 0 {
		return mean * float64(w.TasksPerJob)
	}
	return mean * meanTasksPerJob
}

// AddWorkload lets the workload arrive as a Poisson process.
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
	parts := make([]float64, len(kinds))
	for i, k := range kinds {
		parts[i] = k.Share
	}
	return m.pickWeighted(parts, len(kinds))
}

func (m *Sim) pickWeighted(parts []float64, n int) int {
	if len(parts) == 0 {
		return m.rng.IntN(n)
	}
	sum := 0.0
	for _, p := range parts {
		sum += p
	}
	x := m.rng.Float64() * sum
	for i, p := range parts {
		if x -= p; x < 0 {
			return i
		}
	}
	return len(parts) - 1
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

// serverSlowness places server i of n on a geometric scale of slowness around one.
func serverSlowness(r float64, i, n int) float64 {
	const stride = 7 // neighbours differ, so that every domain has every speed
	x := float64(i*stride%n)/float64(n-1) - 0.5
	return math.Pow(r, x)
}

// Weights is a policy with a weight for each customer.
type Weights map[model.Customer]float64

// Row returns the customer's weight for the customer and 1 for a kind.
func (w Weights) Row(c model.Customer, k model.Kind) sched.PolicyRow {
	if k != "" {
		return sched.PolicyRow{Weight: 1}
	}
	return sched.PolicyRow{Weight: w[c]}
}
