// Package listen opens the listeners of a daemon's HTTP servers and protects them from clients that
// nobody controls: each listener has limits on its connections, on the memory of heads and of the
// kernel's queues, and a minimum rate. Which connection is closed first is decided by
// core/shedding.
package listen

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"dandelionhill.dev/server/response"
)

// All listens on the address of each server, with its guard. If one fails, none stays open. A
// handler of these servers that returns without a response ends the connection.
func All(servers []*http.Server, guards []*Guard) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(servers))
	for i, server := range servers {
		config := net.ListenConfig{Control: guards[i].control}
		l, err := config.Listen(context.Background(), "tcp", server.Addr)
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
			return nil, errors.Wrapf(err, "listen on %s: choose an address of this VM that no other program uses", server.Addr)
		}
		listeners = append(listeners, listener{l, guards[i]})
	}
	for i, server := range servers {
		server.Handler = response.Required(server.Handler)
		guards[i].Protect(server)
	}
	return listeners, nil
}
