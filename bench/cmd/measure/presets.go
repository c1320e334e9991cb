package main

import (
	"context"

	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/bench/policy"
)

// presets compares the presets of both examples in the situations they are intended for.
func presets(_ context.Context, e env) ([]metric.Metric, error) {
	var out []metric.Metric
	for _, name := range []string{"elozokozosseg", "hooghly"} {
		doc, err := readDocument(e.otherExample(name))
		if err != nil {
			return out, err
		}
		out = append(out, policy.Presets(name, doc, e.seed)...)
	}
	return out, nil
}
