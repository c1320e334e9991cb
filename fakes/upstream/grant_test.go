package upstream

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/platform/upstreamhttp"
)

// TestGrantForms guards against grants that change form on the wire: an empty list must stay a
// list, and a server of the older protocol must not offer renewals.
func TestGrantForms(t *testing.T) {
	ctx := context.Background()
	start := func(listsOnly bool) (*Server, *upstreamhttp.Client, platform.Health) {
		s := New(Config{ID: "u", Slots: 1, QueueLimit: 1, Checks: lease.ChecksFence, NoRenewals: listsOnly})
		require.NoError(t, s.Start("127.0.0.1:0"))
		t.Cleanup(s.Stop)
		c := upstreamhttp.New(s.Address(), 1, 1<<20)
		t.Cleanup(c.Close)
		health, err := c.Health(ctx)
		require.NoError(t, err)
		return s, c, health
	}
	owned := func(s *Server) []int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.guard.Ranges()
	}
	const hour = 3_600_000

	s, c, health := start(false)
	require.True(t, health.SupportsRenewals)
	list := platform.Grant{
		Service: "s", Fence: 5, Incarnation: health.Incarnation, UntilMs: health.ClockMs + hour,
		Ranges: []platform.RangeSpan{{First: 1, Last: 2}},
	}
	renewal := list
	renewal.Ranges, renewal.RenewsUntilMs, renewal.UntilMs = nil, list.UntilMs, list.UntilMs+1
	result, err := c.Grant(ctx, renewal)
	require.NoError(t, err)
	require.False(t, result.Accepted)
	require.Equal(t, platform.RefusalUnknownGrant, result.Refusal)
	for _, g := range []platform.Grant{list, renewal} {
		result, err = c.Grant(ctx, g)
		require.NoError(t, err)
		require.True(t, result.Accepted, result.Reason)
		require.True(t, result.SupportsRenewals)
		require.Equal(t, []int{1, 2}, owned(s))
	}
	empty := list
	empty.Ranges, empty.UntilMs = []platform.RangeSpan{}, list.UntilMs+2
	result, err = c.Grant(ctx, empty)
	require.NoError(t, err)
	require.True(t, result.Accepted, result.Reason)
	require.Empty(t, owned(s))

	sent, err := json.Marshal(empty)
	require.NoError(t, err)
	require.Contains(t, string(sent), `"ranges":[]`)
	sent, err = json.Marshal(renewal)
	require.NoError(t, err)
	require.NotContains(t, string(sent), "ranges")

	_, _, health = start(true)
	require.False(t, health.SupportsRenewals)
}
