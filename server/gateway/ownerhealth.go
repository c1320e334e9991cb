package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownerhealth"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/upstreamconn"
)

// ownerHealthInterval is the interval at which the granter decides on the health of owners.
const ownerHealthInterval = 100 * time.Millisecond

// OwnerHealth is an owner of keys with a reduced capacity.
type OwnerHealth struct {
	Service  api.ServiceName `json:"service"`
	Upstream api.UpstreamID  `json:"upstream"`
	// Capacity is the capacity for keys in slots of usual speed, Slots the slots of the upstream.
	Capacity float64 `json:"capacity"`
	Slots    int     `json:"slots"`
	// Failing means that the upstream may keep no key.
	Failing bool `json:"failing"`
}

// sendEnd says how a send to the owner of a key has ended.
type sendEnd struct {
	owner       ownership.Owner
	fingerprint uint64
	route       string
	took        time.Duration
	status      int
	headers     fleet.ResponseHeaders
	err         error
}

// beginOwnerSend records that a request is sent to the owner of its key. endOwnerSend follows.
func (h *requestHandler) beginOwnerSend(q *request, u *upstream) *sendEnd {
	// Until the send has returned it says nothing of the upstream.
	e := &sendEnd{owner: u.owner(), fingerprint: q.fingerprint, route: q.route.Name, err: upstreamconn.ErrWithdrawn}
	h.stats.withHealth(e.route, func(r *ownerhealth.Recorder, expected time.Duration) { r.Sent(bootTime(), e.owner, expected) })
	return e
}

// returned records the result of a send; e is nil for a service without keys.
func (e *sendEnd) returned(took time.Duration, resp *upstreamconn.Response, headers fleet.ResponseHeaders, err error) {
	if e == nil {
		return
	}
	e.took, e.headers, e.err = took, headers, err
	if resp != nil {
		e.status = resp.Status
	}
}

// endOwnerSend records how a send has ended.
func (h *requestHandler) endOwnerSend(ctx context.Context, q *request, u *upstream, e *sendEnd) {
	h.stats.withHealth(e.route, func(r *ownerhealth.Recorder, expected time.Duration) {
		now := bootTime()
		switch {
		case e.err == nil && !e.headers.NotRun:
			r.Responded(now, e.owner, ownerhealth.Response{
				Took: e.took, Expected: expected, Failed: e.status >= http.StatusInternalServerError, Fingerprint: e.fingerprint,
				Waiting: e.headers.Load.Waiting, Slots: e.headers.Load.Slots, Slowdown: e.headers.Load.Slowdown,
			})
		case e.err == nil && !e.headers.Misdirected && overloaded(e.headers.Load), e.err != nil && u.shownFull(e.err):
			r.Full(now, e.owner)
		case e.err == nil, saysNothing(e.err), ctx.Err() != nil && !u.isOverdue(expected, e.took):
			r.Abandoned(now, e.owner)
		default:
			r.Broken(now, e.owner, e.fingerprint)
		}
	})
}

// saysNothing reports whether the cause of an error is this VM or the request.
func saysNothing(err error) bool {
	return errors.Is(err, buffers.ErrExhausted) || errors.Is(err, upstreamconn.ErrWithdrawn) ||
		errors.Is(err, upstreamconn.ErrHeadTooLarge) || errors.Is(err, upstreamconn.ErrBodyTooLarge)
}

// shownFull reports whether a full queue is the cause of an error.
func (u *upstream) shownFull(err error) bool {
	return errors.Is(err, upstreamconn.ErrConnectionRejected) || !errors.Is(err, upstreamconn.ErrWithdrawn) && u.overloaded(time.Now())
}

// isOverdue reports whether a request that is still without a response should have one.
func (u *upstream) isOverdue(expected, took time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return took >= u.silence.Bound(bootTime(), expected, u.limiter.load()-1, u.registration.Load().Slots)
}

