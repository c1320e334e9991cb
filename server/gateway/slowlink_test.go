package gateway

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/delivery"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/listen"
)

const (
	// slowLinkMbps is the bandwidth of the slowest links of deployments.
	slowLinkMbps = 10
	// packetBytes is what a connection puts on the wire at a time, sendQueueBytes what the kernel
	// holds of it.
	packetBytes    = 1400
	sendQueueBytes = 64 << 10
)

// pieceTime is how long a piece occupies the link.
const pieceTime = delivery.PieceBytes * 8 * time.Second / (slowLinkMbps * 1e6)

// sharedWire is one direction of the link of a VM, which all its connections share in order of arrival.
type sharedWire struct {
	mu   sync.Mutex
	free time.Time
}

// pass returns when a packet that is sent now has arrived.
func (w *sharedWire) pass(bytes int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(float64(bytes) * 8 / (slowLinkMbps * 1e6) * float64(time.Second)))
	return w.free
}

// slowConn is a connection of the VM, or its other end. Bytes that are not on the wire yet fill a queue.
type slowConn struct {
	net.Conn
	wire    *sharedWire
	slots   chan struct{}
	packets chan slowPacket
	done    chan struct{}
	once    sync.Once
}

type slowPacket struct {
	data    []byte
	arrives time.Time
}

// newSlowConn sends what is written to conn over a wire.
func newSlowConn(conn net.Conn, w *sharedWire) *slowConn {
	const packets = sendQueueBytes / packetBytes
	c := &slowConn{Conn: conn, wire: w, slots: make(chan struct{}, packets), packets: make(chan slowPacket, packets), done: make(chan struct{})}
	go func() {
		for {
			select {
			case p := <-c.packets:
				time.Sleep(time.Until(p.arrives))
				if _, err := conn.Write(p.data); err != nil {
					return
				}
				<-c.slots
			case <-c.done:
				return
			}
		}
	}()
	return c
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (written int, err error) {
	for written < len(p) {
		packet := append([]byte(nil), p[written:min(len(p), written+packetBytes)]...)
		select {
		case c.slots <- struct{}{}:
			c.packets <- slowPacket{packet, c.wire.pass(len(packet))}
			written += len(packet)
		case <-c.done:
			return written, net.ErrClosed
		}
	}
	return written, nil
}

// Close implements net.Conn.
func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// SetWriteDeadline implements net.Conn: websocket ends a write by closing the connection.
func (c *slowConn) SetWriteDeadline(time.Time) error { return nil }

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, os.ErrClosed
	}
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// slowLink connects an isolated VM to one that sends its requests, over the link of the isolated VM.
type slowLink struct {
	listener         *pipeListener
	outward, inward  sharedWire
	server           *http.Server
	accepted, opened *listen.Messages
	// near and far pace what the isolated VM and the other one send.
	near, far *linkPacer
	metrics   *Metrics
}

// newSlowLink starts a VM that serves proxied requests; call it in a bubble of synctest.
func newSlowLink(t *testing.T, handler func(l *slowLink) http.Handler) *slowLink {
	unlimited := func() *listen.Messages { return listen.NewMessages(listen.MessageLimits{}, nil, nil, nil) }
	l := &slowLink{listener: &pipeListener{make(chan net.Conn), make(chan struct{})}, accepted: unlimited(), opened: unlimited(), near: newLinkPacer(slowLinkMbps), far: newLinkPacer(200), metrics: NewMetrics()}
	l.server = &http.Server{Handler: handler(l)}
	go l.server.Serve(l.listener) //nolint:errcheck // it ends with the test
	t.Cleanup(func() {
		close(l.listener.done)
		l.server.Close()
		time.Sleep(time.Minute) // what is on the wire arrives
	})
	return l
}

// dial connects to the other VM.
func (l *slowLink) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	l.listener.conns <- newSlowConn(far, &l.inward)
	return newSlowConn(near, &l.outward), nil
}

