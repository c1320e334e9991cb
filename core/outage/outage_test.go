package outage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/outage"
)

const (
	second = time.Second
	// wordAge is an age at which the word of the granter still counts.
	wordAge = 500 * time.Millisecond
)

// TestCutOffFromAWellStore guards against a removal that is put off because this VM alone was cut off
// from the store, so that it sends requests to an upstream that has left (DRAIN).
func TestCutOffFromAWellStore(t *testing.T) {
	for name, c := range map[string]struct {
		// word is what the granter says once the VM has regained the store.
		word     time.Duration
		answers  bool
		wait     time.Duration
		lateWord bool // the word comes after the removal was read
	}{
		"the store answered the granter":                    {word: 60 * second, answers: true},
		"the granter's word comes late":                     {word: 60 * second, answers: true, lateWord: true},
		"the store is back for the granter as well":         {word: second / 2, answers: true, wait: outage.Grace - second/2},
		"the store has just answered the granter":           {word: time.Millisecond, answers: true, wait: outage.Grace - time.Millisecond},
		"a granter of an earlier version does not say":      {answers: true, wait: outage.Grace},
		"the store does not answer the granter":             {wait: outage.Grace},
		"the granter says nothing of a span but of silence": {word: 60 * second, wait: outage.Grace},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := outage.New(0)
			tracker.Answers(100*second, false)
			tracker.Answers(104*second, true)
			if c.lateWord {
				require.Equal(t, outage.Grace, tracker.Wait(104*second))
			}
			tracker.Word(104*second, c.answers, c.word)
			require.Equal(t, c.wait, tracker.Wait(104*second))
			require.Zero(t, tracker.Wait(104*second+outage.Grace))
		})
	}
}

// TestWordDuringTheCut guards against a grace after a cut of this VM in which the granter said all
// the time that the store answers it, also where it does not say for how long.
func TestWordDuringTheCut(t *testing.T) {
	tracker := outage.New(0)
	tracker.Word(99*second, true, 0)
	tracker.Answers(99*second, false)
	for now := 99 * second; now < 104*second; now += 250 * time.Millisecond {
		tracker.Word(now, true, 0)
	}
	tracker.Answers(104*second, true)
	require.Zero(t, tracker.Wait(104*second))
}

// TestOutage guards against the removal of running upstreams whose registrations have expired while
// the store was down.
func TestOutage(t *testing.T) {
	tracker := outage.New(0)
	tracker.Word(100*second, true, 90*second)
	tracker.Answers(101*second, false)
	tracker.Word(101*second, false, 0)
	require.Zero(t, tracker.KnownFor(102*second))
	require.Equal(t, outage.Grace, tracker.Wait(102*second), "it is not known who has read the removal")
	tracker.Word(107*second, true, 100*time.Millisecond)
	require.Equal(t, outage.Grace-100*time.Millisecond, tracker.Wait(107*second))
	tracker.Answers(107*second+wordAge, true)
	require.Equal(t, outage.Grace-1100*time.Millisecond, tracker.Wait(108*second))
	require.Equal(t, 1100*time.Millisecond, tracker.KnownFor(108*second))

	lost := outage.New(0)
	lost.Word(100*second, true, 90*second)
	lost.Answers(101*second, false)
	lost.Word(107*second, true, 0)
	require.Equal(t, outage.Grace, lost.Wait(107*second), "the word of before has lapsed")
}

// TestNewVMVouchesForItsOwnTime guards against a granter that has started after an outage and says
// that the store has answered since before.
func TestNewVMVouchesForItsOwnTime(t *testing.T) {
	tracker := outage.New(10 * second)
	require.Zero(t, tracker.Wait(10*second), "a VM that starts knows of no outage")
	require.Equal(t, second, tracker.KnownFor(11*second))
}

// TestRestoredStore guards against removals that count at once after the store went back to an older
// copy.
func TestRestoredStore(t *testing.T) {
	tracker := outage.New(0)
	tracker.Restored(100 * second)
	require.Equal(t, outage.Grace, tracker.Wait(100*second))
	tracker.Word(100*second, true, 60*second)
	require.Equal(t, outage.Grace, tracker.Wait(100*second), "the granter may not have seen it yet")
}
