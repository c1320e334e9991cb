// Package listen opens the listeners of a daemon's HTTP servers.
package listen

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// All listens on the address of each server. If one fails, none stays open.
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
	return listeners, nil
}
