package gateway

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/buffers"
	"dandelionhill.dev/server/listen"
)

// FuzzMessages guards against messages of other VMs and rows of the store that crash a VM, and
// against owners outside of their row.
func FuzzMessages(f *testing.F) {
	paths, err := filepath.Glob("testdata/versions/*/*.cbor")
	if err != nil || len(paths) == 0 {
		f.Fatal("no messages of earlier versions", err)
	}
	for i, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, uint8(i))
	}
	f.Fuzz(func(t *testing.T, data []byte, part uint8) {
		for _, message := range []any{&hello{}, &report{}, &update{}, &proxyFrame{}} {
			if err := cbor.Unmarshal(data, message); err != nil {
				continue
			}
			if _, err := cbor.Marshal(message); err != nil {
				t.Fatalf("a message that was decoded cannot be encoded: %v", err)
			}
		}
		n := int(part) % rowsPerService
		entries, err := decodeOwners(data, n)
		next := n * keysPerRow
		for _, e := range entries {
			if e.Span.First < next || e.Span.Last < e.Span.First || e.Span.Last >= (n+1)*keysPerRow || e.Fence < 0 {
				t.Fatalf("keys %d to %d, fence %d, in row %d", e.Span.First, e.Span.Last, e.Fence, n)
			}
			next = e.Span.Last + 1
		}
		if err != nil && (len(entries) != 1 || entries[0].Owner.UpstreamID != unknownOwner) {
			t.Fatal("an unreadable row must have an unknown owner")
		}
		decodeSystem(&fleet.Page{Rows: []fleet.Row{{Key: leaseKey, Value: data, Version: 1}, {Key: ownerRowID("s", n).Key, Value: data, Version: 2}}})
		decodeLease(fleet.Row{Value: data, Version: 1}, time.Second)
	})
}

// FuzzParts guards against parts of another VM that end the process, are joined wrong, or leave memory in
// use.
func FuzzParts(f *testing.F) {
	f.Add([]byte{1, 10, 4, 6, 1, 0, 0, 4})
	f.Add([]byte{1, 200, 255, 16, 2, 3, 1, 3, 1, 0, 0, 200})
	f.Fuzz(func(t *testing.T, script []byte) {
		shared := buffers.NewBudget(1 << 20)
		messages := listen.NewMessages(listen.MessageLimits{Bytes: 1 << 20, ConnectionBytes: 1 << 20, ConnectionCount: 3}, nil, buffers.NewBudget(0), shared)
		conn, arriving := messages.Connection(nil, 1<<20), make(assemblies)
		for ; len(script) >= 4; script = script[4:] {
			id, size, head, data := uint64(script[0]%4), int64(script[1])<<9, int64(script[2]), make([]byte, int(script[3])<<6)
			_, whole, err := arriving.add(conn, id, &proxyPart{Size: size, Head: head, Data: data})
			if err == nil && whole != nil {
				whole.Release()
			}
		}
		arriving.release()
		if shared.Left() != shared.Total() {
			t.Fatalf("%d bytes are lost", shared.Total()-shared.Left())
		}
	})
}
