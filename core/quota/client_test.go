package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// connectedClient returns a client that has tokens of a workspace at 10 s.
func connectedClient(tokens int) *Client {
	c := NewClient(DefaultRule, 0)
	c.Connected()
	c.Update(secs(10), &Update{Issuing: true, AnswersMs: 10_000, Share: 0.5, Grants: []Grant{{Workspace: "w", Tokens: tokens}}})
	return c
}

// TestTokensOfRequests guards against tokens that are counted twice, or not at all, when a request
// is sent, is not run by an upstream, or ends without having run.
func TestTokensOfRequests(t *testing.T) {
	limit := Limit{Rate: 4}
	c := connectedClient(3)
	demand := func(at float64) Demand {
		r := c.Report(secs(at))
		require.Len(t, r.Demands, 1)
		return r.Demands[0]
	}
	a, ok := c.Take(secs(10), "w", limit)
	require.True(t, ok)
	b, ok := c.Take(secs(10), "w", limit)
	require.True(t, ok)
	require.Equal(t, 2, demand(10.1).Unsent)
	require.True(t, c.Sent(secs(10.1), "w", limit, &a))
	require.True(t, c.Sent(secs(10.2), "w", limit, &a), "a retry takes no second token")
	require.False(t, c.Return(secs(10.3), "w", a), "it may have run")
	require.Equal(t, Demand{Workspace: "w", Done: 1, Unsent: 1}, demand(10.3))
	require.True(t, c.Sent(secs(10.3), "w", limit, &b))
	require.Equal(t, 1, demand(10.3).Done)
	c.NotRun(secs(10.4), "w", &b)
	require.Equal(t, Demand{Workspace: "w", Done: -1, Unsent: 1}, demand(10.4))
	require.True(t, c.Return(secs(10.4), "w", b))
	require.Equal(t, Demand{Workspace: "w", Done: 1, Returned: 1}, demand(10.5))
	c.Update(secs(11.4), &Update{Issuing: true, AnswersMs: 11_300})
	require.Equal(t, Demand{Workspace: "w", Done: 1, Returned: 1}, demand(11.6), "the third has lapsed")
	_, ok = c.Take(secs(11.6), "w", limit)
	require.False(t, ok)
}

// TestTokensEndWithTheGranter guards against requests that are sent, after they have waited, with
// tokens of a granter that the VM no longer follows, against such tokens in reports to the next granter, and
// against requests without tokens while the VM connects to it.
func TestTokensEndWithTheGranter(t *testing.T) {
	limit := Limit{Rate: 4}
	c := connectedClient(2)
	a, ok := c.Take(secs(10.1), "w", limit)
	require.True(t, ok)
	require.True(t, c.Sent(secs(10.9), "w", limit, &Taken{at: secs(10.1), link: 1}))
	require.False(t, c.Sent(secs(11), "w", limit, &a), "the VM uses its share")

	c = connectedClient(4)
	take := func(at float64) Taken {
		taken, ok := c.Take(secs(at), "w", limit)
		require.True(t, ok)
		return taken
	}
	a, b := take(10.1), take(10.1)
	c.Connected()
	require.True(t, c.Sent(secs(10.5), "w", limit, &a), "the granter that issued it counts it as held")
	late := take(10.6)
	require.Empty(t, c.Report(secs(10.6)).Demands, "the next granter did not issue them")
	require.True(t, c.Update(secs(10.7), &Update{Issuing: true, AnswersMs: 10_600, Share: 0.5, Term: 2}))
	require.False(t, c.Sent(secs(10.8), "w", limit, &b))
	require.False(t, c.Sent(secs(10.8), "w", limit, &late))
	require.False(t, c.Return(secs(10.8), "w", b))
	_, ok = c.Take(secs(10.8), "w", limit)
	require.False(t, ok)
	require.Empty(t, c.Report(secs(10.8)).Demands)

	c = connectedClient(4)
	c.Connected()
	require.True(t, c.Update(secs(10.5), &Update{Issuing: true, AnswersMs: 10_400, TokenMs: 400, KeepTokens: true, Term: 2}))
	a, b = take(10.9), take(10.9)
	require.True(t, c.Sent(secs(10.99), "w", limit, &a))
	require.Empty(t, c.Report(secs(10.99)).Demands)
	require.False(t, c.Sent(secs(11), "w", limit, &b), "the next granter issues for the share from now on")
	_, ok = c.Take(secs(11), "w", limit)
	require.False(t, ok)
}

