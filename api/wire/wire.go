// Package wire defines the frames and payloads of the protocol between entry VMs,
// and their encoding in CBOR.
package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
)

// MaxFrameBytes bounds a frame in bytes: a request body of 1 MiB and its headers fit.
const MaxFrameBytes = 2 << 20

// Type identifies the payload of a frame.
type Type string

// The types of frame.
const (
	TypeHello     Type = "hello"
	TypeHeartbeat Type = "heartbeat"
	TypeAuthority Type = "authority"
	TypeAssign    Type = "assign"
	TypeAssignAck Type = "assign_ack"
	TypeHandover  Type = "handover"
	TypeForward   Type = "forward"
	TypeReply     Type = "reply"
	TypeCancel    Type = "cancel"
	TypeConfig    Type = "config"
	TypeStatus    Type = "status"
	TypeGoAway    Type = "go_away"
	TypeEvidence  Type = "evidence"

	TypeMirror        Type = "mirror"
	TypeMirrorAck     Type = "mirror_ack"
	TypeMirrorContent Type = "mirror_content"
)

// Frame is one protocol message. CallID matches a reply with its request; it is 0
// on messages that expect no reply.
type Frame struct {
	Type    Type            `cbor:"1,keyasint"`
	CallID  uint64          `cbor:"2,keyasint,omitempty"`
	Payload cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	// Release, unless it is nil, returns the memory of the frame to its budget. The handler of a message
	// calls it when it no longer uses the frame.
	Release func() `cbor:"-"`
}

// Hello is the first frame on a connection.
type Hello struct {
	VM          api.VMID        `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
}

// HeldShard is a shard that the sender holds.
type HeldShard struct {
	Shard api.ShardID `cbor:"1,keyasint"`
	Fence api.Fence   `cbor:"2,keyasint"`
}

// Heartbeat is sent to every VM at a fixed interval.
type Heartbeat struct {
	Incarnation api.Incarnation `cbor:"1,keyasint"`
	Leaving     bool            `cbor:"2,keyasint,omitempty"`
	Reachable   []api.VMID      `cbor:"3,keyasint,omitempty"`
	HeldShards  []HeldShard     `cbor:"4,keyasint,omitempty"`
	Revision    uint64          `cbor:"5,keyasint"`
	// StoreRead means that the process has read the configuration from the store.
	// Key 6 was used by a field of an earlier version.
	StoreRead bool `cbor:"7,keyasint,omitempty"`
}

// Config carries a whole configuration in its stored form. An empty Document
// asks the receiver to send the one that it has.
type Config struct {
	Revision uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint,omitempty"`
	// Version is a version of the row config/head at which it held this document
	// or an older one; 0 if unknown. It saves the receiver a read of the row.
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// Assign tells a witness which upstream owns each range of a shard. Owners
// holds the index of the owner in Upstreams, or -1, for each range from First.
type Assign struct {
	Shard     api.ShardID      `cbor:"1,keyasint"`
	Fence     api.Fence        `cbor:"2,keyasint"`
	Seq       uint64           `cbor:"3,keyasint"`
	First     int              `cbor:"4,keyasint"`
	Upstreams []api.UpstreamID `cbor:"5,keyasint"`
	Owners    []int16          `cbor:"6,keyasint"`
	Hot       []HotRange       `cbor:"7,keyasint,omitempty"`
}

// HotRange is the separate range of a hot key. Owner is the index of the owner in
// Upstreams, or -1. A VM that does not know this field serves the key by its
// ordinary range.
type HotRange struct {
	Key   string `cbor:"1,keyasint"`
	Range int    `cbor:"2,keyasint"`
	Owner int16  `cbor:"3,keyasint"`
}

// Forward asks the holder of a shard to run a request.
type Forward struct {
	Shard      api.ShardID `cbor:"1,keyasint"`
	Range      int         `cbor:"2,keyasint"`
	Method     string      `cbor:"3,keyasint"`
	Path       string      `cbor:"4,keyasint"`
	Body       []byte      `cbor:"5,keyasint,omitempty"`
	Key        string      `cbor:"6,keyasint,omitempty"`
	RequestID  string      `cbor:"7,keyasint,omitempty"`
	Idempotent bool        `cbor:"8,keyasint,omitempty"`
	TimeoutMs  int64       `cbor:"9,keyasint"`
	Caller     string      `cbor:"10,keyasint,omitempty"`
	Revision   uint64      `cbor:"11,keyasint"`
	// Waited is true if the entry kept the request until the shard had a holder.
	Waited bool `cbor:"12,keyasint,omitempty"`
}

// Reply is the reply to a Forward: a refusal or a complete response.
type Reply struct {
	Refusal      *api.Refusal `cbor:"1,keyasint,omitempty"`
	RetryAfterMs int64        `cbor:"2,keyasint,omitempty"`
	Status       int          `cbor:"3,keyasint,omitempty"`
	ContentType  string       `cbor:"4,keyasint,omitempty"`
	Body         []byte       `cbor:"5,keyasint,omitempty"`
	Repeated     bool         `cbor:"6,keyasint,omitempty"` // the recorded response of an earlier run
	// Memory, unless it is nil, is the memory of Body. Whoever gets the reply releases it after Body was
	// written.
	Memory Memory `cbor:"-"`
}

// Memory is a part of a budget.
type Memory interface{ Release() }

// Release releases the memory of the body, once.
func (r *Reply) Release() {
	if r.Memory != nil {
		r.Memory.Release()
		r.Memory = nil
	}
}

// Hold implements MemoryHolder.
func (r *Reply) Hold(m Memory) { r.Memory = m }

// MemoryHolder is a decoded payload that keeps the memory of its message until it is released. Payloads
// that are none use little memory, or have a use for a short time only.
type MemoryHolder interface{ Hold(m Memory) }

// Refused returns a reply with a refusal.
func Refused(r *api.Refusal) *Reply {
	return &Reply{Refusal: r, RetryAfterMs: r.RetryAfter.Milliseconds()}
}

// Cancel cancels the call with the frame's CallID.
type Cancel struct{}

// GoAway asks the VM that dialled a connection to send no more frames on it, and to
// close it when all replies have arrived.
type GoAway struct{}

// ErrFrame means that a frame could not be decoded.
var ErrFrame = errors.New("frame is not valid CBOR of this protocol: check that both VMs run compatible versions")

// Encode returns the encoded frame with the given payload.
func Encode(kind Type, callID uint64, payload any) ([]byte, error) {
	raw, err := cbor.Marshal(payload)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", kind)
	}
	data, err := cbor.Marshal(Frame{Type: kind, CallID: callID, Payload: raw})
	return data, errors.Wrapf(err, "encode %s", kind)
}

