package gateway

import (
	"sync"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/ownerhealth"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/quota"
	"dandelionhill.dev/platform/fleet"
)

const (
	// initialLatency, in seconds, is assumed for a route without responses.
	initialLatency = 0.1
	// routeLatencyWeight is the weight of one response in the average latency of a route.
	routeLatencyWeight = 0.05
)

// latencySample sums the observed latencies of an upstream and the expected ones of the
// same routes, in seconds.
type latencySample struct {
	Expected float64 `cbor:"1,keyasint"`
	Observed float64 `cbor:"2,keyasint"`
}

// report is what a VM has observed since its last report.
type report struct {
	// Loads is the demand by service and bucket of keys, in seconds of work.
	Loads     map[api.ServiceName]map[int]float64 `cbor:"1,keyasint"`
	Latencies map[api.UpstreamID]latencySample    `cbor:"2,keyasint"`
	// PromiseMs is for how long the VM promises not to take over from the granter, in
	// milliseconds; 0 promises nothing.
	PromiseMs int64 `cbor:"3,keyasint,omitempty"`
	// AnswersMs is update.SentAtMs of an update that the VM had received before it computed
	// PromiseMs, 0 if there is none.
	AnswersMs int64 `cbor:"14,keyasint,omitempty"`
	// SentAtMs is the VM's clock before the report was sent, in milliseconds, see
	// update.AnswersMs.
	SentAtMs int64 `cbor:"15,keyasint,omitempty"`
	// Leaving means that the VM is stopping.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// RowsTo is the version up to which the VM has all registrations.
	RowsTo int64 `cbor:"5,keyasint,omitempty"`
	// OperatorTo is the version up to which the VM has all rows of operators.
	OperatorTo int64 `cbor:"16,keyasint,omitempty"`
	// OperatorChange is the version of the newest row of operators that the VM knows of.
	OperatorChange int64 `cbor:"7,keyasint,omitempty"`
	// Crashes is the VM's evidence on requests that crash upstreams.
	Crashes []crash.Entry `cbor:"4,keyasint,omitempty"`
	// Limits holds news of the limits that upstreams state, Demands the permits that the VM
	// wants.
	Limits  []limitNews    `cbor:"8,keyasint,omitempty"`
	Demands []permitDemand `cbor:"9,keyasint,omitempty"`
	// Isolated means that no upstream can be reached from the VM.
	Isolated bool `cbor:"10,keyasint,omitempty"`
	// ContactMs is the time since the VM last opened a connection to an upstream, in
	// milliseconds and at least 1; 0 if it has opened none.
	ContactMs int64 `cbor:"11,keyasint,omitempty"`
	// LeavingUpstreams are upstreams that are about to leave, as the VM has read in responses.
	LeavingUpstreams []ownership.Owner `cbor:"12,keyasint,omitempty"`
	// Rests holds the upstreams that want no requests from the VM.
	Rests []upstreamRest `cbor:"13,keyasint,omitempty"`
	// Cold holds upstreams that are cold, as the VM has read in responses.
	Cold []coldNews `cbor:"38,keyasint,omitempty"`
	// OwnerSamples, OwnerFailures and OwnerPending are what the VM has seen of the owners of keys,
	// if Overload.OwnerHealth is set.
	OwnerSamples  []ownerhealth.Sample  `cbor:"40,keyasint,omitempty"`
	OwnerFailures []ownerhealth.Failure `cbor:"41,keyasint,omitempty"`
	OwnerPending  []ownerhealth.Pending `cbor:"42,keyasint,omitempty"`
	// Quota is the demand for tokens of workspaces; VMs of earlier versions admit without them.
	Quota *quota.Report `cbor:"30,keyasint,omitempty"`
	// Contended holds the upstreams that are watched for contention, or that the VM found full.
	Contended []contentionReport `cbor:"34,keyasint,omitempty"`
}

// upstreamRest says for how much longer an upstream wants no requests from a VM.
type upstreamRest struct {
	Upstream    ownership.Owner `cbor:"1,keyasint"`
	RemainingMs int64           `cbor:"2,keyasint"`
}

// trafficStats collects statistics on the traffic of this VM.
type trafficStats struct {
	mu           sync.Mutex
	routeLatency map[string]float64 // by route, seconds
	// serviceLatency is the average latency of a service at upstreams without a queue, in
	// seconds.
	serviceLatency map[api.ServiceName]float64
	pending        report
	// health records what this VM sees of the owners of keys, nil unless Overload.OwnerHealth is set.
	health *ownerhealth.Recorder
}

func newTrafficStats() *trafficStats {
	return &trafficStats{routeLatency: make(map[string]float64), serviceLatency: make(map[api.ServiceName]float64), pending: emptyReport()}
}

func emptyReport() report {
	return report{Loads: make(map[api.ServiceName]map[int]float64), Latencies: make(map[api.UpstreamID]latencySample)}
}

// expectedLatency returns the average latency of a route at upstreams without a queue.
func (s *trafficStats) expectedLatency(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected := s.routeLatency[route]; expected > 0 {
		return expected
	}
	return initialLatency
}

// averageLatency returns the average latency of a service at upstreams without a queue.
func (s *trafficStats) averageLatency(service api.ServiceName) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if average := s.serviceLatency[service]; average > 0 {
		return average
	}
	return initialLatency
}

// recordDemand counts a request for a key, whether or not it can be served.
func (s *trafficStats) recordDemand(q *request) {
	expected := s.expectedLatency(q.route.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := s.pending.Loads[q.service.Name]
	if loads == nil {
		loads = make(map[int]float64)
		s.pending.Loads[q.service.Name] = loads
	}
	loads[q.params.Key/ownership.KeysPerBucket] += expected
}

// recordLatency records the latency of a response. Responses of upstreams with a queue
// are ignored: their latency includes time in the queue.
func (s *trafficStats) recordLatency(q *request, u *upstream, took time.Duration, load fleet.Load) {
	if load.Slots > 0 && load.Waiting > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := s.routeLatency[q.route.Name]
	if expected == 0 {
		expected = took.Seconds()
	}
	sample := s.pending.Latencies[u.id]
	s.pending.Latencies[u.id] = latencySample{sample.Expected + expected, sample.Observed + took.Seconds()}
	s.routeLatency[q.route.Name] = expected + routeLatencyWeight*(took.Seconds()-expected)
	average := s.serviceLatency[q.service.Name]
	if average == 0 {
		average = took.Seconds()
	}
	s.serviceLatency[q.service.Name] = average + routeLatencyWeight*(took.Seconds()-average)
}

// takeReport returns the observations since the last call.
func (s *trafficStats) takeReport() report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.pending
	s.pending = emptyReport()
	if s.health != nil {
		seen := s.health.Take(bootTime())
		r.OwnerSamples, r.OwnerFailures, r.OwnerPending = seen.Samples, seen.Failures, seen.Pending
	}
	return r
}
