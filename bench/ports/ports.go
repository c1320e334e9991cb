// Package ports finds free ports for the processes of experiments.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports of the processes are below those that the kernel gives to outgoing connections: one
// of these could take a port while its process is down.
const (
	firstPort = 10000
	portCount = 20000
	portTries = 100
)

// nextPort counts the ports that were tried, from a random start: other runs may be active.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(portCount)) }

// Free returns a port that no process listens on.
func Free(ip string) (port int, err error) {
	for range portTries {
		port = firstPort + int(nextPort.Add(1)%portCount)
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port)); err == nil {
			return port, errors.Wrap(l.Close(), "close a listener")
		}
	}
	return 0, errors.Wrap(err, "find a free port")
}

// FreeAddress returns an address of an IP with a free port.
func FreeAddress(ip string) (string, error) {
	port, err := Free(ip)
	return fmt.Sprintf("%s:%d", ip, port), err
}
