package ownerhealth

import (
	"cmp"
	"slices"
	"time"

	"dandelionhill.dev/core/ownership"
)

const (
	// minPending is how long an upstream must be without a response to be reported.
	minPending = 300 * time.Millisecond
	// maxReported bounds each list of a report.
	maxReported = 512
)

// Sample sums up the responses of one upstream.
type Sample struct {
	Owner ownership.Owner `cbor:"1,keyasint"`
	// Succeeded counts the responses below 500.
	Succeeded int `cbor:"2,keyasint,omitempty"`
	// Full counts the responses and rejections that show a queue that is at least half full.
	Full int `cbor:"3,keyasint,omitempty"`
	// Expected and Observed are the sums of the expected and the observed latencies of the successes,
	// in seconds. Ahead is the sum of the expected ones times the number of requests for each slot
	// that wait after the response.
	Expected float64 `cbor:"4,keyasint,omitempty"`
	Observed float64 `cbor:"5,keyasint,omitempty"`
	Ahead    float64 `cbor:"6,keyasint,omitempty"`
	// Slowdown is the sum of the stated service times relative to the usual ones.
	Slowdown float64 `cbor:"7,keyasint,omitempty"`
}

// Failure counts the failures of requests with one fingerprint at one upstream.
type Failure struct {
	Owner       ownership.Owner `cbor:"1,keyasint"`
	Fingerprint uint64          `cbor:"2,keyasint,omitempty"`
	// Responses counts the responses of 500 and above, Broken the connections that broke and the
	// requests that got no response in time. A full queue may be the cause of the latter.
	Responses int `cbor:"3,keyasint,omitempty"`
	Broken    int `cbor:"4,keyasint,omitempty"`
}

// Pending says that an upstream has requests of a VM, and for how long it has not responded to any.
type Pending struct {
	Owner ownership.Owner `cbor:"1,keyasint"`
	ForMs int64           `cbor:"2,keyasint"`
	// ExpectedMs is the expected latency of the slowest of these requests.
	ExpectedMs int64 `cbor:"3,keyasint"`
}

// Report is what one VM has observed since its last report.
type Report struct {
	Samples  []Sample
	Failures []Failure
	Pending  []Pending
}

// Response describes a response of an upstream.
type Response struct {
	// Took is the latency, Expected that of the same route at upstreams without a queue.
	Took, Expected time.Duration
	// Failed means that the status is 500 or above.
	Failed      bool
	Fingerprint uint64
	// Waiting and Slots are those that the response states; Slots is 0 if it states none.
	Waiting, Slots int
	// Slowdown is the service time relative to the usual one, as stated; 1 if it is not.
	Slowdown float64
}

// pendingSends are the requests of a VM at one upstream.
type pendingSends struct {
	requests int
	// since is when the first of them was sent, or the last response if that is later.
	since    time.Duration
	expected time.Duration
}

type failureKey struct {
	owner       ownership.Owner
	fingerprint uint64
}

// Recorder collects the observations of one VM. It is not safe for concurrent use.
type Recorder struct {
	samples  map[ownership.Owner]*Sample
	failures map[failureKey]*Failure
	pending  map[ownership.Owner]*pendingSends
}

// NewRecorder returns a recorder without observations.
func NewRecorder() *Recorder {
	return &Recorder{samples: make(map[ownership.Owner]*Sample), failures: make(map[failureKey]*Failure), pending: make(map[ownership.Owner]*pendingSends)}
}

// Sent records that a request was sent. Exactly one of Responded, Broken, Full and
// Abandoned follows.
func (r *Recorder) Sent(now time.Duration, owner ownership.Owner, expected time.Duration) {
	p := r.pending[owner]
	if p == nil {
		p = &pendingSends{since: now}
		r.pending[owner] = p
	}
	p.requests++
	p.expected = max(p.expected, expected)
}

// ended removes a request; responded means that it had a response.
func (r *Recorder) ended(now time.Duration, owner ownership.Owner, responded bool) {
	p := r.pending[owner]
	if p == nil {
		return
	}
	if p.requests--; p.requests <= 0 {
		delete(r.pending, owner)
	} else if responded {
		p.since = now
	}
}

func (r *Recorder) sample(owner ownership.Owner) *Sample {
	s := r.samples[owner]
	if s == nil {
		s = &Sample{Owner: owner}
		r.samples[owner] = s
	}
	return s
}

func (r *Recorder) failure(owner ownership.Owner, fingerprint uint64) *Failure {
	key := failureKey{owner, fingerprint}
	if r.failures[key] == nil && len(r.failures) >= maxReported {
		key.fingerprint = 0
	}
	f := r.failures[key]
	if f == nil {
		f = &Failure{Owner: key.owner, Fingerprint: key.fingerprint}
		r.failures[key] = f
	}
	return f
}

// Responded records a response of a request that has run.
func (r *Recorder) Responded(now time.Duration, owner ownership.Owner, resp Response) {
	r.ended(now, owner, true)
	s := r.sample(owner)
	if resp.Slots > 0 && resp.Waiting >= fullPerSlot*resp.Slots {
		s.Full++
	}
	if resp.Failed {
		r.failure(owner, resp.Fingerprint).Responses++
		return
	}
	s.Succeeded++
	if resp.Slots > 0 && resp.Waiting > 0 {
		s.Ahead += resp.Expected.Seconds() * float64(resp.Waiting) / float64(resp.Slots)
	}
	s.Slowdown += resp.Slowdown
	s.Expected += resp.Expected.Seconds()
	s.Observed += resp.Took.Seconds()
}

// fullPerSlot is the number of waiting requests for each slot from which a queue may reject some
// soon: it holds four.
const fullPerSlot = 2

// Broken records that a request ended without a response.
func (r *Recorder) Broken(now time.Duration, owner ownership.Owner, fingerprint uint64) {
	r.ended(now, owner, false)
	r.failure(owner, fingerprint).Broken++
}

// Full records that the upstream rejected a request since its queue is full.
func (r *Recorder) Full(now time.Duration, owner ownership.Owner) {
	r.ended(now, owner, false)
	r.sample(owner).Full++
}

// Abandoned records that a request has ended in a way that says nothing of the upstream.
func (r *Recorder) Abandoned(now time.Duration, owner ownership.Owner) { r.ended(now, owner, false) }

// Take returns the observations since the last call.
func (r *Recorder) Take(now time.Duration) (report Report) {
	for _, s := range r.samples {
		report.Samples = append(report.Samples, *s)
	}
	for _, f := range r.failures {
		report.Failures = append(report.Failures, *f)
	}
	for owner, p := range r.pending {
		if now-p.since >= minPending {
			report.Pending = append(report.Pending, Pending{Owner: owner, ForMs: (now - p.since).Milliseconds(), ExpectedMs: p.expected.Milliseconds()})
		}
	}
	slices.SortFunc(report.Samples, func(a, b Sample) int { return compareOwners(a.Owner, b.Owner) })
	slices.SortFunc(report.Failures, func(a, b Failure) int {
		return cmp.Or(compareOwners(a.Owner, b.Owner), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	slices.SortFunc(report.Pending, func(a, b Pending) int { return compareOwners(a.Owner, b.Owner) })
	report.Pending = report.Pending[:min(len(report.Pending), maxReported)]
	clear(r.samples)
	clear(r.failures)
	return report
}

func compareOwners(a, b ownership.Owner) int {
	return cmp.Or(cmp.Compare(a.UpstreamID, b.UpstreamID), cmp.Compare(a.Incarnation, b.Incarnation))
}
