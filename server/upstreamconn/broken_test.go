package upstreamconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/httpconn/httpconntest"
)

// upload returns a request whose body the upstream does not read.
func upload(id string) *Request {
	req := get(id)
	req.Method, req.Body = http.MethodPost, make([]byte, httpconntest.LargeRequest)
	return req
}

// brokenUpload starts an upstream that reads the head of a request, sends response and resets the
// connection while the client still writes the body.
func brokenUpload(t *testing.T, holdWrite bool, response []byte) *Pool {
	network := &httpconntest.Network{HoldWrite: holdWrite}
	l, err := httpconntest.Listen()
	require.NoError(t, err)
	pool, _ := serveOn(t, l, func(conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.Header.Get("Expect") != "" {
			if _, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return
			}
			if _, err := r.ReadByte(); err != nil {
				return
			}
		}
		if err := network.Respond(conn, response); err != nil {
			t.Error(err)
		}
	})
	pool.network.Dial = network.Dial
	pool.limits.Body = 8 << 20
	return pool
}

// TestResetDuringUpload guards against the part of a response without a length that looks complete:
// the upstream resets the connection while the request is being written, the write learns of it,
// and the read sees an ordinary end. The write may return before the read or after it.
func TestResetDuringUpload(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart"
	order := order("a")
	order.Body = make([]byte, httpconntest.LargeRequest)
	for name, req := range map[string]*Request{"request": upload("a"), "order": order} {
		for _, holdWrite := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, write returns last: %t", name, holdWrite), func(t *testing.T) {
				pool := brokenUpload(t, holdWrite, []byte(response))
				resp, err := pool.Do(context.Background(), req)
				require.ErrorIs(t, err, syscall.ECONNRESET)
				require.Nil(t, resp)
				var failed *Error
				require.ErrorAs(t, err, &failed)
				require.True(t, failed.Sent, "the request may have run")
				require.Empty(t, pool.idle)
			})
		}
	}
}

// TestResetDuringUploadOfStream guards against the same in a response that is delivered while it is
// read.
func TestResetDuringUploadOfStream(t *testing.T) {
	body := contents(150_000)
	for _, holdWrite := range []bool{false, true} {
		t.Run(fmt.Sprintf("write returns last: %t", holdWrite), func(t *testing.T) {
			pool := brokenUpload(t, holdWrite, encodings(body)["without a length"])
			req := upload("a")
			req.Window = testWindow
			resp, err := pool.Do(context.Background(), req)
			require.NoError(t, err)
			got, err := collect(t, resp)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			require.Equal(t, body, got, "what has arrived is delivered")
			require.Empty(t, pool.idle)
		})
	}
}

// TestEarlyResponseIsWhole guards against whole responses that are rejected because the upstream does not
// read the rest of the request.
func TestEarlyResponseIsWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, response := range map[string]string{
		"with a length":    head + "Content-Length: 5\r\n\r\nwhole",
		"chunked":          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"without a length": head + "\r\nwhole",
		"after a 103":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			l, err := httpconntest.Listen()
			require.NoError(t, err)
			pool, _ := serveOn(t, l, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if _, err := io.WriteString(conn, response); err != nil {
					return
				}
				if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
					t.Error(err)
				}
				<-closed
			})
			pool.network.Dial = new(httpconntest.Network).Dial
			resp, err := pool.Do(context.Background(), upload("a"))
			close(closed)
			require.NoError(t, err)
			require.Equal(t, "whole", string(resp.Body))
			require.Empty(t, pool.idle, "the upstream would take the rest of the body for another request")
		})
	}
}
