package gateway

import (
	"dandelionhill.dev/api"
	"dandelionhill.dev/core/hedge"
)

// ExplainPath is the path at which a VM explains what it would do with a request, at its address for
// other VMs.
const ExplainPath = StatusPath + "/explain"

// maxExplainBytes bounds the description of a request to explain.
const maxExplainBytes = maxHeaderBytes

// ExplainRequest describes a request, without a body.
type ExplainRequest struct {
	Method string              `json:"method"`
	Host   string              `json:"host"`
	Path   string              `json:"path"`
	Header map[string][]string `json:"header,omitempty"`
	// Workspace stands for a key of that workspace in the header.
	Workspace api.WorkspaceName `json:"workspace,omitempty"`
}

// Explanation is what a VM would do with a request now. Times are in milliseconds.
type Explanation struct {
	VM                   api.VMID          `json:"vm"`
	FailureDomain        api.FailureDomain `json:"failure_domain"`
	ConfigurationVersion int64             `json:"configuration"`
	Route                *RouteExplanation `json:"route,omitempty"`
	Workspace            api.WorkspaceName `json:"workspace,omitempty"`
	// QuotaWaitMs is for how long at most the request would wait for a token of its workspace.
	QuotaWaitMs int64 `json:"quota_wait_ms,omitempty"`
	// Isolated means that the VM reaches no upstream and would pass the request to another VM.
	Isolated bool `json:"isolated,omitempty"`
	// Refusal is set if the request would be refused whatever its service.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Services holds what would happen at each service to which the route leads.
	Services []ServiceExplanation `json:"services,omitempty"`
}

// RouteExplanation describes the route of a request.
type RouteExplanation struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Repeatable  bool   `json:"repeatable"`
	Public      bool   `json:"public,omitempty"`
	Priority    int    `json:"priority"`
	TargetMs    int64  `json:"target_ms,omitempty"`
	TimeoutMs   int64  `json:"timeout_ms"`
	MaxAttempts int    `json:"max_attempts"`
}

// Refusal is the response that a caller would get from the VM.
type Refusal struct {
	Reason string `json:"reason"`
	Status int    `json:"status"`
	// RetryAfterMs is 0 without advice. The VM spreads it by jitter.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Remedy       string `json:"remedy,omitempty"`
}

// ServiceExplanation says what would happen to a request at one service.
type ServiceExplanation struct {
	Service api.ServiceName `json:"service"`
	// Share is the share of the route's requests; Next means that the next one would go here.
	Share float64 `json:"share"`
	Next  bool    `json:"next"`
	Keyed bool    `json:"keyed"`
	// Owner is set for a service with keys.
	Owner *OwnerExplanation `json:"owner,omitempty"`
	// Selected is the upstream that would get the request, empty if none would now.
	Selected api.UpstreamID `json:"selected,omitempty"`
	// WaitMs is for how long the request would wait, as far as the VM knows, and WaitFor why.
	WaitMs  int64    `json:"wait_ms,omitempty"`
	WaitFor string   `json:"wait_for,omitempty"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Candidates holds the upstreams of the service. Of a service with keys it holds the owner.
	Candidates []CandidateExplanation `json:"candidates"`
	Hedging    HedgingExplanation     `json:"hedging"`
	Retries    RetriesExplanation     `json:"retries"`
}

// OwnerExplanation is the owner of a key by the table of the granter that the VM knows, which holds
// no fences: those are in the store.
type OwnerExplanation struct {
	Key      int            `json:"key"`
	Upstream api.UpstreamID `json:"upstream,omitempty"`
	Term     int64          `json:"term"`
	Version  int64          `json:"version"`
	// First and Last bound the span of keys that has this owner.
	First int `json:"first"`
	Last  int `json:"last"`
}

// CandidateExplanation says why an upstream was selected or passed over.
type CandidateExplanation struct {
	Upstream      api.UpstreamID    `json:"upstream"`
	FailureDomain api.FailureDomain `json:"failure_domain"`
	Selected      bool              `json:"selected"`
	// Reason is why it was passed over.
	Reason string `json:"reason,omitempty"`
	// WaitMs is the time until it may get the request, if that is known.
	WaitMs int64 `json:"wait_ms,omitempty"`
	// CostMs is the expected latency, raised after failures; 0 if the VM did not compute it.
	CostMs      float64 `json:"cost_ms,omitempty"`
	LatencyMs   float64 `json:"latency_ms,omitempty"`
	Ahead       float64 `json:"ahead"`
	Slots       int     `json:"slots,omitempty"`
	FailureRate float64 `json:"failure_rate,omitempty"`
	Local       bool    `json:"local"`
}

// HedgingExplanation says whether and when a second upstream would get the request.
type HedgingExplanation struct {
	// AfterMs is the time at the first upstream after which it would, Upstream the one that would get
	// it now.
	AfterMs  int64          `json:"after_ms,omitempty"`
	Upstream api.UpstreamID `json:"upstream,omitempty"`
	// Skip is why it would not.
	Skip hedge.Skip `json:"skip,omitempty"`
}

// hedgingOff is the Skip of a VM that hedges no requests.
const hedgingOff hedge.Skip = "off"

// RetriesExplanation says how often the request may be sent again after a failure.
type RetriesExplanation struct {
	// AfterRun is the number of further sends after one that may have run it, NotRun that after one
	// that has not.
	AfterRun int `json:"after_run"`
	NotRun   int `json:"not_run"`
	// Budget means that the retry budget of the service allows one now.
	Budget bool `json:"budget"`
}
