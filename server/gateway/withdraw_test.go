package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// TestWaitingRequestsLeaveUnusableUpstream guards against a request that waits for its turn in the
// limiter of an upstream which drains meanwhile, before it goes elsewhere: no slot becomes free here.
func TestWaitingRequestsLeaveUnusableUpstream(t *testing.T) {
	for what, change := range map[string]func(*state, *upstream){
		"draining": editRegistration(func(r *registration) { r.Draining = true }),
		"removed":  editRegistration(func(r *registration) { r.removed = true }),
		"replaced": func(s *state, u *upstream) { delete(s.upstreams, u.id) },
		"domain out": func(s *state, u *upstream) {
			editRegistration(func(r *registration) { r.Domain = "zone-b" })(s, u)
			s.domainsOut["zone-b"] = true
		},
	} {
		for path, service := range map[string]string{keyedPath: "keyed", plainPath: "plain"} {
			t.Run(service+" "+what, func(t *testing.T) {
				key := -1
				if path == keyedPath {
					key = 1
				}
				d := newDeployment(t)
				d.addUpstream("first", service)
				g := d.startVM("vm-a")
				h := g.handler
				d.requireServed(g, path, key)
				u := g.control.view().upstreams["first"]
				limit := int(u.limit.Load())
				for range limit {
					require.NoError(t, h.acquire(t.Context(), newTestRequest(t, g, path, key), u))
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				chosen, q, v := make(chan *upstream, 1), newTestRequest(t, g, path, key), g.control.view()
				go func() {
					sent, _ := h.await(ctx, q, v, nil)
					chosen <- sent
				}()
				d.eventually(func() bool { return u.limiter.load() == limit+1 }, "the request waits for a slot")
				d.addUpstream("second", service)
				d.eventually(func() bool { return g.control.view().upstreams["second"] != nil }, "another upstream is known")
				apply(g, func(s *state) { change(s, u) })
				d.eventually(func() bool { return u.limiter.load() == limit }, "the request waits no longer")
				require.ErrorIs(t, h.acquire(ctx, newTestRequest(t, g, path, key), u), errUnusable, "nothing else waits there")
				if service == "plain" {
					require.Equal(t, api.UpstreamID("second"), (<-chosen).id)
				}
			})
		}
	}
}

// TestUsableAgain guards against an upstream that gets no requests after it has drained for a moment.
func TestUsableAgain(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	u := g.control.view().upstreams["p1"]
	apply(g, func(s *state) { editRegistration(func(r *registration) { r.Draining = true })(s, u) })
	require.ErrorIs(t, g.handler.acquire(t.Context(), newTestRequest(t, g, plainPath, -1), u), errUnusable)
	ended, end := context.WithCancel(t.Context())
	end()
	require.ErrorIs(t, g.handler.acquire(ended, newTestRequest(t, g, plainPath, -1), u), context.Canceled, "a request that has ended chooses no other")
	apply(g, func(s *state) { editRegistration(func(r *registration) { r.Draining = false })(s, u) })
	resp, _ := d.do(g, "POST", plainPath, -1, 10*time.Second)
	require.Equal(t, 200, resp.StatusCode)
}
