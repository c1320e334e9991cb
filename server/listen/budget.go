package listen

import (
	"time"

	"golang.org/x/sys/unix"

	"dandelionhill.dev/core/shedding"
)

// The memory budget of a VM; docs/design/untrusted-clients.md derives it.
const (
	// runtimePercent of the memory, less programBytes, is the limit of the Go runtime. The rest is
	// for the program's text, which is outside of that limit, and for the queues of the kernel.
	runtimePercent = 80
	programBytes   = 8 << 20
	// baseBytes is what the runtime uses without callers, with room for the garbage collector.
	baseBytes = 14 << 20
	// What remains of the runtime's limit is divided between bodies and responses, messages of other
	// VMs, heads, and connections, in percent.
	buffersPercent, messagesPercent, headsPercent, connectionsPercent = 70, 2, 14, 14
	// minCallersBytes is the smallest sum of these three.
	minCallersBytes = 2 << 20
	// sharedMessagesPercent of the memory for bodies and responses is the most that messages may use
	// beyond their own, connectionMessagesPercent of both that of the messages of one connection: a
	// proxied request with its decoded copy fits a VM of 144 MB.
	sharedMessagesPercent, connectionMessagesPercent = 50, 50
	// connectionBytes is the memory of a connection without a head: the buffers of http.Server for
	// reading and writing, and two goroutines.
	connectionBytes = 24 << 10
	// queuesPercent of the memory is the most that may wait in the queues of the kernel.
	queuesPercent = 10
	// queueBytes is the size of the queue of a connection in each direction. The kernel doubles it
	// for its own overhead. It is enough for 60 Mbit/s with a round trip of 6 ms.
	queueBytes = 32 << 10
	// minPeerConnections is enough for a granter of 300 VMs, 300 isolated VMs and operators.
	minPeerConnections = 640
	// The requests of isolated VMs that are handled at a time: a VM of 536 MB has 2,430 connections of
	// callers, each with one request, and may pass them all on to one VM.
	messageCount, connectionMessageCount = 8192, 2560
	// messageIdleTimeout is how long a connection for proxied requests is kept without one; the VM
	// that opened it closes it earlier.
	messageIdleTimeout = 15 * time.Second
	// minConnections is the smallest default of a limit on connections.
	minConnections = 8
	// addressPercent is the part of the connections that one address may have: callers may share
	// few addresses.
	addressPercent = 75
	// DefaultMinRate is the lowest rate of a body or a response in bytes per second over
	// DefaultMinRateWindow: less than a hundredth of a link of 10 Mbit/s.
	DefaultMinRate       = 1000
	DefaultMinRateWindow = 5 * time.Second
	// unreadTimeout is how long the kernel keeps bytes that a caller does not read.
	unreadTimeout = 10 * time.Second
	// slowGrace is how long a message may take before its rate counts when memory is short.
	slowGrace = time.Second
	// FileShares is the number of shares into which the open files of a process are divided.
	FileShares = 64
)

// Budget is the memory of a VM. Its values are 0, for no limit, if the memory is unknown.
type Budget struct {
	// Runtime is the memory limit of the Go runtime, Buffers the memory for bodies and responses,
	// Messages that reserved for messages of other VMs, Heads that for heads of requests, Queues the
	// most bytes in the queues of the kernel.
	Runtime, Buffers, Messages, Heads, Queues int64
	// Connections is the most connections of callers.
	Connections int
}

// NewBudget divides the memory of a VM, in megabytes; 0 means that it is unknown.
func NewBudget(memoryMB int) Budget {
	if memoryMB <= 0 {
		return Budget{}
	}
	memory := int64(memoryMB) << 20
	runtime := max(memory*runtimePercent/100-programBytes, memory/2)
	callers := max(runtime-baseBytes, minCallersBytes)
	return Budget{
		Runtime: runtime, Buffers: callers * buffersPercent / 100, Heads: callers * headsPercent / 100,
		Messages:    callers * messagesPercent / 100,
		Queues:      memory * queuesPercent / 100,
		Connections: max(int(callers*connectionsPercent/100/connectionBytes), minConnections),
	}
}

// Limits returns the default limits of a listener that may use a number of FileShares of the open
// files of this process and has some memory for heads.
func (b Budget) Limits(files, fileShares int, heads int64) Limits {
	return Limits{
		Connections: max(files*fileShares/FileShares, minConnections), HeadBytes: heads, QueueBytes: b.Queues,
		ReceiveBuffer: queueBytes, SendBuffer: queueBytes,
		Progress: shedding.Rules{MinRate: DefaultMinRate, Window: DefaultMinRateWindow, Grace: slowGrace},
	}
}

// CallerLimits returns the default limits of the listener of callers.
func (b Budget) CallerLimits(files, fileShares int) Limits {
	l := b.Limits(files, fileShares, b.Heads)
	l.UnreadTimeout = unreadTimeout
	if b.Connections > 0 {
		l.Connections = min(l.Connections, b.Connections)
	}
	return l
}

// PeerLimits returns the default limits of the listener of other VMs.
func (b Budget) PeerLimits(files, fileShares int, heads int64) Limits {
	l := b.Limits(files, fileShares, heads)
	if b.Connections > 0 {
		l.Connections = min(l.Connections, max(b.Connections, minPeerConnections))
	}
	return l
}

// MessageLimits returns the default limits of messages of other VMs, given the memory for bodies and
// responses.
func (b Budget) MessageLimits(buffers int64) MessageLimits {
	l := MessageLimits{Count: messageCount, ConnectionCount: connectionMessageCount, IdleTimeout: messageIdleTimeout}
	if b.Messages > 0 {
		l.SetBytes(b.Messages, buffers*sharedMessagesPercent/100)
	}
	return l
}

// ShareByAddress returns the most connections of one address by default.
func ShareByAddress(connections int) int { return max(connections*addressPercent/100, 1) }

// OpenFiles returns the most open files of this process.
func OpenFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // the usual limit
	}
	return int(min(limit.Cur, 1<<20))
}
