package history

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

const preset = "active preset"

// observation returns what a VM shows of a revision.
func observation(vm string, at int, revision uint64, operation, value string) Observation {
	return Observation{
		VM: vm, Call: time.Duration(at), Return: time.Duration(at + 1), Serving: true, Revision: revision,
		Operation: operation, Digest: fmt.Sprint(operation, value), Values: map[string]string{preset: value},
	}
}

// validConfiguration has four revisions: the second is in force at 30, the third
// is accepted at 50 but never in force everywhere, the fourth got no answer.
func validConfiguration() *Configuration {
	h := &Configuration{
		Changes: []Change{
			{Operation: "init", Call: 1, Return: 2, Result: Accepted, Revision: 1, InForce: 3},
			{Operation: "a", Entity: preset, Value: "peak", Base: 1, Call: 10, Return: 20, Result: Accepted, Revision: 2, InForce: 30},
			{Operation: "late", Entity: preset, Value: "ordinary", Base: 1, Call: 12, Return: 22, Result: Conflict},
			{Operation: "b", Entity: preset, Value: "ordinary", Base: 2, Call: 40, Return: 50, Result: Accepted, Revision: 3},
			{Operation: "c", Entity: preset, Value: "maintenance", Base: 3, Call: 60, Return: 70, Result: NoAnswer},
			{Operation: "never", Entity: preset, Value: "peak", Base: 3, Call: 61, Return: 71, Result: NoAnswer},
			{Operation: "wrong", Entity: preset, Value: "none", Base: 3, Call: 62, Return: 72, Result: Refused},
		},
		Observations: []Observation{
			observation("vm-1", 5, 1, "init", "ordinary"),
			observation("vm-2", 25, 1, "init", "ordinary"), // "a" is accepted but not yet in force
			observation("vm-1", 26, 2, "a", "peak"),
			observation("vm-2", 31, 2, "a", "peak"),
			observation("", 52, 3, "b", "ordinary"),
			observation("vm-1", 53, 3, "b", "ordinary"),
			observation("vm-2", 55, 2, "a", "peak"),
			observation("vm-2", 80, 4, "c", "maintenance"),
		},
		ListedOperations: map[ListedOperation]bool{{1, "init"}: true, {2, "a"}: true, {3, "b"}: true, {4, "c"}: true},
		Final:            observation("", 100, 4, "c", "maintenance"),
	}
	// A restarted VM may have an older document while it takes no requests.
	restarted := observation("vm-1", 90, 2, "a", "peak")
	restarted.Serving = false
	h.Observations = append(h.Observations, restarted)
	return h
}

// TestConfigurationCheckersCatchBrokenHistories guards against checkers that pass a
// configuration that reverted or lost an accepted change, and against false positives on what
// section 8 of the design page permits.
func TestConfigurationCheckersCatchBrokenHistories(t *testing.T) {
	valid := validConfiguration()
	require.Empty(t, Reversions(valid))
	require.Empty(t, LostChanges(valid))
	require.Equal(t, porcupine.Ok, CheckConfiguration(valid))
	show := func(o Observation) func(*Configuration) {
		return func(h *Configuration) { h.Observations = append(h.Observations, o) }
	}
	for name, c := range map[string]struct {
		alter                        func(*Configuration)
		reverted, lost, linearizable bool
	}{
		"stale read after in force":   {alter: show(observation("vm-3", 32, 1, "init", "ordinary")), reverted: true},
		"VM reverts":                  {alter: show(observation("vm-1", 57, 2, "a", "peak")), reverted: true},
		"restarted VM takes requests": {alter: func(h *Configuration) { h.Observations[len(h.Observations)-1].Serving = true }, reverted: true},
		"row reverts":                 {alter: show(observation("", 56, 2, "a", "peak")), reverted: true},
		"shown before the call":       {alter: show(observation("vm-3", 7, 2, "a", "peak")), linearizable: false},
		"last revision too low": {alter: func(h *Configuration) {
			h.Final = observation("", 100, 2, "a", "peak")
		}, reverted: true},
		"accepted change in no document": {alter: func(h *Configuration) {
			h.Changes = append(h.Changes, Change{Operation: "d", Entity: preset, Value: "peak", Base: 4, Call: 81, Return: 85, Result: Accepted, Revision: 5})
		}, reverted: true, lost: true},
		"revision holds another operation": {alter: func(h *Configuration) {
			delete(h.ListedOperations, ListedOperation{4, "c"})
			h.ListedOperations[ListedOperation{4, "d"}] = true
			h.Observations[7].Operation, h.Final.Operation = "d", "d"
			h.Changes[4].Result, h.Changes[4].Revision = Accepted, 4
		}, lost: true},
		"two documents under one revision": {alter: show(observation("vm-3", 54, 3, "x", "peak")), lost: true},
		"two contents of one operation": {alter: func(h *Configuration) {
			h.Observations = append(h.Observations, observation("vm-3", 54, 3, "b", "maintenance"))
		}, lost: true, linearizable: true},
		"effect missing at the end": {alter: func(h *Configuration) {
			h.Final.Values = map[string]string{preset: "ordinary"}
		}, lost: true, linearizable: true},
		"took effect twice": {alter: func(h *Configuration) {
			h.ListedOperations[ListedOperation{5, "b"}] = true
		}, lost: true, linearizable: true},
		"took effect after a conflict": {alter: func(h *Configuration) {
			h.ListedOperations[ListedOperation{5, "late"}] = true
		}, lost: true, linearizable: true},
		"overwrote a change that was not seen": {alter: func(h *Configuration) { h.Changes[3].Base = 1 }},
		"conflict without another change":      {alter: func(h *Configuration) { h.Changes[2].Call, h.Changes[2].Return = 4, 5 }},
	} {
		t.Run(name, func(t *testing.T) {
			h := validConfiguration()
			h.ListedOperations, h.Observations = maps.Clone(h.ListedOperations), slices.Clone(h.Observations)
			c.alter(h)
			require.Equal(t, c.reverted, len(Reversions(h)) > 0, "%v", Reversions(h))
			require.Equal(t, c.lost, len(LostChanges(h)) > 0, "%v", LostChanges(h))
			want := porcupine.Illegal
			if c.linearizable {
				want = porcupine.Ok
			}
			require.Equal(t, want, CheckConfiguration(h))
		})
	}
}
