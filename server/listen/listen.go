// Package listen opens the listeners of a daemon's HTTP servers.
package listen

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"dandelionhill.dev/server/response"
)

// All listens on the address of each server. If one fails, none stays open. A handler of these
// servers that returns without a response ends the connection.
func All(servers []*http.Server) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(servers))
	for _, server := range servers {
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
			return nil, errors.Wrapf(err, "listen on %s: choose an address of this VM that no other program uses", server.Addr)
		}
		listeners = append(listeners, listener)
	}
	for _, server := range servers {
		server.Handler = response.Required(server.Handler)
	}
	return listeners, nil
}
