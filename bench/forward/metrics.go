package forward

import (
	"fmt"

	"github.com/pkg/errors"

	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/config"
)

const (
	// Workers is the number of requests in progress at once, below the slots of
	// the upstreams, so that hardly any request waits for one.
	Workers      = 8
	requestCount = 10_000
)

// Metrics measures the paths through a router with the document's keyed
// service. The cost of the harness is subtracted.
func Metrics(doc *config.Document, seed uint64) ([]metric.Metric, error) {
	harness, err := Measure(Baseline, requestCount, Workers)
	if err != nil {
		return nil, err
	}
	var out []metric.Metric
	for _, x := range []struct {
		name, note string
		o          Options
	}{
		{"same_vm", "upstream is a function", Options{}},
		{"peer", "both VMs counted, upstream is a function", Options{Peer: true}},
		{"same_vm_http", "upstream over HTTP, both its ends counted", Options{HTTP: true}},
	} {
		x.o.Document = doc
		cost, err := measurePath(x.o)
		if err != nil {
			return out, errors.WithMessage(err, x.name)
		}
		cost = cost.Minus(harness)
		note := fmt.Sprintf("%s; %v of processor time and %.0f bytes a request; without the %v, %.0f allocations of the harness",
			x.note, cost.CPU, cost.Bytes, harness.CPU, harness.Allocations)
		out = append(out,
			metric.Metric{Name: "requests_per_second_per_core." + x.name, Value: cost.RequestsPerCore(), Unit: "1/s", Seed: seed, Note: note},
			metric.Metric{Name: "allocations_per_request." + x.name, Value: cost.Allocations, Unit: "count", Seed: seed, Note: note})
	}
	return out, nil
}

func measurePath(o Options) (Cost, error) {
	p, err := Open(o)
	if err != nil {
		return Cost{}, err
	}
	defer p.Close()
	return Measure(p.Do, requestCount, Workers)
}
