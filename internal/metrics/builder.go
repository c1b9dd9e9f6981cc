package metrics

import "github.com/prometheus/client_golang/prometheus"

// Buckets in seconds.
var (
	taskBuckets = []float64{.005, .01, .025, .05, .1, .2, .35, .5, .75, 1, 1.5, 2.5, 5, 10, 30, 60}
	stepBuckets = []float64{1e-6, 2.5e-6, 5e-6, 1e-5, 2.5e-5, 5e-5, 1e-4, 5e-4, 1e-3, 5e-3, .025, .1}
)

// Spec describes one metric.
type Spec struct {
	Name   string
	Type   string // counter, gauge or histogram
	Labels []string
	Help   string
}

// Specs returns the specs of all metrics of this project, in the order of
// docs/METRICS.md.
func Specs() []Spec {
	_, b := build()
	return b.specs
}

// builder creates and registers collectors and records their specs.
type builder struct {
	registry *prometheus.Registry
	specs    []Spec
}

func newBuilder() *builder {
	return &builder{registry: prometheus.NewRegistry()}
}

func (b *builder) add(c prometheus.Collector, kind, name, help string, labels []string) {
	b.registry.MustRegister(c)
	b.specs = append(b.specs, Spec{Name: Namespace + "_" + name, Type: kind, Labels: labels, Help: help})
}

func (b *builder) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help})
	b.add(c, "counter", name, help, nil)
	return c
}

func (b *builder) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	b.add(c, "counter", name, help, labels)
	return c
}

func (b *builder) gauge(name, help string) prometheus.Gauge {
	c := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help})
	b.add(c, "gauge", name, help, nil)
	return c
}

func (b *builder) gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	c := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	b.add(c, "gauge", name, help, labels)
	return c
}

func (b *builder) histogram(name, help string, buckets []float64) prometheus.Histogram {
	c := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets})
	b.add(c, "histogram", name, help, nil)
	return c
}

func (b *builder) histogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	c := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets}, labels)
	b.add(c, "histogram", name, help, labels)
	return c
}
