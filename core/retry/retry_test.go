package retry

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionhill.dev/api"
)

// Property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestDecideReasons(t *testing.T) {
	sec := time.Second
	for name, c := range map[string]struct {
		layer  Layer
		a      Attempt
		reason Reason
	}{
		"answered is final":                 {Holder, Attempt{Outcome: api.Answered, Idempotent: true, Number: 1, Remaining: sec}, WasAnswered},
		"unknown, not idempotent":           {Holder, Attempt{Outcome: api.Unknown, Kind: api.UpstreamFailed, Number: 1, Remaining: sec}, MayHaveRun},
		"unknown and idempotent":            {Holder, Attempt{Outcome: api.Unknown, Kind: api.UpstreamFailed, Idempotent: true, Number: 1, Remaining: sec}, Retried},
		"not run":                           {Holder, Attempt{Outcome: api.NotRun, Kind: api.Shed, Number: 1, Remaining: sec}, Retried},
		"upstream not reached":              {Holder, Attempt{Outcome: api.NotRun, Kind: api.NoOwner, Number: 1, Remaining: sec}, Retried},
		"full queue gets no more load":      {Holder, Attempt{Outcome: api.NotRun, Kind: api.QueueFull, Number: 1, Remaining: sec}, KindIsFinal},
		"quarantined must not run":          {Holder, Attempt{Outcome: api.NotRun, Kind: api.Quarantined, Idempotent: true, Number: 1, Remaining: sec}, KindIsFinal},
		"entry leaves upstreams to holder":  {Entry, Attempt{Outcome: api.NotRun, Kind: api.Shed, Number: 1, Remaining: sec}, OtherLayer},
		"holder leaves not_holder to entry": {Holder, Attempt{Outcome: api.NotRun, Kind: api.NotHolder, Number: 1, Remaining: sec}, OtherLayer},
		"entry, second retry of not_holder": {Entry, Attempt{Outcome: api.NotRun, Kind: api.NotHolder, Number: 2, Remaining: sec}, Retried},
		"entry, third retry of not_holder":  {Entry, Attempt{Outcome: api.NotRun, Kind: api.NotHolder, Number: 3, Remaining: sec}, AttemptsSpent},
		"hint beyond the deadline":          {Holder, Attempt{Outcome: api.NotRun, Kind: api.Shed, Number: 1, Remaining: sec, RetryAfter: sec}, NoTime},
		"no time left":                      {Holder, Attempt{Outcome: api.NotRun, Kind: api.Shed, Number: 1}, NoTime},
		"hint that overflows":               {Holder, Attempt{Outcome: api.NotRun, Kind: api.Shed, Number: 1, Remaining: sec, RetryAfter: 1<<63 - 1}, NoTime},
	} {
		_, ok, reason := NewBudget(DefaultConfig(c.layer)).Decide(0, c.a, rand.New(rand.NewPCG(1, 1)))
		require.Equal(t, c.reason, reason, name)
		require.Equal(t, c.reason == Retried, ok, name)
	}
}

// TestRetriesStayWithinBudgetTimeAndHint guards against retries beyond the budget or
// the caller's deadline, or before the hint, after any sequence of failures.
func TestRetriesStayWithinBudgetTimeAndHint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(DefaultConfig(Holder))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.Request()
				requests++
			}
			a := Attempt{
				Outcome: rapid.SampledFrom([]api.Outcome{api.Answered, api.NotRun, api.Unknown}).Draw(t, "outcome"),
				Kind:    rapid.SampledFrom([]api.Kind{api.Shed, api.UpstreamFailed, api.QueueFull}).Draw(t, "kind"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Number: rapid.IntRange(1, 100).Draw(t, "number"), Remaining: time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(t, "remaining")),
				RetryAfter: time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "hint")),
			}
			delay, ok, _ := b.Decide(0, a, rng)
			if !ok {
				continue
			}
			retries++
			require.True(t, a.Outcome == api.NotRun || a.Outcome == api.Unknown && a.Idempotent)
			require.GreaterOrEqual(t, delay, a.RetryAfter)
			require.Less(t, delay, a.Remaining)
			require.LessOrEqual(t, delay-a.RetryAfter, 200*time.Millisecond)
		}
		require.LessOrEqual(t, float64(retries), 1+0.1*float64(requests)+1e-6)
	})
}
