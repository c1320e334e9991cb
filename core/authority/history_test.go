package authority

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

type opKind int

const (
	opGrant  opKind = iota // an upstream accepted a grant with the range
	opStart                // a run began
	opEnd                  // a run ended
	opExpire               // the holder considers the range free
	opTake                 // a new holder keeps the owner that the former holder named
)

type ownerOp struct {
	kind opKind
	up   int
}

// ownerState is the owner of a range and the number of its active runs.
type ownerState struct {
	owner   int // -1: none
	running int
}

// ownership is the sequential specification of the ownership of one range.
var ownership = porcupine.Model{
	Init: func() any { return ownerState{owner: -1} },
	Step: func(state, input, _ any) (bool, any) {
		s, op := state.(ownerState), input.(ownerOp)
		switch op.kind {
		case opGrant:
			ok := s.owner == op.up || s.owner == -1
			return ok, ownerState{op.up, s.running}
		case opStart:
			return s.owner == op.up, ownerState{s.owner, s.running + 1}
		case opEnd:
			return s.running > 0, ownerState{s.owner, s.running - 1}
		case opExpire:
			return s.running == 0, ownerState{-1, 0}
		default:
			return s.owner == op.up || s.running == 0, ownerState{op.up, s.running}
		}
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, _ any) string {
		op := input.(ownerOp)
		return fmt.Sprint([]string{"grant", "start", "end", "expire", "take"}[op.kind], " ", op.up)
	},
}

// history records operations by range. Its times are logical: every event gets
// the next number, which keeps the order of simultaneous events.
type history struct {
	last int64
	ops  map[int][]porcupine.Operation
}

func (h *history) stamp() int64 { h.last++; return h.last }

func (h *history) span(from int64, rangeIndex int, kind opKind, up int) {
	if h.ops == nil {
		h.ops = map[int][]porcupine.Operation{}
	}
	h.ops[rangeIndex] = append(h.ops[rangeIndex], porcupine.Operation{
		ClientId: len(h.ops[rangeIndex]), Input: ownerOp{kind, up}, Call: from, Return: h.stamp(),
	})
}

func (h *history) point(rangeIndex int, kind opKind, up int) { h.span(h.stamp(), rangeIndex, kind, up) }

// check returns the ranges whose history is not linearizable.
func (h *history) check() (bad []int) {
	for rangeIndex := range len(h.ops) {
		if porcupine.CheckOperationsTimeout(ownership, h.ops[rangeIndex], 20*time.Second) != porcupine.Ok {
			bad = append(bad, rangeIndex)
		}
	}
	return bad
}

// TestOwnershipSpecification guards against a specification that accepts every history.
func TestOwnershipSpecification(t *testing.T) {
	record := func(ops ...ownerOp) *history {
		h := &history{}
		for _, op := range ops {
			h.point(0, op.kind, op.up)
		}
		return h
	}
	good := record(ownerOp{opExpire, -1}, ownerOp{opGrant, 0}, ownerOp{opStart, 0}, ownerOp{opEnd, 0}, ownerOp{opExpire, 0}, ownerOp{opGrant, 1})
	if len(good.check()) != 0 {
		t.Fatal("a linearizable history is rejected")
	}
	for name, h := range map[string]*history{
		"two owners":            record(ownerOp{opGrant, 0}, ownerOp{opGrant, 1}),
		"run without grant":     record(ownerOp{opStart, 0}),
		"run after expiry":      record(ownerOp{opGrant, 0}, ownerOp{opExpire, 0}, ownerOp{opStart, 0}),
		"expiry during a run":   record(ownerOp{opGrant, 0}, ownerOp{opStart, 0}, ownerOp{opExpire, 0}),
		"takeover during a run": record(ownerOp{opGrant, 0}, ownerOp{opStart, 0}, ownerOp{opTake, 1}),
	} {
		if len(h.check()) == 0 {
			t.Errorf("%s is not detected", name)
		}
	}
}
