package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/fakes/upstream"
)

const (
	directWorkers = 4
	directCalls   = 1500 // by each worker, of each kind
	// upstreamDeadline is in milliseconds on the clock of the upstream.
	upstreamDeadline = "3600000"
	warmUpCalls      = 100 // not counted: connections are opened and upstreams warm up
)

// routerOverDirect compares calls through the router with direct calls to an
// equal upstream, alternately and in the same run.
func routerOverDirect(ctx context.Context, e env) ([]metric.Metric, error) {
	r, err := e.start(ctx, vmCount, serviceTime)
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	directUpstream := upstream.New(upstream.Config{
		ID: "alone", Slots: directWorkers, ServiceTime: serviceTime, QueueLimit: directWorkers, Checks: lease.ChecksNone, Seed: e.seed,
	})
	if err := directUpstream.Start("127.0.0.1:0"); err != nil {
		return nil, errors.Wrap(err, "start upstream")
	}
	defer directUpstream.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * directWorkers}}
	defer client.CloseIdleConnections()
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	routed, direct := newHistogram(), newHistogram()
	var mu sync.Mutex
	var group sync.WaitGroup
	var failure error
	refusals := 0
	for w := range directWorkers {
		group.Go(func() {
			for n := range directCalls + warmUpCalls {
				path := fmt.Sprintf("/history/%d-%d", w, n)
				routedLatency, err := timeCall(ctx, client, r.Entries()[n%vmCount]+"/"+string(r.keyedTarget().Service)+path, fmt.Sprintf("key-%d-%d", w, n))
				var directLatency time.Duration
				if err == nil {
					directLatency, err = timeCall(ctx, client, "http://"+directUpstream.Address()+path, "")
				}
				mu.Lock()
				var refused *statusError
				if errors.As(err, &refused) {
					refusals, err = refusals+1, nil
				} else if err != nil {
					failure = err
				} else if n >= warmUpCalls {
					routed.RecordValue(routedLatency.Microseconds())
					direct.RecordValue(directLatency.Microseconds())
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	group.Wait()
	if failure != nil {
		return nil, failure
	}
	if direct.TotalCount() < directWorkers*directCalls*9/10 {
		return nil, errors.Errorf("%d calls were refused: too few are left to compare", refusals)
	}
	ratio := func(name string, quantile float64) metric.Metric {
		routedUs, directUs := float64(routed.ValueAtQuantile(quantile)), float64(direct.ValueAtQuantile(quantile))
		return e.measured(name, routedUs/directUs, "ratio", fmt.Sprintf("%.2f ms over %.2f ms, service time %v", routedUs/1000, directUs/1000, serviceTime))
	}
	return []metric.Metric{
		ratio("router_over_direct_p50", 50), ratio("router_over_direct_p99", 99),
		e.measured("router_over_direct_refused", float64(refusals)/(directWorkers*(directCalls+warmUpCalls)), "share", "pairs of calls left out because one was refused"),
	}, nil
}

// statusError is the error of a call with a status other than 200.
type statusError struct{ error }

// timeCall makes one call and returns how long it took.
func timeCall(ctx context.Context, client *http.Client, url, key string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	req.Header.Set(api.HeaderKey, key)
	req.Header.Set(api.HeaderDeadline, upstreamDeadline) // the router replaces it
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return 0, &statusError{errors.Errorf("%s responded with status %d: %s", url, resp.StatusCode, body)}
	}
	return time.Since(start), nil
}
