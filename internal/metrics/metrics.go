// Package metrics holds the Prometheus collectors of one instance, in their
// own registry. docs/METRICS.md lists them for operators.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Namespace is the prefix of all metrics of this project.
const Namespace = "nutmegweir"

// Values of the label "direction".
const (
	DirectionIn  = "in"
	DirectionOut = "out"
)

// Metrics are the collectors of one instance.
type Metrics struct {
	Registry *prometheus.Registry
	Kinds    *LabelLimit // values of the label "kind"

	// Callers.
	Submissions    *prometheus.CounterVec // by kind
	Answers        *prometheus.CounterVec // by status, kind
	Refusals       *prometheus.CounterVec // by problem, ran
	AnswerDuration *prometheus.HistogramVec
	InFlight       prometheus.Gauge

	// Scheduling.
	Starts       *prometheus.CounterVec   // by server_domain, outcome
	TaskDuration *prometheus.HistogramVec // by kind
	QueuedTasks  prometheus.Gauge
	SlotsHeld    prometheus.Gauge
	SlotsLent    prometheus.Gauge
	SlotsBusy    prometheus.Gauge
	Servers      *prometheus.GaugeVec // by state

	// Shards.
	ViewChanges  *prometheus.CounterVec // by cause
	Takeovers    *prometheus.CounterVec // by records
	FloorsRaised prometheus.Counter
	ShardsOwned  prometheus.Gauge

	// Peers.
	PeerLinks    prometheus.Gauge
	PeerFrames   *prometheus.CounterVec // by direction
	PeerBytes    *prometheus.CounterVec // by direction
	PeerMessages *prometheus.CounterVec // by direction, type

	// Platform and table.
	PlatformCalls *prometheus.CounterVec // by call, outcome
	PlatformUp    prometheus.Gauge
	TableVersion  prometheus.Gauge

	// The reducer.
	StepDuration prometheus.Histogram
}

// New returns collectors in a new registry, together with those of the Go runtime
// and the process.
func New() *Metrics {
	m, b := build()
	b.registry.MustRegister(collectors.NewGoCollector())
	b.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func build() (*Metrics, *builder) {
	b := newBuilder()
	m := &Metrics{Registry: b.registry, Kinds: &LabelLimit{}}
	m.addCallers(b)
	m.addScheduling(b)
	m.addShards(b)
	m.addPeers(b)
	m.addPlatform(b)
	m.addReducer(b)
	return m, b
}

func (m *Metrics) addCallers(b *builder) {
	m.Submissions = b.counterVec("submissions_total", "Valid submissions of jobs and requests.", "kind")
	m.Answers = b.counterVec("answers_total", "Answers to valid submissions: pending, complete, failed, refused or error.", "status", "kind")
	m.Refusals = b.counterVec("refusals_total", "Problems answered to callers, and whether the work was run.", "problem", "ran")
	m.AnswerDuration = b.histogramVec("answer_duration_seconds", "Time from a valid submission to its answer at the caller port.", taskBuckets, "status")
	m.InFlight = b.gauge("requests_in_flight", "Requests at the caller port that are not yet answered.")
}

func (m *Metrics) addScheduling(b *builder) {
	m.Starts = b.counterVec("starts_total", "Starts sent to backend servers, by the server's failure domain.", "server_domain", "outcome")
	m.TaskDuration = b.histogramVec("task_duration_seconds", "Time from start to answer of a task.", taskBuckets, "kind")
	m.QueuedTasks = b.gauge("queued_tasks", "Tasks that wait for a slot.")
	m.SlotsHeld = b.gauge("slots_held", "Slots that this instance may use.")
	m.SlotsLent = b.gauge("slots_lent", "Slots that this instance has lent to others.")
	m.SlotsBusy = b.gauge("slots_busy", "Slots in which a task of this instance runs.")
	m.Servers = b.gaugeVec("servers", "Backend servers by state: active, leaving or quarantined.", "state")
}

func (m *Metrics) addShards(b *builder) {
	m.ViewChanges = b.counterVec("view_changes_total", "View changes made by this instance.", "cause")
	m.Takeovers = b.counterVec("takeovers_total", "Shards taken over, with or without their records.", "records")
	m.FloorsRaised = b.counter("floors_raised_total", "Admission floors raised because records were lost or dropped.")
	m.ShardsOwned = b.gauge("shards_owned", "Shards of which this instance is the acting owner.")
}

func (m *Metrics) addPeers(b *builder) {
	m.PeerLinks = b.gauge("peer_links", "Links to other instances that are up.")
	m.PeerFrames = b.counterVec("peer_frames_total", "Frames on links to other instances.", "direction")
	m.PeerBytes = b.counterVec("peer_bytes_total", "Bytes of frames on links to other instances.", "direction")
	m.PeerMessages = b.counterVec("peer_messages_total", "Messages on links to other instances.", "direction", "type")
}

func (m *Metrics) addPlatform(b *builder) {
	m.PlatformCalls = b.counterVec("platform_calls_total", "Calls to the platform by operation, and none or the kind of error.", "call", "outcome")
	m.PlatformUp = b.gauge("platform_up", "1 while the platform answers, else 0.")
	m.TableVersion = b.gauge("table_version", "Version of the table in force on this instance.")
}

func (m *Metrics) addReducer(b *builder) {
	m.StepDuration = b.histogram("step_duration_seconds", "Time of one step of the reducer.", stepBuckets)
}
