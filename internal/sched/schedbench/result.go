package schedbench

import (
	"math"
	"sort"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

const roundTrip = time.Millisecond // included in the ideal response time

// Result holds the measurements of a run.
type Result struct {
	From              model.Time // earlier submissions are not counted
	Until             model.Time // later submissions are not counted, if set
	ShortSlowdowns    []float64  // response time over ideal response time
	LongSlowdowns     []float64
	Starts            int
	Messages          int // between instances
	SlotRequests      int
	Grants            int
	Recalls           int
	SlotsRequested    int
	SlotsLent         int
	Rejected503       int
	DoubleStarts      int
	StartsAfterCancel int
	Dropped           int
	Submitted         int
	Admitted          int
	Rejected          map[sched.Reason]int
	Retries           int // submissions after a Retry-After
	RetriesAdmitted   int
	JobsDone          int
	OnTime            int
	Late              int
	WorkOnTime        float64 // work answered before its deadline, in seconds at slowness 1
	Failed            int
	Service           map[model.Customer]float64 // work done, in seconds at slowness 1
}

func (r *Result) init() {
	r.Rejected = make(map[sched.Reason]int)
	r.Service = make(map[model.Customer]float64)
}

func (r *Result) recordMessage(m *peerpb.SchedMessage) {
	r.Messages++
	if m.Ask != nil {
		r.SlotRequests++
		r.SlotsRequested += int(m.Ask.Want)
	}
	if m.Grant != nil {
		r.Grants++
		for _, c := range m.Grant.Slots {
			r.SlotsLent += int(c.Count)
		}
	}
	if m.Recall != nil {
		r.Recalls++
	}
}

func (r *Result) inWindow(t model.Time) bool {
	return t >= r.From && (r.Until == 0 || t < r.Until)
}

func (r *Result) recordTask(now model.Time, j *job, t *task, o sched.Outcome) {
	if o != sched.OutcomeOK {
		r.Failed++
		return
	}
	if r.inWindow(now) {
		r.Service[j.Customer] += t.work.Seconds()
	}
	if !r.inWindow(j.submittedAt) {
		return
	}
	slowdown := now.Sub(j.submittedAt).Seconds() / (t.work + roundTrip).Seconds()
	if j.long {
		r.LongSlowdowns = append(r.LongSlowdowns, slowdown)
		return
	}
	r.ShortSlowdowns = append(r.ShortSlowdowns, slowdown)
}

func (r *Result) recordJob(now model.Time, j *job) {
	r.JobsDone++
	if j.Deadline == 0 {
		return
	}
	if now > j.Deadline {
		r.Late++
		return
	}
	if !r.inWindow(now) {
		return
	}
	r.OnTime++
	for i := range j.tasks {
		r.WorkOnTime += j.tasks[i].work.Seconds()
	}
}

func (r *Result) recordSubmission(j *job, v sched.AdmissionResult) {
	r.Submitted++
	if j.attempt > 0 {
		r.Retries++
	}
	if v.Reason != sched.ReasonNone {
		r.Rejected[v.Reason]++
		return
	}
	r.Admitted++
	if j.attempt > 0 {
		r.RetriesAdmitted++
	}
}

// All returns the slowdowns of short and long tasks.
func (r *Result) All() []float64 {
	return append(append([]float64(nil), r.ShortSlowdowns...), r.LongSlowdowns...)
}

// Mean returns the arithmetic mean.
func Mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

// Quantile returns the q-quantile.
func Quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return math.NaN()
	}
	y := append([]float64(nil), x...)
	sort.Float64s(y)
	return y[min(len(y)-1, int(q*float64(len(y))))]
}

// MessagesPerTask returns the messages between instances per start.
func (r *Result) MessagesPerTask() float64 { return float64(r.Messages) / float64(r.Starts) }

// RejectionRate returns the fraction of starts rejected by full servers.
func (r *Result) RejectionRate() float64 { return float64(r.Rejected503) / float64(r.Starts) }