// serveSlowly serves proxied requests with a function. peer holds the headers of the handshake; without
// any, each VM takes the other one for one of an earlier version.
func serveSlowly(peer http.Header, serve func(context.Context, *proxyRequest) *proxyResponse) func(l *slowLink) http.Handler {
	return func(l *slowLink) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			maps.Copy(w.Header(), peer)
			ws, err := websocket.Accept(w, r, nil)
			if err != nil {
				return
			}
			if peer == nil {
				r.Header = nil
			}
			defer ws.CloseNow()
			ws.SetReadLimit(maxLargeMessage)
			//nolint:errcheck // the connection ends with the test
			serveProxyConn(r.Context(), newFrameSender(ws, l.far, r.Header, l.metrics), l.accepted.Connection(nil, maxLargeMessage), guard{NewMetrics(), zerolog.Nop()}, serve)
		})
	}
}

// maxLargeMessage is the limit of messages with default settings.
const maxLargeMessage = (maxProxiedBodyKB+defaultResponseHeadKB)<<10 + 2*maxHeaderBytes

// proxyConn returns a connection of the isolated VM for its requests.
func (l *slowLink) proxyConn(t *testing.T) *proxyConn {
	c, err := dialProxyWith(t.Context(), l.dial, "other", maxLargeMessage, l.opened, newTestStalls(t), l.near, l.metrics)
	require.NoError(t, err)
	t.Cleanup(func() { c.end(errProxyIdle) })
	return c
}

// newTestStalls finds stalls by the clock of a bubble of synctest, on which a process never stalls.
func newTestStalls(t *testing.T) *stalls {
	began := time.Now()
	s := newStalls(func(time.Duration) {})
	s.clock = func() time.Duration { return time.Since(began) }
	s.start()
	go s.run(t.Context())
	return s
}

// withParts are the headers of a VM that takes parts.
var withParts = http.Header{partsHeader: {partsVersion}}

// TestLargestProxiedRequestOnSlowLink guards against a request of legal size that fails on a link of
// 10 Mbit/s although its deadline allows it, and that ends or holds up the other requests of its
// connection.
func TestLargestProxiedRequestOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSlowLink(t, serveSlowly(withParts, func(_ context.Context, req *proxyRequest) *proxyResponse {
			return &proxyResponse{Status: http.StatusOK, Body: []byte(req.Target), Sends: len(req.Body)}
		}))
		c := l.proxyConn(t)
		var longest time.Duration
		large := make(chan error, 1)
		body := make([]byte, maxProxiedBodyKB<<10)
		go func() {
			resp, _, err := c.call(t.Context(), &proxyRequest{Target: "/large", Body: body, TimeoutMs: 20_000})
			if err == nil && resp.Sends != len(body) {
				err = io.ErrUnexpectedEOF
			}
			large <- err
		}()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			resp, _, err := c.call(t.Context(), &proxyRequest{Target: "/small", TimeoutMs: 1000})
			require.NoError(t, err)
			require.Equal(t, "/small", string(resp.Body))
			longest = max(longest, time.Since(began))
		}
		require.NoError(t, <-large)
		t.Logf("longest round trip of a small request: %s", longest)
		require.Less(t, longest, 2*pieceTime)
	})
}

// TestLargestResponseOnSlowLink guards against a response of legal size that ends its connection on a
// link of 10 Mbit/s, or holds up the other responses of its connection.
func TestLargestResponseOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSlowLink(t, serveSlowly(withParts, func(_ context.Context, req *proxyRequest) *proxyResponse {
			if req.Target == "/small" {
				return &proxyResponse{Status: http.StatusOK}
			}
			return &proxyResponse{Status: http.StatusOK, Body: bytes.Repeat([]byte(req.Target), defaultBodyKB<<10/len(req.Target))}
		}))
		c := l.proxyConn(t)
		var longest time.Duration
		large := make(chan *proxyResponse, 2)
		for _, target := range []string{"/a", "/b"} {
			go func() {
				resp, _, err := c.call(t.Context(), &proxyRequest{Target: target, TimeoutMs: 60_000})
				if err != nil || !bytes.Equal(resp.Body, bytes.Repeat([]byte(target), defaultBodyKB<<10/len(target))) {
					resp = nil
				}
				large <- resp
			}()
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			_, _, err := c.call(t.Context(), &proxyRequest{Target: "/small", TimeoutMs: 1000})
			require.NoError(t, err)
			longest = max(longest, time.Since(began))
		}
		require.NotNil(t, <-large)
		require.NotNil(t, <-large)
		t.Logf("longest round trip of a small request: %s", longest)
		require.Less(t, longest, 2*pieceTime)
	})
}