// withHealth calls f with the recorder, if there is one, and the expected latency of a route.
func (s *trafficStats) withHealth(route string, f func(r *ownerhealth.Recorder, expected time.Duration)) {
	if s.health == nil {
		return
	}
	expected := time.Duration(s.expectedLatency(route) * float64(time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.health, expected)
}

// ownershipConfig returns the parameters of the machines.
func (g *granter) ownershipConfig() ownership.Config {
	cfg := g.bounds.ownership()
	if g.health != nil {
		cfg.LoadWindow = loadDecayTime
	}
	return cfg
}

// observeHealth records what a VM reports of the owners of keys. One that reaches no upstream says
// nothing of them.
func (g *granter) observeHealth(vm api.VMID, r report, received time.Duration) {
	if g.health != nil && !r.Isolated {
		g.health.Observe(received, vm, ownerhealth.Report{Samples: r.OwnerSamples, Failures: r.OwnerFailures, Pending: r.OwnerPending})
	}
}

// stepHealth decides on the health of the owners of keys.
func (g *granter) stepHealth(v *view, now time.Duration) {
	if g.health == nil || now-g.healthAt < ownerHealthInterval {
		return
	}
	g.healthAt = now
	var reduced []OwnerHealth
	for name, service := range v.config.Services {
		if !service.Keyed {
			continue
		}
		var candidates []ownerhealth.Candidate
		for _, u := range v.services[name] {
			owner := u.owner()
			candidates = append(candidates, ownerhealth.Candidate{Owner: owner, Slots: u.registration.Load().Slots, Usable: v.usable(u) && !u.isLeaving() && !g.calls.suspect(owner, now)})
			slots, verdict := u.registration.Load().Slots, g.health.Verdict(owner)
			if g.health.IsReduced(owner) {
				reduced = append(reduced, OwnerHealth{Service: name, Upstream: u.id, Capacity: verdict.Capacity * float64(slots), Slots: slots, Failing: verdict.Failing})
			}
		}
		for _, change := range g.health.Step(now, name, candidates) {
			g.metrics.ownerHealth.WithLabelValues(string(name), string(change.Kind)).Inc()
			g.log.Warn().Str("event", "owner_health").Str("change", string(change.Kind)).Str("service", string(name)).
				Str("upstream", string(change.Owner.UpstreamID)).Int64("life", change.Owner.Incarnation).
				Float64("failed", change.Share).Float64("speed", change.Speed).Int64("term", g.term).Msg("")
		}
	}
	g.health.Retain(now, func(owner ownership.Owner) bool { return v.incarnation(owner) != nil })
	slices.SortFunc(reduced, func(a, b OwnerHealth) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	g.control.ownerHealth.Store(&reduced)
	g.exportHealth(reduced)
}

// exportHealth sets the gauges.
func (g *granter) exportHealth(reduced []OwnerHealth) {
	failing := 0
	for _, o := range reduced {
		if o.Failing {
			failing++
		}
	}
	g.metrics.unhealthyOwners.WithLabelValues("failing").Set(float64(failing))
	g.metrics.unhealthyOwners.WithLabelValues("reduced").Set(float64(len(reduced) - failing))
}

// ownerCapacity returns the capacity of an upstream for keys, in seconds of work a second, and
// whether its health lets it keep keys.
func (g *granter) ownerCapacity(v *view, u *upstream, now time.Duration) (capacity float64, healthy bool) {
	reg := u.registration.Load()
	slots := float64(reg.Slots)
	if g.health == nil {
		return slots * g.speeds.Of(u.id), true
	}
	verdict := g.health.Verdict(u.owner())
	capacity = slots * verdict.Capacity
	if service := v.config.Services[reg.Service]; service != nil && u.isCold(service, now) {
		capacity = min(capacity, service.ColdRate*g.stats.averageLatency(reg.Service))
	}
	// Without the store no other upstream can take the keys.
	return capacity, !verdict.Failing || g.storeUnreachable.Load()
}
