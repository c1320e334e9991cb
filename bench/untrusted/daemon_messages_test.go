package untrusted

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/bench/cluster"
	"dandelionhill.dev/fakes/upstream"
	"dandelionhill.dev/server/peer"
)

const (
	// daemonMessageBytes is the size of a message of almost 2 MB.
	daemonMessageBytes = wire.MaxFrameBytes - 1024
	// endlessPath is a path whose response states no size and does not end. It has almost
	// endlessBytes, the limit of the service.
	endlessPath  = "/" + daemonService + "/endless"
	endlessBytes = 1 << 20
	// daemonSlots is the number of requests that the upstream of the service runs at a time: more than
	// a flood sends, so that ordinary requests are not queued behind it.
	daemonSlots = 64
)

var (
	atDaemonPeers = target{"messages of other VMs", func(v *vm) string { return v.peers }, peer.Path}
	atEndless     = target{"endless responses", func(v *vm) string { return v.callers }, endlessPath}
)

// framed returns an encoded message between VMs.
func framed(kind wire.Type, callID uint64, payload any) []byte {
	data, err := wire.Encode(kind, callID, payload)
	if err != nil {
		panic(err)
	}
	return data
}

// greet opens a connection of messages as a VM of the deployment does.
func (c *client) greet() error {
	if err := c.upgrade(); err != nil {
		return err
	}
	return c.message(framed(wire.TypeHello, 0, wire.Hello{VM: "vm-02", Incarnation: "flood"}))
}

// forwarded returns a request that a VM passes to the holder of a shard.
func forwarded(callID uint64, path string, body []byte) []byte {
	return framed(wire.TypeForward, callID, wire.Forward{
		Shard: api.ShardID{Service: daemonService}, Method: http.MethodPut, Path: path, Body: body, Idempotent: true,
		TimeoutMs: 60_000, Caller: "flood",
	})
}

// daemonMessageFloods are fixed: they and the bounds do not change with the product.
var daemonMessageFloods = []flood{
	{
		// Guards against first messages that hold all memory because they never end.
		name: "first messages one byte short", clients: messageClients,
		send: func(_ context.Context, c *client) error {
			if err := c.upgrade(); err != nil {
				return err
			}
			_, err := c.Write(append(frameHead(binaryMessage|lastFragment, daemonMessageBytes), make([]byte, daemonMessageBytes-1)...))
			return err
		},
	},
	{
		// Guards against the same after the first message, which has a time limit.
		name: "messages one byte short in one frame", clients: messageClients,
		send: func(_ context.Context, c *client) error {
			if err := c.greet(); err != nil {
				return err
			}
			_, err := c.Write(append(frameHead(binaryMessage|lastFragment, daemonMessageBytes), make([]byte, daemonMessageBytes-1)...))
			return err
		},
	},
	{
		// Guards against fragments, whose total size no header states.
		name: "messages in fragments without an end", clients: messageClients,
		send: func(_ context.Context, c *client) error {
			if err := c.greet(); err != nil {
				return err
			}
			opcode := byte(binaryMessage)
			for sent := 0; sent+fragmentBytes < daemonMessageBytes; sent += fragmentBytes {
				if _, err := c.Write(append(frameHead(opcode, fragmentBytes), make([]byte, fragmentBytes)...)); err != nil {
					return err
				}
				opcode = continuation
			}
			return nil
		},
	},
	{
		// Guards against whole messages that are decoded, one copy beside another, and wait.
		name: "messages of 2 MB", clients: messageClients,
		send: func(_ context.Context, c *client) error {
			if err := c.greet(); err != nil {
				return err
			}
			for id := range 3 {
				if err := c.message(forwarded(uint64(id+1), "/"+fmt.Sprint(c.LocalAddr(), id), make([]byte, daemonMessageBytes-1024))); err != nil {
					return err
				}
			}
			return nil
		},
	},
	{
		// Guards against decoded messages that use many times their bytes.
		name: "messages of very many short elements", clients: messageClients,
		send: func(_ context.Context, c *client) error {
			if err := c.greet(); err != nil {
				return err
			}
			message := framed(wire.TypeAssign, 0, wire.Assign{
				Shard: api.ShardID{Service: daemonService, Index: 7}, Upstreams: make([]api.UpstreamID, daemonMessageBytes-1024),
			})
			for range 3 {
				if err := c.message(message); err != nil {
					return err
				}
			}
			return nil
		},
	},
	{
		// Guards against the number of requests of one connection, and against replies that stay in
		// memory until a VM reads them.
		name: "many requests without reading", clients: 20, receiveBuffer: 4096,
		send: func(_ context.Context, c *client) error {
			if err := c.greet(); err != nil {
				return err
			}
			for id := range 500 {
				if err := c.message(forwarded(uint64(id+1), "/"+fmt.Sprint(c.LocalAddr(), id), make([]byte, 64<<10))); err != nil {
					return err
				}
			}
			return nil
		},
	},
	{
		// Guards against connections of no VM that keep other VMs out.
		name: "connections without a message", clients: 400,
		send: func(_ context.Context, c *client) error { return c.upgrade() },
	},
	{
		name: "messages of a byte at a time", clients: 400,
		send: func(ctx context.Context, c *client) error {
			if err := c.greet(); err != nil {
				return err
			}
			if _, err := c.Write(frameHead(binaryMessage|lastFragment, daemonMessageBytes)); err != nil {
				return err
			}
			go trickle(ctx, func() error { _, err := c.Write([]byte{0}); return err })
			return nil
		},
	},
}

