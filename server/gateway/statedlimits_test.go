package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

const (
	// testRateLimit is the limit that an upstream states, in requests per second.
	testRateLimit = 2.0
	// limitWindow is the length of any time in which an upstream gets at most
	// maxInLimitWindow requests, once limitGrace has passed since it first stated a limit.
	limitWindow      = 4 * time.Second
	limitGrace       = 3 * time.Second
	limitKnownAfter  = 500 * time.Millisecond
	maxInLimitWindow = 1.5*4*testRateLimit + 5
)

// sendRequests sends a request to a path through each VM at an interval until the returned
// function is called; key -1 sends no key. told maps each VM to when it first passed on a response
// that states a limit.
func (d *deployment) sendRequests(path string, key int, interval time.Duration) (told *sync.Map, stop func()) {
	told = &sync.Map{}
	ctx, cancel := context.WithCancel(d.t.Context())
	var senders sync.WaitGroup
	for _, g := range d.vms {
		senders.Add(1)
		go func() {
			defer senders.Done()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%s/%d", g.settings.VM, n)
				senders.Add(1)
				go func() {
					defer senders.Done()
					d.sendOnce(ctx, g, path, id, key, told)
				}()
				<-ticker.C
			}
		}()
	}
	return told, func() {
		cancel()
		senders.Wait()
	}
}

// sendOnce sends a request. It records in told when the VM has passed on a response that states
// a limit.
func (d *deployment) sendOnce(ctx context.Context, g *Gateway, path, id string, key int, told *sync.Map) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.settings.Listen.Callers+path, strings.NewReader("body"))
	if err != nil {
		d.t.Error(err)
		return
	}
	req.Host = testHost
	req.Header.Set(fleet.HeaderRequestID, id)
	req.Header.Set(fleet.HeaderDeadlineMs, "1000")
	if key >= 0 {
		req.Header.Set(fleet.HeaderKey, fmt.Sprint(key))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	resp.Body.Close()
	if resp.Header.Get(fleet.HeaderRateLimit) != "" {
		told.LoadOrStore(string(g.settings.VM), time.Now())
	}
}

// maxArrivals returns the largest number of requests that an upstream got in a limitWindow
// which ends limitGrace after it first stated a limit or later. A VM counts from limitKnownAfter
// after it has passed on such a response.
func maxArrivals(u *fakes.Upstream, stated time.Time, told *sync.Map) (most int) {
	var runs []fakes.Run
	for _, run := range u.Runs() {
		vm, _, _ := strings.Cut(run.RequestID, "/")
		if at, ok := told.Load(vm); ok && run.At.Sub(at.(time.Time)) > limitKnownAfter {
			runs = append(runs, run)
		}
	}
	for last, run := range runs {
		if run.At.Before(stated.Add(limitGrace)) {
			continue
		}
		n := 0
		for _, earlier := range runs[:last+1] {
			if run.At.Sub(earlier.At) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// runsSince returns the number of requests that an upstream got since a time.
func runsSince(u *fakes.Upstream, since time.Time) (n int) {
	for _, run := range u.Runs() {
		if run.At.After(since) {
			n++
		}
	}
	return n
}

// TestStatedLimitHoldsForAllVMs guards against an upstream that gets more requests from all VMs
// together than the limit that it states in its responses.
func TestStatedLimitHoldsForAllVMs(t *testing.T) {
	for name, path := range map[string]string{"keyed": keyedPath, "plain": plainPath} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			limited, key := d.addUpstream("u1", name), 1
			if name == "plain" {
				key = -1
				d.addUpstream("u2", name)
			}
			for i := range 11 {
				d.startVM(fmt.Sprintf("vm-%d", i))
			}
			for _, g := range d.vms {
				d.requireServed(g, path, key)
			}
			stated := time.Now()
			limited.SetRateLimit(testRateLimit)
			told, stop := d.sendRequests(path, key, 100*time.Millisecond)
			defer stop()
			time.Sleep(limitGrace + limitWindow)
			require.LessOrEqual(t, float64(maxArrivals(limited, stated, told)), maxInLimitWindow)
			reached := time.Now()
			d.eventually(func() bool { return runsSince(limited, reached) > 2 }, "the upstream gets what it takes")

			limited.SetRateLimit(0)
			d.eventually(func() bool {
				return !slices.ContainsFunc(d.vms, func(g *Gateway) bool { return g.control.view().upstreams["u1"].limiter.rate() > 0 })
			}, "a limit that is no longer stated ends at all VMs")
		})
	}
}
