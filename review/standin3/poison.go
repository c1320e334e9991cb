package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

const (
	poisonBody = `{"order":"crash"}`
	// poisonEvery is the time between two attempts of the client.
	poisonEvery = 2 * time.Second
	// poisonTime bounds the time for which it comes again.
	poisonTime = 90 * time.Second
	// crashAfter is how long a worker works on the request before it crashes.
	crashAfter = 100 * time.Millisecond
	// crashedFor is how long a crashed worker is down, lapse how long its entry stays.
	crashedFor = 4 * time.Second
	lapse      = 2600 * time.Millisecond
	// stableWindow is StableWindowS, allowedRetries what the rule allows.
	stableWindow   = 3 * time.Second
	allowedRetries = 3
)

// weightedRoute is a route of several services.
type weightedRoute struct {
	Host, Prefix, RouteType  string
	TimeoutS, TargetLatencyS float64
	Priority, MaxAttempts    int
	WeightedServices         []weightedService
}

type weightedService struct {
	Service string
	Weight  int
}

// poisonRuns records the runs of the request that crashes workers, and the crashes.
type poisonRuns struct {
	mu            sync.Mutex
	runs, crashes []time.Time
}

func (p *poisonRuns) add() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, time.Now())
	return len(p.runs)
}

func (p *poisonRuns) crashed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
}

// late returns the number of runs that began later than stableWindow after the third crash.
func (p *poisonRuns) late() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.runs {
		if len(p.crashes) > 2 && at.Sub(p.crashes[2]) > stableWindow {
			n++
		}
	}
	return n
}

// crashingWorker is a worker that comes back some seconds after each crash, as a new incarnation.
type crashingWorker struct {
	s       *system
	service string
	trouble bool
	runs    *poisonRuns
}

// run serves one incarnation after the other until ctx ends.
func (w *crashingWorker) run(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := l.Addr().String()
	go func() {
		for ctx.Err() == nil {
			w.serve(ctx, l, address)
			waitFor(ctx, crashedFor)
			for ctx.Err() == nil {
				if l, err = net.Listen("tcp", address); err == nil {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}()
	return nil
}

// serve serves until the process of the worker crashes.
func (w *crashingWorker) serve(ctx context.Context, l net.Listener, address string) {
	u := fakes.NewUpstream(fmt.Sprintf("i-%08x", rand.Uint32()), w.service, domain)
	crashed := make(chan struct{})
	var once sync.Once
	server := &http.Server{}
	u.SetHandler(func(out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(fleet.HeaderRequestID)
		runs := u.Runs()
		poison := false
		for _, run := range runs {
			poison = poison || run.RequestID == id && run.Body == poisonBody
		}
		if poison {
			n := w.runs.add()
			w.s.record.add("worker %s of %s: begins to run the poisonous request, run %d, attempt %s", u.ID, w.service, n, id)
		}
		if poison && w.trouble {
			time.Sleep(crashAfter)
			once.Do(func() {
				w.runs.crashed()
				w.s.record.add("worker %s of %s: crashes", u.ID, w.service)
				close(crashed)
			})
			select {} // the process has ended
		}
		time.Sleep(20 * time.Millisecond)
		out.Header().Set(fleet.HeaderSignature, "seal-of-"+u.ID)
		fmt.Fprintf(out, "ran %s", id)
	})
	server.Handler = u
	w.s.store.Put(fleet.TableUpstreams, u.ID, u.Registration(address, "ready", 0))
	go func() { _ = server.Serve(l) }() // until the crash
	select {
	case <-crashed:
	case <-ctx.Done():
	}
	server.Close() // the listener and all connections
	time.AfterFunc(lapse, func() { w.s.store.Remove(fleet.TableUpstreams, u.ID) })
}

// poisonService starts the workers of a service and returns its entry of the configuration.
func poisonService(ctx context.Context, s *system, name string, workers int, trouble bool, runs *poisonRuns) (service, error) {
	for range workers {
		if err := (&crashingWorker{s, name, trouble, runs}).run(ctx); err != nil {
			return service{}, err
		}
	}
	return service{HealthPath: "/health", MaxConns: 130, Protocol: "h1", ColdStartS: 3, ColdPerS: 3.1}, nil
}

// startPoison writes the configuration with one route and starts two VMs.
func startPoison(s *system, route weightedRoute, services map[string]service) error {
	value, err := json.Marshal(map[string]any{
		"Version": "r7", "Routes": map[string]weightedRoute{"r-1": route}, "Services": services,
		"Limits": limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutS: 3, IdleTimeoutS: 15},
	})
	if err != nil {
		return err
	}
	s.store.Put(fleet.TableOperator, "config", value)
	for range 2 {
		v, err := s.startVM(284)
		if err != nil {
			return err
		}
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}

// judgePoison records the verdict and returns whether the rule was broken.
func judgePoison(s *system, trouble bool, runs *poisonRuns, ordinary map[string]int) bool {
	s.record.add("ordinary requests: %v", ordinary)
	s.record.add("runs of the poisonous request later than %v after the third crash: %d, allowed are %d", stableWindow, runs.late(), allowedRetries)
	return trouble && runs.late() > allowedRetries
}

// playPoison sends a request that crashes the workers that run it, again and again, on a route of
// four services.
func playPoison(s *system, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runs := &poisonRuns{}
	services := make(map[string]service)
	route := weightedRoute{Host: host, Prefix: "/pufi791/", RouteType: "non_idempotent", TimeoutS: 2, TargetLatencyS: 0.8, Priority: 1, MaxAttempts: 2}
	for _, name := range []string{"huvo11a", "wuno96b", "kexi44c", "mipa72d"} {
		var err error
		if services[name], err = poisonService(ctx, s, name, 4, trouble, runs); err != nil {
			return false, err
		}
		route.WeightedServices = append(route.WeightedServices, weightedService{name, 25})
	}
	if err := startPoison(s, route, services); err != nil {
		return false, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ordinary := make(map[string]int)
	end := time.Now().Add(poisonTime)
	for n := 0; time.Now().Before(end) && (runs.late() <= allowedRetries || !trouble); n++ {
		v := s.vms[rand.IntN(len(s.vms))] // the balancer chooses
		s.record.add("client: attempt %d at %s: %s", n+1, v.name, post(client, v, poisonBody, s.record))
		for range 1 + rand.IntN(3) {
			ordinary[post(client, v, fmt.Sprintf(`{"order":%d}`, rand.Uint64()), nil)]++
		}
		time.Sleep(poisonEvery)
	}
	return judgePoison(s, trouble, runs, ordinary), nil
}

// post sends a request that must not be repeated and returns what came of it.
func post(client *http.Client, v *vm, body string, rec *record) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+"/pufi791/2f", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Host = host
	id := fmt.Sprintf("%016x", rand.Uint64())
	req.Header.Set(fleet.HeaderRequestID, id)
	req.Header.Set(fleet.HeaderDeadlineMs, "2000")
	if rec != nil {
		rec.add("client: sends %s to %s", id, v.name)
	}
	resp, err := client.Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		return "none"
	}
	if err != nil {
		return "closed"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken off"
	}
	if resp.StatusCode == http.StatusOK {
		return "200"
	}
	return fmt.Sprintf("%d %.40s", resp.StatusCode, answer)
}
