// Package load drives the caller API with an open-loop workload, records response
// times and checks that every answer is true.
//
// The workload is determined by a file and a seed: the same file and seed give
// the same jobs at the same times, independent of the answers.
package load

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/nutmegweir/nutmegweir/internal/api"
)

// Limits of a workload file.
const (
	MaxDuration = 10 * time.Minute
	MaxJobs     = 1_000_000
	MaxInFlight = 50_000
	MaxTaskRun  = 5 * time.Minute
	maxRetries  = 10
)

// Workload describes the load that is offered to the entry instances.
type Workload struct {
	Name           string       `json:"name"`
	About          string       `json:"about"`
	Seed           uint64       `json:"seed"`
	WaitMs         int64        `json:"wait_ms"`       // long-poll timeout of a call
	DrainMs        int64        `json:"drain_ms"`      // time for answers after the last arrival
	MaxJobs        int          `json:"max_jobs"`      // generation stops after this many jobs
	MaxInFlight    int          `json:"max_in_flight"` // calls beyond it are not sent but counted
	ShortMs        int64        `json:"short_ms"`      // a job is short if none of its tasks runs longer
	Fleet          Fleet        `json:"fleet"`
	LocalShare     float64      `json:"local_share"` // share of jobs submitted in their home domain, the rest go anywhere
	Homes          []Home       `json:"homes"`
	Phases         []Phase      `json:"phases"`
	Kinds          []Kind       `json:"kinds"` // kinds of customers without their own
	Customers      []Customer   `json:"customers"`
	CancelWaves    []CancelWave `json:"cancel_waves"`
	RefusedRetries int          `json:"refused_retries"` // maximum retries of a rejected job after Retry-After
	RetrySameKey   bool         `json:"retry_same_key"`  // retry with the same key and a deadline counted from the retry, otherwise as a new job
	LostResubmits  int          `json:"lost_resubmits"`  // maximum retries of a failed call with the same key at other instances
	Cluster        Cluster      `json:"cluster"`
}

// Fleet is the capacity from which the ideal response time is computed.
type Fleet struct {
	Slots int     `json:"slots"` // slots of all backend servers
	Speed float64 `json:"speed"` // speed of the fastest backend server, divisor of run times
}

// Home is a home failure domain and its share of the jobs.
type Home struct {
	Domain string  `json:"domain"`
	Share  float64 `json:"share"`
}

// Phase is a period with a constant arrival rate or a linear ramp.
type Phase struct {
	Name           string   `json:"name"`
	DurationMs     int64    `json:"duration_ms"`
	JobsPerSecond  float64  `json:"jobs_per_second"`
	ToPerSecond    *float64 `json:"to_per_second"`    // rate at the end, constant if absent
	ExtraCustomer  string   `json:"extra_customer"`   // customer with an extra arrival rate
	ExtraPerSecond float64  `json:"extra_per_second"` // its extra rate
}

// Customer is a customer and the kinds of its jobs.
type Customer struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"` // share of arrivals
	Kinds []Kind  `json:"kinds"`
}

// Kind describes the jobs of one kind.
type Kind struct {
	Name          string        `json:"name"`
	Share         float64       `json:"share"`
	Sizes         []Size        `json:"sizes"`
	Runs          []RunClass    `json:"runs"`
	Declared      []Declared    `json:"declared"`
	DeadlineMs    int64         `json:"deadline_ms"`
	Repeatable    bool          `json:"repeatable"`
	FailShare     float64       `json:"fail_share"`     // share of tasks that fail
	ResubmitShare float64       `json:"resubmit_share"` // share of jobs submitted a second time at another instance
	ResubmitMs    int64         `json:"resubmit_ms"`    // maximum delay of the second submission after the first
	CancelShare   float64       `json:"cancel_share"`
	CancelMs      int64         `json:"cancel_ms"` // maximum delay of the cancellation after the submission
	Needs         api.Resources `json:"needs"`
}

