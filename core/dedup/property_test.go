package dedup_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/dedup"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// tableUnderTest is a Table or a broken variant of one.
type tableUnderTest interface {
	Begin(wall time.Time, id string) dedup.Decision
	Finish(wall time.Time, id string, result dedup.Result)
}

// factory creates tables after a loss, and after a handover from an earlier table.
type factory struct {
	fresh   func(start time.Time) tableUnderTest
	inherit func(old tableUnderTest) tableUnderTest
}

var testConfig = dedup.Config{ClockSkew: 500 * time.Millisecond, Retention: 20 * time.Second, Capacity: 12, MaxTotalBodyBytes: 64}

func correct() factory {
	return factory{
		fresh: func(start time.Time) tableUnderTest { return dedup.New(testConfig, start) },
		inherit: func(old tableUnderTest) tableUnderTest {
			return dedup.Restore(testConfig, old.(*dedup.Table).Snapshot())
		},
	}
}

// history runs random requests, retries, losses and handovers on VMs whose clock
// errors are at most half of the skew, and returns the maximum number of runs of
// one ID.
func history(t *rapid.T, tables factory) int {
	const halfSkew = 250
	now := start
	draw := func(lo, hi int, label string) time.Duration {
		return time.Duration(rapid.IntRange(lo, hi).Draw(t, label)) * time.Millisecond
	}
	vmError := draw(-halfSkew, halfSkew, "vm error")
	wall := func() time.Time { return now.Add(vmError) }
	table := tables.fresh(wall())
	var ids, open []string
	runs := map[string]int{}
	worst := 0
	send := func(id string) {
		if table.Begin(wall(), id).Action == dedup.Run {
			runs[id]++
			worst = max(worst, runs[id])
			open = append(open, id)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"new": func(*rapid.T) {
			id := newID(now.Add(draw(-halfSkew, halfSkew, "caller error")), uint64(len(ids)))
			ids = append(ids, id)
			send(id)
		},
		"repeat": func(*rapid.T) {
			if len(ids) > 0 {
				send(rapid.SampledFrom(ids).Draw(t, "id"))
			}
		},
		"finish": func(*rapid.T) {
			if len(open) == 0 {
				return
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "run")
			id := open[i]
			open = slices.Delete(open, i, i+1)
			outcome := rapid.SampledFrom([]api.Outcome{api.Answered, api.Unknown, api.NotRun}).Draw(t, "outcome")
			if outcome == api.NotRun {
				runs[id]--
			}
			table.Finish(wall(), id, dedup.Result{Outcome: outcome, Response: &dedup.Response{Body: []byte("0123456789")}})
		},
		"time": func(*rapid.T) { now = now.Add(draw(0, 15_000, "step")) },
		"loss": func(*rapid.T) {
			// A takeover is at least 1 s after the last run of the lost holder.
			now = now.Add(draw(1_000, 3_000, "takeover"))
			vmError = draw(-halfSkew, halfSkew, "vm error")
			table = tables.fresh(wall())
			open = nil
		},
		"handover": func(*rapid.T) {
			table = tables.inherit(table)
			vmError = draw(-halfSkew, halfSkew, "vm error")
		},
	})
	return worst
}

// TestAtMostOnce guards against a second run of an ID after a retry, an
// expiry, a loss of the table or a handover.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if n := history(t, correct()); n > 1 {
			t.Fatalf("one ID ran %d times", n)
		}
	})
}

// rerunsForgotten runs IDs that must be refused as forgotten.
type rerunsForgotten struct{ *dedup.Table }

func (r rerunsForgotten) Begin(wall time.Time, id string) dedup.Decision {
	d := r.Table.Begin(wall, id)
	if d.Refusal != nil && d.Refusal.Kind == api.ForgottenID {
		return dedup.Decision{Action: dedup.Run}
	}
	return d
}

// rerunsRunning runs retries instead of waiting for the run in progress.
type rerunsRunning struct{ *dedup.Table }

func (r rerunsRunning) Begin(wall time.Time, id string) dedup.Decision {
	d := r.Table.Begin(wall, id)
	if d.Action == dedup.Wait {
		d.Action = dedup.Run
	}
	return d
}

// TestCheckDetectsBrokenVariants guards against a check of at-most-once that
// cannot fail: each variant breaks one rule, which the check must detect.
func TestCheckDetectsBrokenVariants(t *testing.T) {
	noSkew := testConfig
	noSkew.ClockSkew = time.Nanosecond
	variants := map[string]factory{
		"runs forgotten IDs": {
			fresh:   func(start time.Time) tableUnderTest { return rerunsForgotten{dedup.New(testConfig, start)} },
			inherit: func(old tableUnderTest) tableUnderTest { return old },
		},
		"reruns a running request": {
			fresh:   func(start time.Time) tableUnderTest { return rerunsRunning{dedup.New(testConfig, start)} },
			inherit: func(old tableUnderTest) tableUnderTest { return old },
		},
		"loses the table in a handover": {
			fresh:   func(start time.Time) tableUnderTest { return dedup.New(testConfig, start) },
			inherit: func(tableUnderTest) tableUnderTest { return dedup.New(testConfig, start) },
		},
		"dates a lost table too early": {
			fresh:   func(time.Time) tableUnderTest { return dedup.New(testConfig, start) },
			inherit: func(old tableUnderTest) tableUnderTest { return old },
		},
	}
	for name, variant := range variants {
		detected := false
		for seed := 0; seed < 500 && !detected; seed++ {
			detected = rapid.Custom(func(t *rapid.T) bool { return history(t, variant) > 1 }).Example(seed)
		}
		if !detected {
			t.Errorf("the check does not detect a table that %s", name)
		}
	}
}

// FuzzParseID guards against IDs that are accepted in two forms, or with
// another version, and against dates that do not fit the arithmetic.
func FuzzParseID(f *testing.F) {
	for _, seed := range []string{
		"", "0198a1b2-c3d4-7000-8000-000000000001", "0198A1B2-C3D4-7FFF-BFFF-FFFFFFFFFFFF", "0198a1b2-c3d4-4000-8000-000000000001",
		"0198a1b2-c3d4-7000-c000-000000000001", "{198a1b2-c3d4-7000-8000-000000000001}", "ffffffff-ffff-7fff-bfff-ffffffffffff", "urn:uuid:0198a1b2-c3d4-7000-8000-0000",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := dedup.ParseID(text)
		table := dedup.New(dedup.Config{}, start)
		d := table.Begin(start.Add(time.Hour), text)
		if err != nil {
			if kind(d) != api.InvalidID {
				t.Fatalf("%q does not parse, but Begin says %v", text, d)
			}
			return
		}
		again, err := dedup.ParseID(id.String())
		if err != nil || again != id || id.UnixMilli() < 0 {
			t.Fatalf("%q parses as %s, which parses as %s (%v)", text, id, again, err)
		}
		if d.Action == dedup.Run && table.Begin(start.Add(time.Hour), id.String()).Action != dedup.Wait {
			t.Fatalf("%q ran twice", text)
		}
	})
}
