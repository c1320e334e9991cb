package untrusted

import (
	"context"
	"testing"
)

// TestFloodOfLargerResponses guards against responses of upstreams without a stated size that take
// more memory than their bytes, while nobody reads them.
func TestFloodOfLargerResponses(t *testing.T) {
	f := flood{
		clients: 40, receiveBuffer: 4096,
		send: func(_ context.Context, c *client) error {
			_, err := c.Write(c.head("GET"))
			return err
		},
	}
	f.check(t, startVM(t), target{"larger responses", atRoute.address, largerPath}, memoryMB)
}
