// Package metric is the instance's Prometheus metrics.
package metric

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"croftmoor.dev/kernel/clock"
)

// Set is the metrics of one instance. Labels are bounded by configuration:
// services, trainers and kinds of refusals.
type Set struct {
	registry *prometheus.Registry
	refused  *prometheus.CounterVec
	served   *prometheus.HistogramVec
	handed   *prometheus.CounterVec
	stored   *prometheus.CounterVec
	dropped  prometheus.Counter
}

// New returns a set with all metrics registered.
func New() *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_refusals_total", Help: "Requests refused, by kind of refusal.",
		}, []string{"kind"}),
		served: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "croftmoor_request_duration_seconds", Help: "Time from arrival to answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"service", "ok"}),
		handed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_samples_handed_total", Help: "Samples in answers to pulls; repeats of lost answers included.",
		}, []string{"trainer"}),
		stored: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_store_calls_total", Help: "Calls to the platform's store, by call and outcome.",
		}, []string{"call", "outcome"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "croftmoor_log_lines_dropped_total", Help: "Log lines that no reader took in time.",
		}),
	}
	s.registry.MustRegister(s.refused, s.served, s.handed, s.stored, s.dropped, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

// Gauge registers a gauge that is read when the metrics are scraped.
func (s *Set) Gauge(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Refused counts a refusal.
func (s *Set) Refused(kind string) {
	s.refused.WithLabelValues(kind).Inc()
}

// Served notes the time of a request.
func (s *Set) Served(service string, ok bool, took clock.Millis) {
	s.served.WithLabelValues(service, strconv.FormatBool(ok)).Observe(took.Duration().Seconds())
}

// Handed counts samples in an answer to a pull.
func (s *Set) Handed(trainer string, samples int) {
	s.handed.WithLabelValues(trainer).Add(float64(samples))
}

// StoreCall counts a call to the platform's store.
func (s *Set) StoreCall(call, outcome string) {
	s.stored.WithLabelValues(call, outcome).Inc()
}

// Dropped counts log lines that were dropped.
func (s *Set) Dropped(lines int) {
	s.dropped.Add(float64(lines))
}

// Handler serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
