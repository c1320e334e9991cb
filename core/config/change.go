package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"

	"dandelionhill.dev/api"
)

// MaxOperations is the number of operations recorded in a document. A change
// whose base revision is older than all of them is refused, because it could be
// a retry of an operation that is no longer recorded.
const MaxOperations = 256

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of change, with the fields of Change that each one uses.
const (
	// Init writes the first document: Document.
	Init ChangeKind = "init"
	// SetPreset activates a preset: Name.
	SetPreset ChangeKind = "set_preset"
	// PutPreset adds or replaces a preset: Preset.
	PutPreset ChangeKind = "put_preset"
	// PutService adds or replaces a service: Service. It keeps the drained state
	// of the upstreams that remain.
	PutService ChangeKind = "put_service"
	// RemoveService removes a service and its upstreams: Name.
	RemoveService ChangeKind = "remove_service"
	// PutFailureDomain adds a failure domain: Name. It does not change an
	// existing one.
	PutFailureDomain ChangeKind = "put_failure_domain"
	// DomainOut takes a failure domain out of service: Name.
	DomainOut ChangeKind = "domain_out"
	// DomainIn puts a failure domain back into service: Name.
	DomainIn ChangeKind = "domain_in"
	// VMOut takes an entry VM out of service: Name.
	VMOut ChangeKind = "vm_out"
	// VMIn puts an entry VM back into service: Name.
	VMIn ChangeKind = "vm_in"
	// DrainUpstream stops new work on an upstream: Name.
	DrainUpstream ChangeKind = "drain_upstream"
	// Undrain puts an upstream back into service and withdraws a confirmed loss: Name.
	Undrain ChangeKind = "undrain"
	// AddUpstream adds an upstream to a service: Name (the service), Upstream.
	AddUpstream ChangeKind = "add_upstream"
	// RemoveUpstream removes a drained or lost upstream: Name.
	RemoveUpstream ChangeKind = "remove_upstream"
	// ConfirmLost states that an upstream runs nothing and will not resume: Name.
	ConfirmLost ChangeKind = "confirm_lost"
)

// ChangeKinds returns every kind of change.
func ChangeKinds() []ChangeKind {
	return []ChangeKind{
		Init, SetPreset, PutPreset, PutService, RemoveService, PutFailureDomain, DomainOut, DomainIn,
		VMOut, VMIn, DrainUpstream, Undrain, AddUpstream, RemoveUpstream, ConfirmLost,
	}
}

// Change is one operation on the document. Kind determines which fields are
// used; the others are empty.
type Change struct {
	// OperationID identifies the operation: a retry with the same ID has no
	// second effect.
	OperationID string `json:"operation_id"`
	// BaseRevision is the revision on which the operator based the change.
	BaseRevision uint64 `json:"base_revision"`
	// By names the operator. The server sets it from the credential.
	By       string     `json:"by,omitempty"`
	Kind     ChangeKind `json:"kind"`
	Name     string     `json:"name,omitempty"`
	Preset   *Preset    `json:"preset,omitempty"`
	Service  *Service   `json:"service,omitempty"`
	Upstream *Upstream  `json:"upstream,omitempty"`
	Document *Document  `json:"document,omitempty"`
}

// Operation records a change that took effect.
type Operation struct {
	ID       string     `json:"id"`
	Revision uint64     `json:"revision"`
	By       string     `json:"by,omitempty"`
	Kind     ChangeKind `json:"kind"`
	// Entity is what the operation changed, such as "upstream foglalas-03".
	Entity string `json:"entity"`
	// Digest distinguishes a retry from another change under the same ID.
	Digest string `json:"digest"`
}

// Operation returns the recorded operation with an ID.
func (d *Document) Operation(id string) (Operation, bool) {
	for _, op := range d.Operations {
		if op.ID == id {
			return op, true
		}
	}
	return Operation{}, false
}

// ConflictError means that the entity was changed after the revision on which
// the operator based the change.
type ConflictError struct {
	// Entity is what both changes modify.
	Entity string `json:"entity"`
	// By names the operator of the other change; empty if no longer recorded.
	By string `json:"by,omitempty"`
	// ChangedAt is the revision of the other change.
	ChangedAt uint64 `json:"changed_at"`
	// BaseRevision is the revision on which the refused change is based.
	BaseRevision uint64 `json:"base_revision"`
}

// Remedy says what the operator can do.
func (e *ConflictError) Remedy() string {
	return fmt.Sprintf("read revision %d or later, decide again and send the change with a new operation ID", e.ChangedAt)
}

// Message describes the conflict without the remedy.
func (e *ConflictError) Message() string {
	by := e.By
	if by == "" {
		by = "another operator"
	}
	return fmt.Sprintf("%s was changed by %s at revision %d, after revision %d on which this change is based", e.Entity, by, e.ChangedAt, e.BaseRevision)
}

// Error implements error.
func (e *ConflictError) Error() string { return "conflict: " + e.Message() + "; remedy: " + e.Remedy() }

// RefusalKind classifies a RefusalError.
type RefusalKind string

