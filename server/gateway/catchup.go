package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/platform/fleet"
)

// maxFeedLag is how long after another VM a VM may learn of a change through its own long
// poll. It covers the pause between two polls and a slow response of the store.
const maxFeedLag = 400 * time.Millisecond

// errFeedBehind means that another VM knows of a change that a long poll has not returned.
var errFeedBehind = errors.New("another VM knows newer rows than the feed has returned: read the table again")

// feedMonitor compares the progress of a VM's feed with that of the other VMs. A call whose
// response is lost can stay open without an answer until its timeout.
type feedMonitor struct {
	mu sync.Mutex
	// known is the version up to which this VM has all changes.
	known int64
	// newest is the version of the newest change that this or another VM has read.
	newest int64
	// interrupt ends the long poll in flight, nil if there is none.
	interrupt context.CancelCauseFunc
	checking  bool // a check is scheduled
}

// longPoll returns a context for a long poll, which ends if the poll falls behind. done
// must be called after the poll.
func (m *feedMonitor) longPoll(ctx context.Context) (pollCtx context.Context, done func()) {
	pollCtx, cancel := context.WithCancelCause(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupt = cancel
	return pollCtx, func() {
		m.mu.Lock()
		m.interrupt = nil
		m.mu.Unlock()
		cancel(nil)
	}
}

// read records rows that this VM has read, and the version up to which they are complete.
func (m *feedMonitor) read(rows []fleet.Row, known int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known = max(m.known, known)
	for _, row := range rows {
		m.newest = max(m.newest, min(row.Version, known))
	}
}

// newestChange returns the version of the newest change that any VM has reported.
func (m *feedMonitor) newestChange() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// reported records the version of the newest change that another VM knows.
func (m *feedMonitor) reported(version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = max(m.newest, version)
	m.scheduleCheck()
}

// scheduleCheck checks the feed after maxFeedLag if it is behind; m.mu is held.
func (m *feedMonitor) scheduleCheck() {
	if m.known < m.newest && !m.checking {
		m.checking = true
		time.AfterFunc(maxFeedLag, m.check)
	}
}

// check ends a long poll that is behind.
func (m *feedMonitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checking = false
	if m.known < m.newest && m.interrupt != nil {
		m.interrupt(errFeedBehind)
	}
	m.scheduleCheck()
}
