package gateway

import (
	"net/http"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/selection"
)

// The decisions of this file change nothing. Requests are sent by them, and explain shows them.

// considered is what the choice of an upstream found about one of them.
type considered struct {
	upstream *upstream
	// why is the reason why the upstream may not get the request, and wait the time until it may if
	// that is known. later means that it gets the request only if no other may.
	why   reason
	wait  time.Duration
	later bool
	// candidate is what its cost is computed from, unless why or later says that it is none.
	candidate selection.Candidate
	// permitWait is the time until a permit of its limit.
	permitWait time.Duration
	// unconfirmed means that the request finds out whether its limit has ended.
	unconfirmed bool
}

// rankUpstreams returns the upstream with the lowest expected latency, with a preference for
// the VM's own failure domain. It avoids the given upstreams unless no other is usable.
// If there is none, it returns after which time there may be, and the cause. It calls note for each
// upstream that it considers, in the second pass again.
func (h *requestHandler) rankUpstreams(q *request, v *view, avoid map[api.UpstreamID]bool, note func(considered)) (best *upstream, retryAfter time.Duration, cause reason) {
	cause = noUpstream
	now, boot := time.Now(), bootTime()
	expected := h.stats.expectedLatency(q.route.Name)
	var choice, limitedChoice selection.Choice[*upstream]
	for pass := range 2 {
		for _, u := range v.services[q.service.Name] {
			if pass == 0 && (avoid[u.id] || u.isLeaving()) {
				note(considered{upstream: u, later: true})
				continue
			}
			if why, wait := h.checkUpstream(q, v, u, boot); why != "" {
				if wait > 0 && (retryAfter == 0 || wait < retryAfter) {
					retryAfter, cause = wait, why
				}
				note(considered{upstream: u, why: why, wait: wait})
				continue
			}
			candidate := u.candidate(now, expected, h.domain)
			if wait := u.limiter.permitWait(); wait > 0 {
				candidate.Latency += wait.Seconds()
				limitedChoice.Add(u, candidate)
				note(considered{upstream: u, candidate: candidate, permitWait: wait})
				continue
			}
			if h.limits.isUnconfirmed(u, boot) {
				best = u
				note(considered{upstream: u, candidate: candidate, unconfirmed: true})
				break
			}
			choice.Add(u, candidate)
			note(considered{upstream: u, candidate: candidate})
		}
		if best == nil {
			best, _ = choice.Best(localAllowance(q.route))
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		best, _ = limitedChoice.Best(localAllowance(q.route))
	}
	return best, retryAfter, cause
}

// noCandidate is the outcome of a request that no upstream of its service may get.
func noCandidate(cause reason, retryAfter time.Duration) outcome {
	return outcome{reason: cause, status: http.StatusServiceUnavailable, retryAfter: max(retryAfter, shortRetryAfter)}
}

// noKey is the outcome of a request without a key for a service with keys.
var noKey = outcome{reason: badRequest, status: http.StatusBadRequest}

// checkOwner returns the upstream that owns the key of a request, nil if it is not known, why it may
// not get the request now, and the time until it may if that is known.
func (h *requestHandler) checkOwner(q *request, v *view) (u *upstream, why reason, untilReady time.Duration) {
	u = v.upstreams[v.owners[q.service.Name].owner(q.params.Key)]
	if u == nil {
		return nil, noOwner, 0
	}
	why, untilReady = h.checkUpstream(q, v, u, bootTime())
	return u, why, untilReady
}

// ownerWaitEnd returns until when a request waits for a time slot of a cold owner.
func ownerWaitEnd(q *request) time.Time { return time.Now().Add(min(maxOwnerWait, q.remaining()/2)) }

// ownerWait returns for how long a request waits whose owner may not get it, or the outcome with
// which it is refused. absentFor returns for how long its key has had no owner.
func (h *requestHandler) ownerWait(q *request, why reason, untilReady time.Duration, waitUntil time.Time, absentFor func(*request) time.Duration) (pause time.Duration, failure outcome) {
	switch {
	case why == resting && untilReady > h.spareTime(q), why == cold && time.Now().Add(untilReady).After(waitUntil):
		return 0, outcome{reason: why, status: http.StatusServiceUnavailable, retryAfter: untilReady}
	case why == resting, why == cold:
		return untilReady, outcome{}
	case why == ownerLeaving && h.movesPaused.Load():
		return 0, outcome{reason: ownerLeaving, status: http.StatusServiceUnavailable, retryAfter: ownerForecast.Loss}
	}
	pause, retryAfter := ownerForecast.Decide(absentFor(q), h.spareTime(q))
	if pause == 0 {
		return 0, outcome{reason: noOwner, status: http.StatusServiceUnavailable, retryAfter: retryAfter}
	}
	return pause, outcome{}
}
