package listen

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dandelionhill.dev/core/shedding"
)

// waitTimeout bounds the wait for a condition that holds within milliseconds.
const waitTimeout = 10 * time.Second

// guarded is a server with a guard whose clock the test sets.
type guarded struct {
	t       *testing.T
	guard   *Guard
	address string
	time    atomic.Int64
	mu      sync.Mutex
	reasons []Reason
}

func startGuarded(t *testing.T, limits Limits, handle http.HandlerFunc) *guarded {
	t.Helper()
	g := &guarded{t: t}
	limits.Progress = shedding.Rules{MinRate: 1000, Window: 5 * time.Second, Grace: time.Second}
	g.guard = NewGuard("test", limits, func(_ string, r Reason) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.reasons = append(g.reasons, r)
	}, zerolog.Nop())
	g.guard.now = func() time.Duration { return time.Duration(g.time.Load()) }
	server := &http.Server{Addr: "127.0.0.1:0", Handler: handle, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	listeners, err := All([]*http.Server{server}, []*Guard{g.guard})
	require.NoError(t, err)
	g.address = listeners[0].Addr().String()
	go server.Serve(listeners[0]) //nolint:errcheck // ends with the test
	t.Cleanup(func() { server.Close() })
	return g
}

func (g *guarded) closed() []Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Reason(nil), g.reasons...)
}

// advance moves the clock in the steps of the checks.
func (g *guarded) advance(d time.Duration) {
	for ; d > 0; d -= checkInterval {
		g.guard.check(time.Duration(g.time.Add(int64(checkInterval))))
	}
}

func (g *guarded) dial(text string) (net.Conn, *bufio.Reader) {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.address)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { conn.Close() })
	require.NoError(g.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(conn, text)
	require.NoError(g.t, err)
	return conn, bufio.NewReader(conn)
}

// acknowledged returns the bytes that the client of the only connection has received, without those
// of the piece that is being written.
func (g *guarded) acknowledged() int64 {
	c := g.guard.all()[0]
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent - c.queue(unix.SIOCOUTQ)
}

// await waits until a number of connections are in a phase.
func (g *guarded) await(n int, phase shedding.Phase) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		found := 0
		for _, c := range g.guard.all() {
			if c.phaseNow() == phase {
				found++
			}
		}
		return found == n
	}, waitTimeout, time.Millisecond)
}

func (g *guarded) requireStatus(r *bufio.Reader, status int) {
	g.t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(g.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(g.t, err)
	require.NoError(g.t, resp.Body.Close())
	require.Equal(g.t, status, resp.StatusCode)
}

func (g *guarded) requireEnded(r *bufio.Reader) {
	g.t.Helper()
	_, err := r.ReadByte()
	require.Error(g.t, err)
	var netErr net.Error
	if e, ok := err.(net.Error); ok {
		netErr = e
		require.False(g.t, netErr.Timeout(), "the connection is still open")
	}
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestConnectionLimit guards against a flood of connections that keeps a new one from being
// served, and against one that ends a running request.
func TestConnectionLimit(t *testing.T) {
	running, end := make(chan struct{}), make(chan struct{})
	g := startGuarded(t, Limits{Connections: 3}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/run" {
			close(running)
			<-end
		}
		w.WriteHeader(http.StatusNoContent)
	})
	_, runs := g.dial("GET /run HTTP/1.1\r\nHost: a\r\n\r\n")
	<-running
	_, slow := g.dial("GET /slow")
	g.await(1, shedding.Head)
	g.advance(2 * time.Second)
	_, idle := g.dial("")
	g.await(1, shedding.Idle)
	_, first := g.dial(get)
	g.requireStatus(first, http.StatusNoContent)
	g.requireEnded(slow)
	require.Equal(t, []Reason{ConnectionLimit}, g.closed())
	_, second := g.dial(get)
	g.requireStatus(second, http.StatusNoContent)
	require.Len(t, g.guard.all(), 3)
	close(end)
	g.requireStatus(runs, http.StatusNoContent)
	_ = idle
}

