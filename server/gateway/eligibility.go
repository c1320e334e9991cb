package gateway

import (
	"net/http"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/core/shardmap"
)

// A request is checked when its upstream is chosen and again after each wait, with the view of
// that moment: upstreams drain, failure domains go out, keys move and configurations change while
// requests wait for a slot, a time slot, a trial or their body.

// claimSend decides after a wait whether the chosen upstream may get the request, and uses the time
// slot of a cold upstream. Package crash decides on quarantine when the run is recorded, which
// follows, and again in mayStillSend.
func (h *requestHandler) claimSend(q *request, v *view, u *upstream) bool {
	boot := bootTime()
	if !h.mayReceive(q, v, u, boot) || !h.takeColdSlot(q, v, u, boot) {
		return false
	}
	if q.coldSlotOf = nil; u.isCold(q.service, boot) {
		q.coldSlotOf = u
	}
	return true
}

// mayStillSend decides again after the wait for a connection. A time slot that was used before
// counts.
func (h *requestHandler) mayStillSend(q *request, u *upstream) bool {
	if !h.crashes.mayContinue(q.fingerprint) {
		return false
	}
	v, workspace := h.view(), q.workspaceName()
	if failure := h.checkRequest(q, v); failure.status != 0 || q.workspaceName() != workspace {
		// The header of the request names the workspace that the key had.
		return false
	}
	why, _ := h.checkUpstream(q, v, u, bootTime())
	return why == "" || why == cold && q.coldSlotOf == u
}

// mayReceive decides whether an upstream may get a request at a time of bootTime.
func (h *requestHandler) mayReceive(q *request, v *view, u *upstream, boot time.Duration) bool {
	if failure := h.checkRequest(q, v); failure.status != 0 {
		return false
	}
	why, _ := h.checkUpstream(q, v, u, boot)
	return why == ""
}

// checkRequest decides whether a request may be sent at all, whatever the upstream. Under a newer
// configuration it gets the route, and if need be the service, that this one names. The outcome of a
// request that may not be sent has a status.
func (h *requestHandler) checkRequest(q *request, v *view) outcome {
	if q.remaining() <= 0 {
		return outcome{reason: timeoutUnsent, status: http.StatusServiceUnavailable}
	}
	if q.hasRoom != nil && !q.hasRoom() {
		return outcome{reason: messagesFull, status: http.StatusServiceUnavailable, retryAfter: otherVMRetryAfter}
	}
	if q.agreed != 0 && v.configVersion() != q.agreed {
		return outcome{reason: newerConfiguration, status: http.StatusServiceUnavailable}
	}
	if v.config != q.config {
		if failure := h.route(q, v); failure.status != 0 {
			return failure
		}
	}
	return h.authorize(q, v)
}

// checkUpstream decides whether an upstream may get a request at a time of bootTime. It returns
// why not, and the time until it may if that is known. checkRequest has passed.
func (h *requestHandler) checkUpstream(q *request, v *view, u *upstream, boot time.Duration) (why reason, wait time.Duration) {
	switch reg := u.registration.Load(); {
	case v.upstreams[u.id] != u || reg.Service != q.service.Name || !v.usable(u):
		return noUpstream, 0
	case q.service.Keyed && v.owners[q.service.Name].owner(q.params.Key) != u.id:
		return noOwner, 0
	case h.drained(u):
		return ownerLeaving, 0
	}
	rest, untilSlot := u.restRemaining(), h.coldWait(q, v, u, boot)
	switch {
	case rest > 0:
		return resting, max(rest, untilSlot)
	case untilSlot > 0:
		return cold, untilSlot
	}
	return "", 0
}

// checkRoute decides whether a request may be passed to another VM, which chooses the service. The
// outcome of a request that may not has a status.
func (h *requestHandler) checkRoute(q *request, v *view) outcome {
	if failure := h.matchRoute(q, v); failure.status != 0 {
		return failure
	}
	return h.authorize(q, v)
}

// matchRoute gives a request the route of the configuration of a view. The outcome of a request
// without one has a status.
func (h *requestHandler) matchRoute(q *request, v *view) outcome {
	if v.config == nil {
		return outcome{reason: noConfiguration, status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter}
	}
	route := v.config.Match(q.http.Host, q.http.URL.EscapedPath())
	if route == nil {
		status := http.StatusNotFound
		if q.proxied {
			// The VM of the caller decides by its own configuration.
			status = http.StatusServiceUnavailable
		}
		return outcome{reason: noRoute, status: status}
	}
	q.route = route
	return outcome{}
}

// route applies the configuration of a view to a request: its route, and a service that the route
// leads to. The outcome of a request without either has a status.
func (h *requestHandler) route(q *request, v *view) outcome {
	if failure := h.matchRoute(q, v); failure.status != 0 {
		return failure
	}
	name := api.ServiceName("")
	if q.service != nil && leadsTo(q.route, q.service.Name) {
		name = q.service.Name
	} else {
		name = h.pickService(q)
	}
	moved := q.service == nil || q.service.Name != name
	service := v.config.Services[name]
	if service == nil {
		return outcome{reason: noUpstream, status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter}
	}
	q.service, q.config = service, v.config
	if moved {
		q.fingerprint = shardmap.Fingerprint(name, q.http.Method, q.http.RequestURI, q.body)
		if service.Keyed && q.params.Key >= 0 {
			h.stats.recordDemand(q)
		}
	}
	return outcome{}
}

// leadsTo reports whether a route sends requests to a service.
func leadsTo(route *routing.Route, name api.ServiceName) bool {
	return slices.ContainsFunc(route.Services, func(s routing.WeightedService) bool { return s.Service == name && s.Weight > 0 })
}