// Size is a number of tasks and its share.
type Size struct {
	Tasks int     `json:"tasks"`
	Share float64 `json:"share"`
}

// RunClass is a class of run times, log-uniform between two bounds. The class is
// drawn once for each job, or for each task if PerTask is set.
type RunClass struct {
	Name    string  `json:"name"`
	Share   float64 `json:"share"`
	MinMs   int64   `json:"min_ms"`
	MaxMs   int64   `json:"max_ms"`
	PerTask bool    `json:"per_task"`
}

// Declared is the ratio of the declared run time to the mean run time of a job's
// tasks; 0 declares nothing.
type Declared struct {
	Factor float64 `json:"factor"`
	Share  float64 `json:"share"`
}

// CancelWave cancels a share of the jobs that arrived in a window before it.
type CancelWave struct {
	AtMs     int64   `json:"at_ms"`
	WindowMs int64   `json:"window_ms"`
	OverMs   int64   `json:"over_ms"` // the cancellations are spread evenly over this time
	Share    float64 `json:"share"`
	Customer string  `json:"customer"` // all customers if empty
}

// WorkloadError describes an invalid field of a workload file.
type WorkloadError struct {
	Field  string
	Reason string
	Remedy string
}

// Error returns the field, the reason and the remedy.
func (e *WorkloadError) Error() string {
	return fmt.Sprintf("workload: %s: %s; %s", e.Field, e.Reason, e.Remedy)
}

// ReadFile parses and checks a workload file.
func ReadFile(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the workload; give the path of a file under workloads/")
	}
	return Parse(data)
}

// Parse reads JSON with comments, sets defaults and checks the workload.
func Parse(data []byte) (*Workload, error) {
	std, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, "workload is not valid JSON with comments; correct the reported position")
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	w := new(Workload)
	if err := dec.Decode(w); err != nil {
		return nil, errors.Wrap(err, "workload has an unknown or invalid field; see docs/LOAD.md")
	}
	w.setDefaults()
	if err := w.check(); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *Workload) setDefaults() {
	setDefault(&w.WaitMs, 30_000)
	setDefault(&w.DrainMs, 30_000)
	setDefault(&w.MaxJobs, 100_000)
	setDefault(&w.MaxInFlight, 10_000)
	setDefault(&w.ShortMs, 1_000)
	setDefault(&w.Fleet.Speed, 1)
	for i := range w.Customers {
		c := &w.Customers[i]
		if len(c.Kinds) == 0 {
			c.Kinds = slices.Clone(w.Kinds)
		}
		for j := range c.Kinds {
			c.Kinds[j].setDefaults()
		}
	}
}