// TestFloodsOfDaemonMessages guards against a faulty or compromised VM that takes all memory or
// connections of a daemon without gateway. It runs with two others, whose messages must arrive.
func TestFloodsOfDaemonMessages(t *testing.T) {
	for _, f := range daemonMessageFloods {
		t.Run(f.name, func(t *testing.T) {
			f.check(t, startDaemons(t, 3, withEndlessResponses), atDaemonPeers, daemonMemoryMB)
		})
	}
}

// TestFloodOfEndlessResponses guards against responses of upstreams that state no size and never end.
// A VM without gateway holds them until they are whole.
func TestFloodOfEndlessResponses(t *testing.T) {
	f := flood{
		clients: 60,
		send: func(_ context.Context, c *client) error {
			// Requests with one path would wait for each other, as evidence of a crash is sought.
			c.path += "/" + fmt.Sprint(c.LocalAddr().(*net.TCPAddr).Port)
			_, err := c.Write(c.head("GET", api.HeaderTimeout+": 60000"))
			return err
		},
	}
	f.check(t, startDaemons(t, 1, withEndlessResponses), atEndless, daemonMemoryMB)
}

// withEndlessResponses gives the service an upstream that runs a flood at once, and responds without
// an end at endlessPath.
func withEndlessResponses(o *cluster.Options) {
	for i := range o.Document.Services {
		if s := &o.Document.Services[i]; s.Name == daemonService {
			s.Slots, s.MaxBody = daemonSlots, endlessBytes
		}
	}
	for i := range o.Document.Presets {
		o.Document.Presets[i].ColdStart = daemonSlots
	}
	piece := bytes.Repeat([]byte("x"), 1<<10)
	o.ConfigureUpstream = func(cfg *upstream.Config) {
		cfg.WarmupRuns = 0
		cfg.Respond = func(w http.ResponseWriter, r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, strings.TrimPrefix(endlessPath, "/"+daemonService)) {
				return false
			}
			for range endlessBytes/len(piece) - 1 {
				if _, err := w.Write(piece); err != nil {
					return true
				}
			}
			if err := http.NewResponseController(w).Flush(); err == nil {
				<-r.Context().Done()
			}
			return true
		}
	}
}

// TestDaemonMessagesOfFloods guards against floods whose messages are refused for their form.
func TestDaemonMessagesOfFloods(t *testing.T) {
	frame, err := wire.Decode(forwarded(7, "/a", []byte("b")))
	require.NoError(t, err)
	var forward wire.Forward
	require.NoError(t, frame.Unpack(&forward))
	require.Equal(t, "/a", forward.Path)
	require.Equal(t, api.ServiceName(daemonService), forward.Shard.Service)
}