const (
	// BadChange: the change lacks a field or has one that its kind does not use.
	BadChange RefusalKind = "bad_change"
	// NotFound: the entity does not exist.
	NotFound RefusalKind = "not_found"
	// NotPermitted: the entity is in a state that does not permit the change.
	NotPermitted RefusalKind = "not_permitted"
	// OperationReused: the operation ID belongs to a different change.
	OperationReused RefusalKind = "operation_reused"
	// FutureBase: the change is based on a later revision than this document.
	FutureBase RefusalKind = "future_base"
	// InvalidResult: the document with the change would be invalid.
	InvalidResult RefusalKind = "invalid_result"
	// BadStored: the stored document cannot be read.
	BadStored RefusalKind = "bad_stored"
)

// RefusalError means that a change cannot be applied, for a reason other than a conflict.
type RefusalError struct {
	Kind    RefusalKind `json:"kind"`
	Message string      `json:"message"`
	Remedy  string      `json:"remedy"`
	// Cause holds the problems of an InvalidResult.
	Cause error `json:"-"`
}

// Error implements error.
func (e *RefusalError) Error() string {
	return string(e.Kind) + ": " + e.Message + "; remedy: " + e.Remedy
}

// Unwrap returns the cause.
func (e *RefusalError) Unwrap() error { return e.Cause }

func refuse(kind RefusalKind, remedy, format string, args ...any) *RefusalError {
	return &RefusalError{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

var operationPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// ValidOperationID reports whether an operation ID has the permitted form.
func ValidOperationID(id string) bool { return operationPattern.MatchString(id) }

// Validate refuses a change with a missing field or one that its kind does not use.
func (ch *Change) Validate() error {
	if !ValidOperationID(ch.OperationID) {
		return refuse(BadChange, "use 1 to 64 letters, digits, dots, hyphens or underscores, such as a UUID",
			"operation ID %q is not valid", ch.OperationID)
	}
	var needName, needPreset, needService, needUpstream, needDocument bool
	switch ch.Kind {
	case Init:
		needDocument = true
	case PutPreset:
		needPreset = true
	case PutService:
		needService = true
	case AddUpstream:
		needName, needUpstream = true, true
	case SetPreset, RemoveService, PutFailureDomain, DomainOut, DomainIn, VMOut, VMIn, DrainUpstream, Undrain, RemoveUpstream, ConfirmLost:
		needName = true
	default:
		return refuse(BadChange, "use a kind that this version knows, or update the VMs first", "there is no change of kind %q", ch.Kind)
	}
	for _, f := range []struct {
		name      string
		need, has bool
	}{
		{"name", needName, ch.Name != ""},
		{"preset", needPreset, ch.Preset != nil},
		{"service", needService, ch.Service != nil},
		{"upstream", needUpstream, ch.Upstream != nil},
		{"document", needDocument, ch.Document != nil},
	} {
		switch {
		case f.need && !f.has:
			return refuse(BadChange, "add the field "+f.name, "a change of kind %s needs the field %s", ch.Kind, f.name)
		case !f.need && f.has:
			return refuse(BadChange, "remove the field "+f.name, "a change of kind %s does not use the field %s", ch.Kind, f.name)
		}
	}
	if needName && !ValidName(ch.Name) {
		return refuse(BadChange, nameRemedy, "%q is not a valid name", ch.Name)
	}
	return nil
}

// Entity returns the main entity that the change modifies.
func (ch *Change) Entity() string {
	switch ch.Kind {
	case SetPreset:
		return activePresetEntity
	case PutPreset:
		return presetEntity(ch.Preset.Name)
	case PutService:
		return serviceEntity(ch.Service.Name)
	case RemoveService:
		return serviceEntity(api.ServiceName(ch.Name))
	case PutFailureDomain, DomainOut, DomainIn:
		return domainEntity(api.FailureDomain(ch.Name))
	case VMOut, VMIn:
		return vmEntity(api.VMID(ch.Name))
	case AddUpstream:
		return upstreamEntity(ch.Upstream.ID)
	case DrainUpstream, Undrain, RemoveUpstream, ConfirmLost:
		return upstreamEntity(api.UpstreamID(ch.Name))
	default:
		return "configuration"
	}
}

// digest identifies the effect of a change. It omits the base revision and the
// operator, which may differ when a VM retries an operation.
func (ch *Change) digest() (string, error) {
	c := *ch
	c.BaseRevision, c.By = 0, ""
	data, err := json.Marshal(&c)
	if err != nil {
		return "", refuse(BadChange, "correct the values of the change", "the change cannot be encoded: %s", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8]), nil
}

// Entity names, as conflicts and differences use them.
const activePresetEntity = "active preset"

func presetEntity(name string) string            { return "preset " + name }
func domainEntity(name api.FailureDomain) string { return "failure domain " + string(name) }
func serviceEntity(name api.ServiceName) string  { return "service " + string(name) }
func upstreamEntity(id api.UpstreamID) string    { return "upstream " + string(id) }
func vmEntity(id api.VMID) string                { return "VM " + string(id) }
