package untrusted

import (
	"bytes"
	"context"
	byteorder "encoding/binary"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Paths at which VMs accept connections of other VMs.
var (
	atGranter = target{"granter", func(v *vm) string { return v.peers }, "/granter/v1"}
	atProxy   = target{"proxied requests", func(v *vm) string { return v.peers }, "/proxy/v1"}
	everyPeer = []target{atGranter, atProxy}
)

const (
	// messageBytes is the size of a large message between VMs, fragmentBytes that of its parts.
	messageBytes, fragmentBytes = 4<<20 - 1024, 64 << 10
	// messageClients is the crowd of floods with large messages: fewer than the connections of other
	// VMs that the descriptors allow.
	messageClients = 40
	// The opcodes of RFC 6455, and the bit of the last fragment.
	continuation, binaryMessage, lastFragment = 0, 2, 0x80
)

// upgrade opens a WebSocket. It does not wait for the response.
func (c *client) upgrade(headers ...string) error {
	_, err := c.Write([]byte(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n%s\r\n", c.path, host, strings.Join(headers, ""))))
	return err
}

// frameHead returns the head of a frame with a size. Its mask leaves the payload unchanged.
func frameHead(opcode byte, size int) []byte {
	head := byteorder.BigEndian.AppendUint64([]byte{opcode, 0x80 | 127}, uint64(size))
	return append(head, 0, 0, 0, 0)
}

// message sends a whole message in one frame.
func (c *client) message(payload []byte) error {
	_, err := c.Write(append(frameHead(binaryMessage|lastFragment, len(payload)), payload...))
	return err
}

// encoded returns a message of integer keys, as VMs send them.
func encoded(fields map[int]any) []byte {
	data, err := cbor.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return data
}

// proxied returns a request of an isolated VM. Its fields are those of proxyFrame and proxyRequest
// of server/gateway.
func proxied(id int, target string, header map[string][]string, body []byte) []byte {
	return encoded(map[int]any{1: id, 2: map[int]any{1: "vm-2", 2: "POST", 3: target, 4: host, 5: header, 6: body, 7: routeTimeout * 1000, 8: 0}})
}

// messageFloods are fixed: they and the bounds do not change with the product.
var messageFloods = []flood{
	{
		// Guards against messages that hold all memory because they never end.
		name: "messages one byte short in one frame", clients: messageClients, targets: everyPeer,
		send: func(_ context.Context, c *client) error {
			if err := c.upgrade(); err != nil {
				return err
			}
			_, err := c.Write(append(frameHead(binaryMessage|lastFragment, messageBytes), make([]byte, messageBytes-1)...))
			return err
		},
	},
	{
		// Guards against fragments, whose total size no header states.
		name: "messages in fragments without an end", clients: messageClients, targets: everyPeer,
		send: func(_ context.Context, c *client) error {
			if err := c.upgrade(); err != nil {
				return err
			}
			opcode := byte(binaryMessage)
			for sent := 0; sent+fragmentBytes <= messageBytes; sent += fragmentBytes {
				if _, err := c.Write(append(frameHead(opcode, fragmentBytes), make([]byte, fragmentBytes)...)); err != nil {
					return err
				}
				opcode = continuation
			}
			return nil
		},
	},
	{
		// Guards against whole messages that are decoded, one copy beside another.
		name: "messages of 4 MB", clients: messageClients, targets: everyPeer,
		send: func(_ context.Context, c *client) error {
			if err := c.upgrade(); err != nil {
				return err
			}
			message := proxied(1, routePath+"a", nil, make([]byte, messageBytes-1024))
			if c.path == atGranter.path {
				message = encoded(map[int]any{1: "vm-2", 2: "i", 3: 0, 4: strings.Repeat("a", messageBytes-1024)})
			}
			for range 3 {
				if err := c.message(message); err != nil {
					return err
				}
			}
			return nil
		},
	},
	{
		// Guards against decoded messages that use many times their bytes.
		name: "messages of very many short elements", clients: messageClients, targets: everyPeer,
		send: func(_ context.Context, c *client) error {
			if err := c.upgrade(); err != nil {
				return err
			}
			values := make([]string, 100_000)
			message := proxied(1, routePath+"a", map[string][]string{"A": values, "B": values, "C": values, "D": values}, nil)
			if c.path == atGranter.path {
				if err := c.message(encoded(map[int]any{1: "vm-" + c.LocalAddr().String(), 2: "i", 3: 0, 4: "127.0.0.1:1"})); err != nil {
					return err
				}
				elements := make([]map[int]any, 100_000)
				message = encoded(map[int]any{1: nil, 2: nil, 4: elements, 8: elements, 9: elements, 12: elements, 13: elements, 38: elements})
			}
			for range 3 {
				if err := c.message(message); err != nil {
					return err
				}
			}
			return nil
		},
	},
	{
		// Guards against responses that stay in memory until a VM reads them, and against the
		// number of requests of one connection.
		name: "many requests for large responses without reading", clients: 20, targets: []target{atProxy}, receiveBuffer: 4096,
		send: func(_ context.Context, c *client) error {
			if err := c.upgrade(); err != nil {
				return err
			}
			for id := range 500 {
				if err := c.message(proxied(id+1, largePath, nil, nil)); err != nil {
					return err
				}
			}
			return nil
		},
	},
	{
		// Guards against connections of no VM that keep other VMs out.
		name: "connections without a message", clients: 400, targets: everyPeer,
		send: func(_ context.Context, c *client) error { return c.upgrade() },
	},
	{
		name: "messages of a byte at a time", clients: 400, targets: everyPeer,
		send: func(ctx context.Context, c *client) error {
			if err := c.upgrade(); err != nil {
				return err
			}
			if _, err := c.Write(frameHead(binaryMessage|lastFragment, messageBytes)); err != nil {
				return err
			}
			go trickle(ctx, func() error { _, err := c.Write([]byte{0}); return err })
			return nil
		},
	},
}

// takesParts is the header of a VM that takes messages in parts.
const takesParts = "Dandelionhill-Message-Parts: 1\r\n"

// part returns a part of a proxied request; size and head are 0 but in the first. Its fields are those of
// proxyFrame and proxyPart of server/gateway.
func part(id, size, head int, data []byte) []byte {
	fields := map[int]any{3: data}
	if size > 0 {
		fields[1], fields[2] = size, head
	}
	return encoded(map[int]any{1: id, 5: fields})
}

// partFloods are fixed, as messageFloods are.
var partFloods = []flood{
	{
		// Guards against messages in parts that hold memory without an end.
		name: "messages in parts one part short", clients: messageClients, targets: []target{atProxy},
		send: func(_ context.Context, c *client) error {
			if err := c.upgrade(takesParts); err != nil {
				return err
			}
			const partBytes = 16 << 10
			for sent := 0; sent+partBytes < messageBytes; sent += partBytes {
				for id := range 4 {
					size, head := 0, 0
					if sent == 0 {
						size, head = messageBytes, 100
					}
					if err := c.message(part(id+1, size, head, make([]byte, partBytes))); err != nil {
						return err
					}
				}
			}
			return nil
		},
	},
	{
		// Guards against the number of messages that have begun.
		name: "very many messages in parts of no bytes", clients: messageClients, targets: []target{atProxy},
		send: func(_ context.Context, c *client) error {
			if err := c.upgrade(takesParts); err != nil {
				return err
			}
			for id := range 20_000 {
				if err := c.message(part(id+1, messageBytes, 100, nil)); err != nil {
					return err
				}
			}
			return nil
		},
	},
	{
		// Guards against responses in parts that stay in memory until a VM reads them.
		name: "many requests for large responses in parts without reading", clients: 20, targets: []target{atProxy}, receiveBuffer: 4096,
		send: func(_ context.Context, c *client) error {
			if err := c.upgrade(takesParts); err != nil {
				return err
			}
			for id := range 500 {
				if err := c.message(proxied(id+1, largePath, nil, nil)); err != nil {
					return err
				}
			}
			return nil
		},
	},
}

// TestFloodsOfParts guards against clients of the listener for other VMs that take all memory with
// messages in parts.
func TestFloodsOfParts(t *testing.T) {
	for _, f := range partFloods {
		t.Run(f.name, func(t *testing.T) { f.check(t, startVM(t), f.targets[0], memoryMB) })
	}
}

// TestFloodsOfMessages guards against clients of the listener for other VMs that speak its protocol
// and take all memory or connections.
func TestFloodsOfMessages(t *testing.T) {
	for _, f := range messageFloods {
		for _, at := range f.targets {
			t.Run(f.name+" at "+at.name, func(t *testing.T) { f.check(t, startVM(t), at, memoryMB) })
		}
	}
}

// TestMessagesOfFloods guards against floods whose messages are refused for their form.
func TestMessagesOfFloods(t *testing.T) {
	data := proxied(7, routePath, nil, []byte("b"))
	var frame struct {
		ID      uint64 `cbor:"1,keyasint"`
		Request *struct {
			Target string `cbor:"3,keyasint"`
		} `cbor:"2,keyasint"`
	}
	require.NoError(t, cbor.NewDecoder(bytes.NewReader(data)).Decode(&frame))
	require.Equal(t, uint64(7), frame.ID)
	require.Equal(t, routePath, frame.Request.Target)
}
