package config

import (
	"slices"

	"dandelionhill.dev/api"
)

// Apply returns a copy of doc with a change, at the next revision. It does not
// modify doc. If the operation ID has already taken effect, it returns doc
// itself, which makes retries idempotent. doc may be nil for Init. The errors
// are *ConflictError and *RefusalError.
func Apply(doc *Document, ch Change) (*Document, error) {
	if doc == nil {
		doc = &Document{}
	}
	if err := ch.Validate(); err != nil {
		return nil, err
	}
	digest, err := ch.digest()
	if err != nil {
		return nil, err
	}
	if op, ok := doc.Operation(ch.OperationID); ok {
		if op.Digest != digest {
			return nil, refuse(OperationReused, "use a new operation ID for each change",
				"operation ID %s belongs to a change of %s at revision %d", op.ID, op.Entity, op.Revision)
		}
		return doc, nil
	}
	if err := checkBase(doc, &ch); err != nil {
		return nil, err
	}
	a := &changeApplier{doc: doc.Clone(), old: doc, change: &ch, revision: doc.Revision + 1}
	if err := a.run(); err != nil {
		return nil, err
	}
	next := a.doc
	layoutServices(next, doc)
	if err := checkShards(next); err != nil {
		return nil, err
	}
	next.Revision = a.revision
	next.Operations = append(next.Operations, Operation{
		ID: ch.OperationID, Revision: next.Revision, By: ch.By, Kind: ch.Kind, Entity: ch.Entity(), Digest: digest,
	})
	if extra := len(next.Operations) - MaxOperations; extra > 0 {
		next.Operations = slices.Clone(next.Operations[extra:])
	}
	if err := Validate(next); err != nil {
		return nil, &RefusalError{
			Kind: InvalidResult, Message: err.Error(), Remedy: "correct the values that the message names", Cause: err,
		}
	}
	return next, nil
}

// Newer returns the document with the higher revision, which is the one in
// force. Either may be nil. With equal revisions it returns a.
func Newer(a, b *Document) *Document {
	if a == nil || b != nil && b.Revision > a.Revision {
		return b
	}
	return a
}

func checkBase(doc *Document, ch *Change) error {
	if ch.Kind == Init {
		if doc.Revision > 0 {
			return conflict(doc, ch, "configuration", doc.Revision)
		}
		return nil
	}
	if doc.Revision == 0 {
		return refuse(NotFound, "write the first document with dandelionctl init", "there is no configuration yet")
	}
	if ch.BaseRevision > doc.Revision {
		return refuse(FutureBase, "send the same operation again: this VM has yet to read the newest revision",
			"the change is based on revision %d and the document is at %d", ch.BaseRevision, doc.Revision)
	}
	if len(doc.Operations) == MaxOperations && ch.BaseRevision+1 < doc.Operations[0].Revision {
		return conflict(doc, ch, "configuration", doc.Revision)
	}
	return nil
}

func conflict(doc *Document, ch *Change, entity string, changedAt uint64) *ConflictError {
	e := &ConflictError{Entity: entity, ChangedAt: changedAt, BaseRevision: ch.BaseRevision}
	for _, op := range doc.Operations {
		if op.Revision == changedAt {
			e.By = op.By
		}
	}
	return e
}

// changeApplier applies one change to a copy of the document.
type changeApplier struct {
	doc, old *Document
	change   *Change
	revision uint64
}

// checkConflict refuses the change if the entity was changed after the base
// revision. modifiedAt is 0 for an entity that does not exist; its removal is
// then found among the recorded operations.
func (a *changeApplier) checkConflict(entity string, modifiedAt uint64) error {
	for _, op := range a.old.Operations {
		if op.Entity == entity {
			modifiedAt = max(modifiedAt, op.Revision)
		}
	}
	if modifiedAt > a.change.BaseRevision {
		return conflict(a.old, a.change, entity, modifiedAt)
	}
	return nil
}

func (a *changeApplier) run() error {
	switch a.change.Kind {
	case Init:
		return a.init()
	case SetPreset:
		return a.setPreset()
	case PutPreset:
		return a.putPreset()
	case PutService:
		return a.putService()
	case RemoveService:
		return a.removeService()
	case PutFailureDomain:
		return a.putDomain()
	case DomainOut, DomainIn:
		return a.setDomainOut(a.change.Kind == DomainOut)
	case VMOut, VMIn:
		return a.setVMOut(a.change.Kind == VMOut)
	case AddUpstream:
		return a.addUpstream()
	case RemoveUpstream:
		return a.removeUpstream()
	default:
		return a.upstreamState()
	}
}

func (a *changeApplier) init() error {
	doc := a.change.Document.Clone()
	doc.Operations = nil
	doc.ActivePresetModifiedAt = a.revision
	for i := range doc.FailureDomains {
		doc.FailureDomains[i].ModifiedAt = a.revision
	}
	for i := range doc.Presets {
		doc.Presets[i].ModifiedAt = a.revision
	}
	for i := range doc.Services {
		doc.Services[i].ModifiedAt = a.revision
		for j := range doc.Services[i].Upstreams {
			doc.Services[i].Upstreams[j].ModifiedAt = a.revision
		}
	}
	a.doc = doc
	return nil
}

func (a *changeApplier) setPreset() error {
	if err := a.checkConflict(activePresetEntity, a.doc.ActivePresetModifiedAt); err != nil {
		return err
	}
	if _, ok := a.doc.Preset(a.change.Name); !ok {
		return refuse(NotFound, "put the preset first or use one that dandelionctl status lists", "there is no preset %q", a.change.Name)
	}
	a.doc.ActivePreset, a.doc.ActivePresetModifiedAt = a.change.Name, a.revision
	return nil
}

func (a *changeApplier) putPreset() error {
	p := *a.change.Preset
	p.ModifiedAt = a.revision
	for i := range a.doc.Presets {
		if a.doc.Presets[i].Name == p.Name {
			if err := a.checkConflict(presetEntity(p.Name), a.doc.Presets[i].ModifiedAt); err != nil {
				return err
			}
			a.doc.Presets[i] = p
			return nil
		}
	}
	a.doc.Presets = append(a.doc.Presets, p)
	return a.checkConflict(presetEntity(p.Name), 0)
}

func (a *changeApplier) putDomain() error {
	name := api.FailureDomain(a.change.Name)
	if f, ok := a.doc.Domain(name); ok {
		return a.checkConflict(domainEntity(name), f.ModifiedAt)
	}
	a.doc.FailureDomains = append(a.doc.FailureDomains, FailureDomain{Name: name, ModifiedAt: a.revision})
	return a.checkConflict(domainEntity(name), 0)
}

func (a *changeApplier) setDomainOut(out bool) error {
	for i := range a.doc.FailureDomains {
		f := &a.doc.FailureDomains[i]
		if string(f.Name) != a.change.Name {
			continue
		}
		if err := a.checkConflict(domainEntity(f.Name), f.ModifiedAt); err != nil {
			return err
		}
		f.Out, f.ModifiedAt = out, a.revision
		return nil
	}
	return refuse(NotFound, "use a failure domain that dandelionctl status lists", "there is no failure domain %q", a.change.Name)
}

func (a *changeApplier) setVMOut(out bool) error {
	vm := api.VMID(a.change.Name)
	if err := a.checkConflict(vmEntity(vm), 0); err != nil {
		return err
	}
	if !out {
		a.doc.VMsOut = removeValue(a.doc.VMsOut, vm)
	} else if !a.doc.VMOut(vm) {
		a.doc.VMsOut = append(a.doc.VMsOut, vm)
	}
	return nil
}
