package node

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
)

// Metrics are the collectors of a node.
type Metrics struct {
	registry *prometheus.Registry

	Answers       *prometheus.CounterVec   // by result, reason
	AnswerTime    *prometheus.HistogramVec // by route
	Starts        *prometheus.CounterVec   // by outcome
	StartTime     prometheus.Histogram
	StoreCalls    *prometheus.CounterVec // by call, outcome
	Decisions     *prometheus.CounterVec // by event
	LinesDropped  prometheus.Counter
	ConfigVersion prometheus.Gauge
}

// Buckets of times, in seconds: from a round trip to the longest deadline.
var nodeBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// NewMetrics returns collectors in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.Answers = prometheus.NewCounterVec(opts("fleet_answers_total", "Answers to jobs, by result and reason."), []string{"result", "reason"})
	m.AnswerTime = prometheus.NewHistogramVec(histogram("fleet_answer_seconds", "Time from a job's arrival to its answer, by route."), []string{"route"})
	m.Starts = prometheus.NewCounterVec(opts("fleet_starts_total", "Orders to start a run, by outcome."), []string{"outcome"})
	m.StartTime = prometheus.NewHistogram(histogram("fleet_start_seconds", "Time of an order to start a run."))
	m.StoreCalls = prometheus.NewCounterVec(opts("fleet_store_calls_total", "Calls to the platform's store, by call and outcome."), []string{"call", "outcome"})
	m.Decisions = prometheus.NewCounterVec(opts("fleet_decisions_total", "Decisions of the reducer, by the name of their log event."), []string{"decision"})
	m.LinesDropped = prometheus.NewCounter(opts("fleet_log_lines_dropped_total", "Log lines left out because of their number."))
	m.ConfigVersion = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metrics.Namespace, Name: "fleet_config_version", Help: "Version of the configuration in force.",
	})
	m.registry.MustRegister(m.Answers, m.AnswerTime, m.Starts, m.StartTime, m.StoreCalls, m.Decisions, m.LinesDropped, m.ConfigVersion)
	return m
}

func opts(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: metrics.Namespace, Name: name, Help: help}
}

func histogram(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{Namespace: metrics.Namespace, Name: name, Help: help, Buckets: nodeBuckets}
}

func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) storeCall(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "error"
	}
	m.StoreCalls.WithLabelValues(call, outcome).Inc()
}

func (m *Metrics) start(o fleet.StartOutcome, took time.Duration) {
	m.Starts.WithLabelValues(o.String()).Inc()
	m.StartTime.Observe(took.Seconds())
}