// TestLargeMessagesWithEarlierVersions guards against large requests and responses that fail on a slow
// link because the other VM takes no parts, and against such a VM that is told more time than the caller
// has.
func TestLargeMessagesWithEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var deadline time.Time
		l := newSlowLink(t, serveSlowly(nil, func(_ context.Context, req *proxyRequest) *proxyResponse {
			deadline = time.Now().Add(time.Duration(req.TimeoutMs) * time.Millisecond)
			return &proxyResponse{Status: http.StatusOK, Body: req.Body}
		}))
		c := l.proxyConn(t)
		want := time.Now().Add(30 * time.Second)
		body := make([]byte, maxProxiedBodyKB<<10)
		resp, _, err := c.call(t.Context(), &proxyRequest{Target: "/large", Body: body, TimeoutMs: 30_000})
		require.NoError(t, err)
		require.Len(t, resp.Body, len(body))
		require.WithinRange(t, deadline, want.Add(-time.Second), want.Add(500*time.Millisecond))
		require.True(t, c.open())
	})
}

// TestConnectionToEarlierVersion guards against a large request that holds up the small ones to a VM which
// takes no parts, and against a connection that stays open for each.
func TestConnectionToEarlierVersion(t *testing.T) {
	g := newDeployment(t).startVM("vm-a")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer ws.CloseNow()
		_, _, _ = ws.Read(r.Context()) // until the VM closes the connection
	}))
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	small, done, err := g.proxies.conn(t.Context(), address, 100)
	require.NoError(t, err)
	done()
	large, done, err := g.proxies.conn(t.Context(), address, 1<<20)
	require.NoError(t, err)
	require.NotSame(t, small, large)
	done()
	require.False(t, large.open())
	again, _, err := g.proxies.conn(t.Context(), address, 100)
	require.NoError(t, err)
	require.Same(t, small, again)
	require.True(t, small.open())
	small.end(errProxyIdle)
}

// TestLargeRequestThatIsGivenUp guards against a request whose caller has left and that goes on to use
// the link, runs, or keeps memory at the other VM, and against the end of its connection.
func TestLargeRequestThatIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, runs := buffers.NewBudget(64<<20), 0
		l := newSlowLink(t, serveSlowly(withParts, func(_ context.Context, req *proxyRequest) *proxyResponse {
			runs++
			return &proxyResponse{Status: http.StatusOK}
		}))
		l.accepted = listen.NewMessages(listen.MessageLimits{Bytes: 64 << 20, ConnectionBytes: 32 << 20}, nil, buffers.NewBudget(0), shared)
		c := l.proxyConn(t)
		ctx, leave := context.WithTimeout(t.Context(), 2*time.Second)
		defer leave()
		began := time.Now()
		_, sent, err := c.call(ctx, &proxyRequest{Target: "/large", Body: make([]byte, maxProxiedBodyKB<<10), TimeoutMs: 60_000})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.False(t, sent, "another VM may run it")
		require.Less(t, time.Since(began), 2500*time.Millisecond)
		_, _, err = c.call(t.Context(), &proxyRequest{Target: "/small", TimeoutMs: 1000})
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, 1, runs)
		require.Equal(t, shared.Total(), shared.Left())
		require.Empty(t, l.near.sending())
	})
}

