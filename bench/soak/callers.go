package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/wait"
)

const (
	soakHost    = "shop.example"
	keyedPath   = "/keyed/"
	unkeyedPath = "/plain/"
	// longPath is under keyedPath; its requests run for long on gated upstreams.
	longPath = keyedPath + "long"
	// requestTimeout is the timeout that callers put into their requests.
	requestTimeout = 1500 * time.Millisecond
	// callerTimeoutMargin is how long callers wait beyond requestTimeout before the
	// response counts as missing.
	callerTimeoutMargin = 3 * time.Second
	// Each longRunShare-th keyed request of a caller is for longPath.
	longRunShare = 3
)

// call is one request of a caller with its result.
type call struct {
	ID  string
	VM  string
	Key int // -1 for an unkeyed request
	// Sent and Ended are times of the monotonic clock.
	Sent, Ended time.Duration
	Status      int // 0 if there is no response
	Service     string
	Body        string
	Err         error
}

// idempotent reports whether a request may run twice.
func (c *call) idempotent() bool { return c.Key < 0 }

// caller sends requests to one VM over persistent connections.
type caller struct {
	vm      string
	baseURL string
	client  *http.Client
	rng     *rand.Rand
	lastID  int
	// longRuns, if set, reports whether some keyed requests are for longPath.
	longRuns func() bool
}

func newCaller(vm, address string, n int, seed uint64) *caller {
	return &caller{
		vm: vm, baseURL: "http://" + address, rng: rand.New(rand.NewPCG(seed, uint64(n))), lastID: n * 1_000_000,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}
}

// run sends requests until ctx is done, with a mean pause between them.
func (c *caller) run(ctx context.Context, h *history, pause time.Duration) {
	for ctx.Err() == nil {
		key := -1
		if c.rng.IntN(10) < 7 {
			key = c.rng.IntN(fleet.KeyCount)
		}
		h.addCall(c.send(key))
		wait.For(ctx, pause/2+rand.N(pause))
	}
}

// send sends one request, unkeyed if key is negative.
func (c *caller) send(key int) call {
	c.lastID++
	result := call{ID: fmt.Sprintf("%s-%d", c.vm, c.lastID), VM: c.vm, Key: key, Sent: monotonic()}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+callerTimeoutMargin)
	defer cancel()
	method, path, body := http.MethodGet, unkeyedPath, io.Reader(nil)
	if key >= 0 {
		method, path, body = http.MethodPost, keyedPath, strings.NewReader(result.ID)
		if c.longRuns != nil && c.lastID%longRunShare == 0 && c.longRuns() {
			path = longPath
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		panic(err) // the URL is built from constants and a listener's address
	}
	req.Host = soakHost
	// With GetBody set, the client would retry a request whose connection was closed.
	req.GetBody = nil
	req.Header.Set(fleet.HeaderRequestID, result.ID)
	req.Header.Set(fleet.HeaderDeadlineMs, fmt.Sprint(requestTimeout.Milliseconds()))
	if key >= 0 {
		req.Header.Set(fleet.HeaderKey, fmt.Sprint(key))
	}
	resp, err := c.client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		result.Status, result.Body = resp.StatusCode, string(data)
		result.Service, _, _ = strings.Cut(result.Body, " ran ")
	}
	result.Ended, result.Err = monotonic(), err
	return result
}