// TestAddressLimit guards against one address that takes all connections.
func TestAddressLimit(t *testing.T) {
	g := startGuarded(t, Limits{Connections: 10, PerAddress: 2}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	_, first := g.dial("")
	g.await(1, shedding.Idle)
	g.advance(time.Second)
	g.dial("")
	g.await(2, shedding.Idle)
	_, last := g.dial(get)
	g.requireStatus(last, http.StatusNoContent)
	g.requireEnded(first)
	require.Equal(t, []Reason{AddressLimit}, g.closed())
}

// holding is the memory of a request.
type holding int64

func (h holding) Taken() int64 { return int64(h) }

// TestSlowBody guards against bodies below the minimum rate that hold memory, against closing
// connections whose bodies arrive, and against a request that is run although it was given up.
func TestSlowBody(t *testing.T) {
	for name, c := range map[string]struct {
		pieces  int // of 500 bytes, one in each step of 250 ms
		reclaim bool
		reason  Reason
	}{
		"stalled":                       {reason: SlowBody},
		"steady":                        {pieces: 40},
		"stalled, and memory is short":  {reclaim: true, reason: BodyMemory},
		"steady, and memory is short":   {pieces: 8, reclaim: true},
		"too slow, and memory is short": {reclaim: true, pieces: 1, reason: BodyMemory},
	} {
		t.Run(name, func(t *testing.T) {
			given := make(chan Reason, 1)
			g := startGuarded(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
				ConnOf(r).Hold(holding(100))
				_, err := io.Copy(io.Discard, r.Body)
				given <- ConnOf(r).Aborted()
				if err != nil {
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusRequestTimeout)
					return
				}
				w.WriteHeader(http.StatusNoContent)
			})
			conn, reader := g.dial(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nb", c.pieces*500+2))
			g.await(1, shedding.Body)
			g.advance(checkInterval)
			for i := range c.pieces {
				_, err := conn.Write(make([]byte, 500))
				require.NoError(t, err)
				received := func() bool {
					conns := g.guard.all()
					conns[0].mu.Lock()
					defer conns[0].mu.Unlock()
					return conns[0].received > int64(500*(i+1))
				}
				require.Eventually(t, received, waitTimeout, time.Millisecond)
				g.advance(checkInterval)
			}
			switch {
			case c.reason == SlowBody:
				g.advance(6 * time.Second)
			case c.reason != "":
				g.advance(2 * time.Second)
			}
			if c.reclaim {
				require.Equal(t, c.reason != "", g.guard.ReclaimBodies(100) == 100)
			}
			if c.reason == "" {
				_, err := conn.Write([]byte("b"))
				require.NoError(t, err)
				require.Empty(t, <-given)
				g.requireStatus(reader, http.StatusNoContent)
				require.Empty(t, g.closed())
				return
			}
			require.Equal(t, c.reason, <-given)
			g.requireStatus(reader, http.StatusRequestTimeout)
			require.Equal(t, []Reason{c.reason}, g.closed())
		})
	}
}

// TestSlowReader guards against a response that is held for a client that does not read, and
// against cutting one whose client reads.
func TestSlowReader(t *testing.T) {
	const size = 4 << 20
	for name, reads := range map[string]bool{"does not read": false, "reads": true} {
		t.Run(name, func(t *testing.T) {
			g := startGuarded(t, Limits{SendBuffer: 32 << 10}, func(w http.ResponseWriter, _ *http.Request) {
				w.Write(make([]byte, size)) //nolint:errcheck // the connection may be closed
			})
			conn, reader := g.dial("")
			require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(32<<10))
			_, err := io.WriteString(conn, get)
			require.NoError(t, err)
			g.await(1, shedding.Writing)
			if !reads {
				// Bytes may still move into the queues of the kernel during the first window.
				require.Eventually(t, func() bool { g.advance(6 * time.Second); return len(g.closed()) > 0 }, waitTimeout, time.Millisecond)
				require.Equal(t, []Reason{SlowReader}, g.closed())
				require.Empty(t, g.guard.all())
				return
			}
			total := int64(0)
			for range 24 { // 30 KB in each 250 ms: a tenth of 10 Mbit/s
				n, err := io.CopyN(io.Discard, reader, 30<<10)
				require.NoError(t, err)
				total += n
				require.Eventually(t, func() bool { return g.acknowledged() >= total-writeSize }, waitTimeout, time.Millisecond)
				g.advance(checkInterval)
			}
			require.Empty(t, g.closed())
			_, err = io.CopyN(io.Discard, reader, size-total)
			require.NoError(t, err)
		})
	}
}

// TestHeadMemory guards against heads of very many fields that take all memory, and against
// refusing ordinary ones meanwhile.
func TestHeadMemory(t *testing.T) {
	end := make(chan struct{})
	var run atomic.Int32
	g := startGuarded(t, Limits{HeadBytes: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		if len(r.Header) > 100 {
			run.Add(1)
			<-end
		}
		w.WriteHeader(http.StatusNoContent)
	})
	var fields strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&fields, "a%x:\r\n", i)
	}
	heavy := "GET / HTTP/1.1\r\nHost: a\r\n" + fields.String() + "\r\n"
	_, first := g.dial(heavy)
	require.Eventually(t, func() bool { return run.Load() == 1 }, waitTimeout, time.Millisecond)
	_, second := g.dial(heavy)
	require.Eventually(t, func() bool { return run.Load() == 2 || len(g.closed()) > 0 }, waitTimeout, time.Millisecond)
	_, third := g.dial(heavy)
	g.requireStatus(third, http.StatusServiceUnavailable)
	_, ordinary := g.dial(get)
	g.requireStatus(ordinary, http.StatusNoContent)
	close(end)
	g.requireStatus(first, http.StatusNoContent)
	_ = second
	require.Eventually(t, func() bool { return len(g.guard.all()) <= 4 }, waitTimeout, time.Millisecond)
}

