package gateway

import (
	"cmp"

	"dandelionhill.dev/core/config/strict"
	"dandelionhill.dev/server/listen"
)

const (
	// Shares of the open files that each listener may use, of listen.FileShares. The rest is for
	// connections to upstreams, the store and other VMs. A granter has a connection from each of
	// up to 300 VMs.
	callersFiles, peersFiles, healthFiles, metricsFiles = 24, 16, 2, 1
	// otherHeadsBytes is the memory for heads of each of the listeners for others than callers.
	otherHeadsBytes = 512 << 10
	// smallHeadBytes bounds the heads of readiness checks and of calls of the metrics.
	smallHeadBytes = 4 << 10
	// maxProxiedBodyKB bounds the body of a request that an isolated VM passes to another one.
	maxProxiedBodyKB = defaultBodyKB
)

// RuntimeMemoryBytes returns the memory limit of the Go runtime on this VM.
func (s *Settings) RuntimeMemoryBytes() int64 { return listen.NewBudget(s.MemoryMB).Runtime }

// buffersBytes returns the memory for bodies and responses.
func (l Limits) buffersBytes(memoryMB int) int64 {
	if l.BuffersMB > 0 {
		return int64(l.BuffersMB) << 20
	}
	return listen.NewBudget(memoryMB).Buffers
}

// messages returns the limits on messages of other VMs.
func (l Limits) messages(memoryMB int) listen.MessageLimits {
	budget := listen.NewBudget(memoryMB)
	out := budget.MessageLimits(l.buffersBytes(memoryMB))
	if l.MessagesMB > 0 {
		out.SetBytes(budget.Messages, int64(l.MessagesMB)<<20)
	}
	out.Count = cmp.Or(l.PeerMessages, out.Count)
	out.ConnectionCount = cmp.Or(l.PeerConnectionMessages, out.ConnectionCount)
	return out
}

// listenerLimits holds the limits of each listener of a VM.
type listenerLimits struct{ callers, peers, health, metrics listen.Limits }

// listeners returns the limits of the listeners of a VM whose process may open a number of files.
func (l Limits) listeners(memoryMB, files int) listenerLimits {
	budget := listen.NewBudget(memoryMB)
	out := listenerLimits{
		callers: budget.CallerLimits(files, callersFiles),
		peers:   budget.PeerLimits(files, peersFiles, otherHeadsBytes),
		health:  budget.Limits(files, healthFiles, otherHeadsBytes),
		metrics: budget.Limits(files, metricsFiles, otherHeadsBytes),
	}
	out.health.UnreadTimeout, out.metrics.UnreadTimeout = out.callers.UnreadTimeout, out.callers.UnreadTimeout
	out.callers.HeadBytes = cmp.Or(int64(l.HeadsKB)<<10, out.callers.HeadBytes)
	for limits, connections := range map[*listen.Limits]int{
		&out.callers: l.CallerConnections, &out.peers: l.PeerConnections, &out.health: l.HealthConnections, &out.metrics: l.MetricsConnections,
	} {
		limits.Connections = cmp.Or(connections, limits.Connections)
		limits.Progress.MinRate = float64(cmp.Or(l.MinRate, listen.DefaultMinRate))
		limits.Progress.Window = cmp.Or(l.MinRateWindow, strict.Duration(listen.DefaultMinRateWindow)).AsDuration()
	}
	out.callers.PerAddress = cmp.Or(l.ConnectionsPerAddress, listen.ShareByAddress(out.callers.Connections))
	return out
}
