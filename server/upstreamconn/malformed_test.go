package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMalformedHead guards against a response with a malformed head that reaches a caller, and
// against a body that is taken for the response because its own head does not count.
func TestMalformedHead(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody"
	for name, response := range map[string]string{
		"status 000":                             "HTTP/1.1 000 Error\r\nId: a\r\nContent-Length: 3\r\n\r\nbad",
		"status 000, no body":                    "HTTP/1.1 000 Error\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"status 000, a body that is a response":  "HTTP/1.1 000 Error\r\nId: a\r\nContent-Length: 47\r\n\r\n" + whole,
		"status 099, a body that is a response":  "HTTP/1.1 099 Error\r\nId: a\r\nContent-Length: 47\r\n\r\n" + whole,
		"status 101, followed by a response":     "HTTP/1.1 101 Switching Protocols\r\nId: a\r\n\r\n" + whole,
		"status 000 after an informational head": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Error\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"a blank in a name":                      "HTTP/1.1 200 OK\r\nX Bad: v\r\nId: a\r\nContent-Length: 4\r\n\r\nbody",
		"a blank at the end of a name":           "HTTP/1.1 200 OK\r\nId: a\r\nX-Bad : v\r\nContent-Length: 4\r\n\r\nbody",
		"a blank after Content-Length":           "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length : 3\r\n\r\nbadbytes",
		"a blank after Transfer-Encoding":        "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
		"a blank in an informational head":       "HTTP/1.1 103 Early Hints\r\nX Bad: v\r\n\r\n" + whole,
		"a tab in a name":                        "HTTP/1.1 200 OK\r\nX\tBad: v\r\nId: a\r\nContent-Length: 4\r\n\r\nbody",
		"a zero byte in a name":                  "HTTP/1.1 200 OK\r\nX\x00Bad: v\r\nId: a\r\nContent-Length: 4\r\n\r\nbody",
		"another control byte in a name":         "HTTP/1.1 200 OK\r\nX\x01Bad: v\r\nId: a\r\nContent-Length: 4\r\n\r\nbody",
		"a delete byte in a name":                "HTTP/1.1 200 OK\r\nX\x7fBad: v\r\nId: a\r\nContent-Length: 4\r\n\r\nbody",
		"a blank before the first name":          "HTTP/1.1 200 OK\r\n X-Bad: v\r\nId: a\r\nContent-Length: 4\r\n\r\nbody",
		"a line without a colon":                 "HTTP/1.1 200 OK\r\nId: a\r\nX-Bad\r\nContent-Length: 4\r\n\r\nbody",
		"two lengths":                            "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\nbody",
		"no HTTP":                                "hello\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, response) // the client may have closed the connection
			})
			resp, err := pool.Do(context.Background(), get("a"))
			require.ErrorIs(t, err, ErrInvalidResponse)
			require.Nil(t, resp)
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent, "the request may have run")
			require.Empty(t, pool.idle)
		})
		t.Run(name+", to an order", func(t *testing.T) {
			pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if _, err := io.WriteString(conn, response+"HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
					return
				}
				if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
					return
				}
				if _, err := r.ReadByte(); err == nil {
					t.Error("the body of the order was sent")
				}
			})
			resp, err := pool.Do(context.Background(), order("a"))
			require.ErrorIs(t, err, ErrInvalidResponse)
			require.Nil(t, resp)
			require.Empty(t, pool.idle)
		})
	}
}
