package config

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// randomChange returns a change that may or may not apply to the sample.
func randomChange(r *rand.Rand, doc *Document, id string) Change {
	pick := func(names ...string) string { return names[r.IntN(len(names))] }
	ch := Change{OperationID: id, Kind: ChangeKinds()[1+r.IntN(len(ChangeKinds())-1)]}
	up := fmt.Sprintf("tray-%d", 1+r.IntN(6))
	switch ch.Kind {
	case SetPreset:
		ch.Name = pick("ordinary", "peak")
	case PutPreset:
		p := doc.Presets[r.IntN(len(doc.Presets))]
		p.QueueLength = 1 + r.IntN(3)
		ch.Preset = &p
	case PutService:
		if len(doc.Services) == 0 {
			ch.Kind, ch.Name = SetPreset, "peak"
			break
		}
		s := doc.Clone().Services[0]
		s.MaxBody = 1 + r.IntN(3)
		if r.IntN(2) == 0 {
			s.Upstreams = s.Upstreams[1:]
		}
		ch.Service = &s
	case RemoveService:
		ch.Name = pick("trayhouse", "none-1", "none-2", "none-3", "none-4")
	case PutFailureDomain, DomainOut, DomainIn:
		ch.Name = pick("howrah", "sealdah", "barasat")
	case VMOut, VMIn:
		ch.Name = pick("vm-1", "vm-2")
	case AddUpstream:
		ch.Name = "trayhouse"
		ch.Upstream = &Upstream{ID: api.UpstreamID(up), Address: "127.0.0.1:900" + up[len("tray-"):], FailureDomain: "howrah"}
	default:
		ch.Name = up
	}
	return ch
}

// findOverwrite applies random changes based on older revisions. It returns the
// first one that overwrote a change made after its base revision, and the numbers
// of accepted changes and conflicts.
func findOverwrite(seed uint64, apply func(*Document, Change) (*Document, error), start *Document) (found string, accepted, conflicts int) {
	r := rand.New(rand.NewPCG(seed, 0))
	history := []*Document{nil, start}
	for i := range 300 {
		doc := history[len(history)-1]
		base := uint64(max(1, len(history)-1-r.IntN(6)))
		ch := randomChange(r, history[base], fmt.Sprintf("op-%d", i))
		ch.BaseRevision = base
		next, err := apply(doc, ch)
		if err != nil {
			if _, ok := err.(*ConflictError); ok {
				conflicts++
			}
			continue
		}
		accepted++
		history = append(history, next)
		changed := map[string]bool{}
		for _, d := range Diff(history[base], doc) {
			changed[d.Entity] = true
		}
		for _, d := range Diff(doc, next) {
			if changed[d.Entity] {
				return fmt.Sprintf("%s of %s at revision %d, based on %d", ch.Kind, d.Entity, next.Revision, base), accepted, conflicts
			}
		}
		if err := Validate(next); err != nil || next.Revision != doc.Revision+1 {
			return fmt.Sprintf("revision %d is not valid: %v", next.Revision, err), accepted, conflicts
		}
	}
	return "", accepted, conflicts
}

// TestNoChangeIsSilentlyOverwritten guards against lost updates by changes based
// on older revisions. The check must detect an Apply without the conflict rule.
func TestNoChangeIsSilentlyOverwritten(t *testing.T) {
	accepted, conflicts, detected := 0, 0, 0
	for seed := range uint64(30) {
		found, a, c := findOverwrite(seed, Apply, initialDocument(t))
		require.Empty(t, found, "seed %d", seed)
		accepted, conflicts = accepted+a, conflicts+c
		found, _, _ = findOverwrite(seed, func(doc *Document, ch Change) (*Document, error) {
			ch.BaseRevision = doc.Revision
			return Apply(doc, ch)
		}, initialDocument(t))
		if found != "" {
			detected++
		}
	}
	require.Equal(t, 30, detected, "the check does not detect an Apply without the conflict rule")
	require.Greater(t, accepted, 300)
	require.Greater(t, conflicts, 300)
}
