package history

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"dandelionhill.dev/api"
	"dandelionhill.dev/fakes/upstream"
)

// runEvent is the start or the end of a run, as an operation on the owner of a key.
type runEvent struct {
	key      string
	upstream api.UpstreamID
	end      bool
}

// keyState is the upstream that runs requests for a key, and their number.
type keyState struct {
	owner api.UpstreamID
	runs  int
}

// ownershipModel allows runs of one key to overlap only on one upstream.
var ownershipModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(runEvent).key
			byKey[key] = append(byKey[key], op)
		}
		out := make([][]porcupine.Operation, 0, len(byKey))
		for _, list := range byKey {
			out = append(out, list)
		}
		return out
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, e := state.(keyState), input.(runEvent)
		switch {
		case e.end && s.owner == e.upstream && s.runs > 0:
			s.runs--
			return true, s
		case !e.end && (s.runs == 0 || s.owner == e.upstream):
			return true, keyState{e.upstream, s.runs + 1}
		default:
			return false, state
		}
	},
}

// checkTimeout bounds the search of porcupine. Events are points in time, so it
// searches only the orders of simultaneous ones.
const checkTimeout = 30 * time.Second

// CheckOwnership checks with porcupine that each key has one owner at a time. It
// finds the same violations as Overlaps, with independent code.
func CheckOwnership(runs []*upstream.Run) porcupine.CheckResult {
	if len(runs) == 0 {
		return porcupine.Ok
	}
	base := runs[0].Start
	var ops []porcupine.Operation
	add := func(e runEvent, at int64) {
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: e, Call: at, Return: at})
	}
	for _, r := range runs {
		if r.Key == "" {
			continue
		}
		end := int64(math.MaxInt64)
		if !r.End.IsZero() {
			end = int64(r.End.Sub(base))
		}
		add(runEvent{r.Key, r.Upstream, false}, int64(r.Start.Sub(base)))
		add(runEvent{r.Key, r.Upstream, true}, end)
	}
	return porcupine.CheckOperationsTimeout(ownershipModel, ops, checkTimeout)
}