// TestSilentPeerWithinLargeRequest guards against a VM that is lost within a large message and counts as
// alive for as long as the message may take.
func TestSilentPeerWithinLargeRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSlowLink(t, func(*slowLink) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				maps.Copy(w.Header(), withParts)
				ws, err := websocket.Accept(w, r, nil)
				if err != nil {
					return
				}
				defer ws.CloseNow()
				_, _, _ = ws.Read(r.Context()) // the first part
				time.Sleep(10 * time.Second)
			})
		})
		c := l.proxyConn(t)
		began := time.Now()
		_, sent, err := c.call(t.Context(), &proxyRequest{Target: "/large", Body: make([]byte, maxProxiedBodyKB<<10), TimeoutMs: 60_000})
		require.Error(t, err)
		require.False(t, sent)
		require.False(t, c.open())
		// What the kernel holds is sent before.
		require.Less(t, time.Since(began), linkTimeout+proxyPingInterval+200*time.Millisecond)
	})
}

// controlDelay returns the longest time that a control message of the isolated VM is under way beside
// downloads, proxied bodies and other control messages, which pacer spaces.
func controlDelay(t *testing.T, pacer *linkPacer) (longest time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		delays := make(chan time.Duration, 1000)
		proxied := serveSlowly(withParts, func(context.Context, *proxyRequest) *proxyResponse { return &proxyResponse{Status: http.StatusOK} })
		l := newSlowLink(t, func(l *slowLink) http.Handler {
			mux := http.NewServeMux()
			mux.Handle(proxyPath, proxied(l))
			mux.HandleFunc(linkPath, func(w http.ResponseWriter, r *http.Request) {
				ws, err := websocket.Accept(w, r, nil)
				if err != nil {
					return
				}
				defer ws.CloseNow()
				ws.SetReadLimit(maxFrameBytes)
				for {
					var rep report
					if receive(r.Context(), ws, &rep, time.Minute) != nil {
						return
					}
					delays <- time.Since(time.Unix(0, rep.SentAtMs))
				}
			})
			return mux
		})
		pacer.start = time.Now()
		l.near = pacer
		control := func(every time.Duration, bytes int) {
			client := &http.Client{Transport: &http.Transport{DialContext: l.dial}}
			ws, _, err := websocket.Dial(t.Context(), "ws://other"+linkPath, &websocket.DialOptions{HTTPClient: client})
			require.NoError(t, err)
			defer ws.CloseNow()
			for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(every) {
				rep := report{SentAtMs: time.Now().UnixNano(), LeavingUpstreams: []ownership.Owner{{UpstreamID: api.UpstreamID(make([]byte, bytes))}}}
				require.NoError(t, send(t.Context(), ws, controlLink{delivery.NewLink(slowLinkMbps, 0), pacer}, rep))
			}
		}
		var all sync.WaitGroup
		all.Go(func() { control(37*time.Millisecond, 500) })
		all.Go(func() { control(updateInterval, delivery.PieceBytes-600) }) // updates
		c := l.proxyConn(t)
		for range 2 {
			all.Go(func() {
				_, _, err := c.call(t.Context(), &proxyRequest{Body: make([]byte, 2<<20), TimeoutMs: 60_000})
				require.NoError(t, err)
			})
			all.Go(func() { // a download
				near, far := net.Pipe()
				go io.Copy(io.Discard, far) //nolint:errcheck // it ends with the pipe
				conn := newSlowConn(near, &l.outward)
				require.NoError(t, writePieces(make([]byte, 2<<20), func(piece []byte) error {
					pacer.wait(t.Context(), len(piece))
					_, err := conn.Write(piece)
					return err
				}))
				time.Sleep(time.Second) // its queue becomes empty
				conn.Close()
			})
		}
		all.Wait()
		require.Greater(t, len(delays), 200)
		for len(delays) > 0 {
			longest = max(longest, <-delays)
		}
	})
	return longest
}

// TestControlMessagesOnSlowLink guards against control messages that wait for long behind downloads and
// proxied bodies on a link of 10 Mbit/s. It runs on a fake clock.
func TestControlMessagesOnSlowLink(t *testing.T) {
	paced, unpaced := controlDelay(t, newLinkPacer(slowLinkMbps)), controlDelay(t, newLinkPacer(0))
	t.Logf("longest delay of a control message: %s paced, %s not paced, %s a piece", paced, unpaced, pieceTime)
	// The message itself, another control message of one piece, and the two pieces that may leave at once
	// of all that is paced.
	require.LessOrEqual(t, paced, 4*pieceTime)
	require.Greater(t, unpaced, 10*pieceTime, "the load fills the link")
}

