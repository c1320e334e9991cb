package gateway

import (
	"sync"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
)

const (
	// assumedLatency, in seconds, serves until a route has answers.
	assumedLatency = 0.1
	// usualWeight is the weight of one answer in a route's usual latency.
	usualWeight = 0.05
)

// pace compares how long answers of an upstream took with what is usual for
// their routes, in seconds.
type pace struct {
	Usual float64 `cbor:"1,keyasint"`
	Taken float64 `cbor:"2,keyasint"`
}

// report is what a VM has seen since its last report.
type report struct {
	// Loads is the demand by service and bucket of keys, in seconds of work.
	Loads map[api.ServiceName]map[int]float64 `cbor:"1,keyasint"`
	Paces map[api.UpstreamID]pace             `cbor:"2,keyasint"`
	// PromiseMs is for how long the VM will not take over from the granter, in
	// milliseconds; 0 promises nothing.
	PromiseMs int64 `cbor:"3,keyasint,omitempty"`
	// Leaving says that the VM is about to stop.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// RowsTo is the version up to which the VM knows all entries of upstreams.
	RowsTo int64 `cbor:"5,keyasint,omitempty"`
	// Crashes is what the VM knows of requests that crash upstreams.
	Crashes []crash.Entry `cbor:"4,keyasint,omitempty"`
}

// stats collects what the traffic of this VM shows.
type stats struct {
	mu      sync.Mutex
	usuals  map[string]float64 // by route, seconds
	pending report
}

func newStats() *stats {
	return &stats{usuals: make(map[string]float64), pending: emptyReport()}
}

func emptyReport() report {
	return report{Loads: make(map[api.ServiceName]map[int]float64), Paces: make(map[api.UpstreamID]pace)}
}

// usual returns the latency of a route at upstreams where nothing waits.
func (s *stats) usual(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if usual := s.usuals[route]; usual > 0 {
		return usual
	}
	return assumedLatency
}

// demand counts a request for a key, whether it can be served or not.
func (s *stats) demand(q *request) {
	usual := s.usual(q.route.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := s.pending.Loads[q.service.Name]
	if loads == nil {
		loads = make(map[int]float64)
		s.pending.Loads[q.service.Name] = loads
	}
	loads[q.asked.Key/ownership.KeysPerBucket] += usual
}

// observe records an answer. Only answers of upstreams where nothing waits tell
// how long the work takes.
func (s *stats) observe(q *request, u *upstream, took time.Duration, load fleet.Load) {
	if load.Slots > 0 && load.Waiting > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	usual := s.usuals[q.route.Name]
	if usual == 0 {
		usual = took.Seconds()
	}
	p := s.pending.Paces[u.id]
	s.pending.Paces[u.id] = pace{p.Usual + usual, p.Taken + took.Seconds()}
	s.usuals[q.route.Name] = usual + usualWeight*(took.Seconds()-usual)
}

// take returns what was seen since the last call.
func (s *stats) take() report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.pending
	s.pending = emptyReport()
	return r
}
