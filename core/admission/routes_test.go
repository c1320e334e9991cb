package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFloodOfOneRoute guards against a route that sends 7.5 times its usual load and takes over the
// queues of its service from routes of the same priority, without workspaces.
func TestFloodOfOneRoute(t *testing.T) {
	var routes []simRoute
	for range 4 {
		routes = append(routes, simRoute{share: 0.25, priority: 1, work: simWork, target: simTarget, deadline: simDeadline, late: 0.3})
	}
	for _, keyed := range []bool{true, false} {
		p := simParams{vms: 4, upstreams: 20, keyed: keyed, load: 1.2, policy: independent, rejection: resets, routes: routes, flood: 7.5, length: 20 * time.Second}
		served := func(r simResult) (flooding, worst, others float64) {
			worst = 1
			for _, c := range r.byRoute[1:] {
				worst = min(worst, c.served())
				others += c.served() / 3
			}
			return r.byRoute[0].served(), worst, others
		}
		_, _, othersBefore := served(simulate(p))
		p.fair, p.routeFlows = true, true
		flooding, worst, others := served(simulate(p))
		t.Logf("keyed=%v flooding=%.3f others=%.3f worst=%.3f, by arrival time others=%.3f", keyed, flooding, others, worst, othersBefore)
		require.Greater(t, others, othersBefore+0.1)
		require.Greater(t, others, flooding+0.1)
		require.Greater(t, worst, 0.9*others)
	}
}

// TestLateRequestsAreRefusedForOthers guards against late requests that take the place of requests
// that can still meet their target, against a route that loses by the refusals, and against
// refusals without overload.
func TestLateRequestsAreRefusedForOthers(t *testing.T) {
	for _, routes := range serviceRoutes {
		for _, load := range []float64{0.4, 1.2, 2} {
			p := simParams{vms: 4, upstreams: 20, keyed: true, load: load, policy: independent, rejection: resets, routes: routes, length: 8 * time.Second, fair: true, routeFlows: true}
			before := simulate(p)
			p.refuseLate = true
			after := simulate(p)
			was, is := 0.0, 0.0
			for i, c := range after.byRoute {
				b := before.byRoute[i]
				was += b.worth(routes[i].late) * routes[i].share
				is += c.worth(routes[i].late) * routes[i].share
				t.Logf("load=%.1f priority=%d of %d: in time %d, late %d, refused %d; with late ones %d, %d, %d",
					load, routes[i].priority, c.requests, c.inTime, c.late, c.refused, b.inTime, b.late, b.refused)
				// The least urgent ones get less of the upstream's queue than before.
				require.Greater(t, float64(c.inTime), 0.97*float64(b.inTime))
			}
			t.Logf("load=%.1f worth=%.3f, with late ones %.3f", load, is, was)
			if load < 1 {
				// A slow upstream is short of capacity for a moment now and then.
				require.Equal(t, before.inTime, after.inTime)
				require.Less(t, float64(after.refused), 0.005*float64(after.requests))
				continue
			}
			require.Greater(t, is, was+0.01)
			require.Less(t, after.late, before.late)
		}
	}
}

// TestRefusalOfLateRequests guards against the refusal of a late request that takes nobody's place,
// or that may have run, and against a Retry-After before the queue has room.
func TestRefusalOfLateRequests(t *testing.T) {
	q := New(1)
	q.SetRefuseLate(true)
	offer := func(now time.Duration, r *Request) Decision {
		d, _ := q.Offer(now, r)
		return d
	}
	require.Equal(t, Start, offer(0, request(0, 0, time.Second, 9*time.Second)))
	late := request(0, 0, 50*ms, 9*time.Second)
	require.Equal(t, Wait, offer(0, late), "nobody was made late")
	q.Done(400 * ms)
	start, refuse := q.Next(400 * ms)
	require.Equal(t, []*Request{late}, start)
	require.Empty(t, refuse)
	for i := range 4 {
		require.Equal(t, Wait, offer(400*ms, request(0, 400*ms, 400*ms+time.Duration(i), 9*time.Second)))
	}
	sent := request(0, 400*ms, 50*ms, 9*time.Second)
	sent.MayHaveRun = true
	require.Equal(t, Wait, offer(400*ms, sent))
	// 0.5 s later the four have become late, while the demand is 6 requests of 0.4 s a second.
	_, refuse = q.Next(900 * ms)
	require.Len(t, refuse, 4)
	for _, r := range refuse {
		require.True(t, r.Late)
		require.GreaterOrEqual(t, r.RetryAfter, 400*ms, "those ahead go first")
	}
	require.Equal(t, Refuse, offer(900*ms, request(0, 0, 50*ms, 9*time.Second)))
	require.Equal(t, Wait, offer(900*ms, request(0, 900*ms, time.Second, 9*time.Second)))
	require.Equal(t, Wait, offer(2500*ms, request(0, 0, 50*ms, 9*time.Second)), "the overload has passed")
}

// TestFlowsOfOnePriority guards against a route that loses its debt to another one of its priority
// because a more urgent route was served meanwhile.
func TestFlowsOfOnePriority(t *testing.T) {
	s := NewShares()
	flood, small, urgent := Flow{Route: "flood", Priority: 1}, Flow{Route: "small", Priority: 1}, Flow{Route: "urgent"}
	for _, f := range []Flow{flood, small, urgent} {
		s.Arrive(0, f)
	}
	s.Start(flood, time.Second)
	for range 10 {
		s.Start(urgent, time.Second)
	}
	require.Greater(t, s.Rank(flood), s.Rank(small))
}