// TestShareWithoutGranter guards against a share that is used at once by all VMs, that accumulates,
// or that does not end.
func TestShareWithoutGranter(t *testing.T) {
	limit := Limit{Rate: 4}
	c := connectedClient(0)
	count := func(from, to float64) (n int) {
		for at := secs(from); at < secs(to); at += 10 * time.Millisecond {
			if _, ok := c.Take(at, "w", limit); ok {
				n++
			}
		}
		return n
	}
	require.Zero(t, count(10, 11), "the granter may issue the share")
	require.InDelta(t, 10, count(11, 16), 1, "half of 4 a second")
	_, used := c.Share(secs(16))
	require.True(t, used)
	require.InDelta(t, 4, count(18, 20), 2, "tokens that were not used lapse")
	require.Zero(t, count(20, 30), "the share has ended")
}

// TestUnlimited guards against a limit in deployments that have none, and while the granter is of a
// version that issues no tokens.
func TestUnlimited(t *testing.T) {
	c := NewClient(DefaultRule, 0)
	taken, ok := c.Take(secs(1), "w", Limit{})
	require.True(t, ok)
	require.True(t, c.Sent(secs(1), "w", Limit{}, &taken))
	_, ok = c.Take(secs(1), "w", Limit{Rate: 5})
	require.False(t, ok, "no granter and no share")
	c.Update(secs(1), nil)
	_, ok = c.Take(secs(1.5), "w", Limit{Rate: 5})
	require.True(t, ok)
	c.Update(secs(1.6), &Update{})
	_, ok = c.Take(secs(1.7), "w", Limit{Rate: 5})
	require.False(t, ok)
}

// TestIdleWorkspacesAreForgotten guards against memory that grows with all workspaces that ever had
// a request.
func TestIdleWorkspacesAreForgotten(t *testing.T) {
	c := connectedClient(1)
	c.Arrive(secs(10), "w")
	_, ok := c.Take(secs(10), "w", Limit{Rate: 5})
	require.True(t, ok)
	issuer := NewIssuer(DefaultRule, 0, 0, 0)
	m := issuer.Join(0, "vm")
	issuer.SetIssuing(0, true)
	c.Connected()
	for at := 10.0; at < 40; at += 0.5 {
		u := issuer.Update(secs(at), m, 0, 1)
		c.Update(secs(at), &u)
		issuer.Report(secs(at), m, int64(at*1000), secs(at), c.Report(secs(at)))
		issuer.Issue(secs(at), func(api.WorkspaceName) (Limit, bool) { return Limit{Rate: 5}, true })
	}
	require.Empty(t, c.entries)
	require.Empty(t, issuer.buckets)
	require.Empty(t, m.demands)
}

// TestRetryAfter guards against callers that come back together, before tokens are there or long
// after.
func TestRetryAfter(t *testing.T) {
	c := connectedClient(40)
	for i := range 200 {
		at := secs(10 + float64(i)/200)
		c.Arrive(at, "w")
		if i%10 == 0 {
			_, ok := c.Take(at, "w", Limit{Rate: 20})
			require.True(t, ok)
		}
	}
	soonest, latest := c.RetryAfter(secs(11), "w", Limit{Rate: 20}, 0), c.RetryAfter(secs(11), "w", Limit{Rate: 20}, 1)
	require.Equal(t, retryTime, soonest)
	require.Equal(t, maxRetryTime, latest.Round(time.Millisecond), "ten times the rate")
	require.InDelta(t, 1.2, c.RetryAfter(secs(11), "other", Limit{Rate: 5}, 1).Seconds(), 0.01)
	require.InDelta(t, 3.5, c.RetryAfter(secs(11), "other", Limit{Rate: 0.1}, 1).Seconds(), 0.01)
}
