package logs

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLine guards against times in whole seconds, which do not show the order of
// events on several VMs, and against lines that are not key=value pairs.
func TestLine(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info", "a1")
	require.NoError(t, err)
	log.Info().Str("event", "started").Msg("")
	require.Regexp(t, `^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}(Z|[+-]\d\d:\d\d) level=info event=started vm=a1\n$`, out.String())
	_, err = New(&out, "loud", "a1")
	require.Error(t, err)
}

// TestAsync guards against a log that blocks the program while its output is not read.
func TestAsync(t *testing.T) {
	block := make(chan struct{})
	dropped := make(chan int, 1)
	w := Async(writerFunc(func(p []byte) (int, error) {
		<-block
		return len(p), nil
	}), func(lines int) {
		select {
		case dropped <- lines:
		default:
		}
	})
	for range 3 * bufferLines {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	close(block)
	require.Positive(t, <-dropped)
	require.NoError(t, w.Close())
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
