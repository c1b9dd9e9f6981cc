package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms.
const (
	maxResponse = time.Hour
	ratioUnit   = 1000 // ratios are recorded in thousandths
	maxRatio    = 1_000_000 * ratioUnit
	sigFigures  = 3
	bucketWidth = 250 * time.Millisecond
)

// Counts is the number of answers by class.
type Counts struct {
	Complete int `json:"complete"`
	Failed   int `json:"failed"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Pending  int `json:"pending"`
}

func (c *Counts) add(class Class) {
	switch class {
	case Complete:
		c.Complete++
	case Failed:
		c.Failed++
	case Refused:
		c.Refused++
	case Unknown:
		c.Unknown++
	case Pending:
		c.Pending++
	}
}

func (c Counts) total() int { return c.Complete + c.Failed + c.Refused + c.Unknown + c.Pending }

// group aggregates the measurements of a group of jobs.
type group struct {
	counts         Counts
	onTime         int // complete within the deadline, if there is one
	totalRun       time.Duration
	totalRunOnTime time.Duration // of the jobs on time
	response       *hdrhistogram.Histogram
	ratio          *hdrhistogram.Histogram
	ratioSum       float64
	refusalTime    *hdrhistogram.Histogram // time until the rejection
}

func newGroup() *group {
	return &group{
		response:    hdrhistogram.New(1, maxResponse.Microseconds(), sigFigures),
		ratio:       hdrhistogram.New(1, maxRatio, sigFigures),
		refusalTime: hdrhistogram.New(1, maxResponse.Microseconds(), sigFigures),
	}
}

func (g *group) record(s sample) {
	g.counts.add(s.class)
	g.totalRun += s.totalRun
	switch s.class {
	case Complete:
		r := float64(s.response) / float64(s.ideal)
		recordClamped(g.response, s.response.Microseconds())
		recordClamped(g.ratio, int64(r*ratioUnit))
		g.ratioSum += r
		if s.deadline == 0 || s.response <= s.deadline {
			g.onTime++
			g.totalRunOnTime += s.totalRun
		}
	case Refused:
		recordClamped(g.refusalTime, s.response.Microseconds())
	}
}

func recordClamped(h *hdrhistogram.Histogram, v int64) {
	v = min(max(v, h.LowestTrackableValue()), h.HighestTrackableValue())
	if err := h.RecordValue(v); err != nil {
		panic(err) // the value was clamped to the bounds
	}
}

// sample is a finished submission.
type sample struct {
	at       time.Duration // planned time of the submission
	response time.Duration // from the planned time to the answer
	ideal    time.Duration
	totalRun time.Duration
	deadline time.Duration
	class    Class
	problem  string
	customer string
	kind     string
	phase    string
	short    bool
}

// bucket is a time interval of the run.
type bucket struct {
	counts   Counts
	response *hdrhistogram.Histogram
	short    *hdrhistogram.Histogram
}

// recorder aggregates samples. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	all        *group
	short      *group
	long       *group
	byCustomer map[string]*group
	byKind     map[string]*group
	byPhase    map[string]*group
	problems   map[string]*hdrhistogram.Histogram // time until the answer
	buckets    []*bucket
	resubmits  Counts
	cancels    Counts
	retries    Counts
	notSent    int
	sendLag    *hdrhistogram.Histogram // delay of calls after their planned times
}

func newRecorder() *recorder {
	return &recorder{
		all:        newGroup(),
		short:      newGroup(),
		long:       newGroup(),
		byCustomer: make(map[string]*group),
		byKind:     make(map[string]*group),
		byPhase:    make(map[string]*group),
		problems:   make(map[string]*hdrhistogram.Histogram),
		sendLag:    hdrhistogram.New(1, maxResponse.Microseconds(), sigFigures),
	}
}

func (r *recorder) recordJob(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.record(s)
	if s.short {
		r.short.record(s)
	} else {
		r.long.record(s)
	}
	groupNamed(r.byCustomer, s.customer).record(s)
	groupNamed(r.byKind, s.kind).record(s)
	groupNamed(r.byPhase, s.phase).record(s)
	r.recordProblem(s)
	r.recordBucket(s)
}

func (r *recorder) recordProblem(s sample) {
	if s.problem == "" {
		return
	}
	h := r.problems[s.problem]
	if h == nil {
		h = hdrhistogram.New(1, maxResponse.Microseconds(), sigFigures)
		r.problems[s.problem] = h
	}
	recordClamped(h, s.response.Microseconds())
}

func groupNamed(m map[string]*group, name string) *group {
	g := m[name]
	if g == nil {
		g = newGroup()
		m[name] = g
	}
	return g
}

func (r *recorder) recordBucket(s sample) {
	i := int(s.at / bucketWidth)
	for len(r.buckets) <= i {
		r.buckets = append(r.buckets, &bucket{
			response: hdrhistogram.New(1, maxResponse.Microseconds(), 2),
			short:    hdrhistogram.New(1, maxResponse.Microseconds(), 2),
		})
	}
	b := r.buckets[i]
	b.counts.add(s.class)
	if s.class != Complete {
		return
	}
	recordClamped(b.response, s.response.Microseconds())
	if s.short {
		recordClamped(b.short, s.response.Microseconds())
	}
}

func (r *recorder) recordSendLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordClamped(r.sendLag, lag.Microseconds())
}

func (r *recorder) withLock(f func(r *recorder)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}
