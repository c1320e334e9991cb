// Package admin declares the messages of the admin HTTP interface, which
// dandelionctl uses. All bodies are JSON. Every path but /healthz and /readyz
// needs the header "Authorization: Bearer TOKEN".
//
//	GET  /v1/status                       Status
//	GET  /v1/config                       the document in force (core/config.Document)
//	POST /v1/changes[?dry_run=true]       core/config.Change -> ChangeResult
//	GET  /v1/operations/{id}              OperationStatus
//	GET  /v1/explain?service=S&key=K      Explanation
//	GET  /v1/watch?since=REV              Watch, after WatchTimeout at the latest
//
// A response with a status other than 200 holds an Error.
package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"dandelionhill.dev/api"
)

// Paths of the admin interface.
const (
	PathHealth     = "/healthz"
	PathReady      = "/readyz"
	PathStatus     = "/v1/status"
	PathConfig     = "/v1/config"
	PathChanges    = "/v1/changes"
	PathOperations = "/v1/operations/" // followed by the operation ID
	PathExplain    = "/v1/explain"
	PathWatch      = "/v1/watch"
)

// Query parameters of the admin interface.
const (
	QueryDryRun  = "dry_run"
	QueryService = "service"
	QueryKey     = "key"
	QuerySince   = "since"
)

// WatchTimeout is the longest time for which the server holds a watch request.
const WatchTimeout = 20 * time.Second

// MaxBodyBytes is the largest body of a request or a response in bytes.
const MaxBodyBytes = 32 << 20

// ErrorKind classifies an Error.
type ErrorKind string

const (
	// BadRequest: the request or the change is malformed.
	BadRequest ErrorKind = "bad_request"
	// Unauthorized: the credential is missing or wrong.
	Unauthorized ErrorKind = "unauthorized"
	// NotFound: the change or the query names something that does not exist.
	NotFound ErrorKind = "not_found"
	// Conflict: the entity was changed after the base revision.
	Conflict ErrorKind = "conflict"
	// Refused: a rule does not permit the change or its result.
	Refused ErrorKind = "refused"
	// StoreUnavailable: the table service did not respond. The effect of a change
	// is unknown until /v1/operations/{id} reports its state.
	StoreUnavailable ErrorKind = "store_unavailable"
	// Stopping: this VM is stopping; use another one.
	Stopping ErrorKind = "stopping"
	// Internal: an internal server error. The effect of a change is unknown.
	Internal ErrorKind = "internal"
)

// Error is the body of a response with a status other than 200.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message + "; remedy: " + e.Remedy
}

// Status returns the HTTP status of the error's kind.
func (e *Error) Status() int {
	switch e.Kind {
	case BadRequest:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case NotFound:
		return http.StatusNotFound
	case Conflict:
		return http.StatusConflict
	case Refused:
		return http.StatusUnprocessableEntity
	case StoreUnavailable, Stopping:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// OperationState is the progress of an operation.
type OperationState string

const (
	// StateUnknown: none of the queried VMs knows the operation. Its write may
	// still be in progress.
	StateUnknown OperationState = "unknown"
	// StatePending: written, but not yet known to more than half of the VMs.
	StatePending OperationState = "pending"
	// StateAccepted: known to more than half of the VMs; it never reverts.
	StateAccepted OperationState = "accepted"
	// StateInForce: every VM has the revision or is listed as gone.
	StateInForce OperationState = "in_force"
)

// OperationStatus is the response to GET /v1/operations/{id}.
type OperationStatus struct {
	OperationID string         `json:"operation_id"`
	State       OperationState `json:"state"`
	// Revision is the revision that the operation created; 0 when unknown.
	Revision uint64 `json:"revision,omitempty"`
	// VMs lists the VMs that have the revision or a later one.
	VMs []api.VMID `json:"vms,omitempty"`
	// Waiting lists the VMs that may still send work under an older revision.
	Waiting []api.VMID `json:"waiting,omitempty"`
}

// Difference is one entity that a change adds, removes or changes.
type Difference struct {
	Entity string `json:"entity"`
	Kind   string `json:"kind"` // added, removed or changed
}

// ChangeResult is the response to POST /v1/changes. With dry_run the operation
// has the state unknown, because nothing was written.
type ChangeResult struct {
	OperationStatus
	DryRun      bool         `json:"dry_run,omitempty"`
	Differences []Difference `json:"differences,omitempty"`
}

// Status is the response to GET /v1/status: the deployment as known to one VM.
type Status struct {
	// VM is the VM that responds.
	VM           api.VMID          `json:"vm"`
	Version      string            `json:"version"`
	Region       string            `json:"region"`
	Revision     uint64            `json:"revision"`
	ActivePreset string            `json:"active_preset"`
	Presets      []string          `json:"presets"`
	Domains      []DomainStatus    `json:"failure_domains"`
	VMs          []VMStatus        `json:"vms"`
	Services     []api.ServiceName `json:"services"`
	Shards       []ShardStatus     `json:"shards"`
	Upstreams    []UpstreamStatus  `json:"upstreams"`
}

// DomainStatus describes a failure domain.
type DomainStatus struct {
	Name api.FailureDomain `json:"name"`
	Out  bool              `json:"out"`
}

// VMStatus describes an entry VM.
type VMStatus struct {
	ID            api.VMID          `json:"id"`
	FailureDomain api.FailureDomain `json:"failure_domain"`
	// State is alive, suspect, unreachable, dead or leaving.
	State string `json:"state"`
	// Out is true when operators have taken the VM out.
	Out bool `json:"out"`
	// Revision is the configuration revision that the VM last reported.
	Revision uint64 `json:"revision"`
}

// ShardStatus describes a shard.
type ShardStatus struct {
	Shard api.ShardID `json:"shard"`
	// Holder is empty when no VM is known to hold the shard.
	Holder  api.VMID   `json:"holder,omitempty"`
	Fence   api.Fence  `json:"fence,omitempty"`
	Members []api.VMID `json:"members,omitempty"`
}

// UpstreamStatus describes an upstream.
type UpstreamStatus struct {
	ID            api.UpstreamID    `json:"id"`
	Service       api.ServiceName   `json:"service"`
	Shard         int               `json:"shard"`
	FailureDomain api.FailureDomain `json:"failure_domain"`
	// State is active, draining, drained, out, lost or cold.
	State       string          `json:"state"`
	Incarnation api.Incarnation `json:"incarnation,omitempty"`
	// InFlight, Limit and Queued count requests.
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
	Queued   int `json:"queued"`
	// Ranges counts the ranges that the upstream owns.
	Ranges int `json:"ranges"`
}

// Explanation is the response to GET /v1/explain: where a request with a key is
// routed and why.
type Explanation struct {
	Service  api.ServiceName `json:"service"`
	Key      string          `json:"key"`
	Hash     string          `json:"hash"` // hexadecimal
	Range    int             `json:"range"`
	Shard    api.ShardID     `json:"shard"`
	Holder   api.VMID        `json:"holder,omitempty"`
	Fence    api.Fence       `json:"fence,omitempty"`
	Owner    api.UpstreamID  `json:"owner,omitempty"`
	Revision uint64          `json:"revision"`
	// Steps explains each routing decision in one sentence.
	Steps []string `json:"steps"`
}

// Watch is the response to GET /v1/watch.
type Watch struct {
	// Revision is the newest revision; equal to since when nothing changed.
	Revision uint64 `json:"revision"`
	// Document is the document of that revision (core/config.Document); absent
	// when nothing changed.
	Document json.RawMessage `json:"document,omitempty"`
}
