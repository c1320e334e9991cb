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

// TestPermitOffice guards against permits that are issued twice for a request whose permit is
// under way, while a former granter may still issue some, and after the limit has ended.
func TestPermitOffice(t *testing.T) {
	owner := ownership.Owner{UpstreamID: "u1", Incarnation: 7}
	u := newUpstream(&registration{Upstream: routing.Upstream{ID: "u1", Incarnation: 7}}, upstreamconn.Limits{}, func() {})
	v := &view{upstreams: map[api.UpstreamID]*upstream{"u1": u}}
	office := newPermitOffice(newStatedLimits(zerolog.Nop()))
	a, b := newPermitClient(), newPermitClient()
	clients := []*permitClient{a, b}
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

	require.True(t, office.handleReport(v, a, report{
		Limits: []limitNews{{Upstream: owner, Rate: 2}}, Demands: []permitDemand{{Upstream: owner, Waiting: 3}},
	}, at(10)))
	require.Equal(t, 2.0, u.limiter.rate())
	require.Empty(t, office.takeNews(a, office.limits.all(), at(10)), "it reported the limit")
	require.Len(t, office.takeNews(b, office.limits.all(), at(10)), 1)
	require.Empty(t, office.takeNews(b, office.limits.all(), at(10)))

	office.issue(at(10), at(1), clients)
	office.issue(at(10.9), at(0.1), clients)
	grants := a.takeGrants()
	require.Len(t, grants, 1)
	require.Zero(t, grants[0].Permits, "a former granter may issue some")
	require.InDelta(t, 3.2, grants[0].Backlog, 1e-6)

	office.issue(at(11), 0, clients)
	office.issue(at(11.5), 0, clients)
	require.Equal(t, 1, a.takeGrants()[0].Permits)
	for s := 12.0; s < 20; s++ {
		office.issue(at(s), 0, clients)
	}
	require.Equal(t, 2, a.takeGrants()[0].Permits, "three requests wait")
	require.Empty(t, b.takeGrants())
	office.handleReport(v, a, report{Demands: []permitDemand{{Upstream: owner, Spare: true, Received: 3}}}, at(20))
	office.issue(at(20), 0, clients)
	office.issue(at(21), 0, clients)
	require.Equal(t, 1, a.takeGrants()[0].Permits)

	require.True(t, office.handleReport(v, b, report{Limits: []limitNews{{Upstream: owner}}}, at(21)))
	office.handleReport(v, a, report{Demands: []permitDemand{{Upstream: owner, Waiting: 1, Received: 4}}}, at(21))
	office.issue(at(25), 0, clients)
	require.Empty(t, a.takeGrants())
	unknown := ownership.Owner{UpstreamID: "u1", Incarnation: 8}
	require.False(t, office.handleReport(v, b, report{Limits: []limitNews{{Upstream: unknown, Rate: 1}}}, at(26)))
}