func (k *Kind) setDefaults() {
	if len(k.Sizes) == 0 {
		k.Sizes = []Size{{Tasks: 1, Share: 1}}
	}
	if len(k.Declared) == 0 {
		k.Declared = []Declared{{Factor: 1, Share: 1}}
	}
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (w *Workload) check() error {
	for _, c := range []func() error{w.checkBounds, w.checkPhases, w.checkHomes, w.checkCustomers, w.checkWaves} {
		if err := c(); err != nil {
			return err
		}
	}
	return w.Cluster.check()
}

func (w *Workload) checkBounds() error {
	if w.Fleet.Slots <= 0 {
		return &WorkloadError{"fleet.slots", "is not positive", "give the slots of all backend servers"}
	}
	if w.Fleet.Speed <= 0 || math.IsInf(w.Fleet.Speed, 0) {
		return &WorkloadError{"fleet.speed", "is not positive", "give the speed of the fastest backend server"}
	}
	if w.MaxJobs < 0 || w.MaxJobs > MaxJobs {
		return &WorkloadError{"max_jobs", "is out of bounds", fmt.Sprintf("give 1 to %d", MaxJobs)}
	}
	if w.MaxInFlight < 0 || w.MaxInFlight > MaxInFlight {
		return &WorkloadError{"max_in_flight", "is out of bounds", fmt.Sprintf("give 1 to %d", MaxInFlight)}
	}
	if w.WaitMs < 0 || w.WaitMs > api.MaxWait.Milliseconds() {
		return &WorkloadError{"wait_ms", "is out of bounds", fmt.Sprintf("give at most %d", api.MaxWait.Milliseconds())}
	}
	if w.DrainMs < 0 || w.DrainMs > MaxDuration.Milliseconds() {
		return &WorkloadError{"drain_ms", "is out of bounds", fmt.Sprintf("give at most %d", MaxDuration.Milliseconds())}
	}
	if !isShare(w.LocalShare) {
		return &WorkloadError{"local_share", "is not a share", "give 0 to 1"}
	}
	if w.RefusedRetries < 0 || w.RefusedRetries > maxRetries || w.LostResubmits < 0 || w.LostResubmits > maxRetries {
		return &WorkloadError{"refused_retries, lost_resubmits", "are out of bounds", fmt.Sprintf("give 0 to %d", maxRetries)}
	}
	return nil
}

func (w *Workload) checkPhases() error {
	if len(w.Phases) == 0 {
		return &WorkloadError{"phases", "are missing", "give at least one phase"}
	}
	for i, p := range w.Phases {
		if p.DurationMs <= 0 || !isRate(p.JobsPerSecond) || (p.ToPerSecond != nil && !isRate(*p.ToPerSecond)) {
			return &WorkloadError{fmt.Sprintf("phases[%d]", i), "has no duration or a negative rate", "give duration_ms above 0 and rates of 0 or more"}
		}
	}
	for i, p := range w.Phases {
		if !isRate(p.ExtraPerSecond) || (p.ExtraPerSecond > 0) != (w.customerNamed(p.ExtraCustomer) != nil) {
			return &WorkloadError{fmt.Sprintf("phases[%d]", i), "has an extra rate without its customer, or the reverse", "give extra_customer, one of customers, and extra_per_second together"}
		}
	}
	if w.Duration() > MaxDuration {
		return &WorkloadError{"phases", "last too long in total", fmt.Sprintf("stay within %s", MaxDuration)}
	}
	return nil
}

// customerNamed returns the customer with a name, or nil.
func (w *Workload) customerNamed(name string) *Customer {
	for i := range w.Customers {
		if w.Customers[i].Name == name {
			return &w.Customers[i]
		}
	}
	return nil
}

func (w *Workload) checkHomes() error {
	var sum float64
	for i, h := range w.Homes {
		if h.Domain == "" || h.Share < 0 {
			return &WorkloadError{fmt.Sprintf("homes[%d]", i), "has no domain or a negative share", "give both"}
		}
		sum += h.Share
	}
	return checkSum("homes", sum)
}

func (w *Workload) checkCustomers() error {
	var sum float64
	for i := range w.Customers {
		c := &w.Customers[i]
		if c.Name == "" || c.Share < 0 {
			return &WorkloadError{fmt.Sprintf("customers[%d]", i), "has no name or a negative share", "give both"}
		}
		sum += c.Share
		var kinds float64
		for j := range c.Kinds {
			kinds += c.Kinds[j].Share
			if err := c.Kinds[j].check(fmt.Sprintf("customers[%d].kinds[%d]", i, j)); err != nil {
				return err
			}
		}
		if err := checkSum(fmt.Sprintf("customers[%d].kinds", i), kinds); err != nil {
			return err
		}
	}
	return checkSum("customers", sum)
}

func (k *Kind) check(field string) error {
	if k.Name == "" || k.Share < 0 {
		return &WorkloadError{field, "has no name or a negative share", "give both"}
	}
	var sizes, runs, declared float64
	for _, s := range k.Sizes {
		if s.Tasks < 1 || s.Tasks > api.MaxTasks || s.Share < 0 {
			return &WorkloadError{field + ".sizes", "are out of bounds", fmt.Sprintf("give 1 to %d tasks", api.MaxTasks)}
		}
		sizes += s.Share
	}
	for _, r := range k.Runs {
		if r.MinMs < 1 || r.MaxMs < r.MinMs || r.MaxMs > MaxTaskRun.Milliseconds() || r.Share < 0 {
			return &WorkloadError{field + ".runs", "are out of bounds", fmt.Sprintf("give 1 <= min_ms <= max_ms <= %d", MaxTaskRun.Milliseconds())}
		}
		runs += r.Share
	}
	for _, d := range k.Declared {
		if d.Factor < 0 || d.Share < 0 {
			return &WorkloadError{field + ".declared", "are out of bounds", "give factors of 0 or more"}
		}
		declared += d.Share
	}
	if !isShare(k.FailShare) || !isShare(k.ResubmitShare) || !isShare(k.CancelShare) {
		return &WorkloadError{field, "has a share out of bounds", "give fail_share, resubmit_share and cancel_share of 0 to 1"}
	}
	if k.DeadlineMs < 0 || k.ResubmitMs < 0 || k.CancelMs < 0 {
		return &WorkloadError{field, "has a negative time", "give 0 or more milliseconds"}
	}
	return cmp.Or(checkSum(field+".sizes", sizes), checkSum(field+".runs", runs), checkSum(field+".declared", declared))
}

func (w *Workload) checkWaves() error {
	for i, c := range w.CancelWaves {
		if c.AtMs < 0 || c.WindowMs <= 0 || c.OverMs < 0 || !isShare(c.Share) {
			return &WorkloadError{fmt.Sprintf("cancel_waves[%d]", i), "is out of bounds", "give at_ms, window_ms, over_ms and a share of 0 to 1"}
		}
	}
	return nil
}

func checkSum(field string, sum float64) error {
	if sum > 0 && !math.IsInf(sum, 0) {
		return nil
	}
	return &WorkloadError{field, "have no positive share", "give at least one entry with a share above 0"}
}

func isShare(v float64) bool { return v >= 0 && v <= 1 }

func isRate(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// Duration is the total duration of the phases.
func (w *Workload) Duration() time.Duration {
	var ms int64
	for _, p := range w.Phases {
		ms += p.DurationMs
	}
	return time.Duration(ms) * time.Millisecond
}

// Scale multiplies every arrival rate.
func (w *Workload) Scale(factor float64) {
	for i := range w.Phases {
		p := &w.Phases[i]
		p.JobsPerSecond *= factor
		p.ExtraPerSecond *= factor
		if p.ToPerSecond != nil {
			*p.ToPerSecond *= factor
		}
	}
}

// MeanTotalRun is the expected total run time of a job's tasks at speed 1.
func (w *Workload) MeanTotalRun() time.Duration {
	var shares, work float64
	for _, c := range w.Customers {
		var kinds, kindWork float64
		for _, k := range c.Kinds {
			kinds += k.Share
			kindWork += k.Share * k.meanTasks() * k.meanRunMs()
		}
		shares += c.Share
		work += c.Share * kindWork / kinds
	}
	return time.Duration(work / shares * float64(time.Millisecond))
}

func (k *Kind) meanTasks() float64 {
	var shares, tasks float64
	for _, s := range k.Sizes {
		shares += s.Share
		tasks += s.Share * float64(s.Tasks)
	}
	return tasks / shares
}

func (k *Kind) meanRunMs() float64 {
	var shares, run float64
	for _, r := range k.Runs {
		shares += r.Share
		run += r.Share * r.meanMs()
	}
	return run / shares
}

// meanMs is the mean of a log-uniform distribution.
func (r RunClass) meanMs() float64 {
	if r.MaxMs == r.MinMs {
		return float64(r.MinMs)
	}
	lo, hi := float64(r.MinMs), float64(r.MaxMs)
	return (hi - lo) / math.Log(hi/lo)
}

// OfferedLoad is the expected busy share of the fleet's slots at a rate, at
// speed 1.
func (w *Workload) OfferedLoad(jobsPerSecond float64) float64 {
	return jobsPerSecond * w.MeanTotalRun().Seconds() / float64(w.Fleet.Slots)
}
