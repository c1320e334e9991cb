package history

import (
	"maps"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
)

// write is a change that took effect, as a write to the register of a VM, which
// completes when the change is in force there. With an empty VM it is a write to
// the register of the row and completes when the change is accepted.
type write struct {
	vm, operation, entity string
	base, revision        uint64
}

// read is an observation of a document.
type read struct {
	vm, operation string
	revision      uint64
}

// conflict is a change that was refused because its entity had changed after
// the base revision.
type conflict struct {
	entity string
	base   uint64
}

// register is the state of a configuration: its revision, the operation that
// made it, and the revision that last changed each entity.
type register struct {
	revision  uint64
	operation string
	modified  map[string]uint64
}

// configurationModel has one register for the row and one for each VM. A write
// increments the revision by one and a read returns the revision of the last
// write, so a register that reverts is illegal.
var configurationModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byVM := map[string][]porcupine.Operation{}
		for _, op := range history {
			vm := ""
			switch in := op.Input.(type) {
			case write:
				vm = in.vm
			case read:
				vm = in.vm
			}
			byVM[vm] = append(byVM[vm], op)
		}
		return slices.Collect(maps.Values(byVM))
	},
	Init: func() any { return register{} },
	Step: func(state, input, _ any) (bool, any) {
		s := state.(register)
		switch in := input.(type) {
		case write:
			if in.revision != s.revision+1 || s.modified[in.entity] > in.base {
				return false, state
			}
			next := register{in.revision, in.operation, maps.Clone(s.modified)}
			if next.modified == nil {
				next.modified = map[string]uint64{}
			}
			next.modified[in.entity] = in.revision
			return true, next
		case read:
			return in.revision == s.revision && in.operation == s.operation, state
		case conflict:
			return s.modified[in.entity] > in.base, state
		default:
			return false, state
		}
	},
	Equal: func(a, b any) bool {
		x, y := a.(register), b.(register)
		return x.revision == y.revision && x.operation == y.operation && maps.Equal(x.modified, y.modified)
	},
}

// CheckConfiguration checks with porcupine that the configuration is a
// linearizable register: the row from the time a change is accepted, each VM
// from the time it is reported in force. A change without an answer counts as a
// write if a document lists it. The code is independent of Reversions and
// LostChanges.
func CheckConfiguration(h *Configuration) porcupine.CheckResult {
	var ops []porcupine.Operation
	add := func(input any, call, end int64) {
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: input, Call: call, Return: end})
	}
	vms := map[string]bool{"": true}
	for _, o := range h.Observations {
		vms[o.VM] = true
	}
	listed := map[string]uint64{}
	for r := range h.ListedOperations {
		listed[r.Operation] = r.Revision
	}
	for _, c := range h.Changes {
		revision := c.Revision
		switch c.Result {
		case Conflict:
			add(conflict{c.Entity, c.Base}, int64(c.Call), int64(c.Return))
			continue
		case Refused:
			continue
		case NoAnswer:
			if revision = listed[c.Operation]; revision == 0 {
				continue
			}
		}
		for vm := range vms {
			end := int64(math.MaxInt64)
			switch {
			case vm == "" && c.Result == Accepted:
				end = int64(c.Return)
			case vm != "" && c.InForce > 0:
				end = int64(c.InForce)
			}
			add(write{vm, c.Operation, c.Entity, c.Base, revision}, int64(c.Call), end)
		}
	}
	for _, o := range append(slices.Clone(h.Observations), h.Final) {
		if o.Serving || o.VM == "" {
			add(read{o.VM, o.Operation, o.Revision}, int64(o.Call), int64(o.Return))
		}
	}
	return porcupine.CheckOperationsTimeout(configurationModel, ops, checkTimeout)
}
