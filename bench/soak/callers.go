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
	soakHost  = "shop.example"
	keyedPath = "/keyed/"
	plainPath = "/plain/"
	// requestLimit is the deadline that callers state.
	requestLimit = 1500 * time.Millisecond
	// callerPatience is how long callers wait beyond it before the soak counts the
	// answer as missing.
	callerPatience = 3 * time.Second
)

// call is one request of a caller with its end.
type call struct {
	ID  string
	VM  string
	Key int // -1 for a request without key
	// Sent and Ended are times on monotonic.
	Sent, Ended time.Duration
	Status      int // 0 if there is no answer
	Service     string
	Body        string
	Err         error
}

// repeatable reports whether a request may run twice.
func (c *call) repeatable() bool { return c.Key < 0 }

// caller sends requests to one VM over connections that it keeps.
type caller struct {
	vm     string
	url    string
	client *http.Client
	rng    *rand.Rand
	next   int
}

func newCaller(vm, address string, n int, seed uint64) *caller {
	return &caller{
		vm: vm, url: "http://" + address, rng: rand.New(rand.NewPCG(seed, uint64(n))), next: n * 1_000_000,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}
}

// run sends requests until ctx ends, with a pause between them.
func (c *caller) run(ctx context.Context, h *history, pause time.Duration) {
	for ctx.Err() == nil {
		key := -1
		if c.rng.IntN(10) < 7 {
			key = c.rng.IntN(fleet.KeyCount)
		}
		h.ended(c.send(key))
		wait.For(ctx, pause/2+rand.N(pause))
	}
}

// send sends one request.
func (c *caller) send(key int) call {
	c.next++
	end := call{ID: fmt.Sprintf("%s-%d", c.vm, c.next), VM: c.vm, Key: key, Sent: monotonic()}
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit+callerPatience)
	defer cancel()
	method, path, body := http.MethodGet, plainPath, io.Reader(nil)
	if key >= 0 {
		method, path, body = http.MethodPost, keyedPath, strings.NewReader(end.ID)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		panic(err) // the address is the soak's own
	}
	req.Host = soakHost
	// Without it the client repeats a request whose connection was closed.
	req.GetBody = nil
	req.Header.Set(fleet.HeaderRequestID, end.ID)
	req.Header.Set(fleet.HeaderDeadlineMs, fmt.Sprint(requestLimit.Milliseconds()))
	if key >= 0 {
		req.Header.Set(fleet.HeaderKey, fmt.Sprint(key))
	}
	resp, err := c.client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		end.Status, end.Body = resp.StatusCode, string(data)
		end.Service, _, _ = strings.Cut(end.Body, " ran ")
	}
	end.Ended, end.Err = monotonic(), err
	return end
}
