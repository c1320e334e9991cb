package gateway

import (
	"sync"
	"time"

	"dandelionhill.dev/core/outage"
)

// outageMonitor knows since when the store answers this VM or the granter, see outage.Tracker.
type outageMonitor struct {
	mu      sync.Mutex
	tracker outage.Tracker
}

func newOutageMonitor() *outageMonitor { return &outageMonitor{tracker: outage.New(bootTime())} }

// answers records whether the store answers this VM.
func (m *outageMonitor) answers(answers bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Answers(bootTime(), answers)
}

// word records what the granter says, which may be this VM.
func (m *outageMonitor) word(answers bool, known time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Word(bootTime(), answers, known)
}

// restored records that the store went back to an older copy.
func (m *outageMonitor) restored() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Restored(bootTime())
}

// knownMs returns for how long the store has been known to answer, in milliseconds.
func (m *outageMonitor) knownMs() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.KnownFor(bootTime()).Milliseconds()
}

// removalWait returns for how long a removal does not count yet.
func (m *outageMonitor) removalWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Wait(bootTime())
}
