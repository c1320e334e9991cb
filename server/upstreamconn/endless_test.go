package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/server/buffers"
)

// testLimits are the limits of a response in tests.
var testLimits = Limits{Head: 64 << 10, Body: 1 << 20}

// TestEndlessResponses guards against an upstream in trouble that sends bytes without end,
// in a head or in a body, until its caller closes: the request must end with the outcome
// unknown after a bounded number of bytes, and the heap must stay small.
func TestEndlessResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, c := range map[string]struct {
		start, repeat string
		want          error // nil if any error will do
	}{
		"a header without end":             {head + "X: ", strings.Repeat("x", 4096), ErrHeadTooLarge},
		"headers without end":              {head, "X: y\r\n", ErrHeadTooLarge},
		"a status line without end":        {"HTTP/1.1 200 ", "OK", ErrHeadTooLarge},
		"informational responses":          {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", ErrHeadTooLarge},
		"no HTTP, one line":                {"", "zzzz", ErrHeadTooLarge},
		"no HTTP, zeros":                   {"", "\x00\x00", ErrHeadTooLarge},
		"no HTTP, many lines":              {"", "hello\r\n", nil},
		"a body without length":            {head + "\r\n", strings.Repeat("x", 4096), ErrBodyTooLarge},
		"a body of a large length":         {head + "Content-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 4096), ErrBodyTooLarge},
		"chunks without end":               {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n", ErrBodyTooLarge},
		"chunks of one byte":               {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", nil},
		"a chunk extension without end":    {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x", nil},
		"a trailer without end":            {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", nil},
		"responses to others without end":  {"", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n", ErrMismatchedResponse},
		"a body with a response to others": {"HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x", ErrBodyTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
				defer close(ended)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				block := strings.Repeat(c.repeat, 1+16<<10/len(c.repeat))
				_, err := io.WriteString(conn, c.start)
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
			})
			budget := buffers.NewBudget(8 << 20)
			req := get("a")
			req.Buffers = budget.Reserve()
			before := allocated()
			_, err := pool.Do(context.Background(), req)
			require.Less(t, allocated()-before, uint64(16<<20), "bytes allocated")
			var failed *Error
			require.True(t, errors.As(err, &failed))
			require.True(t, failed.Sent, "the request may have run")
			if c.want != nil {
				require.ErrorIs(t, err, c.want)
			}
			<-ended // the connection is closed
			req.Buffers.Release()
			require.Equal(t, int64(8<<20), budget.Left())
		})
	}
}

// TestBuffersFull guards against responses within their limits that together exceed the
// memory of the VM.
func TestBuffersFull(t *testing.T) {
	pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"+strings.Repeat("x", 1<<19)) // the test reads what arrives
		}
	})
	budget := buffers.NewBudget(1 << 20)
	first, second := get("a"), get("a")
	first.Buffers, second.Buffers = budget.Reserve(), budget.Reserve()
	_, err := pool.Do(context.Background(), first)
	require.NoError(t, err)
	_, err = pool.Do(context.Background(), second)
	require.ErrorIs(t, err, buffers.ErrExhausted)
	first.Buffers.Release()
	second.Buffers.Release()
	_, err = pool.Do(context.Background(), second)
	require.NoError(t, err)
}

func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
