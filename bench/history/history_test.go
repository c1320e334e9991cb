package history

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/load"
	"dandelionhill.dev/fakes/upstream"
)

func run(up api.UpstreamID, key, id string, start, end int) *upstream.Run {
	base := time.Unix(1_700_000_000, 0)
	r := &upstream.Run{Upstream: up, Key: key, RequestID: id, Start: base.Add(time.Duration(start) * time.Millisecond)}
	if end > 0 {
		r.End = base.Add(time.Duration(end) * time.Millisecond)
	}
	return r
}

// TestOwnershipCheckersCatchBrokenHistories guards against checkers that pass a history with
// two owners at a time, and against false positives on histories with one.
func TestOwnershipCheckersCatchBrokenHistories(t *testing.T) {
	valid := []*upstream.Run{
		run("a", "k", "", 0, 10), run("a", "k", "", 5, 20), run("b", "k", "", 21, 30), run("a", "k", "", 31, 40),
		run("b", "other", "", 0, 0), run("c", "", "", 0, 30), run("d", "", "", 0, 30),
	}
	require.Equal(t, porcupine.Ok, CheckOwnership(valid))
	require.Empty(t, Overlaps(valid))
	for name, extra := range map[string]*upstream.Run{
		"overlap":                        run("b", "k", "", 15, 19),
		"overlap without end":            run("b", "k", "", 35, 0),
		"run that never ended":           run("c", "other", "", 50, 60),
		"inside a longer run":            run("c", "k", "", 6, 7),
		"ends after the next one starts": run("c", "k", "", 20, 22),
	} {
		broken := append(valid[:len(valid):len(valid)], extra)
		require.Equal(t, porcupine.Illegal, CheckOwnership(broken), name)
		require.NotEmpty(t, Overlaps(broken), name)
	}
}

// TestOutcomeCheckersCatchBrokenHistories guards against checkers of outcomes that find no
// violation.
func TestOutcomeCheckersCatchBrokenHistories(t *testing.T) {
	runs := []*upstream.Run{run("a", "k", "1", 0, 10), run("a", "k", "2", 20, 30)}
	require.Empty(t, Duplicates(runs))
	require.Len(t, Duplicates(append(runs, run("b", "k", "1", 40, 50))), 1)
	refused := load.Result{RequestID: "3", Outcome: api.NotRun, NotRun: true}
	require.Empty(t, FalseNotRun([]load.Result{refused}, runs))
	refused.RequestID = "2"
	require.Len(t, FalseNotRun([]load.Result{refused}, runs), 1)
	require.Len(t, MismatchedResponses([]load.Result{{Mismatch: "crossed"}, {}}), 1)
}
