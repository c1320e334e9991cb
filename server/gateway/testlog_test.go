package gateway

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// testLog writes the log of the VMs of a test to its output until the test ends. Calls to upstreams
// may end later, and the testing package panics if they log then.
type testLog struct {
	mu    sync.Mutex
	out   io.Writer
	ended bool
}

// newTestLog returns the log of a test. Call it before the VMs of the test start.
func newTestLog(t *testing.T) *testLog {
	l := &testLog{out: zerolog.NewTestWriter(t)}
	t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ended = true
	})
	return l
}

// Write implements io.Writer.
func (l *testLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return len(p), nil
	}
	return l.out.Write(p)
}

// TestLogAfterTheTest guards against a panic that ends the process of the tests because a VM logs
// after its test has ended.
func TestLogAfterTheTest(t *testing.T) {
	var out bytes.Buffer
	var log *testLog
	t.Run("a test", func(t *testing.T) {
		log = newTestLog(t)
		log.out = &out
		t.Cleanup(func() { fmt.Fprint(log, "cleanup") }) // the VMs stop in a cleanup
		fmt.Fprint(log, "test ")
	})
	fmt.Fprint(log, " later")
	require.Equal(t, "test cleanup", out.String())
}
