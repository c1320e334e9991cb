package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/freshness"
	"dandelionhill.dev/platform/fleet"
)

// Reasons for which a long poll ends before its time.
var (
	// errFeedBehind means that another VM knows of a change that a long poll has not returned.
	errFeedBehind = errors.New("another VM knows newer rows than the feed has returned: read the table again")
	// errFeedUnwatched means that the granter no longer says that it follows the table.
	errFeedUnwatched = errors.New("the granter does not follow the table at present: poll in short intervals")
	// errCallOvertaken means that the store has answered a later call of this VM.
	errCallOvertaken = errors.New("the store has answered a later call and not this one: call it again")
)

// feedMonitor ends long polls that may wait in vain, see package freshness.
type feedMonitor struct {
	// clock is bootTime: what the granter says counts for less after a suspension.
	clock func() time.Duration

	mu    sync.Mutex
	table freshness.Table
	// interrupt ends the poll in flight, nil if there is none.
	interrupt context.CancelCauseFunc
	checkAt   time.Duration // of the next check, 0 if none is scheduled
	stale     bool          // as last logged
	// changed is closed, and replaced, by news that may end a pause after a failed call.
	changed chan struct{}
}

// staleAge is the age of a table that is logged: it is known within two seconds of a change
// while the store answers.
const staleAge = 3 * time.Second

func newFeedMonitor() *feedMonitor {
	return &feedMonitor{clock: bootTime, table: freshness.NewTable(freshness.DefaultConfig()), changed: make(chan struct{})}
}

// poll starts a poll: it returns how long the store holds it without changes, and a context
// that ends when it is given up. done must be called after the poll.
func (m *feedMonitor) poll(ctx context.Context, watching bool, vms int) (pollCtx context.Context, wait time.Duration, done func()) {
	return m.begin(ctx, func(now time.Duration) freshness.Call { return m.table.Begin(now, watching, vms) })
}

// callDelay returns how long a VM to which the granter has passed rows on may wait before its next
// call, see freshness.Table.CallAt.
func (m *feedMonitor) callDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	return m.table.CallAt(now) - now
}

// readWhole starts a call that reads the whole table, see poll.
func (m *feedMonitor) readWhole(ctx context.Context) (callCtx context.Context, done func()) {
	callCtx, _, done = m.begin(ctx, m.table.BeginRead)
	return callCtx, done
}

func (m *feedMonitor) begin(ctx context.Context, begin func(now time.Duration) freshness.Call) (pollCtx context.Context, wait time.Duration, done func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	call := begin(m.clock())
	pollCtx, cancel := context.WithCancelCause(withCallCause(ctx, callCause(call.Cause)))
	pollCtx, stop := context.WithTimeout(pollCtx, call.Timeout)
	m.interrupt = cancel
	m.scheduleCheck()
	return pollCtx, call.Wait, func() {
		m.mu.Lock()
		m.interrupt = nil
		m.mu.Unlock()
		stop()
		cancel(nil)
	}
}

// read records rows that this VM has read, and the version up to which they are complete.
func (m *feedMonitor) read(rows []fleet.Row, known int64) {
	newest := int64(0)
	for _, row := range rows {
		newest = max(newest, row.Version)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Answered(m.clock(), known, newest)
}

// lost records that the store has not answered a call.
func (m *feedMonitor) lost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Lost()
}

// givenUp records that a call was given up with errCallOvertaken.
func (m *feedMonitor) givenUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.GivenUp()
}

// pause waits after a failed call until the next one is due. refused means that the store
// responded.
func (m *feedMonitor) pause(ctx context.Context, refused bool, vms int) {
	m.mu.Lock()
	m.table.Failed(m.clock(), refused, vms, rand.Float64())
	m.mu.Unlock()
	for {
		m.mu.Lock()
		now, changed := m.clock(), m.changed
		at := m.table.RetryAt(now)
		m.mu.Unlock()
		if now >= at {
			return
		}
		timer := time.NewTimer(at - now)
		select {
		case <-timer.C:
		case <-changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// storeAnswered records that the store has answered a call to any table, sent at a time.
func (m *feedMonitor) storeAnswered(sent time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.StoreAnswered(m.clock(), sent)
	m.scheduleCheck()
}

// storeAway records what the granter says of whether the store does not answer it.
func (m *feedMonitor) storeAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.StoreAway(m.clock(), away)
	m.scheduleCheck()
}

// newestChange returns the version of the newest change that any VM has reported.
func (m *feedMonitor) newestChange() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Newest()
}

// reported records the version of the newest change that another VM knows.
func (m *feedMonitor) reported(version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Reported(m.clock(), version)
	m.scheduleCheck()
}

// vouched records what the granter says of the table, see update.
func (m *feedMonitor) vouched(ageMs, newest int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ageMs > 0 {
		m.table.Vouched(m.clock(), statedAge(ageMs), newest)
	} else {
		m.table.Reported(m.clock(), newest)
	}
	m.scheduleCheck()
}

// relayed records registrations that the granter has passed on, see freshness.Table.
func (m *feedMonitor) relayed(ageMs, known int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Relayed(m.clock(), statedAge(ageMs), known)
}

// unwatch ends the reliance on the granter, which this VM is from now on.
func (m *feedMonitor) unwatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Unwatch()
	m.scheduleCheck()
}

// age returns the age of what this VM knows of the table, see freshness.Table.
func (m *feedMonitor) age() (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Age(m.clock())
}

// becameStale reports whether the table is stale now, and whether that has changed since the
// last call. A table that was never read is not stale.
func (m *feedMonitor) becameStale() (age time.Duration, stale, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age, known := m.table.Age(m.clock())
	stale = known && age > staleAge
	changed = stale != m.stale
	m.stale = stale
	return age, stale, changed
}

// ageMs returns the age for a message to another VM, at least 1, or 0 if it is not known.
func (m *feedMonitor) ageMs() int64 {
	age, ok := m.age()
	if !ok {
		return 0
	}
	return age.Milliseconds() + 1
}

// statedAge returns an age that another VM states in milliseconds, bounded so that it can be
// calculated with.
func statedAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), time.Hour.Milliseconds())) * time.Millisecond
}

// scheduleCheck ends the poll in flight, or schedules the next check of it; a pause is checked at
// once. m.mu is held.
func (m *feedMonitor) scheduleCheck() {
	if m.interrupt == nil {
		close(m.changed)
		m.changed = make(chan struct{})
		return
	}
	now := m.clock()
	switch verdict, next := m.table.Check(now); verdict {
	case freshness.Behind:
		m.interrupt(errFeedBehind)
	case freshness.Unwatched:
		m.interrupt(errFeedUnwatched)
	case freshness.Overtaken:
		m.interrupt(errCallOvertaken)
	case freshness.Continue:
		if next != 0 && (m.checkAt == 0 || next < m.checkAt) {
			m.checkAt = next
			time.AfterFunc(next-now, func() { m.check(next) })
		}
	}
}

// check is the check scheduled for a time.
func (m *feedMonitor) check(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.checkAt == at {
		m.checkAt = 0
	}
	m.scheduleCheck()
}
