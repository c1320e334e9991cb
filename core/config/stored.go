package config

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"dandelionhill.dev/api"
)

// storedFormat is the version of the stored form. Raise it when a field is
// added, so that older VMs refuse the document instead of dropping the field.
const storedFormat = 1

type storedDocument struct {
	Format   int       `json:"format"`
	Document *Document `json:"document"`
}

// Encode returns the stored form of a document.
func Encode(doc *Document) ([]byte, error) {
	data, err := json.Marshal(storedDocument{Format: storedFormat, Document: doc})
	if err != nil {
		return nil, refuse(BadStored, "report this as a fault with the document", "the document cannot be encoded: %s", err)
	}
	return data, nil
}

// Decode reads the stored form. It does not call Validate: Apply did so before
// the document was written, and a VM of a newer version with stricter rules must
// still accept a document that is in force.
func Decode(data []byte) (*Document, error) {
	var format struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &format); err != nil {
		return nil, refuse(BadStored, "restore row config/head from the object store", "the stored document is not JSON: %s", err)
	}
	if format.Format != storedFormat {
		return nil, refuse(BadStored, "run a version of dandelionhilld that knows this format",
			"the stored document has format %d, this version reads %d", format.Format, storedFormat)
	}
	var s storedDocument
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return nil, refuse(BadStored, "run the version of dandelionhilld that wrote the document", "the stored document cannot be read: %s", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, refuse(BadStored, "restore row config/head from the object store", "data follows the stored document")
	}
	if s.Document == nil || s.Document.Revision == 0 {
		return nil, refuse(BadStored, "restore row config/head from the object store", "the stored document has no revision")
	}
	return s.Document, nil
}

// DifferenceKind is the way in which an entity differs between two documents.
type DifferenceKind string

// The kinds of difference.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// Difference is one entity that differs between two documents.
type Difference struct {
	Entity string         `json:"entity"`
	Kind   DifferenceKind `json:"kind"`
}

// Diff lists the entities that differ from a to b, ordered by name. It ignores
// revisions. Either document may be nil. The upstreams of a service are separate
// entities.
func Diff(a, b *Document) []Difference {
	before, after := entities(a), entities(b)
	var all []Difference
	for name, value := range after {
		if old, ok := before[name]; !ok {
			all = append(all, Difference{name, Added})
		} else if old != value {
			all = append(all, Difference{name, Changed})
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			all = append(all, Difference{name, Removed})
		}
	}
	slices.SortFunc(all, func(x, y Difference) int { return strings.Compare(x.Entity, y.Entity) })
	return all
}

// entities maps the name of each entity to a comparable form without revisions.
func entities(d *Document) map[string]any {
	all := map[string]any{}
	if d == nil {
		return all
	}
	all["region"] = d.Region
	all[activePresetEntity] = d.ActivePreset
	for _, f := range d.FailureDomains {
		f.ModifiedAt = 0
		all[domainEntity(f.Name)] = f
	}
	for _, p := range d.Presets {
		p.ModifiedAt = 0
		all[presetEntity(p.Name)] = p
	}
	for _, vm := range d.VMsOut {
		all[vmEntity(vm)] = "out"
	}
	type upstream struct {
		Upstream
		service api.ServiceName
		lost    bool
	}
	type service struct {
		name                              api.ServiceName
		keyed                             bool
		checks                            Checks
		ranges, shards, slots, conns, max int
	}
	for _, s := range d.Services {
		all[serviceEntity(s.Name)] = service{s.Name, s.Keyed, s.UpstreamChecks, s.Ranges, s.Shards, s.Slots, s.Connections, s.MaxBody}
		for _, u := range s.Upstreams {
			u.ModifiedAt = 0
			all[upstreamEntity(u.ID)] = upstream{u, s.Name, d.UpstreamLost(u.ID)}
		}
	}
	return all
}
