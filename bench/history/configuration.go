package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Result is what the operator of a change was told about it.
type Result string

// The results of a change.
const (
	// Accepted changes never revert.
	Accepted Result = "accepted"
	// Conflict: the entity was changed after the base revision.
	Conflict Result = "conflict"
	// Refused changes are invalid and have no effect.
	Refused Result = "refused"
	// NoAnswer: the operator was not told whether the change took effect.
	NoAnswer Result = "no answer"
)

// Change is a change of the configuration as its operator saw it. Times count
// from the start of the run.
type Change struct {
	Operation string
	// Entity is what the change modifies and Value its new state.
	Entity, Value string
	Base          uint64
	Call, Return  time.Duration
	Result        Result
	// Revision is the revision of an accepted change.
	Revision uint64
	// InForce is when the operator was told that the change is in force
	// everywhere; 0 if that was not reported.
	InForce time.Duration
}

// Observation is the document of a VM at some time between Call and Return.
type Observation struct {
	// VM is empty for the row of the table service.
	VM           string
	Call, Return time.Duration
	// Serving is true if the VM took new requests under the document.
	Serving  bool
	Revision uint64
	// Operation made the revision.
	Operation string
	// Digest identifies the content of the document.
	Digest string
	// Values holds the state of each entity.
	Values map[string]string
}

// ListedOperation is an operation that a document lists with its revision.
type ListedOperation struct {
	Revision  uint64
	Operation string
}

// Configuration is the history of the configuration of a deployment.
type Configuration struct {
	Changes      []Change
	Observations []Observation
	// ListedOperations has every operation that any of the observed documents lists.
	ListedOperations map[ListedOperation]bool
	// Final is the row of the table service after all changes and faults.
	Final Observation
}

// ConfigurationLog collects a Configuration. It may be used concurrently.
type ConfigurationLog struct {
	mu sync.Mutex
	h  Configuration
}

// AddChange adds a change that has ended.
func (l *ConfigurationLog) AddChange(c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h.Changes = append(l.h.Changes, c)
}

// AddObservation adds an observation and the operations that the document lists.
func (l *ConfigurationLog) AddObservation(o Observation, operations []ListedOperation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h.Observations = append(l.h.Observations, o)
	if l.h.ListedOperations == nil {
		l.h.ListedOperations = map[ListedOperation]bool{}
	}
	for _, r := range operations {
		l.h.ListedOperations[r] = true
	}
}

// History returns the collected history. Call it after the last addition.
func (l *ConfigurationLog) History(final Observation) *Configuration {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.h
	h.Final = final
	return &h
}

// Reversions lists the cases in which a VM or the deployment showed an older
// revision after a newer one was reported accepted or in force.
func Reversions(h *Configuration) []string {
	var out []string
	inForce, accepted := map[time.Duration]uint64{}, map[time.Duration]uint64{}
	for _, c := range h.Changes {
		if c.Result != Accepted {
			continue
		}
		accepted[c.Return] = max(accepted[c.Return], c.Revision)
		if c.InForce > 0 {
			inForce[c.InForce] = max(inForce[c.InForce], c.Revision)
		}
		if h.Final.Revision < c.Revision {
			out = append(out, fmt.Sprintf("revision %d of %s was accepted at %v and the last revision is %d", c.Revision, c.Operation, c.Return, h.Final.Revision))
		}
	}
	inForceMark, acceptedMark := newHighWaterMark(inForce), newHighWaterMark(accepted)
	byVM := map[string][]Observation{}
	for _, o := range h.Observations {
		if o.Serving || o.VM == "" {
			byVM[o.VM] = append(byVM[o.VM], o)
		}
	}
	for vm, list := range byVM {
		reported := inForceMark
		if vm == "" {
			reported = acceptedMark // an accepted change is in the row at once
		}
		shown := map[time.Duration]uint64{}
		for _, o := range list {
			shown[o.Return] = max(shown[o.Return], o.Revision)
		}
		shownMark := newHighWaterMark(shown)
		for _, o := range list {
			if latest := reported.before(o.Call); o.Revision < latest {
				out = append(out, fmt.Sprintf("%s showed revision %d at %v, after revision %d was reported", vmName(vm), o.Revision, o.Call, latest))
			} else if latest := shownMark.before(o.Call); o.Revision < latest {
				out = append(out, fmt.Sprintf("%s showed revision %d at %v, after it had shown %d", vmName(vm), o.Revision, o.Call, latest))
			}
			if h.Final.Revision < o.Revision {
				out = append(out, fmt.Sprintf("%s showed revision %d and the last revision is %d", vmName(vm), o.Revision, h.Final.Revision))
			}
		}
	}
	slices.Sort(out)
	return out
}

