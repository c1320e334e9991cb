package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dandelionhill.dev/api"
)

var benchSizes = []int{12, 48, 192, 768, 3072}

func benchPeers(n int) []api.VMID {
	peers := make([]api.VMID, n)
	for i := range peers {
		peers[i] = api.VMID(fmt.Sprintf("vm-%05d", i))
	}
	return peers
}

// BenchmarkHeartbeat measures one heartbeat that reports all VMs as reachable.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			peers := benchPeers(n)
			table := New("self", DefaultConfig(), peers)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				table.HandleHeartbeat(time.Duration(i)*time.Microsecond, Heartbeat{From: peers[i%n], Incarnation: "1", Reachable: peers})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/peer")
		})
	}
}

// BenchmarkMemoryPerPeer measures the memory that a table keeps for its peers,
// without the text of their IDs.
func BenchmarkMemoryPerPeer(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			peers := benchPeers(n)
			// Several tables at once, so that a small one stands out from the
			// runtime's own memory.
			tables := make([]*Table, max(1, 3072/n))
			var used float64
			for b.Loop() {
				clear(tables)
				start := heapBytes()
				for i := range tables {
					tables[i] = New("self", DefaultConfig(), peers)
					for _, p := range peers {
						tables[i].HandleHeartbeat(0, Heartbeat{From: p, Incarnation: "1"})
					}
				}
				used = heapBytes() - start
				runtime.KeepAlive(tables)
			}
			b.ReportMetric(used/float64(n*len(tables)), "B/peer")
		})
	}
}

// heapBytes returns the bytes in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
