package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/upstreamconn"
)

// TestGrantChecksItsAuthorityLast guards against a grant that leaves although the authority of its
// granter has ended while the upstream did not read, and against a release of the lease that does
// not count a grant past its last check.
func TestGrantChecksItsAuthorityLast(t *testing.T) {
	for name, ends := range map[string]bool{"authority ends": true, "authority holds": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			g := &granter{elector: &elector{log: zerolog.Nop(), metrics: NewMetrics(), buffers: buffers.NewBudget(1 << 20)}}
			g.calls = newCallQueues(g)
			g.calls.ctx = t.Context()
			g.renewUntil.Store(int64(bootTime() + time.Hour))
			bodies, sending := make(chan string, 1), make(chan int64, 1)
			go func() {
				defer close(bodies)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if ends {
					g.renewUntil.Store(0)
				}
				if _, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
					return
				}
				body, _ := io.ReadAll(req.Body)
				bodies <- string(body)
				sending <- g.calls.sending.Load()
			}()
			u := &upstream{id: "k1", pool: upstreamconn.New(l.Addr().String(), upstreamconn.Limits{Head: 1 << 10, Body: 1 << 10}, upstreamconn.Network{})}
			grant := ownership.Action{Kind: ownership.Grant, Owner: ownership.Owner{UpstreamID: "k1"}, Span: ownership.Span{First: 1, Last: 2}, Fence: 3, LeaseTTL: time.Second}
			done := g.calls.call(grant, u)
			require.Zero(t, g.calls.sending.Load())
			if ends {
				require.Equal(t, ownership.NotSent, done.result)
				require.Empty(t, <-bodies)
				return
			}
			require.Equal(t, ownership.Unknown, done.result, "the upstream ends the connection without a response")
			require.NotEmpty(t, <-bodies)
			require.EqualValues(t, 1, <-sending)
		})
	}
}
