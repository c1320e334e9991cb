// Package metrics declares the daemon's Prometheus metrics.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dandelionhill.dev/api"
)

// Metrics holds the metrics of one daemon.
type Metrics struct {
	registry *prometheus.Registry

	Requests         *prometheus.CounterVec   // service, outcome
	Refusals         *prometheus.CounterVec   // service, kind
	Retries          *prometheus.CounterVec   // layer, reason
	Latency          *prometheus.HistogramVec // service, outcome; seconds
	UpstreamLatency  *prometheus.HistogramVec // service; seconds
	FailedSends      *prometheus.CounterVec   // service, reason
	InFlight         *prometheus.GaugeVec     // service, upstream
	Queued           *prometheus.GaugeVec     // service, shard
	Hedges           *prometheus.CounterVec   // service, result
	OwnershipChanges *prometheus.CounterVec   // service, cause
	LeaseRenewals    *prometheus.CounterVec   // service, result
	Closed           *prometheus.CounterVec   // listener, reason
	AuthorityChanges *prometheus.CounterVec   // event
	StoreCalls       *prometheus.CounterVec   // call, result
	ConfigRevision   prometheus.Gauge
	ShardsHeld       prometheus.Gauge
	Stragglers       *prometheus.GaugeVec // service
	Quarantined      *prometheus.GaugeVec // service, shard
	ReserveUsed      *prometheus.GaugeVec // service, shard
	HotKeys          *prometheus.GaugeVec // service, shard
}

// latencyBuckets spans 0.5 ms to 16 s; the target is 10 ms at the 99th percentile.
var latencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 16)

// New returns metrics in a registry of their own, so that several daemons can
// run in one test process.
func New() *Metrics {
	m := &Metrics{
		registry:         prometheus.NewRegistry(),
		Requests:         counter("requests_total", "Requests of callers by outcome.", "service", "outcome"),
		Refusals:         counter("refusals_total", "Refused requests by kind.", "service", "kind"),
		Retries:          counter("retry_decisions_total", "Decisions to retry or not, by reason.", "layer", "reason"),
		Latency:          histogram("request_seconds", "Time from a caller's request to its response.", "service", "outcome"),
		UpstreamLatency:  histogram("upstream_seconds", "Time from a call of an upstream to its answer.", "service"),
		FailedSends:      counter("failed_sends_total", "Sends to upstreams without a complete response, by reason.", "service", "reason"),
		InFlight:         gauge("upstream_in_flight", "Requests running on an upstream.", "service", "upstream"),
		Queued:           gauge("queued", "Requests waiting for an upstream.", "service", "shard"),
		Closed:           counter("connections_closed_total", "Connections closed, bodies given up and requests refused for a limit on clients, by reason.", "listener", "reason"),
		Hedges:           counter("hedges_total", "Hedged calls by result.", "service", "result"),
		OwnershipChanges: counter("ownership_changes_total", "Ranges that changed owner, by cause.", "service", "cause"),
		LeaseRenewals:    counter("lease_renewals_total", "Lease renewals of upstreams by result.", "service", "result"),
		AuthorityChanges: counter("authority_changes_total", "Shards gained and lost by this VM.", "event"),
		StoreCalls:       counter("store_calls_total", "Calls of the table service by result.", "call", "result"),
		ConfigRevision: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "dandelionhill", Name: "configuration_revision", Help: "Revision of the configuration in use.",
		}),
		ShardsHeld: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "dandelionhill", Name: "shards_held", Help: "Shards that this VM holds.",
		}),
		Stragglers:  gauge("stragglers", "Upstreams that answer much more slowly than their peers.", "service"),
		Quarantined: gauge("quarantined_fingerprints", "Request fingerprints refused because they crashed upstreams.", "service", "shard"),
		ReserveUsed: gauge("domain_reserve_used",
			"Demand over what is left, less the preset's reserve, if the largest failure domain is lost. Over 1 it does not fit.", "service", "shard"),
		HotKeys: gauge("hot_keys", "Keys with a range of their own.", "service", "shard"),
	}
	m.registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.Requests, m.Refusals, m.Retries, m.Latency, m.UpstreamLatency, m.InFlight, m.Queued, m.Hedges,
		m.OwnershipChanges, m.LeaseRenewals, m.AuthorityChanges, m.StoreCalls, m.ConfigRevision, m.ShardsHeld,
		m.Stragglers, m.Quarantined, m.ReserveUsed, m.HotKeys, m.Closed, m.FailedSends,
	)
	return m
}

// Handler serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// WatchMemory exports the free bytes of a part of the memory budget.
func (m *Metrics) WatchMemory(part string, free func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "dandelionhill", Name: "memory_free_bytes", Help: "Free memory of the budget, by part.",
		ConstLabels: prometheus.Labels{"part": part},
	}, func() float64 { return float64(free()) }))
}

// RecordResponse counts one response to a caller and its latency.
func (m *Metrics) RecordResponse(service api.ServiceName, outcome api.Outcome, refusal *api.Refusal, took time.Duration) {
	m.Requests.WithLabelValues(string(service), string(outcome)).Inc()
	m.Latency.WithLabelValues(string(service), string(outcome)).Observe(took.Seconds())
	if refusal != nil {
		m.Refusals.WithLabelValues(string(service), string(refusal.Kind)).Inc()
	}
}

// RecordStoreCall counts one call to the table service.
func (m *Metrics) RecordStoreCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.StoreCalls.WithLabelValues(call, result).Inc()
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "dandelionhill", Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "dandelionhill", Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "dandelionhill", Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
}
