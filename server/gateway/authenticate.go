package gateway

import (
	"maps"
	"net/http"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
)

// authorizationRemedy is the remedy in a refusal with 401. It is the same for all causes, so that
// a caller cannot find out which keys exist.
const authorizationRemedy = "send the header " + fleet.HeaderAuthorization + ": " + fleet.AuthorizationScheme + " KEY with a key of a workspace"

// Causes of refusals with 401, in a counter for operators.
const (
	causeMissing   = "missing"   // no credentials
	causeMalformed = "malformed" // another scheme, no key, or repeated credentials
	causeUnknown   = "unknown"   // no workspace holds the key
	causeRevoked   = "revoked"   // the key was removed after the request had arrived
)

// unauthorizedError names the cause of a refusal with 401 in the log. Callers do not get it.
type unauthorizedError string

// Error implements error.
func (e unauthorizedError) Error() string {
	return "the credentials are " + string(e) + ": see " + namespace + "_" + unauthorizedRequests
}

// authentication is what a configuration says of the credentials of a request.
type authentication struct {
	// config is the configuration that was asked last.
	config *routing.Configuration
	// needsKey means that the route is not public; cause is why the request has no workspace.
	needsKey bool
	cause    string
	// refusal is the outcome of a request that is not authorized.
	refusal outcome
}

// authorized reports whether a request may be sent according to the configuration of a view, and
// sets its workspace. If it may not, q.auth.refusal is its outcome. Call it on arrival and, with
// the present view, after each wait: keys are added and removed meanwhile, or move to another
// workspace.
func (h *requestHandler) authorized(q *request, v *view) bool {
	if q.auth.config != v.config {
		h.authenticate(q, v.config)
	}
	failure := h.checkAuthorization(q)
	if failure.status == 0 {
		return true
	}
	if failure.reason == unauthorized {
		h.metrics.unauthorized.WithLabelValues(q.auth.cause).Inc()
	}
	q.auth.refusal = failure
	return false
}

// checkAuthorization returns an outcome with a status if a request may not be sent under the keys of
// the configuration that was asked last. It changes nothing.
func (h *requestHandler) checkAuthorization(q *request) outcome {
	switch {
	case !q.auth.needsKey:
		return outcome{}
	case h.bounds.RevokeStrict && !h.configurationConfirmed():
		return outcome{reason: unconfirmed, status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter}
	case q.workspace == nil:
		return outcome{reason: unauthorized, status: http.StatusUnauthorized, err: unauthorizedError(q.auth.cause)}
	}
	return outcome{}
}

// authenticate finds the workspace of a request in a configuration.
func (h *requestHandler) authenticate(q *request, config *routing.Configuration) {
	had := q.workspace != nil
	q.auth.config, q.auth.needsKey, q.workspace = config, false, nil
	if !config.HasWorkspaces() {
		return
	}
	route := config.Match(q.http.Host, q.http.URL.EscapedPath())
	if route == nil {
		route = q.route // removed while the request waits
	}
	q.workspace = config.Authenticate(q.params.APIKey)
	q.auth.needsKey = !route.Public
	switch {
	case had:
		q.auth.cause = causeRevoked
	case !q.params.HasCredentials:
		q.auth.cause = causeMissing
	case q.params.APIKey == "":
		q.auth.cause = causeMalformed
	default:
		q.auth.cause = causeUnknown
	}
}

// configurationConfirmed reports whether the configuration was confirmed as current within
// Bounds.Revoke.
func (h *requestHandler) configurationConfirmed() bool {
	age, known := h.configurationAge()
	return known && age <= h.bounds.Revoke.AsDuration()
}

// hasWorkspaces reports whether the configuration that was asked last has workspaces.
func (q *request) hasWorkspaces() bool { return q.auth.config != nil && q.auth.config.HasWorkspaces() }

// upstreamHeader returns the header for upstreams: that of the caller, in a deployment with
// workspaces without credentials and with the name of the workspace.
func (q *request) upstreamHeader() http.Header {
	if !q.hasWorkspaces() {
		return q.header
	}
	header := maps.Clone(q.header)
	fleet.SetWorkspace(header, q.workspaceName())
	return header
}

// workspaceName returns the name of the request's workspace, empty if it has none.
func (q *request) workspaceName() api.WorkspaceName {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// authorize returns an outcome with a status if a request may not be sent under the keys of the
// configuration of a view.
func (h *requestHandler) authorize(q *request, v *view) outcome {
	if h.authorized(q, v) {
		return outcome{}
	}
	return q.auth.refusal
}

// credentials returns the caller's credentials for another VM that sends the request, nil in a
// deployment without workspaces: there they are a header like others.
func (q *request) credentials() []string {
	if !q.hasWorkspaces() {
		return nil
	}
	return q.http.Header.Values(fleet.HeaderAuthorization)
}
