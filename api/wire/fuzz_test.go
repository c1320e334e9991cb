package wire

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
)

// payloads returns one value of each payload type.
func payloads() map[Type]any {
	shard := api.ShardID{Service: "s", Index: 1}
	return map[Type]any{
		TypeHello:     &Hello{VM: "vm-01", Incarnation: "a"},
		TypeHeartbeat: &Heartbeat{Incarnation: "a", Reachable: []api.VMID{"vm-02"}, HeldShards: []HeldShard{{shard, api.NewFence(1, 2)}}, Revision: 3},
		TypeConfig:    &Config{Revision: 3, Document: []byte("{}")},
		TypeAssign:    &Assign{Shard: shard, Upstreams: []api.UpstreamID{"u"}, Owners: []int16{0, -1}, Hot: []HotRange{{"k", 2, 0}}},
		TypeForward:   &Forward{Shard: shard, Method: "POST", Path: "/", Body: []byte("b"), TimeoutMs: 5},
		TypeReply:     &Reply{Refusal: api.Refuse(api.QueueFull, "full")},
		TypeCancel:    &Cancel{},
	}
}

// emptyLike returns a pointer to the zero value of what payload points to. Unpack leaves fields as they
// are that a frame lacks.
func emptyLike(payload any) any {
	return reflect.New(reflect.TypeOf(payload).Elem()).Interface()
}

// FuzzDecode checks that no bytes from a peer crash the decoder, that each error is
// ErrFrame, and that accepted frames are unchanged by encoding them again.
func FuzzDecode(f *testing.F) {
	for kind, payload := range payloads() {
		data, err := Encode(kind, 7, payload)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)-1])
		f.Add(append(data, 0))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := DecodeHead(data); err != nil && !errors.Is(err, ErrFrame) {
			t.Fatalf("error is not ErrFrame: %v", err)
		}
		frame, err := Decode(data)
		if err != nil {
			if !errors.Is(err, ErrFrame) {
				t.Fatalf("error is not ErrFrame: %v", err)
			}
			return
		}
		payload, known := payloads()[frame.Type]
		if !known {
			return
		}
		out := emptyLike(payload)
		if err := frame.Unpack(out); err != nil {
			if !errors.Is(err, ErrFrame) {
				t.Fatalf("error is not ErrFrame: %v", err)
			}
			return
		}
		first, err := Encode(frame.Type, frame.CallID, out)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(first)
		if err != nil {
			t.Fatal(err)
		}
		copied := emptyLike(payload)
		if err := again.Unpack(copied); err != nil {
			t.Fatal(err)
		}
		second, err := Encode(again.Type, again.CallID, copied)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, second) {
			t.Fatalf("%x became %x", first, second)
		}
	})
}
