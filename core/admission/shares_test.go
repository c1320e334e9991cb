package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// serviceRoutes are the routes of the services of the deployments B and C.
var serviceRoutes = [][]simRoute{
	{
		{share: 0.6, priority: 0, work: 120 * ms, target: 500 * ms, deadline: 2500 * ms, late: 0.04},
		{share: 0.3, priority: 1, work: 160 * ms, target: 800 * ms, deadline: 3 * time.Second, late: 0.1},
		{share: 0.1, priority: 2, work: 96 * ms, target: 2500 * ms, deadline: 5 * time.Second, late: 0.15},
	},
	{
		{share: 0.4, priority: 1, work: 66 * ms, target: 300 * ms, deadline: 1200 * ms, late: 0.3},
		{share: 0.6, priority: 2, work: 160 * ms, target: 500 * ms, deadline: 2 * time.Second, late: 0.3},
	},
}

// TestNoPriorityInversion guards against a route that is served less often than a less urgent one
// of the same service because that one has a longer deadline, and against an order that costs
// callers more than the order by arrival time.
func TestNoPriorityInversion(t *testing.T) {
	for _, routes := range serviceRoutes {
		for _, keyed := range []bool{true, false} {
			for _, load := range []float64{1.2, 2} {
				p := simParams{vms: 4, upstreams: 20, keyed: keyed, load: load, policy: independent, rejection: resets, routes: routes, length: 8 * time.Second}
				before := simulate(p)
				p.fair = true
				after := simulate(p)
				was, is := 0.0, 0.0
				for i, c := range after.byRoute {
					was += before.byRoute[i].worth(routes[i].late) * routes[i].share
					is += c.worth(routes[i].late) * routes[i].share
					t.Logf("keyed=%v load=%.1f priority=%d served=%.3f, by arrival time %.3f", keyed, load, routes[i].priority, c.served(), before.byRoute[i].served())
					for _, less := range after.byRoute[i+1:] {
						require.Less(t, less.served(), c.served()+0.05)
					}
				}
				t.Logf("keyed=%v load=%.1f worth=%.3f, by arrival time %.3f", keyed, load, is, was)
				require.Greater(t, is, was-0.01)
			}
		}
	}
}

// TestFloodOfOneWorkspace guards against a workspace that sends 7.5 times its usual load and
// starves the others.
func TestFloodOfOneWorkspace(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		p := simParams{vms: 4, upstreams: 20, keyed: keyed, load: 1.2, policy: independent, rejection: resets, workspaces: 10, flood: 7.5, length: 20 * time.Second}
		before := simulate(p)
		p.fair = true
		after := simulate(p)
		served := func(r simResult) (flooding, worst, others float64) {
			worst = 1
			for _, c := range r.byWorkspace[1:] {
				worst = min(worst, c.served())
				others += c.served() / float64(len(r.byWorkspace)-1)
			}
			return r.byWorkspace[0].served(), worst, others
		}
		_, _, othersBefore := served(before)
		flooding, worst, others := served(after)
		t.Logf("keyed=%v flooding=%.3f others=%.3f worst=%.3f, by arrival time others=%.3f", keyed, flooding, others, worst, othersBefore)
		require.Greater(t, others, othersBefore+0.03)
		require.Greater(t, others, flooding+0.05)
		require.Greater(t, worst, 0.8*others)
		require.Greater(t, after.worth(), before.worth()-0.01)
	}
}

// TestSharesAreBounded guards against memory that grows with the workspaces that ever sent a
// request, and against a debt that a workspace loses by a short pause.
func TestSharesAreBounded(t *testing.T) {
	s := NewShares()
	now := time.Duration(0)
	for i := range 10000 {
		now += 100 * ms
		name := Flow{Workspace: api.WorkspaceName(strconv.Itoa(i))}
		s.Arrive(now, name)
		s.Start(name, 100*ms)
	}
	// Each stays for the time in which its demand decays from 1 to forgottenDemand, 3 minutes.
	require.Less(t, s.Len(), 2000)
	require.Equal(t, 10000, s.Len()+s.Forgotten())

	s = NewShares()
	large, small := Flow{Workspace: "large"}, Flow{Workspace: "small"}
	for range 10 {
		s.Arrive(0, large)
		s.Start(large, time.Second)
	}
	s.Arrive(0, small)
	require.Greater(t, s.Rank(large), s.Rank(small))
	s.Arrive(2*time.Second, small)
	require.Greater(t, s.Rank(large), s.Rank(small))
}

// TestOrderByShares guards against requests without a workspace that are ordered otherwise than by
// target, priority and remaining time.
func TestOrderByShares(t *testing.T) {
	q := New(1)
	q.SetShares(NewShares())
	q.Offer(0, request(0, 0, time.Second, 2*time.Second))
	late := request(0, 0, 50*ms, 2*time.Second)
	low := request(2, 0, time.Second, 2*time.Second)
	longer := request(0, 0, time.Second, 3*time.Second)
	high := request(0, 10*ms, time.Second, 2*time.Second)
	for _, r := range []*Request{late, low, longer, high} {
		d, _ := q.Offer(10*ms, r)
		require.Equal(t, Wait, d)
	}
	for _, want := range []*Request{high, longer, low, late} {
		q.Done(100 * ms)
		start, refuse := q.Next(100 * ms)
		require.Empty(t, refuse)
		require.Equal(t, []*Request{want}, start)
	}
}
