package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Fleet holds the collectors of an instance on the users' platform.
type Fleet struct {
	registry *prometheus.Registry

	Answers       *prometheus.CounterVec   // by result, reason
	AnswerTime    *prometheus.HistogramVec // by route
	Starts        *prometheus.CounterVec   // by outcome
	StartTime     prometheus.Histogram
	StoreCalls    *prometheus.CounterVec // by call, outcome
	Decisions     *prometheus.CounterVec // by decision
	Refused       *prometheus.CounterVec // by route, reason
	LinesDropped  prometheus.Counter
	ConfigVersion prometheus.Gauge
	WatchBehind   *prometheus.GaugeVec // by watch
	Evacuated     prometheus.Gauge

	IngressRefused     *prometheus.CounterVec // by reason
	IngressConnections prometheus.Gauge
	IngressMemory      prometheus.Gauge
}

// NewFleet returns collectors in their own registry.
func NewFleet() *Fleet {
	m, _ := buildFleet()
	return m
}

// FleetSpecs returns the specs of the metrics of Fleet, in the order of
// docs/METRICS.md.
func FleetSpecs() []Spec {
	_, b := buildFleet()
	return b.specs
}

func buildFleet() (*Fleet, *builder) {
	b := newBuilder()
	return &Fleet{
		registry:      b.registry,
		Answers:       b.counterVec("fleet_answers_total", "Answers to jobs, by result and reason.", "result", "reason"),
		AnswerTime:    b.histogramVec("fleet_answer_seconds", "Time from a job's arrival to its answer.", taskBuckets, "route"),
		Starts:        b.counterVec("fleet_starts_total", "Orders to start a run, by outcome.", "outcome"),
		StartTime:     b.histogram("fleet_start_seconds", "Time of an order to start a run.", taskBuckets),
		StoreCalls:    b.counterVec("fleet_store_calls_total", "Calls to the platform's store.", "call", "outcome"),
		Decisions:     b.counterVec("fleet_decisions_total", "Decisions of the reducer, by the name of their log event.", "decision"),
		Refused:       b.counterVec("fleet_refused_total", "Jobs rejected without a run, by route and by the rule that rejected them.", "route", "reason"),
		LinesDropped:  b.counter("fleet_log_lines_dropped_total", "Log lines left out because of their number."),
		ConfigVersion: b.gauge("fleet_config_version", "Version of the configuration in force."),
		WatchBehind:   b.gaugeVec("fleet_watch_behind_revisions", "Revisions missing in the last reply of a watch of the store.", "watch"),
		Evacuated:     b.gauge("fleet_evacuated_domains", "Failure domains that this instance knows to be evacuated."),

		IngressRefused:     b.counterVec("fleet_ingress_refused_total", "Connections closed and requests given up by the limits of the caller port.", "reason"),
		IngressConnections: b.gauge("fleet_ingress_connections", "Open connections of the caller port."),
		IngressMemory:      b.gauge("fleet_ingress_budget_bytes", "Memory reserved for requests at the caller port."),
	}, b
}

// Handler serves the metrics.
func (m *Fleet) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountStoreCall counts a call to the store.
func (m *Fleet) CountStoreCall(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "error"
	}
	m.StoreCalls.WithLabelValues(call, outcome).Inc()
}

// CountStart counts a command to start a run.
func (m *Fleet) CountStart(outcome string, took time.Duration) {
	m.Starts.WithLabelValues(outcome).Inc()
	m.StartTime.Observe(took.Seconds())
}
