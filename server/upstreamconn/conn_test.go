package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// serve handles each connection with a function until the test ends. It returns a pool
// for the address and a function that counts the connections.
func serve(t *testing.T, handle func(conn net.Conn, r *bufio.Reader)) (pool *Pool, accepted func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveOn(t, l, handle)
}

// serveOn is serve with a listener.
func serveOn(t *testing.T, l net.Listener, handle func(conn net.Conn, r *bufio.Reader)) (pool *Pool, accepted func() int) {
	t.Cleanup(func() { l.Close() })
	conns := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- struct{}{}
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return New(l.Addr().String(), testLimits, Network{}), func() int { return len(conns) }
}

func get(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

// order returns an order whose response has the given ID.
func order(id string) *Request {
	req := get(id)
	req.Method, req.Body = http.MethodPost, []byte("keys")
	req.Order = &Order{ReadTimeout: time.Minute, NewConnReadTimeout: time.Minute, ResponseTimeout: time.Minute}
	return req
}

// readOrder reads a request as an upstream does: it asks for a body that waits for it.
func readOrder(conn net.Conn, r *bufio.Reader) (req *http.Request, body string, err error) {
	if req, err = http.ReadRequest(r); err != nil {
		return nil, "", err
	}
	if req.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, "", err
		}
	}
	content, err := io.ReadAll(req.Body)
	return req, string(content), err
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// TestMismatchedResponse guards against a response that reaches another request: late
// responses are skipped, and bytes after a response end its connection.
func TestMismatchedResponse(t *testing.T) {
	pool, accepted := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			out := responseText("other", "no") + responseText(id, "yes")
			if id == "trailing" {
				out = responseText(id, "yes") + "extra"
			}
			if _, err := io.WriteString(conn, out); err != nil {
				return
			}
		}
	})
	for _, id := range []string{"a", "b", "trailing", "c"} {
		got, err := pool.Do(context.Background(), get(id))
		require.NoError(t, err)
		require.Equal(t, "yes", string(got.Body), id)
	}
	require.Equal(t, 2, accepted(), "the connection with bytes left over is not reused")
}

// TestSent guards against a request that may have run but is reported as not sent, and
// the reverse.
func TestSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	_, err = New(l.Addr().String(), testLimits, Network{}).Do(context.Background(), get("a"))
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.Sent)
	require.True(t, failed.Refused)

	for name, out := range map[string]string{
		"nothing": "", "half": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhal", "not HTTP": "hello\r\n\r\n",
	} {
		pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(conn, out) // the test reads what arrives
			}
		})
		_, err := pool.Do(context.Background(), get("a"))
		require.True(t, errors.As(err, &failed), name)
		require.True(t, failed.Sent, name)
	}
}

// TestResponseWithoutLength guards against a response without a length that is taken for
// complete although its connection was reset.
func TestResponseWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole"); err != nil || !reset {
				return
			}
			time.Sleep(20 * time.Millisecond)
			if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
				t.Error(err)
			}
		})
		got, err := pool.Do(context.Background(), get("a"))
		if reset {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "whole", string(got.Body))
	}
}

// TestEarlyResponse guards against the reuse of a connection on which the rest of a body
// is still being sent.
func TestEarlyResponse(t *testing.T) {
	pool, accepted := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		if _, err := io.WriteString(conn, responseText("a", "no")); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	})
	for range 2 {
		req := get("a")
		req.Method, req.Body = http.MethodPost, []byte(strings.Repeat("x", 16<<20))
		got, err := pool.Do(context.Background(), req)
		require.NoError(t, err)
		require.Equal(t, "no", string(got.Body))
	}
	require.Equal(t, 2, accepted())
}

// TestCancel guards against a request that the upstream continues to run after its
// caller has left.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	pool, _ := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := r.ReadByte(); err != nil {
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := pool.Do(ctx, get("a"))
	require.ErrorIs(t, err, context.Canceled)
	<-closed
}

// TestOrderOnQuietConnection guards against an order on a connection whose peer may be cut off:
// if the kernel gives it up, the order still arrives when the cut ends.
func TestOrderOnQuietConnection(t *testing.T) {
	pool, accepted := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readOrder(conn, r); err != nil {
				return
			}
			if _, err := io.WriteString(conn, responseText("a", "ok")); err != nil {
				return
			}
		}
	})
	order := order("a")
	send := func(req *Request) {
		_, err := pool.Do(context.Background(), req)
		require.NoError(t, err)
	}
	send(get("a"))
	send(order)
	require.Equal(t, 1, accepted(), "the connection has just been used")
	pool.idle[0].quietSince = time.Now().Add(-maxQuietTime - time.Millisecond)
	send(order)
	require.Equal(t, 2, accepted())
	send(get("a"))
	require.Equal(t, 2, accepted(), "other requests use quiet connections")
}

// TestOrderEndsWithAReset guards against an order that arrives after it was given up: bytes that
// are held up in the network are dropped only if the sender resets the connection, also when its
// process is killed.
func TestOrderEndsWithAReset(t *testing.T) {
	option := func(conn net.Conn, level, name int) (value int) {
		raw, err := conn.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, err = unix.GetsockoptInt(int(fd), level, name)
		}))
		require.NoError(t, err)
		return value
	}
	for _, own := range []bool{false, true} {
		received, ended := make(chan struct{}), make(chan error, 1)
		pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
			if _, _, err := readOrder(conn, r); err == nil {
				close(received)
				_, err := r.ReadByte()
				ended <- err
			}
		})
		dialled := make(chan net.Conn, 1)
		pool.network.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := Dial(ctx, network, address)
			dialled <- conn
			return conn, err
		}
		order := order("a")
		order.OwnConn = own
		ctx, cancel := context.WithCancel(context.Background())
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, err := pool.Do(ctx, order)
			assert.Error(t, err)
		}()
		<-received
		conn := <-dialled
		require.Equal(t, 1, option(conn, unix.SOL_SOCKET, unix.SO_LINGER), "a killed process resets its connections")
		if own {
			require.Zero(t, option(conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE), "the kernel does not give up the connection")
			require.Zero(t, option(conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), "the kernel does not give up the connection")
		}
		cancel()
		<-sent
		require.ErrorIs(t, <-ended, syscall.ECONNRESET)
	}
}
