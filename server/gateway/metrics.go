package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dandelionhill.dev/server/listen"
)

// latencyBuckets spans 1 ms to 8 s; callers wait up to several seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 14)

const (
	namespace = "dandelionhill"
	refusals  = "refusals_total"
	// unauthorizedRequests is the counter of refusals with 401 by cause.
	unauthorizedRequests = "unauthorized_requests_total"
	// refusalsName is the full name of the counter of refusals.
	refusalsName = namespace + "_" + refusals
)

// Metrics holds the metrics of one entry VM.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec   // service, outcome
	refusals *prometheus.CounterVec   // service, reason
	retries  *prometheus.CounterVec   // service, reason
	latency  *prometheus.HistogramVec // service
	upstream *prometheus.HistogramVec // service
	calls    *prometheus.CounterVec   // kind, result
	// failedSends counts the sends to upstreams without a complete response: service, reason.
	failedSends *prometheus.CounterVec
	// rejectedSends counts the sends that a full upstream rejected: service, kind.
	rejectedSends *prometheus.CounterVec
	// queued is the time for which requests wait for capacity of an upstream: service.
	queued *prometheus.HistogramVec
	// fairRefusals counts the requests that were refused while they waited: workspace.
	fairRefusals *prometheus.CounterVec
	// limitedSends counts the sends to upstreams that state a limit: service.
	limitedSends *prometheus.CounterVec
	store        *prometheus.CounterVec // call, result
	leaseWords   *prometheus.CounterVec // result
	panics       *prometheus.CounterVec // task
	granter      prometheus.Gauge
	config       prometheus.Gauge
	// rejectedConfigurations counts the versions of the configuration that this VM does not use.
	rejectedConfigurations prometheus.Counter
	dropped                prometheus.Counter
	// isolated is 1 while no upstream can be reached from this VM, reachRounds counts the
	// checks.
	isolated    prometheus.Gauge
	reachRounds prometheus.Counter
	// proxied counts the requests that this VM passed to another one while it was isolated,
	// by result, proxyServed those of isolated VMs that it sent, by outcome.
	proxied, proxyServed *prometheus.CounterVec
	// largeMessages counts the messages of proxied requests that are sent in pieces: kind, result.
	largeMessages *prometheus.CounterVec
	// exchanged counts the configurations that isolated VMs exchanged with others, by result.
	exchanged *prometheus.CounterVec
	// leaving counts the upstreams that said that they leave, by the source of the news.
	leaving *prometheus.CounterVec
	// callStyles counts the upstreams whose calls are sent or counted in another way, by reason.
	callStyles *prometheus.CounterVec
	// cold counts the news of upstreams that said that they are cold, by source, healthChecks the
	// checks by result.
	cold, healthChecks *prometheus.CounterVec
	// stalls counts the times at which this process did not run for minStall or longer,
	// stalledSeconds adds them up.
	stalls, stalledSeconds prometheus.Counter
	// closed counts the connections closed and requests refused for a limit on clients: listener,
	// reason.
	closed *prometheus.CounterVec
	// rests counts the responses that ask this VM to send no requests for a time: service.
	rests *prometheus.CounterVec
	// workspaceRequests counts the requests of workspaces with a quota: workspace, result.
	workspaceRequests *prometheus.CounterVec
	// queueRefusals counts the requests that an upstream's queue refused: route, reason.
	queueRefusals *prometheus.CounterVec
	// ownerHealth counts the decisions on the health of owners of keys: service, change;
	// unhealthyOwners is the number of owners with a reduced capacity, by state, on the granter.
	ownerHealth     *prometheus.CounterVec
	unhealthyOwners *prometheus.GaugeVec
	// contended is the number of upstreams whose requests this VM paces as the granter asks.
	contended prometheus.Gauge
	// hedges counts the second sends: service, result; hedgesSkipped the requests that took long
	// enough for one and got none: service, reason.
	hedges, hedgesSkipped *prometheus.CounterVec
	// longWaits counts the requests that waited for a token for longer than maxTokenWait: result.
	longWaits *prometheus.CounterVec
	// endedTokens counts the requests whose token ended before they were sent: result.
	endedTokens *prometheus.CounterVec
	// unauthorized counts the requests refused with 401, by cause.
	unauthorized *prometheus.CounterVec
}