// TestHeadMemoryIsReleased guards against memory of heads that is never released.
func TestHeadMemoryIsReleased(t *testing.T) {
	g := startGuarded(t, Limits{HeadBytes: 1 << 20}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	conn, reader := g.dial("")
	for range 50 {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:b\r\n", 50)+"\r\n")
		require.NoError(t, err)
		g.requireStatus(reader, http.StatusNoContent)
	}
	require.Less(t, g.guard.heads.Load(), int64(40<<10), "one head")
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return g.guard.heads.Load() == 0 }, waitTimeout, time.Millisecond)
	require.Zero(t, g.guard.heavyHeads.Load())
	require.Empty(t, g.closed())
}

// TestNotHTTP guards against connections that speak something else and stay open.
func TestNotHTTP(t *testing.T) {
	g := startGuarded(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	for _, text := range []string{"\x16\x03\x01", "\x00", "{}"} {
		_, reader := g.dial(text)
		_, err := io.Copy(io.Discard, reader)
		require.NoError(t, err)
	}
	_, reader := g.dial("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	g.requireStatus(reader, http.StatusHTTPVersionNotSupported)
	require.Equal(t, []Reason{NotHTTP, NotHTTP, NotHTTP, NotHTTP}, g.closed())
}

// TestRefusedBodyIsDiscarded guards against a connection that cannot be used again after a
// refusal, and against one that stays open for a body that never ends.
func TestRefusedBodyIsDiscarded(t *testing.T) {
	g := startGuarded(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	conn, reader := g.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	g.requireStatus(reader, http.StatusNotFound)
	_, err := io.WriteString(conn, get)
	require.NoError(t, err)
	g.requireStatus(reader, http.StatusNotFound)
	_, reader = g.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nab")
	g.requireStatus(reader, http.StatusNotFound)
	g.requireEnded(reader)
}

// TestResponseBeforeTheBody guards against a handler that does not read the body and waits for its end
// when the response begins, for as long as the client likes.
func TestResponseBeforeTheBody(t *testing.T) {
	g := startGuarded(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, 8<<10)) //nolint:errcheck // more than http.Server buffers
	})
	_, reader := g.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nab")
	g.requireStatus(reader, http.StatusOK)
	g.requireEnded(reader)
}

// TestPipelinedRequests guards against pipelined requests that are answered out of order.
func TestPipelinedRequests(t *testing.T) {
	g := startGuarded(t, Limits{HeadBytes: 1 << 20, QueueBytes: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Path", r.URL.Path)
		w.WriteHeader(http.StatusNoContent)
	})
	var requests strings.Builder
	for i := range 300 {
		fmt.Fprintf(&requests, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	_, reader := g.dial(requests.String())
	for i := range 300 {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, fmt.Sprint("/", i), resp.Header.Get("Path"))
	}
	require.Empty(t, g.closed())
}

// TestBudget guards against parts of the budget whose sum exceeds the memory of a VM, and against
// a VM of the smallest size that has no room for the largest body or for the callers of a VM.
func TestBudget(t *testing.T) {
	for _, memoryMB := range []int{48, 144, 184, 284, 536, 4096} {
		b := NewBudget(memoryMB)
		memory := int64(memoryMB) << 20
		callers := b.CallerLimits(3075, 24)
		require.LessOrEqual(t, baseBytes+b.Buffers+b.Messages+b.Heads+int64(callers.Connections)*connectionBytes, b.Runtime)
		require.LessOrEqual(t, programBytes+b.Runtime+b.Queues, memory, "%d MB", memoryMB)
	}
	smallest := NewBudget(144)
	require.Greater(t, smallest.Buffers, int64(65<<20))
	callers := smallest.CallerLimits(3075, 24)
	require.Equal(t, 556, callers.Connections)
	require.Equal(t, 417, ShareByAddress(callers.Connections))
	require.Zero(t, NewBudget(0))
	// The largest VM of a deployment passes the requests of all its callers on to one VM.
	require.Less(t, NewBudget(536).CallerLimits(10_250, 24).Connections, connectionMessageCount)
}
