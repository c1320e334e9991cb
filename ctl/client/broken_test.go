package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/httpconn/httpconntest"
)

// TestBrokenResponse guards against a change that operators take for made although the response of the
// VM broke off or is malformed.
func TestBrokenResponse(t *testing.T) {
	network := &httpconntest.Network{HoldWrite: true}
	for name, c := range map[string]struct {
		body    []byte
		respond func(conn net.Conn) error
	}{
		"reset during the call": {make([]byte, httpconntest.LargeRequest), func(conn net.Conn) error {
			return network.Respond(conn, []byte("HTTP/1.1 200 OK\r\n\r\n{}"))
		}},
		"status 000": {nil, func(conn net.Conn) error {
			_, err := io.WriteString(conn, "HTTP/1.1 000 Error\r\nContent-Length: 2\r\n\r\n{}")
			return err
		}},
		"a blank in the name of a field": {nil, func(conn net.Conn) error {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}")
			return err
		}},
		"cut off": {nil, func(conn net.Conn) error {
			_, err := io.WriteString(conn, `HTTP/1.1 200 OK`+"\r\n\r\n"+`{"id":"a`)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) {
				if err := c.respond(conn); err != nil {
					t.Error(err)
				}
			})
			client, err := New(Options{Addresses: []string{address}, Token: "token", dialer: network.Dial})
			require.NoError(t, err)
			var into struct{}
			require.Error(t, client.call(context.Background(), time.Minute, http.MethodPost, "http://"+address, c.body, &into))
		})
	}
}
