// Package load sends a bounded load to entry VMs and classifies the outcomes.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"dandelionhill.dev/api"
	"dandelionhill.dev/server/wait"
)

// Target is one service that gets load.
type Target struct {
	Service         api.ServiceName
	Keyed           bool
	IdempotentShare float64
}

// Options describes a load.
type Options struct {
	// Entries returns the base URLs of the VMs that a load balancer would use now.
	Entries func() []string
	Targets []Target
	Keys    int     // number of different keys
	Zipf    float64 // exponent of the distribution of keys, above 1; 0 is uniform
	Rate    float64 // requests a second, all targets together
	Workers int     // requests in progress at once
	// Modest, unless it is nil, reports whether only modestWorkers requests may be in progress at
	// present: a machine that serves less than Rate is then not full with the requests of the load.
	Modest  func() bool
	Timeout time.Duration
	// MaxRetries is the number of times a request without an answer is sent again,
	// through another VM and with the same request ID.
	MaxRetries int
	Seed       uint64
}

// modestWorkers and modestCheck bound a modest load, see Options.Modest.
const (
	modestWorkers = 4
	modestCheck   = 5 * time.Millisecond
)

// Result is the outcome of one request, after its retries.
type Result struct {
	Target    Target
	Key       string
	RequestID string // empty if idempotent
	Outcome   api.Outcome
	Refusal   api.Kind
	Attempts  int
	Start     time.Time
	Latency   time.Duration
	// NotRun is true if every attempt was refused as not run.
	NotRun bool
	// Mismatch describes a response that does not belong to the request.
	Mismatch string
}

// Report holds the results of a load.
type Report struct {
	Results []Result
	Latency *hdrhistogram.Histogram // microseconds, of answered requests
}

// Run sends the load until ctx is done and waits for the requests in progress.
func Run(ctx context.Context, o Options) *Report {
	g := &generator{options: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), client: newClient(o.Workers)}
	defer g.client.CloseIdleConnections()
	if o.Zipf > 1 {
		g.zipf = rand.NewZipf(g.rng, o.Zipf, 1, uint64(o.Keys-1))
	}
	report := &Report{Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, o.Workers)
	start := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		due := start.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			break
		}
		for o.Modest != nil && o.Modest() && len(slots) >= modestWorkers && wait.For(ctx, modestCheck) {
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			continue
		}
		job := g.next()
		group.Go(func() {
			defer func() { <-slots }()
			result := g.send(job)
			mu.Lock()
			defer mu.Unlock()
			report.Results = append(report.Results, result)
			if result.Outcome == api.Answered {
				report.Latency.RecordValue(result.Latency.Microseconds())
			}
		})
	}
	group.Wait()
	return report
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	remaining := time.Until(due)
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	return wait.For(ctx, remaining)
}

func newClient(workers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
}

type generator struct {
	options Options
	rng     *rand.Rand // used by the goroutine of Run only
	zipf    *rand.Zipf
	client  *http.Client
	count   int
}

// job is one request to send.
type job struct {
	target Target
	number int
	key    string
	id     string
	first  int // index of the first entry tried
}

func (g *generator) next() job {
	g.count++
	t := g.options.Targets[g.rng.IntN(len(g.options.Targets))]
	j := job{target: t, number: g.count, first: g.rng.IntN(1 << 20)}
	key := g.rng.IntN(g.options.Keys)
	if g.zipf != nil {
		key = int(g.zipf.Uint64())
	}
	j.key = fmt.Sprintf("key-%d", key)
	if g.rng.Float64() >= t.IdempotentShare {
		j.id = uuid.Must(uuid.NewV7()).String()
	}
	return j
}

// send sends a request until it is answered or its retries are used up. A
// non-idempotent request keeps its ID, so it cannot run twice.
func (g *generator) send(j job) Result {
	r := Result{Target: j.target, Key: j.key, RequestID: j.id, Start: time.Now(), NotRun: true}
	for r.Attempts <= g.options.MaxRetries {
		entries := g.options.Entries()
		if len(entries) == 0 {
			time.Sleep(time.Millisecond)
			r.Attempts++
			continue
		}
		g.attempt(j, entries[(j.first+r.Attempts)%len(entries)], &r)
		r.Attempts++
		if r.Outcome == api.Answered {
			r.NotRun = false
			break
		}
		if r.Outcome == api.Unknown {
			r.NotRun = false
		}
	}
	r.Latency = time.Since(r.Start)
	return r
}

func (g *generator) attempt(j job, base string, r *Result) {
	// The client's own timeout applies only if the VM does not respond at all.
	ctx, cancel := context.WithTimeout(context.Background(), g.options.Timeout+time.Second)
	defer cancel()
	r.Outcome, r.Refusal = api.Unknown, ""
	method, body := http.MethodPost, fmt.Sprintf("order %d", j.number)
	if j.id == "" {
		method, body = http.MethodGet, ""
	}
	path := fmt.Sprintf("/orders/%d", j.number)
	req, err := http.NewRequestWithContext(ctx, method, base+"/"+string(j.target.Service)+path, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(api.HeaderTimeout, fmt.Sprint(g.options.Timeout.Milliseconds()))
	req.Header.Set(api.HeaderCaller, fmt.Sprintf("caller-%d", j.number%16))
	if j.target.Keyed {
		req.Header.Set(api.HeaderKey, j.key)
	}
	if j.id != "" {
		req.Header.Set(api.HeaderRequestID, j.id)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	r.Outcome = api.Outcome(resp.Header.Get(api.HeaderOutcome))
	r.Refusal = api.Kind(resp.Header.Get(api.HeaderRefusal))
	if r.Outcome == api.Answered && resp.StatusCode == http.StatusOK {
		want := fmt.Sprintf(" %s %s key=%s id=%s body=%s", method, path, keyOf(j), j.id, body)
		if !strings.HasSuffix(string(response), want) {
			r.Mismatch = fmt.Sprintf("got %q, want a response that ends in %q", response, want)
		}
	}
}

func keyOf(j job) string {
	if j.target.Keyed {
		return j.key
	}
	return ""
}
