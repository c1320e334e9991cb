package crash_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"dandelionhill.dev/core/crash"
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

// evidence is implemented by Evidence and by the broken variants.
type evidence interface {
	Admit(now time.Duration, fingerprint uint64) crash.Verdict
	Started(now time.Duration, fingerprint uint64)
	Succeeded(now time.Duration, fingerprint uint64)
	Crashed(now time.Duration, inFlight []uint64)
	Ended(now time.Duration, fingerprint uint64)
	Snapshot(limit int) []crash.Entry
	Merge(now time.Duration, entries []crash.Entry)
}

const harmless = 3 // fingerprints 0 to 2 are harmless, poison crashes each upstream

// history sends harmless and crashing requests to upstreams with two slots, with
// takeovers by a witness that has received the evidence. It returns the number of
// upstreams that the poison request crashed within one quarantine.
func history(t *rapid.T, newEvidence func() evidence) int {
	crashed := 0
	e := newEvidence()
	now := time.Duration(0)
	up := [4][]uint64{}
	admit := func(fingerprint uint64) {
		i := rapid.IntRange(0, len(up)-1).Draw(t, "upstream")
		verdict := e.Admit(now, fingerprint)
		exclusive := len(up[i]) > 0 && e.Admit(now, up[i][0]) == crash.Wait
		if verdict == crash.Exclusive && len(up[i]) > 0 || verdict > crash.Exclusive || len(up[i]) >= 2 || exclusive {
			return
		}
		e.Started(now, fingerprint)
		up[i] = append(up[i], fingerprint)
	}
	t.Repeat(map[string]func(*rapid.T){
		"poison":   func(*rapid.T) { admit(poison) },
		"harmless": func(t *rapid.T) { admit(rapid.Uint64Range(0, harmless-1).Draw(t, "fingerprint")) },
		"end": func(t *rapid.T) {
			i := rapid.IntRange(0, len(up)-1).Draw(t, "upstream")
			if len(up[i]) == 0 {
				return
			}
			for _, f := range up[i] {
				if f == poison {
					crashed++
					e.Crashed(now, up[i])
					up[i] = nil
					return
				}
			}
			f := up[i][0]
			up[i] = up[i][1:]
			if rapid.IntRange(0, 4).Draw(t, "shed") == 0 {
				e.Ended(now, f)
			} else {
				e.Succeeded(now, f)
			}
		},
		"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond },
		"takeover": func(*rapid.T) {
			// The evidence is complete only without runs in progress, which would end with
			// the lost holder.
			for i := range up {
				if len(up[i]) > 0 {
					return
				}
			}
			entries := e.Snapshot(256)
			e = newEvidence()
			e.Merge(now, entries)
		},
	})
	return crashed
}

// TestPoisonCrashesTwoUpstreams guards against a request that crashes more than
// two upstreams in any order of runs, crashes and takeovers.
func TestPoisonCrashesTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if n := history(t, func() evidence { return crash.New(crash.Config{}) }); n > 2 {
			t.Fatalf("%d upstreams crashed", n)
		}
	})
}

// admitsSuspects is a variant that lets a suspect run next to others and twice at
// once.
type admitsSuspects struct{ *crash.Evidence }

func (c admitsSuspects) Admit(now time.Duration, fingerprint uint64) crash.Verdict {
	if v := c.Evidence.Admit(now, fingerprint); v == crash.Quarantined {
		return v
	}
	return crash.Normal
}

// losesEvidence is a variant that loses the evidence in a takeover.
type losesEvidence struct{ *crash.Evidence }

func (losesEvidence) Merge(time.Duration, []crash.Entry) {}

// TestCheckDetectsVariants guards against a check of crashes that cannot fail.
func TestCheckDetectsVariants(t *testing.T) {
	for name, variant := range map[string]func() evidence{
		"suspects admitted": func() evidence { return admitsSuspects{crash.New(crash.Config{})} },
		"evidence lost":     func() evidence { return losesEvidence{crash.New(crash.Config{})} },
	} {
		detected := false
		for seed := 0; seed < 500 && !detected; seed++ {
			detected = rapid.Custom(func(t *rapid.T) bool { return history(t, variant) > 2 }).Example(seed)
		}
		if !detected {
			t.Errorf("the check does not detect the %s variant", name)
		}
	}
}

// TestHarmlessStaysOutOfQuarantine guards against the quarantine of a request
// that has succeeded and keeps running next to crashing ones.
func TestHarmlessStaysOutOfQuarantine(t *testing.T) {
	e := crash.New(crash.Config{})
	for f := range uint64(harmless) {
		e.Started(0, f)
		e.Succeeded(0, f)
	}
	for i := range uint64(50) {
		fingerprint := i % harmless
		if e.Admit(0, fingerprint) != crash.Normal {
			t.Fatalf("fingerprint %d is not admitted", fingerprint)
		}
		e.Started(0, fingerprint)
		crashing := 1000 + i
		e.Started(0, crashing)
		e.Crashed(0, []uint64{fingerprint, crashing})
		if v := e.Admit(0, fingerprint); v != crash.Exclusive {
			t.Fatalf("a suspect is admitted as %v", v)
		}
		e.Started(0, fingerprint)
		e.Succeeded(0, fingerprint)
	}
}