// Decode decodes a frame.
func Decode(data []byte) (Frame, error) {
	var frame Frame
	if len(data) > MaxFrameBytes {
		return frame, errors.Wrapf(ErrFrame, "%d bytes exceed the limit of %d", len(data), MaxFrameBytes)
	}
	if err := cbor.Unmarshal(data, &frame); err != nil {
		return frame, errors.Wrap(ErrFrame, err.Error())
	}
	return frame, nil
}

// The keys of the fields that precede the payload.
const typeKey, callIDKey = 1, 2

// DecodeHead decodes the type and the call ID of a frame of which only the first bytes are known: they
// are encoded first.
func DecodeHead(data []byte) (Frame, error) {
	const majorMap = 5
	var frame Frame
	if len(data) == 0 || data[0]>>majorBits != majorMap {
		return frame, errors.Wrap(ErrFrame, "it does not begin with a map")
	}
	for rest, fields := data[1:], data[0]&argumentMask; fields > 0; fields-- {
		var key uint64
		var err error
		if rest, err = cbor.UnmarshalFirst(rest, &key); err != nil {
			return frame, errors.Wrap(ErrFrame, err.Error())
		}
		switch key {
		case typeKey:
			rest, err = cbor.UnmarshalFirst(rest, &frame.Type)
		case callIDKey:
			rest, err = cbor.UnmarshalFirst(rest, &frame.CallID)
		default:
			return frame, nil
		}
		if err != nil {
			return frame, errors.Wrap(ErrFrame, err.Error())
		}
	}
	return frame, nil
}

// Unpack decodes the payload of a frame into out.
func (f Frame) Unpack(out any) error {
	if err := cbor.Unmarshal(f.Payload, out); err != nil {
		return errors.Wrapf(ErrFrame, "%s: %v", f.Type, err)
	}
	return nil
}
