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
	// upstreamDeadline is on the clock of the upstream, in milliseconds.
	upstreamDeadline = "3600000"
	warmCalls        = 100 // not counted: connections are opened and upstreams warm up
)

// routerOverDirect compares calls through the router with calls of a like
// upstream without it, in turn and in the same run.
func routerOverDirect(ctx context.Context, e env) ([]metric.Metric, error) {
	r, err := e.start(ctx, vmCount, serviceTime)
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	alone := upstream.New(upstream.Config{
		ID: "alone", Slots: directWorkers, ServiceTime: serviceTime, QueueLimit: directWorkers, Checks: lease.ChecksNone, Seed: e.seed,
	})
	if err := alone.Start("127.0.0.1:0"); err != nil {
		return nil, errors.Wrap(err, "start upstream")
	}
	defer alone.Stop()
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
			for n := range directCalls + warmCalls {
				path := fmt.Sprintf("/history/%d-%d", w, n)
				viaRouter, err := timed(ctx, client, r.Entries()[n%vmCount]+"/"+string(r.target().Service)+path, fmt.Sprintf("key-%d-%d", w, n))
				var straight time.Duration
				if err == nil {
					straight, err = timed(ctx, client, "http://"+alone.Address()+path, "")
				}
				mu.Lock()
				var refused *refusedError
				if errors.As(err, &refused) {
					refusals, err = refusals+1, nil
				} else if err != nil {
					failure = err
				} else if n >= warmCalls {
					routed.RecordValue(viaRouter.Microseconds())
					direct.RecordValue(straight.Microseconds())
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
		return nil, errors.Errorf("%d calls were refused: the comparison means nothing", refusals)
	}
	ratio := func(name string, quantile float64) metric.Metric {
		via, straight := float64(routed.ValueAtQuantile(quantile)), float64(direct.ValueAtQuantile(quantile))
		return e.measured(name, via/straight, "ratio", fmt.Sprintf("%.2f ms over %.2f ms, service time %v", via/1000, straight/1000, serviceTime))
	}
	return []metric.Metric{
		ratio("router_over_direct_p50", 50), ratio("router_over_direct_p99", 99),
		e.measured("router_over_direct_refused", float64(refusals)/(directWorkers*(directCalls+warmCalls)), "share", "pairs of calls left out because one was refused"),
	}, nil
}

// refusedError is a call that was answered with another status than 200.
type refusedError struct{ error }

// timed makes one call and returns how long it took.
func timed(ctx context.Context, client *http.Client, url, key string) (time.Duration, error) {
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
		return 0, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return 0, &refusedError{errors.Errorf("%s answered %d: %s", url, resp.StatusCode, body)}
	}
	return time.Since(start), nil
}
