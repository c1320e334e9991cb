package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// repeatingUpstream sends a second copy of each response when the next request arrives on
// the connection. The body of a response counts the requests of the connection.
func repeatingUpstream(t *testing.T) (pool *Pool, accepted func() int) {
	return serve(t, func(conn net.Conn, r *bufio.Reader) {
		last := ""
		for n := 1; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			response := responseText(req.Header.Get("Id"), strconv.Itoa(n))
			if _, err := io.WriteString(conn, last+response); err != nil {
				return
			}
			last = response
		}
	})
}

// TestLateCopy guards against a late copy of a response that is taken for the response to
// the next request on the connection: to another request, to the same request sent again,
// or to a call whose responses carry no ID.
func TestLateCopy(t *testing.T) {
	pool, accepted := repeatingUpstream(t)
	a, b := get("a"), get("b")
	a.Earlier, b.Earlier = &Connections{}, &Connections{}
	for _, step := range []struct {
		req   *Request
		body  string
		conns int
	}{
		{a, "1", 1},
		{b, "2", 1}, // skips the copy of the response to a
		{a, "1", 2}, // not on the connection with a copy of its first response
	} {
		got, err := pool.Do(context.Background(), step.req)
		require.NoError(t, err)
		require.Equal(t, step.body, string(got.Body))
		require.Equal(t, step.conns, accepted())
	}

	pool, accepted = repeatingUpstream(t)
	for i := range 3 {
		call := get("")
		call.OwnConn = true
		got, err := pool.Do(context.Background(), call)
		require.NoError(t, err)
		require.Equal(t, "1", string(got.Body))
		require.Equal(t, i+1, accepted())
	}
}