// NewMetrics returns metrics in their own registry.
func NewMetrics() *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
		}, []string{"service"})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	m := &Metrics{
		registry:          prometheus.NewRegistry(),
		requests:          counter("requests_total", "Requests of callers by outcome.", "service", "outcome"),
		refusals:          counter(refusals, "Requests refused or failed, by reason.", "service", "reason"),
		retries:           counter("repeats_total", "Requests sent again, or not, by reason.", "service", "reason"),
		latency:           histogram("request_seconds", "Time from a caller's request to its answer."),
		upstream:          histogram("upstream_seconds", "Time from a send to an upstream to its answer."),
		calls:             counter("orders_total", "Orders to upstreams about their keys, by result.", "kind", "result"),
		failedSends:       counter("failed_sends_total", "Sends to upstreams without a complete response, by reason.", "service", "reason"),
		rejectedSends:     counter("rejected_sends_total", "Sends that a full upstream rejected, by kind: shed, reset or silent.", "service", "kind"),
		limitedSends:      counter("limited_sends_total", "Sends to upstreams that state a limit of requests per second.", "service"),
		store:             counter("store_calls_total", "Calls of the store by cause and result.", "call", "cause", "result"),
		leaseWords:        counter("lease_words_total", "Words of other VMs on the lease, asked for without a granter, by result.", "result"),
		panics:            counter("panics_total", "Handlings of a message, change or request that ended by a panic.", "task"),
		granter:           gauge("granter", "1 while this VM grants keys."),
		config:            gauge("configuration_version", "Version of the configuration in use."),
		exchanged:         counter("configurations_exchanged_total", "Configurations that this VM, while isolated, exchanged with another one to pass requests on, by result.", "result"),
		largeMessages:     counter("large_messages_total", "Proxied requests and their responses that are sent to another VM in pieces, by result.", "kind", "result"),
		proxied:           counter("proxied_requests_total", "Requests passed to another VM because no upstream can be reached from this one, by result.", "result"),
		proxyServed:       counter("proxy_served_requests_total", "Requests sent to upstreams for VMs that reach none, by outcome.", "outcome"),
		cold:              counter("upstreams_cold_total", "News of upstreams that have said in a response that they are cold, by source.", "source"),
		healthChecks:      counter("health_checks_total", "Health checks sent to upstreams while the store did not say whether they are cold, by result.", "result"),
		leaving:           counter("upstreams_leaving_total", "Upstreams that have said in a response that they are about to leave, by source.", "source"),
		rests:             counter("upstream_rests_total", "Responses of upstreams that want no requests from this VM for a time.", "service"),
		workspaceRequests: counter("workspace_requests_total", "Requests of workspaces with a quota that were admitted or refused, and tokens returned; the workspaces with the highest rates have a label of their own.", "workspace", "result"),
		longWaits:         counter("quota_long_waits_total", "Requests that waited for a token of their workspace for longer than usual, because the granter was being replaced, by result.", "result"),
		endedTokens:       counter("quota_ended_tokens_total", "Requests whose token ended while they waited for an upstream, because the granter was being replaced, by result.", "result"),
		unauthorized:      counter(unauthorizedRequests, "Requests refused with 401, by cause.", "cause"),
		hedges:            counter("hedges_total", "Second sends of requests whose first took unusually long, by result: sent, won, lost or failed.", "service", "result"),
		hedgesSkipped:     counter("hedges_skipped_total", "Requests whose first send took unusually long and that were not sent to a second upstream, by reason.", "service", "reason"),
		isolated:          gauge("isolated", "1 while no upstream can be reached from this VM."),
		queued:            histogram("queue_seconds", "Time for which a request waits for capacity of an upstream."),
		fairRefusals:      counter("fair_refusals_total", "Requests refused while they waited, by workspace.", "workspace"),
		contended:         gauge("contended_upstreams", "Upstreams that get many times what they can run, to which this VM keeps the interval of the granter."),
		queueRefusals:     counter("queue_refusals_total", "Requests refused for lack of capacity of an upstream, by route.", "route", "reason"),
		closed:            counter("connections_closed_total", "Connections closed, bodies given up and requests refused for a limit on clients, by reason.", "listener", "reason"),
		ownerHealth:       counter("owner_health_changes_total", "Decisions of the granter on the health of owners of keys.", "service", "change"),
		unhealthyOwners: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "unhealthy_owners", Help: "Owners of keys that have lost their keys (failing) or some of their capacity (reduced), on the granter.",
		}, []string{"state"}),
		callStyles: counter("upstream_call_styles_total", "Upstreams whose grants count as arriving late, by reason: ignores_expect or exceeds_call_delay.", "reason"),
		reachRounds: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "reach_checks_total", Help: "Checks whether upstreams can be reached, after connections failed.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines dropped because the log was not read fast enough.",
		}),
	}
	m.stalls = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "stalls_total", Help: "Times at which this process was stopped or waited for a processor.",
	})
	m.stalledSeconds = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "stalled_seconds_total", Help: "Total length of the stalls.",
	})
	m.rejectedConfigurations = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "rejected_configurations_total", Help: "Versions of the configuration that were rejected as invalid.",
	})
	m.registry.MustRegister(
		m.rejectedConfigurations,
		m.stalls,
		m.stalledSeconds,
		m.requests,
		m.refusals,
		m.retries,
		m.latency,
		m.upstream,
		m.calls,
		m.failedSends,
		m.rejectedSends,
		m.limitedSends,
		m.leaseWords,
		m.panics,
		m.store,
		m.granter,
		m.config,
		m.dropped,
		m.isolated,
		m.reachRounds,
		m.proxied,
		m.largeMessages,
		m.proxyServed,
		m.leaving,
		m.rests,
		m.hedges,
		m.hedgesSkipped,
		m.unauthorized,
		m.workspaceRequests,
		m.exchanged,
		m.cold,
		m.healthChecks,
		m.queued,
		m.fairRefusals,
		m.queueRefusals,
		m.contended,
		m.closed,
		m.callStyles,
		m.ownerHealth,
		m.unhealthyOwners,
	)
	return m
}

// exportTableAge exports the age of what this VM knows of a table: it lacks no change that the
// store had accepted before that.
func (m *Metrics) exportTableAge(table string, age func() (time.Duration, bool)) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "table_age_seconds", ConstLabels: prometheus.Labels{"table": table},
		Help: "Age of what this VM knows of a table of the store, NaN before it has read the table.",
	}, func() float64 {
		if age, ok := age(); ok {
			return age.Seconds()
		}
		return math.NaN()
	}))
}

func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) recordStoreCall(call string, cause callCause, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.store.WithLabelValues(call, string(cause), result).Inc()
}

func (m *Metrics) recordRequest(service, outcome string, took time.Duration) {
	m.requests.WithLabelValues(service, outcome).Inc()
	m.latency.WithLabelValues(service).Observe(took.Seconds())
}

func (m *Metrics) recordClosed(listener string, r listen.Reason) {
	m.closed.WithLabelValues(listener, string(r)).Inc()
}

// LogLinesDropped adds to the count of log lines that were not written.
func (m *Metrics) LogLinesDropped(lines int) { m.dropped.Add(float64(lines)) }
