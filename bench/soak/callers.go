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
	// largePath has responses of largeBytes and more.
	largePath  = "/large/"
	largeBytes = 300_000
	// brokenPath is under unkeyedPath. Upstreams break their responses to its requests off, which have
	// a body of brokenBytes: more than the kernel holds for a connection.
	brokenPath  = unkeyedPath + "broken"
	brokenBytes = 6 << 20
	// Each brokenShare-th unkeyed request of a caller is for brokenPath if Options.Broken is set.
	brokenShare = 8
	// requestTimeout is the timeout that callers put into their requests.
	requestTimeout = 1500 * time.Millisecond
	// callerTimeoutMargin is how long callers wait beyond requestTimeout before the
	// response counts as missing.
	callerTimeoutMargin = 3 * time.Second
	// Each longRunShare-th keyed request of a caller is for longPath.
	longRunShare = 3
	// Each largeShare-th unkeyed request of a caller with a key is for largePath. Every second
	// one is read in pieces of slowPiece with a pause of slowPause after each.
	largeShare = 4
	slowPiece  = 16 << 10
	slowPause  = 20 * time.Millisecond
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
	// APIKey is the key of a workspace, empty without workspaces.
	APIKey string
	// Large means that the request was for largePath.
	Large bool
}

// complete reports whether the whole response arrived.
func (c *call) complete() bool { return c.Err == nil && c.Status == http.StatusOK }

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
	// apiKey, if set, returns the key of the next request; large responses are asked for then.
	apiKey func() string
	// broken means that some unkeyed requests are for brokenPath.
	broken bool
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
		switch {
		case key < 0 && c.apiKey != nil && c.rng.IntN(largeShare) == 0:
			h.addCall(c.sendLarge())
		case key < 0 && c.broken && c.rng.IntN(brokenShare) == 0:
			h.addCall(c.do(http.MethodPost, brokenPath, key, io.ReadAll))
		default:
			h.addCall(c.send(key))
		}
		wait.For(ctx, pause/2+rand.N(pause))
	}
}

// send sends one request, unkeyed if key is negative.
func (c *caller) send(key int) call {
	method, path := http.MethodGet, unkeyedPath
	if key >= 0 {
		method, path = http.MethodPost, keyedPath
		if c.longRuns != nil && (c.lastID+1)%longRunShare == 0 && c.longRuns() {
			path = longPath
		}
	}
	return c.do(method, path, key, io.ReadAll)
}

// sendLarge sends a request for a large response, and may read it slowly.
func (c *caller) sendLarge() call {
	read := io.ReadAll
	if c.rng.IntN(2) == 0 {
		read = readSlowly
	}
	result := c.do(http.MethodGet, largePath, -1, read)
	result.Large = true
	return result
}

// readSlowly reads a body in pieces with pauses.
func readSlowly(body io.Reader) (data []byte, err error) {
	piece := make([]byte, slowPiece)
	for {
		n, err := body.Read(piece)
		data = append(data, piece[:n]...)
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		time.Sleep(slowPause)
	}
}

func (c *caller) do(method, path string, key int, read func(io.Reader) ([]byte, error)) call {
	c.lastID++
	result := call{ID: fmt.Sprintf("%s-%d", c.vm, c.lastID), VM: c.vm, Key: key, Sent: monotonic()}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+callerTimeoutMargin)
	defer cancel()
	body := io.Reader(nil)
	switch {
	case key >= 0:
		body = strings.NewReader(result.ID)
	case path == brokenPath:
		// Equal bodies would be quarantined.
		body = strings.NewReader(result.ID + strings.Repeat("x", brokenBytes))
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
	if c.apiKey != nil {
		result.APIKey = c.apiKey()
		req.Header.Set(fleet.HeaderAuthorization, fleet.AuthorizationScheme+" "+result.APIKey)
		// VMs replace what a caller says of its workspace.
		req.Header.Set(fleet.HeaderWorkspace, "another")
	}
	resp, err := c.client.Do(req)
	if err == nil {
		var data []byte
		data, err = read(resp.Body)
		resp.Body.Close()
		result.Status, result.Body = resp.StatusCode, string(data)
		result.Service, _, _ = strings.Cut(result.Body, " ran ")
	}
	result.Ended, result.Err = monotonic(), err
	return result
}
