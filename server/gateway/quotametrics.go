package gateway

import (
	"cmp"
	"slices"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/routing"
)

const (
	// maxWorkspaceLabels bounds the workspaces that have a label of their own in metrics.
	maxWorkspaceLabels = 20
	// otherWorkspaces is the label of the others.
	otherWorkspaces = "other"
)

// count counts a request of a workspace by result and returns its counts; s.mu is held.
func (s *quotas) count(name api.WorkspaceName, result string) *quotaCounts {
	c := s.counts[name]
	if c == nil {
		c = &quotaCounts{}
		s.counts[name] = c
	}
	label := otherWorkspaces
	if s.labels[name] {
		label = string(name)
	}
	s.metrics.workspaceRequests.WithLabelValues(label, result).Inc()
	return c
}

// configure determines which workspaces have a label of their own, those with the highest rates,
// and forgets the counts of workspaces that were removed.
func (s *quotas) configure(config *routing.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if config == nil || config == s.config {
		return
	}
	s.config = config
	largest := make([]*routing.Workspace, 0, len(config.Workspaces))
	for _, w := range config.Workspaces {
		if w.Rate > 0 {
			largest = append(largest, w)
		}
	}
	slices.SortFunc(largest, func(a, b *routing.Workspace) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	previous := s.labels
	s.labels = make(map[api.WorkspaceName]bool)
	for _, w := range largest[:min(len(largest), maxWorkspaceLabels)] {
		s.labels[w.Name] = true
	}
	for name := range previous {
		if !s.labels[name] {
			s.metrics.workspaceRequests.DeletePartialMatch(map[string]string{"workspace": string(name)})
		}
	}
	for name := range s.counts {
		if config.Workspaces[name] == nil {
			delete(s.counts, name)
		}
	}
}

// QuotaStatus is the state of a workspace's quota on one VM.
type QuotaStatus struct {
	// AdmittedPerS and ArrivingPerS are the present numbers of requests in a second.
	AdmittedPerS float64 `json:"admitted_per_s"`
	ArrivingPerS float64 `json:"arriving_per_s"`
	// Tokens is the number of requests that the VM may admit without asking the granter.
	Tokens int `json:"tokens"`
	// Share is the part of the rate that the VM uses while it has no granter; ShareUsed means
	// that it does.
	Share     float64 `json:"share"`
	ShareUsed bool    `json:"share_used,omitempty"`
	// Admitted, Refused and Returned count the requests of this process that got a token, that
	// were refused as over the quota, and that returned their token.
	Admitted int `json:"admitted"`
	Refused  int `json:"refused"`
	Returned int `json:"returned"`
}

// status returns the state of a workspace's quota.
func (s *quotas) status(name api.WorkspaceName) *QuotaStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := &QuotaStatus{}
	out.ArrivingPerS, out.AdmittedPerS, out.Tokens = s.client.Activity(now, name)
	out.Share, out.ShareUsed = s.client.Share(now)
	if c := s.counts[name]; c != nil {
		out.Admitted, out.Refused, out.Returned = c.admitted, c.refused, c.returned
	}
	return out
}
