package history

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"dandelionhill.dev/api"
	"dandelionhill.dev/fakes/upstream"
)

// event is the start or the end of a run, as an operation on the owner of a key.
type event struct {
	key      string
	upstream api.UpstreamID
	end      bool
}

// tenure is the state of a key: the upstream that runs requests for it, and how many.
type tenure struct {
	owner api.UpstreamID
	runs  int
}

// ownership allows runs of one key to overlap only on one upstream.
var ownership = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(event).key
			byKey[key] = append(byKey[key], op)
		}
		out := make([][]porcupine.Operation, 0, len(byKey))
		for _, list := range byKey {
			out = append(out, list)
		}
		return out
	},
	Init: func() any { return tenure{} },
	Step: func(state, input, _ any) (bool, any) {
		s, e := state.(tenure), input.(event)
		switch {
		case e.end && s.owner == e.upstream && s.runs > 0:
			s.runs--
			return true, s
		case !e.end && (s.runs == 0 || s.owner == e.upstream):
			return true, tenure{e.upstream, s.runs + 1}
		default:
			return false, state
		}
	},
}

// checkLimit bounds the search of porcupine. Events are points in time, so the
// search has nothing to try but the order of simultaneous ones.
const checkLimit = 30 * time.Second

// CheckOwnership checks with porcupine that each key has one owner at a time. It
// sees what Overlaps sees, by independent code.
func CheckOwnership(runs []*upstream.Run) porcupine.CheckResult {
	if len(runs) == 0 {
		return porcupine.Ok
	}
	base := runs[0].Start
	var ops []porcupine.Operation
	add := func(e event, at int64) {
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
		add(event{r.Key, r.Upstream, false}, int64(r.Start.Sub(base)))
		add(event{r.Key, r.Upstream, true}, end)
	}
	return porcupine.CheckOperationsTimeout(ownership, ops, checkLimit)
}
