package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/server/upstreamconn"
)

// TestPermitAllocator guards against permits that are issued twice for a request whose permit is
// under way, while a former granter may still issue some, and after the limit has ended.
func TestPermitAllocator(t *testing.T) {
	owner := ownership.Owner{UpstreamID: "u1", Incarnation: 7}
	u := newUpstream(&registration{Upstream: routing.Upstream{ID: "u1", Incarnation: 7}}, upstreamconn.Limits{}, upstreamconn.Network{}, func() {})
	v := &view{upstreams: map[api.UpstreamID]*upstream{"u1": u}}
	allocator := newPermitAllocator(newStatedLimits(zerolog.Nop()))
	a, b := newPermitClient(), newPermitClient()
	clients := []*permitClient{a, b}
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

	require.True(t, allocator.handleReport(v, a, report{
		Limits: []limitNews{{Upstream: owner, Rate: 2}}, Demands: []permitDemand{{Upstream: owner, Waiting: 3}},
	}, at(10)))
	require.Equal(t, 2.0, u.limiter.rate())
	require.Empty(t, allocator.takeNews(a, allocator.limits.all(), at(10)), "it reported the limit")
	require.Len(t, allocator.takeNews(b, allocator.limits.all(), at(10)), 1)
	require.Empty(t, allocator.takeNews(b, allocator.limits.all(), at(10)))

	allocator.issue(at(10), at(1), clients)
	allocator.issue(at(10.9), at(0.1), clients)
	grants := a.takeGrants()
	require.Len(t, grants, 1)
	require.Zero(t, grants[0].Permits, "a former granter may issue some")
	require.InDelta(t, 3.2, grants[0].Backlog, 1e-6)

	allocator.issue(at(11), 0, clients)
	allocator.issue(at(11.5), 0, clients)
	require.Equal(t, 1, a.takeGrants()[0].Permits)
	for s := 12.0; s < 20; s++ {
		allocator.issue(at(s), 0, clients)
	}
	require.Equal(t, 2, a.takeGrants()[0].Permits, "three requests wait")
	require.Empty(t, b.takeGrants())
	allocator.handleReport(v, a, report{Demands: []permitDemand{{Upstream: owner, Spare: true, Received: 3}}}, at(20))
	allocator.issue(at(20), 0, clients)
	allocator.issue(at(21), 0, clients)
	require.Equal(t, 1, a.takeGrants()[0].Permits)

	require.True(t, allocator.handleReport(v, b, report{Limits: []limitNews{{Upstream: owner}}}, at(21)))
	allocator.handleReport(v, a, report{Demands: []permitDemand{{Upstream: owner, Waiting: 1, Received: 4}}}, at(21))
	allocator.issue(at(25), 0, clients)
	require.Empty(t, a.takeGrants())
	unknown := ownership.Owner{UpstreamID: "u1", Incarnation: 8}
	require.False(t, allocator.handleReport(v, b, report{Limits: []limitNews{{Upstream: unknown, Rate: 1}}}, at(26)))
}

// TestLimitOfIncarnationNotKnownYet guards against a limit that is lost, so that requests wait for
// permits which nobody issues, because it arrives at a VM whose view of the registrations is
// older than that of the sender.
func TestLimitOfIncarnationNotKnownYet(t *testing.T) {
	newUpstreamOf := func(incarnation int64) *upstream {
		return newUpstream(&registration{Upstream: routing.Upstream{ID: "u1", Incarnation: incarnation}}, upstreamconn.Limits{}, upstreamconn.Network{}, func() {})
	}
	viewOf := func(u *upstream) *view { return &view{upstreams: map[api.UpstreamID]*upstream{"u1": u}} }
	later := ownership.Owner{UpstreamID: "u1", Incarnation: 8}
	allocator := newPermitAllocator(newStatedLimits(zerolog.Nop()))
	client := newPermitClient()
	u7, u8 := newUpstreamOf(7), newUpstreamOf(8)
	demand := []permitDemand{{Upstream: later, Waiting: 1}}
	require.False(t, allocator.handleReport(viewOf(u7), client, report{Limits: []limitNews{{Upstream: later, Rate: 2, AgeMs: 100}}, Demands: demand}, 10*time.Second))
	require.Zero(t, u7.limiter.rate())
	require.True(t, allocator.handleReport(viewOf(u8), client, report{Demands: demand}, 11*time.Second))
	require.Equal(t, 2.0, u8.limiter.rate())
	require.Equal(t, 9900*time.Millisecond, allocator.limits.all()[u8].At)
	allocator.issue(11*time.Second, 0, []*permitClient{client})
	allocator.issue(13*time.Second, 0, []*permitClient{client})
	require.Equal(t, 1, client.takeGrants()[0].Permits)

	l := newStatedLimits(zerolog.Nop())
	l.merge(viewOf(u7), []limitNews{{Upstream: later, Rate: 2}}, time.Second, "granter")
	l.merge(viewOf(u7), nil, time.Second+2*earlyLimitTTL, "granter")
	require.Empty(t, l.early, "an incarnation that has ended")
}
