package policy

import (
	"os"
	"testing"

	"dandelionhill.dev/core/config"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// presetTolerance is the difference in the share of requests answered in time
// below which two presets count as equal.
const presetTolerance = 0.001

func exampleDocument(t *testing.T, name string) *config.Document {
	data, err := os.ReadFile("../../examples/" + name + "/configuration.json")
	require.NoError(t, err)
	doc, err := config.Parse(name, data)
	require.NoError(t, err)
	return doc
}

// TestPresets guards against example values under which another preset than the
// intended one is best in a situation.
func TestPresets(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"elozokozosseg", "hooghly"} {
		doc := exampleDocument(t, name)
		for _, mean := range presetServiceTimes {
			for _, x := range situations {
				intended, best := 0.0, 0.0
				for i, run := range runPresets(seed, doc, mean, x) {
					t.Log(name, mean, x.name, doc.Presets[i].Name, run.inTimeShare(), run.refusals)
					best = max(best, run.inTimeShare())
					if doc.Presets[i].Name == x.intendedPreset {
						intended = run.inTimeShare()
					}
				}
				assert.GreaterOrEqual(t, intended, best-presetTolerance, "%s: %s at %v", name, x.name, mean)
			}
		}
	}
}

// TestPresetsDiffer guards against a comparison that does not detect a wrong
// value, here a queue that is too short.
func TestPresetsDiffer(t *testing.T) {
	t.Parallel()
	doc := exampleDocument(t, "hooghly")
	outAndBack := situations[2]
	run := func() float64 { return runPresets(seed, doc, presetServiceTimes[0], outAndBack)[2].inTimeShare() }
	good := run()
	doc.Presets[2].QueueLength = 1
	require.Less(t, run(), good-10*presetTolerance)
}
