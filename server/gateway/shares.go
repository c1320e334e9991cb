package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/admission"
)

// fairShares are the shares of the flows of one service on this VM, for concurrent use. nil stands
// for none.
type fairShares struct {
	metrics *Metrics
	// overload says whether workspaces, and without them routes, are flows; requests keep their
	// order by arrival if they are not.
	overload Overload
	// hasWorkspaces means that the configuration has workspaces.
	hasWorkspaces *atomic.Bool

	mu     sync.Mutex
	shares *admission.Shares
	// labelled holds the workspaces with a label of their own.
	labelled map[api.WorkspaceName]bool
}

// active reports whether requests are ordered by shares.
func (s *fairShares) active() bool {
	if s == nil {
		return false
	}
	if s.hasWorkspaces.Load() {
		return s.overload.Fair
	}
	return s.overload.FairRoutes
}

// Arrive implements admission.Sharer. The queues of the upstreams have a clock each, the shares
// one for all.
func (s *fairShares) Arrive(_ time.Duration, flow admission.Flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.Arrive(bootTime(), flow)
}

// Start implements admission.Sharer.
func (s *fairShares) Start(flow admission.Flow, work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.Start(flow, work)
}

// Rank implements admission.Sharer.
func (s *fairShares) Rank(flow admission.Flow) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shares.Rank(flow)
}

// recordRefusal counts a request of a workspace that was refused while it waited.
func (s *fairShares) recordRefusal(p admissionParams) {
	if !s.active() || !s.hasWorkspaces.Load() {
		return
	}
	s.metrics.fairRefusals.WithLabelValues(s.label(p.flow.Workspace)).Inc()
}

// flow returns the flow of a request. The failure domain of a caller is known of requests that an
// isolated VM has passed on: it is that VM's. The other callers of a VM are one domain.
func (h *requestHandler) flow(q *request) admission.Flow {
	if q.hasWorkspaces() {
		return admission.Flow{Workspace: q.workspaceName()}
	}
	return admission.Flow{Route: q.route.Name, Domain: q.callerDomain, Priority: q.priority()}
}

// label returns the label of a workspace in metrics.
func (s *fairShares) label(name api.WorkspaceName) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.labelled[name] && len(s.labelled) >= maxWorkspaceLabels {
		return otherWorkspaces
	}
	s.labelled[name] = true
	return string(name)
}

// sharesOf returns the shares of a service, nil without Overload.Fair and FairRoutes. Only the control goroutine
// calls it.
func (c *control) sharesOf(service api.ServiceName) *fairShares {
	if !c.overload.Fair && !c.overload.FairRoutes {
		return nil
	}
	if c.shares == nil {
		c.shares = make(map[api.ServiceName]*fairShares)
	}
	s := c.shares[service]
	if s == nil {
		s = &fairShares{metrics: c.metrics, overload: c.overload, hasWorkspaces: &c.hasWorkspaces, shares: admission.NewShares(), labelled: make(map[api.WorkspaceName]bool)}
		c.shares[service] = s
	}
	return s
}
