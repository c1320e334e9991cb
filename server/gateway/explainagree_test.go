package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/platform/fleet"
)

// TestExplainAgreesWithRequests guards against a refusal that is explained otherwise than a request
// gets it: each request is explained first and then handled.
func TestExplainAgreesWithRequests(t *testing.T) {
	each := func(x *explained, change func(u *upstream)) {
		for _, u := range x.control.view().upstreams {
			change(u)
		}
	}
	// The times are the same for all upstreams, since the shortest wait decides which reason is given.
	coldUntil := int64(bootTime() + time.Hour)
	makeCold := func(x *explained) { each(x, func(u *upstream) { u.statedCold.Store(coldUntil) }) }
	for name, test := range map[string]struct {
		reason  reason
		prepare func(x *explained)
		path    string
		header  http.Header
	}{
		"no route":      {noRoute, func(*explained) {}, "/nowhere", nil},
		"stopping":      {vmStopping, func(x *explained) { x.handler.stopping.Store(true) }, plainPath, nil},
		"too late":      {vmStopping, func(x *explained) { x.handler.stopBy(time.Now()) }, plainPath, nil},
		"no key":        {unauthorized, func(*explained) {}, plainPath, http.Header{fleet.HeaderAuthorization: nil}},
		"over quota":    {overQuota, func(x *explained) { x.control.quotas.now = func() time.Duration { return time.Hour } }, plainPath, nil},
		"resting":       {resting, func(x *explained) { each(x, func(u *upstream) { u.rest(time.Hour) }) }, plainPath, nil},
		"owner resting": {resting, func(x *explained) { each(x, func(u *upstream) { u.rest(time.Hour) }) }, keyedPath, nil},
		"cold":          {cold, makeCold, plainPath, nil},
		"owner cold":    {cold, makeCold, keyedPath, nil},
		"draining":      {noUpstream, func(x *explained) { each(x, func(u *upstream) { u.registration.Load().Draining = true }) }, plainPath, nil},
		"owner drained": {ownerLeaving, func(x *explained) {
			x.control.movesPaused.Store(true)
			each(x, func(u *upstream) { u.leavingSince.Store(int64(bootTime() - time.Minute)) })
		}, keyedPath, nil},
		"no owner": {noOwner, func(*explained) {}, keyedPath, http.Header{fleet.HeaderKey: {"500"}, fleet.HeaderDeadlineMs: {"100"}}},
		"bad key":  {badRequest, func(*explained) {}, keyedPath, http.Header{fleet.HeaderKey: {"-1"}}},
		"busy": {busy, func(x *explained) {
			u := x.control.view().upstreams["k-owner"]
			u.limit.Store(1)
			p := admissionParams{arrived: time.Now(), target: time.Now().Add(time.Hour), deadline: time.Now().Add(time.Hour)}
			require.True(t, u.limiter.tryAcquire(p))
			u.limiter.release(time.Hour, capacityUnknown)
			require.True(t, u.limiter.tryAcquire(p))
		}, keyedPath, nil},
	} {
		t.Run(name, func(t *testing.T) {
			x := newExplained(t)
			header := http.Header{fleet.HeaderAuthorization: {fleet.AuthorizationScheme + " secret-key"}, fleet.HeaderKey: {"7"}}
			for field, values := range test.header {
				header[field] = values
			}
			test.prepare(x)
			got, err := x.ask(t, ExplainRequest{Method: http.MethodGet, Host: testHost, Path: test.path, Header: header})
			require.NoError(t, err)
			refusal := got.Refusal
			if refusal == nil {
				require.Len(t, got.Services, 1)
				refusal = got.Services[0].Refusal
				require.Equal(t, api.UpstreamID(""), got.Services[0].Selected)
			}
			require.NotNil(t, refusal)
			require.Equal(t, string(test.reason), refusal.Reason)
			r := httptest.NewRequest(http.MethodGet, "http://"+testHost+test.path, nil)
			r.Header = header
			w := httptest.NewRecorder()
			x.handler.ServeHTTP(w, r)
			require.Equal(t, w.Code, refusal.Status)
			require.Contains(t, w.Body.String(), `"reason":"`+refusal.Reason+`"`)
			require.Equal(t, w.Header().Get("Retry-After") != "", refusal.RetryAfterMs > 0)
			require.Zero(t, x.arrived.Load())
		})
	}
}
