package upstreamconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTruncatedResponse guards against a response that looks complete although the upstream has
// stopped in the middle of its head or body and closed the connection.
func TestTruncatedResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: 0123456789\r\n"
	for name, c := range map[string]struct {
		response string
		// end is the number of bytes from which the response is complete; a body without a
		// length ends with its connection.
		end int
	}{
		"with a length":       {response: head + "Content-Length: 8\r\n\r\ncontents"},
		"length first":        {response: "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nId: a\r\n\r\ncontents"},
		"chunked":             {response: head + "Transfer-Encoding: chunked\r\n\r\n8\r\ncontents\r\n0\r\n\r\n"},
		"without a length":    {response: head + "\r\ncontents", end: len(head) + 2},
		"after a 100":         {response: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 8\r\n\r\ncontents"},
		"empty body":          {response: head + "Content-Length: 0\r\n\r\n"},
		"lines without CR":    {response: "HTTP/1.1 200 OK\nId: a\nContent-Length: 8\n\ncontents"},
		"a refusal":           {response: "HTTP/1.1 503 Service Unavailable\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"no body by status":   {response: "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n"},
		"connection: close":   {response: head + "Connection: close\r\nContent-Length: 8\r\n\r\ncontents"},
		"http 1.0, no length": {response: "HTTP/1.0 200 OK\r\nId: a\r\n\r\ncontents", end: len("HTTP/1.0 200 OK\r\nId: a\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			end := c.end
			if end == 0 {
				end = len(c.response)
			}
			sent := make(chan int, 1)
			pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if _, err := io.WriteString(conn, c.response[:<-sent]); err != nil {
					return
				}
			})
			for n := range len(c.response) + 1 {
				sent <- n
				resp, err := pool.Do(context.Background(), get("a"))
				if n < end {
					require.Error(t, err, fmt.Sprintf("%q", c.response[:n]))
					require.Nil(t, resp)
					continue
				}
				require.NoError(t, err, fmt.Sprintf("%q", c.response[:n]))
				pool.Close()
				pool.closed = false
			}
		})
	}
}
