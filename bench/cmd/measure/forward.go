package main

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"dandelionhill.dev/bench/forward"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/config"
)

// readDocument reads a configuration file.
func readDocument(path string) (*config.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read example")
	}
	return config.Parse(path, data)
}

// forwarding measures the cost of a request in the router.
func forwarding(_ context.Context, e env) ([]metric.Metric, error) {
	doc, err := readDocument(e.example)
	if err != nil {
		return nil, err
	}
	return forward.Metrics(doc, e.seed)
}
