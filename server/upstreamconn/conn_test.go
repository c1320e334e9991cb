package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// serve handles each connection with a function until the test ends. It returns a pool
// for the address and a function that counts the connections.
func serve(t *testing.T, handle func(conn net.Conn, r *bufio.Reader)) (pool *Pool, accepted func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
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