func vmName(vm string) string {
	if vm == "" {
		return "the store"
	}
	return vm
}

// highWaterMark has the highest revision reported or shown up to each time.
type highWaterMark struct {
	times     []time.Duration
	revisions []uint64
}

func newHighWaterMark(at map[time.Duration]uint64) highWaterMark {
	m := highWaterMark{times: slices.Sorted(maps.Keys(at))}
	highest := uint64(0)
	for _, t := range m.times {
		highest = max(highest, at[t])
		m.revisions = append(m.revisions, highest)
	}
	return m
}

func (m highWaterMark) before(t time.Duration) uint64 {
	i, _ := slices.BinarySearch(m.times, t)
	if i == 0 {
		return 0
	}
	return m.revisions[i-1]
}

// LostChanges lists accepted changes whose effect is missing or whose revision
// belongs to another operation, and revisions that were shown with two contents.
func LostChanges(h *Configuration) []string {
	var out []string
	operationAt := map[uint64]string{}
	revisionOf := map[string]uint64{}
	byRevision := func(a, b ListedOperation) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Operation, b.Operation))
	}
	for _, r := range slices.SortedFunc(maps.Keys(h.ListedOperations), byRevision) {
		if other, ok := operationAt[r.Revision]; ok {
			out = append(out, fmt.Sprintf("revision %d holds %s and %s", r.Revision, other, r.Operation))
		}
		if other, ok := revisionOf[r.Operation]; ok && other != r.Revision {
			out = append(out, fmt.Sprintf("%s took effect at revisions %d and %d", r.Operation, other, r.Revision))
		}
		operationAt[r.Revision], revisionOf[r.Operation] = r.Operation, r.Revision
	}
	for _, c := range h.Changes {
		if c.Result == Accepted && operationAt[c.Revision] != c.Operation {
			out = append(out, fmt.Sprintf("%s was accepted as revision %d, which holds %q", c.Operation, c.Revision, operationAt[c.Revision]))
		}
		if r, ok := revisionOf[c.Operation]; ok && (c.Result == Conflict || c.Result == Refused) {
			out = append(out, fmt.Sprintf("%s got the result %s and took effect as revision %d", c.Operation, c.Result, r))
		}
	}
	digests := map[uint64]string{}
	for _, o := range append(slices.Clone(h.Observations), h.Final) {
		if other, ok := digests[o.Revision]; ok && other != o.Digest {
			out = append(out, fmt.Sprintf("%s showed another document at revision %d than was seen before", vmName(o.VM), o.Revision))
		}
		digests[o.Revision] = o.Digest
	}
	return append(out, missingEffects(h, operationAt)...)
}

// missingEffects replays the operations and lists each operation whose value a
// later document lacks, although no operation in between changed the entity.
func missingEffects(h *Configuration, operationAt map[uint64]string) []string {
	changes := map[string]Change{}
	for _, c := range h.Changes {
		changes[c.Operation] = c
	}
	type effect struct {
		entity    string
		revision  uint64
		operation string
		value     string
	}
	var effects []effect // by revision
	for _, revision := range slices.Sorted(maps.Keys(operationAt)) {
		if c, ok := changes[operationAt[revision]]; ok && c.Entity != "" {
			effects = append(effects, effect{c.Entity, revision, c.Operation, c.Value})
		}
	}
	missing := map[string]bool{}
	seen := map[uint64]bool{}
	for _, o := range append(slices.Clone(h.Observations), h.Final) {
		if seen[o.Revision] && o.Revision != h.Final.Revision { // LostChanges compares the digests
			continue
		}
		seen[o.Revision] = true
		latest := map[string]effect{}
		for _, e := range effects {
			if e.revision <= o.Revision {
				latest[e.entity] = e
			}
		}
		for _, e := range latest {
			if got := o.Values[e.entity]; got != e.value {
				missing[fmt.Sprintf("%s set %s to %q at revision %d, and %s has %q at revision %d", e.operation, e.entity, e.value, e.revision, vmName(o.VM), got, o.Revision)] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(missing))
}
