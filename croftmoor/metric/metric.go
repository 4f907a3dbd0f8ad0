// Package metric is the instance's Prometheus metrics.
package metric

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Set is the metrics of one instance. Labels are bounded by configuration:
// services, trainers and kinds of refusals.
type Set struct {
	registry *prometheus.Registry
	refused  *prometheus.CounterVec
	served   *prometheus.HistogramVec
	handed   *prometheus.CounterVec
	stored   *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	items    *prometheus.CounterVec
	windows  *prometheus.CounterVec
	ends     *prometheus.CounterVec
	skipped  *prometheus.CounterVec
	dropped  prometheus.Counter
	rate     *prometheus.GaugeVec
	waiting  *prometheus.GaugeVec
	noRoom   *prometheus.CounterVec
	saved    *prometheus.CounterVec
	asks     *prometheus.CounterVec
	pages    *prometheus.HistogramVec
	texts    prometheus.Counter
	vain     *prometheus.HistogramVec
	givenUp  *prometheus.CounterVec
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
			Name: "croftmoor_store_calls_total", Help: "Calls to the platform's store, by call, what for, and outcome.",
		}, []string{"call", "topic", "outcome"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_store_bytes_total", Help: "Bytes written to and read from the platform's store, by call and what for.",
		}, []string{"call", "topic"}),
		items: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_items_total", Help: "Items of batch jobs that this instance claimed, for itself or others, and listed.",
		}, []string{"event"}),
		windows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_usage_windows_total", Help: "Windows of use: reported in time, late, or warned of because they were about to be missed.",
		}, []string{"event"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_server_ends_total", Help: "Servers that ended while they ran a request of this instance, by service.",
		}, []string{"service"}),
		skipped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_entries_skipped_total", Help: "Entries of the platform's store that could not be read, each once, by stream.",
		}, []string{"stream"}),
		rate: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "croftmoor_room_calls_per_second", Help: "Learnt rate of calls to a service, as of the last call that came; 0 is no limit.",
		}, []string{"service"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "croftmoor_room_waiting", Help: "Calls that wait for their turn at a service, as of the last call that came.",
		}, []string{"service"}),
		noRoom: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_room_refusals_total", Help: "Calls that were not let in to a service, by the reason.",
		}, []string{"service", "reason"}),
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_slots_asked_total", Help: "Asks for a slot of a full service's servers, by outcome.",
		}, []string{"service", "outcome"}),
		saved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_room_tries_saved_total", Help: "Further tries of calls that the budget did not allow.",
		}, []string{"service"}),
		pages: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "croftmoor_page_duration_seconds", Help: "Time that the texts of a page of results took, by what became of the page.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"outcome"}),
		texts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "croftmoor_page_results_total", Help: "Results in pages that were given.",
		}),
		vain: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "croftmoor_store_unanswered_seconds", Help: "Time after which calls to the platform's store ended without an answer, of those that took a second or more, by call.",
			Buckets: prometheus.LinearBuckets(1, 0.5, 14),
		}, []string{"call"}),
		givenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "croftmoor_connections_given_up_total", Help: "Connections of callers that were closed for others' sake, by reason.",
		}, []string{"reason"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "croftmoor_log_lines_dropped_total", Help: "Log lines that no reader took in time.",
		}),
	}
	s.registry.MustRegister(s.refused, s.served, s.handed, s.stored, s.bytes, s.items, s.windows, s.ends, s.skipped, s.dropped, s.rate, s.waiting, s.noRoom, s.saved, s.asks, s.pages, s.texts, s.vain, s.givenUp, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

// Gauge registers a gauge that is read when the metrics are scraped.
func (s *Set) Gauge(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter registers a counter that is read when the metrics are scraped.
func (s *Set) Counter(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Refused counts a refusal.
func (s *Set) Refused(kind string) {
	s.refused.WithLabelValues(kind).Inc()
}

// GivenUp counts a connection that was closed for others' sake.
func (s *Set) GivenUp(reason string) {
	s.givenUp.WithLabelValues(reason).Inc()
}

// Served notes the time of a request.
func (s *Set) Served(service string, ok bool, took clock.Millis) {
	s.served.WithLabelValues(service, strconv.FormatBool(ok)).Observe(took.Duration().Seconds())
}

// Handed counts samples in an answer to a pull.
func (s *Set) Handed(trainer string, samples int) {
	s.handed.WithLabelValues(trainer).Add(float64(samples))
}

// StoreCall counts a call to the platform's store and the bytes of its body and its
// answer; topic tells what it was for.
func (s *Set) StoreCall(call, topic, outcome string, bytes int) {
	s.stored.WithLabelValues(call, topic, outcome).Inc()
	s.bytes.WithLabelValues(call, topic).Add(float64(bytes))
}

// StoreUnanswered notes a call to the platform's store that ended without an answer after a
// long time.
func (s *Set) StoreUnanswered(call string, took clock.Millis) {
	s.vain.WithLabelValues(call).Observe(took.Duration().Seconds())
}

// Claimed counts items that were claimed, Listed one that was listed: the first
// over the second, for all instances together, tells how often items are claimed.
func (s *Set) Claimed(items int) {
	s.items.WithLabelValues("claimed").Add(float64(items))
}

// Listed counts an item that was listed.
func (s *Set) Listed() {
	s.items.WithLabelValues("listed").Inc()
}

// UsageWindow counts what became of a window of use.
func (s *Set) UsageWindow(event string) {
	s.windows.WithLabelValues(event).Inc()
}

// ServerEnded counts a server that ended while it ran a request.
func (s *Set) ServerEnded(service ident.Service) {
	s.ends.WithLabelValues(string(service)).Inc()
}

// EntrySkipped counts an entry of the platform's store that could not be read.
func (s *Set) EntrySkipped(stream string) {
	s.skipped.WithLabelValues(stream).Inc()
}

// Room tells a service's learnt rate in calls a second and how many calls wait for it.
func (s *Set) Room(service ident.Service, rate float64, waiting int) {
	s.rate.WithLabelValues(string(service)).Set(rate)
	s.waiting.WithLabelValues(string(service)).Set(float64(waiting))
}

// RoomRefused counts a call that was not let in to a service.
func (s *Set) RoomRefused(service ident.Service, reason string) {
	s.noRoom.WithLabelValues(string(service), reason).Inc()
}

// SlotAsked counts an ask for a slot.
func (s *Set) SlotAsked(service ident.Service, outcome string) {
	s.asks.WithLabelValues(string(service), outcome).Inc()
}

// TrySaved counts a further try that the budget did not allow.
func (s *Set) TrySaved(service ident.Service) {
	s.saved.WithLabelValues(string(service)).Inc()
}

// PageRead counts a page of results: its outcome, how long its texts took, and how many
// it has.
func (s *Set) PageRead(outcome string, took clock.Millis, texts int) {
	s.pages.WithLabelValues(outcome).Observe(took.Duration().Seconds())
	s.texts.Add(float64(texts))
}

// Dropped counts log lines that were dropped.
func (s *Set) Dropped(lines int) {
	s.dropped.Add(float64(lines))
}

// Handler serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