// TestLargeUpdateOnSlowLink guards against a VM without a configuration that cannot get one from the
// granter on a link of 10 Mbit/s, and against late updates whose permits others may have by then.
func TestLargeUpdateOnSlowLink(t *testing.T) {
	rows := func(bytes int) []fleet.Row { return []fleet.Row{{Key: "k", Value: make([]byte, bytes)}} }
	for name, c := range map[string]struct {
		sent     update
		late     bool
		accepted bool
	}{
		"in time":              {update{Rows: rows(500 << 10), OperatorAgeMs: 5}, false, true},
		"snapshot":             {update{Snapshot: &stateSnapshot{Operator: rows(2 << 20)}, OperatorAgeMs: 5}, true, true},
		"rows alone":           {update{Rows: rows(2 << 20)}, false, false},
		"snapshot and permits": {update{Snapshot: &stateSnapshot{Operator: rows(2 << 20)}, Permits: []permitGrant{{Permits: 1}}}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newSlowLink(t, func(*slowLink) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						ws, err := websocket.Accept(w, r, nil)
						if err != nil {
							return
						}
						defer ws.CloseNow()
						if send(r.Context(), ws, controlLink{}, c.sent) == nil {
							_, _, _ = ws.Read(r.Context()) // until the VM closes the connection
						}
					})
				})
				ws, _, err := websocket.Dial(t.Context(), "ws://granter"+linkPath, &websocket.DialOptions{HTTPClient: &http.Client{Transport: &http.Transport{DialContext: l.dial}}})
				require.NoError(t, err)
				defer ws.CloseNow()
				ws.SetReadLimit(maxFrameBytes)
				var u update
				err = (&links{stalls: newTestStalls(t)}).receiveUpdate(t.Context(), ws, delivery.NewLink(slowLinkMbps, 0), &u)
				require.Equal(t, c.accepted, err == nil, "%v", err)
				require.Equal(t, c.late, u.late && c.accepted)
				if c.late {
					require.Greater(t, u.OperatorAgeMs, linkTimeout.Milliseconds(), "the time under way is a part of its age")
				}
			})
		})
	}
}

// TestRequestThatCannotArrive guards against a request of an isolated VM that is sent although it cannot
// arrive before its deadline, and against the refusal of one that can.
func TestRequestThatCannotArrive(t *testing.T) {
	d := newCutDeployment(t, 2)
	i := other(d.granter())
	g := d.vms[i]
	pacer := g.proxies.pacer
	pacer.mu.Lock()
	pacer.mbps, pacer.pacer = 2, delivery.NewPacer(2)
	pacer.mu.Unlock()
	d.isolate(i)
	const bytes = 500_000 // 2.5 s at 1.6 Mbit/s
	post := func(deadline time.Duration) (status int, body string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+g.settings.Listen.Callers+plainPath, strings.NewReader(strings.Repeat("x", bytes)))
		require.NoError(t, err)
		req.Host = testHost
		req.Header.Set(fleet.HeaderRequestID, "large-"+deadline.String())
		req.Header.Set(fleet.HeaderDeadlineMs, strconv.FormatInt(deadline.Milliseconds(), 10))
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(text)
	}
	status, body := post(2 * time.Second)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, string(linkTooSlow))
	for _, u := range d.upstreams {
		for _, run := range u.Runs() {
			require.NotEqual(t, "large-2s", run.RequestID)
		}
	}
	require.Zero(t, testutil.ToFloat64(g.metrics.largeMessages.WithLabelValues("request", largeGivenUp)), "it is refused before it is sent")
	require.NotZero(t, testutil.ToFloat64(g.metrics.largeMessages.WithLabelValues("request", largeTooLate)))
	status, body = post(18 * time.Second)
	require.Equal(t, http.StatusOK, status, body)
	require.EqualValues(t, 1, testutil.ToFloat64(g.metrics.largeMessages.WithLabelValues("request", largeSent)))
}
