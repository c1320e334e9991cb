package main

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// poison plays a request that crashes each worker that begins to run it and that comes again
// with the same path and body, at any VM.
func poison(d *deployment, trouble bool) verdict {
	const (
		vms, workers  = 8, 8
		length        = 99 * time.Second
		poisonPath    = "/dera/bill/17"
		stableWindow  = 3 * time.Second
		restartAfter  = 3 * time.Second
		allowedRetry  = 3
		poisonGap     = 150 * time.Millisecond
		ordinaryGap   = 75 * time.Millisecond
		ordinaryLimit = 3 * time.Second
	)
	d.configure(1, map[string]route{
		"bill": {Host: host, Prefix: "/dera/", RouteType: "non_idempotent", TimeoutS: 2, TargetLatencyS: 0.5, Service: "kiszallitas", MaxAttempts: 2},
	}, map[string]service{"kiszallitas": {HealthPath: "/health", MaxConns: 130, ColdStartS: 3, ColdPerS: 3.1}})
	var all []*worker
	for i := range workers {
		w := newWorker(d, fmt.Sprintf("i-%d-0", i+1), "kiszallitas", 2, 8, 100*time.Millisecond)
		w.crashes = func(r *http.Request) bool { return trouble && r.URL.Path == poisonPath }
		w.start(0)
		all = append(all, w)
	}
	d.startVMs(vms)
	time.Sleep(2 * time.Second)
	end := time.Now().Add(length)
	var lives sync.WaitGroup
	for i, w := range all {
		lives.Add(1)
		go func() {
			defer lives.Done()
			for life := 1; time.Now().Before(end); {
				time.Sleep(20 * time.Millisecond)
				w.mu.Lock()
				up := w.up
				w.mu.Unlock()
				if up {
					continue
				}
				gone := w.id
				time.Sleep(restartAfter)
				// The store removes the entry of a silent worker after three heartbeats.
				d.store.Remove("servers", gone)
				w.mu.Lock()
				w.id = fmt.Sprintf("i-%d-%d", i+1, life)
				w.mu.Unlock()
				life++
				w.start(3 * time.Second)
			}
		}()
	}
	var clients sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		v := d.vms[n%vms]
		clients.Add(1)
		go func() {
			defer clients.Done()
			d.send(v, http.MethodPut, fmt.Sprintf("/dera/bill/o%d", n), []byte("ordinary"), ordinaryLimit)
		}()
		if n%int(poisonGap/ordinaryGap) == 0 {
			p := d.vms[(n/int(poisonGap/ordinaryGap))%vms]
			clients.Add(1)
			go func() {
				defer clients.Done()
				d.send(p, http.MethodPut, poisonPath, []byte("the same body"), ordinaryLimit)
			}()
		}
		time.Sleep(ordinaryGap)
	}
	clients.Wait()
	lives.Wait()
	var crashed, reached []time.Time
	for _, w := range all {
		for _, a := range w.seen() {
			if !strings.HasPrefix(a.path, poisonPath) {
				continue
			}
			switch a.result {
			case "crashes on":
				crashed = append(crashed, a.at)
			case "gets":
				reached = append(reached, a.at)
			}
		}
	}
	byTime := func(s []time.Time) { sort.Slice(s, func(i, j int) bool { return s[i].Before(s[j]) }) }
	byTime(crashed)
	byTime(reached)
	if len(crashed) < 3 {
		return verdict{false, fmt.Sprintf("held: the request reached workers %d times and crashed %d", len(reached), len(crashed))}
	}
	late := 0
	for _, at := range reached {
		if at.After(crashed[2].Add(stableWindow)) {
			late++
		}
	}
	var times []string
	for _, at := range crashed {
		times = append(times, fmt.Sprintf("%.1f", at.Sub(d.rec.start).Seconds()))
	}
	return verdict{late > allowedRetry, fmt.Sprintf("the request crashed workers at %s s; it reached workers %d times later than %v after the third crash, %d are allowed",
		strings.Join(times, ", "), late, stableWindow, allowedRetry)}
}
